//! The engines that hold a chat's prefix, as recorded by the chat's home router.
//!
//! The memory is bounded: the least recently used chats are removed first. Once cache events of an
//! engine were lost, its holders are uncertain and never count as certain again.

use std::collections::{BTreeMap, HashMap};

use super::ids::{ChatKey, Incarnation, UpstreamKey};

/// The most holders of one chat that are kept.
pub const HOLDERS_KEPT: usize = 4;

/// After this many gaps in an engine's events, nothing is expected to be left in its cache.
const GAPS_TO_FORGET: f64 = 256.0;

/// How certain it is that a holder still has the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderCertainty {
    /// Events were lost since the chat was served, so that its drop may have been missed.
    Uncertain,
    /// The chat was served there, and no event has reported its drop since.
    Certain,
}

/// One engine that served a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChatHolder {
    /// The engine.
    pub engine: UpstreamKey,
    /// The incarnation of the engine that served the chat.
    pub incarnation: Incarnation,
    /// The prompt tokens that the engine held after serving the chat.
    pub tokens: u32,
    /// The engine's gap counter at the time of serving.
    gap_epoch: u32,
}

#[derive(Clone, Debug, Default)]
struct ChatRecord {
    holders: Vec<ChatHolder>,
    used: u64,
}

/// The prefix holders of the chats of one home router.
#[derive(Clone, Debug)]
pub struct ChatMemory {
    capacity: usize,
    chats: HashMap<ChatKey, ChatRecord>,
    by_use: BTreeMap<u64, ChatKey>,
    gap_epochs: HashMap<UpstreamKey, u32>,
    incarnations: HashMap<UpstreamKey, Incarnation>,
    clock: u64,
}

impl ChatMemory {
    /// An empty memory for at most `capacity` chats.
    pub fn new(capacity: usize) -> ChatMemory {
        ChatMemory {
            capacity: capacity.max(1),
            chats: HashMap::new(),
            by_use: BTreeMap::new(),
            gap_epochs: HashMap::new(),
            incarnations: HashMap::new(),
            clock: 0,
        }
    }

    /// Records that `engine` served `chat` and now holds `tokens` of it.
    pub fn note(
        &mut self,
        chat: ChatKey,
        engine: UpstreamKey,
        incarnation: Incarnation,
        tokens: u32,
    ) {
        let gap_epoch = self.gap_epochs.get(&engine).copied().unwrap_or(0);
        self.clock += 1;
        let record = self.chats.entry(chat).or_default();
        if record.used != 0 {
            self.by_use.remove(&record.used);
        }
        record.used = self.clock;
        self.by_use.insert(self.clock, chat);
        record.holders.retain(|holder| holder.engine != engine);
        record.holders.insert(0, ChatHolder { engine, incarnation, tokens, gap_epoch });
        record.holders.truncate(HOLDERS_KEPT);
        if self.chats.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// The holders of a chat, the most recent first.
    pub fn holders(&self, chat: ChatKey) -> &[ChatHolder] {
        self.chats.get(&chat).map_or(&[], |record| &record.holders)
    }

    /// The number of tokens that a holder is expected to have still.
    ///
    /// Each gap may hide one drop, and an engine holds some hundreds of chats. So one gap hardly
    /// lowers the expectation for one chat, and many gaps make it worthless.
    pub fn expected_tokens(&self, holder: &ChatHolder) -> u32 {
        let gaps = self.gap_epochs.get(&holder.engine).copied().unwrap_or(0);
        let missed = gaps.saturating_sub(holder.gap_epoch) as f64;
        let share = (1.0 - missed / GAPS_TO_FORGET).max(0.0);
        (holder.tokens as f64 * share) as u32
    }

    /// Records the incarnation of an engine. What an earlier incarnation held is lost.
    pub fn set_incarnation(&mut self, engine: UpstreamKey, incarnation: Incarnation) {
        self.incarnations.insert(engine, incarnation);
    }

    /// The certainty of a holder; `None` when the incarnation that served the chat is gone.
    pub fn certainty(&self, holder: &ChatHolder) -> Option<HolderCertainty> {
        let incarnation = self.incarnations.get(&holder.engine);
        if incarnation.is_some_and(|incarnation| *incarnation != holder.incarnation) {
            return None;
        }
        let gaps = self.gap_epochs.get(&holder.engine).copied().unwrap_or(0);
        match gaps == holder.gap_epoch {
            true => Some(HolderCertainty::Certain),
            false => Some(HolderCertainty::Uncertain),
        }
    }

    /// Records that an engine dropped a chat.
    pub fn drop_holder(&mut self, chat: ChatKey, engine: UpstreamKey) {
        if let Some(record) = self.chats.get_mut(&chat) {
            record.holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Records that events of an engine were lost, which makes all its holders uncertain.
    pub fn note_gap(&mut self, engine: UpstreamKey) {
        *self.gap_epochs.entry(engine).or_default() += 1;
    }

    /// The number of chats that are kept.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether no chat is kept.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    fn evict_oldest(&mut self) {
        if let Some((_, chat)) = self.by_use.pop_first() {
            self.chats.remove(&chat);
        }
    }
}
