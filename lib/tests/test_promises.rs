//! Tests of the system's guarantees, as tables of fault cases that are named after the fault.

mod testutils;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use testutils::{returning_chat, system_with, SystemFixture};
use wingshed_lib::coordination::outlier::FIRST_EJECTION_MS;
use wingshed_lib::protocol::caller::RanStatus;
use wingshed_lib::protocol::engine::run_id;
use wingshed_lib::protocol::vm_list::{VmEntry, VmStatus};
use wingshed_standin::caller::{chat_call, directory, plain_call, send, CallerAnswer, ChatRequest};
use wingshed_standin::engine::{whole_text, EngineFaults};
use wingshed_standin::platform::PlatformStandIn;
use wingshed_standin::system::SystemStandIn;

fn one_router_two_engines() -> SystemFixture {
    system_with(|make| {
        make.routers = 1;
        make.engines = 2;
    })
}

fn each_engine(system: &SystemStandIn, act: impl Fn(&EngineFaults)) {
    system.engines.iter().flatten().for_each(|engine| act(engine.faults()));
}

fn clear(faults: &EngineFaults) {
    let numbers = [
        &faults.double_every,
        &faults.swap_every,
        &faults.lose_every,
        &faults.cut_after,
        &faults.refuse_status,
        &faults.fail_after,
        &faults.slow_ms,
    ];
    numbers.iter().for_each(|number| number.store(0, Ordering::Relaxed));
    faults.cut_before_head.store(false, Ordering::Relaxed);
    faults.forget_runs.store(false, Ordering::Relaxed);
}

fn ask(system: &SystemStandIn, chat: &ChatRequest) -> CallerAnswer {
    send(&system.client, system.router_addresses()[0], &chat_call(chat), None)
}

type Fault = fn(&EngineFaults);

/// Faults of a stream after which the answer must still be complete.
const REPAIRED: [(&str, Fault); 7] = [
    ("pieces doubled", |f| f.double_every.store(2, Ordering::Relaxed)),
    ("pieces out of order", |f| f.swap_every.store(3, Ordering::Relaxed)),
    ("pieces missing", |f| f.lose_every.store(5, Ordering::Relaxed)),
    ("connection cut in the middle", |f| f.cut_after.store(4, Ordering::Relaxed)),
    ("connection cut after the first piece", |f| f.cut_after.store(1, Ordering::Relaxed)),
    ("connection cut before the head", |f| f.cut_before_head.store(true, Ordering::Relaxed)),
    ("doubled, swapped and missing together", |f| {
        f.double_every.store(3, Ordering::Relaxed);
        f.swap_every.store(4, Ordering::Relaxed);
        f.lose_every.store(7, Ordering::Relaxed);
    }),
];

#[test]
fn whole_answer_whatever_the_stream_goes_through() {
    let fixture = one_router_two_engines();
    let system = &fixture.system;

    for (case, fault) in REPAIRED {
        for (stream, service) in [(true, "chat"), (false, "chat"), (true, "alert")] {
            each_engine(system, clear);
            each_engine(system, fault);
            let id = format!("{}-{stream}-{service}", case.replace(' ', "-"));
            let chat = ChatRequest { stream, max_tokens: 40, ..returning_chat(&id, service) };

            let answer = ask(system, &chat);

            assert!(answer.whole, "{case}, {service}: {answer:?}");
            assert_eq!(answer.text, whole_text(&run_id("w0", &id), 40), "{case}, {service}");
            assert_eq!(system.starts().get(&run_id("w0", &id)), Some(&1), "{case}, {service}");
        }
    }
}

/// Faults that cannot be repaired, after which the answer must end in an explicit error.
const UNREPAIRABLE: [(&str, Fault); 2] = [
    ("the engine says that it failed", |f| f.fail_after.store(3, Ordering::Relaxed)),
    ("cut, and the run is forgotten", |f| {
        f.cut_after.store(3, Ordering::Relaxed);
        f.forget_runs.store(true, Ordering::Relaxed);
    }),
];

