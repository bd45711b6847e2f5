//! What upstreams state about themselves in their answers: that they ask for back-off (to be sent
//! nothing for a while), or that they are leaving.
//!
//! A VM receives neither from other VMs: an upstream asks only the VM whose request it rejected to
//! back off, and the list of upstreams lags by seconds. Invariants: a notice holds for the
//! incarnation that gave it (its key), whatever happens to connections and to the list in the
//! meantime; leaving is never revoked, and a back-off only gets longer. Neither notice means that
//! the upstream fails. See `docs/design/upstream-notices.md`.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// The longest back-off that is accepted, in milliseconds: one day. It keeps sums of times from
/// overflowing. An upstream that asks for too long a back-off, for instance in a wrong unit, gets
/// requests again after a restart.
pub const MAX_BACKOFF_MS: u64 = 24 * 60 * 60 * 1000;

/// After its back-off an upstream is sent one request, and further ones only once that was answered
/// or this many milliseconds have passed, as long as other upstreams serve. An upstream that still
/// needs back-off rejects the request at once. With 250 requests a second at each of 12 VMs, and
/// back-off requested by four of 12 upstreams for 9 s, 238 requests are refused without this limit
/// and 147 with it; with 50 a second, 145 either way (`test_rest_spread`).
pub const BACKOFF_TRIAL_MS: u64 = 250;
/// An upstream that rejects this many requests in a row without asking for back-off is avoided for
/// a while, as long as others serve. It has nothing in flight, so by its load it would get the next
/// request, too. After a single rejection, an upstream that is full now and then would be passed
/// over and its cached prompts read again elsewhere, which costs 0.011 to 0.015 of worth on four
/// days with a burst in which upstreams rejected 4 requests in 10.
const CONSECUTIVE_REJECTIONS: u32 = 2;
/// How long an upstream is avoided at first, in milliseconds; the time doubles with the next
/// rejection, and once more. Where a third of a service rejects all requests for nine seconds
/// twice, the two constants gain 0.07 to 0.10 of worth on each of four days of two sites.
pub const FIRST_AVOIDED_MS: u64 = 1000;
/// The maximum number of times that this duration doubles.
const MAX_DOUBLINGS: u32 = 2;
/// The fraction of the time for which a leaving upstream still serves (a bound of the deployment)
/// in which it gets requests that no other upstream would serve. Its replacement appears on the
/// list seconds later.
pub const LAST_RESORT_FRACTION: f64 = 1.0 / 3.0;
/// How long the notices of an incarnation are kept after it was last listed or gave a notice, in
/// milliseconds. A list that lags or is read in part may name it again.
const RETENTION_MS: u64 = 60 * 60 * 1000;

/// The purpose of a connection to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApproachPurpose {
    /// To send a request.
    Request,
    /// Only to see whether the upstream can be reached.
    Trial,
}

#[derive(Clone, Copy, Debug, Default)]
struct NoticeRow {
    /// Until when this VM backs off from it; 0 if it never asked for back-off, or accepted a
    /// request after it.
    backoff_until_ms: u64,
    /// When it was sent the first request after its back-off.
    trial_ms: Option<u64>,
    /// Until when it is avoided because it rejected requests.
    avoided_until_ms: u64,
    /// The number of requests that it has rejected since it last accepted one.
    rejections: u32,
    /// If it is leaving, until when it gets requests that no other upstream would serve.
    leaving: Option<u64>,
    /// When it last gave a notice or was on the list.
    last_seen_ms: u64,
}

/// The notices that one VM has received from upstreams.
#[derive(Clone, Debug, Default)]
pub struct NoticeTable {
    rows: HashMap<UpstreamKey, NoticeRow>,
}

impl NoticeTable {
    /// Records that an upstream rejected a request and asked this VM to send it nothing for
    /// `backoff_ms` milliseconds.
    pub fn note_backoff(&mut self, upstream: UpstreamKey, backoff_ms: u64, now_ms: u64) {
        let row = self.row(upstream, now_ms);
        row.backoff_until_ms = row.backoff_until_ms.max(now_ms + backoff_ms.min(MAX_BACKOFF_MS));
        row.trial_ms = None;
    }

    /// Records that a request is sent to an upstream.
    pub fn note_sent(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if let Some(row) = self.rows.get_mut(&upstream).filter(|row| row.backoff_until_ms > 0) {
            row.trial_ms.get_or_insert(now_ms);
        }
    }

