//! `wingshed`: the operator's command line. It parses arguments and prints results and hints; the
//! logic is in the library.

mod bench;
mod bench_classes;
mod bench_control;
mod bench_decision;
mod bench_keeper;
mod bench_relay;
mod bench_rollout_cost;
mod bench_rollouts;
mod check;
mod config;
mod demo;
mod explain;
mod fleet;
mod operate;
mod operator_client;
mod process;
mod replay;
mod report;
mod rollout_play;
mod rollout_ways;
mod table;
mod vm_client;

use argh::FromArgs;

/// operate a router fleet that serves a large number of returning chats
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(demo::DemoCommand),
    Trace(replay::TraceCommand),
    Replay(replay::ReplayCommand),
    Report(report::ReportCommand),
    Check(check::CheckCommand),
    Explain(explain::ExplainCommand),
    Bench(bench::BenchCommand),
    Policy(check::PolicyCommand),
    Config(config::ConfigCommand),
    Status(operate::StatusCommand),
    Drain(operate::DrainCommand),
    Keeper(operate::KeeperCommand),
    Orders(operate::OrdersCommand),
    Rollout(fleet::RolloutCommand),
    Zone(fleet::ZoneCommand),
}

fn main() -> std::process::ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Demo(command) => demo::run(&command),
        Command::Trace(command) => replay::make_file(&command),
        Command::Replay(command) => replay::run(&command),
        Command::Report(command) => report::run(&command),
        Command::Bench(command) => bench::run(&command),
        Command::Check(command) => check::run(&command),
        Command::Explain(command) => explain::run(&command),
        Command::Policy(command) => check::policy(&command),
        Command::Config(command) => config::run(&command),
        Command::Status(command) => operate::status(&command),
        Command::Drain(command) => operate::drain(&command),
        Command::Keeper(command) => operate::keeper(&command),
        Command::Orders(command) => operate::orders(&command),
        Command::Rollout(command) => fleet::rollout(&command),
        Command::Zone(command) => fleet::zone(&command),
    };
    match result {
        Ok(true) => std::process::ExitCode::SUCCESS,
        Ok(false) => std::process::ExitCode::FAILURE,
        Err(text) => {
            eprintln!("wingshed: {text}");
            std::process::ExitCode::FAILURE
        }
    }
}
