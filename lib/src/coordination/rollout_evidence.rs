//! How the sends of a roll-out went, as one VM counts them and as the leader sums them.
//!
//! Invariants: a VM's counts begin with the order and only rise, so that a renewal that is lost is
//! made good by the next one, and a new leader knows everything within one renewal of each VM. What an
//! earlier life of a VM told stays in the sums. See `docs/design/rollouts.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most routes that one VM tells of, those most tried first.
pub const ROUTES_TOLD: usize = 16;

/// A route, by the hash of its name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// The key of the route at this host with this prefix.
    pub fn of(host: &str, prefix: &str) -> RouteKey {
        RouteKey(xxh3_64(format!("{host} {prefix}").as_bytes()) as u32)
    }
}

/// Which side of a roll-out an upstream is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutArm {
    /// It has another version than the target.
    Base,
    /// It has the target's version.
    Target,
}

/// How one send ended, as far as it tells of the version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrialOutcome {
    /// It was answered with success, to its end.
    Well {
        /// The time between events of a stream, or the whole time of a plain answer, in milliseconds.
        pace_ms: Option<f64>,
        /// The time to the first event, in milliseconds, where the engine surely held the shared parts
        /// of the prompt and wasn't cold.
        first_ms: Option<f64>,
    },
    /// It broke, was answered with a failure, or not in time.
    Bad,
}

/// Sums of the logarithms of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSums {
    /// How many.
    pub count: u32,
    /// Of the logarithms.
    pub sum: f32,
    /// Of their squares.
    pub squares: f32,
}

impl LogSums {
    fn note(&mut self, value_ms: Option<f64>) {
        let Some(value_ms) = value_ms else { return };
        let log = value_ms.max(0.1).ln() as f32;
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    fn add(&mut self, other: &LogSums) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }
}

/// How the sends of one side of one route went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmSums {
    /// Answered well.
    pub well: u32,
    /// Not.
    pub bad: u32,
    /// See [`TrialOutcome::Well`].
    pub pace: LogSums,
    /// Likewise.
    pub first: LogSums,
}

impl ArmSums {
    /// All that ended.
    pub fn all(&self) -> u32 {
        self.well + self.bad
    }

    fn note(&mut self, outcome: &TrialOutcome) {
        match outcome {
            TrialOutcome::Well { pace_ms, first_ms } => {
                self.well += 1;
                self.pace.note(*pace_ms);
                self.first.note(*first_ms);
            }
            TrialOutcome::Bad => self.bad += 1,
        }
    }

    fn add(&mut self, other: &ArmSums) {
        self.well += other.well;
        self.bad += other.bad;
        self.pace.add(&other.pace);
        self.first.add(&other.first);
    }
}

/// How the sends of one route went.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSums {
    /// The route.
    pub route: RouteKey,
    /// At upstreams of other versions.
    pub base: ArmSums,
    /// At upstreams of the target.
    pub target: ArmSums,
}

impl RouteSums {
    /// All that ended.
    pub fn all(&self) -> u64 {
        u64::from(self.base.all()) + u64::from(self.target.all())
    }
}

/// What one VM counts of one order.
#[derive(Clone, Debug)]
pub struct EvidenceLedger {
    /// The order's number within its service.
    pub number: u64,
    rows: HashMap<RouteKey, RouteSums>,
}

impl EvidenceLedger {
    /// A ledger for the order with this number.
    pub fn new(number: u64) -> EvidenceLedger {
        EvidenceLedger { number, rows: HashMap::new() }
    }

    /// A send ended.
    pub fn note(&mut self, route: RouteKey, arm: RolloutArm, outcome: &TrialOutcome) {
        let row = self.rows.entry(route).or_default();
        row.route = route;
        match arm {
            RolloutArm::Base => row.base.note(outcome),
            RolloutArm::Target => row.target.note(outcome),
        }
    }

    /// What to tell: the routes most tried.
    pub fn rows(&self) -> Vec<RouteSums> {
        let mut rows: Vec<RouteSums> = self.rows.values().copied().collect();
        rows.sort_by_key(|row| (std::cmp::Reverse(row.target.all()), row.route));
        rows.truncate(ROUTES_TOLD);
        rows
    }
}

/// What a leader was told of one order by all VMs.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    told: BTreeMap<(u32, u64), Vec<RouteSums>>,
}

impl EvidenceTable {
    /// Takes what a life of a VM tells of all it has counted.
    pub fn take(&mut self, vm: u32, life: u64, rows: Vec<RouteSums>, _now_ms: u64) {
        let count = |rows: &[RouteSums]| rows.iter().map(RouteSums::all).sum::<u64>();
        let known = self.told.entry((vm, life)).or_default();
        if count(&rows) >= count(known) {
            *known = rows;
        }
    }

    /// The sums over all VMs.
    pub fn sums(&self) -> Vec<RouteSums> {
        let mut sums: BTreeMap<RouteKey, RouteSums> = BTreeMap::new();
        for row in self.told.values().flatten() {
            let sum = sums.entry(row.route).or_default();
            sum.route = row.route;
            sum.base.add(&row.base);
            sum.target.add(&row.target);
        }
        sums.into_values().collect()
    }

    /// Answers of the target that weren't well.
    pub fn bad_answers(&self) -> u32 {
        self.told.values().flatten().map(|row| row.target.bad).sum()
    }
}
