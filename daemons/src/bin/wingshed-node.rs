//! One VM of the fleet on the users' platform: router, and keeper where there is a disk.

use std::process::ExitCode;

fn main() -> ExitCode {
    wingshed_daemons::vm::run_vm()
}
