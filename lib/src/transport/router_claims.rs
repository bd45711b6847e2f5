//! Run-once claims at a router: asked before dispatch, in batches, and reported after.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::bounded;

use super::router_shared::{lock, RouterShared};
use crate::coordination::claim_batch::ClaimBatch;
use crate::protocol::caller::{CallerError, CallerRequest, RanStatus};
use crate::protocol::keeper_wire::{Datagram, KeeperCall, KeeperReply};
use crate::state::claim_table::{
    ClaimAnswer, ClaimEnd, ClaimKey, ClaimReport, ClaimRequest, ClaimState,
};

const CLAIM_WAIT: Duration = Duration::from_secs(4);
const IDLE: Duration = Duration::from_millis(100);
const TRIES: usize = 3;
/// So many claims, and so many ends, fit into a datagram.
const FEW: usize = 8;
const DATAGRAM_TRIES: usize = 4;
/// A commit takes a few milliseconds; a lost datagram costs this much.
const DATAGRAM_WAIT: Duration = Duration::from_millis(80);

/// A claim that was granted. It must be ended; dropped without, it counts as unknown.
pub(super) struct HeldClaim {
    shared: Arc<RouterShared>,
    report: ClaimReport,
    ended: bool,
}

impl HeldClaim {
    /// Reports the end.
    pub(super) fn end(mut self, end: ClaimEnd) {
        self.report.end = end;
        self.send();
    }

    fn send(&mut self) {
        self.ended = true;
        lock(&self.shared.claims).batch.reports.push(self.report);
        self.shared.claims_ready.notify_one();
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if !self.ended {
            self.report.end = ClaimEnd::Unknown;
            self.send();
        }
    }
}

/// Claims a run-once request, or says why it is not run.
pub(super) fn claim(
    shared: &Arc<RouterShared>,
    request: &CallerRequest,
) -> Result<HeldClaim, CallerError> {
    let attempt = shared.next_number();
    let key = ClaimKey::of(&request.workspace, &request.request_id);
    let asked = ClaimRequest {
        key,
        holder: shared.id(),
        incarnation: shared.incarnation,
        attempt,
        issued_ms: request.issued_ms.unwrap_or(0),
    };
    let (sender, receiver) = bounded(1);
    {
        let mut claims = lock(&shared.claims);
        claims.batch.claims.push((attempt, asked));
        claims.waiting.insert(attempt, sender);
    }
    shared.claims_ready.notify_one();
    let answer = receiver.recv_timeout(CLAIM_WAIT).ok().flatten();
    let report = ClaimReport { key, attempt, holder: shared.id(), end: ClaimEnd::NotDispatched };
    let mut held = HeldClaim { shared: shared.clone(), report, ended: false };
    let refused = match answer {
        Some(ClaimAnswer::Granted) => return Ok(held),
        Some(ClaimAnswer::Taken(state)) => taken(state),
        Some(ClaimAnswer::TooOld) => CallerError::not_run(
            409,
            "too_old",
            "The issue time lies before the oldest claim kept; the request was not run.",
        ),
        Some(ClaimAnswer::TooNew) => {
            CallerError::not_run(400, "bad_request", "The issue time lies in the future.")
        }
        None => {
            // It may yet be granted, so it is given back whatever comes of it.
            held.send();
            let text = "The keepers did not answer, so the request was not run.";
            return Err(CallerError::not_run(503, "no_keeper", text).after(1000));
        }
    };
    held.ended = true;
    Err(refused)
}

fn taken(state: ClaimState) -> CallerError {
    let (text, ran) = match state {
        ClaimState::Running => ("This request is running elsewhere.", RanStatus::Unknown),
        ClaimState::Done => ("This request has run.", RanStatus::Yes),
        ClaimState::Unknown => ("This request may have run.", RanStatus::Unknown),
    };
    CallerError::not_run(409, "already_claimed", text).with_ran(ran)
}

/// Sends batches until the router stops. More than one thread may run this.
pub(super) fn run_claims(shared: &Arc<RouterShared>) {
    while !shared.stopping.load(Ordering::Relaxed) {
        let batch = {
            let mut claims = lock(&shared.claims);
            if claims.batch.is_empty() {
                let waited = shared.claims_ready.wait_timeout(claims, IDLE);
                claims = waited.unwrap_or_else(|poison| poison.into_inner()).0;
            }
            claims.batch.take()
        };
        if !batch.is_empty() {
            send_batch(shared, batch);
        }
    }
}

fn send_batch(shared: &Arc<RouterShared>, batch: ClaimBatch) {
    let asked: Vec<ClaimRequest> = batch.claims.iter().map(|(_, claim)| *claim).collect();
    let few = asked.len() <= FEW && batch.reports.len() <= FEW;
    // Claims and reports carry their attempt, so that sending them again changes nothing.
    let answers = match few {
        true => send_datagrams(shared, &asked, &batch.reports),
        false => None,
    };
    let answers = answers.or_else(|| send_http(shared, asked, &batch.reports));
    let mut claims = lock(&shared.claims);
    if answers.is_none() {
        claims.batch.reports.extend(batch.reports);
    }
    for (at, (handle, _)) in batch.claims.iter().enumerate() {
        let answer = answers.as_ref().and_then(|answers| answers.get(at)).copied();
        if let Some(sender) = claims.waiting.remove(handle) {
            let _ = sender.send(answer);
        }
    }
    let failed = answers.is_none();
    drop(claims);
    if failed {
        std::thread::sleep(IDLE);
    }
}

/// A few claims by datagram cost a tenth of the bytes of a call; what is lost is sent again.
fn send_datagrams(
    shared: &Arc<RouterShared>,
    claims: &[ClaimRequest],
    reports: &[ClaimReport],
) -> Option<Vec<ClaimAnswer>> {
    let number = shared.next_number();
    let (sender, receiver) = bounded(DATAGRAM_TRIES);
    lock(&shared.claims).batches.insert(number, sender);
    let (claims, reports) = (claims.to_vec(), reports.to_vec());
    let message = Datagram::Claims { number, claims, reports };
    let mut answers = None;
    for _ in 0..DATAGRAM_TRIES {
        shared.port.send(shared.keepers.leader(), &message);
        answers = receiver.recv_timeout(DATAGRAM_WAIT).ok().flatten();
        if answers.is_some() {
            break;
        }
        shared.keepers.pass_leader();
    }
    lock(&shared.claims).batches.remove(&number);
    answers
}

fn send_http(
    shared: &Arc<RouterShared>,
    claims: Vec<ClaimRequest>,
    reports: &[ClaimReport],
) -> Option<Vec<ClaimAnswer>> {
    let call = KeeperCall::Claims(claims, reports.to_vec());
    (0..TRIES).find_map(|_| match shared.keepers.ask_leader(&call) {
        Ok(KeeperReply::Claims(answers)) => Some(answers),
        Ok(_) => None,
        Err(failure) => {
            tracing::warn!("claims: {failure}.");
            None
        }
    })
}

/// An answer came by datagram.
pub(super) fn take_answers(shared: &RouterShared, number: u64, answers: Option<Vec<ClaimAnswer>>) {
    if let Some(sender) = lock(&shared.claims).batches.get(&number) {
        let _ = sender.try_send(answers);
    }
}
