//! Parsing of calls to the operators' interface that doesn't depend on the platform.

use wingshed_lib::protocol::fleet_calls::{read_fleet_call, read_start, write_findings, FleetCall};

#[test]
fn names_in_paths_may_hold_any_character() {
    let service = "a b+c/d".to_string();
    let got = read_fleet_call("GET", "/v1/rollouts/a%20b+c%2Fd");
    let aborted = read_fleet_call("DELETE", "/v1/rollouts/a%20b%2Bc%2Fd");

    assert_eq!(got, FleetCall::GetRollout { service: service.clone() });
    assert_eq!(aborted, FleetCall::AbortRollout { service });
}

#[test]
fn what_is_no_call_is_left_alone() {
    let cases = [
        ("GET", "/"),
        ("GET", "/v1"),
        ("GET", "/v1/rolloutsx"),
        ("GET", "/v1/zones/z-1"),
        ("PUT", "/v1/rollouts/s1"),
        ("POST", "/v1/rollouts/s1"),
        ("GET", "/v1/rollouts/s1/get"),
    ];
    for (method, path) in cases {
        assert_eq!(read_fleet_call(method, path), FleetCall::Unknown, "{method} {path}");
    }
}

#[test]
fn every_fault_of_an_order_is_told_at_once_with_its_line() {
    let text = "{\n\"service\": \"\",\n\"version\": 2,\n\"seconds\": 86401,\n\"more\": 1}";

    let findings = read_start(text.as_bytes()).unwrap_err();

    let expected = "line 2: $.service: must not be empty; line 3: $.version: must be a text; \
                    line 4: $.seconds: must be a number above 0 and up to 86400; \
                    line 5: $.more: unknown key";
    assert_eq!(write_findings(&findings), expected);
}

#[test]
fn the_shortest_order_is_not_cut_to_nothing() {
    let text = br#"{"service":"s1","version":"v2","seconds":0.0001}"#;

    let call = read_start(text).expect("the order is valid");

    assert_eq!(call.duration_ms, 1);
}
