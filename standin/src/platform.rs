//! A stand-in for the platform, with a VM list and a weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::json;
use wingshed_lib::protocol::http::HttpReply;
use wingshed_lib::protocol::vm_list::VmEntry;
use wingshed_lib::protocol::weight_store::StoreState;
use wingshed_lib::transport::http_server::{HttpExchange, HttpServer};

use crate::address::free_address;
use crate::server::serve;

/// A running stand-in for the platform. A test sets its VM list.
pub struct PlatformStandIn {
    list: Arc<Mutex<Vec<VmEntry>>>,
    _server: HttpServer,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl PlatformStandIn {
    /// Starts a platform whose weight store allows at most `most_loads` loads at once.
    pub fn start(most_loads: usize) -> PlatformStandIn {
        let address = free_address();
        let list: Arc<Mutex<Vec<VmEntry>>> = Arc::default();
        let served_list = list.clone();
        let server = serve(address, 64, move |mut exchange: HttpExchange| {
            let reply = match exchange.call.path() {
                "/vms" => {
                    let list = served_list.lock().unwrap_or_else(|poison| poison.into_inner());
                    HttpReply::json(200, &json!({ "vms": *list }))
                }
                "/weights/state" => {
                    HttpReply::json(200, &StoreState { max_loads: most_loads, loads: 0 })
                }
                _ => HttpReply { status: 404, ..HttpReply::default() },
            };
            let _ = exchange.writer.send(&reply);
        });
        PlatformStandIn { list, _server: server, address }
    }

    /// Sets the list of VMs.
    pub fn set_list(&self, entries: Vec<VmEntry>) {
        *self.list.lock().unwrap_or_else(|poison| poison.into_inner()) = entries;
    }
}
