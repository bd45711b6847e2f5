//! Run-once claims of a router: they are requested from the keepers in batches before a request is
//! dispatched, and reported as ended afterwards.

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

/// How long a request waits for the answer to its claim before it is refused as not run.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a claim thread waits for work before it checks whether the router stops, and how long
/// it pauses after a failed batch.
const IDLE_WAIT: Duration = Duration::from_millis(100);
/// The maximum number of HTTP calls for one batch.
const MAX_CALLS: usize = 3;
/// The maximum number of claims, and of reports, that fit into one datagram. Larger batches are
/// sent by HTTP.
const MAX_PER_DATAGRAM: usize = 8;
/// How often a batch is sent by datagram before it is sent by HTTP.
const MAX_DATAGRAM_SENDS: usize = 4;
/// How long the answer to a datagram is awaited. A commit takes a few milliseconds, so this is the
/// delay that a lost datagram causes.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(80);

/// A granted claim. It reports its end to the keepers; if it is dropped without [`HeldClaim::end`],
/// the end is reported as unknown.
pub(super) struct HeldClaim {
    shared: Arc<RouterShared>,
    report: ClaimReport,
    ended: bool,
}

impl HeldClaim {
    /// Reports how the claimed request ended.
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

/// Claims a run-once request. The error states why the request is not run.
pub(super) fn claim(
    shared: &Arc<RouterShared>,
    request: &CallerRequest,
) -> Result<HeldClaim, CallerError> {
    let attempt = shared.next_number();
    let key = ClaimKey::of(&request.workspace, &request.request_id);
    let claim_request = ClaimRequest {
        key,
        holder: shared.id(),
        incarnation: shared.incarnation,
        attempt,
        issued_ms: request.issued_ms.unwrap_or(0),
    };
    let (sender, receiver) = bounded(1);
    {
        let mut claims = lock(&shared.claims);
        claims.batch.claims.push((attempt, claim_request));
        claims.waiting.insert(attempt, sender);
    }
    shared.claims_ready.notify_one();
    let answer = receiver.recv_timeout(CLAIM_TIMEOUT).ok().flatten();
    let report = ClaimReport { key, attempt, holder: shared.id(), end: ClaimEnd::NotDispatched };
    let mut held = HeldClaim { shared: shared.clone(), report, ended: false };
    let refused = match answer {
        Some(ClaimAnswer::Granted) => return Ok(held),
        Some(ClaimAnswer::Taken(state)) => taken_error(state),
        Some(ClaimAnswer::TooOld) => CallerError::not_run(
            409,
            "too_old",
            "The issue time lies before the oldest claim kept; the request was not run.",
        ),
        Some(ClaimAnswer::TooNew) => {
            CallerError::not_run(400, "bad_request", "The issue time lies in the future.")
        }
        None => {
            // The keepers may still grant the claim, so its end is reported as not dispatched.
            held.send();
            let text = "The keepers did not answer, so the request was not run.";
            return Err(CallerError::not_run(503, "no_keeper", text).after(1000));
        }
    };
    held.ended = true;
    Err(refused)
}

/// Returns the error for a request that an earlier attempt has claimed.
fn taken_error(state: ClaimState) -> CallerError {
    let (text, ran) = match state {
        ClaimState::Running => ("This request is running elsewhere.", RanStatus::Unknown),
        ClaimState::Done => ("This request has run.", RanStatus::Yes),
        ClaimState::Unknown => ("This request may have run.", RanStatus::Unknown),
    };
    CallerError::not_run(409, "already_claimed", text).with_ran(ran)
}

/// Sends batches of claims and reports until the router stops. Several threads may run this.
pub(super) fn run_claims(shared: &Arc<RouterShared>) {
    while !shared.stopping.load(Ordering::Relaxed) {
        let batch = {
            let mut claims = lock(&shared.claims);
            if claims.batch.is_empty() {
                let waited = shared.claims_ready.wait_timeout(claims, IDLE_WAIT);
                claims = waited.unwrap_or_else(|poison| poison.into_inner()).0;
            }
            claims.batch.take()
        };
        if !batch.is_empty() {
            send_batch(shared, batch);
        }
    }
}

/// Sends a batch and delivers the answers to the requests that wait for them. Without an answer the
/// reports are queued again, and the waiting requests receive `None`.
fn send_batch(shared: &Arc<RouterShared>, batch: ClaimBatch) {
    let requests: Vec<ClaimRequest> = batch.claims.iter().map(|(_, claim)| *claim).collect();
    let fits_datagram =
        requests.len() <= MAX_PER_DATAGRAM && batch.reports.len() <= MAX_PER_DATAGRAM;
    // Claims and reports carry their attempt number, so sending them again has no further effect.
    let answers = match fits_datagram {
        true => send_datagrams(shared, &requests, &batch.reports),
        false => None,
    };
    let answers = answers.or_else(|| send_http(shared, requests, &batch.reports));
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
        std::thread::sleep(IDLE_WAIT);
    }
}

/// Sends a small batch by datagram, which costs a tenth of the bytes of an HTTP call; lost
/// datagrams are sent again.
fn send_datagrams(
    shared: &Arc<RouterShared>,
    claims: &[ClaimRequest],
    reports: &[ClaimReport],
) -> Option<Vec<ClaimAnswer>> {
    let number = shared.next_number();
    let (sender, receiver) = bounded(MAX_DATAGRAM_SENDS);
    lock(&shared.claims).batches.insert(number, sender);
    let (claims, reports) = (claims.to_vec(), reports.to_vec());
    let message = Datagram::Claims { number, claims, reports };
    let mut answers = None;
    for _ in 0..MAX_DATAGRAM_SENDS {
        shared.port.send(shared.keepers.leader(), &message);
        answers = receiver.recv_timeout(DATAGRAM_TIMEOUT).ok().flatten();
        if answers.is_some() {
            break;
        }
        shared.keepers.try_next_leader();
    }
    lock(&shared.claims).batches.remove(&number);
    answers
}

/// Sends a batch by HTTP.
fn send_http(
    shared: &Arc<RouterShared>,
    claims: Vec<ClaimRequest>,
    reports: &[ClaimReport],
) -> Option<Vec<ClaimAnswer>> {
    let call = KeeperCall::Claims(claims, reports.to_vec());
    (0..MAX_CALLS).find_map(|_| match shared.keepers.call_leader(&call) {
        Ok(KeeperReply::Claims(answers)) => Some(answers),
        Ok(_) => None,
        Err(failure) => {
            tracing::warn!("claims: {failure}.");
            None
        }
    })
}

/// Delivers the answers that a keeper sent by datagram to the thread that sent batch `number`.
pub(super) fn receive_answers(
    shared: &RouterShared,
    number: u64,
    answers: Option<Vec<ClaimAnswer>>,
) {
    if let Some(sender) = lock(&shared.claims).batches.get(&number) {
        let _ = sender.try_send(answers);
    }
}
