//! Prompts, rules and candidates for tests of the choice of an engine.

use wingshed_lib::coordination::upstream_candidate::UpstreamCandidate;
use wingshed_lib::coordination::upstream_choice::EngineRules;
use wingshed_lib::state::ids::UpstreamKey;
use wingshed_lib::state::prompt_part::PromptPart;

/// Returns a prompt with two shared parts and one of its own.
pub fn prompt() -> Vec<PromptPart> {
    [(1, 2000), (2, 6000), (3, 500)].map(|(id, tokens)| PromptPart { id, tokens }).to_vec()
}

/// Rules that exclude no engine, with twice the mean plus three requests as the load limit.
pub const RULES: EngineRules = EngineRules {
    kv_transfer: true,
    max_engines: usize::MAX,
    load_limit: 2.0,
    part_load: 0.0,
    draw: 0,
};

/// Returns an engine that takes work and was first seen long ago, with `load` requests in flight.
pub fn candidate(key: u64, load: u32) -> UpstreamCandidate {
    let ring_slot = Some(key);
    UpstreamCandidate {
        load,
        ring_slot,
        first_seen_ms: 1,
        ..UpstreamCandidate::idle(UpstreamKey(key))
    }
}
