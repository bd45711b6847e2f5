//! Property tests of the parsers of all interfaces: they accept or refuse any input and never panic.

use proptest::prelude::*;
use wingshed_lib::coordination::check::check_text;
use wingshed_lib::coordination::policy::compile_policy;
use wingshed_lib::coordination::policy_cases::read_cases;
use wingshed_lib::coordination::trace::read_trace;
use wingshed_lib::protocol::caller::{read_request, CallerRequest, ChatFacts, ResumePosition};
use wingshed_lib::protocol::engine::{read_head, read_piece, read_state};
use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::protocol::keeper_wire::{decode, encode, Datagram, KeeperCall, KeeperReply};
use wingshed_lib::protocol::peer_wire::{ForwardPurpose, ForwardRequest};
use wingshed_lib::protocol::seal::{SealChecker, SealMaker};
use wingshed_lib::protocol::sse::{write_event, SseEvent, SseReader};
use wingshed_lib::protocol::vm_list::read_list;
use wingshed_lib::protocol::weight_store;
use wingshed_lib::state::configuration::read_configuration;
use wingshed_lib::state::ids::RouterId;
use wingshed_lib::state::keeper_machine::KeeperMachine;
use wingshed_lib::state::settings::{read_keeper_settings, read_router_settings};

/// JSON with keys and values of valid documents in random combinations.
fn documents() -> impl Strategy<Value = String> {
    let keys = prop::sample::select(vec![
        "role",
        "id",
        "zone",
        "address",
        "keepers",
        "limits",
        "fleets",
        "upstreams",
        "workspaces",
        "policies",
        "operators",
        "kind",
        "multiple",
        "key",
        "key_hash",
        "policy",
        "source",
        "rates",
        "messages",
        "stream",
        "max_tokens",
        "content",
        "vms",
        "state",
        "events",
        "incarnation",
        "a.b",
        "",
        "[0]",
    ]);
    let leaves = prop_oneof![
        Just("null".to_string()),
        Just("true".to_string()),
        any::<i64>().prop_map(|number| number.to_string()),
        Just("1e999".to_string()),
        Just("\"router\"".to_string()),
        Just("\"keeper\"".to_string()),
        Just("\"127.0.0.1:80\"".to_string()),
        "\"[a-z0-9:. ]{0,12}\"",
    ];
    leaves.prop_recursive(4, 40, 6, move |inner| {
        let pairs = prop::collection::vec((keys.clone(), inner.clone()), 0..6);
        let object = pairs.prop_map(|pairs| {
            let texts = pairs.iter().map(|(key, value)| format!("\"{key}\": {value}"));
            format!("{{{}}}", texts.collect::<Vec<_>>().join(",\n"))
        });
        let array =
            prop::collection::vec(inner, 0..5).prop_map(|all| format!("[{}]", all.join(",")));
        prop_oneof![object, array]
    })
}

fn texts() -> impl Strategy<Value = String> {
    prop_oneof![
        documents(),
        ".{0,200}",
        documents().prop_map(|text| text[..text.len() / 2].to_string())
    ]
}

