//! Stand-ins of the platform: the lagging VM list and the weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::json;
use wingshed_lib::protocol::http::HttpReply;
use wingshed_lib::protocol::vm_list::VmEntry;
use wingshed_lib::protocol::weight_store::StoreState;
use wingshed_lib::transport::http_server::{HttpExchange, HttpServer};

use crate::address::free_address;
use crate::server::serve;

/// A platform whose list and store are set by the test.
pub struct PlatformStandIn {
    list: Arc<Mutex<Vec<VmEntry>>>,
    _server: HttpServer,
    /// Where it listens.
    pub address: SocketAddr,
}

impl PlatformStandIn {
    /// Starts one whose weight store takes so many loads at once.
    pub fn start(most_loads: usize) -> PlatformStandIn {
        let address = free_address();
        let list: Arc<Mutex<Vec<VmEntry>>> = Arc::default();
        let shown = list.clone();
        let server = serve(address, 64, move |mut exchange: HttpExchange| {
            let reply = match exchange.call.path() {
                "/vms" => {
                    let list = shown.lock().unwrap_or_else(|poison| poison.into_inner());
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
