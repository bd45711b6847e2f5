//! Detects whether the answers of a version under trial show that it is unsound.
//!
//! The evidence of each route is cut into slices. In a slice both sides answer over the same
//! period, and the slice updates the odds that the target is unsound (`rollout_odds`) by four
//! signals: failures, the pace of answers, the time to the first event, and the share of late
//! answers. The odds are kept for each route and for all routes together. Invariants: a kind of
//! request that fails on all versions, or an incident that slows or fails both sides, never counts
//! against the target; a sound target is found unsound in at most about [`MAX_FALSE_FINDINGS`] of
//! all orders, however many routes there are. See `docs/design/rollouts.md`, "Evidence".

use std::collections::BTreeMap;

use super::rollout_evidence::{ArmSums, LogSums, RouteKey, RouteSums};
use super::rollout_odds::{
    fault_logs, slow_logs, ChangeOdds, DegreeLogs, FaultCount, FaultReference, TimeReference,
    TimeSpread, DEGREES, FAILURES_AFTER, FAILURES_DURING, LATE_DURING, MAX_LIKELY_LOG,
    MAX_SLICE_LOG, SLOW_AFTER, SLOW_DURING,
};

/// The accepted rate of false positives: the share of all orders in which a sound target is found
/// unsound, at most. `wingshed bench rollouts` gives 2 of 9,000 in its settings without a crash and
/// without failures on all routes.
pub const MAX_FALSE_FINDINGS: f64 = 0.005;
/// The odds ratio over all routes together from which a target counts as likely unsound when
/// traffic is about to be moved to it. This check asks for less evidence than a finding at any
/// other time, because the move can't be undone once the order is complete.
const LIKELY_UNSOUND_ODDS: f64 = 3.0;
/// The odds ratio of a single route for the same check. Lower ratios find more unsound targets and
/// roll back more sound ones; `docs/design/rollouts.md`, "Figures", has the rates of both.
const LIKELY_UNSOUND_ROUTE_ODDS: f64 = 30.0;
/// The minimum length of a slice, in milliseconds: the interval at which VMs report.
const MIN_SLICE_MS: u64 = 300;
/// The length after which a slice ends regardless of its answers, in milliseconds.
const MAX_SLICE_MS: u64 = 1200;
/// The number of answers of one side that ends a slice once it has its minimum length.
const SLICE_END_ANSWERS: u32 = 8;
/// No slice ends before the other versions have given this many answers on all routes together, or
/// [`MAX_BASE_WAIT_MS`] have passed. Earlier it isn't known which failures occur on all versions.
const MIN_BASE_ANSWERS: u32 = 40;
/// The maximum time to wait for [`MIN_BASE_ANSWERS`], in milliseconds.
const MAX_BASE_WAIT_MS: u64 = 3000;
/// The recent answer counts of both sides are multiplied by this factor in each slice.
const FLOW_DECAY: f64 = 0.7;
/// A trial with fewer answers of the target is inconclusive. If a version fails 30% of its
/// requests, this many answers are all successful in 1 of 17 orders. With a minimum of 12, an 8 s
/// order at 20 requests per second had too few answers in 16 of 200 simulated orders of a sound
/// target.
const MIN_TARGET_ANSWERS: u32 = 8;
/// If there are few requests in total, this share of all answers is enough instead. The target gets
/// its head start before other requests, so a trial reaches this share unless its counts were lost.
const MIN_TARGET_SHARE: f64 = 0.25;

/// The signal by which a version was found unsound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsoundSignal {
    /// The share of failures among its answers is higher than elsewhere.
    Failures,
    /// Its answers take longer than elsewhere.
    Slow,
}

/// The finding that a version is unsound.
#[derive(Clone, Debug, PartialEq)]
pub struct UnsoundFinding {
    /// The route that shows it, or `None` if all routes together show it.
    pub route: Option<RouteKey>,
    /// The signal that shows it.
    pub signal: UnsoundSignal,
    /// The counts, times and odds behind the finding, as text for the log.
    pub figures: String,
}

