//! What a VM counts of the requests that it served: ends, and times to the first byte.
//!
//! Everything here has a bound: workspaces beyond [`MOST_WORKSPACES`] share one histogram.

use std::collections::BTreeMap;

use super::body_end::{BodyEnd, BodyFraming};

/// Workspaces with a histogram of their own.
pub const MOST_WORKSPACES: usize = 32;
/// The workspace of requests without a key, and of all beyond the bound.
pub const OTHER_WORKSPACES: &str = "other";
/// Upper ends of the histograms' buckets, in milliseconds.
pub const BUCKETS_MS: [u64; 10] = [25, 50, 100, 200, 300, 400, 600, 1000, 2000, 5000];

/// How a request ended at this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An upstream's success was passed on from its beginning; a stream may still be cut.
    Answered,
    /// An upstream's own failure was passed on.
    UpstreamFailed,
    /// Refused without a run; the answer says when to retry.
    Refused,
    /// Failed without a promise.
    Failed,
    /// Its time was over.
    TimedOut,
    /// No route, no key, or no proper request.
    Denied,
}

impl RequestEnd {
    /// All of them, in the order of the counters.
    pub const ALL: [RequestEnd; 6] = [
        RequestEnd::Answered,
        RequestEnd::UpstreamFailed,
        RequestEnd::Refused,
        RequestEnd::Failed,
        RequestEnd::TimedOut,
        RequestEnd::Denied,
    ];

    /// Its name in figures and logs.
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

/// Times of one workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DelayHistogram {
    /// Values up to the end of each bucket, and the rest.
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

    /// How many values there are.
    pub fn count(&self) -> u64 {
        self.counts.iter().sum()
    }
}

/// The counters of one VM, since its start.
#[derive(Clone, Debug, Default)]
pub struct VmFigures {
    ends: [u64; RequestEnd::ALL.len()],
    first_byte: BTreeMap<String, DelayHistogram>,
    body_ends: [[u64; BodyEnd::ALL.len()]; BodyFraming::ALL.len()],
    /// Sends beyond the first of each request.
    pub repeats: u64,
    /// Streams taken up at another upstream.
    pub resumed: u64,
    /// Streams that ended before their end.
    pub cut: u64,
    /// Answers whose first byte came after their goal.
    pub late: u64,
    /// Callers that left before they had the whole answer.
    pub left: u64,
    /// Signs against upstreams.
    pub signs: u64,
    /// Requests under which their upstream ended.
    pub ended_under: u64,
    /// Answers by which upstreams asked for rest.
    pub rests_asked: u64,
}

impl VmFigures {
    /// A request ended.
    pub fn note_end(&mut self, end: RequestEnd) {
        self.ends[end as usize] += 1;
    }

    /// How many requests ended so.
    pub fn ended(&self, end: RequestEnd) -> u64 {
        self.ends[end as usize]
    }

    /// A body that came piece by piece stopped where its framing ends.
    pub fn note_body_end(&mut self, framing: BodyFraming, end: BodyEnd) {
        self.body_ends[framing as usize][end as usize] += 1;
    }

    /// How many bodies with this framing stopped so.
    pub fn body_ends(&self, framing: BodyFraming, end: BodyEnd) -> u64 {
        self.body_ends[framing as usize][end as usize]
    }

    /// An answer's first byte came.
    pub fn note_first_byte(&mut self, workspace: Option<&str>, took_ms: u64) {
        let named = workspace.unwrap_or(OTHER_WORKSPACES);
        let room = self.first_byte.len() < MOST_WORKSPACES || self.first_byte.contains_key(named);
        let name = if room { named } else { OTHER_WORKSPACES };
        match self.first_byte.get_mut(name) {
            Some(histogram) => histogram.note(took_ms),
            None => self.first_byte.entry(name.to_string()).or_default().note(took_ms),
        }
    }

    /// Times to the first byte, by workspace.
    pub fn first_bytes(&self) -> impl Iterator<Item = (&str, &DelayHistogram)> {
        self.first_byte.iter().map(|(name, histogram)| (name.as_str(), histogram))
    }
}
