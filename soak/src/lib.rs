//! The soak test of the real programs. It runs them as processes on loopback, disturbs them from outside by
//! the schedule of a seed, and checks what callers, upstreams and operators observe. See `docs/soak.md`.
//!
//! The soak depends on no crate of the product, only on its programs and on the wire formats of the platform.

pub mod answer_make;
pub mod caller;
pub mod cases;
pub mod fatal_request;
pub mod http;
pub mod judge;
pub mod judge_answers;
pub mod judge_streams;
pub mod ledger;
pub mod link;
pub mod list;
pub mod operator;
pub mod peer_link;
pub mod platform;
pub mod process;
pub mod rollouts;
pub mod run;
pub mod schedule;
pub mod site;
pub mod steps;
pub mod upstream;
pub mod upstream_wire;
