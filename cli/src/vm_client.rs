//! Calls to the operator interface of VMs, one VM after another.

use std::net::{SocketAddr, ToSocketAddrs};
use std::time::{Duration, Instant};

use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};

/// How long to wait for the answer of one VM, in milliseconds. Each VM answers or refuses within
/// 850 ms of receiving a call, so a shorter time would abandon calls that are still answered.
const ANSWER_TIMEOUT_MS: u64 = 1000;
/// How long a call is repeated. VMs recognize a repeated order for 5,850 ms by default; an order
/// that is sent again later could be taken for a new one if the first has ended in the meantime.
const RETRY_WINDOW: Duration = Duration::from_millis(4500);
/// The pause before all VMs are called again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;
/// The longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Calls the VMs whose control addresses an operator named.
pub struct VmClient {
    addresses: Vec<SocketAddr>,
}

/// The answer of a VM.
#[derive(Debug)]
pub struct VmReply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl VmReply {
    /// Returns the status and message of a refusal.
    pub fn refusal(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        match text.trim() {
            "" => format!("status {}", self.status),
            text => format!("status {}: {text}", self.status),
        }
    }

    /// Parses the body as JSON. Fails if the status isn't 200.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        match self.status {
            200 => serde_json::from_slice(&self.body)
                .map_err(|error| format!("the answer cannot be parsed: {error}")),
            _ => Err(self.refusal()),
        }
    }
}

impl VmClient {
    /// Creates a client for the VMs with these control addresses, `HOST:PORT` each.
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

    /// Calls one VM after another until one answers with a status below 500, for [`RETRY_WINDOW`]
    /// at most. A call may be sent more than once, which is safe because VMs treat a repeated order
    /// as the same order.
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
                if began.elapsed() >= RETRY_WINDOW {
                    break;
                }
            }
            if began.elapsed() + Duration::from_millis(RETRY_PAUSE_MS) >= RETRY_WINDOW {
                return Err(format!("no VM answered the call: {}", last.join("; ")));
            }
            std::thread::sleep(Duration::from_millis(RETRY_PAUSE_MS));
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
        let times = CallTimes::of_ms(ANSWER_TIMEOUT_MS);
        let reply = HttpClient::default().call(address, &call, times, MAX_ANSWER_BYTES, "operator");
        let reply = reply.map_err(|error| error.to_string())?;
        Ok(VmReply { status: reply.status, body: reply.body })
    }
}

/// Percent-encodes a name for use as a segment of a path.
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
