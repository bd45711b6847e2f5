//! Orders of roll-outs for tests.

use wingshed_lib::coordination::rollout_evidence::RouteKey;
use wingshed_lib::coordination::rollout_share::ExposureBound;
use wingshed_lib::state::rollout_order::{
    RolloutCommand, RolloutOrder, RolloutPhase, RolloutStep, RolloutTable, VersionKey,
};

/// The bound of the test deployment on requests to an unsound version.
pub const BOUND: ExposureBound = ExposureBound { share: 0.1, slack: 50.0 };
/// The route that the tests use.
pub const ROUTE: RouteKey = RouteKey(7);

/// An order of 10 s for `s1`, from `v1` to `v2`.
pub fn order(number: u64) -> RolloutOrder {
    let (service, target) = ("s1".to_string(), "v2".to_string());
    RolloutOrder { service, number, target, duration_ms: 10_000, sharing_vms: 4 }
}

/// A step of that order.
pub fn step(number: u64, step: u64, phase: RolloutPhase) -> RolloutStep {
    let (service, retired) = ("s1".to_string(), vec![VersionKey::of("v1")]);
    RolloutStep { service, number, step, phase, spent_ms: 100 * step, retired }
}

/// Returns a table with one order that went through these phases.
pub fn table(phases: &[RolloutPhase]) -> RolloutTable {
    let mut table = RolloutTable::default();
    assert!(table.apply(RolloutCommand::Start(order(1))));
    for (at, phase) in phases.iter().enumerate() {
        assert!(table.apply(RolloutCommand::Step(step(1, at as u64 + 1, *phase))), "{phase:?}");
    }
    table
}
