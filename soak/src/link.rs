//! A TCP proxy on loopback that can delay, reset, or hold connections in one or both directions.
//!
//! The proxy holds bytes and never drops them, as the network retransmits lost packets of a live connection.
//! A connection whose bytes were held for longer than [`MAX_HELD_MS`] is reset.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use wingshed_standin::partition::{Partition, PartitionForm};

/// How a link treats what passes through it. Forward is the direction away from the side that connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes pass at once.
    Open,
    /// Bytes pass after a delay of this many milliseconds.
    Delay(u64),
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open connections are reset, and new ones are refused.
    Refuse,
    /// Open connections live on, and new ones are refused.
    RefuseNew,
    /// Bytes from the connecting side are held.
    HoldForward,
    /// Bytes to the connecting side are held.
    HoldBack,
    /// Bytes are held in both directions.
    Silent,
}

/// Milliseconds for which bytes may be held. After that time without an acknowledgement a real sender gives
/// up the connection, so the link resets it.
const MAX_HELD_MS: u128 = 2_500;
/// Interval at which a held direction checks whether bytes may pass again.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The addresses that are partitioned from what several links lead to.
#[derive(Default)]
pub struct SharedPartition {
    partition: RefCell<Partition>,
    changed: Notify,
}

impl SharedPartition {
    /// Begins the partition of an address, or ends it if there is no form.
    pub fn set(&self, source: Ipv4Addr, form: Option<PartitionForm>) {
        let forms = &mut self.partition.borrow_mut().0;
        match form {
            Some(form) => forms.insert(source, form),
            None => forms.remove(&source),
        };
        self.changed.notify_waiters();
    }
}

/// State that a link shares with its connections.
struct LinkState {
    mode: Cell<LinkMode>,
    reset: Notify,
    /// Notified when the link may have to stop listening.
    listening: Notify,
    partition: Rc<SharedPartition>,
}

/// A link from one address to another.
pub struct LinkProxy {
    state: Rc<LinkState>,
    accepting: JoinHandle<()>,
}

impl LinkProxy {
    /// Listens at `from` and relays each connection to `to`.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<LinkProxy> {
        LinkProxy::start_partitioned(from, to, Rc::default()).await
    }

    /// Like [`LinkProxy::start`], with a partition that applies to the connecting sides.
    pub async fn start_partitioned(
        from: SocketAddr,
        to: SocketAddr,
        partition: Rc<SharedPartition>,
    ) -> std::io::Result<LinkProxy> {
        let listener = TcpListener::bind(from).await?;
        partition.partition.borrow().apply_to_listener(&listener)?;
        let (mode, reset, listening) = (Cell::new(LinkMode::Open), Notify::new(), Notify::new());
        let state = Rc::new(LinkState { mode, reset, listening, partition });
        let accepting = spawn_local(listen(listener, to, state.clone()));
        Ok(LinkProxy { state, accepting })
    }

    /// Returns a closure that reads the current mode.
    pub fn mode_reader(&self) -> impl Fn() -> LinkMode {
        let state = self.state.clone();
        move || state.mode.get()
    }

    /// Changes the mode. [`LinkMode::Reset`] and [`LinkMode::Refuse`] reset the open connections.
    pub fn set(&self, mode: LinkMode) {
        self.state.mode.set(mode);
        if matches!(mode, LinkMode::Reset | LinkMode::Refuse) {
            self.state.reset.notify_waiters();
        }
        self.state.listening.notify_waiters();
    }
}

impl Drop for LinkProxy {
    /// Stops listening. Open connections pass bytes on until their far ends close.
    fn drop(&mut self) {
        self.accepting.abort();
        self.state.mode.set(LinkMode::Open);
    }
}

impl LinkState {
    /// Whether the link refuses new connections.
    fn refuses(&self) -> bool {
        matches!(self.mode.get(), LinkMode::Refuse | LinkMode::RefuseNew)
    }
}

/// Accepts connections, and closes the listener while the link refuses them.
async fn listen(mut listener: TcpListener, to: SocketAddr, state: Rc<LinkState>) {
    let Ok(from) = listener.local_addr() else { return };
    loop {
        if !accept_until_refused(&listener, to, &state).await {
            return;
        }
        drop(listener);
        while state.refuses() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        let Ok(again) = TcpListener::bind(from).await else { return };
        let _ = state.partition.partition.borrow().apply_to_listener(&again);
        listener = again;
    }
}

