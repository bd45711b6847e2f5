//! Tests of the keepers' guarantees on running nodes: changes, claims, repair and planned stops.

mod testutils;

use std::time::{Duration, Instant};

use serde_json::{json, Value};
use testutils::{returning_chat, system_with, SystemFixture};
use wingshed_lib::state::settings::KeeperSettings;
use wingshed_lib::transport::keeper_node::{restore_backup, KeeperNode};
use wingshed_standin::address::free_address;
use wingshed_standin::caller::{chat_call, directory, send};
use wingshed_standin::system::SystemStandIn;

fn three_keepers() -> SystemFixture {
    system_with(|make| {
        make.keepers = 3;
        make.routers = 2;
        make.engines = 2;
    })
}

fn workspace_change(id: &str, base: u64, name: &str) -> Value {
    let entry = json!({ "key_hash": "00".repeat(32), "policy": "main" });
    let put = json!({ "Put": { "section": "workspaces", "name": name, "value": entry } });
    json!({ "id": id, "base": base, "operations": [put] })
}

fn submit(system: &SystemStandIn, change: &Value) -> (u16, Value) {
    let until = Instant::now() + Duration::from_secs(15);
    loop {
        if let Some(reply) = system.operate("POST", "/operator/changes", Some(change)) {
            return (reply.status, serde_json::from_slice(&reply.body).unwrap());
        }
        assert!(Instant::now() < until, "no keeper accepts the change");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn version(system: &SystemStandIn) -> u64 {
    let until = Instant::now() + Duration::from_secs(15);
    loop {
        if let Some((version, _)) = system.current() {
            return version;
        }
        assert!(Instant::now() < until, "no keeper has the leader's lease");
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn equal_numbers_have_one_winner_and_resends_get_the_first_answer() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let base = version(&system);
    let changes: Vec<Value> =
        (0..6).map(|n| workspace_change(&format!("race-{n}"), base, &format!("x{n}"))).collect();

    let answers: Vec<(u16, Value)> = std::thread::scope(|scope| {
        let system = &system;
        let sent: Vec<_> =
            changes.iter().map(|change| scope.spawn(move || submit(system, change))).collect();
        sent.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let winners: Vec<usize> = (0..6).filter(|at| answers[*at].0 == 200).collect();
    let winner_id = changes[winners[0]]["id"].as_str().unwrap().to_string();

    assert_eq!(winners.len(), 1, "{answers:?}");
    for (status, answer) in answers.iter().filter(|(status, _)| *status != 200) {
        assert_eq!((*status, &answer["Conflict"]["winner"]), (409, &json!(winner_id)));
    }

    // The same ids are sent again: to another leader, and after a restart of every keeper.
    let leader = system.wait_leader();
    system.keepers[leader].take().unwrap().stop_now();
    let resent: Vec<(u16, Value)> = changes.iter().map(|change| submit(&system, change)).collect();
    assert_eq!(resent, answers, "after a change of leader");
    system.start_keeper(leader);
    for at in 0..3 {
        system.keepers[at].take().unwrap().stop_now();
    }
    (0..3).for_each(|at| system.start_keeper(at));
    let resent: Vec<(u16, Value)> = changes.iter().map(|change| submit(&system, change)).collect();
    assert_eq!(resent, answers, "after a restart of all");
    assert_eq!(version(&system), base + 1);
}

#[test]
fn a_change_is_refused_whole_with_every_finding() {
    let fixture = three_keepers();
    let system = &fixture.system;
    let base = version(system);
    let put = |section: &str, name: &str, value: Value| json!({ "Put": { "section": section, "name": name, "value": value } });
    let change = json!({ "id": "bad", "base": base, "operations": [
        put("workspaces", "x", json!({ "key_hash": "zz", "policy": "none", "weigt": 2 })),
        put("upstreams", "u", json!({ "fleet": "none", "address": "host:1", "zone": "a" })),
    ]});

    let (status, answer) = submit(system, &change);
    let findings = answer["Invalid"]["findings"].as_array().unwrap();
    let broken = json!({ "id": "p", "base": base, "operations": [
        put("policies", "main", json!({ "source": "if {" })),
    ]});
    let (policy_status, _) = submit(system, &broken);

    assert_eq!(status, 400);
    assert_eq!(findings.len(), 5, "{findings:#?}");
    assert_eq!(policy_status, 400, "a policy that does not compile never reaches a router");
    assert_eq!(version(system), base);
}

#[test]
fn changes_reach_every_router_and_survive_the_loss_of_a_leader() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let base = version(&system);

    for number in 0..10 {
        if number == 5 {
            let leader = system.wait_leader();
            system.keepers[leader].take().unwrap().stop_now();
        }
        let change = workspace_change(&format!("c{number}"), base + number, &format!("n{number}"));
        let (status, answer) = submit(&system, &change);
        assert_eq!(status, 200, "{answer}");
        let until = Instant::now() + Duration::from_secs(3);
        let applied = |system: &SystemStandIn| {
            let routers = system.routers.iter().flatten();
            routers.map(|r| r.shared().view().configuration.version).min().unwrap()
        };
        while applied(&system) < base + number + 1 {
            assert!(Instant::now() < until, "version {} not in force after 3 s", base + number + 1);
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

#[test]
fn a_lost_disk_comes_back_without_a_vote_and_is_replaced() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let leader = system.wait_leader();
    let lost = (leader + 1) % 3;
    let lost_id = lost as u32 + 1;
    system.keepers[lost].take().unwrap().stop_now();
    std::fs::remove_dir_all(system.keeper_settings(lost).data_folder).unwrap();
    system.start_keeper(lost);
    std::thread::sleep(Duration::from_millis(800));
    let votes = |system: &SystemStandIn| -> Vec<(u64, bool)> {
        let leader = system.wait_leader();
        let status = system.keepers[leader].as_ref().unwrap().read(|k, _| k.status()).unwrap();
        let members = status.members.into_iter();
        members.map(|member| (member.incarnation.0, member.votes)).collect()
    };
    let before = votes(&system);

    // Without the lost disk the two other keepers are the whole quorum. If one more is lost, the
    // group must stop and not let the blank keeper vote.
    let other = 3 - leader - lost;
    system.keepers[other].take().unwrap().stop_now();
    std::thread::sleep(Duration::from_millis(2500));
    let leader_without_quorum = system.leader();
    system.start_keeper(other);
    system.wait_leader();
    let address = system.keeper_settings(lost).address;
    step_until(&system, &json!({ "step": "remove", "id": lost_id }));
    step_until(&system, &json!({ "step": "add", "id": lost_id, "address": address }));
    step_until(&system, &json!({ "step": "promote", "id": lost_id }));
    let after = votes(&system);

    // The group survives a second loss right after the repair.
    let leader = system.wait_leader();
    let victim = (0..3).find(|at| *at != leader && *at != lost).unwrap();
    system.keepers[victim].take().unwrap().stop_now();
    let base = version(&system);
    let (status, _) = submit(&system, &workspace_change("after", base, "after"));

    assert_eq!(leader_without_quorum, None, "one keeper and a blank disk are no quorum");
    assert!(before.iter().all(|(_, votes)| *votes));
    assert!(after.iter().all(|(_, votes)| *votes));
    assert_ne!(before, after, "the new incarnation replaces the old one");
    assert_eq!(status, 200);
}

fn step_until(system: &SystemStandIn, body: &Value) {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        let reply = system.operate("POST", "/operator/members", Some(body));
        if reply.as_ref().is_some_and(|reply| reply.status == 200) {
            return;
        }
        assert!(Instant::now() < until, "{body}: {reply:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn a_whole_group_comes_back_from_a_backup() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let base = version(&system);
    let change = workspace_change("kept", base, "kept");
    let first = submit(&system, &change);
    let chat = chat_call(&returning_chat("kept", "alert"));
    assert!(send(&system.client, system.router_addresses()[0], &chat, None).whole);
    std::thread::sleep(Duration::from_millis(300));
    let backup = system.operate("GET", "/operator/backup", None).unwrap().body;
    for at in 0..3 {
        system.keepers[at].take().unwrap().stop_now();
        std::fs::remove_dir_all(system.keeper_settings(at).data_folder).unwrap();
    }

    let damaged = restore_backup(&system.keeper_settings(0), &backup[..backup.len() / 2]);
    restore_backup(&system.keeper_settings(0), &backup).unwrap();
    let twice = restore_backup(&system.keeper_settings(0), &backup);
    (0..3).for_each(|at| system.start_keeper(at));
    for at in 1..3 {
        let (id, address) = (at as u32 + 1, system.keeper_settings(at).address);
        step_until(&system, &json!({ "step": "add", "id": id, "address": address }));
        step_until(&system, &json!({ "step": "promote", "id": id }));
    }
    system.keepers[0].take().unwrap().stop_now();
    let resent = submit(&system, &change);
    system.wait_ready();
    let again = send(&system.client, system.router_addresses()[0], &chat, None);

    assert!(damaged.is_err() && twice.is_err());
    assert_eq!(resent, first, "answers are in the backup, and survive the next loss");
    assert_eq!(version(&system), base + 1);
    assert_eq!(again.status, 409, "claims are in the backup: {again:?}");
}

#[test]
fn a_change_of_members_that_would_lose_the_quorum_is_refused() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let leader = system.wait_leader();
    let down = (leader + 1) % 3;
    let live = 3 - leader - down;
    system.keepers[down].take().unwrap().stop_now();
    std::thread::sleep(Duration::from_millis(800));

    let body = json!({ "step": "remove", "id": live as u32 + 1 });
    let reply = system.operate("POST", "/operator/members", Some(&body)).unwrap();

    assert_eq!(reply.status, 409, "{}", String::from_utf8_lossy(&reply.body));
    assert!(String::from_utf8_lossy(&reply.body).contains("would_lose_quorum"));
}

#[test]
fn a_planned_stop_of_the_leader_costs_no_election() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let leader = system.wait_leader();
    let base = version(&system);
    let (status, _) = submit(&system, &workspace_change("before", base, "before"));

    let stopping = system.keepers[leader].take().unwrap();
    let stopped = std::thread::spawn(move || stopping.stop_planned());
    let router = system.router_addresses()[0];
    let mut whole = 0;
    for number in 0..20 {
        let chat = returning_chat(&format!("p{number}"), "alert");
        whole += usize::from(send(&system.client, router, &chat_call(&chat), None).whole);
    }
    stopped.join().unwrap();

    assert_eq!(status, 200);
    assert_eq!(whole, 20, "no run-once request is refused during the hand-over");
    assert_eq!(version(&system), base + 1);
}

#[test]
fn fenced_orders_are_logged_sent_once_and_paced() {
    let fixture = three_keepers();
    let mut system = fixture.system;
    let order = |id: &str, upstream: &str| json!({ "id": id, "upstream": upstream, "action": { "do": "load", "artifact": id } });
    let submit_order = |system: &SystemStandIn, body: &Value| {
        let reply = system.operate("POST", "/operator/orders", Some(body)).unwrap();
        assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    };
    system.wait_leader();

    for number in 0..3 {
        submit_order(&system, &order(&format!("o{number}"), "engine-0"));
    }
    submit_order(&system, &order("o0", "engine-0"));
    let leader = system.wait_leader();
    system.keepers[leader].take().unwrap().stop_now();
    system.wait_leader();
    submit_order(&system, &order("o3", "engine-0"));
    let received = || system.engines[0].as_ref().unwrap().orders();
    let until = Instant::now() + Duration::from_secs(10);
    while received().len() < 4 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }

    let received = received();
    let artifacts: Vec<&str> =
        received.iter().map(|(_, action)| action["artifact"].as_str().unwrap()).collect();
    assert_eq!(artifacts, ["o0", "o1", "o2", "o3"], "each order once, in the order of the log");
    assert!(received.windows(2).all(|pair| pair[0].0 < pair[1].0), "fences increase: {received:?}");
}

#[test]
fn two_processes_cannot_share_a_folder_and_another_keepers_folder_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let settings = |id: u32| {
        let text = json!({
            "id": id, "zone": "a", "address": free_address().to_string(), "join": true,
            "keepers": [{ "id": 9, "address": free_address().to_string() }],
            "data_folder": folder.path(), "fleet_key": "0123456789abcdef",
        });
        wingshed_lib::state::settings::read_keeper_settings(&text.to_string()).unwrap()
    };
    let start = |settings: KeeperSettings| KeeperNode::start(settings).map_err(|e| e.to_string());

    let first = start(settings(1)).unwrap();
    let second = start(settings(1)).err().unwrap();
    first.stop_now();
    let foreign = start(settings(2)).err().unwrap();

    assert!(second.contains("in use"), "{second}");
    assert!(foreign.contains("belongs to keeper 1"), "{foreign}");
}

#[test]
fn a_whole_availability_zone_may_go_at_once_with_a_keeper_in_it() {
    let fixture = system_with(|make| make.keepers = 3);
    let mut system = fixture.system;
    let base = version(&system);
    let before = chat_call(&returning_chat("before", "alert"));
    assert!(send(&system.client, system.router_addresses()[1], &before, None).whole);

    // Zone "a" contains keeper 1, router 1 and engines 0 and 3.
    system.keepers[0].take().unwrap().stop_now();
    system.routers[0].take().unwrap().stop_now();
    system.kill_engine(0);
    system.kill_engine(3);
    let (status, _) = submit(&system, &workspace_change("zone", base, "zone"));
    // Sessions lapse and homes move within a few seconds.
    std::thread::sleep(Duration::from_millis(4500));
    let routers = system.router_addresses();
    for number in 0..30 {
        let mut chat = returning_chat(&format!("after-{number}"), "chat");
        chat.chat = format!("chat-{number}");
        let answer = send(&system.client, routers[number % 2], &chat_call(&chat), None);
        assert!(answer.whole, "the remaining zones serve every request: {answer:?}");
    }
    let again = send(&system.client, routers[0], &before, None);
    let listed = directory(&system.client, routers[0], "workspace=w0");

    assert_eq!(status, 200);
    assert_eq!(again.status, 409, "claims survive the loss: {again:?}");
    assert_eq!(listed.len(), 2, "the lost router is in no directory: {listed:?}");
    assert!(system.leader().is_some());
}
