//! Reads the platform's list of upstreams, on the leader or, without one, on a few other VMs.
//!
//! Only one VM reads at a time, since calls to the platform are costly and limited;
//! `list_reader` decides which one.
//! How the list reaches the other VMs is in `vm_list_news`.

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

/// The pause after a failed call, in milliseconds; it is multiplied by the failures in a row, up to five.
const FAILURE_PAUSE_MS: u64 = 200;
/// How often a VM discards the state of upstreams that are no longer listed, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 1000;
/// How often a VM checks whether it has to read the list.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The largest page, in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// The most pages of one reading: a list without an end would otherwise keep the VM reading forever.
const MAX_PAGES: usize = 1000;

/// The most findings that are remembered from one reading to the next, so that each is logged once.
const MAX_FINDINGS: usize = 256;
/// The most upstreams that one log line names.
const MAX_LOGGED_NAMES: usize = 8;
/// How often one page is requested again after the platform refused a call as one too many.
const PAGE_TRIES: u32 = 5;

/// Why a page or the list could not be read.
enum ListError {
    /// The platform refused the call as one too many.
    TooMany,
    /// The list arrived from another VM meanwhile, so the remaining pages aren't needed.
    Received,
    /// Any other failure, in words.
    Other(String),
}

impl std::fmt::Display for ListError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListError::TooMany => write!(f, "the platform takes no more calls"),
            ListError::Received => write!(f, "the list was received from another VM meanwhile"),
            ListError::Other(text) => write!(f, "{text}"),
        }
    }
}

/// What the reader remembers from one reading to the next.
#[derive(Default)]
struct ReaderState {
    /// The term in which this VM last read as the leader.
    read_term: u64,
    /// Whether this VM reads in place of a leader.
    alone: bool,
    /// Refused calls in a row while it does.
    refusals: u32,
    /// Other failures in a row.
    failures: u64,
}

impl VmNode {
    /// Reads the list whenever this VM is its reader, and requests it from others when none arrives, in a loop.
    pub async fn run_list_reader(self: Rc<Self>) {
        let mut reader = ReaderState::default();
        let mut swept_ms = 0;
        loop {
            let now_ms = self.now_ms();
            if now_ms >= swept_ms + SWEEP_INTERVAL_MS {
                swept_ms = now_ms;
                self.sweep();
                self.store_on_disk();
            }
            let leads = |keeper: &KeeperDriver| keeper.is_confirmed_leader(now_ms);
            let term = self.keeper.borrow().as_ref().filter(|k| leads(k)).map(|k| k.term());
            let action = self.current_action(term.is_some(), now_ms);
            if action != ListAction::Wait || self.is_unconfirmed(now_ms) {
                self.request_updates(now_ms);
            }
            let alone = term.is_none() && action == ListAction::Read;
            if alone && !reader.alone {
                self.log_stale(now_ms);
                reader.refusals = 0;
                self.set_list_due(0);
            }
            reader.alone = alone;
            let new_leader = term.is_some_and(|term| term != reader.read_term);
            let due = now_ms >= self.view.borrow().list_due_ms;
            if !(new_leader || due && (alone || term.is_some())) {
                tokio::time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            reader.read_term = term.unwrap_or(reader.read_term);
            self.read_when_due(&mut reader).await;
        }
    }

    /// Reads the list once, and sets when it is due again.
    async fn read_when_due(&self, reader: &mut ReaderState) {
        let began_ms = self.now_ms();
        let reading = self.read_list(reader.alone, reader.refusals).await;
        match reading.and_then(|reading| self.resolve_reading(&reading)) {
            Ok(rows) => {
                (reader.failures, reader.refusals) = (0, 0);
                self.apply_reading(rows, reader.alone, began_ms);
                self.log_replaced();
                self.share_notes_of_new_versions();
                self.contact_changed.notify_waiters();
                self.answer_waiting();
                self.set_list_due(self.leader_pause_ms(began_ms) + self.draw() % 50);
            }
            Err(ListError::TooMany) if reader.alone => {
                reader.refusals += 1;
                let pause_ms = self.list_cost().leaderless_pause_ms(reader.refusals);
                self.set_list_due(pause_ms / 2 + self.draw() % pause_ms);
            }
            Err(ListError::Received) => self.set_list_due(self.leader_pause_ms(began_ms)),
            Err(error) => {
                if reader.failures == 0 {
                    warn!(target: "list", "cannot be read: {error}");
                }
                reader.failures += 1;
                self.set_list_due(
                    reader.failures.min(5) * FAILURE_PAUSE_MS + self.draw() % FAILURE_PAUSE_MS,
                );
            }
        }
    }

    /// The pause until a leader reads again after a reading that began at `began_ms`, in milliseconds.
    fn leader_pause_ms(&self, began_ms: u64) -> u64 {
        let drain_ms = self.settings.borrow().bounds.drain_ms;
        let reading_ms = self.now_ms().saturating_sub(began_ms);
        self.list_cost().leader_pause_ms(drain_ms, reading_ms)
    }

    fn list_cost(&self) -> ListCost {
        let calls_per_s = self.settings.borrow().list.calls_per_s;
        ListCost { calls_per_s, pages: self.view.borrow().list_pages.max(1) }
    }

    /// What this VM has to do for its list now. A leader reads at its own pace anyway; it also requests the list
    /// from others when its own is old, since others may reach the platform when it doesn't.
    fn current_action(&self, leads: bool, now_ms: u64) -> ListAction {
        let first_contact_ms = self.view.borrow().first_contact_ms;
        let status = {
            let upstreams = self.upstreams.borrow();
            ListStatus {
                first_contact_ms,
                confirmed_ms: upstreams.confirmed_ms,
                stale_ms: self.list_cost().stale_ms(self.settings.borrow().bounds.drain_ms),
                has_list: upstreams.is_loaded(),
            }
        };
        match list_action(&status, now_ms, || self.reader_rank()) {
            ListAction::Read if leads => ListAction::Request,
            action => action,
        }
    }

    /// This VM's position in the order of readers.
    fn reader_rank(&self) -> usize {
        let order = self.readers();
        order.iter().position(|id| *id == self.id).unwrap_or(order.len())
    }

    fn log_stale(&self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.upstreams.borrow().confirmed_ms);
        let rank = self.reader_rank();
        info!(target: "list", age_ms, rank, "too old, is read without the leader");
    }

