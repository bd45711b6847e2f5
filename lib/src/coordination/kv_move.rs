//! What a spill past the bound should do about the prefix that another engine holds:
//! import it, wait a little for the holder, or compute it again.
//!
//! Each costs time before the first token; the least wins. The rates are settings,
//! to be set from what the engines measure. See `docs/design/kv-move.md`.

/// The rates of a fleet of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveRates {
    /// Prompt tokens that an engine computes in a millisecond.
    pub prefill_per_ms: f64,
    /// Tokens of KV that travel between engines in a millisecond.
    pub transfer_per_ms: f64,
    /// What a transfer costs before its first byte, in milliseconds.
    pub transfer_start_ms: f64,
}

/// The rates of the stand-in engine; a deployment sets its own.
pub const STAND_IN_RATES: MoveRates =
    MoveRates { prefill_per_ms: 8.0, transfer_per_ms: 40.0, transfer_start_ms: 30.0 };

/// What to do about a prefix that another engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveChoice {
    /// Have the new engine import it from the holder.
    Import,
    /// Wait for the holder to fall below its bound.
    Wait,
    /// Compute it again.
    Recompute,
}

/// Compares the three, given how long the holder is expected to stay at its bound.
pub fn choose_move(
    rates: &MoveRates,
    cached_tokens: u32,
    holder_wait_ms: Option<f64>,
    may_wait_ms: f64,
) -> MoveChoice {
    let tokens = cached_tokens as f64;
    let recompute = tokens / rates.prefill_per_ms;
    let import = rates.transfer_start_ms + tokens / rates.transfer_per_ms;
    let wait = holder_wait_ms.filter(|wait| *wait <= may_wait_ms).unwrap_or(f64::INFINITY);
    if wait <= import && wait <= recompute {
        MoveChoice::Wait
    } else if import < recompute {
        MoveChoice::Import
    } else {
        MoveChoice::Recompute
    }
}
