//! Whether the engines of a service still have room for a request, and when to come back if not.
//!
//! An engine takes far more requests than it can serve in time: what waits there can't be taken
//! back or put in another order, and every answer becomes late. So a VM sends a request only
//! while some engine has a place for it, or will have one within a part of the time in which
//! answers of this service count in full; otherwise it refuses at once. Two things are learned
//! from what this VM sees: how long a request holds its place, and how many of the answers were
//! late while engines were busy, which lowers the places that are used. See
//! `docs/design/overload.md`.

use std::collections::{BTreeMap, HashMap};

/// The part of an answer's goal for which a request may wait at an engine for a place. Half of it
/// cost 0.03 of worth in a burst of five times the usual traffic: more answers came late.
pub const WAIT_PART: f64 = 0.25;
/// Requests beyond that which an engine takes, times the root of its places: so much its load
/// varies by chance, and a place that stands empty meanwhile is lost. With 12 places an engine, a
/// day at capacity refused 70 tries in place of 178 and earned 0.778 in place of 0.767; with 48 it
/// made no difference (0.690 and 0.692 at five times the usual traffic).
const CHANCE_PART: f64 = 1.0;
/// The places that stay for others when a kind or a workspace is ahead of its share, or an answer
/// can only be late, as a part. The last of these brought 0.014 of worth in a burst of eight times.
pub const KEPT_FOR_OTHERS: f64 = 0.12;
/// A kind may be served this much more often than a more urgent one before it counts as ahead, as
/// a part of what was asked.
pub const AHEAD_PART: f64 = 0.02;
/// Requests of a kind, weighted by age, below which its share says nothing yet.
const LEAST_ASKED: f64 = 8.0;
/// Votes from which what most callers wait is believed, and the most that are counted.
const LEAST_VOTES: u32 = 8;
const MOST_VOTES: u32 = 64;
/// Shares of kinds are counted with this half-life, in milliseconds.
const SHARE_HALF_LIFE_MS: f64 = 4000.0;
/// Never fewer than this part of the places is used: below it engines have room by any measure.
pub const LEAST_USED: f64 = 0.6;
/// The part of late answers that is borne before fewer places are used.
pub const LATE_BORNE: f64 = 0.10;
/// How fast the part of late answers is learned, by answer.
const LATE_WEIGHT: f64 = 0.04;
/// By how much the used part falls or rises with each answer.
const USED_STEP: f64 = 0.01;
/// How fast the time that a request holds a place is learned, by request.
const HOLD_WEIGHT: f64 = 0.05;
/// The time that a request holds a place before any has ended, in milliseconds; a guess that the
/// first twenty requests replace.
const FIRST_HOLD_MS: f64 = 1500.0;
/// No VM stands for more than this many others when its own change since the last news is taken
/// for theirs: with few requests a VM the change is mostly chance.
const MOST_ALIKE: f64 = 16.0;
/// Loads that were reported longer ago refuse nothing, in milliseconds: the VM has lost its leader, and
/// what was a crowd then may have gone.
const FRESH_MS: u64 = 1000;
/// The part of the places that come free that refused callers are promised; the rest is for new
/// ones. Half in place of a tenth cost 0.02 of worth in a burst of five times.
const RETURN_PART: f64 = 0.1;
/// The shortest and the longest time after which a refused caller is asked to come back, in
/// milliseconds.
pub const RETURN_MS: (u64, u64) = (200, 30000);
/// An engine counts as busy from this part of its places, so that lateness says something of them.
const BUSY_PART: f64 = 0.5;

/// What the VM sees of a request that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest<'a> {
    /// Its route's rank; 0 is the most urgent.
    pub rank: u8,
    /// Its workspace.
    pub workspace: Option<&'a str>,
    /// The time within which its answer counts in full, in milliseconds.
    pub goal_ms: u64,
    /// How long its caller will wait, in milliseconds.
    pub wait_ms: u64,
}

