//! The state of exchanging the list of upstreams with other VMs; see `docs/design/fleet-news.md`.

use std::collections::{BTreeMap, BTreeSet};

use crossbeam::channel::Sender;

use super::vm_disk::DiskJob;
use crate::protocol::vm_wire::{UpdateRequest, VmId};
use crate::state::upstream_list::ListRevision;

/// The VMs that wait for the list or an update of it, this VM's own requests, and its copy on disk.
#[derive(Default)]
pub struct ListState {
    /// VMs that requested a newer list than this VM holds, with the revisions that they have.
    pub(super) list_waiters: BTreeMap<VmId, ListRevision>,
    /// Requests for an update that could not be answered yet, with the times at which they arrived.
    pub(super) update_waiters: BTreeMap<VmId, (UpdateRequest, u64)>,
    /// When this VM last sent requests for an update.
    pub(super) requested_ms: u64,
    /// How many times in a row it has sent them before.
    pub(super) round: usize,
    /// How many entries and other parts of the list this VM could not read at its last reading.
    pub(super) unread: usize,
    /// The texts of the findings of that reading.
    pub(super) found: BTreeSet<String>,
    /// The queue of the disk thread, on a keeper.
    pub disk: Option<Sender<DiskJob>>,
    /// The revision that the disk thread was last given.
    pub(super) stored: ListRevision,
    /// Whether the disk thread is still writing it.
    pub(super) storing: bool,
}

impl ListState {
    /// The disk thread has written the list that it was given, or has failed to.
    pub fn note_stored(&mut self) {
        self.storing = false;
    }
}
