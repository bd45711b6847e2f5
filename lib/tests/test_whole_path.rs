//! Tests of the whole path of a request over real sockets: caller, directory, router, home and
//! engine.

mod testutils;

use std::time::Duration;

use testutils::{returning_chat, system_with};
use wingshed_lib::protocol::caller::RanStatus;
use wingshed_lib::protocol::engine::run_id;
use wingshed_standin::caller::{chat_call, directory, plain_call, send, ChatRequest};
use wingshed_standin::engine::whole_text;

#[test]
fn a_chat_is_answered_whole_through_every_router() {
    let fixture = system_with(|_| {});
    let system = &fixture.system;

    for stream in [true, false] {
        for (at, router) in system.router_addresses().into_iter().enumerate() {
            let id = format!("chat-{stream}-{at}");
            let answer = send(
                &system.client,
                router,
                &chat_call(&ChatRequest { stream, ..returning_chat(&id, "chat") }),
                None,
            );

            assert_eq!(answer.status, 200, "{answer:?}");
            assert!(answer.whole, "{answer:?}");
            assert_eq!(answer.text, whole_text(&run_id("w0", &id), 12));
            assert_eq!(answer.ran, Some(RanStatus::Yes));
            assert!(answer.upstream.starts_with("engine-"));
        }
    }
}

#[test]
fn the_directory_names_the_home_first_and_saves_the_hop() {
    let fixture = system_with(|_| {});
    let system = &fixture.system;
    let routers = system.router_addresses();

    for number in 0..8 {
        let chat = format!("chat-{number}");
        let query = format!("workspace=w0&chat={chat}");
        let firsts: Vec<_> =
            routers.iter().map(|r| directory(&system.client, *r, &query)[0]).collect();
        let asked = ChatRequest { chat, ..returning_chat(&format!("d{number}"), "chat") };
        let answer = send(&system.client, firsts[0], &chat_call(&asked), None);
        let again = ChatRequest { request_id: format!("again{number}"), ..asked };
        let next = answer.next.expect("each reply names the router to use next");
        let second = send(&system.client, next, &chat_call(&again), None);

        assert!(firsts.iter().all(|first| *first == firsts[0]), "{firsts:?}");
        assert_eq!(second.hops, 0, "{second:?}");
        assert_eq!(
            second.upstream, answer.upstream,
            "the chat returns to the engine that holds its prefix"
        );
    }
}

#[test]
fn a_run_once_request_runs_once_also_when_sent_to_all_routers_at_once() {
    let fixture = system_with(|_| {});
    let system = &fixture.system;
    let routers = system.router_addresses();
    let call = chat_call(&returning_chat("once", "alert"));

    let answers: Vec<_> = std::thread::scope(|scope| {
        let sent: Vec<_> = routers
            .iter()
            .map(|router| scope.spawn(|| send(&system.client, *router, &call, None)))
            .collect();
        sent.into_iter().map(|thread| thread.join().unwrap()).collect()
    });

    assert_eq!(answers.iter().filter(|answer| answer.whole).count(), 1, "{answers:?}");
    assert_eq!(answers.iter().filter(|answer| answer.status == 409).count(), 2);
    assert_eq!(system.starts().get(&run_id("w0", "once")), Some(&1));
}

#[test]
fn a_plain_request_reaches_its_service() {
    let fixture = system_with(|_| {});
    let system = &fixture.system;
    let call = plain_call("w0", "k0", "p1", "plain", "GET", "/optout/7?x=1");

    let answer = send(&system.client, system.router_addresses()[0], &call, None);

    assert!(answer.whole, "{answer:?}");
    assert!(answer.body.contains("/optout/7?x=1"));
    assert_eq!(answer.ran, Some(RanStatus::Yes));
}

#[test]
fn a_drained_router_cuts_nothing_and_leaves_the_directory() {
    let mut fixture = system_with(|_| {});
    let system = &mut fixture.system;
    let routers = system.router_addresses();
    let drained = system.routers[0].take().unwrap();
    let long = ChatRequest { max_tokens: 600, ..returning_chat("long", "chat") };
    let call = chat_call(&long);

    let (answer, clean, listed) = std::thread::scope(|scope| {
        let running = scope.spawn(|| send(&system.client, routers[0], &call, None));
        std::thread::sleep(Duration::from_millis(300));
        let draining = scope.spawn(|| drained.drain());
        std::thread::sleep(Duration::from_millis(700));
        let kept = chat_call(&returning_chat("kept", "chat"));
        let late = send(&system.client, routers[0], &kept, None);
        assert!(late.whole, "a caller that kept the address is served by a peer: {late:?}");
        let listed = directory(&system.client, routers[1], "workspace=w0");
        (running.join().unwrap(), draining.join().unwrap(), listed)
    });

    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.text, whole_text(&run_id("w0", "long"), 600));
    assert!(clean);
    assert!(!listed.contains(&routers[0]), "{listed:?}");
}
