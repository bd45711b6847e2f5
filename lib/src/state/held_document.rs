//! The keepers' state machine: the newest document, byte for byte as it was sent.
//!
//! The highest version holds. A command whose version is not above the held one
//! changes nothing, so that a change which comes twice, or late, does no harm.

/// The newest document.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldDocument {
    /// Its version; 0 for none.
    pub version: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The bytes of a version at the head of a command and of an image.
const VERSION_BYTES: usize = 8;

/// A command that puts a document.
pub fn put_command(version: u64, document: &[u8]) -> Vec<u8> {
    let mut command = Vec::with_capacity(document.len() + VERSION_BYTES);
    command.extend_from_slice(&version.to_le_bytes());
    command.extend_from_slice(document);
    command
}

impl HeldDocument {
    /// Applies a command; true when the document changed.
    pub fn apply(&mut self, command: &[u8]) -> bool {
        let Some((version, document)) = split_version(command) else { return false };
        let newer = version > self.version;
        if newer {
            *self = HeldDocument { version, bytes: document.to_vec() };
        }
        newer
    }

    /// The image for a snapshot.
    pub fn image(&self) -> Vec<u8> {
        put_command(self.version, &self.bytes)
    }

    /// Takes the state of an image, unless it is older; true when the document changed.
    pub fn restore(&mut self, image: &[u8]) -> bool {
        self.apply(image)
    }
}

fn split_version(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (head, rest) = bytes.split_first_chunk::<VERSION_BYTES>()?;
    Some((u64::from_le_bytes(*head), rest))
}
