//! Simulates one order of a roll-out on the decision code alone: requests, VMs that count and
//! report their answers, and a leader that judges the sums.
//!
//! The result depends only on the case, which includes the seed. The simulation continues as if the
//! target were sound until every method of judging has found it unsound, so that all methods get
//! the same evidence.

use wingshed_lib::coordination::rollout_evidence::{
    EvidenceLedger, EvidenceTable, RolloutArm, RouteKey, RouteSums, TrialOutcome,
};
use wingshed_lib::coordination::rollout_share::{ExposureBound, TrialLedger};

/// The number of routes of the service.
pub const ROUTES: u64 = 10;
/// The bound of a deployment on the requests that an unsound version gets.
pub const BOUND: ExposureBound = ExposureBound { share: 0.1, slack: 50.0 };
/// The number of VMs.
const VMS: u64 = 63;
/// The number of ticks between two reports of a VM.
const REPORT_TICKS: u64 = 6;
/// The length of a tick, in milliseconds. The leader judges once a tick.
pub const TICK_MS: u64 = 50;
/// The number of ticks from a finding until all VMs have it: the leader commits it and sends it to
/// the VMs.
const PUBLISH_TICKS: u64 = 3;
/// How long before the deadline traffic is moved, in milliseconds, but not before half the time.
const MOVE_MS: u64 = 3000;
/// How long before its deadline an order is complete, in milliseconds.
const COMPLETE_MS: u64 = 400;
/// The share of failing answers of all versions, unless the case sets another one.
const FAILURE_SHARE: f64 = 0.003;
/// The share of failing answers on a failing route, of all versions.
const FAILING_ROUTE_SHARE: f64 = 0.14;
/// How long the target's upstreams are cold, in milliseconds.
const COLD_MS: u64 = 3000;
/// How long there is no leader, in milliseconds.
const LEADER_LOST_MS: u64 = 1500;
/// The standard deviation of the logarithm of an answer's time under constant load.
const TIME_SIGMA: f64 = 0.5;
/// The standard deviation of the drift of the target's times. The drift is the logarithm of a
/// factor that varies with the load of the few upstreams on trial.
const DRIFT_SIGMA: f64 = 0.15;
/// The part of the drift that is left after one tick.
const DRIFT_PERSISTENCE: f64 = 0.97;
/// The number of events of a streamed answer.
const STREAM_EVENTS: f64 = 20.0;
/// The factor of the rate and of the times during a burst.
const BURST_FACTOR: f64 = 3.0;
/// How long a crashed upstream still gets requests, in milliseconds.
const CRASH_MS: u64 = 300;
/// The number of ticks for which answers can be scheduled in advance. Longer answers end with the
/// last of them.
const RING_TICKS: usize = 1024;

/// The fault of the target version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetFault {
    /// No fault.
    Sound,
    /// This part of its answers fails.
    Fails(f64),
    /// The first value is the part of its answers that take longer, and the second is the factor.
    Slower(f64, f64),
}

/// When the fault shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTime {
    /// From the start.
    Always,
    /// From the middle of the trial.
    Middle,
    /// During bursts.
    Burst,
    /// Always, but on one route only.
    OneRoute,
}

/// Events during the order that are independent of the target's fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SimSetting {
    /// No events.
    Steady,
    /// During one second in four there are three times as many requests, and all answers take three
    /// times as long.
    Bursts,
    /// The target's upstreams are cold at first: their answers take four times as long, and these
    /// times aren't counted.
    Cold,
    /// The leader is lost, and the next one starts without evidence.
    LeaderLost,
    /// One of the two upstreams on trial crashes: the requests that it runs fail, and for a while
    /// so do those that it is sent.
    Crash,
    /// One route fails everywhere.
    FailingRoute,
    /// All routes fail everywhere.
    AllFailing,
}

/// One case to simulate.
#[derive(Clone, Copy, Debug)]
pub struct SimCase {
    /// The fault of the target version.
    pub fault: TargetFault,
    /// When the fault shows.
    pub time: FaultTime,
    /// Events that are independent of the fault.
    pub setting: SimSetting,
    /// The mean number of requests per second outside bursts.
    pub rate: u64,
    /// The duration of the order, in seconds.
    pub seconds: u64,
    /// The seed of the random numbers.
    pub seed: u64,
}

