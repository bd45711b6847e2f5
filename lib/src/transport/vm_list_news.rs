//! How the list of upstreams and its age spread from VM to VM.
//!
//! The leader sends each change. A VM that lacks a revision requests it from one that holds it, and is
//! answered at once or as soon as that VM holds it. A VM without an update for too long requests updates
//! from a few others, with or without a leader, so that the newest state isn't lost with the leader.
//! Invariant: an answer confirms only what held when its request was sent. See
//! `docs/design/fleet-news.md`.

use tracing::info;

use super::vm_disk::DiskJob;
use super::vm_node::VmNode;
use crate::coordination::list_reader::{reader_order, request_targets, LIST_REQUEST_MS};
use crate::coordination::news_source::requests_from_holder;
use crate::protocol::vm_wire::{PeerState, UpdateRequest, VmDatagram, VmId, VmMessage};
use crate::state::kept_list::StoredList;
use crate::state::upstream_list::{ListDelta, ListRevision, UpstreamEntry};

/// The shortest time between two requests for the list while this VM holds one, in milliseconds. With a
/// request at every grant, the whole lists fill the leader's link at 300 VMs.
const REPEAT_MS: u64 = 600;
/// The shortest time between two requests while this VM holds no list and can't serve, in milliseconds.
const REPEAT_WITHOUT_LIST_MS: u64 = 300;
/// The shortest time between two requests while a large frame, which may be the list, is being received, in
/// milliseconds.
const REPEAT_RECEIVING_MS: u64 = 2000;
/// The leader sends a delta of more rows than this to the keepers only: its link and its processor can't
/// carry copies to a thousand VMs.
const MAX_PUSHED_ROWS: usize = 100;
/// How long a request for an update is kept for a later answer, in milliseconds. Its sender repeats it.
const WAITER_TTL_MS: u64 = 2000;
/// An age counts as newer only if it is lower by more than this, in milliseconds: otherwise two VMs that wait
/// for the same reading would keep answering each other with differences that are only network delay.
const MIN_NEWER_MS: u64 = 200;
/// A VM requests updates from others once its configuration was confirmed longer ago than the time within
/// which a change must be in force, divided by this.
const UNCONFIRMED_DIVISOR: u64 = 2;

/// The age of something in milliseconds, as it is sent; the highest number if it never happened.
pub(super) fn sent_age_ms(since_ms: u64, now_ms: u64) -> u32 {
    match since_ms {
        0 => u32::MAX,
        since_ms => u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX),
    }
}

impl VmNode {
    /// The VMs in the order in which they read the list without a leader. The last leader comes last: it reads
    /// anyway, or it has ended.
    pub(super) fn readers(&self) -> Vec<VmId> {
        let view = self.view.borrow();
        let leader = view.leader;
        let not_leader = |id: &VmId| Some(*id) != leader || *id == self.id;
        let keepers: Vec<VmId> = view.keepers.iter().copied().filter(not_leader).collect();
        let rows = view.roster.rows.iter().map(|row| row.id).filter(not_leader);
        let term = self.upstreams.borrow().revision.term;
        let mut order = reader_order(&keepers, rows.chain([self.id]), term);
        order.extend(leader.filter(|id| *id != self.id));
        order
    }

    /// Whether the configuration in force was confirmed so long ago that this VM requests updates from others.
    pub(super) fn is_unconfirmed(&self, now_ms: u64) -> bool {
        let contact = self.contact.borrow();
        let apply_ms = self.settings.borrow().bounds.apply_ms;
        contact.applied() > 0 && contact.age_ms(now_ms) > apply_ms / UNCONFIRMED_DIVISOR
    }

    /// Requests updates from a few other VMs, unless it has just done so.
    pub(super) fn request_updates(&self, now_ms: u64) {
        let (round, due) = {
            let mut state = self.list_state.borrow_mut();
            let due = state.requested_ms + LIST_REQUEST_MS <= now_ms;
            if due {
                let in_a_row = state.requested_ms + 3 * LIST_REQUEST_MS > now_ms;
                state.round = if in_a_row { state.round + 1 } else { 0 };
                state.requested_ms = now_ms;
            }
            (state.round, due)
        };
        if !due {
            return;
        }
        let request = {
            let upstreams = self.upstreams.borrow();
            UpdateRequest {
                sent_ms: now_ms,
                list: upstreams.revision,
                list_age_ms: sent_age_ms(upstreams.confirmed_ms, now_ms),
                version_age_ms: sent_age_ms(self.contact.borrow().confirmed_ms(), now_ms),
            }
        };
        let mut order = self.readers();
        if order.len() <= 1 {
            order.extend(self.settings.borrow().seeds.iter().map(|ip| VmId::from(*ip)));
        }
        let targets = request_targets(&order, self.id, round, self.draw() as usize);
        self.send_datagrams(targets, &VmDatagram::RequestUpdate(request));
    }