impl std::fmt::Display for UnsoundFinding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let signal = match self.signal {
            UnsoundSignal::Failures => "fails more",
            UnsoundSignal::Slow => "is slower",
        };
        match self.route {
            Some(route) => write!(f, "{signal} on route {:08x}: {}", route.0, self.figures),
            None => write!(f, "{signal}: {}", self.figures),
        }
    }
}

/// The number of signals that have odds of their own.
const SIGNAL_COUNT: usize = 4;
/// The share of the accepted false positives that each signal may cause.
const SIGNAL_SHARES: [f64; SIGNAL_COUNT] = [0.4, 0.2, 0.2, 0.2];
/// Logarithms of odds by signal, in this order: failures, pace, time to the first event, late
/// answers.
type SignalLogs = [DegreeLogs; SIGNAL_COUNT];

/// The odds of each signal, on one route or on all routes together.
#[derive(Clone, Copy, Debug, Default)]
struct SignalOdds {
    /// The odds for a finding at any time during the order. They may be checked repeatedly.
    found: [ChangeOdds; SIGNAL_COUNT],
    /// The odds for the single check before traffic is moved.
    likely: [ChangeOdds; SIGNAL_COUNT],
}

impl SignalOdds {
    /// Updates the odds by a slice. `lengths` is its length in multiples of [`MIN_SLICE_MS`];
    /// `with_unseen` also includes the time over which its counts were gathered before this leader
    /// took over.
    fn take(&mut self, logs: &SignalLogs, lengths: f64, with_unseen: f64) {
        for (odds, log) in self.found.iter_mut().zip(logs) {
            odds.take(log, lengths, MAX_SLICE_LOG * lengths);
        }
        for (odds, log) in self.likely.iter_mut().zip(logs) {
            odds.take(log, lengths, MAX_LIKELY_LOG * with_unseen);
        }
    }

    /// Returns the signal with the highest odds, and the logarithm of these odds.
    fn found(&self) -> (usize, f64) {
        strongest_signal(&self.found, ChangeOdds::log)
    }

    /// Returns the signal with the highest likelihood ratio of an unsound to a sound target, and
    /// the logarithm of that ratio.
    fn likely(&self) -> (usize, f64) {
        strongest_signal(&self.likely, ChangeOdds::likelier_log)
    }
}

/// Returns the signal with the highest logarithm, after its share of the accepted false positives
/// is taken into account, and that logarithm.
fn strongest_signal(
    signals: &[ChangeOdds; SIGNAL_COUNT],
    log: fn(&ChangeOdds) -> f64,
) -> (usize, f64) {
    let parts = signals.iter().zip(SIGNAL_SHARES);
    let logs = parts.map(|(odds, part)| log(odds) + part.ln()).enumerate();
    logs.max_by(|one, other| one.1.total_cmp(&other.1)).unwrap_or((0, f64::NEG_INFINITY))
}

/// The state of the evaluation of one route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteEvaluation {
    /// When the current slice began, in milliseconds. `seen` has the sums at that time.
    since_ms: u64,
    /// How long the order had run before the first slice, unobserved by this leader, in
    /// milliseconds.
    unseen_ms: u64,
    /// The sums at the start of the current slice.
    seen: RouteSums,
    /// The reference values of the other versions on this route.
    failures: FaultReference,
    late: FaultReference,
    pace: TimeReference,
    first: TimeReference,
    odds: SignalOdds,
}

