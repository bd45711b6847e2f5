//! The thread that writes a keeper's files. A sync may stall for seconds, which must delay
//! neither streams nor heartbeats.
//!
//! Jobs are carried out in order and each is answered once. After a failure the store
//! is unusable until a [`DiskJob::Install`] has rewritten everything. A list that can't be stored
//! doesn't count as a failure: without it only the next start is slower.

use std::path::{Path, PathBuf};
use std::time::Duration;

use crossbeam::channel::{unbounded, Receiver, Sender};
use tokio::sync::mpsc::UnboundedSender;
use tracing::{error, warn};

pub use crate::coordination::durable_core::DiskJob;
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::kept_list::{load_list, store_list, StoredList};
use crate::state::log_store::{LogStore, StoreError, StoredState};

/// The pause between two attempts to open the folder, or to move a damaged one aside.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// The stack of the thread, in bytes; it only encodes and writes, which needs little.
const STACK_BYTES: usize = 256 << 10;

/// A report of the thread.
#[derive(Debug)]
pub enum DiskReport {
    /// The folder is open: the disk's incarnation, the state, and the list of upstreams if one was stored.
    Opened(Incarnation, Box<StoredState>, Option<StoredList>),
    /// The last job of the consensus is on disk.
    Done,
    /// The last job of the consensus failed.
    Failed(String),
    /// The list of upstreams is on disk, or could not be stored.
    ListStored,
}

/// Starts the thread and returns the queue of its jobs. Its reports are sent to `reports`; a blank disk
/// gets the incarnation `new_incarnation`.
pub fn start_disk(
    folder: PathBuf,
    keeper: KeeperId,
    new_incarnation: Incarnation,
    reports: UnboundedSender<DiskReport>,
) -> std::io::Result<Sender<DiskJob>> {
    let (sender, jobs) = unbounded();
    std::thread::Builder::new().name("disk".to_string()).stack_size(STACK_BYTES).spawn(
        move || {
            let Some(store) = open_store(&folder, keeper, new_incarnation, &reports) else {
                return;
            };
            run_jobs(&folder, store, &jobs, |report| reports.send(report).is_ok());
        },
    )?;
    Ok(sender)
}

/// Opens the folder and reports what it holds. Repeats this until it succeeds or the receiver is closed.
fn open_store(
    folder: &PathBuf,
    keeper: KeeperId,
    new_incarnation: Incarnation,
    reports: &UnboundedSender<DiskReport>,
) -> Option<LogStore> {
    loop {
        match LogStore::open(folder, keeper, new_incarnation) {
            Ok((store, state)) => {
                let stored_list = load_list(folder).unwrap_or_else(|error| {
                    warn!(target: "disk", "the list that was kept cannot be read: {error}");
                    None
                });
                let opened = DiskReport::Opened(store.incarnation, Box::new(state), stored_list);
                reports.send(opened).ok()?;
                return Some(store);
            }
            Err(StoreError::Io { what, path, source }) => {
                warn!(target: "disk", "cannot {what} {}: {source}; trying again", path.display());
                std::thread::sleep(RETRY_PAUSE);
            }
            Err(damage) => {
                // The group has what this disk lost; the disk joins again as a new incarnation.
                error!(target: "disk", "the folder is damaged and is made again: {damage}");
                if let Err(error) = move_files_aside(folder) {
                    warn!(target: "disk", "cannot move the damaged files aside: {error}");
                    std::thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }
}

/// Moves the damaged files into the subfolder `damaged`, for inspection.
fn move_files_aside(folder: &PathBuf) -> std::io::Result<()> {
    let damaged = folder.join("damaged");
    let _ = std::fs::remove_dir_all(&damaged);
    std::fs::create_dir(&damaged)?;
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if let (true, Some(name)) = (path.is_file(), path.file_name()) {
            std::fs::rename(&path, damaged.join(name))?;
        }
    }
    Ok(())
}

/// Carries out jobs until the queue is closed or `report` returns false.
pub(super) fn run_jobs(
    folder: &Path,
    mut store: LogStore,
    jobs: &Receiver<DiskJob>,
    report: impl Fn(DiskReport) -> bool,
) {
    let to_report = |done: Result<(), StoreError>| match done {
        Ok(()) => DiskReport::Done,
        Err(error) => DiskReport::Failed(error.to_string()),
    };
    for job in jobs {
        let outcome = match job {
            DiskJob::Append(batch) => to_report(store.append(&batch)),
            DiskJob::Install(snapshot, hard_state, entries) => {
                to_report(store.install(&snapshot, hard_state, &entries))
            }
            DiskJob::KeepList(list) => {
                if let Err(error) = store_list(folder, &list) {
                    warn!(target: "disk", "the list cannot be stored: {error}");
                }
                DiskReport::ListStored
            }
        };
        if !report(outcome) {
            return;
        }
    }
}
