//! The highest layer: sockets, threads, clocks, and the node programs.
//!
//! Shared tables are each behind one lock. No thread holds two of them at once,
//! but for the order stated at [`router_shared::RouterShared`].

pub mod clock;
pub mod datagram;
pub mod http_client;
pub mod http_server;
pub mod keeper_client;
pub mod keeper_loop;
pub mod keeper_node;
pub mod keeper_operator;
mod keeper_waiter;
pub mod router_claims;
pub mod router_control;
pub mod router_engines;
pub mod router_forward;
pub mod router_home;
pub mod router_node;
pub mod router_place;
pub mod router_plain;
pub mod router_relay;
pub mod router_serve;
pub mod router_shared;
pub mod router_status;
pub mod seen;
pub mod vm_answer;
mod vm_choice;
pub mod vm_contact;
pub mod vm_control;
pub mod vm_disk;
pub mod vm_forward;
pub mod vm_front;
mod vm_guard;
pub mod vm_keeper;
pub mod vm_links;
pub mod vm_list;
pub mod vm_list_desk;
pub mod vm_list_news;
pub mod vm_metrics;
pub mod vm_node;
pub mod vm_order_desk;
mod vm_orders;
pub mod vm_pool;
pub mod vm_relay;
mod vm_request_record;
mod vm_rollouts;
mod vm_send;
mod vm_silence;
pub mod vm_sockets;
mod vm_stream;
mod vm_task;
mod vm_trial;
mod vm_zones;
pub mod wire_count;
pub mod worker_pool;
