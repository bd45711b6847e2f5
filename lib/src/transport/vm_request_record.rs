//! What became of a request whose caller left, or whose connection broke, by its id.
//!
//! A caller whose connection is reset can't know whether its request went through, and may send it
//! again. The VM knows most of the truth and says it in one line: not run, run, begun, or that it
//! may have run; nothing is said that isn't surely so. A request that must not repeat is brought to
//! its end although its caller has left, since a run that is cut looks like one that never was. See
//! `docs/OPERATIONS.md`.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};

use tracing::info;

use super::vm_node::VmNode;
use crate::coordination::attempt_plan::RunKnowledge;

/// An answer that was handed to its connection less than this long before that broke may not have
/// come to the caller, in milliseconds; the longest that a kept connection retries is seconds.
const HANDED_MS: u64 = 2000;

/// What is known of one request.
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

    /// Something became known.
    pub(super) fn note(&self, ran: RunKnowledge) {
        self.ran.set(ran);
    }

    /// The caller's connection has the answer, or the head of a stream.
    pub(super) fn note_answered(&self) {
        self.answered.set(true);
    }

    /// Whether the caller left before it had the whole answer.
    pub(super) fn has_left(&self) -> bool {
        self.left.get()
    }

    /// Logs that the caller left before it had the whole answer.
    pub(super) fn log_left(&self) {
        self.left.set(true);
        self.node.figures.borrow_mut().abandoned += 1;
        let ran = self.ran.get().name();
        info!(target: "request", attempt = self.attempt, ran, "its caller left");
    }

    /// Logs how a request ended that was brought to its end without its caller.
    pub(super) fn log_ended(&self, status: u16) {
        let ran = self.ran.get().name();
        info!(target: "request", attempt = self.attempt, ran, status, "ended without its caller");
    }
}

/// Stands for a caller that waits; dropped with its connection.
pub(super) struct RecordWatch(pub(super) Rc<RequestRecord>);

impl Drop for RecordWatch {
    fn drop(&mut self) {
        if !self.0.answered.get() {
            self.0.log_left();
        }
    }
}

/// The last answer that a connection was handed: the attempt and when.
#[derive(Clone, Default)]
pub(super) struct ConnectionRecord(Arc<Mutex<Option<(String, u64)>>>);

impl ConnectionRecord {
    /// A request came, so that the answer before it did come to the caller.
    pub(super) fn note_request(&self) {
        self.set(None);
    }

    /// The whole answer to a request was handed over.
    pub(super) fn note_answer(&self, attempt: &str, now_ms: u64) {
        self.set(Some((attempt.to_string(), now_ms)));
    }

    fn set(&self, last: Option<(String, u64)>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = last;
    }

    /// Logs an answer that may not have come to its caller, as the connection broke.
    pub(super) fn log_broken(&self, now_ms: u64) {
        let last = self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some((attempt, handed_ms)) = last else { return };
        let ago_ms = now_ms.saturating_sub(handed_ms);
        if ago_ms < HANDED_MS {
            info!(target: "request", attempt, ago_ms, "its connection broke after its answer");
        }
    }
}
