//! Checks where streams went on that were cut off: at the version that began them, and not much less often
//! than new ones begin.

use std::collections::{BTreeSet, HashMap};

use crate::ledger::{
    LedgerRows, LifeRow, OrderContent, RequestEnd, RequestKind, RequestRow, RunRow, Touched,
};

/// How many resumed streams are needed for a comparison.
const MIN_RESUMED: usize = 12;
/// How often resumed streams must go on, as a share of how often new ones begin.
const RESUMED_SHARE: f64 = 0.5;
/// How many upstreams of the version must serve for a resumed stream to be compared.
const MIN_UPSTREAMS: usize = 2;
/// Milliseconds before a request for which those upstreams must have served: a VM may still hold a new one back
/// or list one that has ended.
const SETTLED_MS: u64 = 2_000;
/// Milliseconds after a roll-out's deadline in which it may still keep requests from a version.
const ROLL_OUT_END_MS: u64 = 25_000;

/// The service and version of a run.
fn origin(run: &RunRow) -> (&str, &str) {
    (&run.service, &run.version)
}

/// The runs of a ledger by their numbers.
fn runs_by_number(rows: &LedgerRows) -> HashMap<u64, &RunRow> {
    rows.runs.iter().map(|run| (run.make.run, run)).collect()
}

/// The attempt that brought the first event of the request's stream.
fn first_attempt(request: &RequestRow) -> &str {
    request.resumes.as_ref().map_or(&request.attempt, |stream| &stream.first)
}

/// Describes each stream that holds events of several versions.
pub fn mixed_streams(rows: &LedgerRows) -> Vec<String> {
    let runs = runs_by_number(rows);
    let mut streams: HashMap<&str, BTreeSet<(&str, &str)>> = HashMap::new();
    for request in &rows.requests {
        let origins = request.event_runs.iter().filter_map(|run| runs.get(run));
        streams.entry(first_attempt(request)).or_default().extend(origins.map(|run| origin(run)));
    }
    let mixed = streams.into_iter().filter(|(_, origins)| origins.len() > 1);
    mixed.map(|(attempt, origins)| format!("{attempt} has events of {origins:?}")).collect()
}

/// How many streams were tried, and how many of them brought an event or their end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamCount {
    /// Requests of callers.
    pub tried: usize,
    /// Those that brought an event, or ended as complete.
    pub went_on: usize,
    /// The others: when each was sent and to which VM, and how it ended.
    pub stopped: Vec<(u64, usize, RequestEnd)>,
}

impl StreamCount {
    fn add(&mut self, request: &RequestRow) {
        self.tried += 1;
        let went_on = !request.event_runs.is_empty() || request.end == RequestEnd::Whole;
        self.went_on += usize::from(went_on);
        if !went_on {
            self.stopped.push((request.sent_ms, request.vm, request.end.clone()));
        }
    }

    fn share(&self) -> f64 {
        self.went_on as f64 / self.tried.max(1) as f64
    }
}

/// The new streams and the resumed ones that can be compared: those for which `may_compare` holds, that no
/// revoked key or roll-out may explain, and, if resumed, whose version serves.
pub fn stream_counts(
    rows: &LedgerRows,
    may_compare: impl Fn(&RequestRow) -> bool,
) -> (StreamCount, StreamCount) {
    let runs = runs_by_number(rows);
    let begins = rows.requests.iter().filter(|request| request.resumes.is_none());
    let first_run = |request: &RequestRow| request.event_runs.first().and_then(|run| runs.get(run));
    let origins: HashMap<&str, (&str, &str)> = begins
        .filter_map(|request| Some((request.attempt.as_str(), origin(first_run(request)?))))
        .collect();
    let (mut new, mut resumed) = (StreamCount::default(), StreamCount::default());
    let streams = rows.requests.iter().filter(|request| request.kind == RequestKind::Resume);
    for request in streams.filter(|request| may_compare(request)) {
        let denied = request.end == RequestEnd::Status(401);
        if denied || is_in_rollout(rows, request) {
            continue;
        }
        if request.resumes.is_none() {
            new.add(request);
        } else if origins
            .get(first_attempt(request))
            .is_some_and(|origin| serving_count(rows, *origin, request) >= MIN_UPSTREAMS)
        {
            resumed.add(request);
        }
    }
    (new, resumed)
}

/// Describes that resumed streams go on too seldom; none if they don't.
pub fn resumption_fault(new: &StreamCount, resumed: &StreamCount) -> Option<String> {
    let seldom = resumed.share() < RESUMED_SHARE * new.share();
    let fault = || format!("resumed {resumed:?}, new {new:?}");
    (resumed.tried >= MIN_RESUMED && seldom).then(fault)
}

/// Whether a roll-out may keep requests from a version while this request is served.
fn is_in_rollout(rows: &LedgerRows, request: &RequestRow) -> bool {
    rows.rollouts.iter().any(|row| {
        let until_ms = row.sent_ms + row.duration_ms + ROLL_OUT_END_MS;
        row.sent_ms <= request.ended_ms && request.sent_ms <= until_ms
    })
}

/// How many undisturbed upstreams of this service and version serve throughout a request, and want requests.
fn serving_count(
    rows: &LedgerRows,
    (service, version): (&str, &str),
    request: &RequestRow,
) -> usize {
    let (from_ms, until_ms) = (request.sent_ms.saturating_sub(SETTLED_MS), request.ended_ms);
    let is_disturbed = |life: &LifeRow| {
        rows.spans.iter().any(|span| {
            let touched =
                span.touched == Touched::Upstream(life.upstream) || span.touched == Touched::List;
            touched && span.overlaps(from_ms, until_ms)
        })
    };
    let asks_backoff = |life: &LifeRow| {
        let of_life = rows.arrivals.iter().filter(|row| row.life == life.number && row.rest_ms > 0);
        let mut spans = of_life.map(|row| (row.at_ms, row.at_ms + row.rest_ms));
        spans.any(|(began_ms, ended_ms)| began_ms <= until_ms && ended_ms >= from_ms)
    };
    let serves = |life: &&LifeRow| {
        (life.service.as_str(), life.version.as_str()) == (service, version)
            && life.from_ms <= from_ms
            && life.until_ms.is_none_or(|ended_ms| ended_ms > until_ms)
            && !is_disturbed(life)
            && !asks_backoff(life)
            && !was_evacuated(rows, &life.zone, until_ms)
    };
    rows.lives.iter().filter(serves).count()
}

/// Whether a zone may be evacuated at this time.
fn was_evacuated(rows: &LedgerRows, zone: &str, at_ms: u64) -> bool {
    let mut evacuated = false;
    for order in rows.orders.iter().filter(|order| order.sent_ms <= at_ms) {
        match &order.content {
            OrderContent::EmptyZone(other) if other == zone => evacuated = true,
            OrderContent::ReturnZone(other) if other == zone => {
                evacuated = order.acked_ms.is_none_or(|acked_ms| acked_ms + SETTLED_MS > at_ms);
            }
            _ => {}
        }
    }
    evacuated
}
