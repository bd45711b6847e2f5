//! A pool of worker threads that grows to a fixed limit and shrinks when idle.
//!
//! A stream occupies its worker until it ends, so the limit of the pool is also the limit of
//! requests in flight. A job for which no worker is free is returned, so that the caller can refuse
//! it at once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};

/// The stack size of a worker: enough for the deepest call, and small enough for thousands of
/// workers.
const STACK_BYTES: usize = 256 << 10;
/// How long an idle worker waits for a job before it ends.
const IDLE: Duration = Duration::from_secs(5);

type Job = Box<dyn FnOnce() + Send>;

/// A pool of worker threads; clones share the workers.
#[derive(Clone)]
pub struct WorkerPool {
    sender: Sender<Job>,
    receiver: Receiver<Job>,
    workers: Arc<AtomicUsize>,
    limit: usize,
    name: &'static str,
}

impl WorkerPool {
    /// Makes a pool of at most `limit` workers.
    pub fn new(name: &'static str, limit: usize) -> WorkerPool {
        let (sender, receiver) = bounded(0);
        WorkerPool { sender, receiver, workers: Arc::default(), limit, name }
    }

    /// Returns the current number of workers.
    pub fn workers(&self) -> usize {
        self.workers.load(Ordering::Relaxed)
    }

    /// Runs a job on an idle or new worker, or returns it when all workers are busy or no thread
    /// can be started.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        let job = match self.sender.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        if self.workers.fetch_add(1, Ordering::Relaxed) >= self.limit {
            self.workers.fetch_sub(1, Ordering::Relaxed);
            return Err(job);
        }
        let (receiver, workers) = (self.receiver.clone(), self.workers.clone());
        let slot = Arc::new(std::sync::Mutex::new(Some(job)));
        let first = slot.clone();
        let spawned = std::thread::Builder::new()
            .name(self.name.to_string())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _count = WorkerCount(workers);
                if let Some(job) = take_job(&first) {
                    job();
                }
                while let Ok(job) = receiver.recv_timeout(IDLE) {
                    job();
                }
            });
        match spawned {
            Ok(_) => Ok(()),
            Err(_) => {
                self.workers.fetch_sub(1, Ordering::Relaxed);
                Err(take_job(&slot).unwrap_or_else(|| Box::new(|| {})))
            }
        }
    }
}

fn take_job(slot: &std::sync::Mutex<Option<Job>>) -> Option<Job> {
    slot.lock().unwrap_or_else(|poison| poison.into_inner()).take()
}

/// Counts a worker as ended when dropped, even if its job panicked.
struct WorkerCount(Arc<AtomicUsize>);

impl Drop for WorkerCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