    /// The entries of a reading, resolved against the list held so far. Logs the entries that can't be read.
    fn resolve_reading(&self, reading: &ListReading) -> Result<Vec<UpstreamEntry>, ListError> {
        self.log_unread(reading);
        let resolved = reading.resolve(&self.upstreams.borrow());
        let nothing = || ListError::Other("none of its entries can be read".to_string());
        let resolved = resolved.ok_or_else(nothing)?;
        if !resolved.duplicates.is_empty() {
            let lives = &resolved.duplicates;
            info!(target: "list", ?lives, "several entries of one name, the one that started last is used");
        }
        Ok(resolved.rows)
    }

    /// Logs findings that the last reading didn't have, at most [`LINES_PER_PLACE`] of them.
    fn log_unread(&self, reading: &ListReading) {
        let texts = |findings: &mut dyn Iterator<Item = &Finding>| -> BTreeSet<String> {
            findings.take(MAX_FINDINGS).map(Finding::to_string).collect()
        };
        let unread = reading.unread.iter().map(|entry| &entry.finding);
        let found = texts(&mut unread.chain(&reading.findings));
        let mut state = self.list_state.borrow_mut();
        state.unread = reading.unread.len() + reading.findings.len();
        let (all, odd) = (reading.unread.len(), reading.findings.len());
        let fresh = || found.iter().filter(|text| !state.found.contains(*text));
        for text in fresh().take(LINES_PER_PLACE as usize) {
            info!(target: "list", finding = text, unread = all, odd, "holds what cannot be read");
        }
        state.found = found;
    }

    /// Logs which upstreams the last change replaced by a later incarnation.
    pub(super) fn log_replaced(&self) {
        let lives = std::mem::take(&mut self.upstreams.borrow_mut().last_replaced);
        if !lives.is_empty() {
            let (count, lives) = (lives.len(), &lives[..lives.len().min(MAX_LOGGED_NAMES)]);
            info!(target: "list", count, ?lives, "started again under their names");
        }
    }

    /// Discards the state of upstreams that are no longer listed.
    fn sweep(&self) {
        let upstreams = self.upstreams.borrow();
        let known = |key| upstreams.entries.contains_key(&key);
        self.pool.sweep(|key| known(key) || key == self.list_key(), self.now_ms());
        self.peer_pool.sweep(|_| true, self.now_ms());
        self.brittle.borrow_mut().values_mut().for_each(|service| service.sweep(known));
        self.pool.notices().borrow_mut().sweep(known, self.now_ms());
        self.outliers.borrow_mut().sweep(known);
        self.health.borrow_mut().table.sweep(known);
        self.zones.borrow_mut().cold.sweep(known);
        let mut silence = self.silence.borrow_mut();
        silence.table.sweep(known);
        silence.view.sweep(known);
    }

    /// Sets the list to be read again after this pause.
    fn set_list_due(&self, pause_ms: u64) {
        self.view.borrow_mut().list_due_ms = self.now_ms() + pause_ms;
    }

    /// The key of the connections to the platform's list; no upstream has it.
    fn list_key(&self) -> UpstreamKey {
        UpstreamKey(0)
    }

