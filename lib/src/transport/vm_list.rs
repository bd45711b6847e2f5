//! Reads the platform's list of upstreams, by the leader, or by a few in its place.
//!
//! One VM reads, since calls cost and are limited; `list_reader` decides which. How a list
//! comes to those who don't read is in `vm_list_news`.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tracing::{info, warn};

use super::vm_keeper::KeeperDriver;
use super::vm_node::VmNode;
use super::vm_pool::ConnectTarget;
use crate::coordination::line_budget::LINES_PER_PLACE;
use crate::coordination::list_reader::{list_action, ListAction, ListCost, ListStatus};
use crate::coordination::upstream_notice::ApproachPurpose;
use crate::coordination::upstream_seats::{waiting_services, RingSlotTable};
use crate::protocol::wire_adapter::UpstreamPage;
use crate::state::finding::Finding;
use crate::state::ids::UpstreamKey;
use crate::state::list_reading::ListReading;
use crate::state::rollout_order::VersionKey;
use crate::state::upstream_list::UpstreamEntry;

/// The pause after a call that failed, times the failures in a row, in milliseconds.
const FAIL_MS: u64 = 200;
/// How often a VM closes and forgets what it needs no more, in milliseconds.
const SWEEP_MS: u64 = 1000;
/// How often a VM looks whether it has to read.
const LOOK_TIME: Duration = Duration::from_millis(50);
/// How long one call may take.
const CALL_TIME: Duration = Duration::from_millis(1000);
/// The largest page, in bytes.
const PAGE_BYTES: usize = 4 << 20;
/// The most pages that are read, so that a list that never ends can't hold the VM.
const MOST_PAGES: usize = 1000;

/// Findings that are remembered from one reading to the next, so that each is logged once.
const MOST_FOUND: usize = 256;
/// Lives that one line names.
const LIVES_NAMED: usize = 8;
/// How often one page is asked for again when the platform takes no more calls.
const PAGE_TRIES: u32 = 5;

/// Why a page isn't there.
enum ListFault {
    /// The platform takes no more calls just now.
    TooMany,
    /// The list was received meanwhile, so the rest isn't read.
    Received,
    /// Anything else.
    Other(String),
}

impl std::fmt::Display for ListFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListFault::TooMany => write!(f, "the platform takes no more calls"),
            ListFault::Received => write!(f, "others tell it by now"),
            ListFault::Other(text) => write!(f, "{text}"),
        }
    }
}

/// Why a reading is made, and what is remembered from one to the next.
#[derive(Default)]
struct ReaderState {
    /// The term in which it last read as the leader.
    read_term: u64,
    /// Whether it reads without a leader.
    alone: bool,
    /// Refusals in a row while it does.
    refusals: u32,
    /// Other failures in a row.
    fails: u64,
}

impl VmNode {
    /// Reads the list when that is up to this VM, and requests it from others when none sends it, for ever.
    pub async fn run_list_reader(self: Rc<Self>) {
        let mut reader = ReaderState::default();
        let mut swept_ms = 0;
        loop {
            let now_ms = self.now_ms();
            if now_ms >= swept_ms + SWEEP_MS {
                swept_ms = now_ms;
                self.sweep();
                self.keep_on_disk();
            }
            let vouches = |keeper: &KeeperDriver| keeper.is_confirmed_leader(now_ms);
            let term = self.keeper.borrow().as_ref().filter(|k| vouches(k)).map(|k| k.term());
            let action = self.action(term.is_some(), now_ms);
            if action != ListAction::Rest || self.is_unconfirmed(now_ms) {
                self.request_updates(now_ms);
            }
            let alone = term.is_none() && action == ListAction::Read;
            if alone && !reader.alone {
                self.note_stale(now_ms);
                reader.refusals = 0;
                self.set_list_due(0);
            }
            reader.alone = alone;
            let new_leader = term.is_some_and(|term| term != reader.read_term);
            let due = now_ms >= self.view.borrow().list_due_ms;
            if !(new_leader || due && (alone || term.is_some())) {
                tokio::time::sleep(LOOK_TIME).await;
                continue;
            }
            reader.read_term = term.unwrap_or(reader.read_term);
            self.read_when_due(&mut reader).await;
        }
    }

