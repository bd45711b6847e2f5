//! The plain upstreams' interface: any HTTP call, passed on with its request id.

use super::caller::CallerRequest;
use super::http::{find_header, HttpCall, HttpReply};
use super::retry_after::read_retry_after;

/// The request id, as plain upstreams see it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// An upstream that refused before running says so with this header.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The call to a plain upstream.
pub fn plain_call(request: &CallerRequest) -> HttpCall {
    let call = HttpCall {
        method: request.method.clone(),
        target: request.target.clone(),
        headers: Vec::new(),
        body: request.body.clone(),
    };
    let call = call.with(REQUEST_ID_HEADER, request.request_id.as_str());
    match &request.content_type {
        Some(kind) => call.with("content-type", kind.as_str()),
        None => call,
    }
}

/// Whether a reply says that the request did not run.
pub fn was_not_run(headers: &[(String, String)]) -> bool {
    find_header(headers, NOT_RUN_HEADER) == Some("true")
}

/// The rest that an upstream asks for beside a refusal, in milliseconds.
pub fn requested_backoff_ms(reply: &HttpReply) -> Option<u64> {
    let values = reply.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
    let values = values.map(|(_, value)| value.as_str());
    let refused = reply.status == 503;
    refused.then(|| read_retry_after(values, find_header(&reply.headers, "date")))?
}

/// Whether a method is repeatable by its meaning in HTTP.
pub fn is_repeatable(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
}
