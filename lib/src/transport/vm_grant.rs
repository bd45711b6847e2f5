//! Answers to renewals: how the leader makes a grant, and how a VM applies one.
//!
//! Invariant: a leader sends grants only while it is certain to lead. Any other VM returns the leader and
//! the keepers that it last received.

use tracing::{debug, info};

use super::vm_contact::LEADER_TIMEOUT_MS;
use super::vm_keeper::KeeperDriver;
use super::vm_list_news::sent_age_ms;
use super::vm_node::VmNode;
use crate::coordination::fleet_health::{flags_failing, HealthReport};
use crate::coordination::holder_news::{HolderNote, HolderPosition};
use crate::coordination::news_source::{choose_source, UpdateRequester};
use crate::coordination::upstream_load::LoadUpdate;
use crate::coordination::vm_roster::{loads_shared_ms, RosterRevision, RosterUpdate, SETTLE_MS};
use crate::protocol::vm_wire::{vm_address, GrantNote, RenewalNote, VmDatagram, VmId, VmMessage};
use crate::state::ids::UpstreamKey;
use crate::state::rollout_order::RolloutTable;
use crate::state::upstream_list::ListRevision;
use crate::state::zone_order::ZoneOrders;

/// The roster update of a grant. It is empty for a VM that already has a roster, until the leader has led
/// long enough to have received a renewal of every VM: an earlier roster would lack VMs.
fn roster_update(keeper: &KeeperDriver, have: RosterRevision, now_ms: u64) -> RosterUpdate {
    match keeper.led_ms(now_ms) >= SETTLE_MS || have.term == 0 {
        true => keeper.roster.update_since(keeper.term(), have),
        false => RosterUpdate::default(),
    }
}

