//! The outcome of a replay, and its comparison with the expectations of the trace.

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::trace::{TraceExpectation, TraceRequest, TraceSetup};

/// The loads at one time of a replay.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReplaySample {
    /// The time, in milliseconds.
    pub at_ms: u64,
    /// The largest load of an engine, in work.
    pub most: u64,
    /// The mean load, in work.
    pub mean: f64,
    /// The number of requests in flight.
    pub requests: u32,
    /// The load of each live engine, in work.
    pub loads: Vec<u64>,
    /// The number of returning requests so far.
    pub returning: u64,
    /// The number of them that found their prefix in the cache.
    pub reused: u64,
    /// The number of renewals and of attempts at other routers so far.
    pub messages: u64,
}

impl ReplaySample {
    /// Creates the sample from the loads of the live engines.
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

/// Counts and statistics of one replay.
#[derive(Clone, Debug)]
pub struct ReplayOutcome {
    /// The number of requests that arrived.
    pub requests: u64,
    /// The number of requests that were never started.
    pub refused: u64,
    /// The number of requests that waited in a queue.
    pub queued: u64,
    /// The number of requests whose engine ended before they did.
    pub cut: u64,
    /// The number of requests admitted by an engine.
    pub admissions: u64,
    /// The number of admissions on an engine whose actual load was at or above the bound.
    pub above_bound: u64,
    /// The highest of these loads, as a multiple of the bound.
    pub worst_over: f64,
    /// The number of returning requests, those after the first of a chat.
    pub returning: u64,
    /// The number of returning requests that found at least nine tenths of their earlier context in
    /// the cache.
    pub reused: u64,
    /// The number of returning requests that did so only with an import.
    pub reused_by_import: u64,
    /// The number of returning requests whose chat was cached on any engine.
    pub held_anywhere: u64,
    /// The number of returning requests that did not find their context, although an engine had
    /// their chat cached.
    pub missed_elsewhere: u64,
    /// The number of returning requests that went to another engine than the one that the placing
    /// router had as the holder of their prefix, because that was at its bound.
    pub missed_at_bound: u64,
    /// The number of requests that waited for the engine that has their prefix in its cache.
    pub holder_waits: u64,
    /// The number of imports of a cached prefix.
    pub imports: u64,
    /// The number of requests that were passed on to another router.
    pub hops: u64,
    /// The number of attempts at another router, successful or not.
    pub remote_tries: u64,
    /// The number of attempts on an engine that had ended.
    pub dead_tries: u64,
    /// The number of renewals of routers.
    pub exchanges: u64,
    /// The loads over time.
    pub samples: Vec<ReplaySample>,
    /// The engine of each chat's latest request.
    pub placed: HashMap<u64, u32>,
    /// The time to the first token, which is the sum of the waiting and the prefill time, in
    /// milliseconds.
    pub first_token_ms: Histogram<u64>,
    waits: BTreeMap<u32, Histogram<u64>>,
    context_tokens: HashMap<u64, u32>,
    multiple: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000, 3).expect("the bounds are constant and valid")
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
            context_tokens: HashMap::new(),
            multiple: setup.multiple,
        }
    }

    /// Counts a started request. `held` is the cached part of its prompt on the engine and `found`
    /// the same with an import, both in tokens; `anywhere` is set if any engine has its chat
    /// cached.
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
                self.context_tokens.get(&request.chat).copied().unwrap_or(0).min(request.prompt);
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
        self.context_tokens.insert(request.chat, request.prompt + request.output);
        self.first_token_ms.saturating_record(waited_ms + prefill_ms as u64);
        let waits = self.waits.entry(request.workspace).or_insert_with(histogram);
        waits.saturating_record(waited_ms);
    }

    /// Adds a sample with the current counts.
    pub(super) fn note_sample(&mut self, sample: ReplaySample) {
        let messages = self.exchanges + self.remote_tries;
        let (returning, reused) = (self.returning, self.reused);
        self.samples.push(ReplaySample { returning, reused, messages, ..sample });
    }

    /// Returns the share of returning requests that were placed where their prefix was cached.
    pub fn reuse(&self) -> f64 {
        self.reused as f64 / self.returning.max(1) as f64
    }

    /// Returns the same share, including requests whose prefix was imported.
    pub fn reuse_with_imports(&self) -> f64 {
        (self.reused + self.reused_by_import) as f64 / self.returning.max(1) as f64
    }

    /// Returns a quantile over time of the largest load divided by the mean load, while there is
    /// load.
    pub fn skew(&self, quantile: f64) -> f64 {
        let busy = self.samples.iter().filter(|sample| sample.mean > 0.0 && sample.requests > 0);
        let mut ratios: Vec<f64> = busy.map(|sample| sample.most as f64 / sample.mean).collect();
        ratios.sort_by(f64::total_cmp);
        let at = ((ratios.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
        ratios.get(at).copied().unwrap_or(0.0)
    }

    /// Returns the share of requests that were never started.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of hops between routers relative to the number of requests.
    pub fn hop_share(&self) -> f64 {
        self.hops as f64 / self.requests.max(1) as f64
    }

    /// Returns a quantile of a workspace's waiting times, in milliseconds.
    pub fn wait_ms(&self, workspace: u32, quantile: f64) -> u64 {
        self.waits.get(&workspace).map_or(0, |waits| waits.value_at_quantile(quantile))
    }

    /// Returns the workspaces that sent requests.
    pub fn workspaces(&self) -> Vec<u32> {
        self.waits.keys().copied().collect()
    }

    /// Returns the bound's multiple of the mean load.
    pub fn multiple(&self) -> f64 {
        self.multiple
    }

    /// Checks the expectations of a trace. `best_reuse` is the share of reuse with complete
    /// information. Returns a text for each expectation that wasn't met.
    pub fn check(&self, expectations: &[TraceExpectation], best_reuse: f64) -> Vec<String> {
        expectations.iter().filter_map(|e| self.check_one(e, best_reuse)).collect()
    }

    /// Returns a text if an expectation wasn't met.
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
