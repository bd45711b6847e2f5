//! Which VMs read the platform's list of upstreams, and how often.
//!
//! The platform takes so many calls a second from all VMs together, and a list comes in pages. The
//! leader reads for all. While it sends nothing, few others read, in an order that all of them work
//! out alike, and the rest ask those: if every VM read for itself, a large fleet would leave the
//! leader no call, so that it could not send a list, and all would go on reading. See
//! `docs/design/fleet-news.md`.

use super::vm_roster::RENEW_MS;
use crate::state::rendezvous::rendezvous_score;

/// The shortest pause between two readings of the leader, in milliseconds.
pub const READ_MS: u64 = 600;
/// The longest, in milliseconds: new upstreams get no work before they are read.
const MOST_READ_MS: u64 = 2000;
/// The time until every VM has confirmed a reading that has ended, in milliseconds: two renewals, so
/// that one datagram may be lost.
const CONFIRM_MS: u64 = 2 * RENEW_MS;
/// What each page of a list adds to the pause, in milliseconds, so that calls don't grow with the pages
/// where the bound on leaving upstreams allows it.
const PAGE_PAUSE_MS: u64 = READ_MS / PAGES_AT_ONCE as u64;
/// A VM whose list is older than this part of the time after which an upstream that leaves must get
/// nothing looks for a newer one: the rest is for asking and reading.
const STALE_PART: f64 = 0.5;
/// Kept for the exchange with the leader when a list is so long that reading it takes more than
/// that, in milliseconds.
const EXCHANGE_MS: u64 = 3 * RENEW_MS;
/// A VM that is in contact and holds no list reads one after this long, in milliseconds: its
/// leader can't.
pub const NO_LIST_MS: u64 = 6000;
/// The part of the calls that the leader uses at most.
const LEADER_PART: f64 = 0.7;
/// The part that one VM without a leader uses at most, and less after each refusal.
const ALONE_PART: f64 = 0.2;
/// Pages that are read without a pause between them.
pub const PAGES_AT_ONCE: usize = 8;
/// By how much later each next group of readers begins, in milliseconds: a reading of a few pages
/// and its distribution. Groups double, so that a large fleet in which no VM reaches another has
/// read within a few of these spans.
pub const READER_STEP_MS: u64 = 400;
/// How often a VM without a fresh list asks, in milliseconds; those it asks answer again once they
/// hold something newer.
pub const ASK_MS: u64 = 250;
/// The pause after a refusal doubles with each, so often.
const MOST_DOUBLINGS: u32 = 6;
/// How many of the first readers a VM asks at once, in turn.
const READERS_ASKED: usize = 2;

/// What reading costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCost {
    /// Calls a second that the platform takes from all VMs together.
    pub calls_per_s: f64,
    /// Pages of the list, as last read.
    pub pages: usize,
}

impl ListCost {
    /// How long the leader waits after a reading that took `reading_ms` until the next, in milliseconds,
    /// where an upstream that leaves must get nothing after `drain_ms`. It reads a long list less often,
    /// while the list at every VM stays younger than [`ListCost::stale_ms`]. Its age counts from the
    /// beginning of one reading, and the next one must have ended by then.
    pub fn leader_pause_ms(&self, drain_ms: u64, reading_ms: u64) -> u64 {
        let taken_ms = CONFIRM_MS + 2 * reading_ms;
        let fresh_ms = stale_bound_ms(drain_ms).saturating_sub(taken_ms);
        let wanted_ms = (self.pages as u64 * PAGE_PAUSE_MS).min(MOST_READ_MS);
        self.least_pause_ms().max(wanted_ms.min(fresh_ms))
    }

    fn least_pause_ms(&self) -> u64 {
        self.span_ms(self.pages, LEADER_PART).max(READ_MS)
    }

    /// The age of a VM's list at which it looks for a newer one, in milliseconds, where an upstream
    /// that leaves must get nothing after `drain_ms`; never so young that a leader can't keep to it.
    pub fn stale_ms(&self, drain_ms: u64) -> u64 {
        let kept_to = 2 * self.least_pause_ms() + EXCHANGE_MS;
        let bound_ms = stale_bound_ms(drain_ms);
        match self.pages <= PAGES_AT_ONCE {
            true => bound_ms,
            false => bound_ms.max(kept_to),
        }
    }

    /// The pause before page `number` of a leader's reading, in milliseconds.
    pub fn leader_page_ms(&self, number: usize) -> u64 {
        match number < PAGES_AT_ONCE {
            true => 0,
            false => self.span_ms(1, LEADER_PART),
        }
    }

