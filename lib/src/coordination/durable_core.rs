//! The consensus with asynchronous disk writes.
//!
//! [`RaftCore`] requires that its output is on disk before its messages are sent. A sync may
//! take seconds, and a keeper that blocked on it would be considered dead. So writes are jobs for
//! a disk thread, and the core continues meanwhile: heartbeats, replies that acknowledge nothing
//! new and pre-votes are sent at once, and only messages that imply that something is on disk are
//! delayed until it is.
//!
//! Invariants: jobs run one at a time, in order; a vote or an acknowledgement of entries is sent
//! only after the job that writes it; the end of a job covers everything that was queued before
//! the job began, so that a disk slower than the proposals still makes progress.

use super::raft::RaftCore;
use super::raft_message::{RaftBody, RaftMessage, RaftOutput};
use crate::state::ids::KeeperId;
use crate::state::kept_list::StoredList;
use crate::state::log_store::{HardState, LogBatch, LogEntry, LogSnapshot, StoredState};

/// A job for the disk thread.
#[derive(Debug)]
pub enum DiskJob {
    /// Append a batch to the log and sync it.
    Append(LogBatch),
    /// Replace the whole log by a snapshot, the term and vote, and the entries after the snapshot.
    Install(Box<LogSnapshot>, HardState, Vec<LogEntry>),
    /// Save the list of upstreams for the next start. It is not part of the consensus.
    KeepList(StoredList),
}

/// A consensus core with its pending disk jobs and the messages that depend on them.
pub struct DurableCore {
    /// The consensus core. The output of direct calls must be passed to
    /// [`DurableCore::process_output`].
    pub core: RaftCore,
    running: Option<RunningJob>,
    last_job_ms: u64,
    waiting: Vec<DiskJob>,
    /// When a job failed, if the log has not been rewritten since.
    failed_ms: Option<u64>,
    /// Messages that may be sent after the last waiting job.
    deferred: Vec<(KeeperId, RaftMessage)>,
}

/// The job that the disk thread is running.
#[derive(Debug, Default)]
struct RunningJob {
    since_ms: u64,
    /// The last log entry that is on disk once this job ends. `None` if further jobs waited when
    /// it began, or if a later job replaces the log.
    last_index: Option<u64>,
    /// Messages that may be sent once this job ends.
    deferred: Vec<(KeeperId, RaftMessage)>,
}

/// What the caller has to do after a step, in the order of the fields.
#[derive(Debug, Default)]
pub struct DurableOutcome {
    /// A snapshot from a leader, from which the state machine is restored.
    pub installed: Option<LogSnapshot>,
    /// A job for the disk thread, whose end is reported to [`DurableCore::note_written`] or
    /// [`DurableCore::note_failed`].
    pub job: Option<DiskJob>,
    /// Messages to send, with their receivers.
    pub messages: Vec<(KeeperId, RaftMessage)>,
    /// Committed entries to apply.
    pub committed: Vec<LogEntry>,
}

impl DurableCore {
    /// Wraps a core without pending jobs.
    pub fn new(core: RaftCore) -> DurableCore {
        DurableCore {
            core,
            running: None,
            last_job_ms: 0,
            waiting: Vec::new(),
            failed_ms: None,
            deferred: Vec::new(),
        }
    }

    /// Returns whether no disk job runs or waits.
    pub fn is_idle(&self) -> bool {
        self.running.is_none() && self.waiting.is_empty()
    }

    /// Returns whether the running job has taken at least `patience_ms`.
    pub fn is_stuck(&self, patience_ms: u64, now_ms: u64) -> bool {
        self.running.as_ref().is_some_and(|job| now_ms >= job.since_ms + patience_ms)
    }

    /// Returns how long the last completed job took, in milliseconds.
    pub fn last_job_ms(&self) -> u64 {
        self.last_job_ms
    }

    /// Returns when a job failed, or `None` if the log has been rewritten since.
    pub fn failed_ms(&self) -> Option<u64> {
        self.failed_ms
    }

    /// Calls the core and processes its output.
    pub fn step(
        &mut self,
        now_ms: u64,
        act: impl FnOnce(&mut RaftCore, &mut RaftOutput),
    ) -> DurableOutcome {
        let mut output = RaftOutput::default();
        act(&mut self.core, &mut output);
        self.process_output(output, now_ms)
    }

