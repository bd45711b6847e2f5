//! What one send shows of the version of its upstream, while that is rolled out.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::time::Instant;

use super::vm_node::VmNode;
use crate::coordination::rollout_evidence::TrialOutcome;
use crate::coordination::rollout_watch::TrialTag;

/// A caller that leaves after this long without a first event counts the upstream as slow, in
/// milliseconds; one that leaves sooner counts nothing. Callers leave slow versions more often than
/// others, so that without this the slowest answers would be missing.
const LEFT_SLOW_MS: f64 = 1000.0;

/// Follows one send. Whatever it is dropped with counts nothing more.
pub(super) struct TrialGuard {
    node: Rc<VmNode>,
    tag: RefCell<Option<TrialTag>>,
    sent: Instant,
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    events: Cell<u32>,
    stream: bool,
    /// The upstream is warm, so that its pace can be compared.
    warm: bool,
    /// It also held what it needs of the prompt, so that its first event can.
    held: bool,
}

impl TrialGuard {
    /// Follows a send of an order's service; one without a tag is not followed.
    pub(super) fn new(
        node: Rc<VmNode>,
        tag: Option<TrialTag>,
        stream: bool,
        warm: bool,
        held: bool,
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
            held,
        }
    }

    /// A piece of a stream came, which completes this many events.
    pub(super) fn note_piece(&self, events: u64) {
        if self.tag.borrow().is_none() {
            return;
        }
        let now = Instant::now();
        self.first.set(self.first.get().or(Some(now)));
        self.last.set(Some(now));
        self.events.set(self.events.get() + events as u32);
    }

    /// The whole answer came, and is a success.
    pub(super) fn end_well(&self) {
        let whole_ms = self.sent.elapsed().as_secs_f64() * 1000.0;
        let pace_ms = match self.stream {
            true => self.event_pace_ms(),
            false => Some(whole_ms),
        };
        self.end(TrialOutcome::Success {
            pace_ms: pace_ms.filter(|_| self.warm),
            first_ms: self.first_ms().filter(|_| self.warm && self.held),
        });
    }

    /// The answer is a failure, belongs to another request, or didn't come in time.
    pub(super) fn end_bad(&self) {
        self.end(TrialOutcome::Failure);
    }

    /// How it ended says nothing of the version: it wasn't run, or the connection broke. A server that
    /// crashes breaks all that it runs, and a trial goes to few of them.
    pub(super) fn end_unsaid(&self) {
        self.tag.replace(None);
    }

    fn first_ms(&self) -> Option<f64> {
        self.first.get().map(|first| (first - self.sent).as_secs_f64() * 1000.0)
    }

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
        if self.first.get().is_some() || waited_ms < LEFT_SLOW_MS {
            return;
        }
        let slow = Some(waited_ms).filter(|_| self.warm);
        let pace_ms = slow.filter(|_| !self.stream);
        let first_ms = slow.filter(|_| self.stream && self.held);
        self.end(TrialOutcome::Success { pace_ms, first_ms });
    }
}
