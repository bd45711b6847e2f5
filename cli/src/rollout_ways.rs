//! Two simpler methods of judging a roll-out, as baselines for the method in use.

use std::collections::VecDeque;

use wingshed_lib::coordination::rollout_evidence::{ArmSums, LogSums, RouteSums};

/// The length of the window, in milliseconds.
const WINDOW_MS: u64 = 3000;
/// The numbers of the target's bad answers, and of its timed answers, from which a window is
/// judged.
const WINDOW_LEAST: (u32, u32) = (4, 10);
/// The limits in a window: the share of bad answers may be this factor of the base's plus this
/// margin, and the mean time may be this factor of the base's.
const WINDOW_LIMITS: (f64, f64, f64) = (2.0, 0.05, 1.6);
/// The number of the target's bad answers, and of timed answers on each side, from which the sums
/// since the order are judged.
const WHOLE_LEAST: u32 = 5;
/// The number of standard deviations beyond which the target is unsound.
const WHOLE_DEVIATIONS: f64 = 4.0;
/// The factor of the base's mean time from which deviations are counted.
const WHOLE_SLOW: f64 = 1.3;

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
    let before = window.front().map(|(_, rows)| rows.clone()).unwrap_or_default();
    rows.iter().any(|row| {
        let seen = before.iter().find(|seen| seen.route == row.route);
        let mut slice = seen.map_or(*row, |seen| row.since(seen));
        if slice.base.all() == 0 {
            slice.base = row.base;
        }
        passes_limits(&slice)
    })
}

/// Whether the target exceeds a limit in these sums.
fn passes_limits(slice: &RouteSums) -> bool {
    let (bad, answers) = WINDOW_LEAST;
    let (times, beside, slow) = WINDOW_LIMITS;
    let part = |arm: &ArmSums| f64::from(arm.bad) / f64::from(arm.all().max(1));
    let fails = part(&slice.target) > times * part(&slice.base) + beside;
    let is_slow = |target: &LogSums, base: &LogSums| {
        target.count >= answers && base.count > 0 && target.mean() - base.mean() > slow.ln()
    };
    (slice.target.bad >= bad && fails)
        || is_slow(&slice.target.pace, &slice.base.pace)
        || is_slow(&slice.target.first, &slice.base.first)
}

/// Judges by the standard deviations between base and target in the sums since the order, for each
/// route and all together. Returns true if the target is unsound.
pub fn judge_whole(sums: &[RouteSums]) -> bool {
    with_total(sums).iter().any(|row| {
        let (target, base) = (&row.target, &row.base);
        let fails = target.bad >= WHOLE_LEAST && bad_deviations(target, base) > WHOLE_DEVIATIONS;
        let is_slow = |target: &LogSums, base: &LogSums| {
            let enough = target.count >= WHOLE_LEAST && base.count >= WHOLE_LEAST;
            enough && slow_deviations(target, base) > WHOLE_DEVIATIONS
        };
        fails || is_slow(&target.pace, &base.pace) || is_slow(&target.first, &base.first)
    })
}

/// Returns the difference of the shares of bad answers, in standard deviations.
fn bad_deviations(target: &ArmSums, base: &ArmSums) -> f64 {
    let (target_all, base_all) = (f64::from(target.all()), f64::from(base.all().max(1)));
    let part = f64::from(target.bad + base.bad) / (target_all + base_all);
    let apart = f64::from(target.bad) / target_all - f64::from(base.bad) / base_all;
    apart / (part * (1.0 - part) * (1.0 / target_all + 1.0 / base_all)).sqrt().max(1e-9)
}

/// Returns how far the target's mean logarithm of times exceeds the base's by more than
/// [`WHOLE_SLOW`], in standard deviations.
fn slow_deviations(target: &LogSums, base: &LogSums) -> f64 {
    let variance = |sums: &LogSums| {
        let mean = sums.mean();
        (f64::from(sums.squares) / f64::from(sums.count) - mean * mean).max(0.01)
    };
    let each = variance(target) / f64::from(target.count) + variance(base) / f64::from(base.count);
    (target.mean() - base.mean() - WHOLE_SLOW.ln()) / each.sqrt()
}
