//! The main functions of the daemons: arguments, logs and signals.

pub mod log_sink;
pub mod log_writer;
pub mod vm;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use log_writer::{LogStyle, LogWriter};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use wingshed_lib::state::finding::Finding;
use wingshed_lib::state::settings::{read_keeper_settings, read_router_settings};
use wingshed_lib::transport::keeper_node::KeeperNode;
use wingshed_lib::transport::router_node::RouterNode;

/// The daemon that a process runs.
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
    /// the log filter, such as info or wingshed_lib=debug
    #[argh(option, default = "String::from(\"info\")")]
    log: String,
}

/// The stack size of each thread, in bytes, as `RUST_MIN_STACK` takes it. It is small because a daemon runs many
/// threads. The variable is set before the first thread starts, since it is read only then.
const STACK_BYTES: &str = "262144";

/// Runs a daemon until it terminates, and returns its exit code.
pub fn run_daemon(role: DaemonRole) -> ExitCode {
    std::env::set_var("RUST_MIN_STACK", STACK_BYTES);
    let arguments: Arguments = argh::from_env();
    let logs = start_logs(&arguments);
    let code = match run_role(role, &arguments.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(lines) => {
            lines.iter().for_each(|line| logs.write_line(line));
            ExitCode::FAILURE
        }
    };
    logs.flush();
    code
}

fn start_logs(arguments: &Arguments) -> LogWriter {
    let style = if arguments.json_logs { LogStyle::Json } else { LogStyle::Text };
    let writer = LogWriter::stderr(style);
    let filter = tracing_subscriber::EnvFilter::new(&arguments.log);
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_writer(writer.clone());
    let logs = logs.with_target(false).with_ansi(false);
    match style {
        LogStyle::Json => logs.json().init(),
        LogStyle::Text => logs.init(),
    }
    LogWriter::log_panics();
    writer
}

/// The lines that tell the operator why a daemon failed.
type FailureLines = Vec<String>;

fn run_role(role: DaemonRole, path: &Path) -> Result<(), FailureLines> {
    // The signals are registered before the node starts, so that a signal during the start is not lost.
    let signals = Signals::new([SIGTERM, SIGINT]);
    let mut signals =
        signals.map_err(|error| failure(&format!("cannot register signal handlers: {error}")))?;
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| failure(&format!("{}: {error}", path.display())))?;
    match role {
        DaemonRole::Router => run_router(path, &text, &mut signals),
        DaemonRole::Keeper => run_keeper(path, &text, &mut signals),
    }
}

fn run_router(path: &Path, text: &str, signals: &mut Signals) -> Result<(), FailureLines> {
    let settings =
        read_router_settings(text).map_err(|findings| settings_lines(path, &findings))?;
    let node = RouterNode::start(settings).map_err(|error| failure(&error.to_string()))?;
    wait_for_signal(signals, || node.is_ordered_to_leave());
    match node.drain() {
        true => Ok(()),
        false => Err(failure("requests were in flight at the end of the drain")),
    }
}

fn run_keeper(path: &Path, text: &str, signals: &mut Signals) -> Result<(), FailureLines> {
    let settings =
        read_keeper_settings(text).map_err(|findings| settings_lines(path, &findings))?;
    let node = KeeperNode::start(settings).map_err(|error| failure(&error.to_string()))?;
    wait_for_signal(signals, || node.failure().is_some());
    if let Some(text) = node.failure() {
        return Err(failure(&text));
    }
    node.stop_planned();
    Ok(())
}

fn wait_for_signal(signals: &mut Signals, ended: impl Fn() -> bool) {
    while signals.pending().next().is_none() && !ended() {
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn failure(text: &str) -> FailureLines {
    vec![format!("wingshed: {text}")]
}

fn settings_lines(path: &Path, findings: &[Finding]) -> FailureLines {
    findings.iter().map(|finding| format!("{}: {finding}", path.display())).collect()
}
