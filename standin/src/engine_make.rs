//! The options of a stand-in engine, and the faults that can be switched on it.

use std::sync::atomic::{AtomicBool, AtomicU64};

/// The options of a stand-in engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// The number of its incarnation.
    pub incarnation: u64,
    /// The number of runs that it processes at once.
    pub slots: usize,
    /// The time between two pieces of a run, in milliseconds.
    pub piece_ms: u64,
    /// The number of prompt tokens that it processes per millisecond.
    pub prefill_per_ms: u64,
    /// The capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// The age of the load that it reports, in milliseconds.
    pub report_lag_ms: u64,
    /// The delay before a cache event is reported, in milliseconds.
    pub event_lag_ms: u64,
    /// If not 0, every n-th cache event is lost.
    pub event_gap_every: u64,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
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

/// The faults of one engine; 0 or false disables a fault. Each can be switched while the engine runs. The fields
/// that end in `_every` apply to every n-th piece of a run.
#[derive(Debug, Default)]
pub struct EngineFaults {
    /// Every n-th piece is sent twice.
    pub double_every: AtomicU64,
    /// Every n-th piece is sent after its successor.
    pub swap_every: AtomicU64,
    /// Every n-th piece is left out of the first stream of a run, but not of a resumed one.
    pub lose_every: AtomicU64,
    /// The first stream of a run is cut after this piece, but not a resumed one.
    pub cut_after: AtomicU64,
    /// The connection is cut after the run has begun and before the head is sent.
    pub cut_before_head: AtomicBool,
    /// Runs are refused as not run, with this status.
    pub refuse_status: AtomicU64,
    /// A run reports that it failed after this piece.
    pub fail_after: AtomicU64,
    /// A run cannot be resumed: the engine answers that it does not exist.
    pub forget_runs: AtomicBool,
    /// The engine reports this number as its incarnation instead of its own.
    pub reported_incarnation: AtomicU64,
    /// The additional time that each piece takes, in milliseconds.
    pub slow_ms: AtomicU64,
}
