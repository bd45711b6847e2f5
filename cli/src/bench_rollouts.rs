//! Simulates roll-outs on the decision code alone, and measures how often they are judged wrongly,
//! how late, and how many requests an unsound version gets.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use wingshed_lib::coordination::rollout_verdict::{has_enough_answers, VerdictState};

use crate::bench_decision::percentile;
use crate::rollout_play::{
    simulate, FaultTime, JudgeMethod, SimCase, SimResult, SimSetting, TargetFault,
};
use crate::rollout_ways::{judge_total, judge_window};
use crate::table::to_text;

/// The rates to simulate, in requests per second.
const RATES: [u64; 3] = [20, 300, 1000];
/// The durations of an order to simulate, in seconds.
const SECONDS: [u64; 3] = [8, 12, 30];
/// The number of orders of each case.
const SEEDS: u64 = 200;
const THREADS: usize = 3;
/// The names of the methods of judging, in the order of [`SimResult::methods`].
const METHODS: [&str; 3] =
    ["odds, slice by slice", "window, thresholds", "since the order, deviations"];
/// How long after its 50th bad answer an unsound version must be rolled back at the latest, in
/// milliseconds.
const MAX_ROLL_BACK_MS: f64 = 5000.0;

/// Which of the cases are simulated.
pub struct RolloutsOptions {
    /// The number of orders of each case, [`SEEDS`] by default.
    pub seeds: Option<u64>,
    /// If set, only this number of requests per second.
    pub rate: Option<u64>,
    /// If set, only orders of this duration, in seconds.
    pub seconds: Option<u64>,
}

/// The cases of one line of the table.
struct TableLine {
    name: String,
    fault: TargetFault,
    time: FaultTime,
    setting: SimSetting,
}

/// Returns the lines of the table: sound versions under each setting, and unsound versions with each
/// fault and time.
fn lines() -> Vec<TableLine> {
    let settings = [
        ("steady", SimSetting::Steady),
        ("bursts", SimSetting::Bursts),
        ("cold for 3 s", SimSetting::Cold),
        ("leader lost", SimSetting::LeaderLost),
        ("an upstream crashes", SimSetting::Crash),
        ("a route fails 14%", SimSetting::FailingRoute),
        ("all routes fail 14%", SimSetting::AllFailing),
    ];
    let (fault, time) = (TargetFault::Sound, FaultTime::Always);
    let sound =
        |(name, setting)| TableLine { name: format!("sound, {name}"), fault, time, setting };
    let mut lines: Vec<TableLine> = settings.into_iter().map(sound).collect();
    let faults = [
        ("fails 5%", TargetFault::Fails(0.05)),
        ("fails 20%", TargetFault::Fails(0.2)),
        ("fails 50%", TargetFault::Fails(0.5)),
        ("2 times slower", TargetFault::Slower(1.0, 2.0)),
        ("4 times slower", TargetFault::Slower(1.0, 4.0)),
        ("8 times slower", TargetFault::Slower(1.0, 8.0)),
        ("half 4 times slower", TargetFault::Slower(0.5, 4.0)),
        ("a fifth 4 times slower", TargetFault::Slower(0.2, 4.0)),
    ];
    let times = [
        ("", FaultTime::Always),
        (", from the middle", FaultTime::Middle),
        (", in bursts", FaultTime::Burst),
        (", one route of ten", FaultTime::OneRoute),
    ];
    for (fault_name, fault) in faults {
        let setting = SimSetting::Steady;
        let line =
            |(name, time)| TableLine { name: format!("{fault_name}{name}"), fault, time, setting };
        lines.extend(times.into_iter().map(line));
    }
    lines
}

