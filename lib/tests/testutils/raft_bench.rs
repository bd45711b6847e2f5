//! A simulated group of Raft cores. Messages are lost, duplicated, reordered and delayed, and
//! crashes lose unsynced data. The invariants are checked after every step.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingshed_lib::coordination::raft::RaftCore;
use wingshed_lib::coordination::raft_message::{
    MemberChange, RaftMessage, RaftOutput, RaftRole, ELECTION_MS,
};
use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, LogBatch, LogEntry, StoredState,
};

/// The probability of each fault per step, in thousandths.
#[derive(Clone, Copy, Debug, Default)]
pub struct RaftFaults {
    pub lose: u32,
    pub double: u32,
    pub crash: u32,
    pub cut: u32,
    pub slow_sync: u32,
    pub compact: u32,
    pub transfer: u32,
    pub member: u32,
    pub lose_disk: u32,
}

/// One keeper: its core, its disk, and the outputs that wait for a sync.
pub struct RaftPeer {
    pub id: KeeperId,
    pub incarnation: Incarnation,
    pub core: Option<RaftCore>,
    pub disk: StoredState,
    waiting: Vec<RaftOutput>,
    pub applied: Vec<(u64, u64, Vec<u8>)>,
    pub applied_index: u64,
    down_until: u64,
}

/// The simulated group.
pub struct RaftBench {
    pub peers: Vec<RaftPeer>,
    pub now_ms: u64,
    pub wire: Vec<(KeeperId, RaftMessage)>,
    pub faults: RaftFaults,
    rng: StdRng,
    cut: Option<(KeeperId, u64)>,
    leaders: BTreeMap<u64, KeeperId>,
    committed: BTreeMap<u64, (u64, Vec<u8>)>,
    pub proposed: u64,
    pub acknowledged: BTreeSet<u64>,
    waiting_proposals: BTreeMap<(u64, u64), u64>,
    spare: u32,
}

fn member(votes: bool, incarnation: u64) -> GroupMember {
    let address = "127.0.0.1:1".parse().unwrap();
    GroupMember { incarnation: Incarnation(incarnation), address, votes }
}

impl RaftBench {
    /// Creates a group of `size` voters; `spare` further keepers may be added to it.
    pub fn new(size: u32, spare: u32, faults: RaftFaults, seed: u64) -> RaftBench {
        let members = (1..=size).map(|id| (KeeperId(id), member(true, id as u64))).collect();
        let membership = GroupMembership { members };
        let peers = (1..=size + spare).map(|id| {
            let mut disk = StoredState::default();
            if id <= size {
                disk.snapshot.membership = membership.clone();
            }
            let incarnation = Incarnation(id as u64);
            let core = RaftCore::new(KeeperId(id), incarnation, disk.clone(), seed + id as u64, 1);
            RaftPeer {
                id: KeeperId(id),
                incarnation,
                core: Some(core),
                disk,
                waiting: Vec::new(),
                applied: Vec::new(),
                applied_index: 0,
                down_until: 0,
            }
        });
        RaftBench {
            peers: peers.collect(),
            now_ms: 1000,
            wire: Vec::new(),
            faults,
            rng: StdRng::seed_from_u64(seed),
            cut: None,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposed: 0,
            acknowledged: BTreeSet::new(),
            waiting_proposals: BTreeMap::new(),
            spare,
        }
    }

    fn chance(&mut self, in_a_thousand: u32) -> bool {
        self.rng.gen_range(0..1000) < in_a_thousand
    }

