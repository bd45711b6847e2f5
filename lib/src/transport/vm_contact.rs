//! Renewals and grants: how a VM stays in contact with the leader, and what it learns.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tracing::{debug, info};

use super::vm_keeper::KeeperDriver;
use super::vm_list_news::told_age_ms;
use super::vm_node::VmNode;
use crate::coordination::fleet_health::{names_failing, HealthReport};
use crate::coordination::holder_news::{HolderMark, HolderNote};
use crate::coordination::list_turn::UNTOLD_MS;
use crate::coordination::vm_roster::{
    pressed_renew_ms, seek_pause_ms, RosterMark, RosterNews, MANY_VMS, PRESSED_KEEP_MS, RENEW_MS,
    SETTLE_MS,
};
use crate::protocol::vm_wire::{
    decode, encode, vm_address, GrantNote, LoadNews, RenewalNote, VmDatagram, VmId, VmMessage,
};
use crate::state::ids::UpstreamKey;
use crate::state::rollout_order::RolloutTable;
use crate::state::upstream_list::ListMark;
use crate::state::zone_order::ZoneOrders;

/// Without an answer for this long, a VM asks all keepers that it knows.
const LEADER_SILENT_MS: u64 = 2 * RENEW_MS + 50;
/// What a renewal told is kept for its answer this long, in milliseconds; later answers tell
/// nothing of the present any more.
const TOLD_KEEP_MS: u64 = 2000;
/// The largest datagram.
const DATAGRAM_BYTES: usize = 64 << 10;
/// VMs outside the keepers that are asked when no keeper answers.
const OTHERS_ASKED: usize = 2;
/// From [`MANY_VMS`] on a VM without a leader asks only so many of those who may know it, each time
/// others: all asking all every 50 ms is more than the keepers of 300 VMs can answer.
const SOME_ASKED: usize = 3;

/// What a leader tells of the roster: nothing to a VM that knows one, until it has led long
/// enough to have heard every VM.
fn roster_news(keeper: &KeeperDriver, have: RosterMark, now_ms: u64) -> RosterNews {
    match keeper.led_ms(now_ms) >= SETTLE_MS || have.term == 0 {
        true => keeper.roster.news(keeper.term(), have),
        false => RosterNews::default(),
    }
}

