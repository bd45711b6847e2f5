//! The router's main: settings in, node out, drain on SIGTERM.

fn main() -> std::process::ExitCode {
    wingshed_daemons::run_daemon(wingshed_daemons::DaemonRole::Router)
}
