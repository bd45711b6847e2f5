//! Free loopback addresses.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Mutex;

/// A loopback address whose port is free for TCP and for datagrams.
///
/// Each process has a loopback number of its own, so that no outgoing connection, and no
/// other test process, takes the port in between.
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let ip =
        Ipv4Addr::new(127, 1 + (process >> 16) as u8 % 200, (process >> 8) as u8, process as u8);
    free_address_at(IpAddr::V4(ip))
}

/// Addresses given out by this process: the system may offer a freed port again.
static GIVEN: Mutex<Option<HashSet<SocketAddr>>> = Mutex::new(None);

/// The same at a given IP number.
pub fn free_address_at(ip: IpAddr) -> SocketAddr {
    for _ in 0..1000 {
        let Ok(listener) = TcpListener::bind((ip, 0)) else { continue };
        let Ok(address) = listener.local_addr() else { continue };
        let mut given = GIVEN.lock().unwrap_or_else(|poison| poison.into_inner());
        let fresh = given.get_or_insert_with(HashSet::new).insert(address);
        if fresh && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port on {ip}");
}
