//! Engines as a choice sees them.

use wingshed_lib::coordination::upstream_choice::UpstreamCandidate;
use wingshed_lib::state::ids::UpstreamKey;

/// An engine that takes work, with so many requests in flight, seen long ago.
pub fn candidate(key: u64, load: u32) -> UpstreamCandidate {
    UpstreamCandidate {
        key: UpstreamKey(key),
        load,
        aside: false,
        full: false,
        tried: false,
        leaving: false,
        seat: Some(key),
        near: false,
        first_seen_ms: 1,
    }
}
