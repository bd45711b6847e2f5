//! Renewals: how a VM stays in contact with the leader, how often, and what it reports. Answers are in
//! `vm_grant`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tracing::{debug, info};

use super::vm_node::VmNode;
use super::wire_count::DATAGRAM_HEAD_BYTES;
use crate::coordination::list_reader::NO_LIST_MS;
use crate::coordination::vm_roster::{
    leader_search_pause_ms, overloaded_renew_ms, MANY_VMS, OVERLOADED_KEEP_MS, RENEW_MS,
};
use crate::protocol::vm_wire::{decode, encode, vm_address, RenewalNote, VmDatagram, VmId};

/// A VM without an answer of the leader for this long, in milliseconds, sends its renewals to all known
/// keepers.
pub(super) const LEADER_TIMEOUT_MS: u64 = 2 * RENEW_MS + 50;
/// What a renewal reported is kept for its answer this long, in milliseconds. The sums in a later answer are
/// too old to use.
const REPORT_TTL_MS: u64 = 2000;
/// The size of the buffer for one datagram, in bytes; no datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// How many VMs, drawn from the roster, get a renewal in addition to the keepers while the leader doesn't
/// answer.
const OTHER_TARGETS: usize = 2;
/// In a fleet of [`MANY_VMS`] or more, a VM without a leader sends each renewal to this many of its
/// possible targets, and to others each time: if every VM sent to all of them every 50 ms, the keepers of
/// 300 VMs couldn't answer.
const MAX_TARGETS: usize = 3;

