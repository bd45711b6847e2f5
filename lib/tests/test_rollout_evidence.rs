//! Tests the evidence of roll-outs: how it is counted and summed, and which verdicts follow from
//! it.

use proptest::prelude::*;
use wingshed_lib::coordination::rollout_evidence::{
    ArmSums, EvidenceLedger, EvidenceTable, LogSums, RolloutArm, RouteKey, RouteSums, TrialOutcome,
    LATE_FACTOR, MAX_REPORTED_ROUTES,
};
use wingshed_lib::coordination::rollout_verdict::{
    has_enough_answers, UnsoundFinding, UnsoundSignal, VerdictState,
};

const ROUTE: RouteKey = RouteKey(1);
const EVALUATE_MS: u64 = 100;
/// The maximum encoded size of a row, so that sixteen rows fit into a datagram of 2,000 bytes,
/// whatever they count.
const MAX_ROW_BYTES: usize = 112;

fn well(pace_ms: f64) -> TrialOutcome {
    TrialOutcome::Success { pace_ms: Some(pace_ms), first_ms: None }
}

/// An event at a VM: a request that ends, a report that is delivered, lost or delayed, or a
/// restart.
#[derive(Clone, Debug)]
enum VmEvent {
    Request(u32, bool, bool),
    Reports { lost: bool, late: bool },
    Restart,
}

fn vm_events() -> impl Strategy<Value = Vec<(u32, VmEvent)>> {
    let one = prop_oneof![
        6 => (1u32..5, any::<bool>(), any::<bool>())
            .prop_map(|(route, target, bad)| VmEvent::Request(route, target, bad)),
        3 => (any::<bool>(), any::<bool>())
            .prop_map(|(lost, late)| VmEvent::Reports { lost, late }),
        1 => Just(VmEvent::Restart),
    ];
    proptest::collection::vec((0u32..4, one), 0..200)
}

type Report = (u32, u64, Vec<RouteSums>);

/// Runs the events, and returns the leader's table with the expected number of all requests and of
/// failures of the target.
fn run_events(events: Vec<(u32, VmEvent)>) -> (EvidenceTable, u64, u32) {
    let mut table = EvidenceTable::default();
    let mut vms: Vec<(u64, EvidenceLedger)> = (0..4).map(|_| (1, EvidenceLedger::new(1))).collect();
    let mut delayed: Vec<Report> = Vec::new();
    let (mut all, mut bad_answers) = (0, 0);
    for (vm, event) in events {
        let (incarnation, ledger) = &mut vms[vm as usize];
        match event {
            VmEvent::Request(route, target, bad) => {
                let arm = if target { RolloutArm::Target } else { RolloutArm::Base };
                let outcome = if bad { TrialOutcome::Failure } else { well(50.0) };
                ledger.note(RouteKey(route), arm, &outcome);
                all += 1;
                bad_answers += u32::from(target && bad);
            }
            VmEvent::Reports { lost: true, .. } => {}
            VmEvent::Reports { late: true, .. } => delayed.push((vm, *incarnation, ledger.rows())),
            VmEvent::Reports { .. } => table.take(vm, *incarnation, ledger.rows()),
            VmEvent::Restart => {
                // The last report before the restart is delivered.
                table.take(vm, *incarnation, ledger.rows());
                (*incarnation, *ledger) = (*incarnation + 1, EvidenceLedger::new(1));
            }
        }
    }
    for (vm, (incarnation, ledger)) in vms.iter().enumerate() {
        table.take(vm as u32, *incarnation, ledger.rows());
    }
    for (vm, incarnation, rows) in delayed.into_iter().rev() {
        table.take(vm, incarnation, rows);
    }
    (table, all, bad_answers)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn whatever_is_lost_or_late_each_send_counts_once(events in vm_events()) {
        let (table, all, bad_answers) = run_events(events);

        let sums = table.sums();

        prop_assert_eq!(sums.iter().map(RouteSums::all).sum::<u64>(), all);
        prop_assert_eq!(table.bad_answers(), bad_answers);
        let paces: u32 = sums.iter().map(|row| row.base.pace.count + row.target.pace.count).sum();
        let well: u32 = sums.iter().map(|row| row.base.well + row.target.well).sum();
        prop_assert_eq!(paces, well);
    }

    #[test]
    fn times_are_summed_as_if_one_vm_had_seen_all(
        paces in proptest::collection::vec((0u32..5, 1.0f64..10_000.0), 1..100),
    ) {
        let mut table = EvidenceTable::default();
        let mut ledgers: Vec<EvidenceLedger> = (0..5).map(|_| EvidenceLedger::new(1)).collect();
        for (vm, pace_ms) in &paces {
            let ledger = &mut ledgers[*vm as usize];
            ledger.note(ROUTE, RolloutArm::Target, &well(*pace_ms));
            table.take(*vm, 1, ledger.rows());
        }

        let sums = table.sums()[0].target.pace;

        let logs: f64 = paces.iter().map(|(_, pace_ms)| pace_ms.ln()).sum();
        prop_assert!((f64::from(sums.sum) - logs).abs() < 0.001 * logs.abs().max(1.0));
        prop_assert_eq!(sums.count as usize, paces.len());
    }

    #[test]
    fn rows_come_back_from_the_wire(counts in proptest::collection::vec(any::<u32>(), 6)) {
        let pace = LogSums { count: counts[2], sum: 1.5, squares: 2.25 };
        let target = ArmSums {
            well: counts[0], bad: counts[1], pace, first: LogSums::default(),
            compared: counts[3], late: counts[4],
        };
        let row = RouteSums { route: RouteKey(counts[5]), target, ..RouteSums::default() };

        let bytes = rmp_serde::to_vec(&row).unwrap();

        prop_assert!(bytes.len() <= MAX_ROW_BYTES, "{}", bytes.len());
        prop_assert_eq!(rmp_serde::from_slice::<RouteSums>(&bytes).unwrap(), row);
    }
}

