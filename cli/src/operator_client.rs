//! Calls to the operators' interface of the keepers.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use wingshed_lib::protocol::http::{HttpCall, HttpReply};
use wingshed_lib::protocol::operator::OPERATOR_HEADER;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};

const LONGEST: usize = 256 << 20;
const ROUNDS: usize = 20;

/// Where the keepers are and who asks.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Connection {
    /// The keepers' addresses.
    pub keepers: Vec<SocketAddr>,
    /// The operator's name.
    #[serde(default)]
    pub operator: String,
    /// The operator's key; for the first change, the fleet key.
    pub key: String,
}

/// Reads a connection file.
pub fn read_connection(path: &Path) -> Result<Connection, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let read: Connection =
        serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    match read.keepers.is_empty() {
        true => Err(format!("{}: names no keeper", path.display())),
        false => Ok(read),
    }
}

impl Connection {
    /// A call at one keeper.
    pub fn call_at(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<HttpReply, String> {
        let call = HttpCall {
            method: method.to_string(),
            target: path.to_string(),
            headers: Vec::new(),
            body: body.map(|body| body.to_string().into_bytes()).unwrap_or_default(),
        };
        let call = call.with("authorization", format!("Bearer {}", self.key));
        let call = match self.operator.is_empty() {
            true => call,
            false => call.with(OPERATOR_HEADER, self.operator.as_str()),
        };
        let client = HttpClient::default();
        let times = CallTimes::of_ms(8000);
        client.call(address, &call, times, LONGEST, "operator").map_err(|error| error.to_string())
    }

    /// A call at the keeper that leads. Safe to repeat: changes and orders carry an id.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<HttpReply, String> {
        let mut last = String::new();
        for round in 0..ROUNDS {
            for address in &self.keepers {
                match self.call_at(*address, method, path, body) {
                    Ok(reply) if matches!(reply.status, 421 | 503) => last = message_of(&reply),
                    Ok(reply) => return Ok(reply),
                    Err(error) => last = format!("{address}: {error}"),
                }
            }
            if round + 1 < ROUNDS {
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        }
        Err(format!("no keeper leads: {last}"))
    }

    /// A call whose answer is JSON with status 200.
    pub fn json(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, String> {
        let reply = self.call(method, path, body)?;
        match reply.status {
            200 => serde_json::from_slice(&reply.body).map_err(|error| error.to_string()),
            _ => Err(message_of(&reply)),
        }
    }
}

/// The sentence of an error reply.
pub fn message_of(reply: &HttpReply) -> String {
    let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let text = value.pointer("/error/message").and_then(Value::as_str);
    let text = text.map(str::to_string).unwrap_or_else(|| value.to_string());
    format!("status {}: {text}", reply.status)
}
