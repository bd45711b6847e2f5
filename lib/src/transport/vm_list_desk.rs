//! What one VM holds of those who wait for the list of upstreams; see `docs/design/fleet-news.md`.

use std::collections::{BTreeMap, BTreeSet};

use crossbeam::channel::Sender;

use super::vm_disk::DiskJob;
use crate::protocol::vm_wire::{NewsAsk, VmId};
use crate::state::upstream_list::ListRevision;

/// Who waits for the list or for news of it, and what was done for that.
#[derive(Default)]
pub struct ListState {
    /// Who wants a newer state than this VM holds, and what they hold.
    pub(super) wanting: BTreeMap<VmId, ListRevision>,
    /// Questions that could not be answered yet, and when they came.
    pub(super) asking: BTreeMap<VmId, (NewsAsk, u64)>,
    /// When this VM asked last, and how often in a row.
    pub(super) asked_ms: u64,
    pub(super) round: usize,
    /// Entries that could not be read in full, at this VM's last reading, and what was wrong.
    pub(super) unread: usize,
    pub(super) found: BTreeSet<String>,
    /// The thread that keeps the list on disk, at a keeper.
    pub disk: Option<Sender<DiskJob>>,
    /// What it was last given, and whether it is still at it.
    pub(super) kept: ListRevision,
    pub(super) keeping: bool,
}

impl ListState {
    /// The disk has what it was given, or can't take it.
    pub fn note_stored(&mut self) {
        self.keeping = false;
    }
}
