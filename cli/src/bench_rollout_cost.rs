//! Measures the cost of the evidence of a roll-out: the bytes in a renewal, and the leader's time
//! to record and judge it.

use std::time::Instant;

use wingshed_lib::coordination::rollout_evidence::{
    EvidenceLedger, EvidenceTable, RolloutArm, RouteKey, TrialOutcome,
};
use wingshed_lib::coordination::rollout_verdict::VerdictState;
use wingshed_lib::coordination::rollout_watch::RolloutReport;
use wingshed_lib::protocol::vm_wire::encode;
use wingshed_lib::state::rollout_order::VersionKey;

use crate::table::to_text;

/// The numbers of VMs to measure.
const VMS: [u32; 3] = [63, 300, 400];
/// The numbers of routes of the service to measure.
const ROUTES: [u32; 2] = [3, 16];
/// The number of renewals of each VM, which are those of 12 seconds.
const ROUNDS: u64 = 40;
/// The time between two renewals of a VM, in milliseconds.
const RENEW_MS: u64 = 300;

/// Prints the bytes of a renewal and the leader's times, for each number of VMs and routes.
pub fn cost() {
    let mut rows = Vec::new();
    for vms in VMS {
        for routes in ROUTES {
            rows.push(measure(vms, routes));
        }
    }
    let head = ["VMs", "routes", "bytes a renewal", "take, us", "look, us", "leader, % of a core"];
    print!("{}", to_text(&head, &rows));
}

/// Measures [`ROUNDS`] renewals of each VM, and returns a row of the table.
fn measure(vms: u32, routes: u32) -> Vec<String> {
    let mut ledgers: Vec<EvidenceLedger> = (0..vms).map(|_| EvidenceLedger::new(1)).collect();
    let (mut table, mut verdict) = (EvidenceTable::default(), VerdictState::default());
    let (mut taken_us, mut judged_us, mut bytes) = (0.0, 0.0, 0);
    for round in 0..ROUNDS {
        for (vm, ledger) in ledgers.iter_mut().enumerate() {
            record_requests(ledger, routes, round + vm as u64);
            let rows = ledger.rows();
            let note = RolloutReport {
                service: VersionKey(7),
                number: 1,
                step: 1,
                base_in_flight: 3,
                rows: rows.clone(),
            };
            bytes = encode(&note).len();
            let began = Instant::now();
            table.take(vm as u32, 1, rows);
            taken_us += began.elapsed().as_secs_f64() * 1e6;
        }
        let began = Instant::now();
        let found = verdict.judge(&table.sums(), round * RENEW_MS);
        judged_us += began.elapsed().as_secs_f64() * 1e6;
        assert!(found.is_none(), "the base and the target have equal answers");
    }
    let take_us = taken_us / (ROUNDS * u64::from(vms)) as f64;
    let look_us = judged_us / ROUNDS as f64;
    let renewals_per_s = f64::from(vms) * 1000.0 / RENEW_MS as f64;
    let looks_per_s = 20.0;
    let part = (renewals_per_s * take_us + looks_per_s * look_us) / 1e4;
    vec![
        vms.to_string(),
        routes.to_string(),
        bytes.to_string(),
        format!("{take_us:.1}"),
        format!("{look_us:.1}"),
        format!("{part:.2}"),
    ]
}

/// Records one request to the base and one to the target of each route.
fn record_requests(ledger: &mut EvidenceLedger, routes: u32, draw: u64) {
    for route in 0..routes {
        for arm in [RolloutArm::Base, RolloutArm::Target] {
            let pace_ms = Some(20.0 + (draw * 7 % 13) as f64);
            let outcome = TrialOutcome::Success { pace_ms, first_ms: pace_ms };
            ledger.note(RouteKey(route + 1), arm, &outcome);
        }
    }
}
