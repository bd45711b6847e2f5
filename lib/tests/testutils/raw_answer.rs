//! A server that answers with given bytes and ends its connections in a given way.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use wingshed_standin::address::free_address;

/// How a connection ends after the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawEnd {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// The connection stays open.
    Open,
}

/// How the bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawPace {
    /// In one write, and the connection ends at once.
    AtOnce,
    /// Byte by byte, and the connection ends after a pause.
    ByByte,
}

/// Starts a server that answers each connection with `bytes` until the process ends, and returns
/// its address.
pub fn raw_answer(bytes: Vec<u8>, end: RawEnd, pace: RawPace) -> SocketAddr {
    let listener = TcpListener::bind(free_address()).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let bytes = bytes.clone();
            std::thread::spawn(move || answer(stream, &bytes, end, pace));
        }
    });
    address
}

fn answer(mut stream: TcpStream, bytes: &[u8], end: RawEnd, pace: RawPace) {
    stream.set_nodelay(true).unwrap();
    read_call(&mut stream);
    let part = if pace == RawPace::AtOnce { bytes.len().max(1) } else { 1 };
    for part in bytes.chunks(part) {
        if stream.write_all(part).is_err() {
            return;
        }
        if pace == RawPace::ByByte {
            std::thread::sleep(Duration::from_micros(200));
        }
    }
    if pace == RawPace::ByByte {
        std::thread::sleep(Duration::from_millis(30));
    }
    match end {
        RawEnd::Close => {}
        RawEnd::Reset => {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
        RawEnd::Open => std::thread::sleep(Duration::from_secs(60)),
    }
}

/// Reads a request to its end, since a connection that is closed before would be reset.
fn read_call(stream: &mut TcpStream) {
    let mut call = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&call).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length: usize = length.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return;
            }
        }
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return,
            Ok(read) => call.extend_from_slice(&bytes[..read]),
        }
    }
}
