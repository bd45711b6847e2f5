//! Which engines hold a chat's prefix, as far as a home router knows.
//!
//! Bounded: the least recently used chats are forgotten first. What an engine's
//! cache events leave open is kept as "perhaps" and never as "surely".

use std::collections::{BTreeMap, HashMap};

use super::ids::{ChatKey, Incarnation, UpstreamKey};

/// How many holders of one chat are remembered.
pub const HOLDERS_KEPT: usize = 4;

/// After so many gaps nothing is expected of a holder.
const GAPS_TO_FORGET: f64 = 256.0;

/// How sure it is that a holder still has the prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HolderCertainty {
    /// Events were missed since: it may have been dropped.
    Perhaps,
    /// Served there, and no event says otherwise.
    Surely,
}

/// One engine that served a chat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChatHolder {
    /// The engine.
    pub engine: UpstreamKey,
    /// The engine's life at that time.
    pub incarnation: Incarnation,
    /// The prompt tokens that it held after serving.
    pub tokens: u32,
    /// The engine's gap counter when this was noted.
    gap_epoch: u32,
}

#[derive(Clone, Debug, Default)]
struct ChatRecord {
    holders: Vec<ChatHolder>,
    used: u64,
}

/// The memory of one home router.
#[derive(Clone, Debug)]
pub struct ChatMemory {
    capacity: usize,
    chats: HashMap<ChatKey, ChatRecord>,
    by_use: BTreeMap<u64, ChatKey>,
    gap_epochs: HashMap<UpstreamKey, u32>,
    lives: HashMap<UpstreamKey, Incarnation>,
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
            lives: HashMap::new(),
            clock: 0,
        }
    }

    /// Notes that `engine` served `chat` and now holds `tokens` of it.
    pub fn note(&mut self, chat: ChatKey, engine: UpstreamKey, life: Incarnation, tokens: u32) {
        let gap_epoch = self.gap_epochs.get(&engine).copied().unwrap_or(0);
        self.clock += 1;
        let record = self.chats.entry(chat).or_default();
        if record.used != 0 {
            self.by_use.remove(&record.used);
        }
        record.used = self.clock;
        self.by_use.insert(self.clock, chat);
        record.holders.retain(|holder| holder.engine != engine);
        record.holders.insert(0, ChatHolder { engine, incarnation: life, tokens, gap_epoch });
        record.holders.truncate(HOLDERS_KEPT);
        if self.chats.len() > self.capacity {
            self.forget_oldest();
        }
    }

    /// The holders of a chat, the latest first.
    pub fn holders(&self, chat: ChatKey) -> &[ChatHolder] {
        self.chats.get(&chat).map_or(&[], |record| &record.holders)
    }

    /// The tokens that a holder is expected to have still.
    ///
    /// Each gap may hide one drop, and an engine holds some hundreds of chats; so one gap makes
    /// little difference to one chat, and many make it worthless.
    pub fn expected_tokens(&self, holder: &ChatHolder) -> u32 {
        let gaps = self.gap_epochs.get(&holder.engine).copied().unwrap_or(0);
        let missed = gaps.saturating_sub(holder.gap_epoch) as f64;
        let share = (1.0 - missed / GAPS_TO_FORGET).max(0.0);
        (holder.tokens as f64 * share) as u32
    }

    /// An engine reported its life; what an earlier life held is gone.
    pub fn set_life(&mut self, engine: UpstreamKey, life: Incarnation) {
        self.lives.insert(engine, life);
    }

    /// How sure a holder is; `None` when the life that served the chat is over.
    pub fn certainty(&self, holder: &ChatHolder) -> Option<HolderCertainty> {
        let life = self.lives.get(&holder.engine);
        if life.is_some_and(|life| *life != holder.incarnation) {
            return None;
        }
        let gaps = self.gap_epochs.get(&holder.engine).copied().unwrap_or(0);
        match gaps == holder.gap_epoch {
            true => Some(HolderCertainty::Surely),
            false => Some(HolderCertainty::Perhaps),
        }
    }

    /// An engine said that it dropped a chat.
    pub fn drop_holder(&mut self, chat: ChatKey, engine: UpstreamKey) {
        if let Some(record) = self.chats.get_mut(&chat) {
            record.holders.retain(|holder| holder.engine != engine);
        }
    }

    /// Some of an engine's events were lost: all that is known of it becomes "perhaps".
    pub fn note_gap(&mut self, engine: UpstreamKey) {
        *self.gap_epochs.entry(engine).or_default() += 1;
    }

    /// How many chats are remembered.
    pub fn len(&self) -> usize {
        self.chats.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.chats.is_empty()
    }

    fn forget_oldest(&mut self) {
        if let Some((_, chat)) = self.by_use.pop_first() {
            self.chats.remove(&chat);
        }
    }
}
