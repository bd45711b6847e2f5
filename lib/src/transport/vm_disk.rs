//! The thread that writes a keeper's files: a sync may stall for seconds and must stop
//! neither streams nor heartbeats.
//!
//! Jobs are carried out in order and each is answered once. After a failure the store
//! is unusable until an [`DiskJob::Install`] has written everything anew. A list that can't be kept
//! is no such failure: it only makes a start slower.

use std::path::{Path, PathBuf};
use std::time::Duration;

use crossbeam::channel::{unbounded, Receiver, Sender};
use tokio::sync::mpsc::UnboundedSender;
use tracing::{error, warn};

pub use crate::coordination::durable_core::DiskJob;
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::kept_list::{read_kept, write_kept, KeptList};
use crate::state::log_store::{LogStore, StoreError, StoredState};

/// The pause before a folder that can't be opened is tried again.
const OPEN_RETRY: Duration = Duration::from_millis(500);
/// The thread does nothing but encode and write.
const STACK_BYTES: usize = 256 << 10;

/// What the thread answers.
#[derive(Debug)]
pub enum DiskReport {
    /// The folder is open; the list of upstreams, if one was kept.
    Opened(Incarnation, Box<StoredState>, Option<KeptList>),
    /// The last job of the consensus is on disk.
    Done,
    /// The last job of the consensus failed.
    Failed(String),
    /// The list of upstreams is on disk, or can't be kept now.
    ListStored,
}

/// Starts the thread; reports come back through `reports`.
pub fn start_disk(
    folder: PathBuf,
    keeper: KeeperId,
    new_life: Incarnation,
    reports: UnboundedSender<DiskReport>,
) -> std::io::Result<Sender<DiskJob>> {
    let (sender, jobs) = unbounded();
    std::thread::Builder::new().name("disk".to_string()).stack_size(STACK_BYTES).spawn(
        move || {
            let Some(store) = open_store(&folder, keeper, new_life, &reports) else { return };
            run_jobs(&folder, store, &jobs, |report| reports.send(report).is_ok());
        },
    )?;
    Ok(sender)
}

fn open_store(
    folder: &PathBuf,
    keeper: KeeperId,
    new_life: Incarnation,
    reports: &UnboundedSender<DiskReport>,
) -> Option<LogStore> {
    loop {
        match LogStore::open(folder, keeper, new_life) {
            Ok((store, state)) => {
                let kept = read_kept(folder).unwrap_or_else(|error| {
                    warn!(target: "disk", "the list that was kept cannot be read: {error}");
                    None
                });
                let opened = DiskReport::Opened(store.incarnation, Box::new(state), kept);
                reports.send(opened).ok()?;
                return Some(store);
            }
            Err(StoreError::Io { what, path, source }) => {
                warn!(target: "disk", "cannot {what} {}: {source}; trying again", path.display());
                std::thread::sleep(OPEN_RETRY);
            }
            Err(damage) => {
                // The group has what this disk lost; a new life of the disk joins it anew.
                error!(target: "disk", "the folder is given up and made anew: {damage}");
                if let Err(error) = set_folder_aside(folder) {
                    warn!(target: "disk", "cannot set the folder aside: {error}");
                    std::thread::sleep(OPEN_RETRY);
                }
            }
        }
    }
}

/// Moves the damaged files into a folder beside the new ones, for inspection.
fn set_folder_aside(folder: &PathBuf) -> std::io::Result<()> {
    let aside = folder.join("damaged");
    let _ = std::fs::remove_dir_all(&aside);
    std::fs::create_dir(&aside)?;
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if let (true, Some(name)) = (path.is_file(), path.file_name()) {
            std::fs::rename(&path, aside.join(name))?;
        }
    }
    Ok(())
}

/// Carries out jobs until the queue is closed, or `report` finds its receiver gone.
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
        let end = match job {
            DiskJob::Append(batch) => to_report(store.append(&batch)),
            DiskJob::Install(snapshot, hard_state, entries) => {
                to_report(store.install(&snapshot, hard_state, &entries))
            }
            DiskJob::KeepList(list) => {
                if let Err(error) = write_kept(folder, &list) {
                    warn!(target: "disk", "the list cannot be kept: {error}");
                }
                DiskReport::ListStored
            }
        };
        if !report(end) {
            return;
        }
    }
}
