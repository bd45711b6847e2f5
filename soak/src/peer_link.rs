//! A link from one VM to another that relays connections and datagrams.
//!
//! A VM listens at the first port of its own range, and reaches all other VMs at that same port number. Each
//! VM is therefore given another first port. At the address of VM `to` the port of VM `from` is then free:
//! everything that `from` sends to `to` arrives there, and the link relays it to the port of `to`. Datagrams
//! are relayed from the address of `from`, since a VM identifies their sender by it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::{spawn_local, JoinHandle};

use crate::link::{LinkMode, LinkProxy};

/// Size of the receive buffer, in bytes. No datagram is larger.
const DATAGRAM_BYTES: usize = 65_536;

/// A link in one direction.
pub struct PeerLink {
    /// The link for connections, whose mode datagrams follow too.
    pub proxy: LinkProxy,
    forwarding: JoinHandle<()>,
}

impl PeerLink {
    /// Listens at `near` and relays to `to` what `from` sends there.
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
                    LinkMode::Reset
                    | LinkMode::Refuse
                    | LinkMode::RefuseNew
                    | LinkMode::HoldForward
                    | LinkMode::Silent => {}
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
