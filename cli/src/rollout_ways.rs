//! Two simpler methods of judging a roll-out, as baselines for the method in use.

use std::collections::VecDeque;

use wingshed_lib::coordination::rollout_evidence::{ArmSums, LogSums, RouteSums};

/// The length of the window, in milliseconds.
const WINDOW_MS: u64 = 3000;
/// The numbers of the target's bad answers, and of its timed answers, from which a window is
/// judged.
const WINDOW_MIN_COUNTS: (u32, u32) = (4, 10);
/// The limits in a window: the share of bad answers may be this factor of the base's plus this
/// margin, and the mean time may be this factor of the base's.
const WINDOW_LIMITS: (f64, f64, f64) = (2.0, 0.05, 1.6);
/// The number of the target's bad answers, and of timed answers on each side, from which the sums
/// since the order are judged.
const TOTAL_MIN_COUNT: u32 = 5;
/// The number of standard deviations beyond which the target is unsound.
const TOTAL_MAX_DEVIATIONS: f64 = 4.0;
/// The factor of the base's mean time from which deviations are counted.
const TOTAL_SLOW_FACTOR: f64 = 1.3;

/// The state of [`judge_window`]: earlier sums with the time of each, in milliseconds.
pub type ReportWindow = VecDeque<(u64, Vec<RouteSums>)>;

/// Sums one side of all routes.
fn total(rows: &[RouteSums], side: fn(&RouteSums) -> &ArmSums) -> ArmSums {
    let mut all = ArmSums::default();
    for arm in rows.iter().map(side) {
        (all.well, all.bad) = (all.well + arm.well, all.bad + arm.bad);
        for (sum, part) in [(&mut all.pace, &arm.pace), (&mut all.first, &arm.first)] {
            sum.count += part.count;
            sum.sum += part.sum;
            sum.squares += part.squares;
        }
    }
    all
}

/// Returns the rows of all routes and a row of their totals.
fn with_total(rows: &[RouteSums]) -> Vec<RouteSums> {
    let (base, target) = (total(rows, |row| &row.base), total(rows, |row| &row.target));
    let all = RouteSums { base, target, ..RouteSums::default() };
    rows.iter().copied().chain([all]).collect()
}

/// Judges by fixed thresholds over the last window, for each route and all together. Returns true
/// if the target is unsound.
pub fn judge_window(window: &mut ReportWindow, sums: &[RouteSums], now_ms: u64) -> bool {
    let rows = with_total(sums);
    window.push_back((now_ms, rows.clone()));
    while window.get(1).is_some_and(|(at_ms, _)| at_ms + WINDOW_MS <= now_ms) {
        window.pop_front();
    }
    let window_start = window.front().map(|(_, rows)| rows.clone()).unwrap_or_default();
    rows.iter().any(|row| {
        let earlier = window_start.iter().find(|earlier| earlier.route == row.route);
        let mut slice = earlier.map_or(*row, |earlier| row.since(earlier));
        if slice.base.all() == 0 {
            slice.base = row.base;
        }
        exceeds_limits(&slice)
    })
}

/// Whether the target exceeds a limit in these sums.
fn exceeds_limits(slice: &RouteSums) -> bool {
    let (bad, answers) = WINDOW_MIN_COUNTS;
    let (factor, margin, slow) = WINDOW_LIMITS;
    let share = |arm: &ArmSums| f64::from(arm.bad) / f64::from(arm.all().max(1));
    let fails = share(&slice.target) > factor * share(&slice.base) + margin;
    let is_slow = |target: &LogSums, base: &LogSums| {
        target.count >= answers && base.count > 0 && target.mean() - base.mean() > slow.ln()
    };
    (slice.target.bad >= bad && fails)
        || is_slow(&slice.target.pace, &slice.base.pace)
        || is_slow(&slice.target.first, &slice.base.first)
}

/// Judges by the standard deviations between base and target in the sums since the order, for each
/// route and all together. Returns true if the target is unsound.
pub fn judge_total(sums: &[RouteSums]) -> bool {
    with_total(sums).iter().any(|row| {
        let (target, base) = (&row.target, &row.base);
        let fails =
            target.bad >= TOTAL_MIN_COUNT && bad_deviations(target, base) > TOTAL_MAX_DEVIATIONS;
        let is_slow = |target: &LogSums, base: &LogSums| {
            let enough = target.count >= TOTAL_MIN_COUNT && base.count >= TOTAL_MIN_COUNT;
            enough && slow_deviations(target, base) > TOTAL_MAX_DEVIATIONS
        };
        fails || is_slow(&target.pace, &base.pace) || is_slow(&target.first, &base.first)
    })
}

/// Returns the difference of the shares of bad answers, in standard deviations.
fn bad_deviations(target: &ArmSums, base: &ArmSums) -> f64 {
    let (target_all, base_all) = (f64::from(target.all()), f64::from(base.all().max(1)));
    let share = f64::from(target.bad + base.bad) / (target_all + base_all);
    let difference = f64::from(target.bad) / target_all - f64::from(base.bad) / base_all;
    difference / (share * (1.0 - share) * (1.0 / target_all + 1.0 / base_all)).sqrt().max(1e-9)
}

/// Returns how far the target's mean logarithm of times exceeds the base's by more than
/// [`TOTAL_SLOW_FACTOR`], in standard deviations.
fn slow_deviations(target: &LogSums, base: &LogSums) -> f64 {
    let variance = |sums: &LogSums| {
        let mean = sums.mean();
        (f64::from(sums.squares) / f64::from(sums.count) - mean * mean).max(0.01)
    };
    let mean_variance =
        variance(target) / f64::from(target.count) + variance(base) / f64::from(base.count);
    (target.mean() - base.mean() - TOTAL_SLOW_FACTOR.ln()) / mean_variance.sqrt()
}
