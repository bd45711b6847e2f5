//! How the list of upstreams, and what is known of its age, comes from VM to VM.
//!
//! A leader sends steps to all. A VM that lacks a state requests it from one that holds it, and is answered at
//! once or as soon as that VM holds it. A VM without news for too long asks a few others
//! what they know, whether there is a leader or not: what is known anywhere outlives the leader.
//! Invariant: an answer to a question proves only what was so when the question was sent. See
//! `docs/design/fleet-news.md`.

use tracing::info;

use super::vm_disk::DiskJob;
use super::vm_node::VmNode;
use crate::coordination::list_reader::{reader_order, request_targets, LIST_REQUEST_MS};
use crate::coordination::news_source::requests_from_holder;
use crate::protocol::vm_wire::{NewsAsk, PeerNote, VmDatagram, VmId, VmMessage};
use crate::state::kept_list::KeptList;
use crate::state::upstream_list::{ListDelta, ListRevision, UpstreamEntry};

/// The list isn't asked for again within this time while one is held, in milliseconds: whole lists
/// asked for with every answer of the leader were what filled its link at 300 VMs.
const WANT_AGAIN_MS: u64 = 600;
/// The same while none is held, which is when nothing can be served.
const WANT_FIRST_MS: u64 = 300;
/// The same while a large frame is being received, which may be the list.
const WANT_LARGE_MS: u64 = 2000;
/// A step of more rows isn't sent to every VM by the leader: its link and its processor carry copies to a
/// few keepers, not to a thousand VMs.
const MOST_PUSHED_ROWS: usize = 100;
/// Questions are remembered this long for a later answer, in milliseconds; who asked asks again.
const ASK_KEEP_MS: u64 = 2000;
/// What is younger by less than this is no news, in milliseconds: two that wait for the same
/// reading would only send each other the delay of their datagrams.
const YOUNGER_MS: u64 = 200;
/// A VM whose configuration was confirmed longer ago than this part of the time within which a
/// change must be in force asks others, too.
const UNCONFIRMED_PART: u64 = 2;

/// An age as sent, in milliseconds; what never was is older than any.
pub(super) fn sent_age_ms(since_ms: u64, now_ms: u64) -> u32 {
    match since_ms {
        0 => u32::MAX,
        since_ms => u32::try_from(now_ms.saturating_sub(since_ms)).unwrap_or(u32::MAX),
    }
}

impl VmNode {
    /// The VMs by the order in which they read without a leader. The leader itself comes last of
    /// all: it reads anyway, or it is gone.
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

    /// Whether the configuration in force was confirmed so long ago that others should be asked.
    pub(super) fn is_unconfirmed(&self, now_ms: u64) -> bool {
        let contact = self.contact.borrow();
        let apply_ms = self.settings.borrow().bounds.apply_ms;
        contact.applied() > 0 && contact.age_ms(now_ms) > apply_ms / UNCONFIRMED_PART
    }

