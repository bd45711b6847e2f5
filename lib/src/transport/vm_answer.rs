//! Answers that a VM creates itself, without an upstream.

use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use super::vm_relay::AnswerBody;

/// An answer created by this VM, with a plain body.
pub fn own_answer(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = status;
    answer
}

/// A successful answer with a JSON body.
pub fn json_answer(body: impl Into<bytes::Bytes>) -> Response<AnswerBody> {
    let mut answer = own_answer(StatusCode::OK, body);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// A refusal: the request has not run and may be retried after `retry_ms`, which is sent as `retry-after` in
/// seconds.
pub fn refusal(status: StatusCode, text: &str, retry_ms: u64) -> Response<AnswerBody> {
    let mut answer = own_answer(status, text.to_string());
    let seconds = format!("{:.3}", retry_ms as f64 / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// Marks the answer as the last one on its connection.
pub fn close_after<B>(mut answer: Response<B>) -> Response<B> {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}
