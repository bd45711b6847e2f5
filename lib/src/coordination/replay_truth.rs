//! The actual state in a replay: each engine's load and cache, regardless of the routers'
//! information.

use std::collections::{BTreeMap, HashMap};

use super::trace::TraceStatus;

/// The actual state of one engine.
#[derive(Clone, Debug)]
pub struct TrueEngine {
    /// Its status.
    pub status: TraceStatus,
    /// Its incarnation, which increases when it ends.
    pub incarnation: u64,
    /// The number of requests in flight.
    pub requests: u32,
    /// The work of the requests in flight.
    pub work: u64,
    /// The reported loads, oldest first: the time in milliseconds, the requests and the work.
    pub reports: std::collections::VecDeque<(u64, u32, u64)>,
    cache: HashMap<u64, (u32, u64)>,
    by_last_use: BTreeMap<u64, u64>,
    cached_tokens: u64,
    uses: u64,
}

impl Default for TrueEngine {
    fn default() -> TrueEngine {
        TrueEngine {
            status: TraceStatus::Live,
            incarnation: 1,
            requests: 0,
            work: 0,
            reports: Default::default(),
            cache: HashMap::new(),
            by_last_use: BTreeMap::new(),
            cached_tokens: 0,
            uses: 0,
        }
    }
}

impl TrueEngine {
    /// Returns the number of tokens of a chat's prompt that are cached on this engine.
    pub fn cached(&self, chat: u64) -> u32 {
        self.cache.get(&chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Caches `tokens` tokens of a chat, and returns the chats that were evicted, the least
    /// recently used ones, to stay within `capacity` tokens.
    pub fn store(&mut self, chat: u64, tokens: u32, capacity: u64) -> Vec<u64> {
        self.uses += 1;
        if let Some((before, used)) = self.cache.insert(chat, (tokens, self.uses)) {
            self.by_last_use.remove(&used);
            self.cached_tokens -= before as u64;
        }
        self.by_last_use.insert(self.uses, chat);
        self.cached_tokens += tokens as u64;
        let mut evicted = Vec::new();
        while self.cached_tokens > capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { break };
            if let Some((tokens, _)) = self.cache.remove(&oldest) {
                self.cached_tokens -= tokens as u64;
            }
            evicted.push(oldest);
        }
        evicted
    }

    /// Returns every cached chat with its tokens.
    pub fn cache(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.cache.iter().map(|(chat, (tokens, _))| (*chat, *tokens))
    }

    /// Changes the status. An engine that ends loses its cache and gets the next incarnation.
    pub fn set_status(&mut self, status: TraceStatus) {
        if status == TraceStatus::Gone {
            let incarnation = self.incarnation + 1;
            *self = TrueEngine { status, incarnation, ..TrueEngine::default() };
        }
        self.status = status;
    }

    /// Adds the current load to the reports, and drops reports that are older than needed for a lag
    /// of `lag_ms`.
    pub fn note_report(&mut self, now_ms: u64, lag_ms: u64) {
        self.reports.push_back((now_ms, self.requests, self.work));
        while self.reports.get(1).is_some_and(|(at, ..)| at + lag_ms <= now_ms) {
            self.reports.pop_front();
        }
    }

    /// Returns the oldest report of the work that was kept: the one that is in effect after the
    /// lag.
    pub fn reported_work(&self) -> u64 {
        self.reports.front().map_or(0, |(_, _, work)| *work)
    }
}
