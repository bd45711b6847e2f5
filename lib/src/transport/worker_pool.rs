//! A pool of workers that grows to a fixed limit and shrinks when idle.
//!
//! A stream holds its worker to its end, so the limit is also the limit of requests
//! in flight. A job that finds no room is given back, to be refused at once.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};

/// Stacks of workers: enough for the deepest call, small enough for thousands.
const STACK_BYTES: usize = 256 << 10;
const IDLE: Duration = Duration::from_secs(5);

type Job = Box<dyn FnOnce() + Send>;

/// See the module.
#[derive(Clone)]
pub struct WorkerPool {
    sender: Sender<Job>,
    receiver: Receiver<Job>,
    workers: Arc<AtomicUsize>,
    limit: usize,
    name: &'static str,
}

impl WorkerPool {
    /// A pool of at most `limit` workers.
    pub fn new(name: &'static str, limit: usize) -> WorkerPool {
        let (sender, receiver) = bounded(0);
        WorkerPool { sender, receiver, workers: Arc::default(), limit, name }
    }

    /// How many workers there are now.
    pub fn workers(&self) -> usize {
        self.workers.load(Ordering::Relaxed)
    }

    /// Runs a job on an idle or new worker, or gives it back when all are busy.
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
                if let Some(job) = take(&first) {
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
                Err(take(&slot).unwrap_or_else(|| Box::new(|| {})))
            }
        }
    }
}

fn take(slot: &std::sync::Mutex<Option<Job>>) -> Option<Job> {
    slot.lock().unwrap_or_else(|poison| poison.into_inner()).take()
}

/// Counts a worker down also when its job panicked.
struct WorkerCount(Arc<AtomicUsize>);

impl Drop for WorkerCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
