//! Decisions: state, an event and the present time in; a typed decision out.
//! No sockets, no clocks, no locks, so that every decision can be tested and replayed.

pub mod admission;
pub mod check;
pub mod claim_batch;
pub mod directory;
pub mod fair_queue;
pub mod home;
pub mod kv_move;
pub mod leaving;
pub mod load_spread;
pub mod order_pace;
pub mod outlier;
pub mod placement;
pub mod policy;
pub mod policy_cases;
pub mod raft;
mod raft_election;
mod raft_follower;
mod raft_leader;
pub mod raft_message;
pub mod relay;
pub mod replay;
mod replay_alone;
pub mod replay_outcome;
pub mod replay_truth;
pub mod retry;
pub mod router_lease;
pub mod session_watch;
pub mod trace;
pub mod workspace_limit;
pub mod workspace_share;
