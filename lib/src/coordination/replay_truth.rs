//! What is true in a replay: each engine's load and cache, whatever routers believe.

use std::collections::{BTreeMap, HashMap};

use super::trace::TraceStanding;

/// One engine.
#[derive(Clone, Debug)]
pub struct TrueEngine {
    /// How it stands.
    pub standing: TraceStanding,
    /// Its life; rises when it comes back.
    pub life: u64,
    /// Requests in flight.
    pub requests: u32,
    /// Their work.
    pub work: u64,
    /// Loads as reported: the time, requests and work, oldest first.
    pub reports: std::collections::VecDeque<(u64, u32, u64)>,
    cache: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
    cached_tokens: u64,
    uses: u64,
}

impl Default for TrueEngine {
    fn default() -> TrueEngine {
        TrueEngine {
            standing: TraceStanding::Live,
            life: 1,
            requests: 0,
            work: 0,
            reports: Default::default(),
            cache: HashMap::new(),
            by_use: BTreeMap::new(),
            cached_tokens: 0,
            uses: 0,
        }
    }
}

impl TrueEngine {
    /// Tokens of a chat's prompt that are cached here.
    pub fn cached(&self, chat: u64) -> u32 {
        self.cache.get(&chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// The chat is cached with `tokens`; returns the chats that were dropped for room.
    pub fn store(&mut self, chat: u64, tokens: u32, capacity: u64) -> Vec<u64> {
        self.uses += 1;
        if let Some((before, used)) = self.cache.insert(chat, (tokens, self.uses)) {
            self.by_use.remove(&used);
            self.cached_tokens -= before as u64;
        }
        self.by_use.insert(self.uses, chat);
        self.cached_tokens += tokens as u64;
        let mut dropped = Vec::new();
        while self.cached_tokens > capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            if let Some((tokens, _)) = self.cache.remove(&oldest) {
                self.cached_tokens -= tokens as u64;
            }
            dropped.push(oldest);
        }
        dropped
    }

    /// Every chat cached here, with its tokens.
    pub fn cache(&self) -> impl Iterator<Item = (u64, u32)> + '_ {
        self.cache.iter().map(|(chat, (tokens, _))| (*chat, *tokens))
    }

    /// Changes its standing; one that is gone loses its cache, and comes back as a new life.
    pub fn set_standing(&mut self, standing: TraceStanding) {
        if standing == TraceStanding::Gone {
            let life = self.life + 1;
            *self = TrueEngine { standing, life, ..TrueEngine::default() };
        }
        self.standing = standing;
    }

    /// Notes the load for later reports.
    pub fn note_report(&mut self, now_ms: u64, lag_ms: u64) {
        self.reports.push_back((now_ms, self.requests, self.work));
        while self.reports.get(1).is_some_and(|(at, ..)| at + lag_ms <= now_ms) {
            self.reports.pop_front();
        }
    }

    /// The work as reported, late.
    pub fn reported_work(&self) -> u64 {
        self.reports.front().map_or(0, |(_, _, work)| *work)
    }
}
