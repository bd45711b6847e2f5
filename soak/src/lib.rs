//! A soak of the real programs: processes on loopback, broken from outside by the schedule of a
//! seed, and checked by what callers, upstreams and operators see. See `docs/soak.md`.
//!
//! The soak knows nothing of the product but its programs and the platform's wire.

pub mod answer_make;
pub mod caller;
pub mod cases;
pub mod fatal_request;
pub mod http;
pub mod judge;
pub mod judge_answers;
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