/// Simulates all cases and prints two tables: the results of each case with the method in use, and
/// a comparison of the methods.
pub fn rollouts(options: &RolloutsOptions) {
    let rates = options.rate.map_or(RATES.to_vec(), |rate| vec![rate]);
    let seconds = options.seconds.map_or(SECONDS.to_vec(), |seconds| vec![seconds]);
    let seeds = options.seeds.unwrap_or(SEEDS);
    let grid: Vec<(u64, u64)> =
        rates.iter().flat_map(|rate| seconds.iter().map(|seconds| (*rate, *seconds))).collect();
    let lines = lines();
    let mut cases = Vec::new();
    for line in &lines {
        for (rate, seconds) in &grid {
            let (fault, time, setting) = (line.fault, line.time, line.setting);
            let (rate, seconds) = (*rate, *seconds);
            let case = |seed| SimCase { fault, time, setting, rate, seconds, seed: seed + 1 };
            cases.extend((0..seeds).map(case));
        }
    }
    let ends = simulate_all(&cases);
    let of_line =
        |at: usize| &ends[at * grid.len() * seeds as usize..][..grid.len() * seeds as usize];
    let rows: Vec<Vec<String>> =
        (0..lines.len()).map(|at| to_row(&lines[at], of_line(at), seeds)).collect();
    let grid_names = grid.iter().map(|(rate, seconds)| format!("{rate}/s {seconds} s"));
    let figures = ["exposed p50", "most", "over", "found p50 s", "past 50th s", "late"];
    let head: Vec<String> = std::iter::once("target".to_string())
        .chain(grid_names)
        .chain(figures.iter().map(|name| name.to_string()))
        .collect();
    let head: Vec<&str> = head.iter().map(String::as_str).collect();
    println!(
        "Orders rolled back, of {seeds}; for sound versions, orders completed. Exposure as a \
         part of its bound.\n"
    );
    println!("{}\n", to_text(&head, &rows));
    let rows: Vec<Vec<String>> =
        (0..METHODS.len()).map(|method| to_method_row(method, &lines, &ends)).collect();
    let head = [
        "way",
        "sound complete",
        "fails 5%",
        "20%",
        "50%",
        "2 times slower",
        "4",
        "8",
        "half 4",
        "a fifth 4",
        "over the bound",
        "late",
    ];
    println!("Orders judged correctly, per 1,000.\n");
    println!("{}", to_text(&head, &rows));
}

/// Simulates all cases on [`THREADS`] threads, and returns the results in the order of the cases.
fn simulate_all(cases: &[SimCase]) -> Vec<SimResult> {
    let next = AtomicUsize::new(0);
    let ends: Mutex<Vec<(usize, SimResult)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed);
                let Some(case) = cases.get(at) else { break };
                let end = simulate_one(case);
                ends.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push((at, end));
            });
        }
    });
    let mut ends = ends.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    ends.sort_by_key(|(at, _)| *at);
    ends.into_iter().map(|(_, end)| end).collect()
}

/// Simulates one case with all methods of judging.
fn simulate_one(case: &SimCase) -> SimResult {
    let mut verdict = VerdictState::default();
    let mut window = VecDeque::new();
    let mut methods: [JudgeMethod; 3] = [
        Box::new(|sums, now_ms, new_leader| {
            if new_leader {
                verdict = VerdictState::default();
            }
            let found = verdict.judge(sums, now_ms).is_some();
            found || (now_ms == case.move_ms() && verdict.likely_unsound(sums).is_some())
        }),
        Box::new(|sums, now_ms, new_leader| {
            if new_leader {
                window.clear();
            }
            judge_window(&mut window, sums, now_ms)
        }),
        Box::new(|sums, _, _| judge_total(sums)),
    ];
    simulate(case, &mut methods)
}

/// Returns how long after the 50th bad answer the version was found unsound, in milliseconds, or
/// `None` if the simulation ended before that answer. A version that wasn't found counts as found
/// at `end_ms`.
fn past_fiftieth_ms(end: &SimResult, method: usize, end_ms: f64) -> Option<f64> {
    let found_ms = end.methods[method].found_ms.map_or(end_ms, |found_ms| found_ms as f64);
    end.fiftieth_ms.map(|fiftieth_ms| found_ms - fiftieth_ms as f64)
}