#[test]
fn what_cannot_be_completed_ends_in_an_explicit_error() {
    let fixture = one_router_two_engines();
    let system = &fixture.system;

    for (case, fault) in UNREPAIRABLE {
        each_engine(system, clear);
        each_engine(system, fault);
        let id = case.replace([' ', ','], "-");

        let answer = ask(system, &returning_chat(&id, "alert"));

        assert!(!answer.whole, "{case}: {answer:?}");
        assert!(answer.error_event.is_some(), "{case}: {answer:?}");
        assert_eq!(system.starts().get(&run_id("w0", &id)), Some(&1), "{case}");
    }
}

#[test]
fn refused_as_not_run_truly_did_not_run() {
    let fixture = one_router_two_engines();
    let system = &fixture.system;
    let rows: [(&str, Fault); 2] = [
        ("every engine refuses", |f| f.refuse_status.store(503, Ordering::Relaxed)),
        ("every engine is overloaded", |f| f.refuse_status.store(429, Ordering::Relaxed)),
    ];

    for (case, fault) in rows {
        each_engine(system, clear);
        each_engine(system, fault);
        for service in ["chat", "alert"] {
            let id = format!("{}-{service}", case.replace(' ', "-"));
            let started = Instant::now();

            let answer = ask(system, &returning_chat(&id, service));

            assert_eq!(answer.ran, Some(RanStatus::No), "{case}, {service}: {answer:?}");
            assert!(!system.starts().contains_key(&run_id("w0", &id)), "{case}");
            assert!(started.elapsed() < Duration::from_secs(4), "the request is refused at once");
        }
        // The claim was released, so the same request may be sent again and runs.
        each_engine(system, clear);
        std::thread::sleep(Duration::from_millis(2500));
        let id = format!("{}-alert", case.replace(' ', "-"));
        let again = ask(system, &returning_chat(&id, "alert"));
        assert!(again.whole, "{case}: {again:?}");
    }
}

#[test]
fn run_once_is_not_tried_again_after_it_may_have_run() {
    let fixture = one_router_two_engines();
    let system = &fixture.system;
    // Wait until the router has read the incarnation of each engine.
    std::thread::sleep(Duration::from_millis(2500));
    let fault: Fault = |f| {
        f.cut_before_head.store(true, Ordering::Relaxed);
        f.forget_runs.store(true, Ordering::Relaxed);
        f.reported_incarnation.store(9, Ordering::Relaxed);
    };
    each_engine(system, fault);

    // The run began and its connection was cut. A later incarnation of the engine reports that it
    // doesn't have the run, which doesn't prove that the earlier incarnation didn't run it.
    let answer = ask(system, &returning_chat("lost", "alert"));
    each_engine(system, clear);
    let again = ask(system, &returning_chat("lost", "alert"));

    assert_eq!(answer.ran, Some(RanStatus::Unknown), "{answer:?}");
    assert_eq!(again.status, 409, "{again:?}");
    assert_eq!(system.starts().get(&run_id("w0", "lost")), Some(&1));
}

#[test]
fn a_caller_that_hangs_up_is_cancelled_and_one_that_resumes_is_not() {
    let fixture = system_with(|make| make.engine.piece_ms = 20);
    let system = &fixture.system;
    let routers = system.router_addresses();
    let long = ChatRequest { max_tokens: 400, ..returning_chat("hung-up", "chat") };
    let kept =
        ChatRequest { max_tokens: 100, chat: "c2".into(), ..returning_chat("resumed", "chat") };

    send(&system.client, routers[0], &chat_call(&long), Some(3));
    let first = send(&system.client, routers[0], &chat_call(&kept), Some(5));
    let last_id = first.last_id.clone().unwrap();
    let resume = chat_call(&kept).with("last-event-id", last_id.as_str());
    let second = send(&system.client, routers[1], &resume, None);

    assert!(second.whole, "{second:?}");
    let joined = format!("{}{}", first.text, second.text);
    assert_eq!(joined, whole_text(&run_id("w0", "resumed"), 100));
    let cancelled =
        || -> usize { system.engines.iter().flatten().map(|engine| engine.cancelled_runs()).sum() };
    let until = Instant::now() + Duration::from_secs(10);
    while cancelled() == 0 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(cancelled(), 1, "only the run of the caller that hung up is cancelled");
}