#[test]
fn a_vm_tells_the_routes_that_are_tried_most_and_no_more() {
    let mut ledger = EvidenceLedger::new(1);
    for route in 0..40 {
        for _ in 0..=route {
            ledger.note(RouteKey(route), RolloutArm::Target, &TrialOutcome::Failure);
        }
    }

    let rows = ledger.rows();

    let reported: Vec<u32> = rows.iter().map(|row| row.route.0).collect();
    let most: Vec<u32> = (0..40).rev().take(MAX_REPORTED_ROUTES).collect();
    assert_eq!(reported, most);
}

#[test]
fn a_route_that_is_told_no_more_stays_in_the_sums() {
    let mut table = EvidenceTable::default();
    let row = |route, bad| RouteSums {
        route: RouteKey(route),
        target: ArmSums { bad, ..ArmSums::default() },
        ..RouteSums::default()
    };
    table.take(1, 1, vec![row(1, 3), row(2, 4)]);

    table.take(1, 1, vec![row(2, 5)]);

    assert_eq!(table.bad_answers(), 8);
}

#[test]
fn an_answer_is_late_against_what_the_others_took_on_that_route() {
    let mut ledger = EvidenceLedger::new(1);
    ledger.note(ROUTE, RolloutArm::Target, &well(1000.0));
    for _ in 0..10 {
        ledger.note(ROUTE, RolloutArm::Base, &well(100.0));
    }
    ledger.note(ROUTE, RolloutArm::Target, &well(100.0 * LATE_FACTOR * 1.1));
    ledger.note(ROUTE, RolloutArm::Target, &well(100.0 * LATE_FACTOR * 0.9));

    let target = ledger.rows()[0].target;

    assert_eq!(
        (target.compared, target.late),
        (2, 1),
        "the first came before the typical pace was known"
    );
}

/// What one route adds to each side in 100 ms: successes, failures and the pace of the successes.
#[derive(Clone, Copy)]
struct Flow {
    base: (u32, u32),
    target: (u32, u32),
    base_ms: f64,
    target_ms: f64,
}

