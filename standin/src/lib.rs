//! Small stand-ins for what wingshed serves and stands on, used only by tests, the
//! demo and benches. They speak the published wire of each interface and switch
//! faults by a table; they are no simulator of a cluster.

pub mod address;
pub mod caller;
pub mod engine;
pub mod engine_make;
pub mod plain;
pub mod platform;
pub mod server;
pub mod system;
pub mod trace;
pub mod verdict;
