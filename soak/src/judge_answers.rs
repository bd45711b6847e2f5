//! Checks, byte for byte, that an answer which its caller can take as complete is one that upstreams sent as
//! whole.

use crate::answer_make::{AnswerKind, AnswerPlan, EarlyEnd, Framing, STREAM_EVENTS};
use crate::ledger::{LedgerRows, RequestKind, RequestRow, RunRow, SentEnd, Touched};

/// Describes what is wrong with the answer to a request that had these runs; none if nothing is wrong, or if
/// no answer ended as complete.
pub fn answer_fault(rows: &LedgerRows, request: &RequestRow, runs: &[&RunRow]) -> Option<String> {
    let received = request.answer.as_ref()?;
    if (200..300).contains(&received.status) && !received.stamped {
        return Some("a success without a stamp".to_string());
    }
    // Only answers of upstreams carry a stamp; refusals by a VM have none.
    if !received.stamped || (request.old && overlaps_vm_disturbance(rows, request)) {
        return None;
    }
    if runs.is_empty() {
        return Some("an answer without any run".to_string());
    }
    let ends: Vec<RunEnd> = runs.iter().map(|run| run_end(rows, run)).collect();
    let answers = runs.iter().zip(&ends);
    let whole = answers.clone().any(|(run, end)| {
        let body = run.make.pieces(&request.attempt).concat();
        run.make.status() == received.status && *end == RunEnd::Whole && body == received.body
    });
    if whole {
        return None;
    }
    let streams =
        matches!(request.kind, RequestKind::Stream | RequestKind::Resume) && received.status == 200;
    if !streams {
        return Some(format!("complete, but of {:?}", plans(runs, &ends)));
    }
    let first = request.resumes.as_ref().map_or(1, |stream| stream.after + 1);
    let mut joined = JoinedRuns { rest: &received.body, next: first, ended: false };
    for (run, end) in answers {
        if joined.next == first || request.kind == RequestKind::Resume {
            joined.consume(&request.attempt, &run.make, *end);
        }
    }
    match (joined.rest.is_empty(), joined.ended) {
        (true, true) => None,
        (true, false) => {
            Some(format!("complete after {} events, of {:?}", joined.next - 1, plans(runs, &ends)))
        }
        (false, _) => Some(format!(
            "{} bytes after event {} are of none of its runs: {:?}",
            joined.rest.len(),
            joined.next - 1,
            plans(runs, &ends)
        )),
    }
}

/// Whether an unplanned disturbance of the VM that got the request overlaps it. An HTTP/1.0 answer ends with its
/// connection, which the end of a VM's process closes too, so the caller cannot distinguish the two.
fn overlaps_vm_disturbance(rows: &LedgerRows, request: &RequestRow) -> bool {
    rows.spans.iter().any(|span| {
        span.touched == Touched::Vm(request.vm) && span.overlaps(request.sent_ms, request.ended_ms)
    })
}

fn plans(runs: &[&RunRow], ends: &[RunEnd]) -> Vec<(AnswerPlan, RunEnd)> {
    runs.iter().zip(ends).map(|(run, end)| (run.make, *end)).collect()
}

/// How the answer of a run ended, as far as its receiver can see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// The whole body was sent, and ended by its framing.
    Whole,
    /// The stream has no framing and was closed cleanly between two events, after this many. Nothing
    /// distinguishes it from a whole stream, so a VM may take it as complete.
    LooksWhole(u64),
    /// The answer broke off in a way that its receiver can detect, or its end is not recorded.
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

/// Matches the body of a received stream against the events of its runs, in order.
struct JoinedRuns<'a> {
    /// The bytes that are not matched yet.
    rest: &'a [u8],
    /// The number of the next event.
    next: u64,
    /// Whether the last matched run ended there in a way that can be taken as complete.
    ended: bool,
}

impl JoinedRuns<'_> {
    /// Matches the events of one run from `next` on, as far as the bytes agree.
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
        // A run that added no events can confirm that this is the end, and does not undo an end reached
        // before.
        self.ended = ended || (self.ended && reached == before);
    }
}
