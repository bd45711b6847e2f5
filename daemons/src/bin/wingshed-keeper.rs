//! The keeper's main: settings in, node out, hand-over on SIGTERM.

fn main() -> std::process::ExitCode {
    wingshed_daemons::run_daemon(wingshed_daemons::DaemonRole::Keeper)
}
