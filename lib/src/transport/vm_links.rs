//! Links between VMs: one connection a direction, kept; a full or broken link drops
//! frames, since everything that is sent over it is said again.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::debug;

use super::vm_sockets::set_stream;
use super::wire_count::WireCount;
use crate::protocol::vm_wire::{
    decode_frame_body, decode_frame_head, encode_frame, vm_address, VmId, VmMessage, FRAME_HEAD,
};

/// Frames that wait for one link.
const LINK_FRAMES: usize = 64;
/// A connection that isn't up after this long is given up.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// A frame that isn't taken after this long breaks the link; a large document on a link of
/// 10 Mbit/s takes less.
const WRITE_TIME: Duration = Duration::from_millis(2000);
/// A link that carried nothing for this long is closed.
const REST_TIME: Duration = Duration::from_secs(10);

/// The links of one VM.
#[derive(Clone)]
pub struct LinkTable {
    own: VmId,
    port: u16,
    links: Rc<RefCell<HashMap<VmId, Sender<Bytes>>>>,
    wire: Rc<WireCount>,
}

impl LinkTable {
    /// The links of VM `own`, to `port` of the others.
    pub fn new(own: VmId, port: u16, wire: Rc<WireCount>) -> LinkTable {
        LinkTable { own, port, links: Rc::default(), wire }
    }

    /// Sends a message, or drops it when the link is full.
    pub fn send(&self, to: VmId, message: &VmMessage) {
        self.send_frame(to, message.kind(), encode_frame(self.own, message));
    }

    /// Sends one message to several VMs; they share its bytes.
    pub fn send_all(&self, to: impl Iterator<Item = VmId>, message: &VmMessage) {
        let frame = encode_frame(self.own, message);
        for id in to {
            self.send_frame(id, message.kind(), frame.clone());
        }
    }

    /// Sends what `make` makes, once for each `mark`: after a common restart every VM asks for the
    /// same large answer, and the links share its bytes.
    pub fn send_shared<M: PartialEq + Copy>(
        &self,
        to: VmId,
        kind: &'static str,
        mark: M,
        shared: &RefCell<Option<(M, Bytes)>>,
        make: impl FnOnce() -> VmMessage,
    ) {
        let kept = shared.borrow().as_ref().filter(|(of, _)| *of == mark).map(|(_, f)| f.clone());
        let frame = kept.unwrap_or_else(|| {
            let frame = encode_frame(self.own, &make());
            *shared.borrow_mut() = Some((mark, frame.clone()));
            frame
        });
        self.send_frame(to, kind, frame);
    }

    fn send_frame(&self, to: VmId, kind: &'static str, mut frame: Bytes) {
        self.wire.sent(kind, frame.len() as u64);
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&to) {
            match link.try_send(frame) {
                Ok(()) => return,
                Err(tokio::sync::mpsc::error::TrySendError::Full(_)) => {
                    debug!(target: "link", to, "full, a frame is dropped");
                    return;
                }
                Err(tokio::sync::mpsc::error::TrySendError::Closed(back)) => frame = back,
            }
        }
        let (sender, receiver) = channel(LINK_FRAMES);
        // The channel was just made, so it has room.
        let _ = sender.try_send(frame);
        links.insert(to, sender);
        let address = SocketAddr::from((vm_address(to), self.port));
        spawn_local(run_link(address, receiver));
    }
}

async fn run_link(address: SocketAddr, mut frames: Receiver<Bytes>) {
    let mut stream: Option<TcpStream> = None;
    loop {
        let frame = match timeout(REST_TIME, frames.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) | Err(_) => return,
        };
        if stream.is_none() {
            stream = match timeout(CONNECT_TIME, TcpStream::connect(address)).await {
                Ok(Ok(fresh)) => {
                    set_stream(&fresh);
                    Some(fresh)
                }
                _ => {
                    debug!(target: "link", %address, "cannot connect, frames are dropped");
                    while frames.try_recv().is_ok() {}
                    continue;
                }
            };
        }
        if let Some(open) = &mut stream {
            if !matches!(timeout(WRITE_TIME, open.write_all(&frame)).await, Ok(Ok(()))) {
                debug!(target: "link", %address, "broken");
                stream = None;
            }
        }
    }
}

/// Takes links of other VMs and hands their messages to `take`.
pub async fn accept_links(
    listener: TcpListener,
    wire: Rc<WireCount>,
    take: Rc<dyn Fn(VmId, VmMessage)>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_stream(&stream);
                spawn_local(read_link(stream, wire.clone(), take.clone()));
            }
            Err(error) => {
                debug!(target: "link", "cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn read_link(mut stream: TcpStream, wire: Rc<WireCount>, take: Rc<dyn Fn(VmId, VmMessage)>) {
    loop {
        let mut head = [0; FRAME_HEAD];
        if stream.read_exact(&mut head).await.is_err() {
            return;
        }
        let head = match decode_frame_head(head) {
            Ok(told) => told,
            Err(error) => {
                debug!(target: "link", "closes: {error}");
                return;
            }
        };
        let mut body = vec![0; head.length];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        match decode_frame_body(head, body) {
            Ok(message) => {
                wire.received(message.kind(), (FRAME_HEAD + head.length) as u64);
                take(head.from, message);
            }
            Err(error) => {
                debug!(target: "link", from = %vm_address(head.from), "closes: {error}");
                return;
            }
        }
    }
}