    /// Applies a reading. The leader assigns ring slots, proposes them, and sends the change to the other VMs.
    fn apply_reading(&self, mut rows: Vec<UpstreamEntry>, alone: bool, began_ms: u64) {
        let now_ms = self.now_ms();
        let led = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => {
                Some((keeper.term(), keeper.record.ring_slots.clone(), keeper.roster.loads()))
            }
            _ => None,
        };
        let Some((term, ring_slots, loads)) = led else {
            // A reading begun as the leader is dropped if this VM leads no longer: the next leader reads again.
            if alone {
                self.apply_leaderless_reading(rows, began_ms);
            }
            return;
        };
        self.log_versions(&rows);
        let before = RingSlotTable::of(&ring_slots);
        let mut ring_slots = before.clone();
        // While a zone is evacuated, engines without a ring slot don't wait for its slots to become vacant:
        // the others would have to do their share of the work meanwhile.
        let waiting = match self.zones.borrow().watch.any_evacuated() {
            true => BTreeSet::new(),
            false => {
                waiting_services(&self.upstreams.borrow(), &loads, |name| self.engine_slots(name))
            }
        };
        // Engines of a version that is rolled out replace none yet, and need ring slots before they get all
        // traffic: without slots all prompts would go to the first of them.
        let runs = |service: &String| self.rollouts.borrow().tracker().is_running(service);
        let waiting = waiting.into_iter().filter(|service| !runs(service)).collect();
        ring_slots.assign(&mut rows, &self.upstreams.borrow(), &waiting, now_ms);
        if ring_slots != before {
            self.step_keeper(|keeper, now_ms| keeper.record_ring_slots(ring_slots.rows(), now_ms));
        }
        let delta =
            self.upstreams.borrow_mut().update_from_read(rows, Some(term), self.id, began_ms);
        if let Some(delta) = delta {
            self.send_list(delta);
        }
    }

    /// Logs each version that no listed upstream of its service had before.
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

    /// How many requests one engine of a service runs at once; `None` for services without engines.
    pub(super) fn engine_slots(&self, service: &str) -> Option<u32> {
        let routes = self.routes.borrow().clone()?;
        let entry = routes.table.services.iter().find(|entry| entry.name == service)?;
        entry.engine.as_ref().map(|engine| engine.slots)
    }

    /// Applies a reading of a VM that doesn't lead. It keeps the ring slots that it received, and assigns them
    /// only if it has none yet.
    fn apply_leaderless_reading(&self, mut rows: Vec<UpstreamEntry>, began_ms: u64) {
        let mut upstreams = self.upstreams.borrow_mut();
        let mut ring_slots = RingSlotTable::default();
        if upstreams.is_loaded() {
            for row in &mut rows {
                row.ring_slot = upstreams.entries.get(&row.key()).and_then(|known| known.ring_slot);
            }
        } else {
            ring_slots.assign(&mut rows, &upstreams, &BTreeSet::new(), began_ms);
        }
        upstreams.update_from_read(rows, None, self.id, began_ms);
    }

    /// Reads all pages. `refusals` is how many calls in a row the platform refused without a leader.
    async fn read_list(&self, alone: bool, refusals: u32) -> Result<ListReading, ListError> {
        let mut reading = ListReading::default();
        let mut next: Option<String> = None;
        for number in 0..MAX_PAGES {
            let cost = self.list_cost();
            let pause_ms = match alone {
                true => cost.leaderless_page_ms(number, refusals),
                false => cost.leader_page_ms(number),
            };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            if alone && self.current_action(false, self.now_ms()) == ListAction::Wait {
                return Err(ListError::Received);
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
        Err(ListError::Other(format!("more than {MAX_PAGES} pages")))
    }

    /// Reads one page. Repeats a call that the platform refused as one too many up to `tries` times, after a
    /// pause each, so that the pages before it needn't be read again.
    async fn read_page(&self, token: Option<&str>, tries: u32) -> Result<UpstreamPage, ListError> {
        let call = self.adapter.list_call(token);
        let mut left = tries;
        loop {
            let body = tokio::time::timeout(CALL_TIMEOUT, self.call_list(&call)).await;
            match body.unwrap_or_else(|_| Err(ListError::Other("no answer in time".to_string()))) {
                Ok(body) => return self.adapter.read_list(&body).map_err(ListError::Other),
                Err(ListError::TooMany) if left > 0 => {
                    left -= 1;
                    let pause_ms = FAILURE_PAUSE_MS + self.draw() % FAILURE_PAUSE_MS;
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Makes one call and returns the body of its answer.
    async fn call_list(&self, call: &str) -> Result<Bytes, ListError> {
        let other = |text: String| ListError::Other(text);
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
        let body = Limited::new(answer.into_body(), MAX_PAGE_BYTES).collect().await;
        let body = body.map_err(|error| other(error.to_string()))?.to_bytes();
        lease.finish(false, None, self.now_ms()).await;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::TOO_MANY_REQUESTS => Err(ListError::TooMany),
            status => Err(other(format!("status {status}"))),
        }
    }
}
