//! Whether what a version under trial answers shows that it is unsound.
//!
//! The evidence of each route is cut into slices in which both sides answered at the same time, and
//! each slice moves the odds that the target is unsound (`rollout_odds`): by failures, by the pace of
//! answers, by the time to their first event, by how many are late; of each route alone and of all
//! together. Invariants:
//! a kind of request that fails everywhere, and what slows or fails both sides, never counts against the
//! target; a sound one is found unsound in about [`FALSE_FINDINGS`] of all orders at most, however
//! many routes there are. See `docs/design/rollouts.md`, "Evidence".

use std::collections::BTreeMap;

use super::rollout_evidence::{ArmSums, LogSums, RouteKey, RouteSums};
use super::rollout_odds::{
    fault_logs, slow_logs, ChangeOdds, DegreeLogs, FaultCount, FaultReference, TimeReference,
    TimeSpread, DEGREES, FAILURES_AFTER, FAILURES_BESIDE, LATE_BESIDE, MOST_A_MOMENT, MOST_A_SLICE,
    SLOW_AFTER, SLOW_BESIDE,
};

/// In about this part of all orders at most a sound target is found unsound: 2 of 9,000 in the settings
/// of `wingshed bench rollouts` without a crash and without failures on all routes.
pub const FALSE_FINDINGS: f64 = 0.005;
/// Before traffic is moved, which can't be taken back once the order is complete, it is enough that what all
/// routes showed together is so many times likelier of an unsound target,
const RATHER_UNSOUND: f64 = 3.0;
/// or what one of them showed so many times. Lower ones find more and roll more sound targets back; figures of both:
/// `docs/design/rollouts.md`, "Figures".
const RATHER_UNSOUND_ALONE: f64 = 30.0;
/// A slice lasts this long at least, in milliseconds: as long as VMs take to report once.
const SLICE_MS: u64 = 300;
/// And at most this long, in milliseconds,
const LONGEST_SLICE_MS: u64 = 1200;
/// or until the other versions have answered so often.
const SLICE_ANSWERS: u32 = 8;
/// No slice ends before the other versions have answered so often on all routes together, or
/// [`LONGEST_WAIT_MS`] have passed: before that nothing is known of what fails everywhere.
const FIRST_ANSWERS: u32 = 40;
/// See [`FIRST_ANSWERS`]; in milliseconds.
const LONGEST_WAIT_MS: u64 = 3000;
/// What counts how many answers each side gave of late keeps this part with each slice.
const FLOW_KEPT: f64 = 0.7;
/// Fewer answers of the target than this say nothing: of a version that fails 30%, so many are all good in 1 of 17
/// orders (worked out). With 12 an order of 8 s had too few in 16 of 200 plays of a sound one at 20 requests a second,
const ENOUGH_ANSWERS: u32 = 8;
/// unless there were few requests: then this part of all answers. What is handed out at the start goes to the target
/// first, so that a trial has it unless its counts were lost.
const ENOUGH_PART: f64 = 0.25;

/// What shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsoundSign {
    /// More of its answers are failures.
    Failures,
    /// Its answers take longer.
    Slow,
}

/// A version is unsound.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsoundFinding {
    /// On which route; `None` when it shows on all together.
    pub route: Option<RouteKey>,
    /// What shows it.
    pub sign: UnsoundSign,
    /// The figures that decided.
    pub figures: String,
}

impl std::fmt::Display for UnsoundFinding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let sign = match self.sign {
            UnsoundSign::Failures => "fails more",
            UnsoundSign::Slow => "is slower",
        };
        match self.route {
            Some(route) => write!(f, "{sign} on route {:08x}: {}", route.0, self.figures),
            None => write!(f, "{sign}: {}", self.figures),
        }
    }
}

/// What the odds are kept for.
const SIGNS: usize = 4;
/// How the false findings are divided among the signs.
const SIGN_PARTS: [f64; SIGNS] = [0.4, 0.2, 0.2, 0.2];
/// By sign: failures, pace, time to the first event, answers that are late.
type SignLogs = [DegreeLogs; SIGNS];

/// The odds by each sign.
#[derive(Clone, Copy, Debug, Default)]
struct SignOdds {
    /// To find it unsound at any moment.
    found: [ChangeOdds; SIGNS],
    /// To say which is likelier, once.
    rather: [ChangeOdds; SIGNS],
}

impl SignOdds {
    /// Takes a slice of so many `lengths` of the shortest; what it shows was gathered over `over` of them.
    fn take(&mut self, logs: &SignLogs, lengths: f64, over: f64) {
        for (odds, log) in self.found.iter_mut().zip(logs) {
            odds.take(log, lengths, MOST_A_SLICE * lengths);
        }
        for (odds, log) in self.rather.iter_mut().zip(logs) {
            odds.take(log, lengths, MOST_A_MOMENT * over);
        }
    }

