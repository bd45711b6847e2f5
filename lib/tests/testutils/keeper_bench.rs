//! Simulated keepers of a fleet. Their disks stall, fill up, lose power and are wiped, and messages are
//! lost, duplicated, delayed and cut by partitions. The clock is simulated.
//!
//! Invariants, checked after every step: there is one group only; a keeper with a lease never lacks an
//! acknowledged document, zone order or roll-out step; no two keepers have different ends of one
//! roll-out; a wiped disk does not count for its former entries.

use std::collections::{BTreeMap, BTreeSet};

use crossbeam::channel::{unbounded, Receiver};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::oneshot;
use wingshed_lib::coordination::raft_message::RaftMessage;
use wingshed_lib::coordination::vm_roster::RosterRow;
use wingshed_lib::state::fleet_record::FleetCommand;
use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::StoredState;
use wingshed_lib::state::packed_text::PackedText;
use wingshed_lib::state::rollout_order::{RolloutCommand, RolloutOrder, RolloutPhase, RolloutRow};
use wingshed_lib::state::zone_order::ZoneOrder;
use wingshed_lib::transport::vm_disk::{DiskJob, DiskReport};
use wingshed_lib::transport::vm_keeper::{KeeperDriver, KeeperIdentity, KeeperOutcome};

use super::raft_bench::write_batch;

/// The simulated time of one step, in milliseconds.
pub const STEP_MS: u64 = 25;
const SYNC_MS: u64 = 2;
/// The interval at which a VM's loop ticks its keeper, in milliseconds.
const TICK_MS: u64 = 50;
const RENEW_MS: u64 = 300;

/// The probability of each fault per step, in ten-thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeeperFaults {
    pub lose: u32,
    pub double: u32,
    pub kill: u32,
    pub power: u32,
    pub power_all: u32,
    pub wipe: u32,
    pub stall: u32,
    pub full: u32,
    pub cut: u32,
    pub freeze: u32,
    pub replace: u32,
    /// Zone orders, per tick of a leader.
    pub orders: u32,
    /// Orders and steps of a roll-out, per tick of a leader.
    pub rollouts: u32,
}

struct KeeperPeer {
    id: KeeperId,
    incarnation: Incarnation,
    driver: Option<KeeperDriver>,
    jobs: Option<Receiver<DiskJob>>,
    synced: StoredState,
    running: Option<(DiskJob, u64)>,
    down_until: u64,
    frozen_until: u64,
    stalled_until: u64,
    full_until: u64,
    gone: bool,
}

/// The simulated keepers.
pub struct KeeperBench {
    pub now_ms: u64,
    /// The length of a step, [`STEP_MS`] unless a test needs a fast network. A message takes up to two
    /// steps.
    pub step_ms: u64,
    pub acknowledged: u64,
    pub puts: u64,
    faults: KeeperFaults,
    peers: Vec<KeeperPeer>,
    wire: Vec<(KeeperId, KeeperId, RaftMessage, u64)>,
    waiting: Vec<(u64, oneshot::Receiver<bool>)>,
    /// The newest acknowledged zone order.
    pub ordered: Option<ZoneOrder>,
    ordering: Vec<(ZoneOrder, oneshot::Receiver<bool>)>,
    /// The newest acknowledged command of a roll-out, with the numbers of the order and the step.
    pub rolled: Option<((u64, u64), RolloutPhase)>,
    rolling: Vec<((u64, u64), RolloutPhase, oneshot::Receiver<bool>)>,
    /// The final phase of each roll-out order in any keeper's record.
    ends: BTreeMap<u64, RolloutPhase>,
    cut: Option<(BTreeSet<KeeperId>, u64)>,
    wiped_until: u64,
    rng: StdRng,
    incarnations: u64,
    last_leased: Option<(u64, u64)>,
}

/// The time for which a leader that had a lease counts as present, in milliseconds. It may lack a lease
/// for a moment while its own disk is behind the others'.
const LEASED_KEEP_MS: u64 = 1000;

impl KeeperBench {
    /// Creates `size` VMs with empty disks; the first one founds the group.
    pub fn new(size: u32, faults: KeeperFaults, seed: u64) -> KeeperBench {
        let mut bench = KeeperBench {
            now_ms: 1_000_000,
            step_ms: STEP_MS,
            acknowledged: 0,
            puts: 0,
            faults,
            peers: Vec::new(),
            wire: Vec::new(),
            waiting: Vec::new(),
            ordered: None,
            ordering: Vec::new(),
            rolled: None,
            rolling: Vec::new(),
            ends: BTreeMap::new(),
            cut: None,
            wiped_until: 0,
            rng: StdRng::seed_from_u64(seed),
            incarnations: 0,
            last_leased: None,
        };
        for id in 1..=size {
            bench.add_peer(KeeperId(id), id == 1);
        }
        bench
    }

