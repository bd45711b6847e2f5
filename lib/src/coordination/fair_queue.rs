//! The queue at a home: strict classes with ageing, and weighted deficit
//! round-robin between the workspaces inside a class.
//!
//! A waiting request rises by one class for each [`AGE_STEP_MS`] that it has
//! waited, so the lowest class is delayed by the others but never starved.
//! See `docs/design/fairness.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::ids::{UpstreamKey, WorkspaceKey};

/// After each such wait, in milliseconds, a request counts as one class higher.
pub const AGE_STEP_MS: u64 = 8000;

/// How soon a request needs its first token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// Someone watches it come.
    Live,
    /// Everyday work.
    #[default]
    Normal,
    /// May wait.
    Batch,
}

impl RequestClass {
    /// All classes, the most urgent first.
    pub const ALL: [RequestClass; 3] =
        [RequestClass::Live, RequestClass::Normal, RequestClass::Batch];

    /// The name in policies and reports.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Live => "live",
            RequestClass::Normal => "normal",
            RequestClass::Batch => "batch",
        }
    }

    /// The class of this name.
    pub fn named(name: &str) -> Option<RequestClass> {
        RequestClass::ALL.into_iter().find(|class| class.name() == name)
    }

    /// How many of an engine's places this class may fill: the batch class leaves a quarter, so
    /// that a live request finds one at once.
    pub fn places(self, all: u32) -> u32 {
        match self {
            RequestClass::Live | RequestClass::Normal => all,
            RequestClass::Batch => (all - all / 4).max(1),
        }
    }

    /// The priority that is sent to engines: higher goes first.
    pub fn priority(self) -> u8 {
        match self {
            RequestClass::Live => 2,
            RequestClass::Normal => 1,
            RequestClass::Batch => 0,
        }
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The caller's handle on it.
    pub ticket: u64,
    /// Whose it is.
    pub workspace: WorkspaceKey,
    /// That workspace's share.
    pub weight: u64,
    /// Its class.
    pub class: RequestClass,
    /// Its work.
    pub work: u64,
    /// When it came.
    pub since_ms: u64,
    /// When it gives up.
    pub until_ms: u64,
    /// It waits for this engine and no other.
    pub only: Option<UpstreamKey>,
}

#[derive(Debug, Default)]
struct WorkspaceLane {
    waiting: VecDeque<WaitingRequest>,
    deficit: u64,
}

/// All that waits at one home for one fleet.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<(RequestClass, WorkspaceKey), WorkspaceLane>,
    last_served: BTreeMap<u64, WorkspaceKey>,
    length: usize,
}

impl FairQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether someone of this class or a more urgent one waits, so that a newcomer must too.
    pub fn has_rank(&self, class: RequestClass) -> bool {
        let mut lanes = self.lanes.iter().filter(|((waiting, _), _)| *waiting <= class);
        lanes.any(|(_, lane)| lane.waiting.iter().any(|request| request.only.is_none()))
    }

    /// Queues a request, unless `capacity` wait already.
    pub fn push(&mut self, request: WaitingRequest, capacity: usize) -> bool {
        if self.length >= capacity {
            return false;
        }
        let lane = self.lanes.entry((request.class, request.workspace)).or_default();
        lane.waiting.push_back(request);
        self.length += 1;
        true
    }

    /// Takes out a request, when its caller gave up.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.length;
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|request| request.ticket != ticket);
        }
        self.drop_empty();
        self.length < before
    }

    /// Takes out all whose time is over; they are refused as not run.
    pub fn expire(&mut self, now_ms: u64) -> Vec<WaitingRequest> {
        let mut over = Vec::new();
        for lane in self.lanes.values_mut() {
            let (late, rest): (VecDeque<_>, VecDeque<_>) =
                lane.waiting.iter().partition(|request| request.until_ms <= now_ms);
            lane.waiting = rest;
            over.extend(late);
        }
        self.drop_empty();
        over
    }

    /// Takes the next request for which `admit` says yes; the turn order is kept for the rest.
    pub fn pop(
        &mut self,
        now_ms: u64,
        mut admit: impl FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        for rank in 0..RequestClass::ALL.len() as u64 {
            let turn = self.turn_order(rank, now_ms);
            if let Some(request) = self.pop_among(rank, &turn, &mut admit) {
                return Some(request);
            }
        }
        None
    }

    /// The lanes whose head has this rank after ageing, starting after the one served last.
    fn turn_order(&self, rank: u64, now_ms: u64) -> Vec<(RequestClass, WorkspaceKey)> {
        let mut turn = Vec::new();
        for (key, lane) in &self.lanes {
            let head = lane.waiting.front();
            if head.is_some_and(|head| aged_rank(head, now_ms) == rank) {
                turn.push(*key);
            }
        }
        turn.sort_by_key(|(_, workspace)| *workspace);
        // The workspace served last stands first: it keeps its turn while its deficit lasts.
        let last = self.last_served.get(&rank);
        let split = last.map_or(0, |last| turn.partition_point(|(_, key)| key < last));
        turn.rotate_left(split);
        turn
    }

    fn pop_among(
        &mut self,
        rank: u64,
        turn: &[(RequestClass, WorkspaceKey)],
        admit: &mut impl FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let heads = turn.iter().filter_map(|key| self.lanes.get(key)?.waiting.front());
        let quantum = heads.map(|head| head.work.max(1)).max()?;
        let mut open: Vec<_> = turn.to_vec();
        while !open.is_empty() {
            let mut at = 0;
            while at < open.len() {
                let key = open[at];
                let lane = self.lanes.get_mut(&key)?;
                let head = *lane.waiting.front()?;
                if lane.deficit < head.work {
                    lane.deficit += quantum * head.weight.max(1);
                    at += 1;
                    continue;
                }
                // One that waits for a certain engine does not hold up those behind it.
                let Some(at_lane) = first_admitted(lane, admit) else {
                    open.remove(at);
                    continue;
                };
                let Some(head) = lane.waiting.remove(at_lane) else { break };
                lane.deficit = lane.deficit.saturating_sub(head.work);
                self.last_served.insert(rank, key.1);
                self.drop_empty();
                return Some(head);
            }
        }
        None
    }

    fn drop_empty(&mut self) {
        self.lanes.retain(|_, lane| !lane.waiting.is_empty());
        self.length = self.lanes.values().map(|lane| lane.waiting.len()).sum();
    }
}

/// The place of the first request that is admitted: the head, or one behind such as wait for
/// a certain engine.
fn first_admitted(
    lane: &WorkspaceLane,
    admit: &mut impl FnMut(&WaitingRequest) -> bool,
) -> Option<usize> {
    for (at, request) in lane.waiting.iter().enumerate() {
        if admit(request) {
            return Some(at);
        }
        // A plain head keeps its turn: none behind it goes first.
        request.only?;
    }
    None
}

fn aged_rank(request: &WaitingRequest, now_ms: u64) -> u64 {
    let steps = now_ms.saturating_sub(request.since_ms) / AGE_STEP_MS;
    (request.class as u64).saturating_sub(steps)
}