/// Whether the version was found later than [`MAX_ROLL_BACK_MS`] after its 50th bad answer, or
/// never.
fn is_late(end: &SimResult, method: usize) -> bool {
    past_fiftieth_ms(end, method, f64::INFINITY).is_some_and(|past_ms| past_ms > MAX_ROLL_BACK_MS)
}

/// Whether the version got more requests than its bound.
fn exceeds_bound(end: &SimResult, method: usize) -> bool {
    end.methods[method].exposed as f64 > end.bound
}

/// Whether the version was judged correctly: an unsound one is found, and a sound one
/// isn't and has enough answers to complete.
fn is_correct(line: &TableLine, end: &SimResult, method: usize) -> bool {
    let found = end.methods[method].found_ms.is_some();
    match line.fault {
        TargetFault::Sound => !found && has_enough_answers(&end.sums_at_move),
        _ => found,
    }
}

/// Formats the results of one line with the first method.
fn to_row(line: &TableLine, ends: &[SimResult], seeds: u64) -> Vec<String> {
    let mut row = vec![line.name.clone()];
    for cell in ends.chunks(seeds as usize) {
        row.push(cell.iter().filter(|end| is_correct(line, end, 0)).count().to_string());
    }
    if line.fault == TargetFault::Sound {
        return row;
    }
    let exposed: Vec<f64> =
        ends.iter().map(|end| end.methods[0].exposed as f64 / end.bound).collect();
    let found = ends.iter().filter_map(|end| end.methods[0].found_ms);
    let found: Vec<f64> = found.map(|found_ms| found_ms as f64 / 1000.0).collect();
    let past = ends.iter().filter(|end| end.methods[0].found_ms.is_some());
    let past = past.filter_map(|end| past_fiftieth_ms(end, 0, 0.0));
    let past_most = past.fold(f64::NEG_INFINITY, f64::max) / 1000.0;
    row.push(format!("{:.2}", percentile(&exposed, 0.5)));
    row.push(format!("{:.2}", percentile(&exposed, 1.0)));
    row.push(ends.iter().filter(|end| exceeds_bound(end, 0)).count().to_string());
    row.push(format!("{:.1}", percentile(&found, 0.5)));
    row.push(if past_most.is_finite() { format!("{past_most:.1}") } else { "-".to_string() });
    row.push(ends.iter().filter(|end| is_late(end, 0)).count().to_string());
    row
}

/// Formats the results of one method over all lines.
fn to_method_row(method: usize, lines: &[TableLine], ends: &[SimResult]) -> Vec<String> {
    let each = ends.len() / lines.len();
    let of_lines = || lines.iter().zip(ends.chunks(each));
    let thousandths = |fault: &dyn Fn(&TargetFault) -> bool| {
        let (mut right, mut all) = (0, 0);
        for (line, ends) in of_lines().filter(|(line, _)| fault(&line.fault)) {
            right += ends.iter().filter(|end| is_correct(line, end, method)).count();
            all += ends.len();
        }
        format!("{:.0}", 1000.0 * right as f64 / all.max(1) as f64)
    };
    let mut row = vec![METHODS[method].to_string()];
    row.push(thousandths(&|fault| *fault == TargetFault::Sound));
    let mut faults: Vec<TargetFault> = lines.iter().map(|line| line.fault).collect();
    faults.dedup();
    for one in faults.iter().filter(|fault| **fault != TargetFault::Sound) {
        row.push(thousandths(&|fault| fault == one));
    }
    let unsound = || of_lines().filter(|(line, _)| line.fault != TargetFault::Sound);
    let over =
        unsound().flat_map(|(_, ends)| ends).filter(|end| exceeds_bound(end, method)).count();
    let late = unsound().flat_map(|(_, ends)| ends).filter(|end| is_late(end, method)).count();
    row.extend([over.to_string(), late.to_string()]);
    row
}