impl VmNode {
    /// Renews, again and again.
    pub async fn keep_contact(self: Rc<Self>) {
        loop {
            self.renew();
            let silent = self.view.borrow().heard_ms + LEADER_SILENT_MS <= self.now_ms();
            // A VM without a list or a book can't serve; the leader may have them by now.
            let lacks = !self.upstreams.borrow().is_held() || self.book.borrow().is_none();
            let untold = lacks && self.clock.age_ms() < UNTOLD_MS;
            let pause = match silent || untold {
                true => seek_pause_ms(self.view.borrow().vms),
                false => self.renew_pause_ms(),
            };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// A leader that may vouch now tells all VMs that it knows, so that they need not find it.
    pub(super) fn tell_leadership(&self, now_ms: u64) {
        let term = match &*self.keeper.borrow() {
            Some(keeper) if keeper.may_vouch(now_ms) => keeper.term(),
            _ => return,
        };
        if std::mem::replace(&mut self.view.borrow_mut().told_term, term) == term {
            return;
        }
        let bytes = encode(&VmDatagram::Leads { term });
        let known: Vec<VmId> = {
            let mut seekers = self.seekers.borrow_mut();
            let rows = self.view.borrow().roster.rows.iter().map(|row| row.id).collect::<Vec<_>>();
            seekers.extend(rows);
            std::mem::take(&mut *seekers).into_iter().filter(|id| *id != self.id).collect()
        };
        info!(target: "contact", term, told = known.len(), "tells that it leads");
        for to in known {
            self.send_datagram(to, &bytes);
        }
    }

    /// A VM tells that it leads.
    fn take_leadership(&self, from: VmId, term: u64) {
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
        match self.pressed_ms.get() + PRESSED_KEEP_MS > self.now_ms() {
            true => pressed_renew_ms(self.view.borrow().roster.rows.len()),
            false => RENEW_MS,
        }
    }

    /// Renews once, with the leader or with whoever may know it.
    pub fn renew(&self) {
        let now_ms = self.now_ms();
        if self.grant_to_itself(now_ms) {
            return;
        }
        let bytes = self.renewal(now_ms);
        for to in self.whom_to_ask(now_ms) {
            self.send_datagram(to, &bytes);
        }
    }

    /// A renewal as a datagram; what it tells of the own load is kept, to take it off the sum
    /// that the answer brings.
    fn renewal(&self, now_ms: u64) -> Vec<u8> {
        let loads = self.own_loads();
        let keeper = self.keeper.borrow().as_ref().map(|keeper| keeper.incarnation);
        let row = self.own_row();
        let mut view = self.view.borrow_mut();
        let (roster, list) = (view.roster.mark, self.upstreams.borrow().mark);
        let mut desk = self.holders.borrow_mut();
        let (holders, holders_heard) = (desk.outbox.take(), desk.heard);
        let (doubts, dark) = {
            let view = &mut self.silence.borrow_mut().view;
            (view.take_doubts(), view.mark())
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
            rollout_changes: self.rollouts.borrow().watch().table().changes(),
            life: self.rollouts.borrow().life(),
            rollouts: self.rollout_notes(),
            quarantine_changes,
            crashes,
        };
        view.own_told.insert(now_ms, note.loads.clone());
        view.own_told.retain(|told_ms, _| told_ms + TOLD_KEEP_MS > now_ms);
        encode(&VmDatagram::Renew(note))
    }

    fn whom_to_ask(&self, now_ms: u64) -> Vec<VmId> {
        let own_view = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let view = self.view.borrow();
        let leader = own_view.map(|id| id.0).or(view.leader).filter(|id| *id != self.id);
        if let Some(leader) = leader {
            if view.heard_ms + LEADER_SILENT_MS > now_ms {
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

    pub(super) fn send_datagram(&self, to: VmId, bytes: &[u8]) {
        let address = SocketAddr::from((vm_address(to), self.settings.borrow().peer_port));
        if let Err(error) = self.datagrams.try_send_to(bytes, address) {
            debug!(target: "contact", %address, "a datagram was not sent: {error}");
        }
    }

    /// Takes datagrams, for ever.
    pub async fn take_datagrams(self: Rc<Self>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.datagrams.recv_from(&mut buffer).await {
                Ok(told) => told,
                Err(error) => {
                    debug!(target: "contact", "cannot receive: {error}");
                    continue;
                }
            };
            let SocketAddr::V4(from) = from else { continue };
            match decode(&buffer[..length]) {
                Ok(datagram) => self.take_datagram(VmId::from(*from.ip()), datagram),
                Err(error) => debug!(target: "contact", %from, "no datagram of ours: {error}"),
            }
        }
    }

    fn take_datagram(&self, from: VmId, datagram: VmDatagram) {
        match datagram {
            VmDatagram::Renew(note) => self.answer_renewal(from, note),
            VmDatagram::Grant(grant) => self.take_grant(from, grant),
            VmDatagram::Leads { term } => self.take_leadership(from, term),
            VmDatagram::Dark { term, upstreams } => {
                if term >= self.view.borrow().term {
                    self.take_dark(upstreams);
                }
            }
            VmDatagram::Rollouts { term, table } => {
                if term >= self.view.borrow().term {
                    self.take_rollouts(table);
                }
            }
            VmDatagram::Quarantine { term, table } => {
                if term >= self.view.borrow().term {
                    self.take_quarantine(table);
                }
            }
            VmDatagram::AskNews(ask) => self.answer_ask(from, ask),
            VmDatagram::PeerNews(note) => self.take_peer_news(from, note),
            VmDatagram::Elsewhere { leader, keepers, vms } => {
                let now_ms = self.now_ms();
                let mut view = self.view.borrow_mut();
                view.vms = view.vms.max(vms as usize);
                if view.heard_ms + LEADER_SILENT_MS > now_ms {
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

    fn answer_renewal(&self, from: VmId, note: RenewalNote) {
        let now_ms = self.now_ms();
        self.hear_of_list(from, note.list, now_ms);
        let mut keeper = self.keeper.borrow_mut();
        let answer = match keeper.as_mut() {
            Some(keeper) if keeper.may_vouch(now_ms) => {
                keeper.roster.note(note.row, note.keeper, note.loads, now_ms);
                let upstreams = self.upstreams.borrow();
                let (holders, holders_heard) =
                    self.exchange_holders(keeper.term(), &note.holders, note.holders_heard, now_ms);
                let failing = self.take_health_reports(keeper.term(), &note.health_reports, now_ms);
                self.take_doubts(keeper.term(), from, &note.doubts);
                self.take_rollout_notes(keeper.term(), from, note.life, note.rollouts);
                let recorded = &keeper.record.quarantine;
                self.take_crashes(keeper.term(), &note.crashes, recorded, now_ms);
                VmDatagram::Grant(GrantNote {
                    sent_ms: note.sent_ms,
                    term: keeper.term(),
                    version: keeper.record.document.version,
                    list: upstreams.mark,
                    list_age_ms: told_age_ms(upstreams.news_ms, now_ms),
                    keepers: keeper.members().iter().map(|id| id.0).collect(),
                    roster: roster_news(keeper, note.roster, now_ms),
                    loads: match note.list == upstreams.mark {
                        true => {
                            LoadNews::placed(keeper.roster.placed_loads(upstreams.entries.keys()))
                        }
                        false => LoadNews::Keyed(keeper.roster.loads()),
                    },
                    holders,
                    holders_heard,
                    failing,
                    zones: keeper.record.zones.news(note.zone_orders),
                    dark: self.dark_news(note.dark),
                    rollouts: keeper.record.rollouts.news(note.rollout_changes),
                    quarantine: keeper.record.quarantine.news(note.quarantine_changes),
                    crashes_heard: note.crashes.last(),
                })
            }
            Some(keeper) => {
                let mut seekers = self.seekers.borrow_mut();
                seekers.insert(from);
                VmDatagram::Elsewhere {
                    leader: keeper.leader().map(|id| id.0),
                    keepers: keeper.members().iter().map(|id| id.0).collect(),
                    vms: self.view.borrow().vms.max(seekers.len()) as u32,
                }
            }
            None => {
                let view = self.view.borrow();
                let fresh = view.heard_ms + LEADER_SILENT_MS > now_ms;
                VmDatagram::Elsewhere {
                    leader: view.leader.filter(|_| fresh),
                    keepers: view.keepers.clone(),
                    vms: view.vms as u32,
                }
            }
        };
        drop(keeper);
        self.send_datagram(from, &encode(&answer));
    }

    /// A VM holds this state of the list; a leader that holds a lower one takes it over, so that its
    /// own next one is above it.
    fn hear_of_list(&self, from: VmId, mark: ListMark, now_ms: u64) {
        self.upstreams.borrow_mut().hear(mark);
        let leads = self.keeper.borrow().as_ref().is_some_and(|keeper| keeper.may_vouch(now_ms));
        if leads && mark > self.upstreams.borrow().mark {
            self.want_list(from, now_ms);
        }
    }

    /// Takes how a VM's sends went, as the leader, and gives those that fail everybody.
    fn take_health_reports(
        &self,
        term: u64,
        notes: &[HealthReport],
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        for note in notes.iter().filter(|note| note.well > 0) {
            self.silence.borrow_mut().table.heard(note.upstream, note.well, now_ms);
        }
        if !names_failing(self.view.borrow().vms) {
            return Vec::new();
        }
        let upstreams = self.upstreams.borrow();
        let service = |key| upstreams.entries.get(&key).map_or("", |entry| entry.service.as_str());
        let fleet = |key| upstreams.taking(service(key)).map(|(key, _)| key);
        let mut desk = self.health.borrow_mut();
        for key in desk.table.take(term, notes, fleet, now_ms) {
            let life = upstreams.entries.get(&key).map_or("", |entry| entry.life.as_str());
            info!(target: "upstream", life, "fails whoever sends to it");
        }
        desk.table.named(now_ms)
    }

    /// Takes what a VM tells of holders, as the leader, and gives what others told.
    fn exchange_holders(
        &self,
        term: u64,
        told: &[HolderNote],
        heard: HolderMark,
        now_ms: u64,
    ) -> (Vec<HolderNote>, HolderMark) {
        let mut desk = self.holders.borrow_mut();
        let fresh = desk.ring.take(term, told);
        self.learn_holders(&fresh, now_ms);
        desk.ring.news(heard)
    }

    /// Takes the orders that a leader tells with a grant to a renewal sent at `sent_ms`, those of a kind
    /// only where they are others than this VM knew of; so what it knows is all there was then.
    fn take_orders(&self, zones: Option<ZoneOrders>, rollouts: Option<RolloutTable>, sent_ms: u64) {
        zones.into_iter().for_each(|orders| self.take_zones(orders));
        rollouts.into_iter().for_each(|table| self.take_rollouts(table));
        self.rollouts.borrow_mut().watch_mut().prove(sent_ms);
    }

    fn learn_holders(&self, notes: &[HolderNote], now_ms: u64) {
        let mut prefixes = self.prefixes.borrow_mut();
        for note in notes {
            prefixes.note_told(note.part, note.engine, now_ms);
        }
    }

    fn take_grant(&self, from: VmId, grant: GrantNote) {
        let now_ms = self.now_ms();
        self.learn_holders(&grant.holders, now_ms);
        self.holders.borrow_mut().heard = grant.holders_heard;
        self.take_list_age(grant.list, grant.sent_ms, grant.list_age_ms);
        match grant.dark {
            Some(dark) => self.take_dark(dark),
            None => self.silence.borrow_mut().view.confirm(now_ms),
        }
        self.take_orders(grant.zones, grant.rollouts, grant.sent_ms);
        grant.quarantine.into_iter().for_each(|table| self.take_quarantine(table));
        self.quarantine.borrow_mut().confirm(grant.term, grant.crashes_heard);
        {
            let mut view = self.view.borrow_mut();
            if view.leader != Some(from) {
                info!(target: "contact", leader = %vm_address(from), term = grant.term, "renewed");
            }
            view.leader = Some(from);
            view.term = view.term.max(grant.term);
            view.heard_ms = now_ms;
            view.first_heard_ms.get_or_insert(now_ms);
            if !grant.keepers.is_empty() {
                view.keepers = grant.keepers;
            }
            view.roster.take(grant.roster);
            view.vms = view.roster.rows.len();
            view.failing = grant.failing;
            let own = view.own_told.get(&grant.sent_ms).cloned().unwrap_or_default();
            let upstreams = self.upstreams.borrow();
            match grant.loads {
                LoadNews::Keyed(loads) => view.told.tell(&loads, &own),
                placed if grant.list == upstreams.mark => {
                    match placed.into_sums(upstreams.entries.len()) {
                        Some(sums) => view.told.tell_placed(upstreams.entries.keys(), &sums, &own),
                        None => debug!(target: "contact", "loads of another list"),
                    }
                }
                // The list has changed since the renewal was sent; the next answer will fit.
                LoadNews::Placed(_) | LoadNews::Runs(_) => {}
            }
        }
        self.contact.borrow_mut().note_grant(grant.sent_ms, grant.version);
        self.contact_changed.notify_waiters();
        self.tell_if_changed();
        if self.contact.borrow_mut().wants_document(grant.version, now_ms) {
            self.ask_document(from);
        }
        if grant.list > self.upstreams.borrow().mark {
            self.want_list(from, now_ms);
        }
        self.tell_askers();
    }

    /// Asks for the newest document at any keeper, since each holds what is committed: after a
    /// common restart all VMs ask, and 70 large documents are seconds of one leader's link, in
    /// which it can neither read the list nor be heard. One that lags is asked again elsewhere.
    pub(super) fn ask_document(&self, leader: VmId) {
        let view = self.view.borrow();
        let keepers: Vec<VmId> = view.keepers.iter().copied().filter(|id| *id != self.id).collect();
        let keeper = keepers.get(self.draw() as usize % keepers.len().max(1));
        self.links.send(keeper.copied().unwrap_or(leader), &VmMessage::WantDocument);
    }

    /// A leader is in contact with itself; true when this VM leads.
    fn grant_to_itself(&self, now_ms: u64) -> bool {
        let row = self.own_row();
        let loads = self.own_loads();
        let mut keeper = self.keeper.borrow_mut();
        let Some(keeper) = keeper.as_mut().filter(|keeper| keeper.may_vouch(now_ms)) else {
            return false;
        };
        keeper.roster.note(row, Some(keeper.incarnation), loads.clone(), now_ms);
        {
            let mut desk = self.holders.borrow_mut();
            let own = desk.outbox.take();
            desk.ring.take(keeper.term(), &own);
        }
        let own_reports = self.health.borrow_mut().outbox.take();
        let failing = self.take_health_reports(keeper.term(), &own_reports, now_ms);
        let doubts = self.silence.borrow_mut().view.take_doubts();
        self.take_doubts(keeper.term(), self.id, &doubts);
        let (life, notes) = (self.rollouts.borrow().life(), self.rollout_notes());
        self.take_rollout_notes(keeper.term(), self.id, life, notes);
        self.hear_own_crashes(keeper.term(), &keeper.record.quarantine, now_ms);
        let mut view = self.view.borrow_mut();
        view.failing = failing;
        view.leader = Some(self.id);
        view.term = keeper.term();
        view.heard_ms = now_ms;
        view.first_heard_ms.get_or_insert(now_ms);
        view.keepers = keeper.members().iter().map(|id| id.0).collect();
        let news = roster_news(keeper, view.roster.mark, now_ms);
        view.roster.take(news);
        view.vms = view.roster.rows.len();
        view.told.tell(&keeper.roster.loads(), &loads);
        let zones = keeper.record.zones.news(self.zones.borrow().watch.orders.taken());
        let known = self.rollouts.borrow().watch().table().changes();
        self.take_orders(zones, keeper.record.rollouts.news(known), now_ms);
        self.contact.borrow_mut().note_grant(now_ms, keeper.record.document.version);
        self.contact_changed.notify_waiters();
        true
    }

    /// Waits until the book in force is surely the newest as of `since_ms`; false when it
    /// can't be told in time.
    pub async fn confirm(&self, since_ms: u64, patience: Duration) -> bool {
        self.wait_for_proof(patience, || self.contact.borrow().confirmed_ms() >= since_ms).await
    }

    /// The same for orders of zones and roll-outs. Other VMs prove the configuration too, and tell
    /// nothing of orders: only the leader does.
    pub async fn confirm_orders(&self, since_ms: u64, patience: Duration) -> bool {
        let proved = || self.rollouts.borrow().watch().proved_ms() >= Some(since_ms);
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