#[test]
fn an_engine_that_leaves_gets_no_new_work_after_three_seconds() {
    type Leave = fn(&mut SystemStandIn, &PlatformStandIn);
    let rows: [(&str, Leave); 3] = [
        ("by its own word", |system, _| system.engines[0].as_ref().unwrap().leave()),
        ("by the VM list", |system, platform| {
            let address = system.engines[0].as_ref().unwrap().address;
            platform.set_list(vec![VmEntry { address, state: VmStatus::Leaving }]);
        }),
        ("by an operator's order", |system, _| {
            let mut document = system.document();
            document["upstreams"]["engine-0"]["draining"] = true.into();
            system.apply(&document, "drain");
        }),
    ];

    for (case, leave) in rows {
        let platform = PlatformStandIn::start(1);
        let mut fixture = system_with(|make| make.vm_list = Some(platform.address));
        let system = &mut fixture.system;
        leave(system, &platform);
        std::thread::sleep(Duration::from_secs(3));
        let before = system.engines[0].as_ref().unwrap().starts().len();
        let routers = system.router_addresses();

        for number in 0..30 {
            let id = format!("{number}");
            let chat = ChatRequest { chat: format!("c{number}"), ..returning_chat(&id, "chat") };
            let router = routers[number % routers.len()];
            let answer = send(&system.client, router, &chat_call(&chat), None);
            assert!(answer.whole, "{case}: {answer:?}");
        }

        let after = system.engines[0].as_ref().unwrap().starts().len();
        assert_eq!(after, before, "{case}");
    }
}

/// Returns the retry time of a refusal, in milliseconds.
fn retry_after_ms(body: &str) -> u64 {
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    body["error"]["retry_after_ms"].as_u64().unwrap()
}

#[test]
fn a_plain_upstream_that_asks_for_rest_gets_it() {
    let fixture = system_with(|make| make.routers = 1);
    let system = &fixture.system;
    let router = system.router_addresses()[0];
    let call = |id: &str| {
        let call = plain_call("w0", "k0", id, "plain", "POST", "/x");
        send(&system.client, router, &call, None)
    };
    let request_backoff = |at: usize, backoff_s: u64| {
        let faults = system.plains[at].as_ref().unwrap().faults();
        faults.refuse.store(true, Ordering::Relaxed);
        faults.backoff_s.store(backoff_s, Ordering::Relaxed);
    };
    let refused = || -> Vec<u64> { system.plains.iter().flatten().map(|p| p.refused()).collect() };

    request_backoff(0, 600);
    let served = (0..12).filter(|at| call(&format!("beside-{at}")).whole).count();
    let refused_beside = refused();
    request_backoff(1, 300);
    call("last");
    let refused_before = refused();
    let answer = call("all-rest");

    assert_eq!((served, refused_beside), (12, vec![1, 0]), "the upstream gets one request");
    assert_eq!((answer.status, answer.ran), (503, Some(RanStatus::No)), "{answer:?}");
    assert_eq!(refused(), refused_before, "no upstream gets a request while all back off");
    let wait_ms = retry_after_ms(&answer.body);
    // The clock counts whole milliseconds, so a back-off may end up to one millisecond later.
    let max_ms = 300_000 + 1;
    assert!((290_000..=max_ms).contains(&wait_ms), "the end of the earliest back-off: {wait_ms}");
}