    /// Reads once, and sets when the list is due again.
    async fn read_when_due(&self, reader: &mut ReaderState) {
        let began_ms = self.now_ms();
        let reading = self.read_list(reader.alone, reader.refusals).await;
        match reading.and_then(|reading| self.resolve_reading(&reading)) {
            Ok(rows) => {
                (reader.fails, reader.refusals) = (0, 0);
                self.apply_reading(rows, reader.alone, began_ms);
                self.note_replaced();
                self.contact_changed.notify_waiters();
                self.answer_waiting();
                self.set_list_due(self.leader_pause_ms(began_ms) + self.draw() % 50);
            }
            Err(ListFault::TooMany) if reader.alone => {
                reader.refusals += 1;
                let pause_ms = self.list_cost().leaderless_pause_ms(reader.refusals);
                self.set_list_due(pause_ms / 2 + self.draw() % pause_ms);
            }
            Err(ListFault::Received) => self.set_list_due(self.leader_pause_ms(began_ms)),
            Err(error) => {
                if reader.fails == 0 {
                    warn!(target: "list", "cannot be read: {error}");
                }
                reader.fails += 1;
                self.set_list_due(reader.fails.min(5) * FAIL_MS + self.draw() % FAIL_MS);
            }
        }
    }

    fn leader_pause_ms(&self, began_ms: u64) -> u64 {
        let drain_ms = self.settings.borrow().bounds.drain_ms;
        let reading_ms = self.now_ms().saturating_sub(began_ms);
        self.list_cost().leader_pause_ms(drain_ms, reading_ms)
    }

    fn list_cost(&self) -> ListCost {
        let calls_per_s = self.settings.borrow().list.calls_per_s;
        ListCost { calls_per_s, pages: self.view.borrow().list_pages.max(1) }
    }

    /// What to do about the list. A leader reads by its own pace; it asks too when its list is old,
    /// since others may come through where it doesn't.
    fn action(&self, leads: bool, now_ms: u64) -> ListAction {
        let first_heard_ms = self.view.borrow().first_contact_ms;
        let standing = {
            let upstreams = self.upstreams.borrow();
            ListStatus {
                first_heard_ms,
                news_ms: upstreams.confirmed_ms,
                stale_ms: self.list_cost().stale_ms(self.settings.borrow().bounds.drain_ms),
                has_list: upstreams.is_held(),
            }
        };
        match list_action(&standing, now_ms, || self.reader_rank()) {
            ListAction::Read if leads => ListAction::Ask,
            action => action,
        }
    }

    fn reader_rank(&self) -> usize {
        let order = self.readers();
        order.iter().position(|id| *id == self.id).unwrap_or(order.len())
    }

