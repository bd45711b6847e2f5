//! Reports which engine holds a prompt's shared part when it isn't the one that rendezvous gives.
//!
//! Every VM infers the holder of a part from the order of engines. When engines fail or are full,
//! another engine reads a part, and a VM with a small part of the traffic rarely has a record of
//! which one: it then names a wrong source, and the part is read again. So a VM reports to the
//! leader when it sends a part to an engine other than the first of the order, and the leader sends
//! the report to the other VMs with its next answers. A lost report costs one more reading of the
//! part and nothing else. See `docs/design/fleet-news.md`.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::ids::UpstreamKey;

/// The maximum number of notes in one renewal of a VM and in one answer of a leader; a note is
/// about 20 bytes.
pub const NOTES_PER_MESSAGE: usize = 48;
/// The maximum number of notes that a VM holds for its next renewals; beyond it the oldest are
/// dropped.
const MAX_WAITING_NOTES: usize = 4 * NOTES_PER_MESSAGE;
/// The maximum number of notes that a leader holds for VMs that haven't received them.
const MAX_KEPT_NOTES: usize = 2048;
/// The same note is sent again after this long, in milliseconds, because engines evict what isn't
/// used.
const RESEND_MS: u64 = 10_000;
/// Shared prompts shorter than this, in tokens, aren't reported, because reading them again takes
/// only milliseconds.
pub const MIN_REPORTED_TOKENS: u32 = 512;

/// Reports that a part was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderNote {
    /// A shared part of a prompt: the last one, or the first one (the root).
    pub part: u64,
    /// The engine that the part was sent to.
    pub engine: UpstreamKey,
}

/// The position up to which a VM has received a leader's notes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderPosition {
    /// The leader's term.
    pub term: u64,
    /// The number of notes of that term that were received.
    #[serde(rename = "heard")]
    pub received: u64,
}

/// The notes that a VM has yet to report.
#[derive(Clone, Debug, Default)]
pub struct HolderOutbox {
    waiting: VecDeque<HolderNote>,
    sent_ms: HashMap<u64, (UpstreamKey, u64)>,
}

impl HolderOutbox {
    /// Adds a note that a part was sent to another engine than the order gives, unless the same was
    /// reported lately.
    pub fn add(&mut self, note: HolderNote, now_ms: u64) {
        let sent = self.sent_ms.get(&note.part);
        if sent.is_some_and(|(to, ms)| *to == note.engine && ms + RESEND_MS > now_ms) {
            return;
        }
        if self.sent_ms.len() >= MAX_KEPT_NOTES {
            self.sent_ms.retain(|_, (_, ms)| *ms + RESEND_MS > now_ms);
        }
        self.sent_ms.insert(note.part, (note.engine, now_ms));
        if self.waiting.len() == MAX_WAITING_NOTES {
            self.waiting.pop_front();
        }
        self.waiting.push_back(note);
    }

    /// Removes and returns the notes for the next renewal.
    pub fn take(&mut self) -> Vec<HolderNote> {
        let count = self.waiting.len().min(NOTES_PER_MESSAGE);
        self.waiting.drain(..count).collect()
    }
}

/// The notes that a leader received and sends on.
#[derive(Clone, Debug, Default)]
pub struct HolderLog {
    term: u64,
    notes: VecDeque<HolderNote>,
    newest: HashMap<u64, UpstreamKey>,
    /// The number of notes of this term that were dropped.
    dropped: u64,
}

impl HolderLog {
    /// Adds the notes that a VM reported to the leader of `term`, and returns those that are new.
    pub fn take(&mut self, term: u64, notes: &[HolderNote]) -> Vec<HolderNote> {
        if term != self.term {
            *self = HolderLog { term, ..HolderLog::default() };
        }
        let mut fresh = Vec::new();
        for note in notes {
            if self.newest.insert(note.part, note.engine) == Some(note.engine) {
                continue;
            }
            if self.notes.len() == MAX_KEPT_NOTES {
                self.drop_oldest();
            }
            self.notes.push_back(*note);
            fresh.push(*note);
        }
        fresh
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.notes.pop_front() else { return };
        self.dropped += 1;
        if self.newest.get(&oldest.part) == Some(&oldest.engine) {
            self.newest.remove(&oldest.part);
        }
    }

    /// The next notes for a VM that has received those up to `position`, and its position after them.
    pub fn notes_after(&self, position: HolderPosition) -> (Vec<HolderNote>, HolderPosition) {
        let before = if position.term == self.term { position.received } else { 0 };
        let from = before.saturating_sub(self.dropped).min(self.notes.len() as u64) as usize;
        let sent: Vec<HolderNote> =
            self.notes.iter().skip(from).take(NOTES_PER_MESSAGE).copied().collect();
        let received = self.dropped + (from + sent.len()) as u64;
        (sent, HolderPosition { term: self.term, received })
    }
}
