//! Schedules that broke a promise once, or that a seed draws too seldom.
//!
//! They are kept as steps, since another draw of the schedule would change what a seed means.

use crate::schedule::{Disturbance, PlannedStep, VersionFault};

/// A schedule with a name.
pub struct SoakCase {
    /// Its name.
    pub name: &'static str,
    /// What was, or would be, at fault.
    pub cause: &'static str,
    /// Its steps.
    pub steps: Vec<PlannedStep>,
}

fn step(at_ms: u64, disturbance: Disturbance) -> PlannedStep {
    PlannedStep { at_ms, disturbance }
}

/// Steps in order of time, as they are played.
fn in_time(steps: impl Iterator<Item = PlannedStep>) -> Vec<PlannedStep> {
    let mut steps: Vec<PlannedStep> = steps.collect();
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// All cases.
pub fn cases() -> Vec<SoakCase> {
    let mut cases = order_cases();
    cases.extend(process_cases());
    cases
}

/// Cases of orders, and of what is to be in force.
fn order_cases() -> Vec<SoakCase> {
    vec![
        SoakCase {
            name: "leaving-beside-unreadable-entries",
            cause: "a list with one entry that can't be read was not read at all",
            steps: vec![
                step(500, Disturbance::ListEntries(14_000)),
                step(2_000, Disturbance::LeaveUpstream(0, 12_000)),
            ],
        },
        SoakCase {
            name: "started-beside-unreadable-entries",
            cause: "a VM that starts beside entries that can't be read has no list",
            steps: vec![
                step(500, Disturbance::ListEntries(60_000)),
                step(1_000, Disturbance::KillAll),
            ],
        },
        SoakCase {
            name: "key-taken-away-from-a-cut-leader",
            cause: "a VM that is cut off serves a key that was taken away meanwhile",
            steps: (0..3)
                .flat_map(|vm| {
                    let at_ms = 1_000 + vm as u64 * 9_000;
                    let silent = crate::link::LinkMode::Silent;
                    [
                        step(at_ms, Disturbance::PeerLinks(vm, silent, silent, 7_500)),
                        step(at_ms + 50, Disturbance::RevokeKey),
                    ]
                })
                .collect(),
        },
        SoakCase {
            name: "emptied-zone-in-calm",
            cause: "a VM goes on sending to a zone that was emptied",
            steps: vec![step(1_000, Disturbance::EmptyZone(1, 9_000))],
        },
    ]
}

/// Cases of processes that end.
fn process_cases() -> Vec<SoakCase> {
    vec![
        SoakCase {
            name: "streams-cut-partway",
            cause: "what was left of a cut event is joined to the next run's first",
            steps: (0..24)
                .map(|at| {
                    step(
                        1_000 + 500 * at,
                        Disturbance::RestartUpstream(at as usize % 3, false, 300),
                    )
                })
                .collect(),
        },
        SoakCase {
            name: "answers-that-break-off",
            cause: "the end of the transport is taken for the end of the message",
            steps: vec![step(500, Disturbance::EndEarly(0, 6, 15_000))],
        },
        SoakCase {
            name: "roll-outs-in-calm",
            cause: "an unsound version gets too much, or a sound one is rolled back",
            steps: vec![
                step(500, Disturbance::RollOut(0, 10, VersionFault::Fails)),
                step(22_000, Disturbance::RollOut(0, 10, VersionFault::None)),
                step(38_000, Disturbance::RollOut(0, 10, VersionFault::Slow)),
            ],
        },
        SoakCase {
            name: "roll-outs-unsound-later",
            cause: "a version that turns unsound during the trial, or after it, gets too much",
            steps: vec![
                step(500, Disturbance::RollOut(0, 14, VersionFault::FailsLater)),
                step(27_000, Disturbance::RollOut(0, 8, VersionFault::FailsLater)),
            ],
        },
        SoakCase {
            name: "roll-out-over-kills-of-all",
            cause: "an order, or its end, is lost with the VMs that know it",
            steps: vec![
                step(500, Disturbance::RollOut(0, 12, VersionFault::None)),
                step(2_800, Disturbance::KillAll),
                step(10_000, Disturbance::KillAll),
                step(16_000, Disturbance::KillAll),
            ],
        },
        SoakCase {
            name: "request-that-ends-upstreams",
            cause: "nothing knows a request again that ended upstreams, and it is sent on",
            steps: vec![step(500, Disturbance::FatalRequest(1, 16_000))],
        },
        SoakCase {
            name: "request-that-ends-upstreams-over-kills-of-all",
            cause: "what is known against a request is lost with the VMs that know it",
            steps: vec![
                step(500, Disturbance::FatalRequest(1, 6_000)),
                step(9_000, Disturbance::KillAll),
                step(18_000, Disturbance::FatalRequest(1, 12_000)),
            ],
        },
        SoakCase {
            name: "rest-over-stops-and-stand-stills",
            cause: "an upstream that asks for rest is sent requests on",
            steps: in_time(
                (0..6)
                    .map(|at| {
                        let upstream = at as usize;
                        step(
                            500 + 3_000 * at,
                            Disturbance::TireUpstreams(upstream, 3, 2_800, 2_000),
                        )
                    })
                    .chain([
                        step(4_000, Disturbance::StopVm(0)),
                        step(9_000, Disturbance::FreezeVm(1, 1_500)),
                        step(12_000, Disturbance::KillVm(2, 300)),
                    ]),
            ),
        },
        SoakCase {
            name: "leaving-that-no-list-shows",
            cause: "an upstream that says in answers that it leaves is sent requests on",
            steps: (0..4)
                .map(|at| step(500 + 1_500 * at, Disturbance::LeaveUnlisted(at as usize, 9_000)))
                .collect(),
        },
        SoakCase {
            name: "started-again-while-leaving",
            cause: "requests to the next life of an upstream that left were held against the VMs",
            steps: vec![
                step(500, Disturbance::LeaveUpstream(2, 5_192)),
                step(2_825, Disturbance::RestartUpstream(2, true, 3_525)),
            ],
        },
        SoakCase {
            name: "all-stopped-at-once",
            cause: "planned stops of all VMs within a second cut requests",
            steps: (0..3)
                .map(|vm| step(2_000 + 300 * vm, Disturbance::StopVm(vm as usize)))
                .collect(),
        },
        SoakCase {
            name: "frozen-and-told-to-stop",
            cause: "SIGTERM that comes while a VM stands still is acted on late",
            steps: vec![
                step(1_000, Disturbance::FreezeVm(0, 6_000)),
                step(1_500, Disturbance::StopVm(0)),
                step(2_500, Disturbance::FreezeVm(1, 3_000)),
                step(2_600, Disturbance::StopVm(1)),
            ],
        },
    ]
}
