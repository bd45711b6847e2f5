//! What came of a replay, and whether it is what the trace states.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::trace::{TraceExpectation, TraceRequest, TraceSetup};

/// The loads at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplaySample {
    /// When, in milliseconds.
    pub at_ms: u64,
    /// The largest load, in work.
    pub most: u64,
    /// The mean.
    pub mean: f64,
    /// Requests in flight.
    pub requests: u32,
    /// Each live engine's load.
    pub loads: Vec<u64>,
    /// Returning requests so far.
    pub returning: u64,
    /// Those of them that found their prefix.
    pub reused: u64,
    /// Renewals and tries at other routers so far.
    pub messages: u64,
}

impl ReplaySample {
    /// The sample of the live engines' loads.
    pub fn of(at_ms: u64, loads: &[u64], requests: u32) -> ReplaySample {
        let mean = loads.iter().sum::<u64>() as f64 / loads.len().max(1) as f64;
        ReplaySample {
            at_ms,
            most: loads.iter().copied().max().unwrap_or(0),
            mean,
            requests,
            loads: loads.to_vec(),
            ..ReplaySample::default()
        }
    }
}

/// Counts and figures of one replay.
#[derive(Clone, Debug)]
pub struct ReplayOutcome {
    /// Requests that came.
    pub requests: u64,
    /// Those that were never started.
    pub refused: u64,
    /// Those that waited in a queue.
    pub queued: u64,
    /// Those whose engine went away under them.
    pub cut: u64,
    /// Starts.
    pub admissions: u64,
    /// Starts on an engine that truly was at or above the bound.
    pub above_bound: u64,
    /// The worst of them, as load over bound.
    pub worst_over: f64,
    /// Requests of chats that returned.
    pub returning: u64,
    /// Those that found at least nine tenths of their earlier context.
    pub reused: u64,
    /// Those for which it was imported.
    pub reused_by_import: u64,
    /// Those for which some live engine had it at all.
    pub held_anywhere: u64,
    /// Those that did not, though another live engine had it.
    pub missed_elsewhere: u64,
    /// Of those, the ones whose holder the placing router knew, and found at its bound.
    pub missed_at_bound: u64,
    /// Requests that waited for the engine that holds their prefix.
    pub holder_waits: u64,
    /// Imports made.
    pub imports: u64,
    /// Requests that went on to another router.
    pub hops: u64,
    /// Tries at another router, room or not.
    pub remote_tries: u64,
    /// Tries on an engine that was gone.
    pub dead_tries: u64,
    /// Renewals of routers.
    pub exchanges: u64,
    /// Loads over time.
    pub samples: Vec<ReplaySample>,
    /// Where each chat's latest request went.
    pub placed: HashMap<u64, u32>,
    /// Time before the first token, prefill and wait, in milliseconds.
    pub first_token_ms: Histogram<u64>,
    waits: BTreeMap<u32, Histogram<u64>>,
    contexts: HashMap<u64, u32>,
    multiple: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000, 3).expect("the bounds are constant and good")
}

impl ReplayOutcome {
    pub(super) fn new(setup: &TraceSetup) -> ReplayOutcome {
        ReplayOutcome {
            requests: 0,
            refused: 0,
            queued: 0,
            cut: 0,
            admissions: 0,
            above_bound: 0,
            worst_over: 0.0,
            returning: 0,
            reused: 0,
            reused_by_import: 0,
            held_anywhere: 0,
            missed_elsewhere: 0,
            missed_at_bound: 0,
            holder_waits: 0,
            imports: 0,
            hops: 0,
            remote_tries: 0,
            dead_tries: 0,
            exchanges: 0,
            samples: Vec::new(),
            placed: HashMap::new(),
            first_token_ms: histogram(),
            waits: BTreeMap::new(),
            contexts: HashMap::new(),
            multiple: setup.multiple,
        }
    }