/// Guards against an ejected upstream that never gets requests again. After its ejection the first
/// request is a trial. If the upstream answered the trial with a request to back off, the trial
/// never ended, since only a success or a failure ended it, and the router sent no further requests
/// although the upstream was healthy after its back-off.
#[test]
fn an_upstream_that_asks_for_rest_when_it_is_tried_again_is_sent_requests_after_it() {
    let fixture = system_with(|make| make.routers = 1);
    let system = &fixture.system;
    let router = system.router_addresses()[0];
    let call_often = |name: &str| {
        for at in 0..40 {
            let call = plain_call("w0", "k0", &format!("{name}-{at}"), "plain", "GET", "/x");
            send(&system.client, router, &call, None);
        }
    };
    let failing = system.plains[0].as_ref().unwrap();
    let counts = || (failing.runs().len(), failing.refused());
    failing.faults().cut.store(true, Ordering::Relaxed);
    call_often("fails");
    let ejected = counts();
    failing.faults().cut.store(false, Ordering::Relaxed);
    failing.faults().refuse.store(true, Ordering::Relaxed);
    failing.faults().backoff_s.store(1, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(FIRST_EJECTION_MS + 100));
    call_often("tried");
    let after_trial = counts();
    failing.faults().refuse.store(false, Ordering::Relaxed);
    std::thread::sleep(Duration::from_millis(1500));

    call_often("rested");

    assert!((1..10).contains(&ejected.0), "ejected after a few failures: {ejected:?}");
    assert_eq!(after_trial, (ejected.0, 1), "one request is the trial");
    assert!(counts().0 > ejected.0, "the upstream serves after its back-off: {:?}", counts());
}

#[test]
fn a_plain_request_is_repeated_only_when_that_is_safe() {
    let fixture = system_with(|make| make.routers = 1);
    let system = &fixture.system;
    let router = system.router_addresses()[0];
    let call = |id: &str, service: &str, method: &str| {
        send(&system.client, router, &plain_call("w0", "k0", id, service, method, "/x"), None)
    };
    let runs = |id: &str| -> u64 {
        system.plains.iter().flatten().map(|p| p.runs().get(id).copied().unwrap_or(0)).sum()
    };
    let first = system.plains[0].as_ref().unwrap();

    first.faults().refuse.store(true, Ordering::Relaxed);
    for number in 0..4 {
        let id = format!("refused-{number}");
        assert!(call(&id, "plain", "POST").whole, "one upstream refuses, the other serves");
        assert_eq!(runs(&id), 1);
    }
    first.faults().refuse.store(false, Ordering::Relaxed);

    system.plains.iter().flatten().for_each(|p| p.faults().cut.store(true, Ordering::Relaxed));
    let posted = call("cut-post", "plain", "POST");
    let receipt = call("cut-receipt", "receipts", "POST");
    let resent = call("cut-receipt", "receipts", "POST");

    assert_eq!(posted.ran, Some(RanStatus::Unknown), "{posted:?}");
    assert_eq!(runs("cut-post"), 1, "a POST whose answer was cut is not repeated");
    assert_eq!(receipt.ran, Some(RanStatus::Unknown), "{receipt:?}");
    assert_eq!(resent.status, 409, "{resent:?}");
    assert_eq!(runs("cut-receipt"), 1);
}

#[test]
fn routers_without_keepers_refuse_as_not_run_and_come_back() {
    let mut fixture = system_with(|_| {});
    let system = &mut fixture.system;
    let router = system.router_addresses()[0];
    system.keepers[0].take().unwrap().stop_now();
    std::thread::sleep(Duration::from_millis(3500));

    let answer = send(&system.client, router, &chat_call(&returning_chat("cut", "chat")), None);
    let listed = directory(&system.client, router, "workspace=w0");
    system.start_keeper(0);
    system.wait_ready();
    let later = send(&system.client, router, &chat_call(&returning_chat("back", "chat")), None);

    assert_eq!((answer.status, answer.ran), (503, Some(RanStatus::No)), "{answer:?}");
    assert_eq!(answer.code(), "no_lease");
    assert!(!listed.is_empty(), "the directory still answers");
    assert!(later.whole, "{later:?}");
}

