//! Which headers of an HTTP message are forwarded on another connection (RFC 9110, section 7.6.1).

use hyper::header::{HeaderMap, HeaderName, CONNECTION, CONTENT_LENGTH, HOST};

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Copies all headers except hop-by-hop headers, those that `connection` lists, and those in `skip`. A header
/// for which `always` returns true isn't dropped by being listed in `connection`, and neither are those that
/// frame or route the message.
pub fn end_to_end_headers(
    headers: &HeaderMap,
    skip: &[&str],
    always: impl Fn(&HeaderName) -> bool,
) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 6);
    for (name, value) in headers {
        let text = name.as_str();
        let dropped = listed.iter().any(|other| other == text)
            && !always(name)
            && name != HOST
            && name != CONTENT_LENGTH;
        if !dropped && !HOP_BY_HOP.contains(&text) && !skip.contains(&text) {
            kept.append(name, value.clone());
        }
    }
    kept
}
