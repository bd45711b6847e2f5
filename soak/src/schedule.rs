//! The schedule of a run: which disturbance comes when. The same seed gives the same schedule.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::link::LinkMode;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    /// Nothing.
    None,
    /// Three in ten answers are failures.
    Fails,
    /// Half of the answers come late.
    Slow,
    /// As `Fails`, from [`UNSOUND_AFTER_MS`] after the start on.
    FailsLater,
}

/// When a version that is sound at first turns unsound, after its start.
pub const UNSOUND_AFTER_MS: u128 = 7_000;

impl VersionFault {
    /// Whether the run of this number, so long after the upstream's start, is bad.
    pub fn is_bad(self, run: u64, age_ms: u128) -> bool {
        match self {
            VersionFault::None => false,
            VersionFault::Fails => run % 10 < 3,
            VersionFault::Slow => run % 2 == 0,
            VersionFault::FailsLater => age_ms > UNSOUND_AFTER_MS && run % 10 < 3,
        }
    }
}

/// What breaks, or is ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// SIGTERM to a VM; it is started again once it has ended.
    StopVm(usize),
    /// SIGKILL to a VM, and a new start after so many milliseconds.
    KillVm(usize, u64),
    /// SIGKILL to all VMs, and a new start.
    KillAll,
    /// SIGSTOP to a VM, and SIGCONT after so many milliseconds.
    FreezeVm(usize, u64),
    /// SIGHUP to a VM with changed settings; some can't be read.
    ReloadVm(usize, bool),
    /// A VM's files can't grow for so many milliseconds.
    FailDisk(usize, u64),
    /// An upstream crashes and starts again, under its id or another.
    RestartUpstream(usize, bool, u64),
    /// An upstream leaves, ends, and another life comes to its place.
    LeaveUpstream(usize, u64),
    /// An upstream says in its answers that it leaves, which the list never shows; it ends after so many
    /// milliseconds, and another life comes to its place.
    LeaveUnlisted(usize, u64),
    /// Upstreams from this one on, so many of them, turn everything away for so many milliseconds, and each
    /// time ask for so much rest, in milliseconds.
    TireUpstreams(usize, usize, u64, u64),
    /// An upstream fails, cuts or mixes up part of its answers.
    FaultyUpstream(usize, u64),
    /// Three in four answers of upstreams from this one on, so many of them, break off, for so many
    /// milliseconds.
    EndEarly(usize, usize, u64),
    /// The draw_link_mode of VMs to an upstream.
    UpstreamLink(usize, LinkMode, u64),
    /// The links between a VM and all others: what it is sent, and what it sends.
    PeerLinks(usize, LinkMode, LinkMode, u64),
    /// The draw_link_mode of callers to a VM.
    FrontLink(usize, LinkMode, u64),
    /// The list of upstreams can't be had.
    ListLink(LinkMode, u64),
    /// The list holds entries that can't be read.
    ListEntries(u64),
    /// A configuration that moves a route.
    PutDocument,
    /// A configuration that takes a key away.
    RevokeKey,
    /// A configuration that is not valid.
    PutInvalid,
    /// A service's traffic is to be moved to a new version within so many seconds.
    RollOut(usize, u64, VersionFault),
    /// A zone is emptied for so many milliseconds.
    EmptyZone(usize, u64),
    /// The request of this number, which ends each upstream that runs it, comes again and again at all
    /// VMs for so many milliseconds.
    FatalRequest(u64, u64),
}

/// A disturbance and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedStep {
    /// Milliseconds after the start of the schedule.
    pub at_ms: u64,
    /// What happens.
    pub disturbance: Disturbance,
}

/// How large a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunSize {
    /// VMs, of which the first three have a disk.
    pub vms: usize,
    /// Upstreams, in turn of the services and zones.
    pub upstreams: usize,
    /// Callers at each VM.
    pub callers: usize,
    /// How long disturbances come.
    pub disturbed_ms: u64,
}