    fn add_peer(&mut self, id: KeeperId, founder: bool) {
        self.incarnations += 1;
        let synced = StoredState { blank: true, ..StoredState::default() };
        self.peers.push(KeeperPeer {
            id,
            incarnation: Incarnation(self.incarnations),
            driver: None,
            jobs: None,
            synced,
            running: None,
            down_until: 0,
            frozen_until: 0,
            stalled_until: 0,
            full_until: 0,
            gone: false,
        });
        let at = self.peers.len() - 1;
        self.start(at, founder);
    }

    fn start(&mut self, at: usize, founder: bool) {
        let (sender, receiver) = unbounded();
        let seed = self.rng.gen();
        let peer = &mut self.peers[at];
        let identity =
            KeeperIdentity { id: peer.id, peer_port: 7000, tolerated_losses: 1, founder, seed };
        let mut stored = peer.synced.clone();
        stored.blank = stored.snapshot.membership.members.is_empty() && stored.entries.is_empty();
        let driver = KeeperDriver::new(identity, peer.incarnation, stored, sender, self.now_ms);
        peer.driver = Some(driver);
        peer.jobs = Some(receiver);
        peer.running = None;
    }

    fn chance(&mut self, in_ten_thousand: u32) -> bool {
        self.rng.gen_range(0..10_000) < in_ten_thousand
    }

