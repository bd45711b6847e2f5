//! The keeper's files: a write-ahead log and a snapshot in one data folder.
//!
//! One batch of entries is one record with one checksum and one sync, so that a crash can only
//! spoil the last record. A spoiled record that is followed by a good one is therefore damage, and
//! is refused with its file and offset. Files of the same generation belong together; a generation
//! takes effect when its snapshot is renamed. See `docs/design/durability.md`.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::io::AsRawFd;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use super::ids::{Incarnation, KeeperId};

/// The version of the folder's format that this program writes and accepts.
pub const FORMAT_VERSION: u32 = 1;
/// The size of a record's head, in bytes: the length of the body and its checksum.
const RECORD_HEAD_BYTES: usize = 8;
/// The largest body of a record, in bytes; a longer length can only come from damage.
const MAX_RECORD_BYTES: usize = 256 << 20;

/// An error of the store's files.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The operating system reported an error for an operation on a file.
    #[snafu(display("{what} {}: {source}", path.display()))]
    Io {
        /// The operation.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A record before the last one, or a snapshot, is damaged.
    #[snafu(display("{} is damaged at byte {offset}: {what}", path.display()))]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset at which the damaged record starts.
        offset: u64,
        /// A description of the damage.
        what: String,
    },
    /// Another process holds the lock of the folder.
    #[snafu(display("{} is in use by another process", path.display()))]
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another keeper or has another format.
    #[snafu(display("{}: {what}", path.display()))]
    Foreign {
        /// The folder.
        path: PathBuf,
        /// A description of the mismatch.
        what: String,
    },
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Its index in the log, from 1.
    pub index: u64,
    /// The term of the leader that appended it.
    pub term: u64,
    /// The content.
    pub payload: EntryPayload,
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// An encoded command for the state machine.
    Command(Vec<u8>),
    /// A new membership, which applies as soon as it is in the log.
    Membership(GroupMembership),
}

/// One member of the group of keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The incarnation of its disk; a keeper with another one does not count as this member.
    pub incarnation: Incarnation,
    /// The address on which it listens.
    pub address: std::net::SocketAddr,
    /// Whether it votes; a learner only receives entries.
    pub votes: bool,
}

/// The members of the group of keepers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// The members by keeper number.
    pub members: std::collections::BTreeMap<KeeperId, GroupMember>,
}

/// The state besides the log that Raft must persist.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that this keeper has seen.
    pub term: u64,
    /// The keeper that this keeper voted for in that term.
    pub voted_for: Option<KeeperId>,
}

/// The state of the state machine at an entry, which replaces the log up to that entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSnapshot {
    /// The index of the last entry that it covers.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The membership as of that entry.
    pub membership: GroupMembership,
    /// The encoded state machine.
    pub image: Vec<u8>,
}

/// What has to be on disk before the messages of a step may be sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogBatch {
    /// The hard state, if it changed.
    pub hard_state: Option<HardState>,
    /// The index from which entries are replaced.
    pub truncate_from: Option<u64>,
    /// The new entries.
    pub entries: Vec<LogEntry>,
}

impl LogBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.truncate_from.is_none() && self.entries.is_empty()
    }
}

/// The content of a folder when it was opened.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The term and vote.
    pub hard_state: HardState,
    /// The snapshot; an empty one at index 0 if there is none.
    pub snapshot: LogSnapshot,
    /// The entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// The length of an incomplete last record that was removed, in bytes.
    pub torn_bytes: u64,
    /// Whether the folder has no state, that is, this disk has never been part of a group.
    pub blank: bool,
}

#[derive(Serialize, Deserialize)]
struct DiskIdentity {
    format: u32,
    keeper: KeeperId,
    incarnation: Incarnation,
}

/// An open data folder. Dropping it releases the lock.
#[derive(Debug)]
pub struct LogStore {
    folder: PathBuf,
    generation: u64,
    log: File,
    _lock: File,
    /// The incarnation of this disk.
    pub incarnation: Incarnation,
}

impl LogStore {
    /// Opens or creates the folder of `keeper`; `new_incarnation` is used only if the disk is new.
    pub fn open(
        folder: &Path,
        keeper: KeeperId,
        new_incarnation: Incarnation,
    ) -> Result<(LogStore, StoredState), StoreError> {
        fs::create_dir_all(folder).context(IoSnafu { what: "create", path: folder })?;
        let lock = lock_folder(folder)?;
        let identity = read_identity(folder, keeper)?;
        let generation = newest_generation(folder)?;
        let blank = identity.is_none() && generation.is_none();
        if identity.is_none() && generation.is_some() {
            let what = "has a log but no identity file".to_string();
            return Err(StoreError::Foreign { path: folder.to_path_buf(), what });
        }
        let incarnation = match identity {
            Some(identity) => identity.incarnation,
            None => write_identity(folder, keeper, new_incarnation)?,
        };
        let generation = generation.unwrap_or(0);
        let mut state = read_generation(folder, generation)?;
        state.blank =
            blank || (state.snapshot.membership.members.is_empty() && state.entries.is_empty());
        let log = open_log(&log_path(folder, generation))?;
        sync_folder(folder)?;
        let store =
            LogStore { folder: folder.to_path_buf(), generation, log, _lock: lock, incarnation };
        Ok((store, state))
    }

