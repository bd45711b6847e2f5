//! Free loopback addresses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port that is returned.
const FIRST_PORT: u16 = 10_000;
/// The bound below which ports are returned. The ephemeral ports of Linux start above it.
const END_PORT: u16 = 30_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns a loopback address whose port is free for TCP and UDP.
///
/// Each process uses an IP address derived from its process id and counts its ports up, below the ephemeral
/// ports. So no port is returned twice, and the check of a new port never occupies one that was returned and is
/// about to be bound.
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let first = 1 + (process >> 16) as u8 % 200;
    let ip = Ipv4Addr::new(127, first, (process >> 8) as u8, process as u8);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port < END_PORT, "this process has used all of its ports");
        let address = SocketAddr::from((ip, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