    /// Runs steps with random faults.
    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.now_ms += self.step_ms;
            self.inject_faults();
            self.restart_due();
            self.work_disks();
            self.deliver();
            self.tick();
            self.take_answers();
            self.check();
        }
    }

    /// Runs steps without faults, in which the group can recover.
    pub fn calm(&mut self, steps: u64) {
        let faults = std::mem::take(&mut self.faults);
        self.cut = None;
        self.run(steps);
        self.faults = faults;
    }

    /// Cuts the power of all keepers at once and wipes the disk of one. All restart at the same time.
    pub fn lose_all_and_wipe(&mut self, wiped: usize) {
        let until = self.now_ms + 1000;
        for at in 0..self.peers.len() {
            self.power_off(at, until);
        }
        self.incarnations += 1;
        self.peers[wiped].incarnation = Incarnation(self.incarnations);
        self.peers[wiped].synced = StoredState { blank: true, ..StoredState::default() };
        self.run(1000 / self.step_ms);
    }

    /// Runs until a leader has a lease, at most `most` steps, and returns the number of steps.
    pub fn steps_until_led(&mut self, most: u64) -> u64 {
        self.last_leased = None;
        (0..most)
            .find(|_| {
                self.run(1);
                self.last_leased.is_some()
            })
            .unwrap_or(most)
    }

    /// Returns the document version of the leader that recently had a lease, if any.
    pub fn leased_version(&self) -> Option<u64> {
        let (version, at_ms) = self.last_leased?;
        (at_ms + LEASED_KEEP_MS > self.now_ms).then_some(version)
    }

    /// Returns the number of voters by the membership of a leader with a lease, or 0 without one.
    pub fn voters(&self) -> usize {
        let drivers = self.peers.iter().filter_map(|peer| peer.driver.as_ref());
        drivers
            .filter(|d| d.is_confirmed_leader(self.now_ms))
            .map(|d| d.voters())
            .max()
            .unwrap_or(0)
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        if self.chance(faults.power_all) {
            let down = self.now_ms + self.rng.gen_range(100..1500);
            for at in 0..self.peers.len() {
                self.power_off(at, down);
            }
        }
        let at = self.rng.gen_range(0..self.peers.len());
        let until = self.now_ms + self.rng.gen_range(100..4000);
        if self.peers[at].gone {
            return;
        }
        if self.chance(faults.kill) {
            // A killed process leaves the files in their current state.
            let peer = &mut self.peers[at];
            if let Some((job, _)) = peer.running.take() {
                write_job(&mut peer.synced, &job);
            }
            peer.driver = None;
            peer.down_until = until;
        }
        if self.chance(faults.power) {
            self.power_off(at, until);
        }
        // Only one disk is lost at a time: the group is not required to survive more.
        if self.chance(faults.wipe) && self.now_ms > self.wiped_until && self.whole() {
            self.wiped_until = self.now_ms + 12_000;
            self.power_off(at, self.now_ms + 500);
            self.incarnations += 1;
            let peer = &mut self.peers[at];
            peer.incarnation = Incarnation(self.incarnations);
            peer.synced = StoredState { blank: true, ..StoredState::default() };
        }
        if self.chance(faults.replace) && self.now_ms > self.wiped_until && self.whole() {
            self.wiped_until = self.now_ms + 12_000;
            self.peers[at].gone = true;
            self.peers[at].driver = None;
            let id = KeeperId(self.peers.iter().map(|peer| peer.id.0).max().unwrap_or(0) + 1);
            self.add_peer(id, false);
        }
        if self.chance(faults.stall) {
            self.peers[at].stalled_until = until;
        }
        if self.chance(faults.full) {
            self.peers[at].full_until = until;
        }
        if self.chance(faults.freeze) {
            self.peers[at].frozen_until = until;
        }
        if self.chance(faults.cut) {
            let some = self.peers.iter().map(|peer| peer.id).collect::<Vec<_>>();
            let side = some.into_iter().filter(|_| self.rng.gen()).collect();
            self.cut = Some((side, until));
        }
    }

    /// Returns whether the group has its full size and so must survive the loss of one keeper.
    fn whole(&self) -> bool {
        let living = self.peers.iter().filter(|peer| !peer.gone);
        let up = living.clone().all(|peer| peer.driver.is_some() && peer.frozen_until == 0);
        up && self.leased_version().is_some() && self.voters() >= 3
    }

    fn power_off(&mut self, at: usize, until: u64) {
        let kept = self.rng.gen_range(0..3);
        let peer = &mut self.peers[at];
        if let (Some((job, _)), 0) = (peer.running.take(), kept) {
            // The job that was being written may have completed.
            write_job(&mut peer.synced, &job);
        }
        peer.driver = None;
        peer.jobs = None;
        peer.down_until = until;
    }

    fn restart_due(&mut self) {
        for at in 0..self.peers.len() {
            let peer = &self.peers[at];
            if peer.driver.is_none() && !peer.gone && peer.down_until <= self.now_ms {
                self.start(at, false);
            }
        }
    }

    fn work_disks(&mut self) {
        for at in 0..self.peers.len() {
            let peer = &mut self.peers[at];
            if peer.driver.is_none() || peer.frozen_until > self.now_ms {
                continue;
            }
            peer.frozen_until = 0;
            if peer.running.is_none() {
                let job = peer.jobs.as_ref().and_then(|jobs| jobs.try_recv().ok());
                peer.running = job.map(|job| (job, self.now_ms + SYNC_MS));
            }
            let due = peer.running.as_ref().is_some_and(|(_, due)| *due <= self.now_ms);
            if !due || peer.stalled_until > self.now_ms {
                continue;
            }
            let Some((job, _)) = peer.running.take() else { continue };
            let report = if peer.full_until > self.now_ms {
                DiskReport::Failed("no space".to_string())
            } else {
                write_job(&mut peer.synced, &job);
                DiskReport::Done
            };
            let now_ms = self.now_ms;
            self.act(at, |driver| driver.note_disk(report, now_ms));
        }
    }

    fn act(&mut self, at: usize, act: impl FnOnce(&mut KeeperDriver) -> KeeperOutcome) {
        let from = self.peers[at].id;
        let Some(driver) = self.peers[at].driver.as_mut() else { return };
        let outcome = act(driver);
        for (to, message) in outcome.messages {
            if self.chance(self.faults.lose) {
                continue;
            }
            let due = self.now_ms + self.rng.gen_range(0..2 * self.step_ms);
            if self.chance(self.faults.double) {
                self.wire.push((from, to, message.clone(), due + 50));
            }
            self.wire.push((from, to, message, due));
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        if self.cut.as_ref().is_some_and(|(_, until)| *until <= now_ms) {
            self.cut = None;
        }
        let (due, later) = std::mem::take(&mut self.wire).into_iter().partition(|m| m.3 <= now_ms);
        self.wire = later;
        let due: Vec<(KeeperId, KeeperId, RaftMessage, u64)> = due;
        for (from, to, message, _) in due {
            if self.is_cut(from, to) {
                continue;
            }
            let found = self.peers.iter().position(|peer| peer.id == to);
            let Some(at) = found else { continue };
            if self.peers[at].frozen_until <= now_ms {
                self.act(at, |driver| driver.receive(message, now_ms));
            }
        }
    }

    fn is_cut(&self, from: KeeperId, to: KeeperId) -> bool {
        let side = self.cut.as_ref();
        side.is_some_and(|(side, _)| side.contains(&from) != side.contains(&to))
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms;
        // All keepers tick in the same step.
        if now_ms % TICK_MS >= self.step_ms {
            return;
        }
        for at in 0..self.peers.len() {
            if self.peers[at].frozen_until > now_ms {
                continue;
            }
            self.act(at, |driver| driver.tick(now_ms));
            if now_ms % RENEW_MS < TICK_MS {
                self.renew(at);
            }
            let has_lease =
                self.peers[at].driver.as_ref().is_some_and(|d| d.is_confirmed_leader(now_ms));
            if has_lease && self.rng.gen_range(0..8) == 0 {
                self.put(at);
            }
            if has_lease && self.faults.orders > 0 && self.chance(self.faults.orders) {
                self.propose_order(at);
            }
            if has_lease && self.faults.rollouts > 0 && self.chance(self.faults.rollouts) {
                self.propose_rollout(at);
            }
        }
    }

    fn renew(&mut self, leader: usize) {
        let now_ms = self.now_ms;
        let leader_id = self.peers[leader].id;
        let rows: Vec<(KeeperId, Incarnation)> = self
            .peers
            .iter()
            .filter(|peer| peer.driver.is_some() && peer.frozen_until <= now_ms)
            .filter(|peer| !self.is_cut(peer.id, leader_id))
            .map(|peer| (peer.id, peer.incarnation))
            .collect();
        let Some(driver) = self.peers[leader].driver.as_mut() else { return };
        if driver.is_confirmed_leader(now_ms) {
            for (id, incarnation) in rows {
                let row = RosterRow { id: id.0, zone: id.0 as u64 % 3, ready: true };
                driver.roster.note(row, Some(incarnation), Vec::new(), now_ms);
            }
        }
    }

    fn put(&mut self, at: usize) {
        self.puts += 1;
        let (version, now_ms) = (self.puts, self.now_ms);
        let mut receiver = None;
        self.act(at, |driver| {
            let (answer, outcome) =
                driver.put(version, &PackedText::pack(&version.to_le_bytes()), now_ms);
            receiver = Some(answer);
            outcome
        });
        self.waiting.extend(receiver.map(|receiver| (version, receiver)));
    }

    /// Proposes two conflicting zone orders, which are both based on the same state.
    fn propose_order(&mut self, at: usize) {
        let now_ms = self.now_ms;
        for emptied in [self.rng.gen(), self.rng.gen()] {
            let mut proposed = None;
            self.act(at, |driver| {
                let number = driver.record.zones.last_number("a") + 1;
                let order = ZoneOrder { zone: "a".to_string(), number, evacuated: emptied };
                let (answer, outcome) = driver.order(FleetCommand::Zone(order.clone()), now_ms);
                proposed = Some((order, answer));
                outcome
            });
            self.ordering.extend(proposed);
        }
    }

    /// Proposes two next commands of a roll-out based on a leader's record, which often conflict.
    fn propose_rollout(&mut self, at: usize) {
        let now_ms = self.now_ms;
        let draws: [u32; 2] = [self.rng.gen(), self.rng.gen()];
        for draw in draws {
            let mut proposed = None;
            self.act(at, |driver| {
                let (command, place, phase) = next_command(driver.record.rollouts.row("s"), draw);
                let (answer, outcome) = driver.order(FleetCommand::Rollout(command), now_ms);
                proposed = Some((place, phase, answer));
                outcome
            });
            self.rolling.extend(proposed);
        }
    }

    fn take_rollouts(&mut self) {
        let mut newest = self.rolled;
        self.rolling.retain_mut(|(place, phase, receiver)| match receiver.try_recv() {
            Ok(true) => {
                let last = newest.map_or((0, 0), |(place, _)| place);
                assert!(*place != last, "two commands were accepted as {last:?}");
                if *place > last {
                    newest = Some((*place, *phase));
                }
                false
            }
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => false,
            Err(oneshot::error::TryRecvError::Empty) => true,
        });
        self.rolled = newest;
    }

    /// Checks that no two keepers, with or without a lease, have different ends of one roll-out order.
    fn check_ends(&mut self) {
        for peer in &self.peers {
            let Some(driver) = &peer.driver else { continue };
            let Some(row) = driver.record.rollouts.row("s") else { continue };
            if row.phase.is_end() {
                let end = *self.ends.entry(row.order.number).or_insert(row.phase);
                assert_eq!(end, row.phase, "{:?}: order {}", peer.id, row.order.number);
            }
        }
    }

    fn take_orders(&mut self) {
        let mut newest = self.ordered.take();
        self.ordering.retain_mut(|(order, receiver)| match receiver.try_recv() {
            Ok(true) => {
                let last = newest.as_ref().map_or(0, |last| last.number);
                assert!(order.number != last, "two orders were accepted as number {last}");
                if order.number > last {
                    newest = Some(order.clone());
                }
                false
            }
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => false,
            Err(oneshot::error::TryRecvError::Empty) => true,
        });
        self.ordered = newest;
    }

    fn take_answers(&mut self) {
        self.take_orders();
        self.take_rollouts();
        let mut newest = self.acknowledged;
        self.waiting.retain_mut(|(version, receiver)| match receiver.try_recv() {
            Ok(true) => {
                newest = newest.max(*version);
                false
            }
            Ok(false) | Err(oneshot::error::TryRecvError::Closed) => false,
            Err(oneshot::error::TryRecvError::Empty) => true,
        });
        self.acknowledged = newest;
    }

    fn check(&mut self) {
        self.check_ends();
        let mut leaders: BTreeMap<u64, KeeperId> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| peer.frozen_until <= self.now_ms) {
            let Some(driver) = &peer.driver else { continue };
            if !driver.is_confirmed_leader(self.now_ms) {
                continue;
            }
            let held = driver.record.document.version;
            assert!(
                held >= self.acknowledged,
                "{:?} has a lease at version {held}, but {} was acknowledged",
                peer.id,
                self.acknowledged
            );
            if let Some(order) = &self.ordered {
                let zones = &driver.record.zones;
                let last = zones.last_number(&order.zone);
                let same =
                    last > order.number || zones.is_evacuated(&order.zone) == order.evacuated;
                assert!(last >= order.number && same, "{:?} lost {order:?}: {zones:?}", peer.id);
            }
            if let Some((place, phase)) = self.rolled {
                let row = driver.record.rollouts.row("s");
                let held = row.map(|row| ((row.order.number, row.step), row.phase));
                let kept = held.is_some_and(|held| held.0 > place || held == (place, phase));
                assert!(kept, "{:?} lost {place:?} {phase:?}: {held:?}", peer.id);
            }
            self.last_leased = Some((held, self.now_ms));
            let other = leaders.insert(driver.term(), peer.id);
            assert!(other.is_none(), "two leaders in term {}", driver.term());
        }
        assert!(leaders.len() <= 1, "two keepers have a lease: {leaders:?}");
    }
}

