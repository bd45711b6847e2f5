//! Which VMs read the platform's list of upstreams, and how often.
//!
//! The platform limits the calls per second of all VMs together, and a list comes in pages. The
//! leader reads for all. While it sends no list, a few other VMs read, in an order that all of them
//! compute alike, and the rest request the list from those. If every VM read for itself, a large
//! fleet would use up the leader's calls, so that it could not send a list, and all VMs would go on
//! reading. See `docs/design/fleet-news.md`.

use super::vm_roster::RENEW_MS;
use crate::state::rendezvous::rendezvous_score;

/// The shortest pause between two reads by the leader, in milliseconds.
pub const READ_MS: u64 = 600;
/// The upper bound on the part of the leader's pause that grows with the list, in milliseconds: new
/// upstreams get no requests before they are read.
const MAX_SIZE_PAUSE_MS: u64 = 2000;
/// The time until every VM has received the confirmation of a completed read, in milliseconds. It is
/// two renewals, so that one datagram may be lost.
const CONFIRM_MS: u64 = 2 * RENEW_MS;
/// How much each page of a list adds to the pause, in milliseconds, so that the call rate does not grow
/// with the number of pages as far as the bound on leaving upstreams allows it.
const PAGE_PAUSE_MS: u64 = READ_MS / PAGES_AT_ONCE as u64;
/// The age at which a VM looks for a newer list, as a fraction of the time after which a leaving
/// upstream must get no requests. The rest of that time is for requesting and reading a list.
const STALE_FRACTION: f64 = 0.5;
/// The time added for the exchange with the leader, in milliseconds, when a list is so long that two
/// reads exceed the age that [`STALE_FRACTION`] gives.
const EXCHANGE_MS: u64 = 3 * RENEW_MS;
/// The time after which a VM that has contact with a leader but no list reads one itself, in
/// milliseconds. After that the leader is assumed to be unable to read.
pub const NO_LIST_MS: u64 = 6000;
/// The largest fraction of the platform's call limit that the leader uses.
const LEADER_FRACTION: f64 = 0.7;
/// The largest fraction of the call limit that one VM without a leader uses; it is halved with each
/// refusal.
const LEADERLESS_FRACTION: f64 = 0.2;
/// The number of pages that are read without a pause between them.
pub const PAGES_AT_ONCE: usize = 8;
/// The delay between the starts of two successive groups of readers, in milliseconds. It covers the
/// reading of a few pages and their distribution. Each group is twice as large as the previous one,
/// so that a large fleet in which no VM reaches another has read after a few of these delays.
pub const READER_STEP_MS: u64 = 400;
/// The pause between two requests for a list by a VM without a recent one, in milliseconds. The VMs
/// that received a request also answer it later, once they have a newer list.
pub const LIST_REQUEST_MS: u64 = 250;
/// How many successive refusals double the pause.
const MAX_DOUBLINGS: u32 = 6;
/// How many readers of the order a VM sends one request to.
const READERS_PER_REQUEST: usize = 2;

/// The cost of reading the list from the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListCost {
    /// The number of calls per second that the platform accepts from all VMs together.
    pub calls_per_s: f64,
    /// The number of pages of the list when it was last read.
    pub pages: usize,
}

impl ListCost {
    /// Returns how long the leader waits after a read that took `reading_ms` before the next, in
    /// milliseconds, where a leaving upstream must get no requests after `drain_ms`. A long list is read
    /// less often, as long as the list at every VM stays younger than [`ListCost::stale_ms`]. The age of
    /// a list counts from the start of its read, and the next read must end before that age is reached.
    pub fn leader_pause_ms(&self, drain_ms: u64, reading_ms: u64) -> u64 {
        let taken_ms = CONFIRM_MS + 2 * reading_ms;
        let fresh_ms = stale_bound_ms(drain_ms).saturating_sub(taken_ms);
        let wanted_ms = (self.pages as u64 * PAGE_PAUSE_MS).min(MAX_SIZE_PAUSE_MS);
        self.min_pause_ms().max(wanted_ms.min(fresh_ms))
    }

    /// Returns the shortest pause that the call limit allows the leader, in milliseconds.
    fn min_pause_ms(&self) -> u64 {
        self.span_ms(self.pages, LEADER_FRACTION).max(READ_MS)
    }

    /// Returns the age of a VM's list at which the VM looks for a newer one, in milliseconds, where a
    /// leaving upstream must get no requests after `drain_ms`. For a long list the age is at least what
    /// the leader can keep.
    pub fn stale_ms(&self, drain_ms: u64) -> u64 {
        let achievable_ms = 2 * self.min_pause_ms() + EXCHANGE_MS;
        let bound_ms = stale_bound_ms(drain_ms);
        match self.pages <= PAGES_AT_ONCE {
            true => bound_ms,
            false => bound_ms.max(achievable_ms),
        }
    }

    /// Returns the pause before page `number` of a read by the leader, in milliseconds.
    pub fn leader_page_ms(&self, number: usize) -> u64 {
        match number < PAGES_AT_ONCE {
            true => 0,
            false => self.span_ms(1, LEADER_FRACTION),
        }
    }

