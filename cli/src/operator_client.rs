//! Calls to the operator interface of the keepers.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use wingshed_lib::protocol::http::{HttpCall, HttpReply};
use wingshed_lib::protocol::operator::OPERATOR_HEADER;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};

/// The longest answer that is read, in bytes. A backup contains the whole replicated state.
const MAX_ANSWER_BYTES: usize = 256 << 20;
/// How many times all keepers are called until one of them answers as the leader.
const MAX_ROUNDS: usize = 20;

/// The contents of a connection file: the keepers and the operator's credentials.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Connection {
    /// The keepers' addresses.
    pub keepers: Vec<SocketAddr>,
    /// The operator's name.
    #[serde(default)]
    pub operator: String,
    /// The operator's key, or the fleet key for the first change.
    pub key: String,
}

/// Reads a connection file. Fails if it names no keeper.
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
    /// Calls one keeper.
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
        client
            .call(address, &call, times, MAX_ANSWER_BYTES, "operator")
            .map_err(|error| error.to_string())
    }

    /// Calls the keepers one after another until one answers as the leader. A call may be sent more
    /// than once, which is safe because changes and orders have an id.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Result<HttpReply, String> {
        let mut last = String::new();
        for round in 0..MAX_ROUNDS {
            for address in &self.keepers {
                match self.call_at(*address, method, path, body) {
                    Ok(reply) if matches!(reply.status, 421 | 503) => last = message_of(&reply),
                    Ok(reply) => return Ok(reply),
                    Err(error) => last = format!("{address}: {error}"),
                }
            }
            if round + 1 < MAX_ROUNDS {
                std::thread::sleep(std::time::Duration::from_millis(100));
            }
        }
        Err(format!("no keeper leads: {last}"))
    }

    /// Calls the leader and parses its answer as JSON. Fails if the status isn't 200.
    pub fn json(&self, method: &str, path: &str, body: Option<&Value>) -> Result<Value, String> {
        let reply = self.call(method, path, body)?;
        match reply.status {
            200 => serde_json::from_slice(&reply.body).map_err(|error| error.to_string()),
            _ => Err(message_of(&reply)),
        }
    }
}

/// Returns the status and message of an error reply.
pub fn message_of(reply: &HttpReply) -> String {
    let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let text = value.pointer("/error/message").and_then(Value::as_str);
    let text = text.map(str::to_string).unwrap_or_else(|| value.to_string());
    format!("status {}: {text}", reply.status)
}
