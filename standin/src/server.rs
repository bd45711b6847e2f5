//! The HTTP server that each stand-in uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wingshed_lib::protocol::http::HttpReply;
use wingshed_lib::transport::http_server::{listen, HttpExchange, HttpServer, ServerLimits};

/// Starts an HTTP server at a free address, and panics if the address is in use. `in_flight` limits the number of
/// requests at once. Requests that are refused get status 503.
pub fn serve(
    address: SocketAddr,
    in_flight: usize,
    handler: impl Fn(HttpExchange) + Send + Sync + 'static,
) -> HttpServer {
    let limits = ServerLimits {
        in_flight,
        body_bytes: 64 << 20,
        header_bytes: 64 << 10,
        read_timeout: Duration::from_secs(30),
    };
    let listener = listen_with_retries(address);
    let refusal = Arc::new(|_| HttpReply { status: 503, ..HttpReply::default() });
    HttpServer::start(listener, limits, Arc::new(handler), refusal).expect("the server starts")
}

/// Listens at an address whose port was free when it was checked. If a test forks a process during the check,
/// the child holds a copy of the checking socket until it executes its program, so the port can be in use for a
/// short time. Therefore the attempt is repeated for a second.
fn listen_with_retries(address: SocketAddr) -> std::net::TcpListener {
    let tries = 100;
    for _ in 1..tries {
        match listen(address) {
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {
                std::thread::sleep(Duration::from_millis(10));
            }
            other => return other.expect("the port is free"),
        }
    }
    listen(address).expect("the port is free")
}