fn next_command(row: Option<&RolloutRow>, draw: u32) -> (RolloutCommand, (u64, u64), RolloutPhase) {
    match row.filter(|row| !row.phase.is_end()) {
        Some(row) => {
            let phase = match (row.phase, draw % 4) {
                (_, 0) => RolloutPhase::RolledBack,
                (RolloutPhase::Trial, 1) => RolloutPhase::Shift,
                (RolloutPhase::Shift, 1) => RolloutPhase::Complete,
                (phase, _) => phase,
            };
            let step = row.next_step(phase, row.spent_ms + 1);
            let place = (step.number, step.step);
            (RolloutCommand::Step(step), place, phase)
        }
        None => {
            let number = row.map_or(0, |row| row.order.number) + 1;
            let target = format!("v{}", draw % 7);
            let service = "s".to_string();
            let order = RolloutOrder { service, number, target, duration_ms: 9000, sharing_vms: 3 };
            (RolloutCommand::Start(order), (number, 0), RolloutPhase::Trial)
        }
    }
}

fn write_job(disk: &mut StoredState, job: &DiskJob) {
    match job {
        DiskJob::Append(batch) => write_batch(disk, batch),
        DiskJob::Install(snapshot, hard_state, entries) => {
            disk.snapshot = (**snapshot).clone();
            disk.hard_state = *hard_state;
            disk.entries = entries.clone();
        }
        DiskJob::KeepList(_) => unreachable!("a keeper's driver keeps no list"),
    }
}
