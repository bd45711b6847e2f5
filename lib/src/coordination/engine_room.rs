//! Decides whether the engines of a service have capacity for a request, and when a refused caller
//! should retry.
//!
//! An engine accepts far more requests than it can serve in time. What waits there can't be
//! withdrawn or reordered, and every answer becomes late. A VM therefore sends a request only while
//! some engine has a free slot for it, or will have one within a fraction of the time in which
//! answers of this service count in full; otherwise it refuses the request at once. Two values are
//! learned from what this VM observes: how long a request holds its slot, and what fraction of the
//! answers were late while engines were busy, which lowers the number of slots in use. See
//! `docs/design/overload.md`.

use std::collections::{BTreeMap, HashMap};

/// The fraction of an answer's goal for which a request may wait at an engine for a slot. Half of
/// its goal instead costs 0.03 of worth in a burst of five times the usual traffic, because more
/// answers are late.
pub const WAIT_FRACTION: f64 = 0.25;
/// Requests beyond its slots that an engine takes, as a multiple of the square root of its slots.
/// Its load varies at random by about that much, and a slot that is empty in the meantime is lost.
/// With 12 slots an engine, this lowers the refused attempts in a day at capacity from 178 to 70
/// and raises the worth from 0.767 to 0.778; with 48 slots it makes no difference (0.690 and 0.692
/// at five times the usual traffic).
const VARIANCE_FACTOR: f64 = 1.0;
/// The fraction of the slots that is reserved for other requests when a rank or a workspace is
/// ahead of its share, or when an answer can only be late. The last of these rules adds 0.014 of
/// worth in a burst of eight times the usual traffic.
pub const RESERVED_FRACTION: f64 = 0.12;
/// How much higher the admitted fraction of a rank's requests may be than that of a more urgent
/// rank before the rank counts as ahead.
pub const AHEAD_MARGIN: f64 = 0.02;
/// The number of a rank's requests, weighted by age, below which its admitted fraction is not used.
const MIN_RANK_REQUESTS: f64 = 8.0;
/// The number of votes from which the most common wait of callers is used, and the maximum that is
/// counted.
const MIN_VOTES: u32 = 8;
const MAX_VOTES: u32 = 64;
/// The half-life with which the requests of each rank are counted, in milliseconds.
const SHARE_HALF_LIFE_MS: f64 = 4000.0;
/// The least fraction of the slots in use. Below it, engines have free capacity by any measure.
pub const MIN_USED_FRACTION: f64 = 0.6;
/// The fraction of late answers that is tolerated before fewer slots are used.
pub const TOLERATED_LATE_FRACTION: f64 = 0.10;
/// The weight of one answer in the moving average of late answers.
const LATE_WEIGHT: f64 = 0.04;
/// By how much the used fraction falls or rises with each answer.
const USED_FRACTION_STEP: f64 = 0.01;
/// The weight of one request in the moving average of the time that a request holds a slot.
const HOLD_WEIGHT: f64 = 0.05;
/// The assumed time that a request holds a slot before any has ended, in milliseconds. Its
/// influence has mostly gone after twenty requests.
const FIRST_HOLD_MS: f64 = 1500.0;
/// The maximum number of other VMs to which the change of this VM's own load since the last report
/// is extrapolated. With few requests for each VM that change is mostly random.
const MAX_EXTRAPOLATED_VMS: f64 = 16.0;
/// The maximum age, in milliseconds, of loads by which a request may be refused. Older loads mean
/// that the VM has lost its leader, and the overload that they show may be over.
const MAX_LOAD_AGE_MS: u64 = 1000;
/// The fraction of the slots that become free that is promised to refused callers; the rest is for
/// new requests. Half instead of a tenth costs 0.02 of worth in a burst of five times the usual
/// traffic.
const PROMISED_FRACTION: f64 = 0.1;
/// The shortest and the longest time that a refusal names as the wait before a retry, in
/// milliseconds.
pub const RETRY_AFTER_RANGE_MS: (u64, u64) = (200, 30000);
/// An engine counts as busy from this fraction of its slots on. Only the answers of busy engines
/// show whether too many slots are used.
const BUSY_FRACTION: f64 = 0.5;

/// The properties of a request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct CapacityRequest<'a> {
    /// The rank of its route; 0 is the most urgent.
    pub rank: u8,
    /// Its workspace.
    pub workspace: Option<&'a str>,
    /// The time within which its answer counts in full, in milliseconds.
    pub goal_ms: u64,
    /// How long its caller will wait, in milliseconds.
    pub wait_ms: u64,
}

