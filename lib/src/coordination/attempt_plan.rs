//! Decides what to do with a request after each attempt to send it.
//!
//! One rule applies to all cases: the answer states that a request did not run only if that is
//! true of every attempt, and a request that may have run is sent again only if it may be repeated.

use crate::state::route_table::RequestKind;

/// The outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request reached an upstream.
    NotSent,
    /// The upstream answered that it did not run the request.
    NotRun,
    /// The upstream ran the request and answered with a failure of its own (5xx).
    Failed,
    /// The connection broke, or the received data was no answer to the request.
    Broken,
    /// The time for the request ended.
    TimedOut,
}

/// What is known about whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunKnowledge {
    /// The request did not run and never will.
    NotRun,
    /// The request was sent, and its outcome is unknown.
    Unknown,
    /// An upstream began to answer with a stream, which may have been cut.
    Begun,
    /// An upstream ran the request to its end.
    Ran,
}

impl RunKnowledge {
    /// The name in logs: the values of `wingshed-ran`, and `begun`.
    pub fn name(self) -> &'static str {
        match self {
            RunKnowledge::NotRun => "no",
            RunKnowledge::Unknown => "unknown",
            RunKnowledge::Begun => "begun",
            RunKnowledge::Ran => "yes",
        }
    }
}

/// The attempts that were made for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCount {
    /// The number of upstreams that the request was sent to.
    pub sent: u32,
    /// The number of upstreams that could not be reached.
    pub unreached: u32,
    /// Whether an upstream may have run the request.
    pub may_have_run: bool,
}

/// What to do with a request next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another upstream, if the budget for repeats allows it.
    Repeat,
    /// Choose another upstream. Nothing was sent, so this takes nothing from the budget.
    Elsewhere,
    /// Pass the upstream's own failure on to the caller.
    PassOn,
    /// Refuse the request, with the statement that it has not run and never will.
    Refuse,
    /// Fail the request without a statement about whether it ran.
    Fail,
    /// Fail the request without a statement about whether it ran, because its time ended.
    TimeOut,
}

/// The number of upstreams that one request may fail to reach before it is refused.
pub const MAX_UNREACHED: u32 = 4;

impl AttemptCount {
    /// What is known about the request while no attempt is under way and no answer is passed on.
    pub fn knowledge(&self) -> RunKnowledge {
        match self.may_have_run {
            true => RunKnowledge::Unknown,
            false => RunKnowledge::NotRun,
        }
    }

    /// Records the outcome of an attempt.
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

    /// What to do after `outcome`, which was just recorded with [`AttemptCount::note`].
    pub fn next(&self, outcome: SendOutcome, kind: RequestKind, max_upstreams: u32) -> NextStep {
        let more = self.sent < max_upstreams;
        match outcome {
            SendOutcome::TimedOut => NextStep::TimeOut,
            SendOutcome::NotSent if self.unreached < MAX_UNREACHED => NextStep::Elsewhere,
            SendOutcome::NotSent => self.give_up(),
            SendOutcome::NotRun if more => NextStep::Repeat,
            SendOutcome::NotRun => self.give_up(),
            SendOutcome::Failed if more && kind == RequestKind::Repeatable => NextStep::Repeat,
            SendOutcome::Failed => NextStep::PassOn,
            SendOutcome::Broken if more && kind.may_repeat() => NextStep::Repeat,
            SendOutcome::Broken => NextStep::Fail,
        }
    }

    /// Whether another attempt follows a failure (5xx) that an upstream just returned.
    pub fn repeats_failure(mut self, kind: RequestKind, max_upstreams: u32) -> bool {
        self.note(SendOutcome::Failed);
        self.next(SendOutcome::Failed, kind, max_upstreams) == NextStep::Repeat
    }

    /// The last step when no further attempt is made.
    pub fn give_up(&self) -> NextStep {
        match self.may_have_run {
            true => NextStep::Fail,
            false => NextStep::Refuse,
        }
    }
}
