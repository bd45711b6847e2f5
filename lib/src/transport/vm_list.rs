//! Reads the platform's list of upstreams, at the leader, and tells the others of it.
//!
//! One VM reads, since calls cost and are limited; a VM without contact to a leader
//! reads for itself, slowly; `list_turn` decides.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use tracing::{info, warn};

use super::vm_keeper::KeeperDriver;
use super::vm_node::VmNode;
use crate::coordination::list_turn::{alone_need, AloneNeed, ListCost, ListStanding};
use crate::coordination::upstream_seats::SeatTable;
use crate::protocol::vm_wire::{VmId, VmMessage};
use crate::protocol::wire_adapter::UpstreamPage;
use crate::state::ids::UpstreamKey;
use crate::state::upstream_list::{ListMark, ListStep, UpstreamEntry};

/// The pause after a call that failed, times the failures in a row, in milliseconds.
const FAIL_MS: u64 = 200;
/// How often a VM closes and forgets what it needs no more, in milliseconds.
const SWEEP_MS: u64 = 1000;
/// How often a VM looks whether it is its turn.
const LOOK_TIME: Duration = Duration::from_millis(50);
/// How long one call may take.
const CALL_TIME: Duration = Duration::from_millis(1000);
/// The largest page, in bytes.
const PAGE_BYTES: usize = 4 << 20;
/// The most pages that are read, so that a list that never ends can't hold the VM.
const MOST_PAGES: usize = 1000;

/// How often one page is asked for again when the platform takes no more calls.
const PAGE_TRIES: u32 = 5;

/// Why a page isn't there.
enum ListFault {
    /// The platform takes no more calls just now.
    TooMany,
    /// It was told meanwhile, so the rest isn't read.
    Told,
    /// Anything else.
    Other(String),
}

impl std::fmt::Display for ListFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ListFault::TooMany => write!(f, "the platform takes no more calls"),
            ListFault::Told => write!(f, "a leader tells it by now"),
            ListFault::Other(text) => write!(f, "{text}"),
        }
    }
}

/// What a VM remembers from one reading to the next.
#[derive(Default)]
struct ReadingTurn {
    /// The term in which it last read as the leader.
    read_term: u64,
    /// Why it reads for itself, if it does.
    need: Option<AloneNeed>,
    /// Refusals in a row while it does.
    refusals: u32,
    /// Other failures in a row.
    fails: u64,
}

impl VmNode {
    /// Reads the list, again and again, when it is this VM's turn.
    pub async fn keep_list(self: Rc<Self>) {
        let mut turn = ReadingTurn::default();
        let mut swept_ms = 0;
        loop {
            let now_ms = self.now_ms();
            if now_ms >= swept_ms + SWEEP_MS {
                swept_ms = now_ms;
                self.sweep();
            }
            let vouches = |keeper: &KeeperDriver| keeper.may_vouch(now_ms);
            let term = self.keeper.borrow().as_ref().filter(|k| vouches(k)).map(|k| k.term());
            let need = match term {
                Some(_) => None,
                None => alone_need(self.list_standing(), now_ms),
            };
            if need.is_some() && turn.need.is_none() {
                self.note_stale(need, now_ms);
                // Many may turn to it at one moment, so each begins at another.
                turn.refusals = 0;
                let pause_ms = self.pause_ms(need, 0);
                self.set_list_due(self.draw() % pause_ms);
            }
            turn.need = need;
            let new_leader = term.is_some_and(|term| term != turn.read_term);
            let due = now_ms >= self.view.borrow().list_due_ms;
            if !(new_leader || due && (need.is_some() || term.is_some())) {
                tokio::time::sleep(LOOK_TIME).await;
                continue;
            }
            turn.read_term = term.unwrap_or(turn.read_term);
            self.take_turn(&mut turn).await;
        }
    }

    /// Reads once, and sets when the next turn is.
    async fn take_turn(&self, turn: &mut ReadingTurn) {
        match self.read_list(turn.need, turn.refusals).await {
            Ok(rows) => {
                (turn.fails, turn.refusals) = (0, 0);
                self.take_list(rows, turn.need.is_some());
                self.contact_changed.notify_waiters();
                let mut pause_ms = self.pause_ms(turn.need, 0);
                if turn.need.is_some() {
                    // It is young enough until then, and all others may be reading too.
                    pause_ms = pause_ms.max(self.list_standing().stale_ms / 2);
                }
                self.set_list_due(pause_ms + self.draw() % 50);
            }
            Err(ListFault::TooMany) if turn.need.is_some() => {
                turn.refusals += 1;
                let pause_ms = self.pause_ms(turn.need, turn.refusals);
                self.set_list_due(pause_ms / 2 + self.draw() % pause_ms);
            }
            Err(ListFault::Told) => self.set_list_due(self.pause_ms(None, 0)),
            Err(error) => {
                if turn.fails == 0 {
                    warn!(target: "list", "cannot be read: {error}");
                }
                turn.fails += 1;
                self.set_list_due(turn.fails.min(5) * FAIL_MS + self.draw() % FAIL_MS);
            }
        }
    }

    fn pause_ms(&self, need: Option<AloneNeed>, refusals: u32) -> u64 {
        let cost = self.list_cost();
        match need {
            Some(need) => cost.alone_pause_ms(need, refusals),
            None => cost.leader_pause_ms(),
        }
    }

    fn list_cost(&self) -> ListCost {
        let view = self.view.borrow();
        let calls_per_s = self.settings.borrow().list.calls_per_s;
        ListCost { calls_per_s, pages: view.list_pages.max(1), vms: view.roster.rows.len() }
    }

