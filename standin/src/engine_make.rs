//! How a stand-in engine is made, and the faults that can be switched on it.

use std::sync::atomic::{AtomicBool, AtomicU64};

/// How an engine is made.
#[derive(Clone, Copy, Debug)]
pub struct EngineMake {
    /// Its life.
    pub incarnation: u64,
    /// Runs that generate at once.
    pub slots: usize,
    /// Milliseconds between two pieces of a run.
    pub piece_ms: u64,
    /// Prompt tokens computed in a millisecond.
    pub prefill_per_ms: u64,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// The load report is this old, in milliseconds.
    pub report_lag_ms: u64,
    /// Cache events are told this late, in milliseconds.
    pub event_lag_ms: u64,
    /// One event of this many is lost; 0 loses none.
    pub event_gap_every: u64,
}

impl Default for EngineMake {
    fn default() -> EngineMake {
        EngineMake {
            incarnation: 1,
            slots: 64,
            piece_ms: 2,
            prefill_per_ms: 200,
            cache_tokens: 200_000,
            report_lag_ms: 100,
            event_lag_ms: 50,
            event_gap_every: 0,
        }
    }
}

/// The faults of one engine; 0 or false is none. Each may be switched while it runs.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Every so many pieces, one is sent twice.
    pub double_every: AtomicU64,
    /// Every so many pieces, one is sent after its successor.
    pub swap_every: AtomicU64,
    /// Every so many pieces, one is left out on a first reading.
    pub lose_every: AtomicU64,
    /// The connection is cut after this piece, on a first reading.
    pub cut_after: AtomicU64,
    /// The connection is cut before the head, after the run began.
    pub cut_before_head: AtomicBool,
    /// A run is refused as not run, with this status.
    pub refuse_status: AtomicU64,
    /// The run says that it failed after this piece.
    pub fail_after: AtomicU64,
    /// Resuming finds nothing.
    pub forget_runs: AtomicBool,
    /// It tells this life instead of its own.
    pub told_life: AtomicU64,
    /// Each piece takes this many milliseconds more.
    pub slow_ms: AtomicU64,
}
