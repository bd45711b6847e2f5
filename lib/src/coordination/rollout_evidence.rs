//! Outcomes of the requests that are sent during a roll-out, as counted by one VM and as summed by
//! the leader.
//!
//! Invariants: a VM's counts start with the order and only rise, so the next renewal makes up for
//! one that was lost, and a new leader has all counts after one renewal of each VM. Counts reported
//! by an earlier incarnation of a VM stay in the sums. See `docs/design/rollouts.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of routes in one VM's report. The routes with the most requests to the target
/// are reported.
pub const MAX_REPORTED_ROUTES: usize = 16;
/// An answer is late when its pace is at least this multiple of the typical pace of the other
/// versions. Where the logarithms of times have a standard deviation of 0.5, three percent of the
/// answers are late.
pub const LATE_FACTOR: f64 = 2.5;
/// The number of answers after which the typical pace of a route is known.
const MIN_TYPICAL_ANSWERS: u32 = 2;
/// The approximate number of recent answers over which the typical pace, a mean of logarithms, is
/// averaged.
const TYPICAL_WINDOW: u32 = 20;

/// Shorter times are rounded up to this value, in milliseconds, because the clocks have no finer
/// resolution.
const MIN_TIME_MS: f64 = 0.1;

/// Identifies a route by the hash of its host and path prefix.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RouteKey(pub u32);

impl RouteKey {
    /// Returns the key of the route with this host and path prefix.
    pub fn of(host: &str, prefix: &str) -> RouteKey {
        RouteKey(xxh3_64(format!("{host} {prefix}").as_bytes()) as u32)
    }
}

/// The side of a roll-out that an upstream belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RolloutArm {
    /// The upstream runs another version than the target.
    Base,
    /// The upstream runs the target version.
    Target,
}

/// The outcome of one request, as evidence for or against the target version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TrialOutcome {
    /// The answer was successful and complete.
    Success {
        /// The time between the events of a stream, or the total time of a plain answer, in
        /// milliseconds.
        pace_ms: Option<f64>,
        /// The time to the first event, in milliseconds. Present only if the engine certainly had
        /// the shared prefix of the prompt in its cache and had finished its cold start.
        first_ms: Option<f64>,
    },
    /// The connection broke, the answer was a failure, or the answer came too late.
    Failure,
}

/// Sums over the natural logarithms of times in milliseconds, from which mean and variance follow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSums {
    /// The number of times.
    pub count: u32,
    /// The sum of the logarithms.
    pub sum: f32,
    /// The sum of the squared logarithms.
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

    /// Returns what was added after `before`, an earlier state of the same sums.
    pub fn since(&self, before: &LogSums) -> LogSums {
        LogSums {
            count: self.count.saturating_sub(before.count),
            sum: self.sum - before.sum,
            squares: self.squares - before.squares,
        }
    }

    /// Returns the mean of the logarithms, or 0 if there are none.
    pub fn mean(&self) -> f64 {
        f64::from(self.sum) / f64::from(self.count.max(1))
    }
}

/// The outcomes of the requests that one side of a roll-out got on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ArmSums {
    /// The number of successful answers.
    pub well: u32,
    /// The number of failures.
    pub bad: u32,
    /// The paces of the successful answers; see [`TrialOutcome::Success`].
    pub pace: LogSums,
    /// The times to the first event; see [`TrialOutcome::Success`].
    pub first: LogSums,
    /// The number of answers that were compared with the typical pace of the other versions on the
    /// route.
    pub compared: u32,
    /// The number of compared answers that took [`LATE_FACTOR`] times the typical pace or longer.
    pub late: u32,
}

impl ArmSums {
    /// Returns the number of requests that ended, successful or not.
    pub fn all(&self) -> u32 {
        self.well + self.bad
    }

    fn note(&mut self, outcome: &TrialOutcome) {
        match outcome {
            TrialOutcome::Success { pace_ms, first_ms } => {
                self.well += 1;
                self.pace.note(*pace_ms);
                self.first.note(*first_ms);
            }
            TrialOutcome::Failure => self.bad += 1,
        }
    }

    /// Returns what was added after `before`, an earlier state of the same sums.
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

/// The outcomes of the requests of one route, by side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteSums {
    /// The route.
    pub route: RouteKey,
    /// Outcomes at upstreams of other versions.
    pub base: ArmSums,
    /// Outcomes at upstreams of the target version.
    pub target: ArmSums,
}

impl RouteSums {
    /// Returns the number of requests that ended on either side.
    pub fn all(&self) -> u64 {
        u64::from(self.base.all()) + u64::from(self.target.all())
    }

