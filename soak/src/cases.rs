//! Fixed schedules that guard against known failures, or that cover a combination which seeds rarely draw.
//!
//! They are stored as steps and not as seeds, since any change to the drawing of schedules changes what a
//! seed plays.

use wingshed_standin::partition::PartitionForm;

use crate::link::LinkMode;
use crate::schedule::{Disturbance, PlannedStep, VersionFault};

/// A named schedule.
pub struct SoakCase {
    /// The name that selects the case on the command line.
    pub name: &'static str,
    /// The failure that the case guards against.
    pub cause: &'static str,
    /// The steps, in order of time.
    pub steps: Vec<PlannedStep>,
}

fn step(at_ms: u64, disturbance: Disturbance) -> PlannedStep {
    PlannedStep { at_ms, disturbance }
}

/// Sorts steps by time, the order in which they are played.
fn in_time(steps: impl Iterator<Item = PlannedStep>) -> Vec<PlannedStep> {
    let mut steps: Vec<PlannedStep> = steps.collect();
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Returns all cases.
pub fn cases() -> Vec<SoakCase> {
    let mut cases = order_cases();
    cases.extend(process_cases());
    cases.extend(version_cases());
    cases
}

/// Cases of the list of upstreams, of configurations and of zone evacuations.
fn order_cases() -> Vec<SoakCase> {
    vec![
        SoakCase {
            name: "leaving-beside-unreadable-entries",
            cause: "a list with one unreadable entry is discarded as a whole",
            steps: vec![
                step(500, Disturbance::ListEntries(14_000)),
                step(2_000, Disturbance::LeaveUpstream(0, 12_000)),
            ],
        },
        SoakCase {
            name: "started-beside-unreadable-entries",
            cause: "a VM that starts while the list has unreadable entries gets no list",
            steps: vec![
                step(500, Disturbance::ListEntries(60_000)),
                step(1_000, Disturbance::KillAll),
            ],
        },
        SoakCase {
            name: "key-taken-away-from-a-cut-leader",
            cause: "a VM that is cut off from the others accepts a key that was revoked meanwhile",
            steps: (0..3)
                .flat_map(|vm| {
                    let at_ms = 1_000 + vm as u64 * 9_000;
                    let silent = LinkMode::Silent;
                    [
                        step(at_ms, Disturbance::PeerLinks(vm, silent, silent, 7_500)),
                        step(at_ms + 50, Disturbance::RevokeKey),
                    ]
                })
                .collect(),
        },
        SoakCase {
            name: "emptied-zone-in-calm",
            cause: "a VM keeps sending requests to an evacuated zone",
            steps: vec![step(1_000, Disturbance::EmptyZone(1, 9_000))],
        },
    ]
}

/// Cases of VMs and upstreams that end, and of roll-outs.
fn process_cases() -> Vec<SoakCase> {
    vec![
        SoakCase {
            name: "vms-cut-off-from-upstreams",
            cause: "a VM that lost its network to all upstreams refuses what another VM could serve",
            steps: PartitionForm::ALL
                .into_iter()
                .zip([1, 2, 1, 2])
                .enumerate()
                .map(|(at, (form, count))| {
                    let at_ms = 1_000 + 11_000 * at as u64;
                    step(at_ms, Disturbance::CutOffVms(at % 3, count, form, 8_000))
                })
                .collect(),
        },
        SoakCase {
            name: "vms-cut-off-over-stops-and-orders",
            cause: "an isolated VM serves by an older configuration, or a stop cuts what another VM passed on",
            steps: in_time((0..3).flat_map(|at| {
                let at_ms = 1_000 + 10_000 * at;
                let vm = at as usize;
                let form = PartitionForm::ALL[vm];
                [
                    step(at_ms, Disturbance::CutOffVms(vm, 1, form, 9_000)),
                    step(at_ms + 2_000, Disturbance::PutDocument),
                    step(at_ms + 4_000, Disturbance::StopVm((vm + 1) % 3)),
                    step(at_ms + 5_000, Disturbance::RevokeKey),
                ]
            })),
        },
        SoakCase {
            name: "upstreams-that-refuse-connections",
            cause: "an upstream that refused one connection is never used again",
            steps: in_time((0..2).flat_map(|round| {
                let mode = [LinkMode::Refuse, LinkMode::RefuseNew][round];
                (0..6).map(move |upstream| {
                    // One service after the other, so that VMs always reach some upstreams.
                    let at_ms = 1_000 + 12_000 * round as u64 + 4_000 * (upstream / 3) as u64;
                    step(at_ms, Disturbance::UpstreamLink(upstream, mode, 3_400))
                })
            })),
        },
        SoakCase {
            name: "streams-cut-partway",
            cause: "the rest of a truncated event is joined to the first event of the next run",
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
            cause: "the end of the connection is taken for the end of the message",
            steps: vec![step(500, Disturbance::EndEarly(0, 6, 15_000))],
        },
        SoakCase {
            name: "roll-outs-in-calm",
            cause: "an unsound version gets too many requests, or a sound one is rolled back",
            steps: vec![
                step(500, Disturbance::RollOut(0, 10, VersionFault::Fails)),
                step(22_000, Disturbance::RollOut(0, 10, VersionFault::None)),
                step(38_000, Disturbance::RollOut(0, 10, VersionFault::Slow)),
            ],
        },
        SoakCase {
            name: "roll-outs-unsound-later",
            cause: "a version that turns unsound during the trial, or after it, gets too many requests",
            steps: vec![
                step(500, Disturbance::RollOut(0, 14, VersionFault::FailsLater)),
                step(27_000, Disturbance::RollOut(0, 8, VersionFault::FailsLater)),
            ],
        },
        SoakCase {
            name: "roll-out-over-kills-of-all",
            cause: "the order of a roll-out, or its end, is lost when all VMs that hold it are killed",
            steps: vec![
                step(500, Disturbance::RollOut(0, 12, VersionFault::None)),
                step(2_800, Disturbance::KillAll),
                step(10_000, Disturbance::KillAll),
                step(16_000, Disturbance::KillAll),
            ],
        },
        SoakCase {
            name: "request-that-ends-upstreams",
            cause: "a request that crashed upstreams is not recognized when it is repeated, and is sent on",
            steps: vec![step(500, Disturbance::FatalRequest(1, 16_000))],
        },
        SoakCase {
            name: "request-that-ends-upstreams-over-kills-of-all",
            cause: "the crashes recorded for a request are lost when all VMs that hold them are killed",
            steps: vec![
                step(500, Disturbance::FatalRequest(1, 6_000)),
                step(9_000, Disturbance::KillAll),
                step(18_000, Disturbance::FatalRequest(1, 12_000)),
            ],
        },
        SoakCase {
            name: "prompt-parts-that-end-upstreams",
            cause: "requests that share a prompt part which crashes upstreams are sent on, as no two are alike",
            steps: vec![
                step(500, Disturbance::FatalPart(3, 12_000)),
                step(15_000, Disturbance::FatalPart(4, 12_000)),
                step(29_000, Disturbance::FatalPart(5, 12_000)),
            ],
        },
        SoakCase {
            name: "brittle-upstreams",
            cause: "upstreams that fall over at too many rejections are sent what they have no room for",
            steps: vec![
                step(500, Disturbance::BrittleService(0, 2, 8, 12_000)),
                step(14_000, Disturbance::BrittleService(1, 1, 5, 12_000)),
            ],
        },
        SoakCase {
            name: "rest-over-stops-and-stand-stills",
            cause: "an upstream that requested back-off keeps receiving requests",
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
            cause: "an upstream that announces in its answers that it leaves keeps receiving requests",
            steps: (0..4)
                .map(|at| step(500 + 1_500 * at, Disturbance::LeaveUnlisted(at as usize, 9_000)))
                .collect(),
        },
        SoakCase {
            name: "started-again-while-leaving",
            cause: "requests to the next incarnation of an upstream that left are counted as faults of the VMs",
            steps: vec![
                step(500, Disturbance::LeaveUpstream(2, 5_192)),
                step(2_825, Disturbance::RestartUpstream(2, true, 3_525)),
            ],
        },
        SoakCase {
            name: "all-stopped-at-once",
            cause: "planned stops of all VMs within a second cut requests off",
            steps: (0..3)
                .map(|vm| step(2_000 + 300 * vm, Disturbance::StopVm(vm as usize)))
                .collect(),
        },
        SoakCase {
            name: "frozen-and-told-to-stop",
            cause: "a VM acts late on a SIGTERM that arrives while it is suspended",
            steps: vec![
                step(1_000, Disturbance::FreezeVm(0, 6_000)),
                step(1_500, Disturbance::StopVm(0)),
                step(2_500, Disturbance::FreezeVm(1, 3_000)),
                step(2_600, Disturbance::StopVm(1)),
            ],
        },
    ]
}

/// Cases of versions that serve side by side without an order, while streams are cut off.
fn version_cases() -> Vec<SoakCase> {
    let front = |at_ms, vm| step(at_ms, Disturbance::FrontLink(vm, LinkMode::Reset, 50));
    vec![
        SoakCase {
            name: "versions-over-cut-streams",
            cause:
                "a stream goes on at another version, or isn't resumed though its version serves",
            steps: in_time(
                [step(300, Disturbance::MixVersions(0, 24_000, true))]
                    .into_iter()
                    .chain((0..40).map(|at| front(2_500 + 600 * at, at as usize % 3))),
            ),
        },
        SoakCase {
            name: "versions-over-kills",
            cause: "where a stream began is lost with the VM that began it",
            steps: in_time(
                [step(300, Disturbance::MixVersions(0, 26_000, false))].into_iter().chain(
                    (0..6).flat_map(|at| {
                        let at_ms = 3_000 + 4_200 * at;
                        let vm = at as usize % 3;
                        let cut = LinkMode::Silent;
                        let disturbance = match at {
                            0..=1 => Disturbance::KillVm(vm, 500),
                            2 => Disturbance::PeerLinks(vm, cut, cut, 2_500),
                            3 => Disturbance::FreezeVm(vm, 1_500),
                            4 => Disturbance::StopVm(vm),
                            _ => Disturbance::KillAll,
                        };
                        [step(at_ms, disturbance), front(at_ms + 100, vm)]
                    }),
                ),
            ),
        },
        SoakCase {
            name: "versions-over-crashes",
            cause: "a stream that its upstream broke off is continued at another version",
            steps: in_time(
                [
                    step(300, Disturbance::MixVersions(0, 22_000, true)),
                    step(2_000, Disturbance::EndEarly(0, 2, 20_000)),
                    step(3_000, Disturbance::EndEarly(6, 2, 18_000)),
                ]
                .into_iter()
                .chain((0..10).map(|at| {
                    let upstream = [2, 8][at as usize % 2];
                    step(3_000 + 2_000 * at, Disturbance::RestartUpstream(upstream, false, 700))
                })),
            ),
        },
    ]
}
