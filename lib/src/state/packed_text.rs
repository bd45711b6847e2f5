//! A text kept and sent compressed.
//!
//! A configuration of 1,700 routes is some 400 KB and goes to every VM: at 92 of them it filled the
//! leader's link of 100 Mbit/s for 3 s, in which heartbeats, the list of upstreams and the next
//! change waited, and the leader lost its leadership. Packed it is a fifth of that or less. What is
//! unpacked is what was packed, byte for byte; a text that was never packed (an older log holds
//! such) is read as it stands.

use std::io::{Read, Write};

use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use flate2::Compression;
use serde::{Deserialize, Serialize};

/// The largest text, in bytes; more is no text of ours.
pub const LARGEST_TEXT: u64 = 16 << 20;
/// The first byte of a packed text; no configuration begins with it.
const PACKED_MARK: u8 = 0x78;

/// A text, packed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedText {
    #[serde(with = "serde_bytes")]
    bytes: Vec<u8>,
}

impl PackedText {
    /// Packs a text.
    pub fn pack(text: &[u8]) -> PackedText {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(text).expect("writing to memory doesn't fail");
        PackedText { bytes: encoder.finish().expect("writing to memory doesn't fail") }
    }

    /// The text; an error when the bytes are damaged or unpack to more than [`LARGEST_TEXT`].
    pub fn unpack(&self) -> std::io::Result<Vec<u8>> {
        if self.bytes.first() != Some(&PACKED_MARK) {
            return Ok(self.bytes.clone());
        }
        let mut text = Vec::new();
        ZlibDecoder::new(&self.bytes[..]).take(LARGEST_TEXT + 1).read_to_end(&mut text)?;
        match text.len() as u64 > LARGEST_TEXT {
            true => Err(std::io::Error::other("a packed text is too large")),
            false => Ok(text),
        }
    }

    /// Its bytes, to be sent or written apart.
    pub fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// A text that came or was read as bytes.
    pub fn from_bytes(bytes: Vec<u8>) -> PackedText {
        PackedText { bytes }
    }

    /// How many bytes it takes.
    pub fn packed_bytes(&self) -> usize {
        self.bytes.len()
    }
}
