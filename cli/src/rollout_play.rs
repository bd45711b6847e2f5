//! One order played on the decision code alone: requests, VMs that count and report, a leader that judges.
//!
//! Seeded, and the same to the byte each time. The play goes on as if nothing were found until every
//! way to judge has found it, so that all look at the same evidence.

use wingshed_lib::coordination::rollout_evidence::{
    EvidenceLedger, EvidenceTable, RolloutArm, RouteKey, RouteSums, TrialOutcome,
};
use wingshed_lib::coordination::rollout_share::{ExposureBound, TrialLedger};

/// Routes of the service.
pub const ROUTES: u64 = 10;
/// What a deployment lets an unsound version have.
pub const BOUND: ExposureBound = ExposureBound { share: 0.1, slack: 50.0 };
const VMS: u64 = 63;
const TELL_TICKS: u64 = 6;
/// A look of the leader, in milliseconds.
pub const TICK_MS: u64 = 50;
/// From a finding to the last VM that knows: a commit and a push.
const FINDING_TICKS: u64 = 3;
/// Traffic is moved this long before the deadline, but not before half the time.
const MOVE_MS: u64 = 3000;
/// An order is complete this long before its deadline.
const COMPLETE_MS: u64 = 400;
/// Of the answers of all versions.
const FAILING: f64 = 0.003;
const FAILING_ROUTE: f64 = 0.14;
const COLD_MS: u64 = 3000;
const LEADER_LOST_MS: u64 = 1500;
/// How the logarithms of times spread, within a load and by what the few tried upstreams have to do.
const SPREAD: f64 = 0.5;
const DRIFT: f64 = 0.15;
const DRIFT_KEPT: f64 = 0.97;
const STREAM_EVENTS: f64 = 20.0;
const BURST: f64 = 3.0;
/// So long a crashed upstream is tried on.
const CRASH_MS: u64 = 300;
const RING: usize = 1024;

/// What is wrong with the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TargetFault {
    /// Nothing.
    Sound,
    /// This part of its answers fails.
    Fails(f64),
    /// This part of its answers takes so many times as long.
    Slower(f64, f64),
}

/// When it shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultTime {
    /// From the start.
    Always,
    /// From the middle of the trial.
    Middle,
    /// While there is a burst.
    Burst,
    /// On one route.
    OneRoute,
}

/// What happens beside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlaySetting {
    /// Nothing.
    Steady,
    /// A second in four there are three times as many requests, and all take three times as long.
    Bursts,
    /// The target's upstreams are cold.
    Cold,
    /// The leader is lost; the next one starts with nothing.
    LeaderLost,
    /// One of two upstreams of the target that are tried breaks all it runs, and refuses for a while.
    Crash,
    /// One route fails everywhere.
    FailingRoute,
    /// All routes fail everywhere.
    AllFailing,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct PlayCase {
    /// What is wrong.
    pub fault: TargetFault,
    /// When.
    pub time: FaultTime,
    /// What happens beside.
    pub setting: PlaySetting,
    /// Requests a second.
    pub rate: u64,
    /// The order's time.
    pub seconds: u64,
    /// Of the draws.
    pub seed: u64,
}

impl PlayCase {
    fn ticks(&self) -> u64 {
        self.seconds * 1000 / TICK_MS
    }

    fn mean_requests(&self, tick: u64) -> f64 {
        let burst = if self.in_burst(tick) { BURST } else { 1.0 };
        burst * (self.rate * TICK_MS) as f64 / 1000.0
    }

    fn move_tick(&self) -> u64 {
        let all_ms = self.seconds * 1000;
        (all_ms / 2).max(all_ms.saturating_sub(MOVE_MS)) / TICK_MS
    }

    /// When traffic is moved, in milliseconds.
    pub fn move_ms(&self) -> u64 {
        self.move_tick() * TICK_MS
    }

    fn in_burst(&self, tick: u64) -> bool {
        let bursts = self.setting == PlaySetting::Bursts || self.time == FaultTime::Burst;
        bursts && (1000..2000).contains(&(tick * TICK_MS % 4000))
    }

    fn is_lost(&self, tick: u64) -> bool {
        let from = self.move_tick() / 2;
        let lost = from..from + LEADER_LOST_MS / TICK_MS;
        self.setting == PlaySetting::LeaderLost && lost.contains(&tick)
    }

    fn crashes(&self, tick: u64) -> bool {
        let from = self.move_tick() / 2;
        let refuses = from..from + CRASH_MS / TICK_MS;
        self.setting == PlaySetting::Crash && refuses.contains(&tick)
    }

