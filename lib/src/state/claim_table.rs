//! Run-once claims, which decide the router that may dispatch a request that must run at most once.
//!
//! The table is part of the replicated state, so that its times come from the log and never from a
//! clock. A claim is kept for [`CLAIM_KEEP_MS`] after the request's issue time. A request issued
//! earlier than that is refused as not run, so that removing a claim can never let its request run
//! again. See `docs/design/claims.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::ids::{Incarnation, RouterId};

/// How long a claim is kept after the issue time of its request, in milliseconds.
pub const CLAIM_KEEP_MS: u64 = 6 * 3600 * 1000;
/// How far a caller's issue time may be ahead of the keepers' clock, in milliseconds.
pub const ISSUE_AHEAD_MS: u64 = 60_000;
/// The width of a bucket of issue times, in milliseconds; claims expire by whole buckets.
const BUCKET_MS: u64 = 60_000;

/// Identifies a run-once request by the hash of its workspace and request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// The key of `request_id` within `workspace`.
    pub fn of(workspace: &str, request_id: &str) -> ClaimKey {
        ClaimKey(xxh3_128(format!("{workspace}\0{request_id}").as_bytes()))
    }
}

/// A router's request for permission to dispatch a run-once request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The request that is claimed.
    pub key: ClaimKey,
    /// The router that will dispatch.
    pub holder: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// Unique among the attempts of that incarnation; a resent claim has the same number.
    pub attempt: u64,
    /// When the caller issued the request, in milliseconds since 1970.
    pub issued_ms: u64,
}

/// The progress of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The holder may be running it.
    Running,
    /// It ran to completion.
    Done,
    /// The holder was lost, or reported that it can't determine the outcome; the request may have
    /// run.
    Unknown,
}

/// The outcome of a granted claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// No byte was sent: the claim is removed, and the caller may try again.
    NotDispatched,
    /// The whole answer was received.
    Done,
    /// Bytes were sent, but no whole answer was received.
    Unknown,
}

/// Reports the outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The request that was claimed.
    pub key: ClaimKey,
    /// The attempt that held the claim.
    pub attempt: u64,
    /// The router of that attempt.
    pub holder: RouterId,
    /// The outcome.
    pub end: ClaimEnd,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The router holds the claim and may dispatch the request once.
    Granted,
    /// Another attempt holds or held the claim.
    Taken(ClaimState),
    /// The request was issued before the oldest claim that is kept, and is refused as not run.
    TooOld,
    /// The request was issued in the future, and is refused as not run.
    TooNew,
}

/// A claim in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The router that may dispatch.
    pub holder: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// The attempt that holds the claim.
    pub attempt: u64,
    /// The request's issue time.
    pub issued_ms: u64,
    /// The progress of the request.
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

    /// Records the outcome of a claim. A report by another attempt than the holder has no effect.
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

    /// Sets the running claims of a lost incarnation of a router to unknown.
    pub fn lose_holder(&mut self, holder: RouterId, incarnation: Incarnation) {
        for record in self.claims.values_mut() {
            let lost = record.holder == holder && record.incarnation == incarnation;
            if lost && record.state == ClaimState::Running {
                record.state = ClaimState::Unknown;
            }
        }
    }

    /// Removes the claims that have expired at the log's time `now_ms`.
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

    /// The number of claims that are kept.
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

    /// The oldest issue time kept and all claims, for a snapshot. They are ordered, so that equal
    /// tables have equal bytes.
    pub fn records(&self) -> (u64, Vec<(ClaimKey, ClaimRecord)>) {
        let mut records: Vec<_> = self.claims.iter().map(|(key, record)| (*key, *record)).collect();
        records.sort_by_key(|(key, _)| *key);
        (self.oldest_ms, records)
    }

    /// The table that a snapshot was taken of.
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
