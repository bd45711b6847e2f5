//! What a spill past the bound should do about the prefix that a busy engine holds: wait a
//! little for that engine, import the prefix into another, or compute it again.
//!
//! Each costs time before the first token; the least wins. The rates are settings of the
//! fleet, to be set from what its engines measure. See `docs/design/kv-move.md`.

use crate::state::configuration::KvRates;

/// No request waits longer than this for the engine that holds its prefix.
pub const LONGEST_HOLDER_WAIT_MS: f64 = 1500.0;

/// What to do about a prefix that another engine holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MoveChoice {
    /// Wait for the holder to fall below its bound, at most so many milliseconds.
    Wait(u64),
    /// Have the new engine import it from the holder.
    Import,
    /// Compute it again.
    Recompute,
}

/// What an import of so many tokens costs, if there are imports.
pub fn import_ms(rates: &KvRates, tokens: u32) -> Option<f64> {
    let moves = rates.import_per_ms > 0.0;
    moves.then(|| rates.import_start_ms + tokens as f64 / rates.import_per_ms)
}

/// Compares the three. `holder_wait_ms` is how long the holder is expected to stay at its
/// bound, if that is known here.
pub fn choose_move(rates: &KvRates, cached_tokens: u32, holder_wait_ms: Option<f64>) -> MoveChoice {
    let recompute = cached_tokens as f64 / rates.prefill_per_ms.max(1e-6);
    let import = import_ms(rates, cached_tokens).unwrap_or(f64::INFINITY);
    let wait = holder_wait_ms.unwrap_or(f64::INFINITY);
    if wait <= import && wait <= recompute && wait <= LONGEST_HOLDER_WAIT_MS {
        // The expectation is rough; beyond the next best cost, waiting on would be a loss.
        let patience = import.min(recompute).min(LONGEST_HOLDER_WAIT_MS);
        MoveChoice::Wait(patience.ceil() as u64)
    } else if import < recompute {
        MoveChoice::Import
    } else {
        MoveChoice::Recompute
    }
}
