//! Decides what to do about the prefix that an engine at its bound holds: wait a little for that
//! engine, import the prefix into another one, or compute it again.
//!
//! Each option delays the first token; the one with the shortest delay is chosen. The rates are
//! settings of the fleet, to be set from measurements of its engines. See `docs/design/kv-move.md`.

use crate::state::configuration::KvRates;

/// The longest time that a request waits for the engine that holds its prefix, in milliseconds.
pub const MAX_HOLDER_WAIT_MS: f64 = 1500.0;

/// What to do about a prefix that another engine holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MoveChoice {
    /// Wait for the holder to fall below its bound, at most this many milliseconds.
    Wait(u64),
    /// Let the new engine import the prefix from the holder.
    Import,
    /// Compute the prefix again.
    Recompute,
}

/// The time that an import of `tokens` takes, in milliseconds; `None` if the fleet has no imports.
pub fn import_ms(rates: &KvRates, tokens: u32) -> Option<f64> {
    let moves = rates.import_per_ms > 0.0;
    moves.then(|| rates.import_start_ms + tokens as f64 / rates.import_per_ms)
}

/// Chooses the option with the shortest delay. `holder_wait_ms` is how long the holder is expected
/// to stay at its bound, if this router has an estimate.
pub fn choose_move(rates: &KvRates, cached_tokens: u32, holder_wait_ms: Option<f64>) -> MoveChoice {
    let recompute = cached_tokens as f64 / rates.prefill_per_ms.max(1e-6);
    let import = import_ms(rates, cached_tokens).unwrap_or(f64::INFINITY);
    let wait = holder_wait_ms.unwrap_or(f64::INFINITY);
    if wait <= import && wait <= recompute && wait <= MAX_HOLDER_WAIT_MS {
        // The estimate is rough. A wait beyond the cost of the next best option would be a loss.
        let longest = import.min(recompute).min(MAX_HOLDER_WAIT_MS);
        MoveChoice::Wait(longest.ceil() as u64)
    } else if import < recompute {
        MoveChoice::Import
    } else {
        MoveChoice::Recompute
    }
}
