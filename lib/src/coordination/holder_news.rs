//! Which engine keeps a prompt's shared part where rendezvous would not place it.
//!
//! Every VM guesses the holder of a part by the order of engines. When engines die or are full, a
//! part is read by another, and a VM that sees a small part of the traffic rarely knows by which: it then
//! names a wrong source, and the part is read again. So a VM reports to the leader where it sent a part
//! against the order, and the leader sends it to the others with its next answers. What is lost on the
//! way costs a reading, no more. See `docs/design/fleet-news.md`.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::ids::UpstreamKey;

/// Notes that one VM sends with one renewal, and a leader with one answer; some 20 bytes each.
pub const NOTES_PER_MESSAGE: usize = 48;
/// Notes that a VM keeps for its next renewals; more are dropped, the oldest first.
const NOTES_WAITING: usize = 4 * NOTES_PER_MESSAGE;
/// Notes that a leader remembers for VMs that haven't heard them.
const NOTES_KEPT: usize = 2048;
/// The same is sent again after this long, in milliseconds: engines drop what isn't used.
const SEND_AGAIN_MS: u64 = 10_000;
/// Shared prompts shorter than this aren't reported, in tokens: reading them takes milliseconds.
pub const MIN_REPORTED_TOKENS: u32 = 512;

/// An engine was sent a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderNote {
    /// The last shared part of a prompt.
    pub part: u64,
    /// The engine.
    pub engine: UpstreamKey,
}

/// Up to where a VM has heard a leader's notes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderMark {
    /// The leader's term.
    pub term: u64,
    /// Notes of that term which were heard.
    pub heard: u64,
}

/// What a VM has to report.
#[derive(Clone, Debug, Default)]
pub struct HolderOutbox {
    waiting: VecDeque<HolderNote>,
    sent_ms: HashMap<u64, (UpstreamKey, u64)>,
}

impl HolderOutbox {
    /// A part was sent to an engine against the order.
    pub fn add(&mut self, note: HolderNote, now_ms: u64) {
        let sent = self.sent_ms.get(&note.part);
        if sent.is_some_and(|(to, ms)| *to == note.engine && ms + SEND_AGAIN_MS > now_ms) {
            return;
        }
        if self.sent_ms.len() >= NOTES_KEPT {
            self.sent_ms.retain(|_, (_, ms)| *ms + SEND_AGAIN_MS > now_ms);
        }
        self.sent_ms.insert(note.part, (note.engine, now_ms));
        if self.waiting.len() == NOTES_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(note);
    }

    /// The notes for the next renewal.
    pub fn take(&mut self) -> Vec<HolderNote> {
        let count = self.waiting.len().min(NOTES_PER_MESSAGE);
        self.waiting.drain(..count).collect()
    }
}

/// What a leader received and sends on.
#[derive(Clone, Debug, Default)]
pub struct HolderRing {
    term: u64,
    notes: VecDeque<HolderNote>,
    newest: HashMap<u64, UpstreamKey>,
    /// Notes of this term that are forgotten by now.
    forgotten: u64,
}

impl HolderRing {
    /// Takes what a VM reported to the leader of `term`; returns what is new.
    pub fn take(&mut self, term: u64, notes: &[HolderNote]) -> Vec<HolderNote> {
        if term != self.term {
            *self = HolderRing { term, ..HolderRing::default() };
        }
        let mut fresh = Vec::new();
        for note in notes {
            if self.newest.insert(note.part, note.engine) == Some(note.engine) {
                continue;
            }
            if self.notes.len() == NOTES_KEPT {
                self.forget_oldest();
            }
            self.notes.push_back(*note);
            fresh.push(*note);
        }
        fresh
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.notes.pop_front() else { return };
        self.forgotten += 1;
        if self.newest.get(&oldest.part) == Some(&oldest.engine) {
            self.newest.remove(&oldest.part);
        }
    }

    /// What a VM that has heard `mark` is sent next, and what it has heard then.
    pub fn news(&self, mark: HolderMark) -> (Vec<HolderNote>, HolderMark) {
        let heard = if mark.term == self.term { mark.heard } else { 0 };
        let from = heard.saturating_sub(self.forgotten).min(self.notes.len() as u64) as usize;
        let sent: Vec<HolderNote> =
            self.notes.iter().skip(from).take(NOTES_PER_MESSAGE).copied().collect();
        let heard = self.forgotten + (from + sent.len()) as u64;
        (sent, HolderMark { term: self.term, heard })
    }
}