    /// Returns the pause before page `number` of a read by a VM without a leader, in milliseconds. The
    /// number of pages may not be known in advance.
    pub fn leaderless_page_ms(&self, number: usize, refusals: u32) -> u64 {
        match number < PAGES_AT_ONCE && refusals == 0 || number == 0 {
            true => 0,
            false => self.backoff_ms(1, refusals),
        }
    }

    /// Returns how long a VM without a leader waits after the platform refused its read, in milliseconds.
    pub fn leaderless_pause_ms(&self, refusals: u32) -> u64 {
        self.backoff_ms(self.pages, refusals).max(READ_MS)
    }

    /// Returns how long a VM without a leader takes for a number of calls after refusals, in
    /// milliseconds.
    fn backoff_ms(&self, calls: usize, refusals: u32) -> u64 {
        self.span_ms(calls, LEADERLESS_FRACTION).saturating_mul(1 << refusals.min(MAX_DOUBLINGS))
    }

    /// Returns how long a number of calls takes at a fraction of the call limit, in milliseconds. The limit
    /// is taken as at least one call per second.
    fn span_ms(&self, calls: usize, fraction: f64) -> u64 {
        let rate = if self.calls_per_s >= 1.0 { self.calls_per_s } else { 1.0 };
        (calls as f64 * 1000.0 / (rate * fraction)) as u64
    }
}

/// Returns the age at which a list counts as stale if reading it is quick, in milliseconds.
fn stale_bound_ms(drain_ms: u64) -> u64 {
    (drain_ms as f64 * STALE_FRACTION) as u64
}

/// A follower VM's contact with its leader and the state of its list. Times are in milliseconds of the
/// VM's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListStatus {
    /// When a leader answered for the first time, if one did.
    pub first_contact_ms: Option<u64>,
    /// The latest time at which the VM's list is known to have been the platform's; 0 if that is unknown.
    pub confirmed_ms: u64,
    /// The age at which the list is too old, in milliseconds; see [`ListCost::stale_ms`].
    pub stale_ms: u64,
    /// Whether the VM has a list.
    pub has_list: bool,
}

/// What a follower VM does to get a newer list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAction {
    /// Does nothing, because others send the list.
    Wait,
    /// Requests the list from other VMs.
    Request,
    /// Reads from the platform, also for the VMs that request the list, and goes on requesting it.
    Read,
}

/// Returns what a follower VM should do now to get a newer list.
///
/// A VM that has received no answer of a leader since its start never reads: it has no configuration
/// to serve by, and all other VMs may have started too. A list of unknown age, loaded from disk, is
/// treated like one that was sent with the leader's first answer. It is safe to use: if an address has
/// been reassigned to another upstream since, that one refuses requests for the earlier one.
///
/// `rank` returns the VM's position in [`reader_order`]. It is called only when the result depends on it.
pub fn list_action(status: &ListStatus, now_ms: u64, rank: impl FnOnce() -> usize) -> ListAction {
    let Some(first_contact_ms) = status.first_contact_ms else {
        return if status.has_list { ListAction::Wait } else { ListAction::Request };
    };
    let (since_ms, stale_ms) = match status.has_list {
        // A list that just arrived is confirmed with the next answer of the leader.
        true => (status.confirmed_ms.max(first_contact_ms), status.stale_ms),
        false => (first_contact_ms, NO_LIST_MS),
    };
    if since_ms + stale_ms >= now_ms {
        return if status.has_list { ListAction::Wait } else { ListAction::Request };
    }
    match since_ms + stale_ms + reader_delay_ms(rank()) < now_ms {
        true => ListAction::Read,
        false => ListAction::Request,
    }
}

/// Returns the delay of a reader by its position in the order, in milliseconds after the first.
pub fn reader_delay_ms(rank: usize) -> u64 {
    u64::from((rank + 1).ilog2()) * READER_STEP_MS
}

/// Returns the VMs in the order in which they read while no leader sends the list. Keepers come first,
/// because every VM has their addresses and the next leader is one of them. `term` is the term of the
/// list: it varies the order of the others, and VMs with the same list compute the same order.
pub fn reader_order(keepers: &[u32], vms: impl Iterator<Item = u32>, term: u64) -> Vec<u32> {
    let mut order: Vec<u32> = vms.chain(keepers.iter().copied()).collect();
    let sort_key = |id: &u32| (!keepers.contains(id), rendezvous_score(term, u64::from(*id)), *id);
    order.sort_by_cached_key(sort_key);
    order.dedup();
    order
}

/// Returns the VMs to which a VM sends its `round`-th request: two of the order, the next two with each
/// round, and one chosen by the random number `draw`, which may be on this side of a network partition.
pub fn request_targets(order: &[u32], own: u32, round: usize, draw: usize) -> Vec<u32> {
    let others: Vec<u32> = order.iter().copied().filter(|id| *id != own).collect();
    if others.is_empty() {
        return others;
    }
    let first = (0..READERS_PER_REQUEST)
        .map(|at| others[(round * READERS_PER_REQUEST + at) % others.len()]);
    let mut targets: Vec<u32> = first.chain([others[draw % others.len()]]).collect();
    targets.sort_unstable();
    targets.dedup();
    targets
}
