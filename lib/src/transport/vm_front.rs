//! The HTTP listeners of a VM (callers, VM addresses, readiness, operators, metrics) and its planned stop.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::task::spawn_local;
use tracing::{info, warn};

use super::vm_answer::{json_answer, own_answer, refusal};
use super::vm_connection::serve_connection;
use super::vm_node::VmNode;
use super::vm_relay::AnswerBody;
use super::vm_sockets::{listen, set_stream};
use crate::coordination::vm_roster::{addresses_ttl_s, RosterRow};

/// The maximum number of VM addresses in one answer. Callers use no more than this.
const MAX_ADDRESSES: usize = 64;

/// Listens at `address` and serves each request with `serve`, until the VM closes its listeners.
pub fn serve_listener<F, R>(node: &Rc<VmNode>, address: SocketAddr, serve: F) -> std::io::Result<()>
where
    F: Fn(Rc<VmNode>, Request<Incoming>) -> R + Clone + Unpin + 'static,
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

/// Answers a readiness check.
pub async fn serve_ready(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    if !node.adapter.ready_call(request.method(), request.uri()) {
        return own_answer(StatusCode::NOT_FOUND, "");
    }
    match node.is_ready() {
        true => own_answer(StatusCode::OK, ""),
        false => own_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// Answers a caller with the addresses of VMs to send its requests to.
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
    json_answer(node.adapter.write_addresses(&addresses, ttl_s))
}

impl VmNode {
    /// The VM addresses for a caller in `zone`: the ready VMs of that zone if there are at least two, since
    /// traffic between zones is charged; otherwise all ready VMs.
    fn addresses_for(&self, zone: &str) -> Vec<SocketAddr> {
        let Some(port) = self.settings.borrow().front.map(|front| front.port()) else {
            return Vec::new();
        };
        let zone = xxhash_rust::xxh3::xxh3_64(zone.as_bytes());
        let mut rows = self.view.borrow().roster.rows.clone();
        // The roster may not show yet that this VM is ready.
        rows.retain(|row| row.id != self.id);
        rows.push(RosterRow { id: self.id, zone: self.zone, ready: self.is_advertised() });
        // Where all VMs are isolated, callers lose nothing by staying with them until one is back.
        if self.is_isolated() && !rows.iter().any(|row| row.ready) {
            rows.iter_mut().for_each(|row| row.ready = true);
        }
        let ready = || rows.iter().filter(|row| row.ready);
        let near: Vec<u32> = ready().filter(|row| row.zone == zone).map(|row| row.id).collect();
        let mut ids = match near.len() >= 2 {
            true => near,
            false => ready().map(|row| row.id).collect(),
        };
        if ids.len() > MAX_ADDRESSES {
            let start = self.draw() as usize % ids.len();
            ids.rotate_left(start);
            ids.truncate(MAX_ADDRESSES);
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

    /// Serves the VM's metrics at `port` and `path`. If that fails it is logged, and the VM runs without.
    pub fn start_metrics(self: &Rc<Self>, port: u16, path: String) {
        let address = SocketAddr::from((self.settings.borrow().ip, port));
        *self.metrics_path.borrow_mut() = path;
        if let Err(error) = serve_listener(self, address, super::vm_metrics::serve_metrics) {
            warn!(target: "front", %address, "cannot serve metrics: {error}");
        }
    }

    /// Stops the VM as planned. It leaves the directory at once and still accepts requests for a while. Then
    /// it closes its listeners and completes the requests that it has accepted.
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
        let is_busy = || self.connections.get() > 0 || self.serving.get() > 0;
        while is_busy() && self.now_ms() < end_ms {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.hand_notes_over(end_ms + NOTES_MARGIN_MS).await;
        info!(target: "node", serving = self.serving.get(), "ends");
    }
}

/// How long a stopping VM still accepts requests from callers that have cached its address, in
/// milliseconds. A request accepted more than 3 s after the stop signal must be completed, however long it
/// takes, so this stays below 3 s.
const LINGER_MS: u64 = 2800;
/// How much longer than for its last request a stopping VM may take to pass its notes on, in milliseconds.
const NOTES_MARGIN_MS: u64 = 200;
/// How long before the end of the grace period, when it would be killed, a stopping VM ends by itself, in
/// milliseconds.
const GRACE_MARGIN_MS: u64 = 400;
