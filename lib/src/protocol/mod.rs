//! Message formats. Each external interface has one module that alone implements its format and
//! converts it to typed messages. None of the modules opens a socket.

pub mod caller;
pub mod end_to_end;
pub mod engine;
pub mod fleet_calls;
pub mod http;
pub mod keeper_wire;
pub mod operator;
pub mod peer_relay;
pub mod peer_wire;
pub mod plain;
pub mod retry_after;
pub mod seal;
pub mod sse;
pub mod vm_list;
pub mod vm_wire;
pub mod weight_store;
pub mod wire_adapter;
