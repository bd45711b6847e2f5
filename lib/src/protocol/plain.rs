//! The plain upstreams' interface: any HTTP call, passed on with its request id.

use super::caller::CallerRequest;
use super::http::HttpCall;

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
pub fn says_not_run(headers: &[(String, String)]) -> bool {
    super::http::find_header(headers, NOT_RUN_HEADER) == Some("true")
}

/// Whether a method is repeatable by its meaning in HTTP.
pub fn is_repeatable(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE")
}