    /// Answers a request for an update at once if this VM has newer state; otherwise keeps the request.
    pub(super) fn answer_update_request(&self, from: VmId, request: UpdateRequest) {
        let now_ms = self.now_ms();
        if !self.answer_if_newer(from, request, now_ms) {
            self.list_state.borrow_mut().update_waiters.insert(from, (request, now_ms));
        }
    }

    /// Answers a request that arrived at `received_ms` if this VM has a newer list, or a newer confirmation of its
    /// list or configuration. Returns whether it did.
    fn answer_if_newer(&self, to: VmId, request: UpdateRequest, received_ms: u64) -> bool {
        let note = {
            let (upstreams, contact) = (self.upstreams.borrow(), self.contact.borrow());
            PeerState {
                sent_ms: request.sent_ms,
                list: upstreams.revision,
                list_age_ms: sent_age_ms(upstreams.confirmed_ms, received_ms),
                version: contact.applied(),
                version_age_ms: sent_age_ms(contact.confirmed_ms(), received_ms),
            }
        };
        let younger = |own: u32, other: u32| u64::from(own) + MIN_NEWER_MS < u64::from(other);
        let newer = note.list > request.list
            || note.list == request.list && younger(note.list_age_ms, request.list_age_ms)
            || younger(note.version_age_ms, request.version_age_ms);
        if newer {
            self.send_datagram(to, &VmDatagram::PeerUpdate(note));
        }
        newer
    }

    /// Applies an update that another VM sent, and requests from it what is newer there.
    pub(super) fn apply_peer_update(&self, from: VmId, note: PeerState) {
        let now_ms = self.now_ms();
        if !self.clock.is_own_time(note.sent_ms) {
            return;
        }
        self.note_list_age(note.list, note.sent_ms, note.list_age_ms);
        if note.version > 0 && note.version_age_ms < u32::MAX {
            let sent_ms = note.sent_ms.saturating_sub(u64::from(note.version_age_ms));
            self.contact.borrow_mut().note_grant(sent_ms, note.version);
            if self.contact.borrow_mut().should_request_document(note.version, now_ms) {
                self.request_document(from);
            }
        }
        if note.list > self.upstreams.borrow().revision {
            self.request_list(from, now_ms);
        }
        self.contact_changed.notify_waiters();
        self.answer_waiting();
    }

    /// Records an answer to a request of `sent_ms`: the other VM held `revision` then, which was confirmed as the
    /// platform's own list `age_ms` before.
    pub(super) fn note_list_age(&self, revision: ListRevision, sent_ms: u64, age_ms: u32) {
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.note_revision(revision);
        if age_ms < u32::MAX {
            upstreams.confirm(revision, sent_ms.saturating_sub(u64::from(age_ms)));
        }
    }

    /// Requests a newer list, unless it has just done so or may be receiving one. Many VMs do so at once, so a
    /// keeper of the own zone gets the request first. `holder` certainly holds a newer list; a leader sends the
    /// request there, since no other VM can be expected to have it.
    pub(super) fn request_list(&self, holder: VmId, now_ms: u64) {
        let have = self.upstreams.borrow().revision;
        let held = self.upstreams.borrow().is_loaded();
        let again_ms = match (self.links.is_receiving_large(), held) {
            (true, _) => REPEAT_RECEIVING_MS,
            (false, true) => REPEAT_MS,
            (false, false) => REPEAT_WITHOUT_LIST_MS,
        };
        let attempt = {
            let mut view = self.view.borrow_mut();
            if view.list_requested_ms + again_ms > now_ms {
                return;
            }
            view.list_requested_ms = now_ms;
            view.list_attempts = view.list_attempts.saturating_add(1);
            view.list_attempts - 1
        };
        let source = match requests_from_holder(self.leads(now_ms), held, attempt) {
            true => holder,
            false => self.update_source(attempt).unwrap_or(holder),
        };
        self.links.send(source, &VmMessage::WantList { have });
    }