fn header_calls() -> impl Strategy<Value = HttpCall> {
    let names = prop::sample::select(vec![
        "wingshed-workspace",
        "wingshed-request-id",
        "wingshed-issued",
        "wingshed-chat",
        "wingshed-run-once",
        "wingshed-deadline",
        "wingshed-service",
        "last-event-id",
        "wingshed-label-x",
        "authorization",
        "content-type",
    ]);
    let values =
        prop_oneof![".{0,40}", "[0-9]{1,25}", Just("true".to_string()), "[0-9]{1,4}@[a-z]{1,9}"];
    let headers = prop::collection::vec((names.prop_map(str::to_string), values), 0..8);
    let targets =
        prop::sample::select(vec!["/v1/chat/completions", "/x", "/v1/chat/completions?a=%zz"]);
    (headers, texts(), targets).prop_map(|(headers, body, target)| HttpCall {
        method: "POST".to_string(),
        target: target.to_string(),
        headers,
        body: body.into_bytes(),
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn documents_are_read_or_refused_with_places(text in texts()) {
        let no_file = |_: &str| Err("no such file".to_string());
        for findings in [
            read_router_settings(&text).err(),
            read_keeper_settings(&text).err(),
            read_configuration(&text).err(),
            check_text(&text, &no_file).err(),
        ].into_iter().flatten() {
            prop_assert!(!findings.is_empty());
            let lines = text.lines().count().max(1) + 1;
            for finding in findings {
                prop_assert!(finding.line.is_none_or(|line| line <= lines), "{finding}");
                prop_assert!(finding.path.starts_with('$'));
            }
        }
        let _ = read_trace(&text);
        let _ = read_cases(&text);
        let _ = compile_policy(&text);
    }

    #[test]
    fn requests_of_callers_are_read_or_refused_as_not_run(call in header_calls()) {
        match read_request(call, "fresh", 1_700_000_000_000) {
            Ok(request) => {
                prop_assert!(!request.workspace.is_empty());
                prop_assert!(!request.run_once || request.issued_ms.is_some());
            }
            Err(error) => {
                prop_assert_eq!(error.ran.text(), "no");
                prop_assert!((400..500).contains(&error.status));
                prop_assert!(error.field.is_some() || error.status == 405);
            }
        }
    }

    #[test]
    fn answers_of_engines_and_platform_are_read_or_refused(text in texts(), id in ".{0,30}") {
        let _ = read_state(text.as_bytes());
        let _ = read_list(text.as_bytes());
        let _ = weight_store::read_state(text.as_bytes());
        let _ = read_head(&[("x-incarnation".to_string(), id.clone())]);
        let event = SseEvent { id: Some(id), event: None, data: text };
        let _ = read_piece(&event);
    }

    #[test]
    fn bytes_between_our_processes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode::<Datagram>(&bytes);
        let _ = decode::<KeeperCall>(&bytes);
        let _ = decode::<KeeperReply>(&bytes);
        let _ = decode::<ForwardRequest>(&bytes);
        let _ = KeeperMachine::from_image(&bytes);
        let mut checker = SealChecker::new("0123456789abcdef", 0);
        prop_assert!(checker.open_datagram(&bytes, 1000).is_err());
        let text = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(checker.check_header(Some(&text), "/", b"", 1000).is_err());
    }

    #[test]
    fn what_is_sealed_opens_and_what_is_altered_does_not(
        body in prop::collection::vec(any::<u8>(), 0..200),
        flip in any::<prop::sample::Index>(),
    ) {
        let maker = SealMaker::new("0123456789abcdef", 3);
        let mut checker = SealChecker::new("0123456789abcdef", 0);
        let bytes = maker.datagram(&body, 1000);
        let mut altered = bytes.clone();
        let at = flip.index(altered.len());
        altered[at] ^= 1;
        prop_assert!(checker.open_datagram(&altered, 1000).is_err());
        prop_assert_eq!(checker.open_datagram(&bytes, 1000).unwrap(), &body[..]);
    }

    #[test]
    fn events_come_back_as_they_were_written(
        id in prop::option::of("[0-9a-z@-]{1,20}"),
        data in "[^\r\n]{0,60}(\n[^\r\n]{1,20}){0,3}",
    ) {
        let event = SseEvent { id, event: None, data: format!("x{data}") };
        let bytes = write_event(&event);
        let mut reader = SseReader::default();
        let text = String::from_utf8(bytes).unwrap();
        let read: Vec<SseEvent> = text.split('\n').filter_map(|line| reader.take_line(line)).collect();
        prop_assert_eq!(read, vec![event]);
    }

    #[test]
    fn a_passed_request_comes_back_as_it_was(body in prop::collection::vec(any::<u8>(), 0..400)) {
        let request = CallerRequest {
            workspace: "w".into(), request_id: "r".into(), issued_ms: Some(1), chat: None,
            service: "s".into(), run_once: true, deadline_ms: 5, labels: Default::default(),
            method: "POST".into(), target: "/x".into(), content_type: None, body,
            facts: Some(ChatFacts { stream: true, max_tokens: None, prompt_tokens: 3, fresh: true }),
            resume: Some(ResumePosition { upstream: "e".into(), last: 4 }),
        };
        let passed = ForwardRequest { from: RouterId(1), hops: 1, purpose: ForwardPurpose::AsEntry, request };
        prop_assert_eq!(decode::<ForwardRequest>(&encode(&passed)).unwrap(), passed);
    }
}