    pub(super) fn note_start(
        &mut self,
        request: &TraceRequest,
        held: u32,
        found: u32,
        anywhere: bool,
        waited_ms: u64,
        prefill_ms: f64,
    ) {
        if request.turn > 1 {
            self.returning += 1;
            self.held_anywhere += u64::from(anywhere);
            let context =
                self.contexts.get(&request.chat).copied().unwrap_or(0).min(request.prompt);
            let enough = |tokens: u32| tokens > 0 && tokens as f64 >= 0.9 * context as f64;
            if !enough(held) && anywhere {
                self.missed_elsewhere += 1;
            }
            if enough(held) {
                self.reused += 1;
            } else if enough(found) {
                self.reused_by_import += 1;
            }
        }
        self.contexts.insert(request.chat, request.prompt + request.output);
        self.first_token_ms.saturating_record(waited_ms + prefill_ms as u64);
        let waits = self.waits.entry(request.workspace).or_insert_with(histogram);
        waits.saturating_record(waited_ms);
    }

    pub(super) fn note_sample(&mut self, sample: ReplaySample) {
        let messages = self.exchanges + self.remote_tries;
        let (returning, reused) = (self.returning, self.reused);
        self.samples.push(ReplaySample { returning, reused, messages, ..sample });
    }

    /// The share of returning requests that landed where their prefix was cached.
    pub fn reuse(&self) -> f64 {
        self.reused as f64 / self.returning.max(1) as f64
    }

    /// The same, imports counted in.
    pub fn reuse_with_imports(&self) -> f64 {
        (self.reused + self.reused_by_import) as f64 / self.returning.max(1) as f64
    }

    /// A percentile over time of the largest load over the mean, while there is load.
    pub fn skew(&self, quantile: f64) -> f64 {
        let busy = self.samples.iter().filter(|sample| sample.mean > 0.0 && sample.requests > 0);
        let mut ratios: Vec<f64> = busy.map(|sample| sample.most as f64 / sample.mean).collect();
        ratios.sort_by(f64::total_cmp);
        let at = ((ratios.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
        ratios.get(at).copied().unwrap_or(0.0)
    }

    /// The share of requests that were never started.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// The share of requests that hopped between routers.
    pub fn hop_share(&self) -> f64 {
        self.hops as f64 / self.requests.max(1) as f64
    }

    /// A percentile of a workspace's wait, in milliseconds.
    pub fn wait_ms(&self, workspace: u32, quantile: f64) -> u64 {
        self.waits.get(&workspace).map_or(0, |waits| waits.value_at_quantile(quantile))
    }

    /// The workspaces seen.
    pub fn workspaces(&self) -> Vec<u32> {
        self.waits.keys().copied().collect()
    }

    /// The multiple that was in force.
    pub fn multiple(&self) -> f64 {
        self.multiple
    }

    /// Checks what a trace states; `best_reuse` is that of exact knowledge. Each sentence
    /// returned is an outcome that did not come.
    pub fn check(&self, expectations: &[TraceExpectation], best_reuse: f64) -> Vec<String> {
        expectations.iter().filter_map(|e| self.check_one(e, best_reuse)).collect()
    }

    fn check_one(&self, expectation: &TraceExpectation, best_reuse: f64) -> Option<String> {
        let (held, found) = match expectation {
            TraceExpectation::NeverAboveBound => {
                (self.above_bound == 0, format!("{} above the bound", self.above_bound))
            }
            TraceExpectation::ReuseAtLeast(least) => {
                (self.reuse() >= *least, format!("reuse {:.4}", self.reuse()))
            }
            TraceExpectation::ReuseOfBestAtLeast(least) => {
                let share = self.reuse() / best_reuse.max(1e-9);
                (share >= *least, format!("reuse {share:.4} of the best"))
            }
            TraceExpectation::SkewP99AtMost(most) => {
                (self.skew(0.99) <= *most, format!("skew p99 {:.3}", self.skew(0.99)))
            }
            TraceExpectation::RefusedAtMost(most) => {
                (self.refused_share() <= *most, format!("refused {:.5}", self.refused_share()))
            }
            TraceExpectation::WaitP99AtMost { workspace, wait_ms } => {
                let wait = self.wait_ms(*workspace, 0.99);
                (wait <= *wait_ms, format!("workspace {workspace} waited {wait} ms"))
            }
            TraceExpectation::Placed { chat, engine } => {
                let placed = self.placed.get(chat);
                (placed == Some(engine), format!("chat {chat} went to {placed:?}"))
            }
        };
        (!held).then(|| format!("expected {expectation:?}, but {found}"))
    }
}
