//! Tests of the HTTP server: pieces are sent at once, slow and silent callers use bounded memory
//! and time, requests beyond the limits are refused, and callers detect a cut answer.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, unbounded};
use wingshed_lib::protocol::http::{HttpCall, HttpReply};
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};
use wingshed_lib::transport::http_server::{
    listen, ExchangeHandler, HttpExchange, HttpServer, ServerLimits,
};
use wingshed_standin::address::free_address;

const LIMITS: ServerLimits = ServerLimits {
    in_flight: 8,
    body_bytes: 1000,
    header_bytes: 2000,
    read_timeout: Duration::from_millis(600),
};

fn server(handler: ExchangeHandler) -> HttpServer {
    let refusal = Arc::new(|refusal| HttpReply::json(503, &format!("{refusal:?}")));
    HttpServer::start(listen(free_address()).unwrap(), LIMITS, handler, refusal).unwrap()
}

fn echo() -> HttpServer {
    server(Arc::new(|mut exchange: HttpExchange| {
        let reply = HttpReply { status: 200, headers: vec![], body: exchange.call.body.clone() };
        let _ = exchange.writer.send(&reply);
    }))
}

fn call(address: SocketAddr, call: &HttpCall) -> Result<HttpReply, String> {
    let client = HttpClient::default();
    let reply = client.call(address, call, CallTimes::of_ms(3000), 1 << 20, "test");
    reply.map_err(|error| error.to_string())
}

#[test]
fn each_piece_leaves_before_the_next_is_made() {
    let (go, proceed) = bounded::<()>(0);
    let server = server(Arc::new(move |mut exchange: HttpExchange| {
        exchange.writer.begin(200, &[]).unwrap();
        for number in 0..5 {
            exchange.writer.chunk(format!("piece {number}\n").as_bytes()).unwrap();
            // The next piece is produced only after the caller has read this one.
            proceed.recv().unwrap();
        }
        exchange.writer.finish().unwrap();
    }));
    let client = HttpClient::default();

    let open =
        client.open(server.address, &HttpCall::get("/"), CallTimes::of_ms(3000), "test").unwrap();
    let mut lines = BufReader::new(open.body);
    for number in 0..5 {
        let mut line = String::new();
        lines.read_line(&mut line).unwrap();
        assert_eq!(line, format!("piece {number}\n"));
        go.send(()).unwrap();
    }

    let mut rest = String::new();
    assert_eq!(lines.read_to_string(&mut rest).unwrap(), 0);
}

#[test]
fn a_caller_that_does_not_read_holds_a_bounded_buffer_and_is_given_up() {
    let (ended, handler_ended) = unbounded();
    let written = Arc::new(AtomicUsize::new(0));
    let counted = written.clone();
    let server = server(Arc::new(move |mut exchange: HttpExchange| {
        exchange.writer.begin(200, &[]).unwrap();
        let piece = vec![7; 64 << 10];
        while exchange.writer.chunk(&piece).is_ok() {
            counted.fetch_add(piece.len(), Ordering::Relaxed);
        }
        ended.send(()).unwrap();
    }));

    let mut caller = TcpStream::connect(server.address).unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let given_up = handler_ended.recv_timeout(Duration::from_secs(20));

    assert!(given_up.is_ok(), "the writer fails because the caller does not read");
    assert!(written.load(Ordering::Relaxed) < 64 << 20, "the buffered bytes are bounded");
}

#[test]
fn a_burst_of_silent_callers_does_not_hold_up_a_good_one() {
    let server = echo();

    let silent: Vec<TcpStream> =
        (0..200).map(|_| TcpStream::connect(server.address).unwrap()).collect();
    for mut stream in &silent {
        stream.write_all(b"GET / HT").unwrap();
    }
    let reply = call(server.address, &HttpCall::post("/", b"hello".to_vec()));

    assert_eq!(reply.unwrap().body, b"hello");
}

#[test]
fn limits_refuse_and_the_server_goes_on() {
    let server = echo();
    let long = "x".repeat(3000);
    let rows: [(&str, HttpCall); 2] = [
        ("BodyTooLong", HttpCall::post("/", vec![1; 2000])),
        ("HeadersTooLong", HttpCall::get("/").with("x-long", long)),
    ];

    for (refusal, request) in rows {
        let reply = call(server.address, &request).unwrap();
        assert_eq!(String::from_utf8(reply.body).unwrap(), format!("\"{refusal}\""));
    }
    let reply = call(server.address, &HttpCall::post("/", b"still here".to_vec())).unwrap();

    assert_eq!(reply.body, b"still here");
}

