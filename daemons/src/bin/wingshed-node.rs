//! The main function of a VM of the fleet on the users' platform. Every VM is a router, and also a keeper if it
//! has a disk.

use std::process::ExitCode;

fn main() -> ExitCode {
    wingshed_daemons::vm::run_vm()
}
