//! How the sends of a roll-out went, as one VM counts them and as the leader sums them.
//!
//! Invariants: a VM's counts begin with the order and only rise, so that a renewal that is lost is
//! made good by the next one, and a new leader knows everything within one renewal of each VM. What an
//! earlier life of a VM reported stays in the sums. See `docs/design/rollouts.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most routes that one VM reports, those most tried first.
pub const ROUTES_REPORTED: usize = 16;
/// An answer that takes so many times as long as is typical of the other versions is late. Where the
/// logarithms of times spread by 0.5, three answers in a hundred are.
pub const LATE_TIMES: f64 = 2.5;
/// What is typical is known after so many answers,
const LEAST_TYPICAL: u32 = 2;
/// and is the mean logarithm of about so many of the last ones.
const TYPICAL_ANSWERS: u32 = 20;

/// Shorter times count as this long, in milliseconds: clocks resolve no more.
const LEAST_MS: f64 = 0.1;

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

/// How one send ended, as evidence of the version.
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
        let log = to_log(value_ms) as f32;
        self.count += 1;
        self.sum += log;
        self.squares += log * log;
    }

    /// What was added since `before`, which are earlier sums of the same.
    pub fn since(&self, before: &LogSums) -> LogSums {
        LogSums {
            count: self.count.saturating_sub(before.count),
            sum: self.sum - before.sum,
            squares: self.squares - before.squares,
        }
    }

    /// The mean of the logarithms; 0 without any.
    pub fn mean(&self) -> f64 {
        f64::from(self.sum) / f64::from(self.count.max(1))
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
    /// Those whose pace could be compared with what is typical of the other versions on the route,
    pub compared: u32,
    /// and was [`LATE_TIMES`] as long or longer.
    pub late: u32,
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

    /// What was added since `before`, which are earlier sums of the same.
    pub fn since(&self, before: &ArmSums) -> ArmSums {
        ArmSums {
            well: self.well.saturating_sub(before.well),
            bad: self.bad.saturating_sub(before.bad),
            pace: self.pace.since(&before.pace),
            first: self.first.since(&before.first),
            compared: self.compared.saturating_sub(before.compared),
            late: self.late.saturating_sub(before.late),
        }
    }

    fn compare(&mut self, is_late: bool) {
        self.compared += 1;
        self.late += u32::from(is_late);
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

    /// What was added since `before`, which are earlier sums of the same.
    pub fn since(&self, before: &RouteSums) -> RouteSums {
        let (base, target) = (self.base.since(&before.base), self.target.since(&before.target));
        RouteSums { route: self.route, base, target }
    }
}

/// How long the other versions take on a route, as one VM sees it.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalPace {
    count: u32,
    mean_log: f64,
}

impl TypicalPace {
    /// Whether this is late; nothing while too little is known.
    fn is_late(&self, pace_ms: f64) -> Option<bool> {
        let late = to_log(pace_ms) >= self.mean_log + LATE_TIMES.ln();
        (self.count >= LEAST_TYPICAL).then_some(late)
    }

    fn note(&mut self, pace_ms: f64) {
        self.count = (self.count + 1).min(TYPICAL_ANSWERS);
        self.mean_log += (to_log(pace_ms) - self.mean_log) / f64::from(self.count);
    }
}

