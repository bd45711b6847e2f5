//! Tests what callers receive when the answer of an upstream breaks off on its way to a router.

mod testutils;

use std::net::SocketAddr;
use std::time::Duration;

use testutils::raw_answer::{raw_answer, RawEnd, RawPace};
use testutils::{returning_chat, system_with, SystemFixture};
use wingshed_lib::protocol::caller::RanStatus;
use wingshed_standin::caller::{chat_call, plain_call, send};
use wingshed_standin::system::SystemOptions;

/// Starts a system of one router, with `upstreams` added to the fleet. `change` adapts the system.
fn system_with_upstreams(
    change: impl FnOnce(&mut SystemOptions),
    fleet: &str,
    upstreams: &[SocketAddr],
) -> SystemFixture {
    let fixture = system_with(|make| {
        make.routers = 1;
        change(make);
    });
    let mut document = fixture.system.document();
    for (at, address) in upstreams.iter().enumerate() {
        let entry =
            serde_json::json!({ "fleet": fleet, "address": address.to_string(), "zone": "a" });
        document["upstreams"][format!("raw-{at}")] = entry;
    }
    fixture.system.apply(&document, "beside");
    std::thread::sleep(Duration::from_millis(700));
    fixture
}

fn answer_short_of_its_length() -> SocketAddr {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf".to_vec();
    raw_answer(bytes, RawEnd::Close, RawPace::AtOnce)
}

#[test]
fn a_plain_answer_short_of_its_length_is_an_explicit_failure() {
    let fixture =
        system_with_upstreams(|make| make.plains = 0, "plain", &[answer_short_of_its_length()]);
    let system = &fixture.system;

    for service in ["plain", "receipts"] {
        let call = plain_call("w0", "k0", service, service, "POST", "/pay");
        let answer = send(&system.client, system.router_addresses()[0], &call, None);

        assert_eq!((answer.status, answer.code().as_str()), (502, "upstream_failed"), "{answer:?}");
        assert_eq!(answer.ran, Some(RanStatus::Unknown));
    }
}

#[test]
fn a_repeatable_request_whose_answer_is_short_of_its_length_is_repeated_elsewhere() {
    let fixture =
        system_with_upstreams(|make| make.plains = 1, "plain", &[answer_short_of_its_length()]);
    let system = &fixture.system;

    for number in 0..10 {
        let call = plain_call("w0", "k0", &format!("get-{number}"), "plain", "GET", "/optout/7");
        let answer = send(&system.client, system.router_addresses()[0], &call, None);

        assert!(answer.whole && answer.body.contains("/optout/7"), "{answer:?}");
    }
}

#[test]
fn an_engines_refusal_that_breaks_off_is_not_passed_on_as_whole() {
    let bytes = b"HTTP/1.1 400 Bad\r\ncontent-length: 10\r\n\r\nhalf".to_vec();
    let engine = raw_answer(bytes, RawEnd::Close, RawPace::AtOnce);
    let fixture = system_with_upstreams(|make| make.engines = 0, "engines", &[engine]);
    let system = &fixture.system;

    let call = chat_call(&returning_chat("refused", "chat"));
    let answer = send(&system.client, system.router_addresses()[0], &call, None);

    assert!(answer.status >= 500 && !answer.code().is_empty(), "{answer:?}");
    assert_eq!(answer.ran, Some(RanStatus::No));
}

#[test]
fn a_long_plain_answer_that_passes_two_routers_arrives_whole() {
    let body = "x".repeat(200_000);
    let bytes = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    let upstream = raw_answer(bytes.into_bytes(), RawEnd::Close, RawPace::AtOnce);
    let change = |make: &mut SystemOptions| (make.plains, make.routers) = (0, 2);
    let mut fixture = system_with_upstreams(change, "plain", &[upstream]);
    let system = &mut fixture.system;
    let entry = system.router_addresses()[0];
    let drained = system.routers[0].take().unwrap();

    let call = plain_call("w0", "k0", "long", "plain", "GET", "/export");
    let answer = std::thread::scope(|scope| {
        scope.spawn(|| drained.drain());
        std::thread::sleep(Duration::from_millis(300));
        send(&system.client, entry, &call, None)
    });

    assert_eq!((answer.status, answer.body.len(), answer.hops), (200, body.len(), 1));
}
