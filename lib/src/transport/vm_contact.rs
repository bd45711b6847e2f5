//! How a VM stays in contact with the leader: whom it asks, how often, and what it reports. Answers are in
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

/// Without an answer for this long, a VM asks all keepers that it knows.
pub(super) const LEADER_TIMEOUT_MS: u64 = 2 * RENEW_MS + 50;
/// What a renewal reported is kept for its answer this long, in milliseconds; later answers say
/// nothing of the present any more.
const REPORT_KEEP_MS: u64 = 2000;
/// The largest datagram.
const DATAGRAM_BYTES: usize = 64 << 10;
/// VMs outside the keepers that are asked when no keeper answers.
const OTHERS_ASKED: usize = 2;
/// From [`MANY_VMS`] on a VM without a leader asks only so many of those who may know it, each time
/// others: all asking all every 50 ms is more than the keepers of 300 VMs can answer.
const SOME_ASKED: usize = 3;

impl VmNode {
    /// Renews, again and again.
    pub async fn run_renewals(self: Rc<Self>) {
        loop {
            self.renew();
            let silent = self.view.borrow().last_contact_ms + LEADER_TIMEOUT_MS <= self.now_ms();
            // A VM without a list or routes can't serve; the leader may have them by now.
            let lacks = !self.upstreams.borrow().is_held() || self.routes.borrow().is_none();
            let young = lacks && self.clock.age_ms() < NO_LIST_MS;
            let pause = match silent || young {
                true => leader_search_pause_ms(self.view.borrow().vms),
                false => self.renew_pause_ms(),
            };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// A leader that may vouch now notifies all VMs that it knows, so that they need not find it.
    pub(super) fn announce_leadership(&self, now_ms: u64) {
        let term = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => keeper.term(),
            _ => return,
        };
        if std::mem::replace(&mut self.view.borrow_mut().announced_term, term) == term {
            return;
        }
        let datagram = VmDatagram::Leads { term };
        let known: Vec<VmId> = {
            let mut seekers = self.seekers.borrow_mut();
            let rows = self.view.borrow().roster.rows.iter().map(|row| row.id).collect::<Vec<_>>();
            seekers.extend(rows);
            std::mem::take(&mut *seekers).into_iter().filter(|id| *id != self.id).collect()
        };
        info!(target: "contact", term, told = known.len(), "tells that it leads");
        self.send_datagrams(known, &datagram);
    }

    /// A VM announced that it leads.
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

    fn renew_pause_ms(&self) -> u64 {
        match self.overloaded_ms.get() + OVERLOADED_KEEP_MS > self.now_ms() {
            true => overloaded_renew_ms(self.view.borrow().roster.rows.len()),
            false => RENEW_MS,
        }
    }

    /// Renews once, with the leader or a VM that may know it.
    pub fn renew(&self) {
        let now_ms = self.now_ms();
        if self.grant_to_itself(now_ms) {
            return;
        }
        let renewal = self.renewal(now_ms);
        self.send_datagrams(self.request_targets(now_ms), &renewal);
    }

    /// A renewal; what it reports of the own load is kept, to take it off the sum that the answer
    /// brings.
    fn renewal(&self, now_ms: u64) -> VmDatagram {
        let loads = self.own_loads();
        let keeper = self.keeper.borrow().as_ref().map(|keeper| keeper.incarnation);
        let row = self.own_row();
        let mut view = self.view.borrow_mut();
        let (roster, list) = (view.roster.mark, self.upstreams.borrow().revision);
        let mut desk = self.holders.borrow_mut();
        let (holders, holders_heard) = (desk.outbox.take(), desk.received);
        let (doubts, dark) = {
            let view = &mut self.silence.borrow_mut().view;
            (view.take_suspicions(), view.revision())
        };
        let (quarantine_changes, crashes) = {
            let mut desk = self.quarantine.borrow_mut();
            (desk.changes(), desk.take_report(now_ms))
        };
        let note = RenewalNote {
            sent_ms: now_ms,
            row,
            keeper,
            loads,
            roster,
            list,
            holders,
            holders_heard,
            health_reports: self.health.borrow_mut().outbox.take(),
            zone_orders: self.zones.borrow().watch.orders.taken(),
            doubts,
            dark,
            rollout_changes: self.rollouts.borrow().tracker().table().changes(),
            life: self.rollouts.borrow().incarnation(),
            rollouts: self.rollout_reports(),
            quarantine_changes,
            crashes,
        };
        view.own_reported.insert(now_ms, note.loads.clone());
        view.own_reported.retain(|reported_ms, _| reported_ms + REPORT_KEEP_MS > now_ms);
        VmDatagram::Renew(note)
    }

    fn request_targets(&self, now_ms: u64) -> Vec<VmId> {
        let own_view = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let view = self.view.borrow();
        let leader = own_view.map(|id| id.0).or(view.leader).filter(|id| *id != self.id);
        if let Some(leader) = leader {
            if view.last_contact_ms + LEADER_TIMEOUT_MS > now_ms {
                return vec![leader];
            }
        }
        let mut asked: Vec<VmId> = leader.into_iter().collect();
        asked.extend(&view.keepers);
        if let Some(keeper) = &*self.keeper.borrow() {
            asked.extend(keeper.members().iter().map(|id| id.0));
        }
        asked.extend(self.settings.borrow().seeds.iter().map(|ip| VmId::from(*ip)));
        let rows = &view.roster.rows;
        if !rows.is_empty() {
            let start = self.draw() as usize;
            let others = (0..OTHERS_ASKED).map(|at| rows[(start + at) % rows.len()]);
            asked.extend(others.map(|row| row.id));
        }
        asked.sort_unstable();
        asked.dedup();
        asked.retain(|id| *id != self.id);
        if view.vms >= MANY_VMS {
            let start = self.draw() as usize % asked.len().max(1);
            asked.rotate_left(start);
            asked.truncate(SOME_ASKED);
            // The last one known comes back first, mostly.
            asked.extend(leader.filter(|leader| !asked.contains(leader)));
        }
        asked
    }

    pub(super) fn send_datagram(&self, to: VmId, datagram: &VmDatagram) {
        self.send_datagrams([to], datagram);
    }

    /// Sends one datagram to several VMs.
    pub(super) fn send_datagrams(&self, to: impl IntoIterator<Item = VmId>, datagram: &VmDatagram) {
        let bytes = encode(datagram);
        to.into_iter().for_each(|id| self.send_bytes(id, datagram.kind(), &bytes));
    }

    fn send_bytes(&self, to: VmId, kind: &'static str, bytes: &[u8]) {
        self.wire.sent(kind, bytes.len() as u64 + DATAGRAM_HEAD_BYTES);
        let address = SocketAddr::from((vm_address(to), self.settings.borrow().peer_port));
        if let Err(error) = self.datagrams.try_send_to(bytes, address) {
            debug!(target: "contact", %address, "a datagram was not sent: {error}");
        }
    }

    /// Takes datagrams, for ever.
    pub async fn receive_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
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
                Err(error) => debug!(target: "contact", %from, "no datagram of ours: {error}"),
            }
        }
    }

    fn handle_datagram(&self, from: VmId, datagram: VmDatagram) {
        match datagram {
            VmDatagram::Renew(note) => self.answer_renewal(from, note),
            VmDatagram::Grant(grant) => self.apply_grant(from, grant),
            VmDatagram::Leads { term } => self.note_leader(from, term),
            VmDatagram::Dark { term, upstreams } => {
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
            VmDatagram::AskNews(ask) => self.answer_update_request(from, ask),
            VmDatagram::PeerNews(note) => self.apply_peer_update(from, note),
            VmDatagram::Elsewhere { leader, keepers, vms } => {
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

    /// Waits until the configuration in force is surely the newest as of `since_ms`; false when it
    /// can't be proved in time.
    pub async fn confirm(&self, since_ms: u64, patience: Duration) -> bool {
        self.wait_for_proof(patience, || self.contact.borrow().confirmed_ms() >= since_ms).await
    }

    /// The same for orders of zones and roll-outs. Other VMs prove the configuration too, and prove
    /// nothing of orders: only the leader does.
    pub async fn confirm_orders(&self, since_ms: u64, patience: Duration) -> bool {
        let proved = || self.rollouts.borrow().tracker().proved_ms() >= Some(since_ms);
        self.wait_for_proof(patience, proved).await
    }

    async fn wait_for_proof(&self, patience: Duration, proved: impl Fn() -> bool) -> bool {
        let confirmed = async {
            loop {
                let changed = self.contact_changed.notified();
                if proved() {
                    return;
                }
                changed.await;
            }
        };
        self.renew();
        tokio::time::timeout(patience, confirmed).await.is_ok()
    }
}
