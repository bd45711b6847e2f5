//! Traces.
