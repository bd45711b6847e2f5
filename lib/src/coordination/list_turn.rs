//! Whose turn it is to read the platform's list of upstreams, and how often.
//!
//! The platform takes so many calls a second from all VMs together, and a list comes in pages.
//! The leader reads for all. A VM that lost the leader reads for itself, and less often when it is
//! refused, so that all of them together leave room. A VM that has just started does not read: without a leader it has no
//! configuration to serve by, and the leader gives it the list. When all of 300 VMs read after a
//! common restart, the platform refused nearly every call and none of them, the leader included,
//! came to the end of a list. See `docs/design/fleet-news.md`.

/// How often the leader reads, in milliseconds: the list itself lags by 800 ms, and an upstream
/// that leaves must get nothing after 3 s.
pub const READ_MS: u64 = 600;
/// A VM whose list is older than this part of the time after which an upstream that leaves must get
/// nothing reads for itself: the rest is for the start of its reading, which is spread, and for the
/// reading. A leader that leads well keeps the list younger than 1.3 s.
const STALE_PART: f64 = 0.5;
/// Kept for the exchange with the leader when a list is so long that reading it takes more than
/// that, in milliseconds.
const EXCHANGE_MS: u64 = 900;
/// A VM that is in contact and was told no list for this long reads one, in milliseconds: its
/// leader can't. A leader reads 60 pages in 2 s where 47 calls a second are taken.
pub const UNTOLD_MS: u64 = 6000;
/// The part of the calls that the leader uses at most.
const LEADER_PART: f64 = 0.7;
/// The part that all VMs without a leader use together at most.
const ALONE_PART: f64 = 0.2;
/// Pages that a leader reads without a pause between them.
pub const PAGES_AT_ONCE: usize = 8;

/// What reading costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCost {
    /// Calls a second that the platform takes from all VMs together.
    pub calls_per_s: f64,
    /// Pages of the list, as last read.
    pub pages: usize,
    /// VMs of the fleet, as far as known.
    pub vms: usize,
}

impl ListCost {
    /// How long the leader waits between two readings, in milliseconds.
    pub fn leader_pause_ms(&self) -> u64 {
        self.pause_ms(self.pages, LEADER_PART)
    }

    /// The age of a VM's list at which it reads for itself, in milliseconds, where an upstream that
    /// leaves must get nothing after `drain_ms`; never so young that a leader can't keep to it.
    pub fn stale_ms(&self, drain_ms: u64) -> u64 {
        let kept_to = 2 * self.leader_pause_ms() + EXCHANGE_MS;
        let bound_ms = (drain_ms as f64 * STALE_PART) as u64;
        match self.pages <= PAGES_AT_ONCE {
            true => bound_ms,
            false => bound_ms.max(kept_to),
        }
    }

    /// How long a VM waits that reads for itself, in milliseconds: see [`AloneNeed`].
    pub fn alone_pause_ms(&self, need: AloneNeed, refusals: u32) -> u64 {
        self.alone_span_ms(self.pages, need, refusals).max(READ_MS)
    }

    fn alone_span_ms(&self, calls: usize, need: AloneNeed, refusals: u32) -> u64 {
        let among_all = self.span_ms(calls * self.vms.max(1), ALONE_PART);
        match need {
            AloneNeed::Untold => among_all,
            AloneNeed::Lost => {
                let alone = self.span_ms(calls, ALONE_PART);
                alone.saturating_mul(1 << refusals.min(10)).min(among_all)
            }
        }
    }

    /// The pause before page `number` of a leader's reading, in milliseconds.
    pub fn leader_page_ms(&self, number: usize) -> u64 {
        match number < PAGES_AT_ONCE {
            true => 0,
            false => self.span_ms(1, LEADER_PART),
        }
    }

    /// The same of a VM that reads for itself. How many pages there are it may not know before,
    /// so each is paid for.
    pub fn alone_page_ms(&self, number: usize, need: AloneNeed, refusals: u32) -> u64 {
        match number {
            0 => 0,
            _ => self.alone_span_ms(1, need, refusals),
        }
    }

    fn pause_ms(&self, calls: usize, part: f64) -> u64 {
        self.span_ms(calls, part).max(READ_MS)
    }

    /// How long so many calls take by a part of what is allowed; at least one call a second is.
    fn span_ms(&self, calls: usize, part: f64) -> u64 {
        let rate = if self.calls_per_s >= 1.0 { self.calls_per_s } else { 1.0 };
        (calls as f64 * 1000.0 / (rate * part)) as u64
    }
}

/// What a VM that doesn't lead knows of its leader and list; times in milliseconds of its clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListStanding {
    /// When a leader answered first, if one did.
    pub first_heard_ms: Option<u64>,
    /// When the list that is here was surely the platform's, as read or as the leader told.
    pub news_ms: u64,
    /// The age at which that is too old; see [`ListCost::stale_ms`].
    pub stale_ms: u64,
    /// Whether it has a list.
    pub has_list: bool,
}

/// Why a VM that doesn't lead reads the list for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AloneNeed {
    /// It was told nothing of the list for too long: it lost its leader, or its leader can't read.
    /// It may be the only one. It reads as though it were, and half
    /// as often after each refusal, down to its share among all: an upstream that leaves must get
    /// nothing after some seconds, also without a leader.
    Lost,
    /// Its leader has no list to tell, and so all others read too.
    Untold,
}

/// Whether a VM that doesn't lead must read the list for itself, and why.
pub fn alone_need(standing: ListStanding, now_ms: u64) -> Option<AloneNeed> {
    let first_heard_ms = standing.first_heard_ms?;
    match standing.has_list {
        true => {
            // A list that came just now is confirmed with the next answer of the leader.
            let news_ms = standing.news_ms.max(first_heard_ms);
            (news_ms + standing.stale_ms < now_ms).then_some(AloneNeed::Lost)
        }
        false => (first_heard_ms + UNTOLD_MS < now_ms).then_some(AloneNeed::Untold),
    }
}
