//! Links between VMs: one lasting TCP connection for each direction. A full or broken link drops frames,
//! since all that is sent over links is sent again when it matters. Relay connections arrive at the same port.

use std::cell::{Cell, RefCell};
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
use crate::protocol::peer_relay::RELAY_PREFACE;
use crate::protocol::vm_wire::{
    decode_frame_body, decode_frame_head, encode_frame, vm_address, VmId, VmMessage,
    FRAME_HEAD_BYTES,
};

/// The most frames that wait for one link; further ones are dropped.
const MAX_QUEUED_FRAMES: usize = 64;
/// The timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A link is closed if writing one frame takes longer than this. A large document takes less on a network
/// of 10 Mbit/s.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A link without a frame for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Frames of this size or more, in bytes, count as large: they take a noticeable time at 10 Mbit/s.
const LARGE_FRAME_BYTES: usize = 32 << 10;

/// Frames that a link has queued or is writing. Clones share the bytes.
type UnsentFrames = Rc<RefCell<Vec<Bytes>>>;

/// The sending end of one link.
struct PeerLink {
    frames: Sender<Bytes>,
    unsent: UnsentFrames,
}

impl PeerLink {
    /// Queues a frame and returns true, unless the link is full.
    fn queue(&self, frame: Bytes) -> bool {
        let queued = self.frames.try_send(frame.clone()).is_ok();
        if queued {
            self.unsent.borrow_mut().push(frame);
        }
        queued
    }

    /// Whether this link is still to send these very bytes.
    fn is_sending(&self, frame: &Bytes) -> bool {
        self.unsent.borrow().iter().any(|waiting| waiting.as_ptr() == frame.as_ptr())
    }
}

/// Passes on the messages of other VMs.
pub type MessageHandler = Rc<dyn Fn(VmId, VmMessage)>;
/// Serves a relay connection after its preface; see [`crate::protocol::peer_relay`].
pub type RelayHandler = Rc<dyn Fn(TcpStream)>;

/// The links of one VM to the others.
#[derive(Clone)]
pub struct LinkTable {
    own: VmId,
    port: u16,
    links: Rc<RefCell<HashMap<VmId, PeerLink>>>,
    wire: Rc<WireCount>,
    large_incoming: Rc<Cell<u32>>,
}

impl LinkTable {
    /// Creates the table for VM `own`; `port` is the peer port of all VMs.
    pub fn new(own: VmId, port: u16, wire: Rc<WireCount>) -> LinkTable {
        LinkTable { own, port, links: Rc::default(), wire, large_incoming: Rc::default() }
    }

    /// Sends a message, or drops it when the link is full.
    pub fn send(&self, to: VmId, message: &VmMessage) {
        self.send_frame(to, message.kind(), encode_frame(self.own, message));
    }

    /// Sends one message to several VMs; the links share its bytes.
    pub fn send_all(&self, to: impl Iterator<Item = VmId>, message: &VmMessage) {
        let frame = encode_frame(self.own, message);
        for id in to {
            self.send_frame(id, message.kind(), frame.clone());
        }
    }

    /// Whether a large frame is being received, which may be an answer that this VM needn't request again.
    pub fn is_receiving_large(&self) -> bool {
        self.large_incoming.get() > 0
    }

    /// Sends the message of `make`, which is encoded once for each `revision` and cached in `shared`: after a
    /// restart of the whole fleet every VM requests the same large answer, and the links share its bytes. An
    /// answer that a link is still sending isn't sent again.
    pub fn send_shared<M: PartialEq + Copy>(
        &self,
        to: VmId,
        kind: &'static str,
        revision: M,
        shared: &RefCell<Option<(M, Bytes)>>,
        make: impl FnOnce() -> VmMessage,
    ) {
        let cached =
            shared.borrow().as_ref().filter(|(of, _)| *of == revision).map(|(_, f)| f.clone());
        let frame = cached.unwrap_or_else(|| {
            let frame = encode_frame(self.own, &make());
            *shared.borrow_mut() = Some((revision, frame.clone()));
            frame
        });
        let under_way = self.links.borrow().get(&to).is_some_and(|link| link.is_sending(&frame));
        if !under_way {
            self.send_frame(to, kind, frame);
        }
    }