    /// Runs one step: advances the time, triggers a random event, and checks the invariants.
    pub fn step(&mut self) {
        self.now_ms += self.rng.gen_range(0..8);
        self.recover_due();
        let at = self.rng.gen_range(0..self.peers.len());
        match self.rng.gen_range(0..10) {
            0..=5 => self.deliver(),
            6 | 7 => self.act(at, |core, now, output| core.tick(now, output)),
            8 => self.propose(at),
            _ => self.sync(at),
        }
        let faults = self.faults;
        if self.chance(faults.crash) {
            self.crash(at);
        }
        if self.chance(faults.cut) {
            let until = self.now_ms + self.rng.gen_range(0..4 * ELECTION_MS);
            self.cut = Some((self.peers[at].id, until));
        }
        if self.chance(faults.compact) {
            self.compact(at);
        }
        if self.chance(faults.transfer) {
            self.act(at, |core, now, output| drop(core.transfer(None, now, output)));
        }
        if self.chance(faults.lose_disk) {
            self.lose_disk(at);
        }
        if self.chance(faults.member) {
            self.change_member(at);
        }
        self.check();
    }

    /// Runs without faults until the group has one leader and has committed all proposals.
    pub fn settle(&mut self) {
        self.faults = RaftFaults::default();
        self.cut = None;
        self.peers.iter_mut().for_each(|peer| peer.down_until = 0);
        for _ in 0..60_000 {
            self.step();
            if self.is_settled() {
                return;
            }
        }
        for peer in &self.peers {
            let Some(core) = &peer.core else { continue };
            let members: Vec<_> = core
                .membership()
                .members
                .iter()
                .map(|(id, m)| (id.0, m.incarnation.0, m.votes))
                .collect();
            println!(
                "keeper {} incarnation {}: {:?} term {} commit {} last {} members {members:?}",
                peer.id,
                peer.incarnation,
                core.role(),
                core.term(),
                core.commit(),
                core.last_index()
            );
        }
        panic!("the group does not settle");
    }

    fn is_settled(&self) -> bool {
        let leader = self.peers.iter().filter_map(|peer| peer.core.as_ref());
        let leaders: Vec<&RaftCore> = leader.filter(|c| c.has_lease(self.now_ms)).collect();
        let [leader] = leaders[..] else { return false };
        leader.commit() == leader.last_index() && {
            let members = &leader.membership().members;
            let counted = |peer: &&RaftPeer| {
                let member = members.get(&peer.id);
                member.is_some_and(|member| member.incarnation == peer.incarnation)
            };
            self.peers.iter().filter(counted).all(|peer| {
                peer.core.as_ref().is_some_and(|core| core.commit() + 5 >= leader.commit())
            })
        }
    }

    fn act(&mut self, at: usize, act: impl FnOnce(&mut RaftCore, u64, &mut RaftOutput)) {
        let now_ms = self.now_ms;
        let Some(core) = self.peers[at].core.as_mut() else { return };
        let mut output = RaftOutput::default();
        act(core, now_ms, &mut output);
        core.flush(now_ms, &mut output);
        self.peers[at].waiting.push(output);
        let slow = self.faults.slow_sync;
        if !self.chance(slow) {
            self.sync(at);
        }
    }

    /// Writes the waiting outputs, then sends their messages and applies their entries.
    fn sync(&mut self, at: usize) {
        let peer = &mut self.peers[at];
        let Some(core) = peer.core.as_mut() else { return };
        let waiting = std::mem::take(&mut peer.waiting);
        if waiting.is_empty() {
            return;
        }
        let mut installed = false;
        for output in waiting {
            if let Some(snapshot) = &output.install {
                // Like the keeper's loop: the whole log is rewritten, including later batches.
                installed = true;
                peer.disk.snapshot = snapshot.clone();
                peer.disk.entries = core.entries().to_vec();
                peer.disk.hard_state = core.hard_state();
                peer.applied = decode_image(&snapshot.image);
                peer.applied_index = snapshot.index;
            }
            if !installed {
                write_batch(&mut peer.disk, &output.batch);
            }
            self.wire.extend(output.messages);
            for entry in output.committed {
                apply(peer.applied.as_mut(), &mut peer.applied_index, entry);
            }
        }
        let mut output = RaftOutput::default();
        core.note_synced(&mut output);
        for entry in output.committed {
            apply(peer.applied.as_mut(), &mut peer.applied_index, entry);
        }
        self.wire.extend(output.messages);
        self.note_applied(at);
    }

