//! HTTP/1 client connections for callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The sending side of a connection that carries one request at a time.
pub type CallSender = SendRequest<Full<Bytes>>;

/// Opens a connection; none if connecting takes longer than `timeout` or fails.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Option<CallSender> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}

/// Sends one request on a new connection. Returns the status and the body of its answer; none if the whole
/// exchange takes longer than `timeout` or fails.
pub async fn call_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let exchange = async {
        let mut sender = connect(address, timeout).await?;
        let request = Request::builder().method(method).uri(path).header("host", "a.example");
        let request = request.body(Full::new(Bytes::from(body.to_string()))).ok()?;
        let answer: Response<Incoming> = sender.send_request(request).await.ok()?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    tokio::time::timeout(timeout, exchange).await.ok().flatten()
}