    /// Queues a frame on the link to a VM, which is opened if there is none.
    fn send_frame(&self, to: VmId, kind: &'static str, frame: Bytes) {
        let bytes = frame.len() as u64;
        let mut links = self.links.borrow_mut();
        let open = links.get(&to).filter(|link| !link.frames.is_closed());
        let queued = match open {
            Some(link) => link.queue(frame),
            None => {
                let link = self.open_link(to);
                let queued = link.queue(frame);
                links.insert(to, link);
                queued
            }
        };
        match queued {
            true => self.wire.sent(kind, bytes),
            false => debug!(target: "link", to, "a link is full, a frame is dropped"),
        }
    }

    /// Starts the task of a new link.
    fn open_link(&self, to: VmId) -> PeerLink {
        let (frames, receiver) = channel(MAX_QUEUED_FRAMES);
        let unsent = UnsentFrames::default();
        let address = SocketAddr::from((vm_address(to), self.port));
        spawn_local(run_link(address, receiver, unsent.clone()));
        PeerLink { frames, unsent }
    }

    /// Accepts links of other VMs and passes their messages to `handle`, and relay connections to `relay`.
    pub async fn accept(self, listener: TcpListener, handle: MessageHandler, relay: RelayHandler) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    set_stream(&stream);
                    spawn_local(self.clone().read_link(stream, handle.clone(), relay.clone()));
                }
                Err(error) => {
                    debug!(target: "link", "cannot accept: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Reads frames until the link ends or a frame can't be decoded.
    async fn read_link(self, mut stream: TcpStream, handle: MessageHandler, relay: RelayHandler) {
        loop {
            let mut head = [0; FRAME_HEAD_BYTES];
            if stream.read_exact(&mut head).await.is_err() {
                return;
            }
            if head == RELAY_PREFACE {
                if stream.write_all(&RELAY_PREFACE).await.is_ok() {
                    relay(stream);
                }
                return;
            }
            let head = match decode_frame_head(head) {
                Ok(head) => head,
                Err(error) => {
                    debug!(target: "link", "a link is closed: {error}");
                    return;
                }
            };
            let mut body = vec![0; head.length];
            let incoming = LargeIncoming::new(&self.large_incoming, head.length);
            if stream.read_exact(&mut body).await.is_err() {
                return;
            }
            drop(incoming);
            match decode_frame_body(head, body) {
                Ok(message) => {
                    self.wire.received(message.kind(), (FRAME_HEAD_BYTES + head.length) as u64);
                    handle(head.from, message);
                }
                Err(error) => {
                    let from = vm_address(head.from);
                    debug!(target: "link", %from, "a link is closed: {error}");
                    return;
                }
            }
        }
    }
}

/// Counts a large frame while it is being received, also one that is cut off.
struct LargeIncoming {
    count: Option<Rc<Cell<u32>>>,
}

impl LargeIncoming {
    fn new(count: &Rc<Cell<u32>>, length: usize) -> LargeIncoming {
        let count = (length >= LARGE_FRAME_BYTES).then(|| count.clone());
        if let Some(count) = &count {
            count.set(count.get() + 1);
        }
        LargeIncoming { count }
    }
}

impl Drop for LargeIncoming {
    fn drop(&mut self) {
        if let Some(count) = &self.count {
            count.set(count.get() - 1);
        }
    }
}

/// Writes the frames of one link until it is idle for too long, and connects anew after a failure.
async fn run_link(address: SocketAddr, mut frames: Receiver<Bytes>, unsent: UnsentFrames) {
    let mut stream: Option<TcpStream> = None;
    loop {
        let frame = match timeout(IDLE_TIMEOUT, frames.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) | Err(_) => return,
        };
        if stream.is_none() {
            stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                Ok(Ok(fresh)) => {
                    set_stream(&fresh);
                    Some(fresh)
                }
                _ => {
                    debug!(target: "link", %address, "cannot connect, frames are dropped");
                    while frames.try_recv().is_ok() {}
                    unsent.borrow_mut().clear();
                    continue;
                }
            };
        }
        if let Some(open) = &mut stream {
            if !matches!(timeout(WRITE_TIMEOUT, open.write_all(&frame)).await, Ok(Ok(()))) {
                debug!(target: "link", %address, "broken");
                stream = None;
            }
        }
        // Frames are written in the order in which they were queued, so this is the first one.
        unsent.borrow_mut().remove(0);
    }
}