    /// Processes the output of one or more calls of the core: queues the writes, and holds back
    /// the messages that must follow them.
    pub fn process_output(&mut self, mut output: RaftOutput, now_ms: u64) -> DurableOutcome {
        let mut outcome = DurableOutcome::default();
        if let Some(snapshot) = output.install.take() {
            outcome.installed = Some(snapshot.clone());
            self.queue_install(snapshot);
        }
        if !output.batch.is_empty() {
            self.queue(DiskJob::Append(output.batch));
        }
        for (to, message) in output.messages {
            match self.must_follow_write(&message) {
                true => self.deferred.push((to, message)),
                false => outcome.messages.push((to, message)),
            }
        }
        outcome.job = self.next_job(now_ms);
        outcome.committed = output.committed;
        outcome
    }

    /// Notes that the running job is on disk, and releases the messages that waited for it.
    pub fn note_written(&mut self, now_ms: u64) -> DurableOutcome {
        let Some(ended) = self.running.take() else { return DurableOutcome::default() };
        self.last_job_ms = now_ms.saturating_sub(ended.since_ms);
        let mut messages = ended.deferred;
        let mut outcome = self.step(now_ms, |core, output| {
            if let Some(index) = ended.last_index {
                core.note_synced_to(index, output);
                core.flush(now_ms, output);
            }
        });
        messages.append(&mut outcome.messages);
        DurableOutcome { messages, ..outcome }
    }

    /// Notes that the running job failed. Nothing is written until [`DurableCore::rewrite`].
    pub fn note_failed(&mut self, now_ms: u64) {
        let mut deferred = self.running.take().unwrap_or_default().deferred;
        deferred.append(&mut self.deferred);
        self.deferred = deferred;
        self.failed_ms = Some(now_ms);
        self.waiting.clear();
    }

    /// Rewrites the whole log after a failure. Returns the job to run.
    pub fn rewrite(&mut self, now_ms: u64) -> Option<DiskJob> {
        self.failed_ms = None;
        self.waiting.clear();
        self.queue_install(self.core.snapshot().clone());
        self.next_job(now_ms)
    }

    /// Makes a keeper with an empty disk a member of a new group, which starts from `snapshot`.
    pub fn start_group(
        &mut self,
        snapshot: LogSnapshot,
        seed: u64,
        now_ms: u64,
    ) -> Option<DiskJob> {
        let (id, incarnation) = (self.core.id, self.core.incarnation);
        // The vote is kept: this keeper may have voted for a member that formed the group earlier.
        let hard_state = self.core.hard_state();
        let stored = StoredState { snapshot, hard_state, ..StoredState::default() };
        self.core = RaftCore::new(id, incarnation, stored, seed, now_ms);
        self.rewrite(now_ms)
    }

    /// Replaces the log up to `index` by the state machine's image. Does nothing while disk jobs
    /// run or wait.
    pub fn compact(&mut self, index: u64, image: Vec<u8>, now_ms: u64) -> Option<DiskJob> {
        if !self.is_idle() {
            return None;
        }
        let snapshot = self.core.compact(index, image)?.clone();
        self.queue_install(snapshot);
        self.next_job(now_ms)
    }

    /// Queues a job. Consecutive appends are merged into one.
    pub fn queue(&mut self, job: DiskJob) {
        if self.failed_ms.is_some() {
            // `rewrite` will write the whole state.
            return;
        }
        self.exclude_replaced(&job);
        match (self.waiting.last_mut(), job) {
            (Some(DiskJob::Append(before)), DiskJob::Append(batch)) => merge_batch(before, batch),
            (_, job) => self.waiting.push(job),
        }
    }

    /// Starts the next waiting job if none runs, and returns it.
    pub fn next_job(&mut self, now_ms: u64) -> Option<DiskJob> {
        if self.running.is_some() || self.waiting.is_empty() {
            return None;
        }
        let job = self.waiting.remove(0);
        let mut running = RunningJob { since_ms: now_ms, ..RunningJob::default() };
        if self.waiting.is_empty() {
            running.last_index = Some(self.core.last_index());
            running.deferred = std::mem::take(&mut self.deferred);
        }
        self.running = Some(running);
        Some(job)
    }

    /// Excludes the entries that a new job truncates or replaces from those that the end of the
    /// running job marks as synced.
    fn exclude_replaced(&mut self, job: &DiskJob) {
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

    /// Queues a job that replaces the whole log by the snapshot and the current entries.
    fn queue_install(&mut self, snapshot: LogSnapshot) {
        let entries = self.core.entries().to_vec();
        self.queue(DiskJob::Install(Box::new(snapshot), self.core.hard_state(), entries));
    }

    /// Returns whether a message must wait for the disk: a granted vote, a vote request (which
    /// implies the candidate's vote for itself), or an acknowledgement of unsynced entries.
    fn must_follow_write(&self, message: &RaftMessage) -> bool {
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

/// Appends `batch` to an earlier batch that is not written yet.
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
