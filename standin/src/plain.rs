//! A stand-in for a plain upstream. It echoes each request and counts how often each request id ran.

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
    /// Answers with status 503 and reports that the request did not run.
    pub refuse: AtomicBool,
    /// The backoff that it requests when it refuses, in seconds; 0 requests none.
    pub backoff_s: AtomicU64,
    /// Runs the request, then closes the connection without an answer.
    pub cut: AtomicBool,
    /// The delay before it answers, in milliseconds.
    pub late_ms: AtomicU64,
}

#[derive(Default)]
struct PlainShared {
    runs: Mutex<HashMap<String, u64>>,
    refused: AtomicU64,
    faults: PlainFaults,
}

/// A running stand-in for a plain upstream.
pub struct PlainStandIn {
    shared: Arc<PlainShared>,
    server: HttpServer,
    /// The address on which it listens.
    pub address: SocketAddr,
}

impl PlainStandIn {
    /// Starts a plain upstream on a free port.
    pub fn start() -> PlainStandIn {
        PlainStandIn::start_at(free_address())
    }

    /// Starts a plain upstream at a given address.
    pub fn start_at(address: SocketAddr) -> PlainStandIn {
        let shared = Arc::new(PlainShared::default());
        let handler = shared.clone();
        let server = serve(address, 512, move |exchange| handle(&handler, exchange));
        PlainStandIn { shared, server, address }
    }

    /// Returns the faults of this upstream, which can be switched while it runs.
    pub fn faults(&self) -> &PlainFaults {
        &self.shared.faults
    }

    /// Returns the number of times that each request id ran on this upstream.
    pub fn runs(&self) -> HashMap<String, u64> {
        self.shared.runs.lock().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Returns the number of requests that it refused.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Stops the upstream: it no longer listens.
    pub fn kill(mut self) {
        self.server.stop();
    }
}

fn handle(shared: &PlainShared, mut exchange: HttpExchange) {
    let id = exchange.call.header(REQUEST_ID_HEADER).unwrap_or("-").to_string();
    if shared.faults.refuse.load(Ordering::Relaxed) {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        let reply = HttpReply { status: 503, ..HttpReply::default() }.with(NOT_RUN_HEADER, "true");
        let reply = match shared.faults.backoff_s.load(Ordering::Relaxed) {
            0 => reply,
            backoff_s => reply.with("retry-after", backoff_s.to_string()),
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
