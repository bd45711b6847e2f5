//! Free loopback addresses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 30_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A loopback address whose port is free for TCP and for datagrams.
///
/// Each process has a loopback number of its own and counts its ports up, below those that the
/// system gives to connections: no port is given out twice, and trying a new one never takes
/// one that was given out and is about to be bound.
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let first = 1 + (process >> 16) as u8 % 200;
    let ip = Ipv4Addr::new(127, first, (process >> 8) as u8, process as u8);
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port < LAST_PORT, "this process has used up its ports");
        let address = SocketAddr::from((ip, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
