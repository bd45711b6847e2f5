//! The list of upstreams on a keeper's disk.
//!
//! After a common loss of power no other VM holds the list, and reading it anew takes its pages
//! at the platform's rate, while hundreds of VMs wait. What is kept is used at once; the mark shows
//! whether it is what the others hold. One file beside the log, replaced by rename: either the
//! whole of one list is there, or that of another, or none, and none is no fault. See
//! `docs/design/fleet-news.md`.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use serde::{Deserialize, Serialize};

use super::packed_text::PackedText;
use super::upstream_list::{ListRevision, UpstreamEntry};

/// The file's name, and that of the one which replaces it.
const FILE: &str = "upstreams";
const NEXT_FILE: &str = "upstreams.next";
/// The bytes of the checksum before the packed list.
const SUM_BYTES: usize = 4;

/// A state of the list and its mark.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptList {
    /// Which state it is.
    pub mark: ListRevision,
    /// The rows.
    pub rows: Vec<UpstreamEntry>,
}

/// Writes the list in place of the one before.
pub fn write_kept(folder: &Path, list: &KeptList) -> io::Result<()> {
    let plain = rmp_serde::to_vec(list).map_err(io::Error::other)?;
    let packed = PackedText::pack(&plain).into_bytes();
    let next = folder.join(NEXT_FILE);
    let mut file = File::create(&next)?;
    file.write_all(&crc32fast::hash(&packed).to_le_bytes())?;
    file.write_all(&packed)?;
    file.sync_data()?;
    fs::rename(next, folder.join(FILE))
}

/// The list that was kept, if there is one; an error when the file is no list of ours.
pub fn read_kept(folder: &Path) -> io::Result<Option<KeptList>> {
    let bytes = match fs::read(folder.join(FILE)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let Some((sum, packed)) = bytes.split_first_chunk::<SUM_BYTES>() else {
        return Err(io::Error::other("it is too short"));
    };
    if crc32fast::hash(packed) != u32::from_le_bytes(*sum) {
        return Err(io::Error::other("its checksum is another"));
    }
    let plain = PackedText::from_bytes(packed.to_vec()).unpack()?;
    let list = rmp_serde::from_slice(&plain).map_err(io::Error::other)?;
    Ok(Some(list))
}
