//! The request queue of a home: strict priority classes with ageing, and weighted deficit
//! round-robin between the workspaces of a class.
//!
//! A waiting request moves up one class for each [`AGE_STEP_MS`] that it has waited, so the lowest
//! class is delayed by the others but never starved. See `docs/design/fairness.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::ids::{UpstreamKey, WorkspaceKey};

/// After each wait of this length, in milliseconds, a request counts as one class higher.
pub const AGE_STEP_MS: u64 = 8000;

/// How soon a request needs its first token.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum RequestClass {
    /// Interactive: a person watches the answer arrive.
    Live,
    /// Everyday work.
    #[default]
    Normal,
    /// Background work that may wait.
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

    /// The class with this name.
    pub fn named(name: &str) -> Option<RequestClass> {
        RequestClass::ALL.into_iter().find(|class| class.name() == name)
    }

    /// How many of an engine's `all` slots this class may fill. The batch class leaves a quarter
    /// free, so that a live request gets a slot at once.
    pub fn slots(self, all: u32) -> u32 {
        match self {
            RequestClass::Live | RequestClass::Normal => all,
            RequestClass::Batch => (all - all / 4).max(1),
        }
    }

    /// The priority that is sent to engines; a higher one goes first.
    pub fn priority(self) -> u8 {
        match self {
            RequestClass::Live => 2,
            RequestClass::Normal => 1,
            RequestClass::Batch => 0,
        }
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The handle by which the caller of the queue identifies the request.
    pub ticket: u64,
    /// The workspace that sent it.
    pub workspace: WorkspaceKey,
    /// The weight of that workspace in the round-robin.
    pub weight: u64,
    /// Its class.
    pub class: RequestClass,
    /// Its work, in tokens.
    pub work: u64,
    /// When it was queued.
    pub since_ms: u64,
    /// When it gives up.
    pub until_ms: u64,
    /// The only engine that it waits for, if it waits for a particular one.
    pub only: Option<UpstreamKey>,
}

#[derive(Debug, Default)]
struct WorkspaceLane {
    waiting: VecDeque<WaitingRequest>,
    deficit: u64,
}

/// The waiting requests of one fleet at one home.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<(RequestClass, WorkspaceKey), WorkspaceLane>,
    last_served: BTreeMap<u64, WorkspaceKey>,
    length: usize,
}

impl FairQueue {
    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Whether a request of this class or a more urgent one waits for any engine, so that a new
    /// request has to queue behind it.
    pub fn has_waiting(&self, class: RequestClass) -> bool {
        let mut lanes = self.lanes.iter().filter(|((waiting, _), _)| *waiting <= class);
        lanes.any(|(_, lane)| lane.waiting.iter().any(|request| request.only.is_none()))
    }

    /// Queues a request; returns false if `capacity` requests wait already.
    pub fn push(&mut self, request: WaitingRequest, capacity: usize) -> bool {
        if self.length >= capacity {
            return false;
        }
        let lane = self.lanes.entry((request.class, request.workspace)).or_default();
        lane.waiting.push_back(request);
        self.length += 1;
        true
    }

    /// Removes a request whose caller gave up; returns whether it was queued.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let before = self.length;
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|request| request.ticket != ticket);
        }
        self.drop_empty();
        self.length < before
    }

    /// Removes and returns all requests whose time has ended; they are refused as not run.
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

    /// Removes and returns the next request for which `admit` returns true. The order of the others
    /// stays as it is.
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

    /// The lanes whose first request has this rank after ageing, starting with the workspace that
    /// was served last.
    fn turn_order(&self, rank: u64, now_ms: u64) -> Vec<(RequestClass, WorkspaceKey)> {
        let mut turn = Vec::new();
        for (key, lane) in &self.lanes {
            let head = lane.waiting.front();
            if head.is_some_and(|head| aged_rank(head, now_ms) == rank) {
                turn.push(*key);
            }
        }
        turn.sort_by_key(|(_, workspace)| *workspace);
        // The workspace that was served last comes first: it keeps its turn while its deficit
        // lasts.
        let last = self.last_served.get(&rank);
        let split = last.map_or(0, |last| turn.partition_point(|(_, key)| key < last));
        turn.rotate_left(split);
        turn
    }

    /// Removes and returns the next admitted request of the lanes in `turn`. Each lane that can't
    /// afford its head adds a quantum times its weight to its deficit, in turn, until one can.
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
                // A request that waits for a particular engine does not block those behind it.
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

    /// Removes empty lanes, which loses their deficit, and counts the waiting requests.
    fn drop_empty(&mut self) {
        self.lanes.retain(|_, lane| !lane.waiting.is_empty());
        self.length = self.lanes.values().map(|lane| lane.waiting.len()).sum();
    }
}

/// The position of the first request that is admitted: the head of the lane, or one behind requests
/// that wait for a particular engine.
fn first_admitted(
    lane: &WorkspaceLane,
    admit: &mut impl FnMut(&WaitingRequest) -> bool,
) -> Option<usize> {
    for (at, request) in lane.waiting.iter().enumerate() {
        if admit(request) {
            return Some(at);
        }
        // A head that may go to any engine keeps its turn: no request behind it goes first.
        request.only?;
    }
    None
}

/// The rank of a request's class after ageing; 0 is the most urgent.
fn aged_rank(request: &WaitingRequest, now_ms: u64) -> u64 {
    let steps = now_ms.saturating_sub(request.since_ms) / AGE_STEP_MS;
    (request.class as u64).saturating_sub(steps)
}