impl VmNode {
    /// Renews in a loop, more often while there is no contact or no configuration.
    pub async fn run_renewals(self: Rc<Self>) {
        loop {
            self.renew();
            let silent = self.view.borrow().last_contact_ms + LEADER_TIMEOUT_MS <= self.now_ms();
            // A VM without a list or routes can't serve. The leader may have them by now.
            let incomplete = !self.upstreams.borrow().is_loaded() || self.routes.borrow().is_none();
            let young = incomplete && self.clock.age_ms() < NO_LIST_MS;
            let pause = match silent || young {
                true => leader_search_pause_ms(self.view.borrow().vms),
                false => self.renew_pause_ms(),
            };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Announces this VM as the leader, once a term, to the VMs of its roster and to those that sent it renewals
    /// before it led, so that they needn't search for the leader.
    pub(super) fn announce_leadership(&self, now_ms: u64) {
        let term = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => keeper.term(),
            _ => return,
        };
        if std::mem::replace(&mut self.view.borrow_mut().announced_term, term) == term {
            return;
        }
        let datagram = VmDatagram::Leads { term };
        let others: Vec<VmId> = {
            let mut seekers = self.seekers.borrow_mut();
            let rows = self.view.borrow().roster.rows.iter().map(|row| row.id).collect::<Vec<_>>();
            seekers.extend(rows);
            std::mem::take(&mut *seekers).into_iter().filter(|id| *id != self.id).collect()
        };
        info!(target: "contact", term, told = others.len(), "tells that it leads");
        self.send_datagrams(others, &datagram);
    }

    /// Records that another VM announced itself as the leader, and renews with it, if its term is a new one.
    fn note_leader(&self, from: VmId, term: u64) {
        let newer = {
            let mut view = self.view.borrow_mut();
            let newer = term > view.term;
            if newer {
                (view.term, view.leader) = (term, Some(from));
            }
            newer
        };
        if newer {
            let now_ms = self.now_ms();
            self.send_datagram(from, &self.renewal(now_ms));
        }
    }

    /// The pause between two renewals, in milliseconds. It is shorter while engines are nearly full.
    fn renew_pause_ms(&self) -> u64 {
        match self.overloaded_ms.get() + OVERLOADED_KEEP_MS > self.now_ms() {
            true => overloaded_renew_ms(self.view.borrow().roster.rows.len()),
            false => RENEW_MS,
        }
    }

    /// Renews once, with the leader or with VMs that may return its address.
    pub fn renew(&self) {
        let now_ms = self.now_ms();
        let answered = self.wrongly_crashed();
        if self.grant_to_itself(now_ms) {
            self.withdraw_crashes(&answered);
            return;
        }
        let renewal = self.renewal(now_ms);
        let targets = self.request_targets(now_ms);
        if !answered.is_empty() {
            self.send_datagrams(targets.iter().copied(), &VmDatagram::Answered(answered));
        }
        self.send_datagrams(targets, &renewal);
    }

    /// Makes a renewal. Keeps the loads that it reports, to subtract them from the sums in the answer.
    fn renewal(&self, now_ms: u64) -> VmDatagram {
        let loads = self.own_loads();
        let keeper = self.keeper.borrow().as_ref().map(|keeper| keeper.incarnation);
        let row = self.own_row();
        let mut view = self.view.borrow_mut();
        let (roster, list) = (view.roster.revision, self.upstreams.borrow().revision);
        let mut holder_state = self.holders.borrow_mut();
        let (holders, holders_received) = (holder_state.outbox.take(), holder_state.received);
        let (unreachable, unresponsive) = {
            let view = &mut self.silence.borrow_mut().view;
            (view.take_suspicions(), view.revision())
        };
        let (quarantine_changes, crashes) = {
            let mut state = self.quarantine.borrow_mut();
            (state.changes(), state.take_report(now_ms))
        };
        let note = RenewalNote {
            sent_ms: now_ms,
            row,
            keeper,
            loads,
            roster,
            list,
            holders,
            holders_received,
            health_reports: self.health.borrow_mut().outbox.take(),
            zone_orders: self.zones.borrow().watch.orders.accepted(),
            unreachable,
            unresponsive,
            rollout_changes: self.rollouts.borrow().tracker().table().changes(),
            incarnation: self.rollouts.borrow().incarnation(),
            rollouts: self.rollout_reports(),
            quarantine_changes,
            crashes,
        };
        view.own_reported.insert(now_ms, note.loads.clone());
        view.own_reported.retain(|reported_ms, _| reported_ms + REPORT_TTL_MS > now_ms);
        VmDatagram::Renew(note)
    }

    /// The VMs to renew with: the leader as long as it answers, otherwise VMs that may return its address.
    fn request_targets(&self, now_ms: u64) -> Vec<VmId> {
        let own_view = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let view = self.view.borrow();
        let leader = own_view.map(|id| id.0).or(view.leader).filter(|id| *id != self.id);
        if let Some(leader) = leader {
            if view.last_contact_ms + LEADER_TIMEOUT_MS > now_ms {
                return vec![leader];
            }
        }
        let mut targets: Vec<VmId> = leader.into_iter().collect();
        targets.extend(&view.keepers);
        if let Some(keeper) = &*self.keeper.borrow() {
            targets.extend(keeper.members().iter().map(|id| id.0));
        }
        targets.extend(self.settings.borrow().seeds.iter().map(|ip| VmId::from(*ip)));
        let rows = &view.roster.rows;
        if !rows.is_empty() {
            let start = self.draw() as usize;
            let others = (0..OTHER_TARGETS).map(|at| rows[(start + at) % rows.len()]);
            targets.extend(others.map(|row| row.id));
        }
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|id| *id != self.id);
        if view.vms >= MANY_VMS {
            let start = self.draw() as usize % targets.len().max(1);
            targets.rotate_left(start);
            targets.truncate(MAX_TARGETS);
            // The last known leader is mostly the first one that answers again.
            targets.extend(leader.filter(|leader| !targets.contains(leader)));
        }
        targets
    }

    /// Sends a datagram to one VM.
    pub(super) fn send_datagram(&self, to: VmId, datagram: &VmDatagram) {
        self.send_datagrams([to], datagram);
    }

    /// Encodes a datagram once and sends it to several VMs.
    pub(super) fn send_datagrams(&self, to: impl IntoIterator<Item = VmId>, datagram: &VmDatagram) {
        let bytes = encode(datagram);
        to.into_iter().for_each(|id| self.send_bytes(id, datagram.kind(), &bytes));
    }

    /// Sends an encoded datagram. One that the system doesn't accept at once is dropped.
    fn send_bytes(&self, to: VmId, kind: &'static str, bytes: &[u8]) {
        self.wire.sent(kind, bytes.len() as u64 + DATAGRAM_HEAD_BYTES);
        let address = SocketAddr::from((vm_address(to), self.settings.borrow().peer_port));
        if let Err(error) = self.datagrams.try_send_to(bytes, address) {
            debug!(target: "contact", %address, "a datagram was not sent: {error}");
        }
    }

