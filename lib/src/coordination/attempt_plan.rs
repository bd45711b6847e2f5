//! What to do with a request after each outcome of a send.
//!
//! The one rule behind all cases: "not run" is said only when it is true of every
//! send, and nothing that may have run is sent again unless it may repeat.

use crate::state::route_table::RequestKind;

/// What came of one send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of it reached an upstream.
    NotSent,
    /// The upstream says that it did not run it.
    NotRun,
    /// The upstream's own failure (5xx), of a request that ran.
    Failed,
    /// The connection broke, or what came was no answer to it.
    Broken,
    /// The time was over.
    TimedOut,
}

/// What is known of whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKnowledge {
    /// It didn't, and never will.
    NotRun,
    /// It was sent, and what came of it isn't known.
    Unknown,
    /// An upstream began to answer with a stream, and may have been cut.
    Begun,
    /// An upstream ran it to its end.
    Ran,
}

impl RunKnowledge {
    /// The word for it in logs; the same as in `wingshed-ran`, and one more.
    pub fn name(self) -> &'static str {
        match self {
            RunKnowledge::NotRun => "no",
            RunKnowledge::Unknown => "unknown",
            RunKnowledge::Begun => "begun",
            RunKnowledge::Ran => "yes",
        }
    }
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// Upstreams that it was sent to.
    pub sent: u32,
    /// Upstreams that could not be reached.
    pub unreached: u32,
    /// Whether one of the sends may have run.
    pub may_have_run: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another upstream, if the budget for repeats allows it.
    Repeat,
    /// Look for another upstream; nothing was sent, so no budget is needed.
    Elsewhere,
    /// Give the upstream's own failure to the caller.
    PassOn,
    /// Refuse: it has not run and never will.
    Refuse,
    /// Fail without a promise.
    Fail,
    /// Fail without a promise, since its time is over.
    TimeOut,
}

/// Upstreams that one request may fail to reach before it is refused.
pub const MOST_UNREACHED: u32 = 4;

impl AttemptCount {
    /// What is known while no send is under way and no answer is passed on.
    pub fn knowledge(&self) -> RunKnowledge {
        match self.may_have_run {
            true => RunKnowledge::Unknown,
            false => RunKnowledge::NotRun,
        }
    }

    /// Notes an outcome.
    pub fn note(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent => self.unreached += 1,
            SendOutcome::NotRun => self.sent += 1,
            SendOutcome::Failed | SendOutcome::Broken | SendOutcome::TimedOut => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// What to do after the outcome that was just noted.
    pub fn next(&self, outcome: SendOutcome, kind: RequestKind, most_upstreams: u32) -> NextStep {
        let more = self.sent < most_upstreams;
        match outcome {
            SendOutcome::TimedOut => NextStep::TimeOut,
            SendOutcome::NotSent if self.unreached < MOST_UNREACHED => NextStep::Elsewhere,
            SendOutcome::NotSent => self.give_up(),
            SendOutcome::NotRun if more => NextStep::Repeat,
            SendOutcome::NotRun => self.give_up(),
            SendOutcome::Failed if more && kind == RequestKind::Repeatable => NextStep::Repeat,
            SendOutcome::Failed => NextStep::PassOn,
            SendOutcome::Broken if more && kind.may_repeat() => NextStep::Repeat,
            SendOutcome::Broken => NextStep::Fail,
        }
    }

    /// Whether an upstream's own failure, which came just now, is followed by another send.
    pub fn repeats_failure(mut self, kind: RequestKind, most_upstreams: u32) -> bool {
        self.note(SendOutcome::Failed);
        self.next(SendOutcome::Failed, kind, most_upstreams) == NextStep::Repeat
    }

    /// The final answer when nothing more is tried.
    pub fn give_up(&self) -> NextStep {
        match self.may_have_run {
            true => NextStep::Fail,
            false => NextStep::Refuse,
        }
    }
}