    /// The sign that shows most, and its odds.
    fn found(&self) -> (usize, f64) {
        most_shown(&self.found, ChangeOdds::log)
    }

    /// The sign that shows most, and how much likelier it is of an unsound target.
    fn rather(&self) -> (usize, f64) {
        most_shown(&self.rather, ChangeOdds::likelier_log)
    }
}

fn most_shown(signs: &[ChangeOdds; SIGNS], log: fn(&ChangeOdds) -> f64) -> (usize, f64) {
    let parts = signs.iter().zip(SIGN_PARTS);
    let logs = parts.map(|(odds, part)| log(odds) + part.ln()).enumerate();
    logs.max_by(|one, other| one.1.total_cmp(&other.1)).unwrap_or((0, f64::NEG_INFINITY))
}

/// What is remembered of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTrial {
    /// When its slice began, and the sums at that time.
    since_ms: u64,
    /// How long the order had run before that, unseen by this leader, in milliseconds.
    unseen_ms: u64,
    seen: RouteSums,
    failures: FaultReference,
    late: FaultReference,
    pace: TimeReference,
    first: TimeReference,
    odds: SignOdds,
}

impl RouteTrial {
    /// How long its slice has lasted if it ends now.
    fn ripe(&self, slice: &RouteSums, now_ms: u64) -> Option<SliceSpan> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let answers = slice.base.all().max(slice.target.all());
        let ripe = age_ms >= LONGEST_SLICE_MS || (age_ms >= SLICE_MS && answers >= SLICE_ANSWERS);
        let over = to_lengths(age_ms + self.unseen_ms);
        ripe.then(|| SliceSpan { lengths: to_lengths(age_ms), over })
    }

    /// Takes what the other versions answered in a slice.
    fn take_base(&mut self, slice: &RouteSums) {
        self.failures.take(FaultCount::of_failures(&slice.base));
        self.late.take(FaultCount::of_late(&slice.base));
        self.pace.take(&slice.base.pace);
        self.first.take(&slice.base.first);
    }

    /// What a slice shows, when the others have ended before it (`after`) or answered beside.
    fn logs(&self, slice: &RouteSums, shared: &SharedReference, after: bool) -> SignLogs {
        let (base, target) = (&slice.base, &slice.target);
        let failures = if after { &FAILURES_AFTER } else { &FAILURES_BESIDE };
        let slow = if after { &SLOW_AFTER } else { &SLOW_BESIDE };
        let late_part = self.late.part(shared.late);
        let late = match after {
            true => [0.0; DEGREES],
            false => fault_logs(FaultCount::of_late(target), late_part, &LATE_BESIDE),
        };
        let failing = self.failures.part(shared.failing);
        let (pace, first) = ((&target.pace, &base.pace), (&target.first, &base.first));
        [
            fault_logs(FaultCount::of_failures(target), failing, failures),
            slow_logs(pace, &self.pace, shared.pace_variance, slow, after),
            slow_logs(first, &self.first, shared.first_variance, slow, after),
            late,
        ]
    }
}

/// How long a slice is, in lengths of the shortest.
#[derive(Clone, Copy, Debug)]
struct SliceSpan {
    /// As this leader saw it.
    lengths: f64,
    /// With what VMs counted before this leader asked them.
    over: f64,
}

/// What is known of the other versions on all routes together; stands in where a route has little.
struct SharedReference {
    failing: f64,
    late: f64,
    pace_variance: f64,
    first_variance: f64,
}

/// The odds of all routes together. Their slices end at different moments; what they show is taken at
/// once after the shortest time, so that a moment counts once.
#[derive(Clone, Copy, Debug, Default)]
struct CommonOdds {
    odds: SignOdds,
    added: Option<SignLogs>,
    /// The longest of the slices that were added, in lengths of the shortest.
    over: f64,
    since_ms: Option<u64>,
}

impl CommonOdds {
    fn add(&mut self, logs: &SignLogs, over: f64) {
        self.over = self.over.max(over);
        let added = self.added.get_or_insert([[0.0; DEGREES]; SIGNS]);
        added.iter_mut().flatten().zip(logs.iter().flatten()).for_each(|(sum, log)| *sum += log);
    }