impl RouteEvaluation {
    /// Returns the length of the current slice if it ends now.
    fn ended_length(&self, slice: &RouteSums, now_ms: u64) -> Option<SliceLength> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let answers = slice.base.all().max(slice.target.all());
        let ended =
            age_ms >= MAX_SLICE_MS || (age_ms >= MIN_SLICE_MS && answers >= SLICE_END_ANSWERS);
        let with_unseen = to_lengths(age_ms + self.unseen_ms);
        ended.then(|| SliceLength { lengths: to_lengths(age_ms), with_unseen })
    }

    /// Adds the answers of the other versions in a slice to the references.
    fn take_base(&mut self, slice: &RouteSums) {
        self.failures.take(FaultCount::of_failures(&slice.base));
        self.late.take(FaultCount::of_late(&slice.base));
        self.pace.take(&slice.base.pace);
        self.first.take(&slice.base.first);
    }

    /// Returns the logarithms of the odds of a slice. `after` is set once the other versions have
    /// stopped answering, so that only their earlier answers are left to compare with.
    fn logs(&self, slice: &RouteSums, shared: &SharedReference, after: bool) -> SignalLogs {
        let (base, target) = (&slice.base, &slice.target);
        let failures = if after { &FAILURES_AFTER } else { &FAILURES_DURING };
        let slow = if after { &SLOW_AFTER } else { &SLOW_DURING };
        let late_part = self.late.part(shared.late);
        let late = match after {
            true => [0.0; DEGREES],
            false => fault_logs(FaultCount::of_late(target), late_part, &LATE_DURING),
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

/// The length of a slice, in multiples of [`MIN_SLICE_MS`].
#[derive(Clone, Copy, Debug)]
struct SliceLength {
    /// The time that this leader observed.
    lengths: f64,
    /// `lengths` plus the time that VMs counted before this leader took over.
    with_unseen: f64,
}

/// Reference values of the other versions over all routes together. They supplement the references
/// of routes with few answers.
struct SharedReference {
    failing: f64,
    late: f64,
    pace_variance: f64,
    first_variance: f64,
}

/// The odds of all routes together. The slices of the routes end at different times; their
/// logarithms are collected and applied at once after [`MIN_SLICE_MS`], so that each period counts
/// once.
#[derive(Clone, Copy, Debug, Default)]
struct CombinedOdds {
    odds: SignalOdds,
    /// The sums of the collected logarithms, if a slice ended since they were last applied.
    added: Option<SignalLogs>,
    /// The longest `with_unseen` of the collected slices, in multiples of [`MIN_SLICE_MS`].
    with_unseen: f64,
    /// When the logarithms were last applied, or else when the evidence was first evaluated, in
    /// milliseconds.
    since_ms: Option<u64>,
}

impl CombinedOdds {
    fn add(&mut self, logs: &SignalLogs, with_unseen: f64) {
        self.with_unseen = self.with_unseen.max(with_unseen);
        let added = self.added.get_or_insert([[0.0; DEGREES]; SIGNAL_COUNT]);
        added.iter_mut().flatten().zip(logs.iter().flatten()).for_each(|(sum, log)| *sum += log);
    }

    fn end_slice(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(*self.since_ms.get_or_insert(now_ms));
        if age_ms < MIN_SLICE_MS {
            return;
        }
        if let Some(logs) = self.added.take() {
            let lengths = to_lengths(age_ms);
            self.odds.take(&logs, lengths, self.with_unseen.max(lengths));
            (self.with_unseen, self.since_ms) = (0.0, Some(now_ms));
        }
    }
}

/// Returns the length of a slice in multiples of [`MIN_SLICE_MS`], limited to that of the longest
/// slice: after a pause of the leader a slice doesn't count for more.
fn to_lengths(age_ms: u64) -> f64 {
    age_ms.min(MAX_SLICE_MS) as f64 / MIN_SLICE_MS as f64
}

/// The recent number of answers of each side on all routes together, decayed with each slice.
#[derive(Clone, Copy, Debug, Default)]
struct RecentAnswers {
    base: f64,
    target: f64,
}

impl RecentAnswers {
    fn take(&mut self, base: u32, target: u32) {
        self.base = FLOW_DECAY * self.base + f64::from(base);
        self.target = FLOW_DECAY * self.target + f64::from(target);
    }

    /// Returns whether most recent answers come from the target, so that the other versions no
    /// longer serve as a comparison over the same period.
    fn is_mostly_target(&self) -> bool {
        self.target > self.base
    }
}

/// The evaluation of one order's evidence, updated with each call of [`VerdictState::judge`].
#[derive(Clone, Debug, Default)]
pub struct VerdictState {
    routes: BTreeMap<RouteKey, RouteEvaluation>,
    all: CombinedOdds,
    failures: FaultReference,
    late: FaultReference,
    flow: RecentAnswers,
    /// The answers of both sides at the last update of `flow`.
    flow_seen: (u32, u32),
    /// When `flow` was last updated, in milliseconds.
    flow_ms: u64,
    /// When this leader first evaluated the evidence, in milliseconds.
    begun_ms: Option<u64>,
    unseen_ms: u64,
}

impl VerdictState {
    /// Creates the state for a leader that takes over an order that has run for `elapsed_ms`. The
    /// first reports of the VMs contain all counts since the order began, so the first slice covers
    /// that time too.
    pub fn of_order(elapsed_ms: u64) -> VerdictState {
        VerdictState { unseen_ms: elapsed_ms, ..VerdictState::default() }
    }

    /// Updates the odds by the sums over all VMs since the order began, and returns a finding if
    /// they are high enough. Called several times per second.
    pub fn judge(&mut self, sums: &[RouteSums], now_ms: u64) -> Option<UnsoundFinding> {
        self.update_flow(sums, now_ms);
        let slices = self.end_slices(sums, now_ms);
        let shared = self.shared();
        let after = self.flow.is_mostly_target();
        for (slice, length) in &slices {
            let Some(evaluation) = self.routes.get_mut(&slice.route) else { continue };
            let logs = evaluation.logs(slice, &shared, after);
            evaluation.odds.take(&logs, length.lengths, length.with_unseen);
            self.all.add(&logs, length.with_unseen);
        }
        self.all.end_slice(now_ms);
        self.finding(sums)
    }

    /// Ends the slices that are due, and returns them with their lengths.
    fn end_slices(&mut self, sums: &[RouteSums], now_ms: u64) -> Vec<(RouteSums, SliceLength)> {
        let mut ended = Vec::new();
        let begun_ms = *self.begun_ms.get_or_insert(now_ms);
        let answers: u32 = sums.iter().map(|row| row.base.all()).sum();
        let waits =
            answers < MIN_BASE_ANSWERS && now_ms.saturating_sub(begun_ms) < MAX_BASE_WAIT_MS;
        let unseen_ms = self.unseen_ms;
        for row in sums {
            let begun =
                RouteEvaluation { since_ms: now_ms, unseen_ms, ..RouteEvaluation::default() };
            let evaluation = self.routes.entry(row.route).or_insert(begun);
            let slice = row.since(&evaluation.seen);
            if let Some(length) = evaluation.ended_length(&slice, now_ms).filter(|_| !waits) {
                (evaluation.since_ms, evaluation.unseen_ms, evaluation.seen) = (now_ms, 0, *row);
                evaluation.take_base(&slice);
                self.failures.take(FaultCount::of_failures(&slice.base));
                self.late.take(FaultCount::of_late(&slice.base));
                ended.push((slice, length));
            }
        }
        ended
    }

    /// Returns the reference values over all routes together.
    fn shared(&self) -> SharedReference {
        let spread = |side: fn(&RouteEvaluation) -> &TimeReference| {
            let routes = self.routes.values().map(side);
            routes.fold(TimeSpread::default(), TimeSpread::with).shared_variance()
        };
        SharedReference {
            failing: self.failures.shared_part(),
            late: self.late.shared_part(),
            pace_variance: spread(|evaluation| &evaluation.pace),
            first_variance: spread(|evaluation| &evaluation.first),
        }
    }

    /// Updates the recent answer counts, at most once per [`MIN_SLICE_MS`].
    fn update_flow(&mut self, sums: &[RouteSums], now_ms: u64) {
        if now_ms.saturating_sub(self.flow_ms) < MIN_SLICE_MS {
            return;
        }
        let base: u32 = sums.iter().map(|row| row.base.all()).sum();
        let target: u32 = sums.iter().map(|row| row.target.all()).sum();
        let (base_seen, target_seen) = self.flow_seen;
        self.flow.take(base.saturating_sub(base_seen), target.saturating_sub(target_seen));
        (self.flow_seen, self.flow_ms) = ((base, target), now_ms);
    }

    /// Returns a finding if the odds exceed the thresholds that keep false positives within
    /// [`MAX_FALSE_FINDINGS`].
    fn finding(&self, sums: &[RouteSums]) -> Option<UnsoundFinding> {
        // Half of the accepted false positives is assigned to all routes together, the other half
        // is divided among the single routes.
        let all = (2.0 / MAX_FALSE_FINDINGS).ln();
        let alone = all + (self.routes.len().max(1) as f64).ln();
        self.exceeding(sums, OddsThreshold { all, alone, of: SignalOdds::found })
    }

    /// Returns a finding if the evidence is more likely for an unsound target than for a sound one.
    /// Called once, when there is no finding and traffic is about to be moved. It rejects sound
    /// targets more often than [`MAX_FALSE_FINDINGS`].
    pub fn likely_unsound(&self, sums: &[RouteSums]) -> Option<UnsoundFinding> {
        let (all, alone) = (LIKELY_UNSOUND_ODDS.ln(), LIKELY_UNSOUND_ROUTE_ODDS.ln());
        self.exceeding(sums, OddsThreshold { all, alone, of: SignalOdds::likely })
    }

    /// Returns a finding if the odds of all routes together or of the most suspicious route exceed
    /// their threshold.
    fn exceeding(&self, sums: &[RouteSums], threshold: OddsThreshold) -> Option<UnsoundFinding> {
        let (signal, odds) = (threshold.of)(&self.all.odds);
        if odds >= threshold.all {
            return Some(to_finding(None, signal, odds - threshold.all, sums));
        }
        let alone = self
            .routes
            .iter()
            .map(|(route, evaluation)| (*route, (threshold.of)(&evaluation.odds)));
        let (route, (signal, odds)) = alone.max_by(|one, other| one.1 .1.total_cmp(&other.1 .1))?;
        let own: Vec<RouteSums> = sums.iter().filter(|row| row.route == route).copied().collect();
        (odds >= threshold.alone)
            .then(|| to_finding(Some(route), signal, odds - threshold.alone, &own))
    }
}

/// The odds to check and their thresholds, as logarithms.
struct OddsThreshold {
    /// The threshold of all routes together.
    all: f64,
    /// The threshold of a single route.
    alone: f64,
    /// Selects the strongest signal and its logarithm.
    of: fn(&SignalOdds) -> (usize, f64),
}

/// Creates the finding for the signal with this index. `excess` is the logarithm of the odds above
/// the threshold.
fn to_finding(
    route: Option<RouteKey>,
    signal: usize,
    excess: f64,
    sums: &[RouteSums],
) -> UnsoundFinding {
    let figures = match signal {
        0 => answer_figures(sums),
        1 => time_figures(sums, "pace", |arm| arm.pace),
        2 => time_figures(sums, "first event", |arm| arm.first),
        _ => share_figures(sums, "late", |arm| (arm.late, arm.compared)),
    };
    let figures = format!("{figures}; odds e^{excess:.1} above the threshold");
    let signal = if signal == 0 { UnsoundSignal::Failures } else { UnsoundSignal::Slow };
    UnsoundFinding { route, signal, figures }
}

/// Returns the failure counts of both sides as text, for the log line of a move of traffic.
pub fn answer_figures(sums: &[RouteSums]) -> String {
    share_figures(sums, "bad", |arm| (arm.bad, arm.all()))
}

/// Formats how many answers of each side match, and out of how many.
fn share_figures(sums: &[RouteSums], what: &str, count: fn(&ArmSums) -> (u32, u32)) -> String {
    let sum = |side: fn(&RouteSums) -> &ArmSums| {
        let counts = sums.iter().map(side).map(count);
        counts.fold((0, 0), |(part, all), (more, more_all)| (part + more, all + more_all))
    };
    let (target, base) = (sum(|row| &row.target), sum(|row| &row.base));
    format!("{} of {} answers {what}, other versions {} of {}", target.0, target.1, base.0, base.1)
}

/// Formats how many times as long the target takes. Because routes differ, the sides are compared
/// route by route, weighted by the number of the target's answers.
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

/// Returns whether the target gave enough answers, most of them successful, to treat the lack of a
/// finding as meaningful: [`MIN_TARGET_ANSWERS`], or with few requests its share of all answers.
pub fn has_enough_answers(sums: &[RouteSums]) -> bool {
    let bad: u32 = sums.iter().map(|row| row.target.bad).sum();
    let well: u32 = sums.iter().map(|row| row.target.well).sum();
    let all: u64 = sums.iter().map(RouteSums::all).sum();
    let few = (MIN_TARGET_SHARE * all as f64).ceil() as u32;
    well > bad && well + bad >= MIN_TARGET_ANSWERS.min(few.max(1))
}
