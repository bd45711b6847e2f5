//! The copy of the list of upstreams on a keeper's disk.
//!
//! After a power failure of all VMs no VM has the list, and reading all its pages takes time at the
//! platform's rate limit, while hundreds of VMs wait. A keeper therefore uses the copy at once; its
//! revision shows whether other VMs hold the same list. The copy is one file beside the log that is
//! replaced by a rename, so that it always holds one complete list. A missing file is not an error.
//! See `docs/design/fleet-news.md`.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::packed_text::PackedText;
use super::upstream_list::{ListRevision, UpstreamEntry};

/// The name of the file, and of the temporary file that replaces it.
const FILE: &str = "upstreams";
const NEXT_FILE: &str = "upstreams.next";
/// The size of the checksum before the compressed list, in bytes.
const SUM_BYTES: usize = 4;

/// A list of upstreams as stored on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredList {
    /// The revision of the list.
    pub revision: ListRevision,
    /// The rows.
    pub rows: Vec<UpstreamEntry>,
}

/// Replaces the copy on disk.
pub fn store_list(folder: &Path, list: &StoredList) -> io::Result<()> {
    let plain = rmp_serde::to_vec(list).map_err(io::Error::other)?;
    let packed = PackedText::pack(&plain).into_bytes();
    let next = folder.join(NEXT_FILE);
    let mut file = File::create(&next)?;
    file.write_all(&crc32fast::hash(&packed).to_le_bytes())?;
    file.write_all(&packed)?;
    file.sync_data()?;
    fs::rename(next, folder.join(FILE))
}

/// Reads the copy; `None` if there is none, and an error if the file is damaged.
pub fn load_list(folder: &Path) -> io::Result<Option<StoredList>> {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let Some((sum, packed)) = bytes.split_first_chunk::<SUM_BYTES>() else {
        return Err(io::Error::other("the file is too short"));
    };
    if crc32fast::hash(packed) != u32::from_le_bytes(*sum) {
        return Err(io::Error::other("the checksum does not match"));
    }
    let plain = PackedText::from_bytes(packed.to_vec()).unpack()?;
    let list = rmp_serde::from_slice(&plain).map_err(io::Error::other)?;
    Ok(Some(list))
}
