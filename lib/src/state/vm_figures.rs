//! The counters of the requests that a VM served: how they ended, and the time to the first byte.
//!
//! The size is bounded: workspaces beyond [`MAX_WORKSPACES`] share one histogram.

use std::collections::BTreeMap;

use super::body_end::{BodyEnd, BodyFraming};

/// The most workspaces that have a histogram of their own. More would enlarge the metrics that the
/// VM publishes without bound.
pub const MAX_WORKSPACES: usize = 32;
/// The name under which requests without a key and those of workspaces beyond the bound are
/// counted.
pub const OTHER_WORKSPACES: &str = "other";
/// The upper bounds of the histograms' buckets, in milliseconds.
pub const BUCKETS_MS: [u64; 10] = [25, 50, 100, 200, 300, 400, 600, 1000, 2000, 5000];

/// How a request ended at this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An upstream's success was forwarded from its beginning; a stream may still be cut later.
    Answered,
    /// An upstream's own error was forwarded.
    UpstreamFailed,
    /// The request was refused without being run; the answer says when to retry.
    Refused,
    /// The request failed, and may have run.
    Failed,
    /// The deadline of the request passed.
    TimedOut,
    /// There was no route, no valid key, or the request was malformed.
    Denied,
}

impl RequestEnd {
    /// All ends, in the order of the counters.
    pub const ALL: [RequestEnd; 6] = [
        RequestEnd::Answered,
        RequestEnd::UpstreamFailed,
        RequestEnd::Refused,
        RequestEnd::Failed,
        RequestEnd::TimedOut,
        RequestEnd::Denied,
    ];

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            RequestEnd::Answered => "answered",
            RequestEnd::UpstreamFailed => "upstream_failed",
            RequestEnd::Refused => "refused",
            RequestEnd::Failed => "failed",
            RequestEnd::TimedOut => "timed_out",
            RequestEnd::Denied => "denied",
        }
    }
}

/// A histogram of the times of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelayHistogram {
    /// The number of values in each bucket, and of those above the last one.
    pub counts: [u64; BUCKETS_MS.len() + 1],
    /// The sum of all values, in milliseconds.
    pub sum_ms: u64,
}

impl DelayHistogram {
    fn note(&mut self, took_ms: u64) {
        let bucket = BUCKETS_MS.iter().position(|end| took_ms <= *end);
        self.counts[bucket.unwrap_or(BUCKETS_MS.len())] += 1;
        self.sum_ms += took_ms;
    }

    /// The number of values.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }
}

/// The counters of a VM since its start.
#[derive(Clone, Debug, Default)]
pub struct VmCounters {
    ends: [u64; RequestEnd::ALL.len()],
    first_byte: BTreeMap<String, DelayHistogram>,
    body_ends: [[u64; BodyEnd::ALL.len()]; BodyFraming::ALL.len()],
    /// Requests sent to an upstream again, beyond the first time.
    pub repeats: u64,
    /// Streams that were resumed at another upstream.
    pub resumed: u64,
    /// Requests by which callers resume a stream, and that were sent to an upstream.
    pub resumed_by_callers: u64,
    /// Requests by which callers resume a stream that can't go on.
    pub resume_refused: u64,
    /// Streams that were cut before they were complete.
    pub cut: u64,
    /// Answers whose first byte came later than the route's goal.
    pub late: u64,
    /// Callers that disconnected before they had the whole answer.
    pub abandoned: u64,
    /// Failure signs that passive health checks counted against upstreams.
    pub failure_signs: u64,
    /// Requests whose upstream ended while it ran them.
    pub crashes: u64,
    /// Requests that were served through another VM.
    pub relayed: u64,
    /// How often this VM reached no upstream at all.
    pub isolations: u64,
    /// Answers by which upstreams requested a back-off.
    pub backoffs: u64,
}

impl VmCounters {
    /// Counts a request that ended.
    pub fn note_end(&mut self, end: RequestEnd) {
        self.ends[end as usize] += 1;
    }

    /// The number of requests that ended this way.
    pub fn ended(&self, end: RequestEnd) -> u64 {
        self.ends[end as usize]
    }

    /// Counts a streamed body that ended.
    pub fn note_body_end(&mut self, framing: BodyFraming, end: BodyEnd) {
        self.body_ends[framing as usize][end as usize] += 1;
    }

    /// The number of bodies with this framing that ended at this place.
    pub fn body_ends(&self, framing: BodyFraming, end: BodyEnd) -> u64 {
        self.body_ends[framing as usize][end as usize]
    }

    /// Counts the time to the first byte of an answer, in milliseconds.
    pub fn note_first_byte(&mut self, workspace: Option<&str>, took_ms: u64) {
        let named = workspace.unwrap_or(OTHER_WORKSPACES);
        let has_histogram =
            self.first_byte.len() < MAX_WORKSPACES || self.first_byte.contains_key(named);
        let name = if has_histogram { named } else { OTHER_WORKSPACES };
        match self.first_byte.get_mut(name) {
            Some(histogram) => histogram.note(took_ms),
            None => self.first_byte.entry(name.to_string()).or_default().note(took_ms),
        }
    }

    /// The times to the first byte, by workspace.
    pub fn first_bytes(&self) -> impl Iterator<Item = (&str, &DelayHistogram)> {
        self.first_byte.iter().map(|(name, histogram)| (name.as_str(), histogram))
    }
}
