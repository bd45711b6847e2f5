//! Logs, by request id, the fate of a request whose caller disconnected or whose connection broke.
//!
//! A caller whose connection is reset can't determine whether its request went through, and may send it
//! again. The VM logs one line with what is certain: not run, run, begun, or that it may have run. A request
//! that must not be repeated is completed even if its caller has disconnected, since a canceled run can't be
//! told apart from one that never started. See `docs/OPERATIONS.md`.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use tracing::info;

use super::vm_node::VmNode;
use crate::coordination::attempt_plan::RunKnowledge;

/// An answer that was written to its connection less than this long before the connection broke may not
/// have reached the caller, in milliseconds. An established connection retransmits for seconds at most.
const UNCONFIRMED_MS: u64 = 2000;

/// What is certain about the fate of one request.
pub(super) struct RequestRecord {
    node: Rc<VmNode>,
    attempt: String,
    ran: Cell<RunKnowledge>,
    answered: Cell<bool>,
    left: Cell<bool>,
}

impl RequestRecord {
    pub(super) fn new(node: &Rc<VmNode>, attempt: &str) -> Rc<RequestRecord> {
        Rc::new(RequestRecord {
            node: node.clone(),
            attempt: attempt.to_string(),
            ran: Cell::new(RunKnowledge::NotRun),
            answered: Cell::new(false),
            left: Cell::new(false),
        })
    }

    /// Sets what is certain about whether the request ran.
    pub(super) fn note(&self, ran: RunKnowledge) {
        self.ran.set(ran);
    }

    /// Notes that the answer, or the head of a stream, was handed to the caller's connection.
    pub(super) fn note_answered(&self) {
        self.answered.set(true);
    }

    /// Whether the caller disconnected before the whole answer was handed over.
    pub(super) fn has_left(&self) -> bool {
        self.left.get()
    }

    /// Counts and logs that the caller disconnected before the whole answer was handed over.
    pub(super) fn log_left(&self) {
        self.left.set(true);
        self.node.counters.borrow_mut().abandoned += 1;
        let ran = self.ran.get().name();
        info!(target: "request", attempt = self.attempt, ran, "its caller left");
    }

    /// Logs how a request ended that was completed after its caller had disconnected.
    pub(super) fn log_ended(&self, status: u16) {
        let ran = self.ran.get().name();
        info!(target: "request", attempt = self.attempt, ran, status, "ended without its caller");
    }
}

/// Logs that the caller disconnected if it is dropped before the answer. It is dropped together with the
/// caller's connection.
pub(super) struct CallerWatch(pub(super) Rc<RequestRecord>);

impl Drop for CallerWatch {
    fn drop(&mut self) {
        if !self.0.answered.get() {
            self.0.log_left();
        }
    }
}

/// The last answer that was handed to a connection: its attempt id and the time in milliseconds.
#[derive(Clone, Default)]
pub(super) struct ConnectionRecord(Arc<Mutex<Option<(String, u64)>>>);

impl ConnectionRecord {
    /// Notes that a request arrived, which implies that the caller received the answer before it.
    pub(super) fn note_request(&self) {
        self.set(None);
    }

    /// Notes that the whole answer to a request was handed over.
    pub(super) fn note_answer(&self, attempt: &str, now_ms: u64) {
        self.set(Some((attempt.to_string(), now_ms)));
    }

    fn set(&self, last: Option<(String, u64)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = last;
    }

    /// Logs, after the connection broke, the answer that may not have reached the caller.
    pub(super) fn log_broken(&self, now_ms: u64) {
        let last = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some((attempt, handed_ms)) = last else { return };
        let ago_ms = now_ms.saturating_sub(handed_ms);
        if ago_ms < UNCONFIRMED_MS {
            info!(target: "request", attempt, ago_ms, "its connection broke after its answer");
        }
    }
}
