//! Reports the outcome of a send as evidence about its upstream's version while that is being rolled out.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::time::Instant;

use super::vm_node::VmNode;
use crate::coordination::rollout_evidence::TrialOutcome;
use crate::coordination::rollout_watch::TrialTag;

/// When a caller disconnects after this many milliseconds without a first event, the time it waited counts as the
/// upstream's time. Earlier disconnects are not counted. Callers disconnect from slow versions more often
/// than from others, so that without this rule the slowest answers would be missing from the comparison.
const ABANDONED_SLOW_MS: f64 = 1000.0;

/// Measures one send and reports its outcome once. When it is dropped before an outcome was set, only a long
/// wait without a first event is counted.
pub(super) struct TrialGuard {
    node: Rc<VmNode>,
    tag: RefCell<Option<TrialTag>>,
    sent: Instant,
    /// When the first and the last piece of the body arrived.
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    events: Cell<u32>,
    stream: bool,
    /// The upstream is not cold, so that its pace can be compared.
    warm: bool,
    /// The upstream also had the shared parts of the prompt cached, so that its time to the first event can be
    /// compared.
    cached: bool,
}

impl TrialGuard {
    /// Measures a send to a service that is being rolled out. Without a tag nothing is measured.
    pub(super) fn new(
        node: Rc<VmNode>,
        tag: Option<TrialTag>,
        stream: bool,
        warm: bool,
        cached: bool,
    ) -> TrialGuard {
        TrialGuard {
            node,
            tag: RefCell::new(tag),
            sent: Instant::now(),
            first: Cell::new(None),
            last: Cell::new(None),
            events: Cell::new(0),
            stream,
            warm,
            cached,
        }
    }

    /// Notes a received piece of the body that completes `events` events.
    pub(super) fn note_piece(&self, events: u64) {
        if self.tag.borrow().is_none() {
            return;
        }
        let now = Instant::now();
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(Some(now));
        self.events.set(self.events.get() + events as u32);
    }

    /// The whole answer was received, and its status is a success.
    pub(super) fn end_success(&self) {
        let whole_ms = self.sent.elapsed().as_secs_f64() * 1000.0;
        let pace_ms = match self.stream {
            true => self.event_pace_ms(),
            false => Some(whole_ms),
        };
        self.end(TrialOutcome::Success {
            pace_ms: pace_ms.filter(|_| self.warm),
            first_ms: self.first_ms().filter(|_| self.warm && self.cached),
        });
    }

    /// The answer is an error, belongs to another request, or didn't arrive in time.
    pub(super) fn end_failure(&self) {
        self.end(TrialOutcome::Failure);
    }

    /// The outcome says nothing about the version: the request wasn't run, or the connection broke. A server
    /// that crashes breaks all requests that it runs, of which only a few are part of the trial.
    pub(super) fn end_inconclusive(&self) {
        self.tag.replace(None);
    }

    fn first_ms(&self) -> Option<f64> {
        self.first.get().map(|first| (first - self.sent).as_secs_f64() * 1000.0)
    }

    /// The mean time between events, in milliseconds; `None` with fewer than two events.
    fn event_pace_ms(&self) -> Option<f64> {
        let (first, last) = (self.first.get()?, self.last.get()?);
        let gaps = self.events.get().checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some((last - first).as_secs_f64() * 1000.0 / f64::from(gaps))
    }

    fn end(&self, outcome: TrialOutcome) {
        if let Some(tag) = self.tag.replace(None) {
            self.node.note_trial(&tag, &outcome);
        }
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let waited_ms = self.sent.elapsed().as_secs_f64() * 1000.0;
        if self.first.get().is_some() || waited_ms < ABANDONED_SLOW_MS {
            return;
        }
        let slow = Some(waited_ms).filter(|_| self.warm);
        let pace_ms = slow.filter(|_| !self.stream);
        let first_ms = slow.filter(|_| self.stream && self.cached);
        self.end(TrialOutcome::Success { pace_ms, first_ms });
    }
}
