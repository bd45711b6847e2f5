//! Draws the schedule of a run: its disturbances and their times. The same seed gives the same schedule.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingshed_standin::partition::PartitionForm;

use crate::link::LinkMode;

/// The fault of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    /// The version is sound.
    None,
    /// Three in ten answers are failures.
    Fails,
    /// Half of the answers are late.
    Slow,
    /// Three in ten answers are failures, but only from [`UNSOUND_AFTER_MS`] after the start of the upstream
    /// on.
    FailsLater,
}

/// Milliseconds after the start of an upstream at which [`VersionFault::FailsLater`] takes effect.
pub const UNSOUND_AFTER_MS: u128 = 7_000;

impl VersionFault {
    /// Whether the run of this number shows the fault, if it takes place `age_ms` after the start of the
    /// upstream.
    pub fn is_bad(self, run: u64, age_ms: u128) -> bool {
        match self {
            VersionFault::None => false,
            VersionFault::Fails => run % 10 < 3,
            VersionFault::Slow => run % 2 == 0,
            VersionFault::FailsLater => age_ms > UNSOUND_AFTER_MS && run % 10 < 3,
        }
    }
}

/// One kind of disturbance or order, with its parameters. Times are in milliseconds unless stated otherwise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// Sends SIGTERM to a VM, and starts it again once it has ended.
    StopVm(usize),
    /// Sends SIGKILL to a VM, and starts it again after this time.
    KillVm(usize, u64),
    /// Sends SIGKILL to all VMs, and starts them again.
    KillAll,
    /// Sends SIGSTOP to a VM, and SIGCONT after this time.
    FreezeVm(usize, u64),
    /// Changes the settings of a VM and sends it SIGHUP. If the flag is set, the settings
    /// file can't be parsed. Valid settings and another SIGHUP follow shortly after.
    ReloadVm(usize, bool),
    /// Prevents a VM's files from growing for this time.
    FailDisk(usize, u64),
    /// Crashes an upstream and starts it again after this time, under the same id if the flag is set.
    RestartUpstream(usize, bool, u64),
    /// Lists an upstream as leaving, ends it after this time, and starts another incarnation.
    LeaveUpstream(usize, u64),
    /// Makes an upstream announce in its answers that it leaves, which the list never shows. It ends after
    /// this time, and another incarnation is started.
    LeaveUnlisted(usize, u64),
    /// Makes upstreams refuse all requests and request back-off each time. Parameters: the first upstream,
    /// how many upstreams, the duration, and the back-off that they request.
    TireUpstreams(usize, usize, u64, u64),
    /// Makes an upstream fail, cut off or mix up part of its plain answers for this time.
    FaultyUpstream(usize, u64),
    /// Makes three in four answers of some upstreams break off. Parameters: the first upstream, how many
    /// upstreams, and the duration.
    EndEarly(usize, usize, u64),
    /// Disturbs the link of VMs to an upstream for this time.
    UpstreamLink(usize, LinkMode, u64),
    /// Partitions VMs from all upstreams, while callers and the other VMs reach them. Parameters: the first
    /// VM, how many VMs, the form, and the duration.
    CutOffVms(usize, usize, PartitionForm, u64),
    /// Disturbs the links between a VM and all others for this time: first those to it, then those from it.
    PeerLinks(usize, LinkMode, LinkMode, u64),
    /// Disturbs the link of callers to a VM for this time.
    FrontLink(usize, LinkMode, u64),
    /// Disturbs the link to the list of upstreams for this time.
    ListLink(LinkMode, u64),
    /// Adds entries that can't be parsed to the list of upstreams for this time.
    ListEntries(u64),
    /// Puts a configuration that may move a route to another service.
    PutDocument,
    /// Puts a configuration that replaces a key by a new one.
    RevokeKey,
    /// Puts a configuration that is not valid.
    PutInvalid,
    /// Orders that a service's traffic is moved to a new version within this many seconds.
    RollOut(usize, u64, VersionFault),
    /// Starts upstreams of another version beside those of a service, without an order, and retires those of one
    /// version after this time, one after the other: the earlier ones if the flag is set.
    MixVersions(usize, u64, bool),
    /// Evacuates a zone for this time.
    EmptyZone(usize, u64),
    /// Sends the request of this number, which crashes each upstream that runs it, to all VMs again and again
    /// for this time.
    FatalRequest(u64, u64),
    /// Sends requests with the prompt part of this number, which crashes each upstream that runs one, to all VMs
    /// for this time.
    FatalPart(u64, u64),
    /// Makes the upstreams of a service brittle for this time. Parameters: the service, how many requests an
    /// upstream runs at a time, how many it may reject per second, and the duration.
    BrittleService(usize, u32, u32, u64),
}

