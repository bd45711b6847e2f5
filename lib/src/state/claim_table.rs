//! Run-once claims: who may dispatch a request that must run at most once.
//!
//! The table is part of the replicated state, so its times come from the log and
//! never from a clock. A claim is kept for [`CLAIM_KEEP_MS`] after the request's
//! issue time; a request issued earlier than that is refused as not run, so
//! forgetting a claim can never let its request run again.
//! See `docs/design/claims.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::ids::{Incarnation, RouterId};

/// How long after its issue time a claim is kept, in milliseconds.
pub const CLAIM_KEEP_MS: u64 = 6 * 3600 * 1000;
/// How far ahead of the keepers' clock a caller's issue time may be, in milliseconds.
pub const ISSUE_AHEAD_MS: u64 = 60_000;
const BUCKET_MS: u64 = 60_000;

/// The hash of a workspace and a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// The key of `request_id` within `workspace`.
    pub fn of(workspace: &str, request_id: &str) -> ClaimKey {
        ClaimKey(xxh3_128(format!("{workspace}\0{request_id}").as_bytes()))
    }
}

/// A router's wish to dispatch a run-once request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed.
    pub key: ClaimKey,
    /// The router that will dispatch.
    pub holder: RouterId,
    /// That router's life.
    pub incarnation: Incarnation,
    /// Unique for each attempt of that life; a resent claim has the same number.
    pub attempt: u64,
    /// When the caller issued the request, in milliseconds since 1970.
    pub issued_ms: u64,
}

/// How far a claimed request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Its holder may be running it.
    Running,
    /// It ran to its end.
    Done,
    /// Its holder died or lost sight of it; it may have run.
    Unknown,
}

/// What becomes of a claim that was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// No byte was sent: the claim is removed, and the caller may try again.
    NotDispatched,
    /// The answer was whole.
    Done,
    /// Bytes were sent and no whole answer came.
    Unknown,
}

/// Reports the end of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// What was claimed.
    pub key: ClaimKey,
    /// The attempt that held it.
    pub attempt: u64,
    /// That attempt's router.
    pub holder: RouterId,
    /// What became of it.
    pub end: ClaimEnd,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The asker holds the claim and may dispatch once.
    Granted,
    /// Someone else holds or held it.
    Taken(ClaimState),
    /// Issued before the oldest claim kept: refused as not run.
    TooOld,
    /// Issued in the future: refused as not run.
    TooNew,
}

/// A claim as it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The router that may dispatch.
    pub holder: RouterId,
    /// That router's life.
    pub incarnation: Incarnation,
    /// The attempt that holds it.
    pub attempt: u64,
    /// The request's issue time.
    pub issued_ms: u64,
    /// How far it has come.
    pub state: ClaimState,
}

/// All claims that are kept.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<ClaimKey, ClaimRecord>,
    by_issue: BTreeMap<u64, Vec<ClaimKey>>,
    oldest_ms: u64,
}

impl ClaimTable {
    /// Decides a claim at the log's time `now_ms`.
    pub fn claim(&mut self, request: ClaimRequest, now_ms: u64) -> ClaimAnswer {
        if request.issued_ms < self.oldest_ms {
            return ClaimAnswer::TooOld;
        }
        if request.issued_ms > now_ms + ISSUE_AHEAD_MS {
            return ClaimAnswer::TooNew;
        }
        if let Some(record) = self.claims.get(&request.key) {
            let resent = record.holder == request.holder
                && record.incarnation == request.incarnation
                && record.attempt == request.attempt
                && record.state == ClaimState::Running;
            return if resent { ClaimAnswer::Granted } else { ClaimAnswer::Taken(record.state) };
        }
        self.insert(
            request.key,
            ClaimRecord {
                holder: request.holder,
                incarnation: request.incarnation,
                attempt: request.attempt,
                issued_ms: request.issued_ms,
                state: ClaimState::Running,
            },
        );
        ClaimAnswer::Granted
    }

    /// Notes the end of a claim. A report by any but the holding attempt changes nothing.
    pub fn report(&mut self, report: ClaimReport) {
        let Some(record) = self.claims.get_mut(&report.key) else { return };
        if record.attempt != report.attempt || record.holder != report.holder {
            return;
        }
        match report.end {
            ClaimEnd::NotDispatched if record.state == ClaimState::Running => {
                self.claims.remove(&report.key);
            }
            ClaimEnd::NotDispatched => {}
            ClaimEnd::Done => record.state = ClaimState::Done,
            ClaimEnd::Unknown if record.state == ClaimState::Running => {
                record.state = ClaimState::Unknown;
            }
            ClaimEnd::Unknown => {}
        }
    }

    /// Marks what a lost life of a router was running as unknown.
    pub fn lose_holder(&mut self, holder: RouterId, incarnation: Incarnation) {
        for record in self.claims.values_mut() {
            let lost = record.holder == holder && record.incarnation == incarnation;
            if lost && record.state == ClaimState::Running {
                record.state = ClaimState::Unknown;
            }
        }
    }

    /// Forgets claims too old to be kept at the log's time `now_ms`.
    pub fn expire(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(CLAIM_KEEP_MS) / BUCKET_MS * BUCKET_MS;
        if oldest <= self.oldest_ms {
            return;
        }
        self.oldest_ms = oldest;
        let kept = self.by_issue.split_off(&oldest);
        for key in std::mem::replace(&mut self.by_issue, kept).into_values().flatten() {
            if self.claims.get(&key).is_some_and(|record| record.issued_ms < oldest) {
                self.claims.remove(&key);
            }
        }
    }

    /// How many claims are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// A claim, if it is kept.
    pub fn get(&self, key: ClaimKey) -> Option<&ClaimRecord> {
        self.claims.get(&key)
    }

    /// All claims with the oldest issue time kept, for a snapshot; ordered, so that equal
    /// tables give equal bytes.
    pub fn records(&self) -> (u64, Vec<(ClaimKey, ClaimRecord)>) {
        let mut records: Vec<_> = self.claims.iter().map(|(key, record)| (*key, *record)).collect();
        records.sort_by_key(|(key, _)| *key);
        (self.oldest_ms, records)
    }

    /// The table of a snapshot.
    pub fn from_records(oldest_ms: u64, records: Vec<(ClaimKey, ClaimRecord)>) -> ClaimTable {
        let mut table = ClaimTable { oldest_ms, ..ClaimTable::default() };
        for (key, record) in records {
            table.insert(key, record);
        }
        table
    }

    fn insert(&mut self, key: ClaimKey, record: ClaimRecord) {
        let bucket = record.issued_ms / BUCKET_MS * BUCKET_MS;
        self.by_issue.entry(bucket).or_default().push(key);
        self.claims.insert(key, record);
    }
}
