//! The consensus over a disk that takes its time.
//!
//! [`RaftCore`] expects that what it hands out is on disk before its messages leave. A sync may
//! take seconds, and a keeper that waited for it would be taken for dead. So writes are jobs for a
//! thread, and the core goes on meanwhile: heartbeats, empty replies and questions leave at once,
//! and only messages that claim something is on disk wait until it is.
//!
//! Invariants: one job runs at a time, in order; a vote and an acknowledged entry leave only after
//! the job that holds them; a job's end counts for all that was queued before it began, so that a
//! disk slower than the proposals still gets on.

use super::raft::RaftCore;
use super::raft_message::{RaftBody, RaftMessage, RaftOutput};
use crate::state::ids::KeeperId;
use crate::state::kept_list::StoredList;
use crate::state::log_store::{HardState, LogBatch, LogEntry, LogSnapshot, StoredState};

/// What a disk thread is asked to do.
#[derive(Debug)]
pub enum DiskJob {
    /// Append and sync.
    Append(LogBatch),
    /// Write everything anew.
    Install(Box<LogSnapshot>, HardState, Vec<LogEntry>),
    /// Keep the list of upstreams for the next start; no part of the consensus.
    KeepList(StoredList),
}

/// A core and what its disk has yet to write.
pub struct DurableCore {
    /// The consensus. Output of an act on it goes to [`DurableCore::settle`].
    pub core: RaftCore,
    running: Option<RunningJob>,
    last_job_ms: u64,
    waiting: Vec<DiskJob>,
    failed_ms: Option<u64>,
    held_back: Vec<(KeeperId, RaftMessage)>,
}

/// The job that the disk works on.
#[derive(Debug, Default)]
struct RunningJob {
    since_ms: u64,
    /// The last entry that is on disk with its end, if no earlier job waits.
    last_index: Option<u64>,
    /// Messages that may leave with its end.
    held_back: Vec<(KeeperId, RaftMessage)>,
}

/// What is to be done after a step, in this order.
#[derive(Debug, Default)]
pub struct DurableOutcome {
    /// A snapshot that a leader sent: the state machine starts anew from it.
    pub installed: Option<LogSnapshot>,
    /// To hand to the disk thread, which reports its end.
    pub job: Option<DiskJob>,
    /// To send.
    pub messages: Vec<(KeeperId, RaftMessage)>,
    /// To apply.
    pub committed: Vec<LogEntry>,
}

impl DurableCore {
    /// A core over its disk.
    pub fn new(core: RaftCore) -> DurableCore {
        DurableCore {
            core,
            running: None,
            last_job_ms: 0,
            waiting: Vec::new(),
            failed_ms: None,
            held_back: Vec::new(),
        }
    }

    /// Whether everything is on disk.
    pub fn is_idle(&self) -> bool {
        self.running.is_none() && self.waiting.is_empty()
    }

    /// Whether the disk has worked on one job for `patience_ms`.
    pub fn is_stuck(&self, patience_ms: u64, now_ms: u64) -> bool {
        self.running.as_ref().is_some_and(|job| now_ms >= job.since_ms + patience_ms)
    }

    /// How long the last job took, in milliseconds.
    pub fn last_job_ms(&self) -> u64 {
        self.last_job_ms
    }

    /// When a job failed, until all is written anew.
    pub fn failed_ms(&self) -> Option<u64> {
        self.failed_ms
    }

    /// Acts on the core.
    pub fn step(
        &mut self,
        now_ms: u64,
        act: impl FnOnce(&mut RaftCore, &mut RaftOutput),
    ) -> DurableOutcome {
        let mut output = RaftOutput::default();
        act(&mut self.core, &mut output);
        self.settle(output, now_ms)
    }

    /// Takes what one or more acts on the core gave.
    pub fn settle(&mut self, mut output: RaftOutput, now_ms: u64) -> DurableOutcome {
        let mut outcome = DurableOutcome::default();
        if let Some(snapshot) = output.install.take() {
            outcome.installed = Some(snapshot.clone());
            self.queue_install(snapshot);
        }
        if !output.batch.is_empty() {
            self.queue(DiskJob::Append(output.batch));
        }
        for (to, message) in output.messages {
            match self.must_wait(&message) {
                true => self.held_back.push((to, message)),
                false => outcome.messages.push((to, message)),
            }
        }
        outcome.job = self.next_job(now_ms);
        outcome.committed = output.committed;
        outcome
    }