// Guards against a final 401 for callers of a new workspace, from a router that has no lease and
// has not received the workspace yet.
#[test]
fn a_router_without_a_lease_calls_no_key_wrong() {
    let mut fixture = system_with(|_| {});
    let system = &mut fixture.system;
    let router = system.router_addresses()[0];
    let unknown = ChatRequest { key: "k-new".to_string(), ..returning_chat("new", "chat") };

    let leased = send(&system.client, router, &chat_call(&unknown), None);
    system.keepers[0].take().unwrap().stop_now();
    std::thread::sleep(Duration::from_millis(3500));
    let lapsed = send(&system.client, router, &chat_call(&unknown), None);

    assert_eq!((leased.status, leased.code().as_str()), (401, "bad_key"), "{leased:?}");
    assert_eq!((lapsed.status, lapsed.ran), (503, Some(RanStatus::No)), "{lapsed:?}");
    assert_eq!(lapsed.code(), "no_lease");
}

#[test]
fn a_router_that_dies_with_a_stream_is_survived_by_the_caller() {
    let mut fixture = system_with(|make| make.engine.piece_ms = 10);
    let system = &mut fixture.system;
    let routers = system.router_addresses();
    let chat = ChatRequest { max_tokens: 300, ..returning_chat("orphan", "alert") };
    let doomed = system.routers[0].take().unwrap();

    let first = std::thread::scope(|scope| {
        let reading = scope.spawn(|| send(&system.client, routers[0], &chat_call(&chat), Some(60)));
        std::thread::sleep(Duration::from_millis(300));
        doomed.stop_now();
        reading.join().unwrap()
    });
    let last_id = first.last_id.clone().expect("some pieces came");
    let resume = chat_call(&chat).with("last-event-id", last_id.as_str());
    let second = send(&system.client, routers[1], &resume, None);
    let resent = send(&system.client, routers[2], &chat_call(&chat), None);

    let joined = format!("{}{}", first.text, second.text);
    assert_eq!(joined, whole_text(&run_id("w0", "orphan"), 300), "{second:?}");
    assert_eq!(resent.status, 409, "the claim outlives the router: {resent:?}");
    assert_eq!(system.starts().get(&run_id("w0", "orphan")), Some(&1));
}

#[test]
fn a_prefix_is_imported_when_its_holder_is_busy_and_that_is_cheapest() {
    let fixture = system_with(|make| {
        make.routers = 1;
        make.engines = 2;
        make.requests_per_engine = 1;
        make.import_per_ms = 40.0;
        make.engine.piece_ms = 5;
    });
    let system = &fixture.system;
    let router = system.router_addresses()[0];
    let chat = |id: &str, max_tokens| ChatRequest {
        prompt_tokens: 4000,
        max_tokens,
        ..returning_chat(id, "chat")
    };
    let first = send(&system.client, router, &chat_call(&chat("first", 4)), None);

    let (busy, second) = std::thread::scope(|scope| {
        let long = chat_call(&chat("busy", 300));
        let running = scope.spawn(move || send(&system.client, router, &long, None));
        std::thread::sleep(Duration::from_millis(400));
        let second = send(&system.client, router, &chat_call(&chat("second", 4)), None);
        (running.join().unwrap(), second)
    });
    let counters = system.routers[0].as_ref().unwrap().shared().metrics.counters();

    assert!(first.whole && busy.whole && second.whole, "{second:?}");
    assert_eq!(busy.upstream, first.upstream, "the holder is busy with the same chat");
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(counters.get("kv.imported"), Some(&1), "{counters:?}");
    assert_eq!(counters.get("cache.reused"), Some(&2), "both reused the prefix: {counters:?}");
}
