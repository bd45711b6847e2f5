//! Replay.