    /// The running job is on disk.
    pub fn note_written(&mut self, now_ms: u64) -> DurableOutcome {
        let Some(ended) = self.running.take() else { return DurableOutcome::default() };
        self.last_job_ms = now_ms.saturating_sub(ended.since_ms);
        let mut messages = ended.held_back;
        let mut outcome = self.step(now_ms, |core, output| {
            if let Some(index) = ended.last_index {
                core.note_synced_to(index, output);
                core.flush(now_ms, output);
            }
        });
        messages.append(&mut outcome.messages);
        DurableOutcome { messages, ..outcome }
    }

    /// The running job failed: nothing is written until [`DurableCore::rewrite`].
    pub fn note_failed(&mut self, now_ms: u64) {
        let mut held_back = self.running.take().unwrap_or_default().held_back;
        held_back.append(&mut self.held_back);
        self.held_back = held_back;
        self.failed_ms = Some(now_ms);
        self.waiting.clear();
    }

    /// Writes everything anew after a failure.
    pub fn rewrite(&mut self, now_ms: u64) -> Option<DiskJob> {
        self.failed_ms = None;
        self.waiting.clear();
        self.queue_install(self.core.snapshot().clone());
        self.next_job(now_ms)
    }

    /// Makes a blank keeper a member of the first group, which starts from `snapshot`.
    pub fn start_group(
        &mut self,
        snapshot: LogSnapshot,
        seed: u64,
        now_ms: u64,
    ) -> Option<DiskJob> {
        let (id, incarnation) = (self.core.id, self.core.incarnation);
        // It may have voted already, for one that formed the group before it.
        let hard_state = self.core.hard_state();
        let stored = StoredState { snapshot, hard_state, ..StoredState::default() };
        self.core = RaftCore::new(id, incarnation, stored, seed, now_ms);
        self.rewrite(now_ms)
    }

    /// Replaces the log up to `index` by the state machine's image, unless the disk is busy.
    pub fn compact(&mut self, index: u64, image: Vec<u8>, now_ms: u64) -> Option<DiskJob> {
        if !self.is_idle() {
            return None;
        }
        let snapshot = self.core.compact(index, image)?.clone();
        self.queue_install(snapshot);
        self.next_job(now_ms)
    }

    /// Queues what the disk must hold before anything else, such as the first group.
    pub fn queue(&mut self, job: DiskJob) {
        if self.failed_ms.is_some() {
            // Everything is written anew anyway.
            return;
        }
        self.forget_replaced(&job);
        match (self.waiting.last_mut(), job) {
            (Some(DiskJob::Append(before)), DiskJob::Append(batch)) => merge_batch(before, batch),
            (_, job) => self.waiting.push(job),
        }
    }

    /// Starts the next job if none runs.
    pub fn next_job(&mut self, now_ms: u64) -> Option<DiskJob> {
        if self.running.is_some() || self.waiting.is_empty() {
            return None;
        }
        let job = self.waiting.remove(0);
        let mut running = RunningJob { since_ms: now_ms, ..RunningJob::default() };
        if self.waiting.is_empty() {
            running.last_index = Some(self.core.last_index());
            running.held_back = std::mem::take(&mut self.held_back);
        }
        self.running = Some(running);
        Some(job)
    }

    /// What a newer job truncates or replaces doesn't count as written by the running one.
    fn forget_replaced(&mut self, job: &DiskJob) {
        let Some(running) = &mut self.running else { return };
        running.last_index = match job {
            DiskJob::Append(batch) => match (running.last_index, batch.truncate_from) {
                (Some(last), Some(from)) => Some(last.min(from.saturating_sub(1))),
                (last, _) => last,
            },
            DiskJob::Install(..) => None,
            DiskJob::KeepList(_) => running.last_index,
        };
    }

    fn queue_install(&mut self, snapshot: LogSnapshot) {
        let entries = self.core.entries().to_vec();
        self.queue(DiskJob::Install(Box::new(snapshot), self.core.hard_state(), entries));
    }

    /// Replies claim what is on disk, so they wait for it; so does a vote for itself.
    fn must_wait(&self, message: &RaftMessage) -> bool {
        let claims = match &message.body {
            RaftBody::VoteReply { pre, granted } => !pre && *granted,
            RaftBody::Vote { pre, .. } => !pre,
            RaftBody::AppendReply { matched, index, .. } => {
                *matched && *index > self.core.synced_index()
            }
            RaftBody::Append { .. } | RaftBody::Piece { .. } | RaftBody::StandNow => false,
        };
        claims && (!self.is_idle() || self.failed_ms.is_some())
    }
}

fn merge_batch(before: &mut LogBatch, batch: LogBatch) {
    if batch.hard_state.is_some() {
        before.hard_state = batch.hard_state;
    }
    if let Some(from) = batch.truncate_from {
        before.entries.retain(|entry| entry.index < from);
        before.truncate_from = Some(before.truncate_from.map_or(from, |other| other.min(from)));
    }
    before.entries.extend(batch.entries);
}
