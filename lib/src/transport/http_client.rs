//! HTTP client based on `attohttpc`, with one connection for each call and streamed answer bodies.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;

use super::wire_count::{WireCount, CONNECTION_BYTES};
use crate::protocol::http::{HttpCall, HttpReply};

/// The time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimes {
    /// The longest time to connect.
    pub connect: Duration,
    /// The longest wait for a read.
    pub read: Duration,
}

impl CallTimes {
    /// Uses the same limit for both.
    pub fn of_ms(ms: u64) -> CallTimes {
        CallTimes { connect: Duration::from_millis(ms), read: Duration::from_millis(ms) }
    }
}

/// The reason why a call has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallFailure {
    /// No byte of the call was sent.
    #[snafu(display("not sent: {text}"))]
    NotSent {
        /// The underlying error.
        text: String,
    },
    /// Bytes of the call may have been sent.
    #[snafu(display("broken: {text}"))]
    Broken {
        /// The underlying error.
        text: String,
    },
}

/// An answer whose body is still being received.
pub struct OpenReply {
    /// The status code.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The reader of the body.
    pub body: ReplyBody,
}

impl OpenReply {
    /// Reads the rest of the answer. Fails if the body breaks off or is longer than `max_bytes`.
    pub fn whole(self, max_bytes: usize) -> Result<HttpReply, CallFailure> {
        let mut body = Vec::new();
        let read = self.body.take(max_bytes as u64 + 1).read_to_end(&mut body);
        read.map_err(|error| CallFailure::Broken { text: error.to_string() })?;
        if body.len() > max_bytes {
            return Err(CallFailure::Broken { text: "the answer is too long".to_string() });
        }
        Ok(HttpReply { status: self.status, headers: self.headers, body })
    }
}

/// Reads a body, and fails unless it ends where its framing ends it.
pub struct ReplyBody {
    reader: attohttpc::ResponseReader,
    /// The number of bytes still to be received, if the answer has a content length.
    remaining: Option<u64>,
    /// Whether the method or the status excludes a body, whatever the headers state.
    is_empty: bool,
}

impl ReplyBody {
    fn new(method: &str, response: attohttpc::Response) -> ReplyBody {
        let status = response.status().as_u16();
        let is_empty = method == "HEAD" || matches!(status, 204 | 304);
        let length = response.headers().get(attohttpc::header::CONTENT_LENGTH);
        let remaining = length.and_then(|length| length.to_str().ok()?.parse().ok());
        let (_, _, reader) = response.split();
        ReplyBody { reader, remaining, is_empty }
    }
}

impl Read for ReplyBody {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        if self.is_empty || bytes.is_empty() {
            return Ok(0);
        }
        let read = self.reader.read(bytes)?;
        let Some(remaining) = &mut self.remaining else { return Ok(read) };
        // `attohttpc` reports the end of a body also when the connection is closed before its
        // length.
        if read == 0 && *remaining > 0 {
            let text = format!("the connection ended {remaining} bytes short of the length");
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, text));
        }
        let rest = remaining.checked_sub(read as u64);
        *remaining = rest.ok_or_else(|| {
            io::Error::new(io::ErrorKind::InvalidData, "the body is longer than its length")
        })?;
        Ok(read)
    }
}

/// An HTTP client that counts its messages and bytes.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    /// The counters of messages and bytes.
    pub wire: Arc<WireCount>,
}

impl HttpClient {
    /// Sends a call and reads the head of the answer.
    pub fn open(
        &self,
        address: SocketAddr,
        call: &HttpCall,
        times: CallTimes,
        kind: &'static str,
    ) -> Result<OpenReply, CallFailure> {
        let url = format!("http://{address}{}", call.target);
        let method = attohttpc::Method::from_bytes(call.method.as_bytes())
            .map_err(|error| CallFailure::NotSent { text: error.to_string() })?;
        let mut request = attohttpc::RequestBuilder::try_new(method, &url)
            .map_err(|error| CallFailure::NotSent { text: error.to_string() })?
            .connect_timeout(times.connect)
            .read_timeout(times.read)
            .follow_redirects(false)
            .proxy_settings(attohttpc::ProxySettings::builder().build());
        let mut bytes = call.target.len() + call.body.len() + CONNECTION_BYTES as usize + 120;
        for (name, value) in &call.headers {
            bytes += name.len() + value.len() + 4;
            let name = attohttpc::header::HeaderName::from_bytes(name.as_bytes())
                .map_err(|error| CallFailure::NotSent { text: error.to_string() })?;
            request = request
                .try_header(name, value.as_str())
                .map_err(|error| CallFailure::NotSent { text: error.to_string() })?;
        }
        self.wire.sent(kind, bytes as u64);
        let response = request.bytes(call.body.clone()).send().map_err(to_failure)?;
        let status = response.status().as_u16();
        let pairs = response.headers().iter().map(|(name, value)| {
            (name.as_str().to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        });
        let headers: Vec<(String, String)> = pairs.collect();
        let head: usize = headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
        self.wire.received(kind, (head + 20) as u64 + CONNECTION_BYTES);
        Ok(OpenReply { status, headers, body: ReplyBody::new(&call.method, response) })
    }

    /// Sends a call and reads the whole answer, whose body may have at most `max_bytes` bytes.
    pub fn call(
        &self,
        address: SocketAddr,
        call: &HttpCall,
        times: CallTimes,
        max_bytes: usize,
        kind: &'static str,
    ) -> Result<HttpReply, CallFailure> {
        let reply = self.open(address, call, times, kind)?.whole(max_bytes)?;
        self.wire.received(kind, reply.body.len() as u64);
        Ok(reply)
    }
}

/// Maps an error to a failure. Only errors by which a connection never opened count as not sent.
fn to_failure(error: attohttpc::Error) -> CallFailure {
    let text = error.to_string();
    let not_sent = match error.kind() {
        attohttpc::ErrorKind::Io(error) => matches!(
            error.kind(),
            io::ErrorKind::ConnectionRefused
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable
                | io::ErrorKind::AddrNotAvailable
        ),
        attohttpc::ErrorKind::InvalidBaseUrl | attohttpc::ErrorKind::InvalidUrlHost => true,
        _ => false,
    };
    match not_sent {
        true => CallFailure::NotSent { text },
        false => CallFailure::Broken { text },
    }
}