    /// Receives datagrams in a loop.
    pub async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.datagrams.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    debug!(target: "contact", "cannot receive: {error}");
                    continue;
                }
            };
            let SocketAddr::V4(from) = from else { continue };
            match decode::<VmDatagram>(&buffer[..length]) {
                Ok(datagram) => {
                    self.wire.received(datagram.kind(), length as u64 + DATAGRAM_HEAD_BYTES);
                    self.handle_datagram(VmId::from(*from.ip()), datagram);
                }
                Err(error) => {
                    debug!(target: "contact", %from, "a datagram cannot be decoded: {error}")
                }
            }
        }
    }

    /// Handles a datagram of another VM. Tables of a leader with an outdated term are ignored.
    fn handle_datagram(&self, from: VmId, datagram: VmDatagram) {
        match datagram {
            VmDatagram::Renew(note) => self.answer_renewal(from, note),
            VmDatagram::Grant(grant) => self.apply_grant(from, grant),
            VmDatagram::Leads { term } => self.note_leader(from, term),
            VmDatagram::Unresponsive { term, upstreams } => {
                if term >= self.view.borrow().term {
                    self.apply_unresponsive(upstreams);
                }
            }
            VmDatagram::Rollouts { term, table } => {
                if term >= self.view.borrow().term {
                    self.apply_rollouts(table);
                }
            }
            VmDatagram::Quarantine { term, table } => {
                if term >= self.view.borrow().term {
                    self.apply_quarantine(table);
                }
            }
            VmDatagram::Answered(upstreams) => self.withdraw_crashes(&upstreams),
            VmDatagram::StreamOrigins(notes) => self.receive_notes(notes),
            VmDatagram::FindOrigin(question) => self.answer_origin_question(from, &question),
            VmDatagram::OriginReply(reply) => self.receive_origin_reply(from, reply),
            VmDatagram::RequestUpdate(request) => self.answer_update_request(from, request),
            VmDatagram::PeerUpdate(note) => self.apply_peer_update(from, note),
            VmDatagram::Redirect { leader, keepers, vms } => {
                let now_ms = self.now_ms();
                let mut view = self.view.borrow_mut();
                view.vms = view.vms.max(vms as usize);
                if view.last_contact_ms + LEADER_TIMEOUT_MS > now_ms {
                    return;
                }
                if view.keepers.is_empty() {
                    view.keepers = keepers;
                }
                if let Some(leader) = leader.filter(|id| *id != self.id) {
                    if view.leader != Some(leader) {
                        view.leader = Some(leader);
                        drop(view);
                        self.send_datagram(leader, &self.renewal(now_ms));
                    }
                }
            }
        }
    }

    /// Waits until the configuration in force is confirmed as the newest one as of `since_ms`. Returns false if
    /// that doesn't happen within `timeout`.
    pub async fn confirm(&self, since_ms: u64, timeout: Duration) -> bool {
        self.wait_for_proof(timeout, || self.contact.borrow().confirmed_ms() >= since_ms).await
    }

    /// Waits until the orders for zones and roll-outs are confirmed as the newest ones as of `since_ms`. Only
    /// the leader confirms orders; the configuration may also be confirmed by other VMs.
    pub async fn confirm_orders(&self, since_ms: u64, timeout: Duration) -> bool {
        let proved = || self.rollouts.borrow().tracker().proved_ms() >= Some(since_ms);
        self.wait_for_proof(timeout, proved).await
    }

    /// Renews, and waits until `proved` returns true. Returns false after `timeout`.
    async fn wait_for_proof(&self, timeout: Duration, proved: impl Fn() -> bool) -> bool {
        self.renew();
        self.wait_for_contact(timeout, proved).await
    }

    /// Waits until `holds` returns true, which is asked again whenever the contact, the routes or the list of
    /// upstreams change. Returns false after `timeout`.
    pub(super) async fn wait_for_contact(
        &self,
        timeout: Duration,
        holds: impl Fn() -> bool,
    ) -> bool {
        let holding = async {
            loop {
                let changed = self.contact_changed.notified();
                if holds() {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(timeout, holding).await.is_ok()
    }
}