    fn note_applied(&mut self, at: usize) {
        for (index, term, payload) in self.peers[at].applied.clone() {
            let before = self.committed.entry(index).or_insert((term, payload.clone()));
            assert_eq!(*before, (term, payload), "a committed entry changed at {index}");
            if let Some(number) = self.waiting_proposals.remove(&(index, term)) {
                self.acknowledged.insert(number);
            }
        }
    }

    fn deliver(&mut self) {
        if self.wire.is_empty() {
            return;
        }
        // Mostly the oldest message, sometimes any, for delay and reordering.
        let any = self.chance(300);
        let pick = if any { self.rng.gen_range(0..self.wire.len()) } else { 0 };
        let (lose, double) = (self.faults.lose, self.faults.double);
        let (to, message) = match self.chance(double) {
            true => self.wire[pick].clone(),
            false => self.wire.remove(pick),
        };
        let cut = self.cut.filter(|(_, until)| *until > self.now_ms).map(|(id, _)| id);
        if self.chance(lose) || cut == Some(to) || cut == Some(message.from) {
            return;
        }
        let at = to.0 as usize - 1;
        self.act(at, |core, now, output| core.receive(message, now, output));
    }

    fn propose(&mut self, at: usize) {
        self.proposed += 1;
        let number = self.proposed;
        let payload = EntryPayload::Command(number.to_le_bytes().to_vec());
        let mut position = None;
        self.act(at, |core, _, output| position = core.propose(payload, output).ok());
        if let Some(position) = position {
            self.waiting_proposals.insert(position, number);
            self.note_applied(at);
        }
    }

    fn crash(&mut self, at: usize) {
        let until = self.now_ms + self.rng.gen_range(0..3 * ELECTION_MS);
        let peer = &mut self.peers[at];
        peer.core = None;
        peer.waiting.clear();
        peer.down_until = until;
    }

    /// Restarts a keeper with an empty disk and a new incarnation. Only one disk is lost at a time,
    /// and only while every keeper's membership is up to date; otherwise a quorum may be lost.
    fn lose_disk(&mut self, at: usize) {
        let intact = |id: &KeeperId, member: &GroupMember| {
            self.peers[id.0 as usize - 1].incarnation == member.incarnation
        };
        let whole = self.peers.iter().all(|peer| {
            let members = peer.core.as_ref().map(|core| &core.membership().members);
            members.is_some_and(|m| m.iter().all(|(id, member)| intact(id, member)))
        });
        let leader = self.peers.iter().filter_map(|peer| peer.core.as_ref());
        let leader = leader.into_iter().find(|core| core.has_lease(self.now_ms));
        let voters = leader.map_or(0, |core| {
            core.membership().members.values().filter(|member| member.votes).count()
        });
        if !whole || voters < 3 {
            return;
        }
        let peer = &mut self.peers[at];
        peer.incarnation = Incarnation(peer.incarnation.0 + 100);
        peer.disk = StoredState::default();
        peer.core = None;
        peer.waiting.clear();
        peer.down_until = self.now_ms;
    }

    fn recover_due(&mut self) {
        for at in 0..self.peers.len() {
            if self.peers[at].core.is_some() || self.peers[at].down_until > self.now_ms {
                continue;
            }
            let seed = self.rng.gen();
            let now_ms = self.now_ms;
            let peer = &mut self.peers[at];
            peer.applied = decode_image(&peer.disk.snapshot.image);
            peer.applied_index = peer.disk.snapshot.index;
            let disk = peer.disk.clone();
            peer.core = Some(RaftCore::new(peer.id, peer.incarnation, disk, seed, now_ms));
        }
    }

