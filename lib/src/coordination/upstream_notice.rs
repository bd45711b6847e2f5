//! What upstreams say of themselves in their answers: that they want rest, or that they leave.
//!
//! A VM receives neither from others: rest is asked of the VM that was turned away, and the list of
//! upstreams lags by seconds. Invariants: a notice holds for the incarnation that gave it (its key), whatever
//! becomes of connections and of the list meanwhile; leaving is never taken back, and rest only grows.
//! Neither says that the upstream fails. See `docs/design/upstream-notices.md`.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// The longest rest that is believed, in milliseconds: a day. It guards sums of times; one who means less
/// and slips by a unit is back when it starts again.
pub const LONGEST_REST_MS: u64 = 24 * 60 * 60 * 1000;

/// One that has rested is sent one request, and others only once that was answered or this much later, in
/// milliseconds, while others serve: who still wants rest turns away at once. Of 250 requests a second at each
/// of 12 VMs, four of 12 upstreams at rest for 9 s, 238 were refused without this and 147 with it; of 50 a
/// second 145 either way (`test_rest_spread`).
pub const RETURN_TRIAL_MS: u64 = 250;
/// One that turned so many requests away in a row and asked for no rest is left to others for a while, as long as
/// these serve: it has nothing in flight, so that by loads it would get the next one, too. After one alone an
/// upstream that is full now and then is passed over, and what it keeps is read anew elsewhere: 0.011 to 0.015 of
/// worth on four days with a burst, where upstreams turned away 4 in 10.
const TURNED_AWAY_IN_A_ROW: u32 = 2;
/// How long that is at first, in milliseconds; twice as long with the next, and once more. Where a third of a
/// service turned all away for twice nine seconds, the two gave 0.07 to 0.10 of worth on each of four days of
/// two sites.
pub const FIRST_SPARED_MS: u64 = 1000;
const MOST_DOUBLINGS: u32 = 2;
/// The part of the time for which an upstream serves on once it leaves (a deployment's bound) in which it still
/// gets requests that no other upstream would serve: what comes in its place is seconds later on the list.
pub const LAST_RESORT_PART: f64 = 1.0 / 3.0;
/// What an incarnation said is kept for this long after it was last listed or heard, in milliseconds: a list
/// that lags, or is read in part, may name it again.
const KEEP_MS: u64 = 60 * 60 * 1000;

/// What an upstream is approached for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApproachPurpose {
    /// To send a request.
    Request,
    /// To see whether it can be reached, and nothing more.
    Trial,
}

#[derive(Clone, Copy, Debug, Default)]
struct NoticeRow {
    /// 0 when it has served since, or never asked for rest.
    rests_until_ms: u64,
    /// When it was sent the first request after its rest.
    tried_ms: Option<u64>,
    /// Until when it is left to others, as it turned requests away.
    spared_until_ms: u64,
    /// How often it turned requests away since it took one.
    turned_away: u32,
    /// Until when it gets what no other upstream would serve, since it leaves.
    leaving: Option<u64>,
    /// When it last said something, or was on the list.
    heard_ms: u64,
}

/// What the upstreams of one VM have said to it.
#[derive(Clone, Debug, Default)]
pub struct NoticeTable {
    rows: HashMap<UpstreamKey, NoticeRow>,
}

impl NoticeTable {
    /// An upstream turned this VM away and wants nothing from it for so long.
    pub fn note_rest(&mut self, upstream: UpstreamKey, rest_ms: u64, now_ms: u64) {
        let row = self.row(upstream, now_ms);
        row.rests_until_ms = row.rests_until_ms.max(now_ms + rest_ms.min(LONGEST_REST_MS));
        row.tried_ms = None;
    }

    /// A request is sent to an upstream.
    pub fn note_sent(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if let Some(row) = self.rows.get_mut(&upstream).filter(|row| row.rests_until_ms > 0) {
            row.tried_ms.get_or_insert(now_ms);
        }
    }

