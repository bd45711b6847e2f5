//! Sealed datagrams, for messages that recur every quarter of a second.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use super::clock::wall_ms;
use super::wire_count::{WireCount, DATAGRAM_HEAD_BYTES};
use crate::protocol::keeper_wire::{decode, encode, Datagram};
use crate::protocol::seal::{SealChecker, SealMaker};

/// The longest message that is sent as a datagram, in bytes. Longer ones are sent over HTTP, so that no
/// datagram is split into fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// How often the receiving thread checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A socket that sends and receives sealed datagrams.
#[derive(Clone)]
pub struct DatagramPort {
    socket: Arc<UdpSocket>,
    maker: Arc<SealMaker>,
    wire: Arc<WireCount>,
}

impl DatagramPort {
    /// Binds `address`.
    pub fn bind(
        address: SocketAddr,
        maker: Arc<SealMaker>,
        wire: Arc<WireCount>,
    ) -> io::Result<DatagramPort> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        Ok(DatagramPort { socket: Arc::new(socket), maker, wire })
    }

    /// Sends a datagram. Returns false if it is too long or the system refuses it.
    pub fn send(&self, to: SocketAddr, message: &Datagram) -> bool {
        let body = encode(message);
        if body.len() > MAX_DATAGRAM_BYTES {
            return false;
        }
        let bytes = self.maker.datagram(&body, wall_ms());
        self.wire.sent(kind_of(message), bytes.len() as u64 + DATAGRAM_HEAD_BYTES);
        self.socket.send_to(&bytes, to).is_ok()
    }

    /// Starts a thread that passes each authentic datagram to `handle` until `stop` is set.
    pub fn receive(
        &self,
        checker: Arc<Mutex<SealChecker>>,
        stop: Arc<AtomicBool>,
        handle: impl Fn(SocketAddr, Datagram) + Send + 'static,
    ) -> io::Result<JoinHandle<()>> {
        let port = self.clone();
        let run = move || {
            let mut bytes = [0; 2048];
            while !stop.load(Ordering::Relaxed) {
                let Ok((length, from)) = port.socket.recv_from(&mut bytes) else { continue };
                port.handle_bytes(&bytes[..length], from, &checker, &handle);
            }
        };
        std::thread::Builder::new().name("datagram".to_string()).spawn(run)
    }

    /// Opens a sealed datagram and passes its message to `handle`. A datagram that can't be opened or decoded is
    /// logged and dropped.
    fn handle_bytes(
        &self,
        bytes: &[u8],
        from: SocketAddr,
        checker: &Mutex<SealChecker>,
        handle: &impl Fn(SocketAddr, Datagram),
    ) {
        let opened = {
            let mut checker = checker.lock().unwrap_or_else(|poison| poison.into_inner());
            checker.open_datagram(bytes, wall_ms()).map(<[u8]>::to_vec)
        };
        let body = match opened {
            Ok(body) => body,
            Err(refusal) => {
                tracing::warn!("datagram: refused one from {from}: {refusal}.");
                return;
            }
        };
        match decode::<Datagram>(&body) {
            Ok(message) => {
                let length = bytes.len() as u64 + DATAGRAM_HEAD_BYTES;
                self.wire.received(kind_of(&message), length);
                handle(from, message);
            }
            Err(error) => tracing::warn!("datagram: cannot read one from {from}: {error}."),
        }
    }
}

/// The kind under which a message is counted.
fn kind_of(message: &Datagram) -> &'static str {
    match message {
        Datagram::Renew(_) => "renew",
        Datagram::Grant(_) => "grant",
        Datagram::Notice { .. } => "notice",
        Datagram::Raft(_) => "raft",
        Datagram::Chats(_) => "chats",
        Datagram::Claims { .. } | Datagram::ClaimAnswers { .. } => "claims",
        Datagram::Sums { .. } => "sums",
    }
}