    /// Answers a VM that requests a list newer than `have`, now or once there is one.
    pub(super) fn answer_list_request(&self, to: VmId, have: ListRevision) {
        let upstreams = self.upstreams.borrow();
        if upstreams.revision <= have {
            self.list_state.borrow_mut().list_waiters.insert(to, have);
            return;
        }
        match upstreams.delta_since(have) {
            Some(delta) => {
                let revisions = (delta.from, delta.to);
                let make = || VmMessage::ListDelta(delta);
                self.links.send_shared(to, "list_step", revisions, &self.delta_frame, make);
            }
            None => {
                self.links.send_shared(to, "list", upstreams.revision, &self.list_frame, || {
                    VmMessage::List { revision: upstreams.revision, rows: upstreams.rows() }
                })
            }
        }
    }

    /// Answers the waiting VMs for which this VM has something newer by now.
    pub(super) fn answer_waiting(&self) {
        let now_ms = self.now_ms();
        let (list_waiters, update_waiters) = {
            let mut state = self.list_state.borrow_mut();
            if state.list_waiters.is_empty() && state.update_waiters.is_empty() {
                return;
            }
            (std::mem::take(&mut state.list_waiters), std::mem::take(&mut state.update_waiters))
        };
        list_waiters.into_iter().for_each(|(to, have)| self.answer_list_request(to, have));
        let unanswered = update_waiters.into_iter().filter(|(to, (request, received_ms))| {
            received_ms + WAITER_TTL_MS > now_ms
                && !self.answer_if_newer(*to, *request, *received_ms)
        });
        let unanswered: Vec<_> = unanswered.collect();
        self.list_state.borrow_mut().update_waiters.extend(unanswered);
    }

    /// Sends a change of the list to the other VMs, or a new leader's first list. The first list and large
    /// changes go to the keepers only: the other VMs get the revision with their next grant and request the list
    /// from keepers of their zones.
    pub(super) fn send_list(&self, delta: ListDelta) {
        let upstreams = self.upstreams.borrow().entries.len();
        let changed = delta.change.rows.len() + delta.change.removed.len();
        info!(target: "list", upstreams, changed, change = delta.to.change, "changed");
        let view = self.view.borrow();
        let not_own = |id: &VmId| *id != self.id;
        let keepers = view.keepers.iter().copied().filter(not_own);
        if delta.from.change == 0 {
            let whole =
                VmMessage::List { revision: delta.to, rows: self.upstreams.borrow().rows() };
            self.links.send_all(keepers, &whole);
        } else if changed > MAX_PUSHED_ROWS {
            self.links.send_all(keepers, &VmMessage::ListDelta(delta));
        } else {
            let others = view.roster.rows.iter().map(|row| row.id).filter(not_own);
            self.links.send_all(others, &VmMessage::ListDelta(delta));
        }
    }

    /// Applies a delta that another VM sent. If it doesn't fit the list held here, requests the list there.
    pub(super) fn apply_list_delta(&self, from: VmId, delta: ListDelta) {
        let have = self.upstreams.borrow().revision;
        if delta.to <= have {
            return;
        }
        if self.upstreams.borrow_mut().apply_delta(delta, self.now_ms()) {
            self.note_received();
        } else {
            self.links.send(from, &VmMessage::WantList { have });
        }
    }

    /// Applies a whole list that another VM sent, or that was stored on disk.
    pub(super) fn apply_list(&self, revision: ListRevision, rows: Vec<UpstreamEntry>) {
        if self.upstreams.borrow_mut().take_whole(revision, rows, self.now_ms()) {
            self.note_received();
        }
    }

    /// Clears what belongs to this VM's own reading, now that another VM's list is in use. The VM that read the
    /// list reports its findings.
    fn note_received(&self) {
        {
            let mut state = self.list_state.borrow_mut();
            state.unread = 0;
            state.found.clear();
        }
        self.view.borrow_mut().list_attempts = 0;
        self.upstreams.borrow_mut().last_replaced.clear();
        self.share_notes_of_new_versions();
        self.contact_changed.notify_waiters();
        self.answer_waiting();
    }

    /// Has the disk thread store the list, if it has changed since it was last stored and the thread isn't busy.
    pub(super) fn store_on_disk(&self) {
        let upstreams = self.upstreams.borrow();
        let mut state = self.list_state.borrow_mut();
        if state.storing || !upstreams.is_loaded() || state.stored == upstreams.revision {
            return;
        }
        let list = StoredList { revision: upstreams.revision, rows: upstreams.rows() };
        let sent =
            state.disk.as_ref().is_some_and(|disk| disk.send(DiskJob::KeepList(list)).is_ok());
        if sent {
            (state.storing, state.stored) = (true, upstreams.revision);
        }
    }
}