/// A disturbance and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStep {
    /// When the disturbance starts, in milliseconds after the start of the schedule.
    pub at_ms: u64,
    /// The disturbance.
    pub disturbance: Disturbance,
}

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSize {
    /// Number of VMs, of which the first three have a disk.
    pub vms: usize,
    /// Number of upstreams, spread over the services and zones.
    pub upstreams: usize,
    /// Number of callers of each VM.
    pub callers: usize,
    /// Milliseconds during which disturbances start.
    pub disturbed_ms: u64,
}

/// The size of a run without `--large`.
pub const DEFAULT_SIZE: RunSize =
    RunSize { vms: 3, upstreams: 6, callers: 12, disturbed_ms: 16_000 };

/// The size of a run with `--large`.
pub const LARGE_SIZE: RunSize =
    RunSize { vms: 6, upstreams: 12, callers: 12, disturbed_ms: 40_000 };

/// The size of the runs in the tests.
pub const SHORT_SIZE: RunSize = RunSize { vms: 3, upstreams: 4, callers: 6, disturbed_ms: 6_000 };

/// Seeds that are divisible by this number draw planned work only, so that no fault excuses a request that is
/// cut off.
const PLANNED_SEED_INTERVAL: u64 = 4;
/// The range of planned work in the numbering of [`draw_disturbance`].
const PLANNED_KINDS: std::ops::Range<u32> = 0..14;
/// The range of all kinds in the numbering of [`draw_disturbance`].
const ALL_KINDS: std::ops::Range<u32> = 0..35;

/// Combined with the seed for the draw of requests that crash upstreams, which is thus independent of the
/// others.
const FATAL_SEED_MASK: u64 = 0xfa7a1;

/// Combined with the seed for the draw of upstreams that announce leaving or request back-off, which is thus
/// independent of the others.
const NOTICE_SEED_MASK: u64 = 0x7e57;

/// Combined with the seed for the draw of answers that break off, which is thus independent of the others.
const EARLY_SEED_MASK: u64 = 0xea51;

/// Combined with the seed for the draw of VMs that are partitioned from upstreams, which is thus independent
/// of the others.
const PARTITION_SEED_MASK: u64 = 0xc070ff;

/// Combined with the seed for the draw of prompt parts that crash upstreams and of brittle upstreams, which is
/// thus independent of the others.
const PART_SEED_MASK: u64 = 0x9a27;

/// Combined with the seed for the draw of upstreams that refuse connections, which is thus independent of the
/// others.
const REFUSAL_SEED_MASK: u64 = 0x4ef05e;

/// Combined with the seed for the draw of versions that serve side by side, which is thus independent of the
/// others.
const VERSION_SEED_MASK: u64 = 0x5e75;

/// Draws the schedule of a seed, in order of time.
pub fn schedule(seed: u64, size: RunSize) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed);
    let planned = seed % PLANNED_SEED_INTERVAL == 0;
    let mut steps = Vec::new();
    let mut at_ms = 500;
    while at_ms < size.disturbed_ms {
        // A series of disturbances that overlap, as they start close together, followed by a pause.
        for _ in 0..random.gen_range(1..5) {
            steps.push(PlannedStep {
                at_ms,
                disturbance: draw_disturbance(&mut random, size, planned),
            });
            at_ms += random.gen_range(20..400);
        }
        at_ms += random.gen_range(300..3_500);
    }
    if !planned {
        add_fatal(&mut steps, seed, size);
        add_early(&mut steps, seed, size);
        add_partitions(&mut steps, seed, size);
        add_fatal_part(&mut steps, seed, size);
        add_brittle(&mut steps, seed, size);
        add_refusals(&mut steps, seed, size);
    }
    add_notices(&mut steps, seed, size);
    add_versions(&mut steps, seed, size);
    steps
}

