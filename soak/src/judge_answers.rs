//! Whether what a caller can take as complete is what upstreams sent as whole, byte for byte.

use crate::answer_make::{AnswerKind, AnswerPlan, EarlyEnd, Framing, STREAM_EVENTS};
use crate::ledger::{LedgerRows, RequestKind, RequestRow, RunRow, SentEnd, Touched};

/// What is wrong with an answer that ended as complete.
pub fn answer_fault(rows: &LedgerRows, request: &RequestRow, runs: &[&RunRow]) -> Option<String> {
    let seen = request.answer.as_ref()?;
    if (200..300).contains(&seen.status) && !seen.stamped {
        return Some("a success without a stamp".to_string());
    }
    // A VM's own refusals carry none.
    if !seen.stamped || (request.old && overlaps_vm_disturbance(rows, request)) {
        return None;
    }
    if runs.is_empty() {
        return Some("an answer that nobody gave".to_string());
    }
    let ends: Vec<RunEnd> = runs.iter().map(|run| run_end(rows, run)).collect();
    let of = runs.iter().zip(&ends);
    let whole = of.clone().any(|(run, end)| {
        let made = run.make.pieces(&request.attempt).concat();
        run.make.status() == seen.status && *end == RunEnd::Whole && made == seen.body
    });
    if whole {
        return None;
    }
    let streams =
        matches!(request.kind, RequestKind::Stream | RequestKind::Resume) && seen.status == 200;
    if !streams {
        return Some(format!("complete, but of {:?}", plans(runs, &ends)));
    }
    let mut joined = JoinedRuns { rest: &seen.body, next: 1, ended: false };
    for (run, end) in of {
        if joined.next == 1 || request.kind == RequestKind::Resume {
            joined.consume(&request.attempt, &run.make, *end);
        }
    }
    match (joined.rest.is_empty(), joined.ended) {
        (true, true) => None,
        (true, false) => {
            Some(format!("complete after {} events, of {:?}", joined.next - 1, plans(runs, &ends)))
        }
        (false, _) => Some(format!(
            "{} bytes after event {} are none of its runs', of {:?}",
            joined.rest.len(),
            joined.next - 1,
            plans(runs, &ends)
        )),
    }
}

/// By HTTP/1.0 an answer ends with its connection, which the end of a VM's process closes too.
fn overlaps_vm_disturbance(rows: &LedgerRows, request: &RequestRow) -> bool {
    rows.spans.iter().any(|span| {
        span.touched == Touched::Vm(request.vm)
            && span.from_ms <= request.ended_ms
            && span.until_ms.is_none_or(|until_ms| until_ms >= request.sent_ms)
    })
}

fn plans(runs: &[&RunRow], ends: &[RunEnd]) -> Vec<(AnswerPlan, RunEnd)> {
    runs.iter().zip(ends).map(|(run, end)| (run.make, *end)).collect()
}

/// What is to be known of a run's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// All of it was sent, and its framing ended it.
    Whole,
    /// It has no framing and was closed cleanly after so many events, between two of them. Nothing tells it
    /// from a whole one, so a VM that takes it as complete does what it can.
    LooksWhole(u64),
    /// It broke off.
    Broken,
}

fn run_end(rows: &LedgerRows, run: &RunRow) -> RunEnd {
    let plan = &run.make;
    let sent = match rows.sent.iter().find(|sent| sent.run == plan.run).map(|sent| sent.end) {
        Some(SentEnd::AsMade) => match plan.early {
            None => return RunEnd::Whole,
            Some(early) if early.end == EarlyEnd::Reset => return RunEnd::Broken,
            Some(early) => early.sent,
        },
        Some(SentEnd::Closed(sent)) => sent,
        None => return RunEnd::Broken,
    };
    if plan.framing != Framing::Connection || !matches!(plan.kind, AnswerKind::Stream(_)) {
        return RunEnd::Broken;
    }
    let (mut bytes, mut events) = (0, 0);
    for piece in plan.pieces(&run.attempt) {
        if bytes == sent {
            break;
        }
        bytes += piece.len();
        events += 1;
    }
    match bytes == sent && events > 0 {
        true => RunEnd::LooksWhole(events),
        false => RunEnd::Broken,
    }
}

/// A stream as far as it was found to be made of events of its runs, in their order.
struct JoinedRuns<'a> {
    rest: &'a [u8],
    next: u64,
    /// Whether the last of them ended there in a way that can be taken as complete.
    ended: bool,
}

impl JoinedRuns<'_> {
    fn consume(&mut self, attempt: &str, plan: &AnswerPlan, end: RunEnd) {
        let AnswerKind::Stream(after) = plan.kind else { return };
        if plan.status() != 200 || after >= self.next {
            return;
        }
        let before = self.next - 1;
        let skipped = (self.next - 1 - after) as usize;
        for event in plan.pieces(attempt).iter().skip(skipped) {
            let Some(rest) = self.rest.strip_prefix(event.as_slice()) else { break };
            self.rest = rest;
            self.next += 1;
        }
        let reached = self.next - 1;
        let ended = match end {
            RunEnd::Whole => reached == STREAM_EVENTS,
            RunEnd::LooksWhole(events) => reached == after + events,
            RunEnd::Broken => false,
        };
        // A later run that brought nothing new may still say that this is the end.
        self.ended = ended || (self.ended && reached == before);
    }
}
