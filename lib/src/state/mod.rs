//! The lowest layer: tables, the configuration and files. It uses no sockets and no clocks.

pub mod body_end;
pub mod chat_memory;
pub mod claim_table;
pub mod configuration;
pub mod connect_count;
pub mod document_change;
pub mod finding;
pub mod fleet_record;
pub mod ids;
pub mod keeper_machine;
pub mod kept_list;
pub mod list_reading;
pub mod log_store;
pub mod packed_text;
pub mod prompt_part;
pub mod quarantine;
pub mod rendezvous;
pub mod rollout_order;
pub mod roster;
pub mod route_table;
pub mod settings;
pub mod upstream_list;
pub mod vm_figures;
pub mod vm_settings;
pub mod zero_runs;
pub mod zone_order;
