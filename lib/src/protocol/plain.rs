//! The interface of plain upstreams: any HTTP call, forwarded with its request id.

use super::caller::CallerRequest;
use super::http::{find_header, HttpCall, HttpReply};
use super::retry_after::read_retry_after;

/// The header with the request id for plain upstreams.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header by which an upstream states that it refused a request without running it.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The call that forwards a request to a plain upstream.
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

/// Whether an upstream states that it did not run the request.
pub fn was_not_run(headers: &[(String, String)]) -> bool {
    find_header(headers, NOT_RUN_HEADER) == Some("true")
}

/// The back-off that an upstream requests with a refusal, in milliseconds.
pub fn requested_backoff_ms(reply: &HttpReply) -> Option<u64> {
    let values = reply.headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case("retry-after"));
    let values = values.map(|(_, value)| value.as_str());
    let refused = reply.status == 503;
    refused.then(|| read_retry_after(values, find_header(&reply.headers, "date")))?
}

/// Whether a method is idempotent in HTTP.
pub fn is_repeatable(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
}
