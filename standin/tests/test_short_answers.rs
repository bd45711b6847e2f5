//! The stand-in caller counts an answer as whole only if it is complete, for every framing and end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::transport::http_client::HttpClient;
use wingshed_standin::caller::{send, CallerAnswer};

/// Answers one connection with these bytes and closes it, by a reset if `reset` is set.
fn answer_once(bytes: String, reset: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0; 1];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).unwrap() > 0 {
            head.push(byte[0]);
        }
        stream.write_all(bytes.as_bytes()).unwrap();
        if reset {
            std::thread::sleep(Duration::from_millis(30));
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    address
}

/// Sends a request that is answered with this head and body, and returns the answer as the caller received it.
fn received_answer(head: &str, body: &str, reset: bool) -> CallerAnswer {
    let bytes = format!("HTTP/1.1 200 OK\r\nwingshed-ran: yes\r\n{head}\r\n{body}");
    let address = answer_once(bytes, reset);
    send(&HttpClient::default(), address, &HttpCall::get("/x"), None)
}

const JSON: &str = "content-type: application/json\r\n";
const EVENTS: &str = "content-type: text/event-stream\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Returns a body as one chunk.
fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

const PIECE: &str = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"abc\"}}]}\n\n";
const DONE: &str = "id: 2\ndata: [DONE]\n\n";

#[test]
fn a_plain_answer_that_is_short_of_its_length_is_not_whole() {
    let whole = received_answer(&format!("{JSON}content-length: 9\r\n"), "{\"a\":123}", false);
    let short = received_answer(&format!("{JSON}content-length: 9\r\n"), "{\"a\":12", false);

    assert!(whole.whole, "{whole:?}");
    assert!(!short.whole, "{short:?}");
    assert!(short.failure.is_some(), "{short:?}");

    let body = format!("{PIECE}{DONE}");
    let short =
        received_answer(&format!("{EVENTS}content-length: {}\r\n", body.len() + 5), &body, false);
    assert!(!short.whole, "{short:?}");
}

#[test]
fn a_plain_answer_that_breaks_off_otherwise_is_not_whole() {
    let body = "{\"a\":123}";
    let within = chunk(body).replace("}\r\n", "");
    let broken = [
        received_answer(&format!("{JSON}{CHUNKED}"), &chunk(body), false),
        received_answer(&format!("{JSON}{CHUNKED}"), &within, false),
        received_answer(JSON, body, true),
    ];

    let whole =
        received_answer(&format!("{JSON}{CHUNKED}"), &format!("{}0\r\n\r\n", chunk(body)), false);
    assert!(whole.whole, "{whole:?}");
    assert!(received_answer(JSON, body, false).whole);
    for answer in broken {
        assert!(!answer.whole && answer.failure.is_some(), "{answer:?}");
    }
}

#[test]
fn a_stream_that_stops_before_its_end_is_not_whole() {
    let stops = ["", "id: 1\nda", "id: 2\ndata: [DONE]", "id: 2\ndata: [DONE]\n"];
    for stop in stops {
        let body = format!("{PIECE}{stop}");
        let framed = format!("{}0\r\n\r\n", chunk(&body));
        let length = format!("{EVENTS}content-length: {}\r\n", body.len());
        for (head, body) in
            [(EVENTS, &body), (&format!("{EVENTS}{CHUNKED}"), &framed), (&length, &body)]
        {
            let answer = received_answer(head, body, false);
            assert!(!answer.whole, "{stop:?} {head}: {answer:?}");
        }
    }
}

#[test]
fn a_stream_whose_framing_breaks_off_after_its_end_is_not_whole() {
    let body = format!("{PIECE}{DONE}");
    let whole = received_answer(
        &format!("{EVENTS}{CHUNKED}"),
        &format!("{}0\r\n\r\n", chunk(&body)),
        false,
    );
    assert!(whole.whole && whole.text == "abc", "{whole:?}");
    assert!(received_answer(EVENTS, &body, false).whole);

    let broken = [
        received_answer(&format!("{EVENTS}{CHUNKED}"), &chunk(&body), false),
        received_answer(EVENTS, &body, true),
    ];
    for answer in broken {
        assert!(!answer.whole && answer.failure.is_some(), "{answer:?}");
    }
}
