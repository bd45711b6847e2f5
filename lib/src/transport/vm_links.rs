//! Links between VMs: one connection a direction, kept; a full or broken link drops
//! frames, since everything that is sent over it is said again.

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
use crate::protocol::vm_wire::{
    decode_frame_body, decode_frame_head, encode_frame, vm_address, VmId, VmMessage,
    FRAME_HEAD_BYTES,
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
/// The pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A frame of this size or more takes a noticeable time on a link of 10 Mbit/s.
const LARGE_FRAME_BYTES: usize = 32 << 10;

/// Frames that a link has taken and not yet written. Clones share the bytes.
type UnsentFrames = Rc<RefCell<Vec<Bytes>>>;

/// The sending end of one link.
struct PeerLink {
    frames: Sender<Bytes>,
    unsent: UnsentFrames,
}

impl PeerLink {
    /// Takes a frame to send, unless the link is full.
    fn take(&self, frame: Bytes) -> bool {
        let taken = self.frames.try_send(frame.clone()).is_ok();
        if taken {
            self.unsent.borrow_mut().push(frame);
        }
        taken
    }

    /// Whether this very frame still waits for the link.
    fn is_sending(&self, frame: &Bytes) -> bool {
        self.unsent.borrow().iter().any(|waiting| waiting.as_ptr() == frame.as_ptr())
    }
}

/// The links of one VM.
#[derive(Clone)]
pub struct LinkTable {
    own: VmId,
    port: u16,
    links: Rc<RefCell<HashMap<VmId, PeerLink>>>,
    wire: Rc<WireCount>,
    large_incoming: Rc<Cell<u32>>,
}

impl LinkTable {
    /// The links of VM `own`, to `port` of the others.
    pub fn new(own: VmId, port: u16, wire: Rc<WireCount>) -> LinkTable {
        LinkTable { own, port, links: Rc::default(), wire, large_incoming: Rc::default() }
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

    /// Whether a large frame is being received. Its sender needn't be asked for it again.
    pub fn is_receiving_large(&self) -> bool {
        self.large_incoming.get() > 0
    }

    /// Sends what `make` makes, once for each `mark`: after a common restart every VM asks for the
    /// same large answer, and the links share its bytes. An answer that a link is still sending is
    /// not sent again.
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
        let under_way = self.links.borrow().get(&to).is_some_and(|link| link.is_sending(&frame));
        if !under_way {
            self.send_frame(to, kind, frame);
        }
    }

    fn send_frame(&self, to: VmId, kind: &'static str, frame: Bytes) {
        let bytes = frame.len() as u64;
        let mut links = self.links.borrow_mut();
        let open = links.get(&to).filter(|link| !link.frames.is_closed());
        let taken = match open {
            Some(link) => link.take(frame),
            None => {
                let link = self.open_link(to);
                let taken = link.take(frame);
                links.insert(to, link);
                taken
            }
        };
        match taken {
            true => self.wire.sent(kind, bytes),
            false => debug!(target: "link", to, "full, a frame is dropped"),
        }
    }

    fn open_link(&self, to: VmId) -> PeerLink {
        let (frames, receiver) = channel(LINK_FRAMES);
        let unsent = UnsentFrames::default();
        let address = SocketAddr::from((vm_address(to), self.port));
        spawn_local(run_link(address, receiver, unsent.clone()));
        PeerLink { frames, unsent }
    }

    /// Takes links of other VMs and hands their messages to `take`.
    pub async fn accept(self, listener: TcpListener, take: Rc<dyn Fn(VmId, VmMessage)>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    set_stream(&stream);
                    spawn_local(self.clone().read_link(stream, take.clone()));
                }
                Err(error) => {
                    debug!(target: "link", "cannot accept: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn read_link(self, mut stream: TcpStream, take: Rc<dyn Fn(VmId, VmMessage)>) {
        loop {
            let mut head = [0; FRAME_HEAD_BYTES];
            if stream.read_exact(&mut head).await.is_err() {
                return;
            }
            let head = match decode_frame_head(head) {
                Ok(head) => head,
                Err(error) => {
                    debug!(target: "link", "closes: {error}");
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
                    take(head.from, message);
                }
                Err(error) => {
                    let from = vm_address(head.from);
                    debug!(target: "link", %from, "closes: {error}");
                    return;
                }
            }
        }
    }
}

/// Counts a large frame for as long as it is being received, whether or not it comes to its end.
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

async fn run_link(address: SocketAddr, mut frames: Receiver<Bytes>, unsent: UnsentFrames) {
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
                    unsent.borrow_mut().clear();
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
        // Frames are written in the order in which they were taken.
        unsent.borrow_mut().remove(0);
    }
}
