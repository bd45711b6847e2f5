//! The listeners of a VM: callers, addresses, readiness.

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

/// The most addresses in one answer; callers count no more.
const MAX_ADDRESSES: usize = 64;

/// Serves one listener with one function, for ever.
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

/// Answers a caller with the addresses to go to.
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

    /// Serves the VM's figures at `port` and `path`; a VM serves without that too.
    pub fn start_metrics(self: &Rc<Self>, port: u16, path: String) {
        let address = SocketAddr::from((self.settings.borrow().ip, port));
        *self.figures_path.borrow_mut() = path;
        if let Err(error) = serve_listener(self, address, super::vm_metrics::serve_metrics) {
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
