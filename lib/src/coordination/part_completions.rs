//! Which prompt parts a VM saw completed a short while ago.
//!
//! An upstream that crashes takes down requests whose prompts share their parts with many others. A part that is
//! in a request that has just completed isn't the cause, so its crashes need not be reported. Without this, each
//! crash would have the leader watch the parts of everything that ran on the upstream.

use std::collections::HashMap;

/// How long a completion speaks for a part, in milliseconds.
const COMPLETION_KEEP_MS: u64 = 10_000;
/// The number of crashes since a part's last completion from which they are reported all the same.
const REPORTED_CRASHES: u32 = 2;
/// The maximum number of parts that are remembered, about 32 bytes each. Crashes of parts that aren't
/// remembered are reported.
const MAX_PARTS: usize = 8192;

#[derive(Clone, Copy, Debug)]
struct CompletedPart {
    at_ms: u64,
    crashes: u32,
}

/// The parts that completed on one VM lately.
#[derive(Clone, Debug, Default)]
pub struct PartCompletions {
    parts: HashMap<u64, CompletedPart>,
}

impl PartCompletions {
    /// Notes that a request with this part completed.
    pub fn note_completed(&mut self, part: u64, now_ms: u64) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.parts.retain(|_, row| row.at_ms + COMPLETION_KEEP_MS > now_ms);
            if self.parts.len() >= MAX_PARTS {
                return;
            }
        }
        self.parts.insert(part, CompletedPart { at_ms: now_ms, crashes: 0 });
    }

    /// Notes that an upstream crashed under a request with this part. Returns whether that is to be reported.
    pub fn note_crash(&mut self, part: u64, now_ms: u64) -> bool {
        let Some(row) = self.parts.get_mut(&part) else { return true };
        row.crashes += 1;
        row.crashes >= REPORTED_CRASHES || row.at_ms + COMPLETION_KEEP_MS <= now_ms
    }
}