    /// An upstream took a request: once its rest is over it is like any other.
    pub fn note_taken(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let Some(row) = self.rows.get_mut(&upstream) else { return };
        row.turned_away = 0;
        if row.rests_until_ms <= now_ms {
            (row.rests_until_ms, row.tried_ms) = (0, None);
        }
    }

    /// Whether an upstream may be approached now. Who leaves still serves what it has, so that it may be tried.
    pub fn may_approach(
        &self,
        upstream: UpstreamKey,
        purpose: ApproachPurpose,
        now_ms: u64,
    ) -> bool {
        let open = !self.is_leaving(upstream) || self.is_last_resort(upstream, now_ms);
        self.rest_ms(upstream, now_ms) == 0 && (purpose == ApproachPurpose::Trial || open)
    }

    /// Whether an upstream that leaves may still get what no other upstream would serve.
    pub fn is_last_resort(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let last_ms = self.rows.get(&upstream).and_then(|row| row.leaving);
        last_ms.is_some_and(|last_ms| last_ms > now_ms)
    }

    /// An upstream turned a request away and asked for nothing.
    pub fn note_turned_away(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let row = self.row(upstream, now_ms);
        row.turned_away = row.turned_away.saturating_add(1);
        if let Some(more) = row.turned_away.checked_sub(TURNED_AWAY_IN_A_ROW) {
            row.spared_until_ms = now_ms + (FIRST_SPARED_MS << more.min(MOST_DOUBLINGS));
        }
    }

    /// Whether a request does better elsewhere, if anybody else serves it: the upstream turned some away a
    /// moment ago, or the first one after its rest is under way.
    pub fn is_spared(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let Some(row) = self.rows.get(&upstream) else { return false };
        let tried = row.tried_ms.is_some_and(|tried_ms| tried_ms + RETURN_TRIAL_MS > now_ms);
        tried || row.spared_until_ms > now_ms
    }

    /// An upstream said that it leaves, which takes `drain_ms` at least; true when that is news.
    pub fn note_leaving(&mut self, upstream: UpstreamKey, drain_ms: u64, now_ms: u64) -> bool {
        let last_ms = now_ms + (drain_ms as f64 * LAST_RESORT_PART) as u64;
        let row = self.row(upstream, now_ms);
        let news = row.leaving.is_none();
        row.leaving.get_or_insert(last_ms);
        news
    }

    fn row(&mut self, upstream: UpstreamKey, now_ms: u64) -> &mut NoticeRow {
        let row = self.rows.entry(upstream).or_default();
        row.heard_ms = now_ms;
        row
    }

    /// How long an upstream still wants nothing from this VM, in milliseconds; 0 when it doesn't rest.
    pub fn rest_ms(&self, upstream: UpstreamKey, now_ms: u64) -> u64 {
        self.rows.get(&upstream).map_or(0, |row| row.rests_until_ms.saturating_sub(now_ms))
    }

    /// Whether an upstream said that it leaves.
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        self.rows.get(&upstream).is_some_and(|row| row.leaving.is_some())
    }

    /// The upstreams that have said anything.
    pub fn known(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.rows.keys().copied()
    }

    /// Another incarnation has come under this key: nothing was said of it.
    pub fn forget(&mut self, upstream: UpstreamKey) {
        self.rows.remove(&upstream);
    }

    /// Forgets what was said by those that are not `known` any more, a good while after.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool, now_ms: u64) {
        self.rows.retain(|upstream, row| {
            if known(*upstream) {
                row.heard_ms = now_ms;
            }
            row.rests_until_ms > now_ms || row.heard_ms + KEEP_MS > now_ms
        });
    }

    /// How many rest now.
    pub fn resting(&self, now_ms: u64) -> usize {
        self.rows.values().filter(|row| row.rests_until_ms > now_ms).count()
    }

    /// How many said that they leave.
    pub fn leaving(&self) -> usize {
        self.rows.values().filter(|row| row.leaving.is_some()).count()
    }
}