    /// Records that an upstream accepted a request. If its back-off is over, it is treated like any
    /// other again.
    pub fn note_accepted(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let Some(row) = self.rows.get_mut(&upstream) else { return };
        row.rejections = 0;
        if row.backoff_until_ms <= now_ms {
            (row.backoff_until_ms, row.trial_ms) = (0, None);
        }
    }

    /// Whether this VM may connect to an upstream now. A leaving upstream still serves the requests
    /// that it has, so it may be probed.
    pub fn may_approach(
        &self,
        upstream: UpstreamKey,
        purpose: ApproachPurpose,
        now_ms: u64,
    ) -> bool {
        let open = !self.is_leaving(upstream) || self.is_last_resort(upstream, now_ms);
        self.backoff_ms(upstream, now_ms) == 0 && (purpose == ApproachPurpose::Trial || open)
    }

    /// Whether a leaving upstream may still get requests that no other upstream would serve.
    pub fn is_last_resort(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let last_ms = self.rows.get(&upstream).and_then(|row| row.leaving);
        last_ms.is_some_and(|last_ms| last_ms > now_ms)
    }

    /// Records that an upstream rejected a request without asking for back-off.
    pub fn note_rejected(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let row = self.row(upstream, now_ms);
        row.rejections = row.rejections.saturating_add(1);
        if let Some(more) = row.rejections.checked_sub(CONSECUTIVE_REJECTIONS) {
            row.avoided_until_ms = now_ms + (FIRST_AVOIDED_MS << more.min(MAX_DOUBLINGS));
        }
    }

    /// Whether a request should go to another upstream, if any other serves it: this one rejected
    /// some a moment ago, or the first request after its back-off is under way.
    pub fn is_avoided(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let Some(row) = self.rows.get(&upstream) else { return false };
        let in_trial = row.trial_ms.is_some_and(|trial_ms| trial_ms + BACKOFF_TRIAL_MS > now_ms);
        in_trial || row.avoided_until_ms > now_ms
    }

    /// Records that an upstream is leaving, which takes at least `drain_ms`; returns whether that
    /// is new.
    pub fn note_leaving(&mut self, upstream: UpstreamKey, drain_ms: u64, now_ms: u64) -> bool {
        let last_ms = now_ms + (drain_ms as f64 * LAST_RESORT_FRACTION) as u64;
        let row = self.row(upstream, now_ms);
        let is_new = row.leaving.is_none();
        row.leaving.get_or_insert(last_ms);
        is_new
    }

    /// The row of an upstream, marked as seen now.
    fn row(&mut self, upstream: UpstreamKey, now_ms: u64) -> &mut NoticeRow {
        let row = self.rows.entry(upstream).or_default();
        row.last_seen_ms = now_ms;
        row
    }

    /// How long this VM still backs off from an upstream, in milliseconds; 0 if it doesn't.
    pub fn backoff_ms(&self, upstream: UpstreamKey, now_ms: u64) -> u64 {
        self.rows.get(&upstream).map_or(0, |row| row.backoff_until_ms.saturating_sub(now_ms))
    }

    /// Whether an upstream gave notice that it is leaving.
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        self.rows.get(&upstream).is_some_and(|row| row.leaving.is_some())
    }

    /// The upstreams with a record.
    pub fn known(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.rows.keys().copied()
    }

    /// Removes the notices under this key, because another incarnation uses it now.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.rows.remove(&upstream);
    }

    /// Removes the notices of upstreams for which `known` has returned false for [`RETENTION_MS`],
    /// unless their back-off still lasts.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool, now_ms: u64) {
        self.rows.retain(|upstream, row| {
            if known(*upstream) {
                row.last_seen_ms = now_ms;
            }
            row.backoff_until_ms > now_ms || row.last_seen_ms + RETENTION_MS > now_ms
        });
    }

    /// The number of upstreams from which this VM backs off now.
    pub fn backing_off(&self, now_ms: u64) -> usize {
        self.rows.values().filter(|row| row.backoff_until_ms > now_ms).count()
    }

    /// The number of upstreams that gave notice that they are leaving.
    pub fn leaving(&self) -> usize {
        self.rows.values().filter(|row| row.leaving.is_some()).count()
    }
}
