//! Small stand-ins for wingshed's upstreams, callers and platform, which only tests, the demo and benches use.
//! They implement the published protocol of each interface, and have faults that can be switched. They do not
//! simulate a cluster.

pub mod address;
pub mod caller;
pub mod engine;
pub mod engine_make;
pub mod partition;
pub mod plain;
pub mod platform;
pub mod server;
pub mod system;
pub mod trace;
pub mod verdict;