    fn shows(&self, tick: u64, route: u64) -> bool {
        match self.time {
            FaultTime::Always => true,
            FaultTime::Middle => tick >= self.move_tick() / 2,
            FaultTime::Burst => self.in_burst(tick),
            FaultTime::OneRoute => route == 0,
        }
    }
}

/// Looks at the sums; true when the target is unsound. The flag says that a new leader begins.
pub type JudgeWay<'a> = Box<dyn FnMut(&[RouteSums], u64, bool) -> bool + 'a>;

/// How a play ended for one way to judge.
#[derive(Clone, Copy, Debug)]
pub struct WayEnd {
    /// Found unsound before it was complete, and when, in milliseconds.
    pub found_ms: Option<u64>,
    /// Requests that went to the target before that was known everywhere.
    pub exposed: u64,
}

/// How a play ended.
#[derive(Clone, Debug)]
pub struct PlayEnd {
    /// By way to judge.
    pub ways: Vec<WayEnd>,
    /// Requests that may go to an unsound target.
    pub bound: f64,
    /// When the 50th bad answer ended, in milliseconds, if that was before every way had found it.
    pub fiftieth_ms: Option<u64>,
    /// What the leader knew when traffic was moved.
    pub sums_at_move: Vec<RouteSums>,
}

/// Draws, by splitmix64.
struct PlayDraws {
    state: u64,
}

impl PlayDraws {
    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Near a normal one: the sum of four even draws, one word's quarters.
    fn normal(&mut self) -> f64 {
        let word = self.next();
        let quarters: u64 = (0..4).map(|at| (word >> (16 * at)) & 0xffff).sum();
        (quarters as f64 / 65536.0 - 2.0) * 3f64.sqrt()
    }

    /// How many come in a tick when `mean` do on average.
    fn arrivals(&mut self, mean: f64) -> u64 {
        let (end, mut product, mut count) = ((-mean).exp(), self.unit(), 0);
        while product > end {
            product *= self.unit();
            count += 1;
        }
        count
    }
}

struct PlayAnswer {
    vm: usize,
    route: u64,
    arm: RolloutArm,
    outcome: TrialOutcome,
    bad: bool,
}

struct PlayState<'a> {
    case: &'a PlayCase,
    draws: PlayDraws,
    vms: Vec<(EvidenceLedger, TrialLedger)>,
    ring: Vec<Vec<PlayAnswer>>,
    drift: f64,
    exposed: u64,
    bad: u64,
    fiftieth_ms: Option<u64>,
}