    fn list_standing(&self) -> ListStanding {
        let view = self.view.borrow();
        let has_list = self.upstreams.borrow().read_ms > 0;
        ListStanding {
            first_heard_ms: view.first_heard_ms,
            news_ms: view.list_news_ms,
            stale_ms: self.list_cost().stale_ms(self.settings.borrow().bounds.drain_ms),
            has_list,
        }
    }

    fn note_stale(&self, need: Option<AloneNeed>, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.view.borrow().list_news_ms);
        info!(target: "list", age_ms, need = ?need, "too old, is read without the leader");
    }

    /// Forgets what belongs to upstreams that are on the list no more.
    fn sweep(&self) {
        let upstreams = self.upstreams.borrow();
        let known = |key| upstreams.entries.contains_key(&key);
        self.pool.sweep(|key| known(key) || key == self.list_key(), self.now_ms());
        self.outliers.borrow_mut().sweep(known);
    }

    fn set_list_due(&self, pause_ms: u64) {
        self.view.borrow_mut().list_due_ms = self.now_ms() + pause_ms;
    }

    fn list_key(&self) -> UpstreamKey {
        UpstreamKey(0)
    }

    fn take_list(&self, mut rows: Vec<UpstreamEntry>, alone: bool) {
        let now_ms = self.now_ms();
        self.view.borrow_mut().list_news_ms = now_ms;
        let led = match &*self.keeper.borrow() {
            Some(keeper) if keeper.may_vouch(now_ms) => {
                Some((keeper.term(), keeper.record.seats.clone()))
            }
            _ => None,
        };
        let Some((term, seats)) = led else {
            // Read as a leader, and no longer one that may vouch: the next leader reads anew.
            if alone {
                self.take_list_alone(rows, now_ms);
            }
            return;
        };
        let before = SeatTable::of(&seats);
        let mut seats = before.clone();
        seats.seat(&mut rows, &self.upstreams.borrow(), now_ms);
        if seats != before {
            self.step_keeper(|keeper, now_ms| keeper.record_seats(seats.rows(), now_ms));
        }
        let step = self.upstreams.borrow_mut().lead(rows, term, now_ms);
        if let Some(step) = step {
            self.tell_list(step);
        }
    }

    /// A VM that doesn't lead keeps the seats that it was told of.
    fn take_list_alone(&self, mut rows: Vec<UpstreamEntry>, now_ms: u64) {
        let mut upstreams = self.upstreams.borrow_mut();
        let mut seats = SeatTable::default();
        if upstreams.read_ms == 0 {
            seats.seat(&mut rows, &upstreams, now_ms);
        } else {
            for row in &mut rows {
                row.seat = upstreams.entries.get(&row.key()).and_then(|known| known.seat);
            }
        }
        upstreams.take_alone(rows, now_ms);
    }

    /// Tells the others of a list that changed, or of a new leader's first.
    fn tell_list(&self, step: ListStep) {
        let upstreams = self.upstreams.borrow().entries.len();
        let changed = step.change.rows.len() + step.change.gone.len();
        info!(target: "list", upstreams, changed, change = step.to.change, "changed");
        let view = self.view.borrow();
        let others = view.roster.rows.iter().map(|row| row.id).filter(|id| *id != self.id);
        let message = match step.from.change {
            // Nobody holds what this starts from.
            0 => VmMessage::List { mark: step.to, rows: self.upstreams.borrow().rows() },
            _ => VmMessage::ListStep(step),
        };
        self.links.send_all(others, &message);
    }

    /// Answers a VM that holds another state of the list.
    pub(super) fn give_list(&self, to: VmId, have: ListMark) {
        let upstreams = self.upstreams.borrow();
        match upstreams.step_since(have) {
            Some(step) => self.links.send(to, &VmMessage::ListStep(step)),
            None => self.links.send_shared(to, upstreams.mark, &self.list_frame, || {
                VmMessage::List { mark: upstreams.mark, rows: upstreams.rows() }
            }),
        }
    }

    /// Takes what a leader told of the list; asks again if it doesn't fit what is here.
    pub(super) fn take_list_step(&self, from: VmId, step: ListStep) {
        let (have, to) = (self.upstreams.borrow().mark, step.to);
        if (to.term, to.change) <= (have.term, have.change) {
            return;
        }
        if self.upstreams.borrow_mut().follow(step, self.now_ms()) {
            self.contact_changed.notify_waiters();
        } else {
            self.links.send(from, &VmMessage::WantList { have });
        }
    }

    async fn read_list(
        &self,
        need: Option<AloneNeed>,
        refusals: u32,
    ) -> Result<Vec<UpstreamEntry>, ListFault> {
        let mut rows = Vec::new();
        let mut next: Option<String> = None;
        for number in 0..MOST_PAGES {
            let cost = self.list_cost();
            let pause_ms = match need {
                Some(need) => cost.alone_page_ms(number, need, refusals),
                None => cost.leader_page_ms(number),
            };
            if pause_ms > 0 {
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            }
            if need.is_some() && alone_need(self.list_standing(), self.now_ms()).is_none() {
                return Err(ListFault::Told);
            }
            let tries = if need.is_some() { 0 } else { PAGE_TRIES };
            let page = self.read_page(next.as_deref(), tries).await?;
            rows.extend(page.rows);
            match page.next {
                Some(token) => next = Some(token),
                None => {
                    self.view.borrow_mut().list_pages = number + 1;
                    return Ok(rows);
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
        let lease = self.pool.take(self.list_key(), address, self.now_ms()).await;
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
