//! Two other ways to judge a roll-out, kept to be compared with the shipped one.

use std::collections::VecDeque;

use wingshed_lib::coordination::rollout_evidence::{ArmSums, LogSums, RouteSums};

const WINDOW_MS: u64 = 3000;
const WINDOW_LEAST: (u32, u32) = (4, 10);
const WINDOW_LIMITS: (f64, f64, f64) = (2.0, 0.05, 1.6);
const WHOLE_LEAST: u32 = 5;
const WHOLE_DEVIATIONS: f64 = 4.0;
const WHOLE_SLOW: f64 = 1.3;

/// What the way by windows remembers: rows and when they were reported.
pub type ReportWindow = VecDeque<(u64, Vec<RouteSums>)>;

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

fn with_total(rows: &[RouteSums]) -> Vec<RouteSums> {
    let (base, target) = (total(rows, |row| &row.base), total(rows, |row| &row.target));
    let all = RouteSums { base, target, ..RouteSums::default() };
    rows.iter().copied().chain([all]).collect()
}

/// Fixed thresholds over the last window.
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

/// Deviations between the sums since the order.
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

fn bad_deviations(target: &ArmSums, base: &ArmSums) -> f64 {
    let (target_all, base_all) = (f64::from(target.all()), f64::from(base.all().max(1)));
    let part = f64::from(target.bad + base.bad) / (target_all + base_all);
    let apart = f64::from(target.bad) / target_all - f64::from(base.bad) / base_all;
    apart / (part * (1.0 - part) * (1.0 / target_all + 1.0 / base_all)).sqrt().max(1e-9)
}

fn slow_deviations(target: &LogSums, base: &LogSums) -> f64 {
    let variance = |sums: &LogSums| {
        let mean = sums.mean();
        (f64::from(sums.squares) / f64::from(sums.count) - mean * mean).max(0.01)
    };
    let each = variance(target) / f64::from(target.count) + variance(base) / f64::from(base.count);
    (target.mean() - base.mean() - WHOLE_SLOW.ln()) / each.sqrt()
}