/// Adds versions that serve side by side without an order, to five seeds in nine.
fn add_versions(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ VERSION_SEED_MASK);
    for service in 0..2 {
        if random.gen_ratio(1, 3) {
            let at_ms = random.gen_range(500..size.disturbed_ms / 2);
            let ms = random.gen_range(4_000..14_000);
            let disturbance = Disturbance::MixVersions(service, ms, random.gen());
            steps.push(PlannedStep { at_ms, disturbance });
        }
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds upstreams that announce in their answers that they leave or request back-off. They are drawn by a
/// generator of their own, so the other steps of a seed do not depend on them.
fn add_notices(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ NOTICE_SEED_MASK);
    for _ in 0..random.gen_range(0..4) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let upstream = random.gen_range(0..size.upstreams);
        let disturbance = match random.gen_range(0..4) {
            0 => Disturbance::LeaveUnlisted(upstream, random.gen_range(5_500..9_000)),
            kind => {
                // One kind of three affects all upstreams at once.
                let count = if kind == 1 { size.upstreams } else { random.gen_range(1..3) };
                let (ms, backoff_ms) = (random.gen_range(300..6_000), random.gen_range(200..4_000));
                Disturbance::TireUpstreams(upstream, count, ms, backoff_ms)
            }
        };
        steps.push(PlannedStep { at_ms, disturbance });
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds a prompt part that crashes upstreams, to one seed in three.
fn add_fatal_part(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ PART_SEED_MASK);
    if random.gen_ratio(1, 3) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let disturbance = Disturbance::FatalPart(seed, random.gen_range(6_000..14_000));
        steps.push(PlannedStep { at_ms, disturbance });
        steps.sort_by_key(|step| step.at_ms);
    }
}

/// Adds a service whose upstreams are brittle, to one seed in three.
fn add_brittle(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(!seed ^ PART_SEED_MASK);
    if random.gen_ratio(1, 3) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let (slots, limit) = (random.gen_range(1..8), random.gen_range(4..30));
        let (service, ms) = (random.gen_range(0..2), random.gen_range(5_000..12_000));
        let disturbance = Disturbance::BrittleService(service, slots, limit, ms);
        steps.push(PlannedStep { at_ms, disturbance });
        steps.sort_by_key(|step| step.at_ms);
    }
}

/// Adds VMs that are partitioned from all upstreams: some, most or all of them. They are drawn by a generator
/// of their own, so the other steps of a seed do not depend on them.
fn add_partitions(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ PARTITION_SEED_MASK);
    for _ in 0..random.gen_range(0..3) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let (vm, count) = (random.gen_range(0..size.vms), random.gen_range(1..=size.vms));
        let form = PartitionForm::ALL[random.gen_range(0..PartitionForm::ALL.len())];
        let ms = random.gen_range(1_000..10_000);
        steps.push(PlannedStep { at_ms, disturbance: Disturbance::CutOffVms(vm, count, form, ms) });
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds upstreams that run on while their addresses refuse connections: one, some or all of them. They are drawn
/// by a generator of their own, so the other steps of a seed do not depend on them.
fn add_refusals(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ REFUSAL_SEED_MASK);
    for _ in 0..random.gen_range(0..4) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let (first, count) =
            (random.gen_range(0..size.upstreams), random.gen_range(1..=size.upstreams));
        let mode = if random.gen() { LinkMode::Refuse } else { LinkMode::RefuseNew };
        let ms = random.gen_range(300..5_000);
        steps.extend((first..first + count).map(|upstream| {
            let upstream = upstream % size.upstreams;
            PlannedStep { at_ms, disturbance: Disturbance::UpstreamLink(upstream, mode, ms) }
        }));
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds upstreams whose answers break off. They are drawn by a generator of their own, so the other steps of
/// a seed do not depend on them.
fn add_early(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ EARLY_SEED_MASK);
    for _ in 0..random.gen_range(1..4) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let (upstream, count) = (random.gen_range(0..size.upstreams), random.gen_range(1..4));
        let ms = random.gen_range(1_000..6_000);
        steps.push(PlannedStep { at_ms, disturbance: Disturbance::EndEarly(upstream, count, ms) });
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds a request that crashes upstreams to about half of the schedules. It is drawn by a generator of its
/// own, so the other steps of a seed do not depend on it.
fn add_fatal(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ FATAL_SEED_MASK);
    if random.gen() {
        return;
    }
    let at_ms = random.gen_range(500..size.disturbed_ms / 2);
    let disturbance = Disturbance::FatalRequest(seed, random.gen_range(4_000..12_000));
    steps.push(PlannedStep { at_ms, disturbance });
    steps.sort_by_key(|step| step.at_ms);
}