/// What is known of a service's load at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RoomNews {
    /// Requests in flight at the service, as reported, with this VM's own as they are now.
    pub reported: u32,
    /// Requests that this VM has in flight there.
    pub own: u32,
    /// What it had at its last report.
    pub own_reported: u32,
    /// VMs of the fleet.
    pub vms: usize,
    /// Engines that take work.
    pub engines: usize,
    /// How long ago the others' load was reported, in milliseconds.
    pub age_ms: u64,
}

impl RoomNews {
    /// Whether anything may be refused by this: not by news of a load that has long passed.
    pub fn is_fresh(&self) -> bool {
        self.age_ms <= FRESH_MS
    }

    /// The load of an engine in the mean.
    pub fn mean(&self) -> f64 {
        self.reported_mean() + self.growth()
    }

    fn reported_mean(&self) -> f64 {
        f64::from(self.reported) / self.engines.max(1) as f64
    }

    /// By how many requests an engine's load has likely grown since it was reported: news is some
    /// 300 ms old, and what this VM sent since then others likely sent too. A fall isn't counted
    /// on, since all VMs would fill the same places; nor does a load more than double meanwhile.
    pub fn growth(&self) -> f64 {
        let others = (self.vms.saturating_sub(1) as f64).min(MOST_ALIKE);
        let sent = f64::from(self.own.saturating_sub(self.own_reported));
        (sent * others / self.engines.max(1) as f64).min(self.reported_mean() + 1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct KindShare {
    asked: f64,
    taken: f64,
    patience: UsualPatience,
}

/// How long most callers of a kind will wait: the value that the majority of them gives, found
/// with one counter.
#[derive(Clone, Copy, Debug, Default)]
struct UsualPatience {
    wait_ms: u64,
    votes: u32,
}

impl UsualPatience {
    fn note(&mut self, wait_ms: u64) {
        match (wait_ms == self.wait_ms, self.votes) {
            (true, votes) => self.votes = (votes + 1).min(MOST_VOTES),
            (false, 0) => *self = UsualPatience { wait_ms, votes: 1 },
            (false, _) => self.votes -= 1,
        }
    }

    /// How much less than usual a caller will wait: the time it has spent elsewhere.
    fn spent_ms(&self, wait_ms: u64) -> u64 {
        match self.votes >= LEAST_VOTES {
            true => self.wait_ms.saturating_sub(wait_ms),
            false => 0,
        }
    }
}

/// What one VM has learned of one service of engines.
#[derive(Clone, Debug)]
pub struct ServiceRoom {
    hold_ms: f64,
    goal_ms: f64,
    late_part: f64,
    used_part: f64,
    kinds: BTreeMap<u8, KindShare>,
    kinds_ms: u64,
    in_flight: HashMap<String, u32>,
    /// Places that this VM's requests hold, those without a workspace included.
    held: u32,
    return_due_ms: f64,
}

impl Default for ServiceRoom {
    fn default() -> ServiceRoom {
        ServiceRoom {
            hold_ms: FIRST_HOLD_MS,
            goal_ms: 0.0,
            late_part: 0.0,
            used_part: 1.0,
            kinds: BTreeMap::new(),
            kinds_ms: 0,
            in_flight: HashMap::new(),
            held: 0,
            return_due_ms: 0.0,
        }
    }
}

impl ServiceRoom {
    /// A request asks for the first time.
    pub fn note_asked(&mut self, request: &RoomRequest, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.kinds_ms) as f64;
        self.kinds_ms = now_ms;
        let kept = 0.5_f64.powf(age_ms / SHARE_HALF_LIFE_MS);
        for share in self.kinds.values_mut() {
            share.asked *= kept;
            share.taken *= kept;
        }
        let kind = self.kinds.entry(request.rank).or_default();
        kind.asked += 1.0;
        kind.patience.note(request.wait_ms);
        let goal_ms = request.goal_ms as f64;
        match self.goal_ms > 0.0 {
            true => self.goal_ms += HOLD_WEIGHT * (goal_ms - self.goal_ms),
            false => self.goal_ms = goal_ms,
        }
    }

    /// It was given a place.
    pub fn note_taken(&mut self, request: &RoomRequest) {
        self.kinds.entry(request.rank).or_default().taken += 1.0;
    }

    /// A workspace's request begins at an engine.
    pub fn enter(&mut self, workspace: Option<&str>) {
        self.held += 1;
        let Some(workspace) = workspace else { return };
        match self.in_flight.get_mut(workspace) {
            Some(requests) => *requests += 1,
            None => drop(self.in_flight.insert(workspace.to_string(), 1)),
        }
    }

    /// It ends, after `held_ms` at the engine.
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

    /// An answer's first event came, in time or late, from an engine with this many requests in
    /// flight of so many places.
    pub fn note_first_event(&mut self, late: bool, load: u32, places: u32) {
        if f64::from(load) < BUSY_PART * f64::from(places) {
            return;
        }
        self.late_part += LATE_WEIGHT * (f64::from(u8::from(late)) - self.late_part);
        let step = if self.late_part > LATE_BORNE { -USED_STEP } else { USED_STEP };
        self.used_part = (self.used_part + step).clamp(LEAST_USED, 1.0);
    }

    /// An engine with so many places takes a request while its load is below this.
    pub fn bound(&self, places: u32, request: &RoomRequest) -> f64 {
        let places = f64::from(places) * self.used_part;
        let waiting =
            places * WAIT_PART * self.goal_ms / self.hold_ms.max(1.0) + CHANCE_PART * places.sqrt();
        let yields = self.kind_is_ahead(request.rank)
            || self.is_heavy(request.workspace)
            || self.is_late(request);
        let kept = if yields { KEPT_FOR_OTHERS * places } else { 0.0 };
        // An engine that runs nothing takes one whatever was learned.
        (places + waiting - kept).max(1.0)
    }

    /// Whether requests of this rank were lately served more often than more urgent ones.
    fn kind_is_ahead(&self, rank: u8) -> bool {
        let share = |kind: &KindShare| (kind.asked >= LEAST_ASKED).then(|| kind.taken / kind.asked);
        let Some(own) = self.kinds.get(&rank).and_then(share) else { return false };
        let mut urgent = self.kinds.range(..rank).filter_map(|(_, kind)| share(kind));
        urgent.any(|other| own > other + AHEAD_PART)
    }

    /// Whether an answer would come after its goal even if it came at once: it earns less than one
    /// that can still be in time, and so leaves the last places to those.
    fn is_late(&self, request: &RoomRequest) -> bool {
        let kind = self.kinds.get(&request.rank);
        let spent_ms = kind.map_or(0, |kind| kind.patience.spent_ms(request.wait_ms));
        request.goal_ms > 0 && spent_ms >= request.goal_ms
    }

    /// Whether a workspace holds more places here than twice an equal share, while others hold
    /// some too.
    fn is_heavy(&self, workspace: Option<&str>) -> bool {
        let Some(own) = workspace.and_then(|name| self.in_flight.get(name)) else { return false };
        let total: u32 = self.in_flight.values().sum();
        let present = self.in_flight.len() as u32;
        present > 1 && own * present > 2 * total
    }

    /// When a refused caller should come back, in milliseconds from now: when a place that no caller
    /// was promised yet will likely be free. Callers get places one after the other, so that they
    /// don't come back as one crowd.
    pub fn return_ms(&mut self, now_ms: u64) -> u64 {
        let (least, most) = (RETURN_MS.0 as f64, RETURN_MS.1 as f64);
        let free_each_ms = self.hold_ms / f64::from(self.held.max(1));
        let now = now_ms as f64;
        let due = self.return_due_ms.max(now) + free_each_ms / RETURN_PART;
        self.return_due_ms = due.min(now + most);
        (self.return_due_ms - now).clamp(least, most) as u64
    }

    /// The time that a request holds a place, as learned, in milliseconds.
    pub fn hold_ms(&self) -> f64 {
        self.hold_ms
    }

    /// The part of the places that is used.
    pub fn used_part(&self) -> f64 {
        self.used_part
    }
}