    fn end_slice(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(*self.since_ms.get_or_insert(now_ms));
        if age_ms < SLICE_MS {
            return;
        }
        if let Some(logs) = self.added.take() {
            let lengths = to_lengths(age_ms);
            self.odds.take(&logs, lengths, self.over.max(lengths));
            (self.over, self.since_ms) = (0.0, Some(now_ms));
        }
    }
}

/// How long a slice is, in lengths of the shortest; a leader that looked at nothing for long has no
/// longer ones.
fn to_lengths(age_ms: u64) -> f64 {
    age_ms.min(LONGEST_SLICE_MS) as f64 / SLICE_MS as f64
}

/// How many answers each side gave of late, on all routes together.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerFlow {
    base: f64,
    target: f64,
}

impl AnswerFlow {
    fn take(&mut self, base: u32, target: u32) {
        self.base = FLOW_KEPT * self.base + f64::from(base);
        self.target = FLOW_KEPT * self.target + f64::from(target);
    }

    /// Whether the other versions have ended, by and large.
    fn is_moved(&self) -> bool {
        self.target > self.base
    }
}

/// What is remembered between two looks at the evidence of one order.
#[derive(Clone, Debug, Default)]
pub struct VerdictState {
    routes: BTreeMap<RouteKey, RouteTrial>,
    all: CommonOdds,
    failures: FaultReference,
    late: FaultReference,
    flow: AnswerFlow,
    flow_seen: (u32, u32),
    flow_ms: u64,
    begun_ms: Option<u64>,
    unseen_ms: u64,
}

impl VerdictState {
    /// The verdict of a leader that takes over an order which has run for `elapsed_ms`. VMs report at
    /// once what they counted since the order began, which is more than a moment shows.
    pub fn of_order(elapsed_ms: u64) -> VerdictState {
        VerdictState { unseen_ms: elapsed_ms, ..VerdictState::default() }
    }

    /// Looks at the sums over all VMs since the order; asked a few times a second.
    pub fn judge(&mut self, sums: &[RouteSums], now_ms: u64) -> Option<UnsoundFinding> {
        self.watch_flow(sums, now_ms);
        let slices = self.end_slices(sums, now_ms);
        let shared = self.shared();
        let after = self.flow.is_moved();
        for (slice, span) in &slices {
            let Some(trial) = self.routes.get_mut(&slice.route) else { continue };
            let logs = trial.logs(slice, &shared, after);
            trial.odds.take(&logs, span.lengths, span.over);
            self.all.add(&logs, span.over);
        }
        self.all.end_slice(now_ms);
        self.finding(sums)
    }

    /// The slices that end now, and how long each has lasted.
    fn end_slices(&mut self, sums: &[RouteSums], now_ms: u64) -> Vec<(RouteSums, SliceSpan)> {
        let mut ended = Vec::new();
        let begun_ms = *self.begun_ms.get_or_insert(now_ms);
        let answers: u32 = sums.iter().map(|row| row.base.all()).sum();
        let waits = answers < FIRST_ANSWERS && now_ms.saturating_sub(begun_ms) < LONGEST_WAIT_MS;
        let unseen_ms = self.unseen_ms;
        for row in sums {
            let begun = RouteTrial { since_ms: now_ms, unseen_ms, ..RouteTrial::default() };
            let trial = self.routes.entry(row.route).or_insert(begun);
            let slice = row.since(&trial.seen);
            if let Some(span) = trial.ripe(&slice, now_ms).filter(|_| !waits) {
                (trial.since_ms, trial.unseen_ms, trial.seen) = (now_ms, 0, *row);
                trial.take_base(&slice);
                self.failures.take(FaultCount::of_failures(&slice.base));
                self.late.take(FaultCount::of_late(&slice.base));
                ended.push((slice, span));
            }
        }
        ended
    }

    fn shared(&self) -> SharedReference {
        let spread = |side: fn(&RouteTrial) -> &TimeReference| {
            let routes = self.routes.values().map(side);
            routes.fold(TimeSpread::default(), TimeSpread::with).shared_variance()
        };
        SharedReference {
            failing: self.failures.shared_part(),
            late: self.late.shared_part(),
            pace_variance: spread(|trial| &trial.pace),
            first_variance: spread(|trial| &trial.first),
        }
    }

    fn watch_flow(&mut self, sums: &[RouteSums], now_ms: u64) {
        if now_ms.saturating_sub(self.flow_ms) < SLICE_MS {
            return;
        }
        let base: u32 = sums.iter().map(|row| row.base.all()).sum();
        let target: u32 = sums.iter().map(|row| row.target.all()).sum();
        let (base_seen, target_seen) = self.flow_seen;
        self.flow.take(base.saturating_sub(base_seen), target.saturating_sub(target_seen));
        (self.flow_seen, self.flow_ms) = ((base, target), now_ms);
    }