/// Draws one disturbance, of planned work only if `planned`.
fn draw_disturbance(random: &mut StdRng, size: RunSize, planned: bool) -> Disturbance {
    let vm = random.gen_range(0..size.vms);
    let upstream = random.gen_range(0..size.upstreams);
    let ms = random.gen_range(100..4_000);
    let kinds = if planned { PLANNED_KINDS } else { ALL_KINDS };
    match random.gen_range(kinds) {
        0..=3 => Disturbance::StopVm(vm),
        4 => Disturbance::ReloadVm(vm, random.gen()),
        5..=6 => Disturbance::LeaveUpstream(upstream, 4_500 + ms),
        7..=8 => Disturbance::PutDocument,
        9 => Disturbance::RevokeKey,
        10 => Disturbance::PutInvalid,
        11 => Disturbance::EmptyZone(random.gen_range(0..3), 9_000 + 2 * ms),
        12..=13 => {
            let faults = [VersionFault::None, VersionFault::Fails, VersionFault::Slow];
            let fault = faults[random.gen_range(0..3)];
            Disturbance::RollOut(random.gen_range(0..2), random.gen_range(8..14), fault)
        }
        14 => Disturbance::ListEntries(3 * ms),
        15 => Disturbance::KillAll,
        16..=18 => Disturbance::KillVm(vm, ms),
        19..=21 => Disturbance::FreezeVm(vm, 2 * ms),
        22 => Disturbance::FailDisk(vm, ms),
        23..=24 => Disturbance::RestartUpstream(upstream, random.gen(), ms),
        25..=26 => Disturbance::FaultyUpstream(upstream, ms),
        27..=28 => Disturbance::UpstreamLink(upstream, draw_link_mode(random), ms),
        29..=32 => {
            let (incoming, outgoing) = draw_partition(random);
            Disturbance::PeerLinks(vm, incoming, outgoing, 2 * ms)
        }
        33 => Disturbance::FrontLink(vm, draw_link_mode(random), ms),
        _ => Disturbance::ListLink(draw_link_mode(random), ms),
    }
}

/// Draws the modes of the links to a VM and from it: both silent, one of them silent, or both slow.
fn draw_partition(random: &mut StdRng) -> (LinkMode, LinkMode) {
    match random.gen_range(0..5) {
        0..=1 => (LinkMode::Silent, LinkMode::Silent),
        2 => (LinkMode::Silent, LinkMode::Open),
        3 => (LinkMode::Open, LinkMode::Silent),
        _ => {
            let slow = LinkMode::Delay(random.gen_range(20..300));
            (slow, slow)
        }
    }
}

/// Draws the mode of a disturbed link.
fn draw_link_mode(random: &mut StdRng) -> LinkMode {
    match random.gen_range(0..5) {
        0 => LinkMode::Delay(random.gen_range(20..400)),
        1 => LinkMode::Reset,
        2 => LinkMode::HoldForward,
        3 => LinkMode::HoldBack,
        _ => LinkMode::Silent,
    }
}