/// Accepts connections, and applies the partition to the listener and to them. Returns whether the link refuses
/// further ones; otherwise the listener failed.
async fn accept_until_refused(
    listener: &TcpListener,
    to: SocketAddr,
    state: &Rc<LinkState>,
) -> bool {
    loop {
        if state.refuses() {
            return true;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.listening.notified() => continue,
            () = state.partition.changed.notified() => {
                let _ = state.partition.partition.borrow().apply_to_listener(listener);
                continue;
            }
        };
        let Ok((near, from)) = accepted else { return false };
        let partition = state.partition.partition.borrow();
        if matches!(partition.apply_to_accepted(&near, from.ip()), Ok(false)) {
            spawn_local(relay_connection(near, from.ip(), to, state.clone()));
        }
    }
}

/// Connects to `to` from the address of the connecting side, so that both ends see each other's.
async fn connect_as(source: IpAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(to).await
}

/// Returns once the partition has reset the connection.
async fn reset_by_partition(near: &impl AsFd, source: IpAddr, partition: &SharedPartition) {
    loop {
        partition.changed.notified().await;
        if matches!(partition.partition.borrow().apply_to_open(near, source), Ok(true)) {
            return;
        }
    }
}

/// Relays one connection until both directions have ended or the connection is reset.
async fn relay_connection(near: TcpStream, source: IpAddr, to: SocketAddr, state: Rc<LinkState>) {
    if state.mode.get() == LinkMode::Reset {
        return reset(&near);
    }
    let Ok(far) = connect_as(source, to).await else { return reset(&near) };
    let Ok(near_socket) = near.as_fd().try_clone_to_owned() else { return reset(&near) };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, mut near_write) = near.into_split();
    let (far_read, mut far_write) = far.into_split();
    let both = async {
        tokio::try_join!(
            relay(near_read, &mut far_write, &state, true),
            relay(far_read, &mut near_write, &state, false)
        )
    };
    let broken = tokio::select! {
        ended = both => ended.is_err(),
        () = state.reset.notified() => true,
        () = reset_by_partition(&near_socket, source, &state.partition) => true,
    };
    if broken {
        for write in [near_write, far_write] {
            reset(write.as_ref());
            // A dropped write half would first close its side cleanly, before the reset.
            write.forget();
        }
    }
}

/// Makes the stream reset its connection when it is closed.
fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The error by which a direction requests that its connection is reset on both sides.
struct ConnectionBroken;

/// Relays the bytes of one direction until its clean end; `forward` is true away from the connecting side.
async fn relay(
    mut read: OwnedReadHalf,
    write: &mut OwnedWriteHalf,
    state: &LinkState,
    forward: bool,
) -> Result<(), ConnectionBroken> {
    let mut piece = [0; 8192];
    loop {
        let count = read.read(&mut piece).await;
        if wait_while_held(state, forward).await {
            return Err(ConnectionBroken);
        }
        match count {
            Ok(0) => {
                let _ = write.shutdown().await;
                return Ok(());
            }
            Err(_) => return Err(ConnectionBroken),
            Ok(count) => {
                if write.write_all(&piece[..count]).await.is_err() {
                    return Err(ConnectionBroken);
                }
            }
        }
    }
}

/// Waits while the link holds or delays this direction. Returns true if it held it for longer than
/// [`MAX_HELD_MS`].
async fn wait_while_held(state: &LinkState, forward: bool) -> bool {
    let since = std::time::Instant::now();
    loop {
        match (state.mode.get(), forward) {
            (LinkMode::Silent, _) | (LinkMode::HoldForward, true) | (LinkMode::HoldBack, false) => {
                tokio::time::sleep(CHECK_INTERVAL).await
            }
            (LinkMode::Delay(ms), _) => {
                tokio::time::sleep(Duration::from_millis(ms)).await;
                return false;
            }
            _ => return since.elapsed().as_millis() > MAX_HELD_MS,
        }
    }
}
