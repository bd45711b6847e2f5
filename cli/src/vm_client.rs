//! Calls to the operators' interface of VMs: one after the other, as operators do.

use std::net::{SocketAddr, ToSocketAddrs};
use std::time::{Duration, Instant};

use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};

/// A VM that doesn't answer within this long isn't waited for, in milliseconds: each VM answers or
/// refuses 850 ms after it was asked.
const ANSWER_MS: u64 = 1000;
/// All VMs are asked again and again for this long. An order that is repeated later could be taken for
/// a new one, had the first ended meanwhile: VMs know it again for 5,850 ms where nothing else is set.
const TRIED: Duration = Duration::from_millis(4500);
/// How long until they are asked again, in milliseconds.
const AGAIN_MS: u64 = 200;
/// The longest answer, in bytes.
const LONGEST: usize = 16 << 20;

/// The VMs that an operator named.
pub struct VmClient {
    addresses: Vec<SocketAddr>,
}

/// What a VM answered.
#[derive(Debug)]
pub struct VmReply {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl VmReply {
    /// The sentence of a refusal.
    pub fn refusal(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        match text.trim() {
            "" => format!("status {}", self.status),
            text => format!("status {}: {text}", self.status),
        }
    }

    /// The body as JSON, when the call was answered with success.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        match self.status {
            200 => serde_json::from_slice(&self.body)
                .map_err(|error| format!("an answer can't be read: {error}")),
            _ => Err(self.refusal()),
        }
    }
}

impl VmClient {
    /// A client of the VMs with these control addresses, `HOST:PORT` each.
    pub fn new(names: &[String]) -> Result<VmClient, String> {
        if names.is_empty() {
            return Err("name a VM's control address by --at HOST:PORT".to_string());
        }
        let address = |name: &String| {
            let mut found =
                name.to_socket_addrs().map_err(|error| format!("--at {name}: {error}"))?;
            found.next().ok_or_else(|| format!("--at {name}: no address"))
        };
        Ok(VmClient { addresses: names.iter().map(address).collect::<Result<_, _>>()? })
    }

    /// Calls VM after VM until one answers with a status below 500. Safe to repeat: an order that is
    /// asked for again is the same order.
    pub fn call(&self, method: &str, path: &str, body: &[u8]) -> Result<VmReply, String> {
        let began = Instant::now();
        loop {
            let mut last = Vec::new();
            for address in &self.addresses {
                match self.call_at(*address, method, path, body) {
                    Ok(reply) if reply.status < 500 => return Ok(reply),
                    Ok(reply) => last.push(format!("{address}: {}", reply.refusal())),
                    Err(text) => last.push(format!("{address}: {text}")),
                }
                if began.elapsed() >= TRIED {
                    break;
                }
            }
            if began.elapsed() + Duration::from_millis(AGAIN_MS) >= TRIED {
                return Err(format!("no VM gave an answer: {}", last.join("; ")));
            }
            std::thread::sleep(Duration::from_millis(AGAIN_MS));
        }
    }

    fn call_at(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<VmReply, String> {
        let call = HttpCall {
            method: method.to_string(),
            target: path.to_string(),
            headers: Vec::new(),
            body: body.to_vec(),
        };
        let times = CallTimes::of_ms(ANSWER_MS);
        let reply = HttpClient::default().call(address, &call, times, LONGEST, "operator");
        let reply = reply.map_err(|error| error.to_string())?;
        Ok(VmReply { status: reply.status, body: reply.body })
    }
}

/// A name as it stands in a path.
pub fn path_part(name: &str) -> String {
    let mut text = String::new();
    for byte in name.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                text.push(byte as char);
            }
            _ => text.push_str(&format!("%{byte:02X}")),
        }
    }
    text
}