    /// The same without a leader; how many pages there are may not be known before.
    pub fn alone_page_ms(&self, number: usize, refusals: u32) -> u64 {
        match number < PAGES_AT_ONCE && refusals == 0 || number == 0 {
            true => 0,
            false => self.refused_ms(1, refusals),
        }
    }

    /// How long a VM that was refused while it read without a leader waits, in milliseconds.
    pub fn alone_pause_ms(&self, refusals: u32) -> u64 {
        self.refused_ms(self.pages, refusals).max(READ_MS)
    }

    fn refused_ms(&self, calls: usize, refusals: u32) -> u64 {
        self.span_ms(calls, ALONE_PART).saturating_mul(1 << refusals.min(MOST_DOUBLINGS))
    }

    /// How long so many calls take by a part of what is allowed; at least one call a second is.
    fn span_ms(&self, calls: usize, part: f64) -> u64 {
        let rate = if self.calls_per_s >= 1.0 { self.calls_per_s } else { 1.0 };
        (calls as f64 * 1000.0 / (rate * part)) as u64
    }
}

fn stale_bound_ms(drain_ms: u64) -> u64 {
    (drain_ms as f64 * STALE_PART) as u64
}

/// What a VM that doesn't lead knows of its leader and list; times in milliseconds of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListStanding {
    /// When a leader answered first, if one did.
    pub first_heard_ms: Option<u64>,
    /// When the list that is here was surely the platform's; 0 when that isn't known.
    pub news_ms: u64,
    /// The age at which that is too old; see [`ListCost::stale_ms`].
    pub stale_ms: u64,
    /// Whether it has a list.
    pub has_list: bool,
}

/// What a VM that doesn't lead does about its list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAction {
    /// Nothing: the list comes from others.
    Rest,
    /// It asks others, after too long without news.
    Ask,
    /// It reads, for all who ask it, and goes on asking.
    Read,
}

/// What a VM that doesn't lead does about its list now.
///
/// A VM that has just started and heard no leader never reads: it has no configuration to serve
/// by, and all others may have started too. One with a list that it can't date, from its disk,
/// uses it for as long as one that was sent when it first heard the leader: an address that was
/// given to another upstream meanwhile refuses what was meant for the earlier one.
///
/// `rank` returns its place in [`reader_order`], which is worked out only when it matters.
pub fn list_action(
    standing: &ListStanding,
    now_ms: u64,
    rank: impl FnOnce() -> usize,
) -> ListAction {
    let Some(first_heard_ms) = standing.first_heard_ms else {
        return if standing.has_list { ListAction::Rest } else { ListAction::Ask };
    };
    let (since_ms, stale_ms) = match standing.has_list {
        // A list that came just now is confirmed with the next answer of the leader.
        true => (standing.news_ms.max(first_heard_ms), standing.stale_ms),
        false => (first_heard_ms, NO_LIST_MS),
    };
    if since_ms + stale_ms >= now_ms {
        return if standing.has_list { ListAction::Rest } else { ListAction::Ask };
    }
    match since_ms + stale_ms + reader_delay_ms(rank()) < now_ms {
        true => ListAction::Read,
        false => ListAction::Ask,
    }
}

/// How much later than the first a reader of this rank begins, in milliseconds.
pub fn reader_delay_ms(rank: usize) -> u64 {
    u64::from((rank + 1).ilog2()) * READER_STEP_MS
}

/// The VMs in the order in which they read while no leader sends the list. Keepers come first: every
/// VM knows them, and the next leader is one of them. `term` is that of the list, so that the others'
/// turns change and all who hold one state agree.
pub fn reader_order(keepers: &[u32], vms: impl Iterator<Item = u32>, term: u64) -> Vec<u32> {
    let mut order: Vec<u32> = vms.chain(keepers.iter().copied()).collect();
    let place = |id: &u32| (!keepers.contains(id), rendezvous_score(term, u64::from(*id)), *id);
    order.sort_by_cached_key(place);
    order.dedup();
    order
}

/// Whom a VM asks at its `round`-th time: two of the first readers, the next two each time, and one
/// at random by `draw`, who may be on this side of a cut.
pub fn whom_to_ask(order: &[u32], own: u32, round: usize, draw: usize) -> Vec<u32> {
    let others: Vec<u32> = order.iter().copied().filter(|id| *id != own).collect();
    if others.is_empty() {
        return others;
    }
    let first = (0..READERS_ASKED).map(|at| others[(round * READERS_ASKED + at) % others.len()]);
    let mut asked: Vec<u32> = first.chain([others[draw % others.len()]]).collect();
    asked.sort_unstable();
    asked.dedup();
    asked
}
