//! What upstreams say of themselves in their answers: that they want rest, or that they leave.
//!
//! Nobody else tells a VM of either: rest is asked of the VM that was turned away, and the list of
//! upstreams lags by seconds. Invariants: a notice holds for the incarnation that gave it (its key), whatever
//! becomes of connections and of the list meanwhile; leaving is never taken back, and rest only grows.
//! Neither says that the upstream fails. See `docs/design/upstream-notices.md`.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// The longest rest that is believed, in milliseconds: a day. It guards sums of times; one who means less
/// and slips by a unit is back when it starts again.
pub const LONGEST_REST_MS: u64 = 24 * 60 * 60 * 1000;

#[derive(Clone, Copy, Debug, Default)]
struct NoticeRow {
    rests_until_ms: u64,
    leaving: bool,
}

/// What the upstreams of one VM have said to it.
#[derive(Clone, Debug, Default)]
pub struct NoticeTable {
    rows: HashMap<UpstreamKey, NoticeRow>,
}

impl NoticeTable {
    /// An upstream turned this VM away and wants nothing from it for so long.
    pub fn note_rest(&mut self, upstream: UpstreamKey, rest_ms: u64, now_ms: u64) {
        let row = self.rows.entry(upstream).or_default();
        row.rests_until_ms = row.rests_until_ms.max(now_ms + rest_ms.min(LONGEST_REST_MS));
    }

    /// An upstream said that it leaves; true when that is news.
    pub fn note_leaving(&mut self, upstream: UpstreamKey) -> bool {
        let row = self.rows.entry(upstream).or_default();
        !std::mem::replace(&mut row.leaving, true)
    }

    /// How long an upstream still wants nothing from this VM, in milliseconds; 0 when it doesn't rest.
    pub fn rest_ms(&self, upstream: UpstreamKey, now_ms: u64) -> u64 {
        self.rows.get(&upstream).map_or(0, |row| row.rests_until_ms.saturating_sub(now_ms))
    }

    /// Whether an upstream said that it leaves.
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        self.rows.get(&upstream).is_some_and(|row| row.leaving)
    }

    /// How many rest now.
    pub fn resting(&self, now_ms: u64) -> usize {
        self.rows.values().filter(|row| row.rests_until_ms > now_ms).count()
    }

    /// How many said that they leave.
    pub fn leaving(&self) -> usize {
        self.rows.values().filter(|row| row.leaving).count()
    }
}