    fn compact(&mut self, at: usize) {
        self.sync(at);
        let peer = &mut self.peers[at];
        let Some(core) = peer.core.as_mut() else { return };
        let image = encode_image(&peer.applied);
        if let Some(snapshot) = core.compact(peer.applied_index, image) {
            peer.disk.snapshot = snapshot.clone();
            peer.disk.entries.retain(|entry| entry.index > snapshot.index);
            peer.disk.hard_state = core.hard_state();
        }
    }

    fn change_member(&mut self, at: usize) {
        let pick = self.rng.gen_range(1..=self.peers.len() as u32);
        let spare = self.spare;
        let address = "127.0.0.1:1".parse().unwrap();
        let incarnation = self.peers[pick as usize - 1].incarnation;
        let change = match self.rng.gen_range(0..3) {
            0 => MemberChange::AddLearner(KeeperId(pick), incarnation, address),
            1 => MemberChange::Promote(KeeperId(pick)),
            _ if spare > 0 && self.may_remove(pick) => MemberChange::Remove(KeeperId(pick)),
            _ => return,
        };
        self.act(at, |core, now, output| drop(core.change_member(change, now, output)));
    }

    /// Returns whether a keeper may be removed: one with a lost disk, or any if no disk is lost. If
    /// a healthy keeper is removed when another's disk was just lost, too few keepers may remain,
    /// which no rule of the consensus can prevent.
    fn may_remove(&self, pick: u32) -> bool {
        let lost = |id: u32, core: &RaftCore| {
            let member = core.membership().members.get(&KeeperId(id));
            member.is_some_and(|m| m.incarnation != self.peers[id as usize - 1].incarnation)
        };
        let cores = self.peers.iter().filter_map(|peer| peer.core.as_ref());
        let mut cores = cores.filter(|core| core.role() == RaftRole::Leader);
        cores
            .all(|core| lost(pick, core) || !(1..=self.peers.len() as u32).any(|id| lost(id, core)))
    }

    fn check(&mut self) {
        let mut leased = 0;
        for peer in &self.peers {
            let Some(core) = &peer.core else { continue };
            if core.role() == RaftRole::Leader {
                let first = self.leaders.entry(core.term()).or_insert(peer.id);
                assert_eq!(*first, peer.id, "two leaders in term {}", core.term());
            }
            leased += usize::from(core.has_lease(self.now_ms));
        }
        assert!(leased <= 1, "two keepers hold the leader's lease");
    }

    /// Checks that every acknowledged proposal was committed.
    pub fn check_acknowledged(&self) {
        let mut found = BTreeSet::new();
        for (_, payload) in self.committed.values() {
            if let Ok(bytes) = <[u8; 8]>::try_from(payload.as_slice()) {
                found.insert(u64::from_le_bytes(bytes));
            }
        }
        assert!(self.acknowledged.is_subset(&found), "an acknowledged proposal was lost");
    }
}

/// Writes a batch to a simulated disk.
pub fn write_batch(disk: &mut StoredState, batch: &LogBatch) {
    if let Some(hard_state) = batch.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(from) = batch.truncate_from {
        disk.entries.retain(|entry| entry.index < from);
    }
    let after = disk.snapshot.index;
    disk.entries.extend(batch.entries.iter().filter(|entry| entry.index > after).cloned());
}

fn apply(applied: &mut Vec<(u64, u64, Vec<u8>)>, index: &mut u64, entry: LogEntry) {
    assert_eq!(entry.index, *index + 1, "entries are applied in order");
    *index = entry.index;
    let payload = match entry.payload {
        EntryPayload::Command(bytes) => bytes,
        EntryPayload::Membership(_) => b"membership".to_vec(),
    };
    applied.push((entry.index, entry.term, payload));
}

fn encode_image(applied: &[(u64, u64, Vec<u8>)]) -> Vec<u8> {
    rmp_serde::to_vec(applied).unwrap()
}

fn decode_image(image: &[u8]) -> Vec<(u64, u64, Vec<u8>)> {
    if image.is_empty() {
        return Vec::new();
    }
    rmp_serde::from_slice(image).unwrap()
}