    fn finding(&self, sums: &[RouteSums]) -> Option<UnsoundFinding> {
        // Half for all routes together, half for each alone.
        let all = (2.0 / FALSE_FINDINGS).ln();
        let alone = all + (self.routes.len().max(1) as f64).ln();
        self.beyond(sums, NeededOdds { all, alone, of: SignOdds::found })
    }

    /// Whether what was seen is rather that of an unsound target than of a sound one. Asked once, when nothing was
    /// found and traffic is to be moved; a sound one is held for unsound more often by it than [`FALSE_FINDINGS`].
    pub fn leans(&self, sums: &[RouteSums]) -> Option<UnsoundFinding> {
        let (all, alone) = (RATHER_UNSOUND.ln(), RATHER_UNSOUND_ALONE.ln());
        self.beyond(sums, NeededOdds { all, alone, of: SignOdds::rather })
    }

    fn beyond(&self, sums: &[RouteSums], needed: NeededOdds) -> Option<UnsoundFinding> {
        let (sign, odds) = (needed.of)(&self.all.odds);
        if odds >= needed.all {
            return Some(to_finding(None, sign, odds - needed.all, sums));
        }
        let alone = self.routes.iter().map(|(route, trial)| (*route, (needed.of)(&trial.odds)));
        let (route, (sign, odds)) = alone.max_by(|one, other| one.1 .1.total_cmp(&other.1 .1))?;
        let own: Vec<RouteSums> = sums.iter().filter(|row| row.route == route).copied().collect();
        (odds >= needed.alone).then(|| to_finding(Some(route), sign, odds - needed.alone, &own))
    }
}

/// Which odds decide, and how high they must be, as logarithms.
struct NeededOdds {
    /// Of all routes together.
    all: f64,
    /// Of one alone.
    alone: f64,
    of: fn(&SignOdds) -> (usize, f64),
}

fn to_finding(
    route: Option<RouteKey>,
    sign: usize,
    beyond: f64,
    sums: &[RouteSums],
) -> UnsoundFinding {
    let figures = match sign {
        0 => answer_figures(sums),
        1 => time_figures(sums, "pace", |arm| arm.pace),
        2 => time_figures(sums, "first event", |arm| arm.first),
        _ => part_figures(sums, "late", |arm| (arm.late, arm.compared)),
    };
    let figures = format!("{figures}; odds e^{beyond:.1} beyond those needed");
    let sign = if sign == 0 { UnsoundSign::Failures } else { UnsoundSign::Slow };
    UnsoundFinding { route, sign, figures }
}

/// What an order is moved by, for the log.
pub fn answer_figures(sums: &[RouteSums]) -> String {
    part_figures(sums, "bad", |arm| (arm.bad, arm.all()))
}

/// How many of the answers of each side are so.
fn part_figures(sums: &[RouteSums], what: &str, count: fn(&ArmSums) -> (u32, u32)) -> String {
    let sum = |side: fn(&RouteSums) -> &ArmSums| {
        let counts = sums.iter().map(side).map(count);
        counts.fold((0, 0), |(some, all), (more, more_all)| (some + more, all + more_all))
    };
    let (target, base) = (sum(|row| &row.target), sum(|row| &row.base));
    format!("{} of {} answers {what}, elsewhere {} of {}", target.0, target.1, base.0, base.1)
}

/// How many times as long the target takes. Routes differ; so each is compared with itself, weighted by
/// the target's answers.
fn time_figures(sums: &[RouteSums], what: &str, times: fn(&ArmSums) -> LogSums) -> String {
    let (mut slower, mut count) = (0.0, 0);
    for row in sums {
        let (target, base) = (times(&row.target), times(&row.base));
        if target.count > 0 && base.count > 0 {
            slower += (target.mean() - base.mean()) * f64::from(target.count);
            count += target.count;
        }
    }
    let times = (slower / f64::from(count.max(1))).exp();
    format!("{what} {times:.1} times as long over {count} answers")
}

/// Whether the target answered enough for "not unsound" to say something: so often that three of ten failing
/// would have shown, or where there are few requests its part of them; and mostly well.
pub fn is_enough(sums: &[RouteSums]) -> bool {
    let bad: u32 = sums.iter().map(|row| row.target.bad).sum();
    let well: u32 = sums.iter().map(|row| row.target.well).sum();
    let all: u64 = sums.iter().map(RouteSums::all).sum();
    let few = (ENOUGH_PART * all as f64).ceil() as u32;
    well > bad && well + bad >= ENOUGH_ANSWERS.min(few.max(1))
}