    fn note_stale(&self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.upstreams.borrow().confirmed_ms);
        let rank = self.reader_rank();
        info!(target: "list", age_ms, rank, "too old, is read without the leader");
    }

    /// What a reading shows, in view of what was known; says what of it can't be read.
    fn resolve_reading(&self, reading: &ListReading) -> Result<Vec<UpstreamEntry>, ListFault> {
        self.note_unread(reading);
        let settled = reading.resolve(&self.upstreams.borrow());
        let nothing = || ListFault::Other("none of its entries can be read".to_string());
        let settled = settled.ok_or_else(nothing)?;
        if !settled.duplicates.is_empty() {
            let lives = &settled.duplicates;
            info!(target: "list", ?lives, "stand there with several births, the later ones hold");
        }
        Ok(settled.rows)
    }

    /// Logs what can't be read and was not so at the last reading, within the budget of one place.
    fn note_unread(&self, reading: &ListReading) {
        let texts = |findings: &mut dyn Iterator<Item = &Finding>| -> BTreeSet<String> {
            findings.take(MOST_FOUND).map(Finding::to_string).collect()
        };
        let unread = reading.unread.iter().map(|entry| &entry.finding);
        let found = texts(&mut unread.chain(&reading.findings));
        let mut desk = self.list_state.borrow_mut();
        desk.unread = reading.unread.len() + reading.findings.len();
        let (all, odd) = (reading.unread.len(), reading.findings.len());
        let fresh = || found.iter().filter(|text| !desk.found.contains(*text));
        for text in fresh().take(LINES_PER_PLACE as usize) {
            info!(target: "list", finding = text, unread = all, odd, "holds what cannot be read");
        }
        desk.found = found;
    }

    /// Logs which incarnations the last change replaced.
    pub(super) fn note_replaced(&self) {
        let lives = std::mem::take(&mut self.upstreams.borrow_mut().last_replaced);
        if !lives.is_empty() {
            let (count, lives) = (lives.len(), &lives[..lives.len().min(LIVES_NAMED)]);
            info!(target: "list", count, ?lives, "started again under their names");
        }
    }

    /// Forgets what belongs to upstreams that are on the list no more.
    fn sweep(&self) {
        let upstreams = self.upstreams.borrow();
        let known = |key| upstreams.entries.contains_key(&key);
        self.pool.sweep(|key| known(key) || key == self.list_key(), self.now_ms());
        self.pool.notices().borrow_mut().sweep(known, self.now_ms());
        self.outliers.borrow_mut().sweep(known);
        self.health.borrow_mut().table.sweep(known);
        self.zones.borrow_mut().cold.sweep(known);
        let mut silence = self.silence.borrow_mut();
        silence.table.sweep(known);
        silence.view.sweep(known);
    }

    fn set_list_due(&self, pause_ms: u64) {
        self.view.borrow_mut().list_due_ms = self.now_ms() + pause_ms;
    }

    fn list_key(&self) -> UpstreamKey {
        UpstreamKey(0)
    }

    fn apply_reading(&self, mut rows: Vec<UpstreamEntry>, alone: bool, began_ms: u64) {
        let now_ms = self.now_ms();
        let led = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => {
                Some((keeper.term(), keeper.record.seats.clone(), keeper.roster.loads()))
            }
            _ => None,
        };
        let Some((term, seats, loads)) = led else {
            // Read as a leader, and no longer one that may vouch: the next leader reads anew.
            if alone {
                self.apply_leaderless_reading(rows, began_ms);
            }
            return;
        };
        self.log_versions(&rows);
        let before = RingSlotTable::of(&seats);
        let mut seats = before.clone();
        // While a zone is emptied the others can't wait for its seats to become vacant: those without one
        // would leave their part of the work to the rest.
        let patient = match self.zones.borrow().watch.any_emptied() {
            true => BTreeSet::new(),
            false => {
                waiting_services(&self.upstreams.borrow(), &loads, |name| self.engine_slots(name))
            }
        };
        // Engines of a version that is rolled out replace none yet, and need seats before all traffic
        // comes: without seats all prompts would go to the first of them.
        let runs = |service: &String| self.rollouts.borrow().tracker().is_running(service);
        let patient = patient.into_iter().filter(|service| !runs(service)).collect();
        seats.assign(&mut rows, &self.upstreams.borrow(), &patient, now_ms);
        if seats != before {
            self.step_keeper(|keeper, now_ms| keeper.record_ring_slots(seats.rows(), now_ms));
        }
        let step =
            self.upstreams.borrow_mut().update_from_read(rows, Some(term), self.id, began_ms);
        if let Some(step) = step {
            self.send_list(step);
        }
    }

    /// Logs versions that no upstream of their service had in the list before.
    fn log_versions(&self, rows: &[UpstreamEntry]) {
        let upstreams = self.upstreams.borrow();
        let mut seen: BTreeSet<(&str, VersionKey)> =
            upstreams.entries.values().map(|row| (row.service.as_str(), row.version)).collect();
        for row in rows {
            if seen.insert((row.service.as_str(), row.version)) {
                let (service, version) = (&row.service, row.version);
                info!(target: "list", service, %version, life = row.name, "has a new version");
            }
        }
    }

    /// How many requests one engine of a service runs at once; none for other services.
    pub(super) fn engine_slots(&self, service: &str) -> Option<u32> {
        let routes = self.routes.borrow().clone()?;
        let entry = routes.table.services.iter().find(|entry| entry.name == service)?;
        entry.engine.as_ref().map(|engine| engine.slots)
    }

    /// A VM that doesn't lead keeps the seats that it received.
    fn apply_leaderless_reading(&self, mut rows: Vec<UpstreamEntry>, began_ms: u64) {
        let mut upstreams = self.upstreams.borrow_mut();
        let mut seats = RingSlotTable::default();
        if upstreams.is_held() {
            for row in &mut rows {
                row.ring_slot = upstreams.entries.get(&row.key()).and_then(|known| known.ring_slot);
            }
        } else {
            seats.assign(&mut rows, &upstreams, &BTreeSet::new(), began_ms);
        }
        upstreams.update_from_read(rows, None, self.id, began_ms);
    }

    async fn read_list(&self, alone: bool, refusals: u32) -> Result<ListReading, ListFault> {
        let mut reading = ListReading::default();
        let mut next: Option<String> = None;
        for number in 0..MOST_PAGES {
            let cost = self.list_cost();
            let pause_ms = match alone {
                true => cost.leaderless_page_ms(number, refusals),
                false => cost.leader_page_ms(number),
            };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            if alone && self.action(false, self.now_ms()) == ListAction::Rest {
                return Err(ListFault::Received);
            }
            let tries = if alone { 0 } else { PAGE_TRIES };
            let page = self.read_page(next.as_deref(), tries).await?;
            reading.append(page.reading, number);
            match page.next {
                Some(token) => next = Some(token),
                None => {
                    self.view.borrow_mut().list_pages = number + 1;
                    return Ok(reading);
                }
            }
        }
        Err(ListFault::Other(format!("more than {MOST_PAGES} pages")))
    }

    /// Reads one page; so many times again, after a pause, when the platform takes no more calls
    /// just now, so that the pages before it aren't read in vain.
    async fn read_page(&self, token: Option<&str>, tries: u32) -> Result<UpstreamPage, ListFault> {
        let call = self.adapter.list_call(token);
        let mut left = tries;
        loop {
            let body = tokio::time::timeout(CALL_TIME, self.call_list(&call)).await;
            match body.unwrap_or_else(|_| Err(ListFault::Other("no answer in time".to_string()))) {
                Ok(body) => return self.adapter.read_list(&body).map_err(ListFault::Other),
                Err(ListFault::TooMany) if left > 0 => {
                    left -= 1;
                    let pause_ms = FAIL_MS + self.draw() % FAIL_MS;
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    async fn call_list(&self, call: &str) -> Result<Bytes, ListFault> {
        let other = |text: String| ListFault::Other(text);
        let address = self.settings.borrow().list.address;
        let approach = ConnectTarget {
            upstream: self.list_key(),
            address,
            purpose: ApproachPurpose::Request,
            now_ms: self.now_ms(),
        };
        let lease = self.pool.take(approach).await;
        let mut lease = lease.map_err(|fault| other(format!("cannot connect: {fault:?}")))?;
        let request = Request::get(call)
            .header(HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| other(error.to_string()))?;
        let answer = lease.sender().send_request(request).await;
        let answer = answer.map_err(|error| other(error.to_string()))?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), PAGE_BYTES).collect().await;
        let body = body.map_err(|error| other(error.to_string()))?.to_bytes();
        lease.finish(false, None, self.now_ms()).await;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::TOO_MANY_REQUESTS => Err(ListFault::TooMany),
            status => Err(other(format!("status {status}"))),
        }
    }
}
