//! A stand-in plain upstream: echoes what it was asked, and counts each request id.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use wingshed_lib::protocol::http::HttpReply;
use wingshed_lib::protocol::plain::{NOT_RUN_HEADER, REQUEST_ID_HEADER};
use wingshed_lib::transport::http_server::{HttpExchange, HttpServer};

use crate::address::free_address;
use crate::server::serve;

/// The faults of one plain upstream.
#[derive(Debug, Default)]
pub struct PlainFaults {
    /// Says 503 and that the request did not run.
    pub refuse: AtomicBool,
    /// Asks for so much rest when it refuses, in seconds; 0 for none.
    pub rest_s: AtomicU64,
    /// Runs the request and cuts the connection before answering.
    pub cut: AtomicBool,
    /// Answers this late, in milliseconds.
    pub late_ms: AtomicU64,
}

#[derive(Default)]
struct PlainShared {
    runs: Mutex<HashMap<String, u64>>,
    refused: AtomicU64,
    faults: PlainFaults,
}

/// A running stand-in.
pub struct PlainStandIn {
    shared: Arc<PlainShared>,
    server: HttpServer,
    /// Where it listens.
    pub address: SocketAddr,
}

impl PlainStandIn {
    /// Starts one on a free port.
    pub fn start() -> PlainStandIn {
        PlainStandIn::start_at(free_address())
    }

    /// Starts one at an address.
    pub fn start_at(address: SocketAddr) -> PlainStandIn {
        let shared = Arc::new(PlainShared::default());
        let handler = shared.clone();
        let server = serve(address, 512, move |exchange| handle(&handler, exchange));
        PlainStandIn { shared, server, address }
    }

    /// Its faults.
    pub fn faults(&self) -> &PlainFaults {
        &self.shared.faults
    }

    /// How often each request id ran here.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.shared.runs.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// How many requests it refused.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops listening.
    pub fn kill(mut self) {
        self.server.stop();
    }
}

fn handle(shared: &PlainShared, mut exchange: HttpExchange) {
    let id = exchange.call.header(REQUEST_ID_HEADER).unwrap_or("-").to_string();
    if shared.faults.refuse.load(Ordering::Relaxed) {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        let reply = HttpReply { status: 503, ..HttpReply::default() }.with(NOT_RUN_HEADER, "true");
        let reply = match shared.faults.rest_s.load(Ordering::Relaxed) {
            0 => reply,
            rest_s => reply.with("retry-after", rest_s.to_string()),
        };
        let _ = exchange.writer.send(&reply);
        return;
    }
    {
        let mut runs = shared.runs.lock().unwrap_or_else(|poison| poison.into_inner());
        *runs.entry(id.clone()).or_default() += 1;
    }
    std::thread::sleep(Duration::from_millis(shared.faults.late_ms.load(Ordering::Relaxed)));
    if shared.faults.cut.load(Ordering::Relaxed) {
        return;
    }
    let body = String::from_utf8_lossy(&exchange.call.body).into_owned();
    let echo = json!({
        "request_id": id, "method": exchange.call.method,
        "target": exchange.call.target, "body": body,
    });
    let _ = exchange.writer.send(&HttpReply::json(200, &echo));
}