    /// Returns what was added after `before`, an earlier state of the same sums.
    pub fn since(&self, before: &RouteSums) -> RouteSums {
        let (base, target) = (self.base.since(&before.base), self.target.since(&before.target));
        RouteSums { route: self.route, base, target }
    }
}

/// The typical pace of the other versions on a route, as observed by one VM: a moving mean of the
/// logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct TypicalPace {
    count: u32,
    mean_log: f64,
}

impl TypicalPace {
    /// Returns whether an answer of this pace is late, or `None` while there are too few answers to
    /// compare with.
    fn is_late(&self, pace_ms: f64) -> Option<bool> {
        let late = to_log(pace_ms) >= self.mean_log + LATE_FACTOR.ln();
        (self.count >= MIN_TYPICAL_ANSWERS).then_some(late)
    }

    fn note(&mut self, pace_ms: f64) {
        self.count = (self.count + 1).min(TYPICAL_WINDOW);
        self.mean_log += (to_log(pace_ms) - self.mean_log) / f64::from(self.count);
    }
}

/// Returns the natural logarithm of a time in milliseconds.
fn to_log(value_ms: f64) -> f64 {
    value_ms.max(MIN_TIME_MS).ln()
}

/// The counts of one route at one VM, with its typical pace.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRecord {
    sums: RouteSums,
    typical: TypicalPace,
}

impl RouteRecord {
    fn note(&mut self, arm: RolloutArm, outcome: &TrialOutcome) {
        let pace_ms = match outcome {
            TrialOutcome::Success { pace_ms, .. } => *pace_ms,
            TrialOutcome::Failure => None,
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

/// The outcomes that one VM counts for one order, by route.
#[derive(Clone, Debug)]
pub struct EvidenceLedger {
    /// The order's number within its service.
    pub number: u64,
    rows: HashMap<RouteKey, RouteRecord>,
}

impl EvidenceLedger {
    /// Creates an empty ledger for the order with this number.
    pub fn new(number: u64) -> EvidenceLedger {
        EvidenceLedger { number, rows: HashMap::new() }
    }

    /// Counts the outcome of a request.
    pub fn note(&mut self, route: RouteKey, arm: RolloutArm, outcome: &TrialOutcome) {
        let notes = self.rows.entry(route).or_default();
        notes.sums.route = route;
        notes.note(arm, outcome);
    }

    /// Returns the rows to report: the routes with the most requests to the target,
    /// [`MAX_REPORTED_ROUTES`] at most.
    pub fn rows(&self) -> Vec<RouteSums> {
        let mut rows: Vec<RouteSums> = self.rows.values().map(|notes| notes.sums).collect();
        rows.sort_by_key(|row| (std::cmp::Reverse(row.target.all()), row.route));
        rows.truncate(MAX_REPORTED_ROUTES);
        rows
    }
}

/// The outcomes of one order that all VMs reported to a leader.
///
/// The totals are updated with each renewal. The cost of an update is proportional to its rows, and
/// the cost of reading the sums to the number of routes, independent of the number of VMs.
#[derive(Clone, Debug, Default)]
pub struct EvidenceTable {
    reported: HashMap<(u32, u64, RouteKey), RouteSums>,
    totals: BTreeMap<RouteKey, RouteTotals>,
}

impl EvidenceTable {
    /// Takes the rows that one incarnation of a VM reports. A row that doesn't count more requests
    /// than the previous one is a repetition or arrived out of order, and is ignored. A route that
    /// is missing from the report, because other routes have more requests, keeps its last counts.
    pub fn take(&mut self, vm: u32, incarnation: u64, rows: Vec<RouteSums>) {
        for row in rows {
            let known = self.reported.entry((vm, incarnation, row.route)).or_default();
            if row.all() > known.all() {
                let total = self.totals.entry(row.route).or_default();
                total.replace(known, &row);
                *known = row;
            }
        }
    }

    /// Returns the sums over all VMs.
    pub fn sums(&self) -> Vec<RouteSums> {
        let to_sums = |(route, total): (&RouteKey, &RouteTotals)| RouteSums {
            route: *route,
            base: total.base.to_sums(),
            target: total.target.to_sums(),
        };
        self.totals.iter().map(to_sums).collect()
    }

    /// Returns the number of failures of the target.
    pub fn bad_answers(&self) -> u32 {
        self.totals.values().map(|total| total.target.bad).sum()
    }
}

/// Sums over VMs. They are kept in double precision, so that rounding errors don't accumulate while
/// the counts of a VM are replaced many times.
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

/// The totals of one side of a route.
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

/// The totals of both sides of a route.
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
