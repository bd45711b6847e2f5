//! The main function of `wingshed-keeper`. On SIGTERM the keeper hands over its leadership and stops.

fn main() -> std::process::ExitCode {
    wingshed_daemons::run_daemon(wingshed_daemons::DaemonRole::Keeper)
}