impl SimCase {
    fn ticks(&self) -> u64 {
        self.seconds * 1000 / TICK_MS
    }

    fn mean_requests(&self, tick: u64) -> f64 {
        let burst = if self.in_burst(tick) { BURST_FACTOR } else { 1.0 };
        burst * (self.rate * TICK_MS) as f64 / 1000.0
    }

    fn move_tick(&self) -> u64 {
        let all_ms = self.seconds * 1000;
        (all_ms / 2).max(all_ms.saturating_sub(MOVE_MS)) / TICK_MS
    }

    /// Returns when traffic is moved to the target, in milliseconds since the start of the order.
    pub fn move_ms(&self) -> u64 {
        self.move_tick() * TICK_MS
    }

    fn in_burst(&self, tick: u64) -> bool {
        let bursts = self.setting == SimSetting::Bursts || self.time == FaultTime::Burst;
        bursts && (1000..2000).contains(&(tick * TICK_MS % 4000))
    }

    /// Whether there is no leader in this tick.
    fn has_no_leader(&self, tick: u64) -> bool {
        let from = self.move_tick() / 2;
        let lost = from..from + LEADER_LOST_MS / TICK_MS;
        self.setting == SimSetting::LeaderLost && lost.contains(&tick)
    }

    /// Whether the crashed upstream fails the requests of this tick.
    fn is_crashing(&self, tick: u64) -> bool {
        let from = self.move_tick() / 2;
        let refuses = from..from + CRASH_MS / TICK_MS;
        self.setting == SimSetting::Crash && refuses.contains(&tick)
    }

    /// Whether the fault shows in this tick and on this route.
    fn fault_shows(&self, tick: u64, route: u64) -> bool {
        match self.time {
            FaultTime::Always => true,
            FaultTime::Middle => tick >= self.move_tick() / 2,
            FaultTime::Burst => self.in_burst(tick),
            FaultTime::OneRoute => route == 0,
        }
    }
}

/// A method of judging. It gets the sums, the time in milliseconds, and whether a new leader starts
/// in this tick, and returns true if the target is unsound.
pub type JudgeMethod<'a> = Box<dyn FnMut(&[RouteSums], u64, bool) -> bool + 'a>;

/// The result of a simulation for one method of judging.
#[derive(Clone, Copy, Debug)]
pub struct MethodResult {
    /// When the target was found unsound, in milliseconds, if it was before the order was complete.
    pub found_ms: Option<u64>,
    /// The number of requests that went to the target until all VMs had the finding.
    pub exposed: u64,
}

/// The result of a simulation.
#[derive(Clone, Debug)]
pub struct SimResult {
    /// The results of the methods of judging, in their order.
    pub methods: Vec<MethodResult>,
    /// The number of requests that may go to an unsound target.
    pub bound: f64,
    /// When the 50th bad answer ended, in milliseconds, if it ended before every method had found
    /// the target unsound.
    pub fiftieth_ms: Option<u64>,
    /// The leader's sums when traffic was moved.
    pub sums_at_move: Vec<RouteSums>,
}

/// A random number generator (splitmix64).
struct SimRandom {
    state: u64,
}

impl SimRandom {
    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number that is uniform in 0..1.
    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number with an approximately standard normal distribution: the scaled sum of the
    /// four 16-bit parts of a word, each of which is uniform.
    fn normal(&mut self) -> f64 {
        let word = self.next();
        let quarters: u64 = (0..4).map(|at| (word >> (16 * at)) & 0xffff).sum();
        (quarters as f64 / 65536.0 - 2.0) * 3f64.sqrt()
    }

    /// Returns a number of arrivals with a Poisson distribution.
    fn arrivals(&mut self, mean: f64) -> u64 {
        let (end, mut product, mut count) = ((-mean).exp(), self.unit(), 0);
        while product > end {
            product *= self.unit();
            count += 1;
        }
        count
    }
}

