//! The main function of `wingshed-router`. On SIGTERM the router drains and stops.

fn main() -> std::process::ExitCode {
    wingshed_daemons::run_daemon(wingshed_daemons::DaemonRole::Router)
}