impl VmNode {
    /// Answers a renewal: with a grant if this VM is certain to lead, otherwise with where the leader may be.
    pub(super) fn answer_renewal(&self, from: VmId, note: RenewalNote) {
        let now_ms = self.now_ms();
        self.note_list_held(from, note.list, now_ms);
        let answer = match self.keeper.borrow_mut().as_mut() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => {
                keeper.roster.note(note.row, note.keeper, note.loads.clone(), now_ms);
                VmDatagram::Grant(self.grant(keeper, from, note, now_ms))
            }
            Some(keeper) => self.redirect_as_keeper(keeper, from),
            None => self.redirect(now_ms),
        };
        self.send_datagram(from, &answer);
    }

    /// Records the reports of a renewal, as the leader, and returns the answer.
    fn grant(
        &self,
        keeper: &KeeperDriver,
        from: VmId,
        note: RenewalNote,
        now_ms: u64,
    ) -> GrantNote {
        let (term, record) = (keeper.term(), &keeper.record);
        let (holders, holders_received) =
            self.exchange_holders(term, &note.holders, note.holders_received, now_ms);
        let failing = self.take_health_reports(term, &note.health_reports, now_ms);
        self.record_suspicions(term, from, &note.unreachable);
        self.record_rollout_reports(term, from, note.incarnation, note.rollouts);
        self.receive_crashes(term, &note.crashes, &record.quarantine, now_ms);
        let upstreams = self.upstreams.borrow();
        GrantNote {
            sent_ms: note.sent_ms,
            term,
            version: record.document.version,
            list: upstreams.revision,
            list_age_ms: sent_age_ms(upstreams.confirmed_ms, now_ms),
            keepers: keeper.members().iter().map(|id| id.0).collect(),
            roster: roster_update(keeper, note.roster, now_ms),
            loads: self.shared_loads.borrow_mut().update(
                || keeper.roster.loads(),
                loads_shared_ms(keeper.roster.len()),
                &upstreams,
                note.list,
                now_ms,
            ),
            holders,
            holders_received,
            failing,
            zones: record.zones.update_since(note.zone_orders),
            unresponsive: self.unresponsive_update(note.unresponsive),
            rollouts: record.rollouts.update_since(note.rollout_changes),
            quarantine: record.quarantine.update_since(note.quarantine_changes),
            last_crash: note.crashes.last(),
        }
    }

    /// The answer of a keeper that isn't certain to lead. It remembers the sender, to announce itself there
    /// once it leads.
    fn redirect_as_keeper(&self, keeper: &KeeperDriver, from: VmId) -> VmDatagram {
        let mut seekers = self.seekers.borrow_mut();
        seekers.insert(from);
        VmDatagram::Redirect {
            leader: keeper.leader().map(|id| id.0),
            keepers: keeper.members().iter().map(|id| id.0).collect(),
            vms: self.view.borrow().vms.max(seekers.len()) as u32,
        }
    }

    /// The answer of a VM without a keeper.
    fn redirect(&self, now_ms: u64) -> VmDatagram {
        let view = self.view.borrow();
        let fresh = view.last_contact_ms + LEADER_TIMEOUT_MS > now_ms;
        VmDatagram::Redirect {
            leader: view.leader.filter(|_| fresh),
            keepers: view.keepers.clone(),
            vms: view.vms as u32,
        }
    }

    /// Records that a VM holds this revision of the list. A leader that holds a lower one requests it, so that
    /// its own next revision is above it.
    fn note_list_held(&self, from: VmId, revision: ListRevision, now_ms: u64) {
        self.upstreams.borrow_mut().note_revision(revision);
        if self.leads(now_ms) && revision > self.upstreams.borrow().revision {
            self.request_list(from, now_ms);
        }
    }

    /// Records the outcomes of a VM's sends, as the leader, and returns the upstreams that fail for all VMs.
    fn take_health_reports(
        &self,
        term: u64,
        notes: &[HealthReport],
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        for note in notes.iter().filter(|note| note.succeeded > 0) {
            self.silence.borrow_mut().table.note_successes(note.upstream, note.succeeded, now_ms);
        }
        if !flags_failing(self.view.borrow().vms) {
            return Vec::new();
        }
        let upstreams = self.upstreams.borrow();
        let service = |key| upstreams.entries.get(&key).map_or("", |entry| entry.service.as_str());
        let fleet = |key| upstreams.accepting(service(key)).map(|(key, _)| key);
        let mut state = self.health.borrow_mut();
        for key in state.table.take(term, notes, fleet, now_ms) {
            let life = upstreams.entries.get(&key).map_or("", |entry| entry.name.as_str());
            info!(target: "upstream", life, "fails for all VMs");
        }
        state.table.flagged(now_ms)
    }

    /// Records a VM's notes on holders, as the leader. Returns the notes that the VM lacks, and the position
    /// in the log up to which it has them after that.
    fn exchange_holders(
        &self,
        term: u64,
        notes: &[HolderNote],
        received: HolderPosition,
        now_ms: u64,
    ) -> (Vec<HolderNote>, HolderPosition) {
        let mut holders = self.holders.borrow_mut();
        let fresh = holders.log.take(term, notes);
        self.learn_holders(&fresh, now_ms);
        holders.log.notes_after(received)
    }

    /// Applies the orders of a grant that answers a renewal of `sent_ms`. Orders of a kind are in it only if
    /// they differ from those that this VM reported, so after this the VM has all orders as of `sent_ms`.
    fn apply_orders(
        &self,
        zones: Option<ZoneOrders>,
        rollouts: Option<RolloutTable>,
        sent_ms: u64,
    ) {
        zones.into_iter().for_each(|orders| self.apply_zone_orders(orders));
        rollouts.into_iter().for_each(|table| self.apply_rollouts(table));
        self.rollouts.borrow_mut().tracker_mut().prove(sent_ms);
    }

    /// Adds notes on holders to this VM's own memory of where prompt parts are cached.
    fn learn_holders(&self, notes: &[HolderNote], now_ms: u64) {
        let mut prefixes = self.prefixes.borrow_mut();
        for note in notes {
            prefixes.note_reported(note.part, note.engine, now_ms);
        }
    }

    /// Applies a grant: confirms or replaces this VM's tables, and requests a newer document or list. A grant to
    /// an earlier process of this VM is ignored, since it leaves out what that process had.
    pub(super) fn apply_grant(&self, from: VmId, mut grant: GrantNote) {
        let now_ms = self.now_ms();
        if !self.clock.is_own_time(grant.sent_ms) {
            return debug!(target: "contact", "a grant to an earlier process is ignored");
        }
        self.learn_holders(&grant.holders, now_ms);
        self.holders.borrow_mut().received = grant.holders_received;
        self.note_list_age(grant.list, grant.sent_ms, grant.list_age_ms);
        match grant.unresponsive.take() {
            Some(upstreams) => self.apply_unresponsive(upstreams),
            None => self.silence.borrow_mut().view.confirm(now_ms),
        }
        self.apply_orders(grant.zones.take(), grant.rollouts.take(), grant.sent_ms);
        grant.quarantine.take().into_iter().for_each(|table| self.apply_quarantine(table));
        self.quarantine.borrow_mut().confirm(grant.term, grant.last_crash);
        let (sent_ms, version, list) = (grant.sent_ms, grant.version, grant.list);
        self.update_view(from, grant, now_ms);
        self.contact.borrow_mut().note_grant(sent_ms, version);
        self.contact_changed.notify_waiters();
        self.renew_if_changed();
        if self.contact.borrow_mut().should_request_document(version, now_ms) {
            self.request_document(from);
        }
        if list > self.upstreams.borrow().revision {
            self.request_list(from, now_ms);
        }
        self.answer_waiting();
    }

    /// Applies what a grant reports of the other VMs.
    fn update_view(&self, from: VmId, grant: GrantNote, now_ms: u64) {
        let mut view = self.view.borrow_mut();
        if view.leader != Some(from) {
            info!(target: "contact", leader = %vm_address(from), term = grant.term, "renewed");
        }
        view.leader = Some(from);
        view.term = view.term.max(grant.term);
        view.last_contact_ms = now_ms;
        view.first_contact_ms.get_or_insert(now_ms);
        if !grant.keepers.is_empty() {
            view.keepers = grant.keepers;
        }
        view.roster.take(grant.roster);
        view.vms = view.roster.rows.len();
        view.failing = grant.failing;
        let own = view.own_reported.get(&grant.sent_ms).cloned().unwrap_or_default();
        let upstreams = self.upstreams.borrow();
        match grant.loads {
            LoadUpdate::Keyed(loads) => view.reports.note(&loads, &own),
            placed if grant.list == upstreams.revision => {
                match placed.into_sums(upstreams.entries.len()) {
                    Some(sums) => {
                        view.reports.note_positional(upstreams.entries.keys(), &sums, &own)
                    }
                    None => debug!(target: "contact", "the loads do not fit the list"),
                }
            }
            // The list has changed since the renewal was sent; the next answer will fit.
            LoadUpdate::Placed(_) | LoadUpdate::Runs(_) => {}
        }
    }

    /// Requests the newest document from a keeper, since each keeper holds what is committed. After a restart
    /// of the whole fleet every VM requests it, and 70 large documents would fill the leader's link for
    /// seconds, in which it could neither read the list nor reach the VMs. If one keeper lags, a later attempt
    /// goes to another.
    pub(super) fn request_document(&self, leader: VmId) {
        let attempt = {
            let mut view = self.view.borrow_mut();
            view.document_attempts = view.document_attempts.saturating_add(1);
            view.document_attempts - 1
        };
        let source = self.update_source(attempt).unwrap_or(leader);
        self.links.send(source, &VmMessage::WantDocument);
    }

    /// A keeper from which to request the list or the configuration; see [`choose_source`].
    pub(super) fn update_source(&self, attempt: u32) -> Option<VmId> {
        let view = self.view.borrow();
        let asker = UpdateRequester { id: self.id, zone: self.zone };
        choose_source(&view.keepers, &view.roster.rows, asker, attempt, self.draw())
    }

    /// Renews with itself if this VM is the leader, without a datagram. Returns whether it is.
    pub(super) fn grant_to_itself(&self, now_ms: u64) -> bool {
        let row = self.own_row();
        let loads = self.own_loads();
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut().filter(|keeper| keeper.is_confirmed_leader(now_ms))
        else {
            return false;
        };
        keeper.roster.note(row, Some(keeper.incarnation), loads.clone(), now_ms);
        {
            let mut holders = self.holders.borrow_mut();
            let own = holders.outbox.take();
            holders.log.take(keeper.term(), &own);
        }
        let own_reports = self.health.borrow_mut().outbox.take();
        let failing = self.take_health_reports(keeper.term(), &own_reports, now_ms);
        let suspicions = self.silence.borrow_mut().view.take_suspicions();
        self.record_suspicions(keeper.term(), self.id, &suspicions);
        let (incarnation, reports) = (self.rollouts.borrow().incarnation(), self.rollout_reports());
        self.record_rollout_reports(keeper.term(), self.id, incarnation, reports);
        self.receive_own_crashes(keeper.term(), &keeper.record.quarantine, now_ms);
        let mut view = self.view.borrow_mut();
        view.failing = failing;
        view.leader = Some(self.id);
        view.term = keeper.term();
        view.last_contact_ms = now_ms;
        view.first_contact_ms.get_or_insert(now_ms);
        view.keepers = keeper.members().iter().map(|id| id.0).collect();
        let update = roster_update(keeper, view.roster.revision, now_ms);
        view.roster.take(update);
        view.vms = view.roster.rows.len();
        view.reports.note(&keeper.roster.loads(), &loads);
        let zones = keeper.record.zones.update_since(self.zones.borrow().watch.orders.accepted());
        let known = self.rollouts.borrow().tracker().table().changes();
        self.apply_orders(zones, keeper.record.rollouts.update_since(known), now_ms);
        self.contact.borrow_mut().note_grant(now_ms, keeper.record.document.version);
        self.contact_changed.notify_waiters();
        true
    }
}
