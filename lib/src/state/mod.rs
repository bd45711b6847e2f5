//! The lowest layer: tables, the configuration, and files. No sockets, no clocks.

pub mod chat_memory;
pub mod claim_table;
pub mod configuration;
pub mod finding;
pub mod ids;
pub mod keeper_machine;
pub mod log_store;
pub mod rendezvous;
pub mod roster;
pub mod settings;
