//! The HTTP server under each stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wingshed_lib::protocol::http::HttpReply;
use wingshed_lib::transport::http_server::{listen, HttpExchange, HttpServer, ServerLimits};

/// Serves at an address that is free; panics otherwise, as a fixture may.
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
    let listener = listen_soon(address);
    let refusal = Arc::new(|_| HttpReply { status: 503, ..HttpReply::default() });
    HttpServer::start(listener, limits, Arc::new(handler), refusal).expect("the server starts")
}

/// Listens at an address that was free a moment ago. A process that a test starts just then holds
/// a copy of the socket that tried the port, until it has become its own program.
fn listen_soon(address: SocketAddr) -> std::net::TcpListener {
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
