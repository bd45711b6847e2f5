//! A compact encoding of bytes that are mostly zero.
//!
//! With each grant, a leader sends to each VM one byte for each upstream, though few of them have
//! requests in flight. The encoding consists of each non-zero byte with the number of zeros before
//! it.

/// The most zeros that one pair encodes.
const LONGEST_RUN: usize = u8::MAX as usize;

/// Encodes bytes as pairs of a number of zeros and the byte after them; zeros at the end are
/// omitted.
pub fn pack_zeros(bytes: &[u8]) -> Vec<u8> {
    let mut packed = Vec::new();
    let mut zeros = 0;
    for byte in bytes {
        if *byte == 0 && zeros < LONGEST_RUN {
            zeros += 1;
            continue;
        }
        packed.extend([zeros as u8, *byte]);
        zeros = 0;
    }
    packed
}

/// Decodes the output of [`pack_zeros`]; `None` if it is malformed or decodes to more than `length`
/// bytes.
pub fn unpack_zeros(packed: &[u8], length: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::with_capacity(length);
    for pair in packed.chunks(2) {
        let [zeros, byte] = pair else { return None };
        bytes.resize(bytes.len() + usize::from(*zeros), 0);
        bytes.push(*byte);
        if bytes.len() > length {
            return None;
        }
    }
    bytes.resize(length, 0);
    Some(bytes)
}
