//! What the two daemons share: arguments, logs, signals.

pub mod log_writer;
pub mod vm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use wingshed_lib::state::finding::Finding;
use wingshed_lib::state::settings::{read_keeper_settings, read_router_settings};
use wingshed_lib::transport::keeper_node::KeeperNode;
use wingshed_lib::transport::router_node::RouterNode;

/// Which daemon runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonRole {
    /// `wingshed-router`.
    Router,
    /// `wingshed-keeper`.
    Keeper,
}

/// a wingshed daemon
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in JSON
    #[argh(option)]
    settings: PathBuf,
    /// write logs as JSON
    #[argh(switch)]
    json_logs: bool,
    /// which logs to write, such as info or wingshed_lib=debug
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

/// Threads are many, so their stacks are small; the main thread sets this before any other.
const STACK_BYTES: &str = "262144";

/// Runs a daemon to its end.
pub fn run_daemon(role: DaemonRole) -> ExitCode {
    std::env::set_var("RUST_MIN_STACK", STACK_BYTES);
    let arguments: Arguments = argh::from_env();
    start_logs(&arguments);
    // Registered before the node starts, so that no early signal is lost.
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => return fail(&format!("cannot take signals: {error}")),
    };
    let text = match std::fs::read_to_string(&arguments.settings) {
        Ok(text) => text,
        Err(error) => return fail(&format!("{}: {error}", arguments.settings.display())),
    };
    match role {
        DaemonRole::Router => run_router(&arguments.settings, &text, &mut signals),
        DaemonRole::Keeper => run_keeper(&arguments.settings, &text, &mut signals),
    }
}

fn start_logs(arguments: &Arguments) {
    let filter = tracing_subscriber::EnvFilter::new(&arguments.log);
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let logs = logs.with_target(false).with_ansi(false);
    match arguments.json_logs {
        true => logs.json().init(),
        false => logs.init(),
    }
}

fn run_router(path: &Path, text: &str, signals: &mut Signals) -> ExitCode {
    let settings = match read_router_settings(text) {
        Ok(settings) => settings,
        Err(findings) => return fail_settings(path, &findings),
    };
    match RouterNode::start(settings) {
        Err(error) => fail(&error.to_string()),
        Ok(node) => {
            wait_for_signal(signals, || node.is_told_to_leave());
            match node.drain() {
                true => ExitCode::SUCCESS,
                false => fail("requests were in flight at the end of the drain"),
            }
        }
    }
}

fn run_keeper(path: &Path, text: &str, signals: &mut Signals) -> ExitCode {
    let settings = match read_keeper_settings(text) {
        Ok(settings) => settings,
        Err(findings) => return fail_settings(path, &findings),
    };
    match KeeperNode::start(settings) {
        Err(error) => fail(&error.to_string()),
        Ok(node) => {
            wait_for_signal(signals, || node.failure().is_some());
            if let Some(text) = node.failure() {
                return fail(&text);
            }
            node.stop_planned();
            ExitCode::SUCCESS
        }
    }
}

fn wait_for_signal(signals: &mut Signals, ended: impl Fn() -> bool) {
    while signals.pending().next().is_none() && !ended() {
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn fail(text: &str) -> ExitCode {
    eprintln!("wingshed: {text}");
    ExitCode::FAILURE
}

fn fail_settings(path: &Path, findings: &[Finding]) -> ExitCode {
    for finding in findings {
        eprintln!("{}: {finding}", path.display());
    }
    ExitCode::FAILURE
}