    /// Asks a few others what they know, unless it just did.
    pub(super) fn request_updates(&self, now_ms: u64) {
        let (round, due) = {
            let mut desk = self.list_state.borrow_mut();
            let due = desk.asked_ms + LIST_REQUEST_MS <= now_ms;
            if due {
                let in_a_row = desk.asked_ms + 3 * LIST_REQUEST_MS > now_ms;
                desk.round = if in_a_row { desk.round + 1 } else { 0 };
                desk.asked_ms = now_ms;
            }
            (desk.round, due)
        };
        if !due {
            return;
        }
        let ask = {
            let upstreams = self.upstreams.borrow();
            NewsAsk {
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
        let asked = request_targets(&order, self.id, round, self.draw() as usize);
        self.send_datagrams(asked, &VmDatagram::AskNews(ask));
    }

    /// Answers a question at once if this VM knows more, or remembers it.
    pub(super) fn answer_update_request(&self, from: VmId, ask: NewsAsk) {
        let now_ms = self.now_ms();
        if !self.answer_if_known(from, ask, now_ms) {
            self.list_state.borrow_mut().asking.insert(from, (ask, now_ms));
        }
    }

    fn answer_if_known(&self, to: VmId, ask: NewsAsk, came_ms: u64) -> bool {
        let note = {
            let (upstreams, contact) = (self.upstreams.borrow(), self.contact.borrow());
            PeerNote {
                sent_ms: ask.sent_ms,
                list: upstreams.revision,
                list_age_ms: sent_age_ms(upstreams.confirmed_ms, came_ms),
                version: contact.applied(),
                version_age_ms: sent_age_ms(contact.confirmed_ms(), came_ms),
            }
        };
        let younger = |own: u32, other: u32| u64::from(own) + YOUNGER_MS < u64::from(other);
        let knows = note.list > ask.list
            || note.list == ask.list && younger(note.list_age_ms, ask.list_age_ms)
            || younger(note.version_age_ms, ask.version_age_ms);
        if knows {
            self.send_datagram(to, &VmDatagram::PeerNews(note));
        }
        knows
    }

    /// Takes what another VM knows.
    pub(super) fn apply_peer_update(&self, from: VmId, note: PeerNote) {
        let now_ms = self.now_ms();
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

    /// Another VM answered a question of `sent_ms` that it held the state `mark` then, and how long
    /// before that was surely the platform's.
    pub(super) fn note_list_age(&self, mark: ListRevision, sent_ms: u64, age_ms: u32) {
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.note_revision(mark);
        if age_ms < u32::MAX {
            upstreams.confirm(mark, sent_ms.saturating_sub(u64::from(age_ms)));
        }
    }

    /// Asks for a newer state of the list, unless that was done a moment ago or a large answer is on
    /// its way. A keeper of the own zone is asked first, since many ask at once; `holder` has it surely, and
    /// is asked by a leader, which no other VM can give anything newer.
    pub(super) fn request_list(&self, holder: VmId, now_ms: u64) {
        let have = self.upstreams.borrow().revision;
        let held = self.upstreams.borrow().is_held();
        let again_ms = match (self.links.is_receiving_large(), held) {
            (true, _) => WANT_LARGE_MS,
            (false, true) => WANT_AGAIN_MS,
            (false, false) => WANT_FIRST_MS,
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

    /// Answers a VM that wants a newer state than it holds, now or once there is one.
    pub(super) fn answer_list_request(&self, to: VmId, have: ListRevision) {
        let upstreams = self.upstreams.borrow();
        if upstreams.revision <= have {
            self.list_state.borrow_mut().wanting.insert(to, have);
            return;
        }
        match upstreams.delta_since(have) {
            Some(step) => {
                let marks = (step.from, step.to);
                let make = || VmMessage::ListDelta(step);
                self.links.send_shared(to, "list_step", marks, &self.delta_frame, make);
            }
            None => {
                self.links.send_shared(to, "list", upstreams.revision, &self.list_frame, || {
                    VmMessage::List { mark: upstreams.revision, rows: upstreams.rows() }
                })
            }
        }
    }

    /// Answers those who wait with what is known by now.
    pub(super) fn answer_waiting(&self) {
        let now_ms = self.now_ms();
        let (wanting, asking) = {
            let mut desk = self.list_state.borrow_mut();
            if desk.wanting.is_empty() && desk.asking.is_empty() {
                return;
            }
            (std::mem::take(&mut desk.wanting), std::mem::take(&mut desk.asking))
        };
        wanting.into_iter().for_each(|(to, have)| self.answer_list_request(to, have));
        let unanswered = asking.into_iter().filter(|(to, (ask, came_ms))| {
            came_ms + ASK_KEEP_MS > now_ms && !self.answer_if_known(*to, *ask, *came_ms)
        });
        let unanswered: Vec<_> = unanswered.collect();
        self.list_state.borrow_mut().asking.extend(unanswered);
    }

    /// Sends the others a list that changed, or a new leader's first. What is large goes to the
    /// keepers alone: the others hear of its mark with their next grant and ask those of their zones.
    pub(super) fn send_list(&self, step: ListDelta) {
        let upstreams = self.upstreams.borrow().entries.len();
        let changed = step.change.rows.len() + step.change.removed.len();
        info!(target: "list", upstreams, changed, change = step.to.change, "changed");
        let view = self.view.borrow();
        let not_own = |id: &VmId| *id != self.id;
        let keepers = view.keepers.iter().copied().filter(not_own);
        if step.from.change == 0 {
            let whole = VmMessage::List { mark: step.to, rows: self.upstreams.borrow().rows() };
            self.links.send_all(keepers, &whole);
        } else if changed > MOST_PUSHED_ROWS {
            self.links.send_all(keepers, &VmMessage::ListDelta(step));
        } else {
            let others = view.roster.rows.iter().map(|row| row.id).filter(not_own);
            self.links.send_all(others, &VmMessage::ListDelta(step));
        }
    }

    /// Takes a step that another VM sent; asks that VM if it doesn't fit what is here.
    pub(super) fn apply_list_delta(&self, from: VmId, step: ListDelta) {
        let have = self.upstreams.borrow().revision;
        if step.to <= have {
            return;
        }
        if self.upstreams.borrow_mut().apply_delta(step, self.now_ms()) {
            self.note_received();
        } else {
            self.links.send(from, &VmMessage::WantList { have });
        }
    }

    /// Takes a whole list that another VM sent, or that was kept on disk.
    pub(super) fn apply_list(&self, mark: ListRevision, rows: Vec<UpstreamEntry>) {
        if self.upstreams.borrow_mut().take_whole(mark, rows, self.now_ms()) {
            self.note_received();
        }
    }

    /// Another VM's state was taken: that one knows what of it could not be read.
    fn note_received(&self) {
        {
            let mut desk = self.list_state.borrow_mut();
            desk.unread = 0;
            desk.found.clear();
        }
        self.view.borrow_mut().list_attempts = 0;
        self.upstreams.borrow_mut().last_replaced.clear();
        self.contact_changed.notify_waiters();
        self.answer_waiting();
    }

    /// Has the disk keep the list, if it is another than before and the disk is free.
    pub(super) fn keep_on_disk(&self) {
        let upstreams = self.upstreams.borrow();
        let mut desk = self.list_state.borrow_mut();
        if desk.keeping || !upstreams.is_held() || desk.kept == upstreams.revision {
            return;
        }
        let list = KeptList { mark: upstreams.revision, rows: upstreams.rows() };
        let sent =
            desk.disk.as_ref().is_some_and(|disk| disk.send(DiskJob::KeepList(list)).is_ok());
        if sent {
            (desk.keeping, desk.kept) = (true, upstreams.revision);
        }
    }
}