    /// Appends a batch as one record and syncs it. After an error the store can't be used any more:
    /// the caller must stop rather than acknowledge the batch.
    pub fn append(&mut self, batch: &LogBatch) -> Result<(), StoreError> {
        let path = log_path(&self.folder, self.generation);
        let record = encode_record(batch);
        self.log.write_all(&record).context(IoSnafu { what: "append to", path: &path })?;
        self.log.sync_data().context(IoSnafu { what: "sync", path: &path })?;
        Ok(())
    }

    /// Replaces the log by a snapshot and the `entries` after it, as a new generation.
    pub fn install(
        &mut self,
        snapshot: &LogSnapshot,
        hard_state: HardState,
        entries: &[LogEntry],
    ) -> Result<(), StoreError> {
        let next = self.generation + 1;
        let path = log_path(&self.folder, next);
        let batch = LogBatch {
            hard_state: Some(hard_state),
            truncate_from: None,
            entries: entries.to_vec(),
        };
        write_synced(&path, &encode_record(&batch))?;
        let final_path = snapshot_path(&self.folder, next);
        let temporary = self.folder.join("snapshot.tmp");
        write_synced(&temporary, &encode_record(snapshot))?;
        fs::rename(&temporary, &final_path)
            .context(IoSnafu { what: "rename", path: &temporary })?;
        sync_folder(&self.folder)?;
        self.log = open_log(&path)?;
        let _ = fs::remove_file(log_path(&self.folder, self.generation));
        let _ = fs::remove_file(snapshot_path(&self.folder, self.generation));
        self.generation = next;
        Ok(())
    }
}

fn log_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("log-{generation:012}"))
}

fn snapshot_path(folder: &Path, generation: u64) -> PathBuf {
    folder.join(format!("snapshot-{generation:012}"))
}

fn lock_folder(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join("lock");
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = file.context(IoSnafu { what: "open", path: &path })?;
    // SAFETY: the descriptor is open for as long as `file` lives.
    let taken = unsafe { libc::flock(file.as_raw_fd(), libc::LOCK_EX | libc::LOCK_NB) };
    if taken != 0 {
        return Err(StoreError::Locked { path: folder.to_path_buf() });
    }
    Ok(file)
}

fn read_identity(folder: &Path, keeper: KeeperId) -> Result<Option<DiskIdentity>, StoreError> {
    let path = folder.join("identity.json");
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).context(IoSnafu { what: "read", path }),
    };
    let foreign = |what: String| StoreError::Foreign { path: folder.to_path_buf(), what };
    let identity: DiskIdentity =
        serde_json::from_str(&text).map_err(|e| foreign(format!("identity.json: {e}")))?;
    if identity.format != FORMAT_VERSION {
        return Err(foreign(format!("format {} and not {FORMAT_VERSION}", identity.format)));
    }
    if identity.keeper != keeper {
        return Err(foreign(format!("belongs to keeper {} and not {keeper}", identity.keeper)));
    }
    Ok(Some(identity))
}

fn write_identity(
    folder: &Path,
    keeper: KeeperId,
    incarnation: Incarnation,
) -> Result<Incarnation, StoreError> {
    let identity = DiskIdentity { format: FORMAT_VERSION, keeper, incarnation };
    let text = serde_json::to_vec(&identity).expect("an identity always encodes");
    let temporary = folder.join("identity.tmp");
    write_synced(&temporary, &text)?;
    fs::rename(&temporary, folder.join("identity.json"))
        .context(IoSnafu { what: "rename", path: &temporary })?;
    sync_folder(folder)?;
    Ok(incarnation)
}

/// The current generation: that of the newest snapshot, or 0 if there is only a log.
fn newest_generation(folder: &Path) -> Result<Option<u64>, StoreError> {
    let mut newest = None;
    let entries = fs::read_dir(folder).context(IoSnafu { what: "list", path: folder })?;
    for entry in entries.flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        let snapshot = name.strip_prefix("snapshot-").and_then(|n| n.parse::<u64>().ok());
        newest = newest.max(snapshot);
    }
    if newest.is_none() && log_path(folder, 0).exists() {
        newest = Some(0);
    }
    Ok(newest)
}

