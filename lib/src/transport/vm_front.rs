//! The listeners of a VM: callers, addresses, readiness.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::task::spawn_local;
use tracing::{info, warn};

use super::vm_answer::{close_after, own_answer, refusal};
use super::vm_guard::OpenGuard;
use super::vm_node::VmNode;
use super::vm_relay::AnswerBody;
use super::vm_request_record::ConnectionRecord;
use super::vm_sockets::{listen, set_stream, WatchedStream};
use crate::coordination::vm_roster::{addresses_ttl_s, RosterRow};

/// A caller's connection may rest this much longer than the book says, in milliseconds, so
/// that a caller who keeps the bound never meets a closing connection.
const REST_SLACK_MS: u64 = 1500;
/// The rest allowed before any book is known, in milliseconds.
const USUAL_REST_MS: u64 = 15_000;
/// The largest head before any book is known, and the least that the library takes.
const USUAL_HEAD_BYTES: usize = 16_384;
const LEAST_BUFFER_BYTES: usize = 8192;
/// The most addresses in one answer; callers count no more.
const MOST_ADDRESSES: usize = 64;

/// Serves one listener with one function, for ever.
pub fn serve_listener<F, R>(node: &Rc<VmNode>, address: SocketAddr, serve: F) -> std::io::Result<()>
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let listener = listen(address)?;
    let node = node.clone();
    spawn_local(async move {
        let closing = node.closing.notified();
        tokio::pin!(closing);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = closing.as_mut() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    set_stream(&stream);
                    spawn_local(serve_connection(node.clone(), stream, serve.clone()));
                }
                Err(error) => {
                    warn!(target: "front", %address, "cannot accept: {error}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve_connection<F, R>(node: Rc<VmNode>, stream: tokio::net::TcpStream, serve: F)
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Response<AnswerBody>> + 'static,
{
    let limits = node.book.borrow().as_ref().map(|book| book.book.limits);
    let rest_ms = limits.map_or(USUAL_REST_MS, |limits| limits.idle_ms) + REST_SLACK_MS;
    let head_bytes = limits.map_or(USUAL_HEAD_BYTES, |limits| limits.head_bytes);
    let record = ConnectionRecord::default();
    let service = {
        let (node, record) = (node.clone(), record.clone());
        service_fn(move |mut request: Request<Incoming>| {
            let (node, serve) = (node.clone(), serve.clone());
            request.extensions_mut().insert(record.clone());
            async move {
                let answer = serve(node.clone(), request).await;
                let stopping = node.stopping_ms.get().is_some();
                Ok::<_, Infallible>(if stopping { close_after(answer) } else { answer })
            }
        })
    };
    let _open = OpenGuard::new(&node);
    let (stream, broken) = WatchedStream::new(stream);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(rest_ms))
        .max_buf_size(head_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = node.closing.notified();
    tokio::pin!(closing);
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closing => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    if broken.get() {
        record.tell_broken(node.now_ms());
    }
}

/// Answers whether the VM is ready.
pub async fn serve_ready(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    if !node.adapter.ready_call(request.method(), request.uri()) {
        return own_answer(StatusCode::NOT_FOUND, "");
    }
    match node.is_ready() {
        true => own_answer(StatusCode::OK, ""),
        false => own_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// Tells a caller where to go.
pub async fn serve_addresses(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let Some(zone) = node.adapter.address_call(request.method(), request.uri()) else {
        return own_answer(StatusCode::NOT_FOUND, "");
    };
    let addresses = node.addresses_for(&zone);
    if addresses.is_empty() {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "no VM is known to be ready", 500);
    }
    let vms = node.view.borrow().roster.rows.len();
    let ttl_s = addresses_ttl_s(vms).min(node.settings.borrow().bounds.addresses_ttl_s);
    let mut answer = own_answer(StatusCode::OK, node.adapter.write_addresses(&addresses, ttl_s));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

impl VmNode {
    /// The addresses for a caller in `zone`: VMs of that zone while two or more are ready
    /// there, since bytes between zones cost; else all.
    fn addresses_for(&self, zone: &str) -> Vec<SocketAddr> {
        let Some(port) = self.settings.borrow().front.map(|front| front.port()) else {
            return Vec::new();
        };
        let zone = xxhash_rust::xxh3::xxh3_64(zone.as_bytes());
        let mut rows = self.view.borrow().roster.rows.clone();
        // The leader may not have heard yet that this VM is ready.
        rows.retain(|row| row.id != self.id);
        rows.push(RosterRow { id: self.id, zone: self.zone, ready: self.is_ready() });
        let ready = || rows.iter().filter(|row| row.ready);
        let near: Vec<u32> = ready().filter(|row| row.zone == zone).map(|row| row.id).collect();
        let mut ids = match near.len() >= 2 {
            true => near,
            false => ready().map(|row| row.id).collect(),
        };
        if ids.len() > MOST_ADDRESSES {
            let start = self.draw() as usize % ids.len();
            ids.rotate_left(start);
            ids.truncate(MOST_ADDRESSES);
        }
        ids.into_iter().map(|id| SocketAddr::from((std::net::Ipv4Addr::from(id), port))).collect()
    }

    /// Starts all listeners of this VM.
    pub fn start_listeners(self: &Rc<Self>) -> std::io::Result<()> {
        let settings = self.settings.borrow().clone();
        if let Some(address) = settings.front {
            serve_listener(self, address, super::vm_forward::serve_caller)?;
        }
        if let Some(address) = settings.ready {
            serve_listener(self, address, serve_ready)?;
        }
        if let Some(address) = settings.directory {
            serve_listener(self, address, serve_addresses)?;
        }
        if let Some(address) = settings.control {
            serve_listener(self, address, super::vm_control::serve_operator)?;
        }
        Ok(())
    }

    /// Tells the VM's figures at `port` and `path`; a VM serves without that too.
    pub fn start_figures(self: &Rc<Self>, port: u16, path: String) {
        let address = SocketAddr::from((self.settings.borrow().ip, port));
        *self.figures_path.borrow_mut() = path;
        if let Err(error) = serve_listener(self, address, super::vm_metrics::serve_figures) {
            warn!(target: "front", %address, "figures are not told: {error}");
        }
    }

    /// A planned stop: out of the directory at once, late callers still served for a while;
    /// then nothing new is taken, and what was taken is brought to its end.
    pub async fn stop(self: Rc<Self>) {
        info!(target: "node", serving = self.serving.get(), "stops");
        let began_ms = self.now_ms();
        self.stopping_ms.set(Some(began_ms));
        self.step_keeper(|keeper, now_ms| keeper.hand_over(now_ms));
        self.renew();
        let grace_ms = self.settings.borrow().bounds.grace_ms;
        tokio::time::sleep(Duration::from_millis(LINGER_MS.min(grace_ms / 2))).await;
        self.closing.notify_waiters();
        let end_ms = began_ms + grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let at_work = || self.connections.get() > 0 || self.serving.get() > 0;
        while at_work() && self.now_ms() < end_ms {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        info!(target: "node", serving = self.serving.get(), "ends");
    }
}

/// How long a stopping VM still takes callers who kept its address, in milliseconds: what is
/// taken later than 3 s after the signal must be brought to its end, however long it is.
const LINGER_MS: u64 = 2800;
/// A stopping VM ends this much before it is killed, in milliseconds.
const GRACE_MARGIN_MS: u64 = 400;
