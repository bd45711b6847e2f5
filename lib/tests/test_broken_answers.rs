//! Answers that break off on their way to a router, as their callers see them.

mod testutils;

use std::net::SocketAddr;
use std::time::Duration;

use testutils::raw_answer::{raw_answer, RawEnd, RawPace};
use testutils::{system_with, SystemFixture};
use wingshed_lib::protocol::caller::RanMark;
use wingshed_standin::caller::{plain_call, send};
use wingshed_standin::system::SystemMake;

/// A system of one router, with these beside its upstreams.
fn system_beside(
    change: impl FnOnce(&mut SystemMake),
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

fn short_of_its_length() -> SocketAddr {
    let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf".to_vec();
    raw_answer(bytes, RawEnd::Close, RawPace::AtOnce)
}

#[test]
fn a_plain_answer_short_of_its_length_is_an_explicit_failure() {
    let fixture = system_beside(|make| make.plains = 0, "plain", &[short_of_its_length()]);
    let system = &fixture.system;

    for service in ["plain", "receipts"] {
        let call = plain_call("w0", "k0", service, service, "POST", "/pay");
        let answer = send(&system.client, system.router_addresses()[0], &call, None);

        assert_eq!((answer.status, answer.code().as_str()), (502, "upstream_failed"), "{answer:?}");
        assert_eq!(answer.ran, Some(RanMark::Unknown));
    }
}

#[test]
fn a_repeatable_request_whose_answer_is_short_of_its_length_is_repeated_elsewhere() {
    let fixture = system_beside(|make| make.plains = 1, "plain", &[short_of_its_length()]);
    let system = &fixture.system;

    for number in 0..10 {
        let call = plain_call("w0", "k0", &format!("get-{number}"), "plain", "GET", "/optout/7");
        let answer = send(&system.client, system.router_addresses()[0], &call, None);

        assert!(answer.whole && answer.body.contains("/optout/7"), "{answer:?}");
    }
}
