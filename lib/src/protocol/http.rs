//! HTTP messages as plain data, exchanged between the protocol modules and the transport.

/// A request, either to be sent or received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpCall {
    /// The method, in upper case.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpReply {
    /// The status code.
    pub status: u16,
    /// The headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The value of the first header with this name, ignoring case.
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl HttpCall {
    /// A call without a body.
    pub fn get(target: impl Into<String>) -> HttpCall {
        HttpCall { method: "GET".to_string(), target: target.into(), ..HttpCall::default() }
    }

    /// A call with a body.
    pub fn post(target: impl Into<String>, body: Vec<u8>) -> HttpCall {
        let (method, target) = ("POST".to_string(), target.into());
        HttpCall { method, target, headers: Vec::new(), body }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> HttpCall {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// The percent-decoded value of a query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| percent_decode(value))
    }
}

impl HttpReply {
    /// A reply with a JSON body.
    pub fn json(status: u16, value: &impl serde::Serialize) -> HttpReply {
        let body = serde_json::to_vec(value).unwrap_or_default();
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        HttpReply { status, headers, body }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl Into<String>) -> HttpReply {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Decodes a percent-encoded text; a plus sign becomes a space.
pub fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let pair = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let value = pair.and_then(|pair| std::str::from_utf8(pair).ok());
        match value.and_then(|pair| u8::from_str_radix(pair, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