/// An answer that ends in a later tick.
struct SimAnswer {
    vm: usize,
    route: u64,
    arm: RolloutArm,
    outcome: TrialOutcome,
    /// Whether it counts as a bad answer of the target.
    bad: bool,
}

/// The state of a simulation.
struct SimState<'a> {
    case: &'a SimCase,
    random: SimRandom,
    vms: Vec<(EvidenceLedger, TrialLedger)>,
    /// The answers that end in each of the coming ticks, by tick modulo [`RING_TICKS`].
    ring: Vec<Vec<SimAnswer>>,
    /// The logarithm of the factor of the target's times.
    drift: f64,
    exposed: u64,
    bad: u64,
    fiftieth_ms: Option<u64>,
}

impl<'a> SimState<'a> {
    fn new(case: &'a SimCase) -> SimState<'a> {
        let mut random = SimRandom { state: case.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) };
        let vm = |_| {
            let trial = TrialLedger::new(BOUND, Some(VMS as u32), random.next());
            (EvidenceLedger::new(1), trial)
        };
        let vms = (0..VMS).map(vm).collect();
        let ring = (0..RING_TICKS).map(|_| Vec::new()).collect();
        let (drift, exposed, bad) = (0.0, 0, 0);
        SimState { case, random, vms, ring, drift, exposed, bad, fiftieth_ms: None }
    }

    /// Sends one request through a random VM on a random route, and schedules its answer.
    fn send(&mut self, tick: u64) {
        let vm = (self.random.next() % VMS) as usize;
        let route = self.random.next() % ROUTES;
        let key = RouteKey(route as u32 + 1);
        let trial = &mut self.vms[vm].1;
        let moved = tick >= self.case.move_tick();
        let to_target = moved || trial.may_send_to_target(key);
        if !moved {
            trial.note_sent(key, to_target);
        }
        self.exposed += u64::from(to_target);
        let (answer, took_ms) = self.answer(tick, vm, route, to_target);
        let delay_ticks = (took_ms / TICK_MS as f64).ceil().min(RING_TICKS as f64 - 1.0) as u64;
        self.ring[((tick + delay_ticks) % RING_TICKS as u64) as usize].push(answer);
    }

    /// Draws the answer to a request, and the time until it ends, in milliseconds.
    fn answer(&mut self, tick: u64, vm: usize, route: u64, target: bool) -> (SimAnswer, f64) {
        let case = self.case;
        let fault_shows = target && case.fault_shows(tick, route);
        let (mut failure_share, mut time_factor) =
            (FAILURE_SHARE, if target { self.drift.exp() } else { 1.0 });
        match case.setting {
            SimSetting::FailingRoute if route == 0 => failure_share = FAILING_ROUTE_SHARE,
            SimSetting::AllFailing => failure_share = FAILING_ROUTE_SHARE,
            SimSetting::Crash if target && case.is_crashing(tick) => failure_share = 0.5,
            _ => {}
        }
        let mut bad = false;
        match case.fault {
            TargetFault::Fails(part) if fault_shows => failure_share += part,
            TargetFault::Slower(part, times) if fault_shows && self.random.unit() < part => {
                (time_factor, bad) = (time_factor * times, true);
            }
            _ => {}
        }
        let cold = target && case.setting == SimSetting::Cold && tick * TICK_MS < COLD_MS;
        time_factor *= if cold { 4.0 } else { 1.0 };
        time_factor *= if case.in_burst(tick) { BURST_FACTOR } else { 1.0 };
        let median_ms = 50.0 + 20.0 * route as f64;
        let took_ms = median_ms * time_factor * (TIME_SIGMA * self.random.normal()).exp();
        let first_ms = 0.2 * median_ms * time_factor * (TIME_SIGMA * self.random.normal()).exp();
        let streams = route % 2 == 0;
        let outcome = match self.random.unit() < failure_share {
            true => TrialOutcome::Failure,
            false => TrialOutcome::Success {
                pace_ms: (!cold).then_some(if streams { took_ms / STREAM_EVENTS } else { took_ms }),
                first_ms: (!cold && streams && self.random.unit() < 0.7).then_some(first_ms),
            },
        };
        let arm = if target { RolloutArm::Target } else { RolloutArm::Base };
        bad |= target && outcome == TrialOutcome::Failure;
        (SimAnswer { vm, route, arm, outcome, bad }, took_ms + first_ms)
    }