/// Consecutive flows on all routes, each with the number of 100 ms steps that it lasts.
type FlowList<'a> = &'a [(&'a [Flow], u64)];

const SOUND: Flow = Flow { base: (46, 0), target: (4, 0), base_ms: 80.0, target_ms: 80.0 };

fn add(arm: &mut ArmSums, (well, bad): (u32, u32), pace_ms: f64) {
    arm.well += well;
    arm.bad += bad;
    // Half of the answers take 1.6 times as long, the other half 1.6 times shorter.
    for at in 0..well {
        let log = (pace_ms * if at % 2 == 0 { 1.6 } else { 0.625 }).ln() as f32;
        arm.pace.count += 1;
        arm.pace.sum += log;
        arm.pace.squares += log * log;
    }
}

/// Evaluates the flows, and returns the first finding with its time.
fn first_finding(flows: FlowList) -> Option<(u64, UnsoundFinding)> {
    evaluate(flows).0
}

/// Returns whether the target is likely unsound although there is no finding.
fn is_likely_unsound(flows: FlowList) -> bool {
    let (found, likely_unsound) = evaluate(flows);
    assert_eq!(found, None);
    likely_unsound
}

fn evaluate(flows: FlowList) -> (Option<(u64, UnsoundFinding)>, bool) {
    let mut verdict = VerdictState::default();
    let mut rows: Vec<RouteSums> = Vec::new();
    let mut step = 0;
    for (routes, steps) in flows {
        for _ in 0..*steps {
            for (at, flow) in routes.iter().enumerate() {
                if rows.len() <= at {
                    let route = RouteKey(at as u32 + 1);
                    rows.push(RouteSums { route, ..RouteSums::default() });
                }
                add(&mut rows[at].base, flow.base, flow.base_ms);
                add(&mut rows[at].target, flow.target, flow.target_ms);
            }
            if let Some(finding) = verdict.judge(&rows, step * EVALUATE_MS) {
                return (Some((step * EVALUATE_MS, finding)), true);
            }
            step += 1;
        }
    }
    (None, verdict.likely_unsound(&rows).is_some())
}

#[test]
fn what_hits_both_sides_alike_is_no_sign() {
    let fails = Flow { base: (40, 6), target: (3, 1), ..SOUND };
    let slow = Flow { base_ms: 640.0, target_ms: 640.0, ..SOUND };
    let cases: [(&str, FlowList); 4] = [
        ("sound", &[(&[SOUND], 300)]),
        ("a route that fails everywhere", &[(&[SOUND, fails, fails], 20)]),
        ("a burst", &[(&[SOUND], 50), (&[slow], 20), (&[SOUND], 50), (&[slow], 20)]),
        ("a start in a burst", &[(&[slow], 20), (&[SOUND], 100)]),
    ];
    for (case, flows) in cases {
        assert_eq!(first_finding(flows), None, "{case}");
    }
}

#[test]
fn each_kind_of_unsoundness_is_found_in_time() {
    let fails = Flow { target: (3, 1), ..SOUND };
    let slow = Flow { target_ms: 320.0, ..SOUND };
    let cases: [(&str, FlowList, UnsoundSignal, u64); 4] = [
        ("fails from the start", &[(&[fails], 100)], UnsoundSignal::Failures, 3000),
        ("slow from the start", &[(&[slow], 100)], UnsoundSignal::Slow, 4000),
        ("fails late", &[(&[SOUND], 150), (&[fails], 100)], UnsoundSignal::Failures, 18_000),
        ("slow late", &[(&[SOUND], 150), (&[slow], 100)], UnsoundSignal::Slow, 19_000),
    ];
    for (case, flows, signal, by_ms) in cases {
        let (found_ms, finding) =
            first_finding(flows).unwrap_or_else(|| panic!("{case}: not found"));

        assert_eq!(finding.signal, signal, "{case}");
        assert!(found_ms <= by_ms, "{case}: {found_ms}");
    }
}

#[test]
fn a_part_of_the_answers_that_is_late_is_found_unless_it_is_late_everywhere() {
    for (case, base_late, found) in [("the target", 1, true), ("everywhere", 12, false)] {
        let mut row = RouteSums { route: ROUTE, ..RouteSums::default() };
        let mut verdict = VerdictState::default();
        let mut finding = None;
        for step in 0..150 {
            (row.base.well, row.base.compared) = (row.base.well + 40, row.base.compared + 40);
            (row.target.well, row.target.compared) = (row.target.well + 4, row.target.compared + 4);
            row.base.late += base_late;
            row.target.late += 1;
            finding = finding.or(verdict.judge(&[row], step * EVALUATE_MS));
        }

        let signal = finding.as_ref().map(|finding| finding.signal);

        assert_eq!(signal, found.then_some(UnsoundSignal::Slow), "{case}");
    }
}

#[test]
fn one_bad_route_of_ten_is_named() {
    let mut routes = [SOUND; 10];
    routes[3] = Flow { target: (1, 3), ..SOUND };

    let (_, finding) = first_finding(&[(&routes, 200)]).unwrap();

    // All routes together may show it first; then no route is named.
    assert!(finding.route.is_none_or(|route| route == RouteKey(4)), "{finding}");
    assert!(finding.to_string().starts_with("fails more"), "{finding}");
}

#[test]
fn one_upstream_that_breaks_all_it_runs_at_once_decides_nothing() {
    let crash = Flow { target: (0, 20), ..SOUND };

    let found = first_finding(&[(&[SOUND], 50), (&[crash], 1), (&[SOUND], 50)]);

    assert_eq!(found, None);
}

#[test]
fn what_is_no_proof_may_still_be_rather_that_of_an_unsound_target() {
    // Ten answers of the old version for each one of the target, as in a trial of a quiet service.
    let quiet = Flow { base: (1, 0), target: (0, 0), ..SOUND };
    let well = Flow { target: (1, 0), ..quiet };
    let bad = Flow { target: (0, 1), ..quiet };
    let slow = Flow { target_ms: 170.0, ..well };
    // Ten answers of the target in ten seconds; the last ones are replaced by `last`.
    let trial = |last: &[Flow]| -> Vec<Flow> {
        let all = [well; 10].into_iter().take(10 - last.len()).chain(last.iter().copied());
        all.flat_map(|one| std::iter::repeat_n(quiet, 9).chain([one])).collect()
    };
    let cases = [
        ("all well", vec![well], false),
        ("one of ten bad", vec![well, bad, well, well], false),
        ("three of ten bad", vec![bad, well, well, bad, well, bad, well], true),
        ("eight of ten twice as long", vec![slow; 8], true),
    ];
    for (case, last, likely_unsound) in cases {
        let steps: Vec<[Flow; 1]> = trial(&last).into_iter().map(|flow| [flow]).collect();
        let flows: Vec<(&[Flow], u64)> = steps.iter().map(|flow| (flow.as_slice(), 1)).collect();

        assert_eq!(is_likely_unsound(&flows), likely_unsound, "{case}");
    }
}

#[test]
fn what_an_upstream_breaks_at_once_is_no_leaning_either() {
    let crash = Flow { target: (0, 20), ..SOUND };
    let fails_both = Flow { base: (30, 16), target: (3, 2), ..SOUND };

    assert!(!is_likely_unsound(&[(&[SOUND], 50), (&[crash], 1), (&[SOUND], 30)]));
    assert!(!is_likely_unsound(&[(&[SOUND], 50), (&[fails_both], 30)]), "both sides alike");
    assert!(!is_likely_unsound(&[(&[SOUND], 300)]));
}

#[test]
fn after_the_move_the_target_is_compared_with_what_was_before() {
    let moved = Flow { base: (0, 0), target: (50, 0), ..SOUND };
    let fails = Flow { target: (25, 25), ..moved };
    let slow = Flow { target_ms: 640.0, ..moved };
    let burst = Flow { target_ms: 180.0, ..moved };
    for (case, flow, found) in [
        ("sound", moved, false),
        ("a burst", burst, false),
        ("fails", fails, true),
        ("slow", slow, true),
    ] {
        let finding = first_finding(&[(&[SOUND], 50), (&[moved], 10), (&[flow], 40)]);

        assert_eq!(finding.is_some(), found, "{case}: {finding:?}");
    }
}

#[test]
fn a_leader_that_looks_at_all_at_once_finds_what_goes_on() {
    let fails = Flow { target: (2, 2), ..SOUND };
    let mut rows = [RouteSums { route: ROUTE, ..RouteSums::default() }];
    let mut verdict = VerdictState::default();
    let mut found_ms = None;
    for step in 0..100u64 {
        add(&mut rows[0].base, fails.base, fails.base_ms);
        add(&mut rows[0].target, fails.target, fails.target_ms);
        // The leader doesn't evaluate the evidence in the first 3 s.
        let evaluates = step >= 30 && found_ms.is_none();
        if evaluates && verdict.judge(&rows, step * EVALUATE_MS).is_some() {
            found_ms = Some(step * EVALUATE_MS);
        }
    }
    assert!(found_ms.is_some_and(|found_ms| found_ms <= 5000), "{found_ms:?}");
}

#[test]
fn a_target_that_hardly_answered_is_no_sound_one() {
    let sums = |base: u32, target: (u32, u32)| {
        let mut row = RouteSums { route: ROUTE, ..RouteSums::default() };
        (row.base.well, row.target.well, row.target.bad) = (base, target.0, target.1);
        [row]
    };
    let cases = [
        ("nothing", sums(500, (0, 0)), false),
        ("few of many", sums(500, (5, 0)), false),
        ("nearly enough", sums(500, (7, 0)), false),
        ("enough", sums(500, (12, 0)), true),
        ("an inconclusive part of few", sums(20, (1, 0)), false),
        ("nearly its part of few", sums(20, (5, 0)), false),
        ("its part of few", sums(15, (5, 0)), true),
        ("one alone", sums(0, (1, 0)), true),
        ("mostly bad", sums(500, (8, 9)), false),
    ];
    for (case, sums, enough) in cases {
        assert_eq!(has_enough_answers(&sums), enough, "{case}");
    }
}
