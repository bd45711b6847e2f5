//! A link from one VM to another, for connections and datagrams.
//!
//! A VM reaches all others at its own first port, and listens there itself. So each VM is given
//! another first port: at the address of VM `to`, the port of VM `from` is then free, everything
//! that `from` sends to `to` comes there, and the link passes it on to the port of `to`. Datagrams
//! go on from the address of `from`, by which a VM knows who outbound them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinHandle};

use crate::link::{LinkMode, LinkProxy};

/// The largest datagram of loopback.
const DATAGRAM_BYTES: usize = 65_536;

/// A link in one direction.
pub struct PeerLink {
    /// The connections.
    pub proxy: LinkProxy,
    forwarding: JoinHandle<()>,
}

impl PeerLink {
    /// Passes on to `to` what `from` sends to `near`.
    pub async fn start(
        from: SocketAddr,
        near: SocketAddr,
        to: SocketAddr,
    ) -> std::io::Result<PeerLink> {
        let proxy = LinkProxy::start(near, to).await?;
        let inbound = UdpSocket::bind(near).await?;
        let outbound = Rc::new(UdpSocket::bind(SocketAddr::new(from.ip(), 0)).await?);
        let mode = proxy.mode_reader();
        let forwarding = spawn_local(async move {
            let mut bytes = vec![0; DATAGRAM_BYTES];
            while let Ok((length, _)) = inbound.recv_from(&mut bytes).await {
                let datagram = bytes[..length].to_vec();
                match mode() {
                    LinkMode::Open | LinkMode::HoldBack => {
                        let _ = outbound.try_send_to(&datagram, to);
                    }
                    LinkMode::Delay(ms) => {
                        let outbound = outbound.clone();
                        spawn_local(async move {
                            tokio::time::sleep(Duration::from_millis(ms)).await;
                            let _ = outbound.try_send_to(&datagram, to);
                        });
                    }
                    LinkMode::Reset | LinkMode::HoldForward | LinkMode::Silent => {}
                }
            }
        });
        Ok(PeerLink { proxy, forwarding })
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.forwarding.abort();
    }
}