/// The usual size.
pub const DEFAULT_SIZE: RunSize =
    RunSize { vms: 3, upstreams: 6, callers: 12, disturbed_ms: 16_000 };

/// What `--large` requests for.
pub const LARGE_SIZE: RunSize =
    RunSize { vms: 6, upstreams: 12, callers: 12, disturbed_ms: 40_000 };

/// The size of the runs among the tests.
pub const SHORT_SIZE: RunSize = RunSize { vms: 3, upstreams: 4, callers: 6, disturbed_ms: 6_000 };

/// Each so-many-th seed holds planned work only: nothing then excuses a draw_partition.
const PLANNED_SEED_INTERVAL: u64 = 4;
/// Kinds of planned work, as [`draw_disturbance`] numbers them.
const PLANNED_KINDS: std::ops::Range<u32> = 0..14;
/// All kinds.
const ALL_KINDS: std::ops::Range<u32> = 0..35;

/// Sets the draw_disturbance of requests that end upstreams apart from the others.
const FATAL_SEED_MASK: u64 = 0xfa7a1;

/// Sets the draw_disturbance of what upstreams say of themselves apart from the others.
const NOTICE_SEED_MASK: u64 = 0x7e57;

/// Sets the draw_disturbance of answers that break off apart from the others.
const EARLY_SEED_MASK: u64 = 0xea51;

/// The schedule of a seed, in order of time.
pub fn schedule(seed: u64, size: RunSize) -> Vec<PlannedStep> {
    let mut random = StdRng::seed_from_u64(seed);
    let planned = seed % PLANNED_SEED_INTERVAL == 0;
    let mut steps = Vec::new();
    let mut at_ms = 500;
    while at_ms < size.disturbed_ms {
        // A series: some disturbances close together, which overlap; then a pause.
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
    }
    add_notices(&mut steps, seed, size);
    steps
}

/// Adds upstreams that say something of themselves, likewise by a draw_disturbance of its own.
fn add_notices(steps: &mut Vec<PlannedStep>, seed: u64, size: RunSize) {
    let mut random = StdRng::seed_from_u64(seed ^ NOTICE_SEED_MASK);
    for _ in 0..random.gen_range(0..4) {
        let at_ms = random.gen_range(500..size.disturbed_ms);
        let upstream = random.gen_range(0..size.upstreams);
        let disturbance = match random.gen_range(0..4) {
            0 => Disturbance::LeaveUnlisted(upstream, random.gen_range(5_500..9_000)),
            kind => {
                // All of them at once, now and then.
                let count = if kind == 1 { size.upstreams } else { random.gen_range(1..3) };
                let (ms, backoff_ms) = (random.gen_range(300..6_000), random.gen_range(200..4_000));
                Disturbance::TireUpstreams(upstream, count, ms, backoff_ms)
            }
        };
        steps.push(PlannedStep { at_ms, disturbance });
    }
    steps.sort_by_key(|step| step.at_ms);
}

/// Adds upstreams whose answers break off, likewise by a draw_disturbance of its own.
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

/// Adds a request that ends upstreams to every second schedule, by a draw_disturbance of its own: so a seed's other
/// steps stay what they were.
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
            let (comes, goes) = draw_partition(random);
            Disturbance::PeerLinks(vm, comes, goes, 2 * ms)
        }
        33 => Disturbance::FrontLink(vm, draw_link_mode(random), ms),
        _ => Disturbance::ListLink(draw_link_mode(random), ms),
    }
}

/// How a VM is draw_partition off: both ways, one way, or by slow links.
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

fn draw_link_mode(random: &mut StdRng) -> LinkMode {
    match random.gen_range(0..5) {
        0 => LinkMode::Delay(random.gen_range(20..400)),
        1 => LinkMode::Reset,
        2 => LinkMode::HoldForward,
        3 => LinkMode::HoldBack,
        _ => LinkMode::Silent,
    }
}