fn read_generation(folder: &Path, generation: u64) -> Result<StoredState, StoreError> {
    let mut state = StoredState::default();
    if generation > 0 {
        state.snapshot = read_snapshot(&snapshot_path(folder, generation))?;
    }
    let path = log_path(folder, generation);
    if !path.exists() {
        if generation == 0 {
            return Ok(state);
        }
        let what = "the log of this generation is missing".to_string();
        return Err(StoreError::Damaged { path, offset: 0, what });
    }
    let mut bytes = Vec::new();
    File::open(&path)
        .and_then(|mut file| file.read_to_end(&mut bytes))
        .context(IoSnafu { what: "read", path: &path })?;
    let good = replay_log(&path, &bytes, &mut state)?;
    state.torn_bytes = (bytes.len() - good) as u64;
    if state.torn_bytes > 0 {
        let file = OpenOptions::new().write(true).open(&path);
        file.and_then(|file| file.set_len(good as u64).and_then(|()| file.sync_all()))
            .context(IoSnafu { what: "cut the torn tail of", path: &path })?;
    }
    Ok(state)
}

fn read_snapshot(path: &Path) -> Result<LogSnapshot, StoreError> {
    let bytes = fs::read(path).context(IoSnafu { what: "read", path })?;
    match decode_record::<LogSnapshot>(&bytes) {
        Ok((snapshot, used)) if used == bytes.len() => Ok(snapshot),
        Ok((_, used)) => Err(StoreError::Damaged {
            path: path.to_path_buf(),
            offset: used as u64,
            what: "bytes follow the snapshot".to_string(),
        }),
        Err(what) => Err(StoreError::Damaged { path: path.to_path_buf(), offset: 0, what }),
    }
}

/// Replays all good records and returns their total length; returns an error for a bad record that
/// is followed by a good one.
fn replay_log(path: &Path, bytes: &[u8], state: &mut StoredState) -> Result<usize, StoreError> {
    let mut at = 0;
    while at < bytes.len() {
        match decode_record::<LogBatch>(&bytes[at..]) {
            Ok((batch, used)) => {
                replay_batch(batch, state);
                at += used;
            }
            Err(what) if good_record_after(&bytes[at + 1..]) => {
                let path = path.to_path_buf();
                return Err(StoreError::Damaged { path, offset: at as u64, what });
            }
            Err(_) => return Ok(at),
        }
    }
    Ok(at)
}

fn replay_batch(batch: LogBatch, state: &mut StoredState) {
    if let Some(hard_state) = batch.hard_state {
        state.hard_state = hard_state;
    }
    if let Some(from) = batch.truncate_from {
        state.entries.retain(|entry| entry.index < from);
    }
    let after = state.snapshot.index;
    state.entries.extend(batch.entries.into_iter().filter(|entry| entry.index > after));
}

fn good_record_after(bytes: &[u8]) -> bool {
    (0..bytes.len().saturating_sub(RECORD_HEAD_BYTES))
        .any(|at| decode_record::<LogBatch>(&bytes[at..]).is_ok())
}

fn encode_record<T: Serialize>(value: &T) -> Vec<u8> {
    let body = rmp_serde::to_vec(value).expect("plain data always encodes");
    let mut record = Vec::with_capacity(body.len() + RECORD_HEAD_BYTES);
    record.extend_from_slice(&(body.len() as u32).to_le_bytes());
    record.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    record.extend_from_slice(&body);
    record
}

fn decode_record<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(T, usize), String> {
    if bytes.len() < RECORD_HEAD_BYTES {
        return Err("a record's head is cut short".to_string());
    }
    let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    let checksum = u32::from_le_bytes([bytes[4], bytes[5], bytes[6], bytes[7]]);
    if length == 0 || length > MAX_RECORD_BYTES || bytes.len() - RECORD_HEAD_BYTES < length {
        return Err("a record's length does not fit the file".to_string());
    }
    let body = &bytes[RECORD_HEAD_BYTES..RECORD_HEAD_BYTES + length];
    if crc32fast::hash(body) != checksum {
        return Err("a record does not match its checksum".to_string());
    }
    let value = rmp_serde::from_slice(body).map_err(|error| error.to_string())?;
    Ok((value, RECORD_HEAD_BYTES + length))
}

fn open_log(path: &Path) -> Result<File, StoreError> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    file.context(IoSnafu { what: "open", path })
}

fn write_synced(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let written = File::create(path).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    written.context(IoSnafu { what: "write", path })
}

fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    let synced = File::open(folder).and_then(|file| file.sync_all());
    synced.context(IoSnafu { what: "sync", path: folder })
}