fn to_log(value_ms: f64) -> f64 {
    value_ms.max(LEAST_MS).ln()
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteNotes {
    sums: RouteSums,
    typical: TypicalPace,
}

impl RouteNotes {
    fn note(&mut self, arm: RolloutArm, outcome: &TrialOutcome) {
        let pace_ms = match outcome {
            TrialOutcome::Well { pace_ms, .. } => *pace_ms,
            TrialOutcome::Bad => None,
        };
        let is_late = pace_ms.and_then(|pace_ms| self.typical.is_late(pace_ms));
        let sums = match arm {
            RolloutArm::Base => &mut self.sums.base,
            RolloutArm::Target => &mut self.sums.target,
        };
        sums.note(outcome);
        if let Some(is_late) = is_late {
            sums.compare(is_late);
        }
        if let (RolloutArm::Base, Some(pace_ms)) = (arm, pace_ms) {
            self.typical.note(pace_ms);
        }
    }
}

/// What one VM counts of one order.
#[derive(Clone, Debug)]
pub struct EvidenceLedger {
    /// The order's number within its service.
    pub number: u64,
    rows: HashMap<RouteKey, RouteNotes>,
}

impl EvidenceLedger {
    /// A ledger for the order with this number.
    pub fn new(number: u64) -> EvidenceLedger {
        EvidenceLedger { number, rows: HashMap::new() }
    }

    /// A send ended.
    pub fn note(&mut self, route: RouteKey, arm: RolloutArm, outcome: &TrialOutcome) {
        let notes = self.rows.entry(route).or_default();
        notes.sums.route = route;
        notes.note(arm, outcome);
    }

    /// The rows to report: the routes most tried.
    pub fn rows(&self) -> Vec<RouteSums> {
        let mut rows: Vec<RouteSums> = self.rows.values().map(|notes| notes.sums).collect();
        rows.sort_by_key(|row| (std::cmp::Reverse(row.target.all()), row.route));
        rows.truncate(ROUTES_REPORTED);
        rows
    }
}

/// What all VMs reported of one order to a leader.
///
/// The sums are kept up with each renewal, so that taking one costs its rows and a look at the sums
/// costs the routes, however many VMs report.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    reported: HashMap<(u32, u64, RouteKey), RouteSums>,
    totals: BTreeMap<RouteKey, RouteTotals>,
}

impl EvidenceTable {
    /// Takes all that a life of a VM has counted. A row that counts fewer sends than the
    /// one before was overtaken and changes nothing; a route that it reports no more, since others
    /// are tried more, stays as last reported.
    pub fn take(&mut self, vm: u32, life: u64, rows: Vec<RouteSums>) {
        for row in rows {
            let known = self.reported.entry((vm, life, row.route)).or_default();
            if row.all() > known.all() {
                let total = self.totals.entry(row.route).or_default();
                total.replace(known, &row);
                *known = row;
            }
        }
    }

    /// The sums over all VMs.
    pub fn sums(&self) -> Vec<RouteSums> {
        let to_sums = |(route, total): (&RouteKey, &RouteTotals)| RouteSums {
            route: *route,
            base: total.base.to_sums(),
            target: total.target.to_sums(),
        };
        self.totals.iter().map(to_sums).collect()
    }

    /// Answers of the target that weren't well.
    pub fn bad_answers(&self) -> u32 {
        self.totals.values().map(|total| total.target.bad).sum()
    }
}

/// Sums over VMs, so fine that replacing a part of them again and again shifts nothing.
#[derive(Clone, Copy, Debug, Default)]
struct LogTotals {
    count: u32,
    sum: f64,
    squares: f64,
}

impl LogTotals {
    fn replace(&mut self, before: &LogSums, after: &LogSums) {
        self.count += after.count.saturating_sub(before.count);
        self.sum += f64::from(after.sum) - f64::from(before.sum);
        self.squares += f64::from(after.squares) - f64::from(before.squares);
    }

    fn to_sums(self) -> LogSums {
        LogSums { count: self.count, sum: self.sum as f32, squares: self.squares as f32 }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ArmTotals {
    well: u32,
    bad: u32,
    pace: LogTotals,
    first: LogTotals,
    compared: u32,
    late: u32,
}

impl ArmTotals {
    fn replace(&mut self, before: &ArmSums, after: &ArmSums) {
        self.well += after.well.saturating_sub(before.well);
        self.bad += after.bad.saturating_sub(before.bad);
        self.pace.replace(&before.pace, &after.pace);
        self.first.replace(&before.first, &after.first);
        self.compared += after.compared.saturating_sub(before.compared);
        self.late += after.late.saturating_sub(before.late);
    }

    fn to_sums(self) -> ArmSums {
        let (pace, first) = (self.pace.to_sums(), self.first.to_sums());
        let ArmTotals { well, bad, compared, late, .. } = self;
        ArmSums { well, bad, pace, first, compared, late }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteTotals {
    base: ArmTotals,
    target: ArmTotals,
}

impl RouteTotals {
    fn replace(&mut self, before: &RouteSums, after: &RouteSums) {
        self.base.replace(&before.base, &after.base);
        self.target.replace(&before.target, &after.target);
    }
}
