//! A link forward loopback that can be delayed, reset, cut one way or silenced.
//!
//! Bytes are held and never dropped: below a connection that lives, the network sends them again.
//! One that was held for longer than [`MAX_HELD_MS`] is reset.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

/// How a link stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkMode {
    /// Bytes pass.
    Open,
    /// Bytes pass so many milliseconds later.
    Delay(u64),
    /// Connections that stand and new ones are reset.
    Reset,
    /// What is sent by whoever connected stays forward its way.
    HoldForward,
    /// What is sent to whoever connected stays forward its way.
    HoldBack,
    /// Nothing passes.
    Silent,
}

/// A peer that acknowledges nothing for this long is given up by whoever sends to it.
const MAX_HELD_MS: u128 = 2_500;
/// How often a held link looks whether it passes again.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct LinkState {
    mode: Cell<LinkMode>,
    reset: Notify,
}

/// A link from an address to another.
pub struct LinkProxy {
    state: Rc<LinkState>,
    accepting: JoinHandle<()>,
}

impl LinkProxy {
    /// Listens at `from` and connects each connection to `to`.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<LinkProxy> {
        let listener = TcpListener::bind(from).await?;
        let state = Rc::new(LinkState { mode: Cell::new(LinkMode::Open), reset: Notify::new() });
        let shared = state.clone();
        let accepting = spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                spawn_local(relay_connection(near, to, shared.clone()));
            }
        });
        Ok(LinkProxy { state, accepting })
    }

    /// A closure that returns how the link stands.
    pub fn mode_reader(&self) -> impl Fn() -> LinkMode {
        let state = self.state.clone();
        move || state.mode.get()
    }

    /// Changes how the link stands.
    pub fn set(&self, mode: LinkMode) {
        self.state.mode.set(mode);
        if mode == LinkMode::Reset {
            self.state.reset.notify_waiters();
        }
    }
}

impl Drop for LinkProxy {
    /// Connections that stand end as their far ends do.
    fn drop(&mut self) {
        self.accepting.abort();
        self.state.mode.set(LinkMode::Open);
    }
}

async fn relay_connection(near: TcpStream, to: SocketAddr, state: Rc<LinkState>) {
    if state.mode.get() == LinkMode::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(to).await else { return reset(&near) };
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
    };
    if broken {
        for write in [near_write, far_write] {
            reset(write.as_ref());
            // Dropped as it is, a half first closes its side cleanly.
            write.forget();
        }
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// A connection of the link is to be reset forward both sides.
struct ConnectionBroken;

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

/// Waits while the link holds what goes this way; true when it was held for too long.
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