/// The present load of a service, as far as this VM has received it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Requests in flight at the service: those of other VMs as reported, and this VM's own as of
    /// now.
    pub reported: u32,
    /// Requests that this VM has in flight there.
    pub own: u32,
    /// Requests that this VM had in flight there at its last report.
    pub own_reported: u32,
    /// The number of VMs in the fleet.
    pub vms: usize,
    /// The number of engines that take work.
    pub engines: usize,
    /// The age of the reported load of the other VMs, in milliseconds.
    pub age_ms: u64,
}

impl ReportedLoad {
    /// Whether the load is recent enough to refuse requests by it.
    pub fn is_fresh(&self) -> bool {
        self.age_ms <= MAX_LOAD_AGE_MS
    }

    /// The mean load of an engine.
    pub fn mean(&self) -> f64 {
        self.reported_mean() + self.growth()
    }

    /// The mean load of an engine, without the growth since the report.
    fn reported_mean(&self) -> f64 {
        f64::from(self.reported) / self.engines.max(1) as f64
    }

    /// The estimated growth of an engine's load since it was reported. Reports are about 300 ms
    /// old, and other VMs have probably sent as much as this VM in the meantime. A decrease isn't
    /// extrapolated, since all VMs would fill the same slots, and the estimate at most doubles the
    /// load.
    pub fn growth(&self) -> f64 {
        let others = (self.vms.saturating_sub(1) as f64).min(MAX_EXTRAPOLATED_VMS);
        let sent = f64::from(self.own.saturating_sub(self.own_reported));
        (sent * others / self.engines.max(1) as f64).min(self.reported_mean() + 1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RankShare {
    requested: f64,
    admitted: f64,
    usual_wait: UsualWait,
}

/// How long most callers of a rank will wait: the value that the majority of them gives, found by
/// majority vote with one counter.
#[derive(Clone, Copy, Debug, Default)]
struct UsualWait {
    wait_ms: u64,
    votes: u32,
}

impl UsualWait {
    fn note(&mut self, wait_ms: u64) {
        match (wait_ms == self.wait_ms, self.votes) {
            (true, votes) => self.votes = (votes + 1).min(MAX_VOTES),
            (false, 0) => *self = UsualWait { wait_ms, votes: 1 },
            (false, _) => self.votes -= 1,
        }
    }

    /// How much shorter than usual a caller's wait is, in milliseconds: the time that it has
    /// already spent elsewhere.
    fn spent_ms(&self, wait_ms: u64) -> u64 {
        match self.votes >= MIN_VOTES {
            true => self.wait_ms.saturating_sub(wait_ms),
            false => 0,
        }
    }
}

/// What one VM has learned about one service of engines.
#[derive(Clone, Debug)]
pub struct ServiceCapacity {
    hold_ms: f64,
    goal_ms: f64,
    late_fraction: f64,
    used_fraction: f64,
    ranks: BTreeMap<u8, RankShare>,
    ranks_ms: u64,
    in_flight: HashMap<String, u32>,
    /// Slots that this VM's requests hold, including those without a workspace.
    held: u32,
    retry_due_ms: f64,
}

impl Default for ServiceCapacity {
    fn default() -> ServiceCapacity {
        ServiceCapacity {
            hold_ms: FIRST_HOLD_MS,
            goal_ms: 0.0,
            late_fraction: 0.0,
            used_fraction: 1.0,
            ranks: BTreeMap::new(),
            ranks_ms: 0,
            in_flight: HashMap::new(),
            held: 0,
            retry_due_ms: 0.0,
        }
    }
}

impl ServiceCapacity {
    /// Counts a request that needs a slot for the first time.
    pub fn note_request(&mut self, request: &CapacityRequest, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.ranks_ms) as f64;
        self.ranks_ms = now_ms;
        let kept = 0.5_f64.powf(age_ms / SHARE_HALF_LIFE_MS);
        for share in self.ranks.values_mut() {
            share.requested *= kept;
            share.admitted *= kept;
        }
        let share = self.ranks.entry(request.rank).or_default();
        share.requested += 1.0;
        share.usual_wait.note(request.wait_ms);
        let goal_ms = request.goal_ms as f64;
        match self.goal_ms > 0.0 {
            true => self.goal_ms += HOLD_WEIGHT * (goal_ms - self.goal_ms),
            false => self.goal_ms = goal_ms,
        }
    }

    /// Counts a request that was given a slot.
    pub fn note_admitted(&mut self, request: &CapacityRequest) {
        self.ranks.entry(request.rank).or_default().admitted += 1.0;
    }

    /// Records that a request of a workspace begins at an engine.
    pub fn enter(&mut self, workspace: Option<&str>) {
        self.held += 1;
        let Some(workspace) = workspace else { return };
        match self.in_flight.get_mut(workspace) {
            Some(requests) => *requests += 1,
            None => drop(self.in_flight.insert(workspace.to_string(), 1)),
        }
    }

    /// Records that a request of a workspace ends, after `held_ms` at the engine.
    pub fn leave(&mut self, workspace: Option<&str>, held_ms: u64) {
        self.held = self.held.saturating_sub(1);
        self.hold_ms += HOLD_WEIGHT * (held_ms as f64 - self.hold_ms);
        let Some(workspace) = workspace else { return };
        if let Some(requests) = self.in_flight.get_mut(workspace) {
            *requests -= 1;
            if *requests == 0 {
                self.in_flight.remove(workspace);
            }
        }
    }

    /// Records whether the first event of an answer was late. It came from an engine with `load`
    /// requests in flight, of the `slots` that it runs at once.
    pub fn note_first_event(&mut self, late: bool, load: u32, slots: u32) {
        if f64::from(load) < BUSY_FRACTION * f64::from(slots) {
            return;
        }
        self.late_fraction += LATE_WEIGHT * (f64::from(u8::from(late)) - self.late_fraction);
        let step = if self.late_fraction > TOLERATED_LATE_FRACTION {
            -USED_FRACTION_STEP
        } else {
            USED_FRACTION_STEP
        };
        self.used_fraction = (self.used_fraction + step).clamp(MIN_USED_FRACTION, 1.0);
    }

    /// The load below which an engine that runs `slots` requests at once takes another one.
    pub fn bound(&self, slots: u32, request: &CapacityRequest) -> f64 {
        let slots = f64::from(slots) * self.used_fraction;
        let waiting = slots * WAIT_FRACTION * self.goal_ms / self.hold_ms.max(1.0)
            + VARIANCE_FACTOR * slots.sqrt();
        let yields = self.rank_is_ahead(request.rank)
            || self.is_heavy(request.workspace)
            || self.is_late(request);
        let kept = if yields { RESERVED_FRACTION * slots } else { 0.0 };
        // An idle engine takes one request, whatever was learned.
        (slots + waiting - kept).max(1.0)
    }

    /// Whether requests of this rank were lately admitted more often than more urgent ones.
    fn rank_is_ahead(&self, rank: u8) -> bool {
        let admitted_fraction = |row: &RankShare| {
            (row.requested >= MIN_RANK_REQUESTS).then(|| row.admitted / row.requested)
        };
        let Some(own) = self.ranks.get(&rank).and_then(admitted_fraction) else { return false };
        let mut urgent = self.ranks.range(..rank).filter_map(|(_, row)| admitted_fraction(row));
        urgent.any(|other| own > other + AHEAD_MARGIN)
    }

    /// Whether an answer would exceed its goal even if it came at once. It is worth less than an
    /// answer that can still be in time, so the last slots are left to those.
    fn is_late(&self, request: &CapacityRequest) -> bool {
        let share = self.ranks.get(&request.rank);
        let spent_ms = share.map_or(0, |share| share.usual_wait.spent_ms(request.wait_ms));
        request.goal_ms > 0 && spent_ms >= request.goal_ms
    }

    /// Whether a workspace holds more than twice an equal share of the slots here, while other
    /// workspaces hold some too.
    fn is_heavy(&self, workspace: Option<&str>) -> bool {
        let Some(own) = workspace.and_then(|name| self.in_flight.get(name)) else { return false };
        let total: u32 = self.in_flight.values().sum();
        let present = self.in_flight.len() as u32;
        present > 1 && own * present > 2 * total
    }

    /// In how many milliseconds a refused caller should retry: when a slot that was promised to no
    /// other caller will probably be free. Refused callers get successive times, so that they don't
    /// all retry at once.
    pub fn next_retry_ms(&mut self, now_ms: u64) -> u64 {
        let (least, most) = (RETRY_AFTER_RANGE_MS.0 as f64, RETRY_AFTER_RANGE_MS.1 as f64);
        let free_each_ms = self.hold_ms / f64::from(self.held.max(1));
        let now = now_ms as f64;
        let due = self.retry_due_ms.max(now) + free_each_ms / PROMISED_FRACTION;
        self.retry_due_ms = due.min(now + most);
        (self.retry_due_ms - now).clamp(least, most) as u64
    }

    /// The learned time that a request holds a slot, in milliseconds.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// The fraction of the slots that is in use.
    pub fn used_fraction(&self) -> f64 {
        self.used_fraction
    }
}
