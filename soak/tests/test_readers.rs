//! Which answers the callers and operators of the soak accept as complete, by framing and by how the
//! connection ends.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use wingshed_soak::caller::{CallerShared, SoakCaller};
use wingshed_soak::http::call_once;
use wingshed_soak::ledger::{RequestEnd, RequestKind, RunLedger};
use wingshed_soak::platform::{ATTEMPT, STAMP};
use wingshed_soak::process::VmSpec;

const WAIT: Duration = Duration::from_secs(3);

/// Reads one request, answers with these bytes, and closes or resets the connection.
async fn answer(mut stream: TcpStream, bytes: String, reset: bool) {
    let mut head = Vec::new();
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        if stream.read_buf(&mut head).await.unwrap_or(0) == 0 {
            return;
        }
    }
    let _ = stream.write_all(bytes.as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    if reset {
        let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

fn spec(ip: &str) -> VmSpec {
    VmSpec {
        index: 0,
        ip: ip.to_string(),
        disk: false,
        folder: std::path::PathBuf::new(),
        seeds: Vec::new(),
        list: "127.0.0.1:1".parse().unwrap(),
    }
}

/// Returns how an answer ends for a caller by HTTP/1.1 and for one by HTTP/1.0, and whether `call_once`
/// accepts it.
fn ends(framing: &str, body: &str, reset: bool) -> (RequestEnd, RequestEnd, bool) {
    let spec = spec(&format!("127.250.{}.7", std::process::id() % 250));
    let bytes = format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT}: 00000000000000aa\r\n{STAMP}: s\r\n{framing}\r\n{body}"
    );
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let listener = TcpListener::bind(spec.front_link()).await.unwrap();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(answer(stream, bytes.clone(), reset));
            }
        });
        let shared = Rc::new(CallerShared {
            ledger: Rc::new(RunLedger::new(1)),
            keys: RefCell::new(vec!["k".to_string()]),
            active: Cell::new(true),
        });
        let mut request_ends = Vec::new();
        for old in [false, true] {
            let mut caller = SoakCaller::new(shared.clone(), spec.clone(), 1).http10(old);
            request_ends
                .push(caller.request_as("00000000000000aa", "once", RequestKind::Once, "q").await);
        }
        let call = call_once(spec.front_link(), "GET", "/x", "", WAIT).await;
        let old = request_ends.remove(1);
        (request_ends.remove(0), old, call.is_some())
    }))
}

#[test]
fn only_what_its_framing_ended_is_complete() {
    let chunked = "transfer-encoding: chunked\r\n";
    let length = "content-length: 4\r\n";
    let complete = (RequestEnd::Whole, RequestEnd::Whole, true);
    let cut = (RequestEnd::Cut, RequestEnd::Cut, false);
    for (framing, body, reset, wanted) in [
        (length, "body", false, &complete),
        (chunked, "4\r\nbody\r\n0\r\n\r\n", false, &complete),
        ("", "body", false, &complete),
        (length, "bod", false, &cut),
        (length, "bod", true, &cut),
        (length, "", false, &cut),
        (chunked, "4\r\nbody\r\n", false, &cut),
        (chunked, "4\r\nbody\r\n0\r\n", false, &cut),
        (chunked, "4\r\nbo", false, &cut),
        (chunked, "4\r\nbody\r\n", true, &cut),
        (chunked, "", false, &cut),
        ("", "body", true, &cut),
        ("", "", true, &cut),
    ] {
        assert_eq!(&ends(framing, body, reset), wanted, "{framing:?} {body:?} reset {reset}");
    }
}