impl<'a> PlayState<'a> {
    fn new(case: &'a PlayCase) -> PlayState<'a> {
        let mut draws = PlayDraws { state: case.seed.wrapping_mul(0x2545_f491_4f6c_dd1d) };
        let vm = |_| {
            let trial = TrialLedger::new(BOUND, Some(VMS as u32), draws.next());
            (EvidenceLedger::new(1), trial)
        };
        let vms = (0..VMS).map(vm).collect();
        let ring = (0..RING).map(|_| Vec::new()).collect();
        let (drift, exposed, bad) = (0.0, 0, 0);
        PlayState { case, draws, vms, ring, drift, exposed, bad, fiftieth_ms: None }
    }

    fn send(&mut self, tick: u64) {
        let vm = (self.draws.next() % VMS) as usize;
        let route = self.draws.next() % ROUTES;
        let key = RouteKey(route as u32 + 1);
        let trial = &mut self.vms[vm].1;
        let moved = tick >= self.case.move_tick();
        let to_target = moved || trial.may_send_to_target(key);
        if !moved {
            trial.note_sent(key, to_target);
        }
        self.exposed += u64::from(to_target);
        let (answer, took_ms) = self.answer(tick, vm, route, to_target);
        let late = (took_ms / TICK_MS as f64).ceil().min(RING as f64 - 1.0) as u64;
        self.ring[((tick + late) % RING as u64) as usize].push(answer);
    }

    /// What answers, and after how long.
    fn answer(&mut self, tick: u64, vm: usize, route: u64, target: bool) -> (PlayAnswer, f64) {
        let case = self.case;
        let shows = target && case.shows(tick, route);
        let (mut failing, mut slower) = (FAILING, if target { self.drift.exp() } else { 1.0 });
        match case.setting {
            PlaySetting::FailingRoute if route == 0 => failing = FAILING_ROUTE,
            PlaySetting::AllFailing => failing = FAILING_ROUTE,
            PlaySetting::Crash if target && case.crashes(tick) => failing = 0.5,
            _ => {}
        }
        let mut bad = false;
        match case.fault {
            TargetFault::Fails(part) if shows => failing += part,
            TargetFault::Slower(part, times) if shows && self.draws.unit() < part => {
                (slower, bad) = (slower * times, true);
            }
            _ => {}
        }
        let cold = target && case.setting == PlaySetting::Cold && tick * TICK_MS < COLD_MS;
        slower *= if cold { 4.0 } else { 1.0 };
        slower *= if case.in_burst(tick) { BURST } else { 1.0 };
        let median_ms = 50.0 + 20.0 * route as f64;
        let took_ms = median_ms * slower * (SPREAD * self.draws.normal()).exp();
        let first_ms = 0.2 * median_ms * slower * (SPREAD * self.draws.normal()).exp();
        let streams = route % 2 == 0;
        let outcome = match self.draws.unit() < failing {
            true => TrialOutcome::Failure,
            false => TrialOutcome::Success {
                pace_ms: (!cold).then_some(if streams { took_ms / STREAM_EVENTS } else { took_ms }),
                first_ms: (!cold && streams && self.draws.unit() < 0.7).then_some(first_ms),
            },
        };
        let arm = if target { RolloutArm::Target } else { RolloutArm::Base };
        bad |= target && outcome == TrialOutcome::Failure;
        (PlayAnswer { vm, route, arm, outcome, bad }, took_ms + first_ms)
    }

    /// Half of what the target runs ends badly.
    fn crash(&mut self, tick: u64) {
        let mut broken = Vec::new();
        for answers in &mut self.ring {
            for at in (0..answers.len()).rev() {
                if answers[at].arm == RolloutArm::Target && self.draws.unit() < 0.5 {
                    broken.push(answers.swap_remove(at));
                }
            }
        }
        for mut answer in broken {
            answer.outcome = TrialOutcome::Failure;
            self.ring[(tick % RING as u64) as usize].push(answer);
        }
    }

    fn end_answers(&mut self, tick: u64) {
        let answers = std::mem::take(&mut self.ring[(tick % RING as u64) as usize]);
        for answer in &answers {
            let ledger = &mut self.vms[answer.vm].0;
            ledger.note(RouteKey(answer.route as u32 + 1), answer.arm, &answer.outcome);
            self.bad += u64::from(answer.bad);
            if answer.bad && self.bad == 50 {
                self.fiftieth_ms = Some(tick * TICK_MS);
            }
        }
    }

    fn step(&mut self, tick: u64) {
        self.drift = DRIFT_KEPT * self.drift
            + DRIFT * (1.0 - DRIFT_KEPT * DRIFT_KEPT).sqrt() * self.draws.normal();
        for _ in 0..self.draws.arrivals(self.case.mean_requests(tick)) {
            self.send(tick);
        }
        if self.case.crashes(tick) && !self.case.crashes(tick - 1) {
            self.crash(tick);
        }
        self.end_answers(tick);
    }
}

/// Plays an order under several ways to judge.
pub fn play(case: &PlayCase, ways: &mut [JudgeWay]) -> PlayEnd {
    let mut state = PlayState::new(case);
    let mut table = EvidenceTable::default();
    let mut ends = vec![WayEnd { found_ms: None, exposed: 0 }; ways.len()];
    let mut known_ticks: Vec<Option<u64>> = vec![None; ways.len()];
    let mut sums_at_move = Vec::new();
    let mut begins = false;
    for tick in 0..case.ticks() {
        state.step(tick);
        let now_ms = tick * TICK_MS;
        if case.is_lost(tick) {
            (table, begins) = (EvidenceTable::default(), true);
            continue;
        }
        for vm in (0..VMS).filter(|vm| (tick + vm) % TELL_TICKS == 0) {
            table.take(vm as u32, 1, state.vms[vm as usize].0.rows());
        }
        let sums = table.sums();
        if tick == case.move_tick() {
            sums_at_move.clone_from(&sums);
        }
        let judged = now_ms + COMPLETE_MS < case.seconds * 1000;
        for (at, way) in ways.iter_mut().enumerate().filter(|_| judged) {
            if ends[at].found_ms.is_none() && way(&sums, now_ms, begins) {
                ends[at].found_ms = Some(now_ms);
                known_ticks[at] = Some(tick + FINDING_TICKS);
            }
        }
        begins = false;
        for (end, known) in ends.iter_mut().zip(&known_ticks) {
            if known.is_none_or(|known| tick <= known) {
                end.exposed = state.exposed;
            }
        }
        if known_ticks.iter().all(|known| known.is_some_and(|known| tick >= known)) {
            break;
        }
    }
    let requests: f64 = (0..case.ticks()).map(|tick| case.mean_requests(tick)).sum();
    let bound = BOUND.share * requests + BOUND.slack;
    PlayEnd { ways: ends, bound, fiftieth_ms: state.fiftieth_ms, sums_at_move }
}
