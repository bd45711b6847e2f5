//! Fixtures shared by the integration tests.
#![allow(dead_code)]

pub mod raft_bench;
