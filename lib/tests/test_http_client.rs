//! Tests that the HTTP client accepts an answer as complete only when its framing ends it.

mod testutils;

use testutils::raw_answer::{raw_answer, RawEnd, RawPace};
use wingshed_lib::protocol::http::{HttpCall, HttpReply};
use wingshed_lib::transport::http_client::{CallFailure, CallTimes, HttpClient};

/// A case: its name, the method, the bytes of the answer, how the connection ends, and the expected
/// body.
type WholeRow = (&'static str, &'static str, &'static [u8], RawEnd, &'static [u8]);

fn call(method: &str, bytes: &[u8], end: RawEnd, pace: RawPace) -> Result<HttpReply, CallFailure> {
    let address = raw_answer(bytes.to_vec(), end, pace);
    let call = HttpCall { method: method.to_string(), ..HttpCall::get("/") };
    HttpClient::default().call(address, &call, CallTimes::of_ms(1000), 1 << 20, "test")
}

#[test]
fn an_answer_that_breaks_off_is_never_taken_for_whole() {
    let rows: [(&str, &[u8], RawEnd); 15] = [
        ("before the head", b"", RawEnd::Close),
        ("before the head, reset", b"", RawEnd::Reset),
        ("within the status line", b"HTTP/1.1 200 O", RawEnd::Close),
        ("between headers", b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n", RawEnd::Close),
        ("within a header", b"HTTP/1.1 200 OK\r\ncontent-length: 1", RawEnd::Close),
        (
            "short of the length",
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            RawEnd::Close,
        ),
        ("none of the length", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", RawEnd::Close),
        (
            "short of the length, reset",
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            RawEnd::Reset,
        ),
        (
            "short of the length, silent",
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf",
            RawEnd::Open,
        ),
        (
            "within a chunk",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nha",
            RawEnd::Close,
        ),
        (
            "within a chunk's size",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nha\r\n1",
            RawEnd::Close,
        ),
        (
            "without the last chunk",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nha\r\n",
            RawEnd::Close,
        ),
        (
            "within the last chunk",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nha\r\n0\r\n",
            RawEnd::Close,
        ),
        ("no chunk", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", RawEnd::Close),
        ("no framing, reset", b"HTTP/1.1 200 OK\r\n\r\nhalf", RawEnd::Reset),
    ];

    let mut accepted = Vec::new();
    for (case, bytes, end) in rows {
        for pace in [RawPace::AtOnce, RawPace::ByByte] {
            let reply = call("GET", bytes, end, pace);
            if !matches!(reply, Err(CallFailure::Broken { .. })) {
                accepted.push(format!("{case}, {pace:?}"));
            }
        }
    }

    assert_eq!(accepted, Vec::<String>::new());
}

#[test]
fn an_answer_that_is_whole_is_taken_whole() {
    let rows: [WholeRow; 9] = [
        (
            "length",
            "GET",
            b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull",
            RawEnd::Open,
            b"full",
        ),
        ("empty length", "GET", b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", RawEnd::Open, b""),
        (
            "chunks",
            "GET",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
            RawEnd::Open,
            b"full",
        ),
        ("no framing", "GET", b"HTTP/1.1 200 OK\r\n\r\nfull", RawEnd::Close, b"full"),
        ("no framing and empty", "GET", b"HTTP/1.1 200 OK\r\n\r\n", RawEnd::Close, b""),
        ("HEAD", "HEAD", b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n", RawEnd::Close, b""),
        (
            "HEAD, kept open",
            "HEAD",
            b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
            RawEnd::Open,
            b"",
        ),
        ("204, kept open", "GET", b"HTTP/1.1 204 No Content\r\n\r\n", RawEnd::Open, b""),
        (
            "304",
            "GET",
            b"HTTP/1.1 304 Not Modified\r\ncontent-length: 10\r\n\r\n",
            RawEnd::Close,
            b"",
        ),
    ];

    let mut refused = Vec::new();
    for (case, method, bytes, end, body) in rows {
        for pace in [RawPace::AtOnce, RawPace::ByByte] {
            let reply = call(method, bytes, end, pace);
            if reply.map(|reply| reply.body) != Ok(body.to_vec()) {
                refused.push(format!("{case}, {pace:?}"));
            }
        }
    }

    assert_eq!(refused, Vec::<String>::new());
}