#[test]
fn a_body_that_ends_early_reaches_no_handler() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let server = server(Arc::new(move |mut exchange: HttpExchange| {
        counted.fetch_add(1, Ordering::Relaxed);
        let _ = exchange.writer.send(&HttpReply { status: 200, ..HttpReply::default() });
    }));

    let mut caller = TcpStream::connect(server.address).unwrap();
    caller.write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf").unwrap();
    caller.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    let _ = caller.read_to_end(&mut answer);

    assert_eq!(calls.load(Ordering::Relaxed), 0);
}

#[test]
fn more_than_the_limit_in_flight_are_refused_at_once() {
    let (go, proceed) = bounded::<()>(0);
    let server = server(Arc::new(move |mut exchange: HttpExchange| {
        proceed.recv().unwrap();
        let _ = exchange.writer.send(&HttpReply { status: 200, ..HttpReply::default() });
    }));
    let address = server.address;

    let waiting: Vec<_> = (0..LIMITS.in_flight)
        .map(|_| std::thread::spawn(move || call(address, &HttpCall::get("/")).unwrap().status))
        .collect();
    let refused = loop {
        let reply = call(address, &HttpCall::get("/"));
        match reply {
            Ok(reply) if reply.status == 503 => break reply,
            _ => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    for _ in 0..LIMITS.in_flight {
        let _ = go.send_timeout((), Duration::from_secs(5));
    }

    assert_eq!(String::from_utf8(refused.body).unwrap(), "\"Busy\"");
    drop(go);
    waiting.into_iter().for_each(|thread| drop(thread.join()));
}

#[test]
fn an_answer_that_is_dropped_is_seen_as_cut() {
    let rows: [(&str, ExchangeHandler); 2] = [
        ("before the head", Arc::new(|_| {})),
        (
            "in the middle",
            Arc::new(|mut exchange: HttpExchange| {
                exchange.writer.begin(200, &[]).unwrap();
                exchange.writer.chunk(b"some").unwrap();
            }),
        ),
    ];

    for (case, handler) in rows {
        let server = server(handler);
        assert!(call(server.address, &HttpCall::get("/")).is_err(), "{case}");
    }
}

/// Returns the bytes of an answer that an HTTP/1.0 caller reads, and how its connection ends.
fn read_as_http_10(handler: ExchangeHandler) -> (String, std::io::Result<usize>) {
    let server = server(handler);
    let mut caller = TcpStream::connect(server.address).unwrap();
    caller.write_all(b"GET / HTTP/1.0\r\nhost: x\r\n\r\n").unwrap();
    let mut answer = Vec::new();
    let end = caller.read_to_end(&mut answer);
    (String::from_utf8_lossy(&answer).into_owned(), end)
}

#[test]
fn a_caller_without_chunks_sees_that_its_answer_was_cut() {
    let (answer, end) = read_as_http_10(Arc::new(|mut exchange: HttpExchange| {
        exchange.writer.begin(200, &[]).unwrap();
        exchange.writer.chunk(b"some").unwrap();
        std::thread::sleep(Duration::from_millis(100));
    }));

    assert!(end.is_err(), "the connection ended cleanly after {answer:?}");
}

#[test]
fn a_caller_without_chunks_gets_its_answer_whole() {
    let (answer, end) = read_as_http_10(Arc::new(|mut exchange: HttpExchange| {
        exchange.writer.begin(200, &[]).unwrap();
        for _ in 0..100 {
            exchange.writer.chunk(&[b'x'; 10_000]).unwrap();
        }
        exchange.writer.finish().unwrap();
    }));

    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    assert_eq!((end.is_ok(), body.len()), (true, 1_000_000));
}

#[test]
fn a_call_that_breaks_off_reaches_no_handler_however_it_is_framed() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let server = server(Arc::new(move |mut exchange: HttpExchange| {
        counted.fetch_add(1, Ordering::Relaxed);
        let _ = exchange.writer.send(&HttpReply { status: 200, ..HttpReply::default() });
    }));
    let rows: [(&str, &str); 7] = [
        ("within the head", "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1"),
        ("between headers", "POST / HTTP/1.1\r\nhost: x\r\n"),
        ("none of the length", "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n"),
        ("short of the length", "POST / HTTP/1.0\r\ncontent-length: 10\r\n\r\nhalf"),
        (
            "within a chunk",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n5\r\nha",
        ),
        (
            "without the last chunk",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nha\r\n",
        ),
        (
            "within the last chunk",
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n2\r\nha\r\n0\r\n",
        ),
    ];

    for (case, call) in rows {
        let mut caller = TcpStream::connect(server.address).unwrap();
        caller.write_all(call.as_bytes()).unwrap();
        caller.shutdown(std::net::Shutdown::Write).unwrap();
        let _ = caller.read_to_end(&mut Vec::new());
        assert_eq!(calls.load(Ordering::Relaxed), 0, "{case}");
    }
}
