//! `wingshed bench`: the measurements behind the design notes, one subcommand each.

use argh::FromArgs;

use crate::bench_rollouts::{self, RolloutsOptions};
use crate::{
    bench_classes, bench_control, bench_decision, bench_keeper, bench_relay, bench_rollout_cost,
};

/// run a measurement: decision, relay, streams, keeper, control, classes, rollouts, rollout-cost or
/// memory
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// the measurement to run
    #[argh(positional)]
    what: String,
    /// rollouts: how many orders to simulate for each case
    #[argh(option)]
    seeds: Option<u64>,
    /// rollouts: simulate only this number of requests per second
    #[argh(option)]
    rate: Option<u64>,
    /// rollouts: simulate only orders of this duration
    #[argh(option)]
    seconds: Option<u64>,
}

/// Runs one measurement.
pub fn run(command: &BenchCommand) -> Result<bool, String> {
    match command.what.as_str() {
        "decision" => bench_decision::decision(),
        "memory" => bench_decision::memory(),
        "relay" => bench_relay::relay()?,
        "streams" => bench_relay::streams()?,
        "keeper" => bench_keeper::keeper()?,
        "classes" => bench_classes::classes()?,
        "control" => bench_control::control()?,
        "rollouts" => {
            let BenchCommand { seeds, rate, seconds, .. } = *command;
            bench_rollouts::rollouts(&RolloutsOptions { seeds, rate, seconds });
        }
        "rollout-cost" => bench_rollout_cost::cost(),
        other => return Err(format!("there is no measurement `{other}`")),
    }
    Ok(true)
}