    /// Ends half of the requests that the target runs as failures.
    fn crash(&mut self, tick: u64) {
        let mut failed = Vec::new();
        for answers in &mut self.ring {
            for at in (0..answers.len()).rev() {
                if answers[at].arm == RolloutArm::Target && self.random.unit() < 0.5 {
                    failed.push(answers.swap_remove(at));
                }
            }
        }
        for mut answer in failed {
            answer.outcome = TrialOutcome::Failure;
            self.ring[(tick % RING_TICKS as u64) as usize].push(answer);
        }
    }

    /// Counts the answers that end in this tick in the evidence of their VMs.
    fn end_answers(&mut self, tick: u64) {
        let answers = std::mem::take(&mut self.ring[(tick % RING_TICKS as u64) as usize]);
        for answer in &answers {
            let ledger = &mut self.vms[answer.vm].0;
            ledger.note(RouteKey(answer.route as u32 + 1), answer.arm, &answer.outcome);
            self.bad += u64::from(answer.bad);
            if answer.bad && self.bad == 50 {
                self.fiftieth_ms = Some(tick * TICK_MS);
            }
        }
    }

    /// Simulates one tick: new requests, a crash that starts in it, and the answers that end in it.
    fn step(&mut self, tick: u64) {
        self.drift = DRIFT_PERSISTENCE * self.drift
            + DRIFT_SIGMA
                * (1.0 - DRIFT_PERSISTENCE * DRIFT_PERSISTENCE).sqrt()
                * self.random.normal();
        for _ in 0..self.random.arrivals(self.case.mean_requests(tick)) {
            self.send(tick);
        }
        if self.case.is_crashing(tick) && !self.case.is_crashing(tick - 1) {
            self.crash(tick);
        }
        self.end_answers(tick);
    }
}

/// Simulates an order and judges it by several methods.
pub fn simulate(case: &SimCase, methods: &mut [JudgeMethod]) -> SimResult {
    let mut state = SimState::new(case);
    let mut table = EvidenceTable::default();
    let mut ends = vec![MethodResult { found_ms: None, exposed: 0 }; methods.len()];
    let mut published_ticks: Vec<Option<u64>> = vec![None; methods.len()];
    let mut sums_at_move = Vec::new();
    let mut new_leader = false;
    for tick in 0..case.ticks() {
        state.step(tick);
        let now_ms = tick * TICK_MS;
        if case.has_no_leader(tick) {
            (table, new_leader) = (EvidenceTable::default(), true);
            continue;
        }
        for vm in (0..VMS).filter(|vm| (tick + vm) % REPORT_TICKS == 0) {
            table.take(vm as u32, 1, state.vms[vm as usize].0.rows());
        }
        let sums = table.sums();
        if tick == case.move_tick() {
            sums_at_move.clone_from(&sums);
        }
        let judged = now_ms + COMPLETE_MS < case.seconds * 1000;
        for (at, method) in methods.iter_mut().enumerate().filter(|_| judged) {
            if ends[at].found_ms.is_none() && method(&sums, now_ms, new_leader) {
                ends[at].found_ms = Some(now_ms);
                published_ticks[at] = Some(tick + PUBLISH_TICKS);
            }
        }
        new_leader = false;
        for (end, published) in ends.iter_mut().zip(&published_ticks) {
            if published.is_none_or(|published| tick <= published) {
                end.exposed = state.exposed;
            }
        }
        if published_ticks
            .iter()
            .all(|published| published.is_some_and(|published| tick >= published))
        {
            break;
        }
    }
    let requests: f64 = (0..case.ticks()).map(|tick| case.mean_requests(tick)).sum();
    let bound = BOUND.share * requests + BOUND.slack;
    SimResult { methods: ends, bound, fiftieth_ms: state.fiftieth_ms, sums_at_move }
}
