//! Tests of the decisions that are pure functions, mostly as tables of cases.

use std::collections::BTreeMap;

use wingshed_lib::coordination::admission::{admission_bound, AdmissionRule, FleetLoad};
use wingshed_lib::coordination::directory::{addresses, AddressRequest};
use wingshed_lib::coordination::home::{AdmitRefusal, HomeTable};
use wingshed_lib::coordination::kv_move::{choose_move, MoveChoice};
use wingshed_lib::coordination::leaving::{LeavingIncarnation, LeavingTable};
use wingshed_lib::coordination::load_spread::{rows_in_turn, LoadRow, HINTS_SENT};
use wingshed_lib::coordination::outlier::{OutlierTable, CONSECUTIVE_FAILURES, FIRST_EJECTION_MS};
use wingshed_lib::coordination::placement::{EngineHint, FleetView};
use wingshed_lib::coordination::policy::{compile_policy, decide_policy, PolicyFacts};
use wingshed_lib::coordination::relay::{PieceOrder, PieceStep};
use wingshed_lib::coordination::retry::{may_retry, RetryBudget};
use wingshed_lib::coordination::router_lease::{
    renewal_targets, RouterLease, LEADER_TIMEOUT_MS, LEASE_MS,
};
use wingshed_lib::coordination::session_watch::{SessionWatch, LAPSE_MS};
use wingshed_lib::coordination::workspace_limit::{LimitRefusal, LimitTable};
use wingshed_lib::protocol::keeper_wire::{encode, Datagram, LeaseGrant, LEAVING_PER_DATAGRAM};
use wingshed_lib::protocol::seal::{SealChecker, SealMaker, SealRefusal, SEAL_AGE_MS};
use wingshed_lib::state::chat_memory::{ChatMemory, HolderCertainty};
use wingshed_lib::state::claim_table::*;
use wingshed_lib::state::configuration::{KvRates, WorkspaceEntry, NO_IMPORT_RATES};
use wingshed_lib::state::ids::{
    ChatKey, FleetKey, Incarnation, RouterId, UpstreamKey, WorkspaceKey,
};
use wingshed_lib::state::roster::{RouterRoster, RouterSession};
use wingshed_lib::transport::datagram::MAX_DATAGRAM_BYTES;

const FLEET: FleetKey = FleetKey(1);
const RULE: AdmissionRule = AdmissionRule { multiple: 1.25, max_requests: 3 };

fn roster(epoch: u64, routers: impl IntoIterator<Item = u32>) -> RouterRoster {
    let session = |router: u32| RouterSession {
        incarnation: Incarnation(1),
        address: format!("127.0.0.1:{}", 1000 + router).parse().unwrap(),
        zone: if router % 2 == 0 { "a" } else { "b" }.to_string(),
        leaving: false,
    };
    let routers = routers.into_iter().map(|router| (RouterId(router), session(router))).collect();
    RouterRoster { epoch, routers }
}

fn load(work: u64, engines: u32) -> FleetLoad {
    FleetLoad { work, engines, ..FleetLoad::default() }
}

// ---- the bound ----

#[test]
fn the_bound_counts_the_request_and_falls_with_the_age_of_the_mean() {
    let fresh = admission_bound(&load(4000, 4), 1.25, 0);
    let old = FleetLoad { age_ms: 1000, ..load(4000, 4) };
    let large = FleetLoad { largest_reported: 400, ..load(4000, 4) };
    let ancient = FleetLoad { age_ms: 1_000_000, ..load(4000, 4) };

    assert_eq!(fresh, 1250.0);
    assert_eq!(
        admission_bound(&load(0, 4), 1.25, 400),
        125.0,
        "an idle fleet admits its first request"
    );
    assert!(admission_bound(&old, 1.25, 0) < fresh);
    assert_eq!(admission_bound(&large, 1.25, 0), 1125.0);
    assert_eq!(admission_bound(&ancient, 1.25, 0), 625.0, "however old, half of the mean is used");
}

#[test]
fn no_two_routers_admit_to_an_engine_while_their_rosters_differ() {
    let engines: Vec<UpstreamKey> = (0..60).map(|n| UpstreamKey::of(&format!("e{n}"))).collect();
    let before = roster(1, 0..6);
    let after = roster(2, [0, 1, 2, 4, 5, 6]);
    let assign = |homes: &mut HomeTable, own: u32, roster: &RouterRoster| {
        for engine in &engines {
            homes.assign(*engine, FLEET, roster.home(*engine) == Some(RouterId(own)), roster.epoch);
        }
    };
    let mut routers: Vec<HomeTable> = (0..7).map(|_| HomeTable::default()).collect();
    for (own, homes) in routers.iter_mut().enumerate() {
        assign(homes, own as u32, &before);
        homes.settle(1);
    }

    // The routers receive the new roster one by one; the keepers publish the epoch that all have
    // received.
    for updated in 0..=7 {
        if updated > 0 {
            assign(&mut routers[updated - 1], updated as u32 - 1, &after);
        }
        for engine in &engines {
            let admit = |homes: &mut HomeTable| {
                homes
                    .admit(*engine, 0, &load(1000, 60), RULE)
                    .map(|()| homes.release(*engine, 0, 1))
            };
            let admitting = routers.iter_mut().filter_map(|homes| admit(homes).ok()).count();
            assert!(admitting <= 1, "{admitting} routers admit after {updated} were updated");
        }
    }
    routers.iter_mut().for_each(|homes| homes.settle(2));

    for engine in &engines {
        let admitting = routers.iter().filter(|homes| homes.is_home(*engine)).count();
        assert_eq!(admitting, 1, "once all have received it, each engine has its home");
    }
}

#[test]
fn homes_move_only_from_the_router_that_went() {
    let engines: Vec<UpstreamKey> = (0..200).map(|n| UpstreamKey::of(&format!("e{n}"))).collect();
    let (before, after) = (roster(1, 0..12), roster(2, (0..12).filter(|router| *router != 7)));

    for engine in engines {
        let home = before.home(engine);
        if home != Some(RouterId(7)) {
            assert_eq!(after.home(engine), home);
        }
    }
}

#[test]
fn work_of_an_earlier_home_only_falls_and_never_counts_in_the_mean() {
    let engine = UpstreamKey(1);
    let mut homes = HomeTable::default();
    homes.assign(engine, FLEET, true, 2);
    homes.settle(2);

    let mut loads = Vec::new();
    for (reported, now_ms) in [(500, 1000), (900, 2000), (200, 3000), (700, 4000), (700, 90_000)] {
        homes.report(engine, Incarnation(1), reported, now_ms);
        loads.push(homes.engine_state(engine).unwrap().load());
    }

    assert_eq!(loads, [500, 500, 200, 200, 0]);
    assert_eq!(homes.fleet_work(FLEET), 0);
    let refused = homes.admit(UpstreamKey(2), 1, &load(10, 1), RULE);
    assert_eq!(refused, Err(AdmitRefusal::NotHome));
}

#[test]
fn work_at_an_engine_that_takes_no_more_leaves_the_mean_until_it_opens_again() {
    let (dead, other) = (UpstreamKey(1), UpstreamKey(2));
    let mut homes = HomeTable::default();
    for engine in [dead, other] {
        homes.assign(engine, FLEET, true, 1);
    }
    homes.settle(1);
    homes.admit(dead, 300, &load(10_000, 2), RULE).unwrap();
    homes.admit(other, 200, &load(10_000, 2), RULE).unwrap();

    homes.close(dead, true);
    let while_closed = homes.fleet_work(FLEET);
    homes.close(dead, false);

    assert_eq!(while_closed, 200);
    assert_eq!(homes.fleet_work(FLEET), 500);
}

#[test]
fn an_engine_is_never_given_more_requests_than_it_runs_together() {
    let engine = UpstreamKey(1);
    let mut homes = HomeTable::default();
    homes.assign(engine, FLEET, true, 1);
    homes.settle(1);

    let admitted = (0..5).filter(|_| homes.admit(engine, 1, &load(1000, 1), RULE).is_ok()).count();
    homes.release(engine, 1, 1);

    assert_eq!(admitted, 3);
    assert_eq!(homes.admit(engine, 1, &load(1000, 1), RULE), Ok(()));
}

// ---- claims ----

fn claim_request(attempt: u64, holder: u32, issued_ms: u64) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey::of("w", "r"),
        holder: RouterId(holder),
        incarnation: Incarnation(1),
        attempt,
        issued_ms,
    }
}

#[test]
fn a_claim_has_one_holder_in_every_case() {
    let now = 100_000_000;
    let key = ClaimKey::of("w", "r");
    type Between = fn(&mut ClaimTable, ClaimKey);
    let report = |table: &mut ClaimTable, key, end| {
        table.report(ClaimReport { key, attempt: 1, holder: RouterId(1), end });
    };
    let rows: [(&str, Between, ClaimAnswer); 6] = [
        ("while it runs", |_, _| {}, ClaimAnswer::Taken(ClaimState::Running)),
        (
            "after it was done",
            |table, key| {
                let end = ClaimEnd::Done;
                table.report(ClaimReport { key, attempt: 1, holder: RouterId(1), end });
            },
            ClaimAnswer::Taken(ClaimState::Done),
        ),
        (
            "after its holder was lost",
            |table, _| table.lose_holder(RouterId(1), Incarnation(1)),
            ClaimAnswer::Taken(ClaimState::Unknown),
        ),
        (
            "after it certainly was not dispatched",
            |table, key| {
                let end = ClaimEnd::NotDispatched;
                table.report(ClaimReport { key, attempt: 1, holder: RouterId(1), end });
            },
            ClaimAnswer::Granted,
        ),
        (
            "after another attempt reports that it was not dispatched",
            |table, key| {
                let end = ClaimEnd::NotDispatched;
                table.report(ClaimReport { key, attempt: 7, holder: RouterId(1), end });
            },
            ClaimAnswer::Taken(ClaimState::Running),
        ),
        (
            "after the claim was dropped",
            |table, _| table.expire(100_000_000 + CLAIM_KEEP_MS + 120_000),
            ClaimAnswer::TooOld,
        ),
    ];

    for (case, between, expected) in rows {
        let mut table = ClaimTable::default();
        assert_eq!(table.claim(claim_request(1, 1, now), now), ClaimAnswer::Granted);
        assert_eq!(table.claim(claim_request(1, 1, now), now), ClaimAnswer::Granted, "resent");
        between(&mut table, key);
        let (oldest, records) = table.records();
        let mut copy = ClaimTable::from_records(oldest, records);
        assert_eq!(table.claim(claim_request(2, 2, now), now), expected, "{case}");
        assert_eq!(copy.claim(claim_request(2, 2, now), now), expected, "{case}, from a snapshot");
    }
    let mut table = ClaimTable::default();
    let early = claim_request(1, 1, now + 2 * ISSUE_AHEAD_MS);
    assert_eq!(table.claim(early, now), ClaimAnswer::TooNew);
    report(&mut table, key, ClaimEnd::Done);
    assert!(table.is_empty(), "a report of an unknown claim creates none");
}

// ---- retries, outliers, leaving, leases, limits ----

#[test]
fn retries_are_tried_only_where_safe_and_within_the_budget() {
    // bytes sent, repeatable, caller received bytes => may retry
    let rows = [
        (false, false, false, true),
        (true, false, false, false),
        (true, true, false, true),
        (true, true, true, false),
    ];
    for (sent, repeatable, seen, expected) in rows {
        assert_eq!(may_retry(sent, repeatable, seen), expected);
    }

    let mut budget = RetryBudget::default();
    let spent = (0..1000).filter(|_| {
        budget.earn();
        budget.spend()
    });
    assert!(spent.count() <= 105 + 5, "failures add at most a tenth to the load");
}

#[test]
fn never_more_than_a_share_of_a_fleet_is_set_aside() {
    let fleet: Vec<UpstreamKey> = (0..10).map(UpstreamKey).collect();
    let mut table = OutlierTable::default();

    for upstream in &fleet {
        for _ in 0..CONSECUTIVE_FAILURES {
            table.note_failure(*upstream, fleet.iter().copied(), 0.3, 1000);
        }
    }
    let ejected = |table: &OutlierTable, now_ms| {
        fleet.iter().filter(|upstream| table.is_ejected(**upstream, now_ms)).count()
    };

    assert_eq!(ejected(&table, 1001), 3);
    let later = 1000 + FIRST_EJECTION_MS;
    assert_eq!(ejected(&table, later), 0, "after the ejection it is tried again");
    table.begin_trial(fleet[0], later);
    assert!(table.is_ejected(fleet[0], later), "by one trial request only");
    table.end_trial(fleet[0]);
    assert!(
        !table.is_ejected(fleet[0], later),
        "another trial may follow if that one had no outcome"
    );
    table.begin_trial(fleet[0], later);
    table.note_success(fleet[0]);
    assert!(!table.is_ejected(fleet[0], later));
}

#[test]
fn leaving_is_sticky_for_a_life_and_ends_with_a_new_one() {
    let upstream = UpstreamKey(1);
    let leaving =
        |incarnation| LeavingIncarnation { upstream, incarnation: Incarnation(incarnation) };
    let mut table = LeavingTable::default();
    table.note_incarnation(upstream, Incarnation(3));

    assert!(table.note_leaving(leaving(3)), "a new notice");
    assert!(!table.note_leaving(leaving(3)), "reported twice");
    assert!(!table.note_leaving(leaving(2)), "an old list");
    table.note_incarnation(upstream, Incarnation(2));
    assert!(table.is_leaving(upstream), "a late report of an earlier incarnation reopens nothing");
    table.note_incarnation(upstream, Incarnation(4));
    assert!(!table.is_leaving(upstream));
    assert!(
        !table.note_leaving(leaving(3)),
        "a late notice of the earlier incarnation closes nothing"
    );
    assert!(!table.is_leaving(upstream));
}

#[test]
fn a_router_serves_only_with_a_lease_and_the_version_in_force() {
    let mut lease = RouterLease::default();
    lease.grant(1000, 7);
    assert!(!lease.may_serve(1001), "no version is applied yet");
    assert!(lease.apply(7));
    assert!(lease.may_serve(1001));
    assert!(!lease.apply(6), "versions never decrease");
    lease.grant(1200, 8);
    assert!(!lease.may_serve(1201), "a newer version is in force");
    lease.apply(8);
    lease.grant(900, 3);
    assert_eq!(lease.version_in_force, 8, "a late grant revokes nothing");
    assert!(lease.may_serve(1200 + LEASE_MS - 1));
    assert!(!lease.may_serve(1200 + LEASE_MS));
}

#[test]
fn a_router_whose_leader_is_silent_renews_with_every_keeper() {
    let keepers = || [1, 2, 3].into_iter();

    let in_contact = renewal_targets(2, keepers(), 1000, 1000 + LEADER_TIMEOUT_MS);
    let silent = renewal_targets(2, keepers(), 1000, 1001 + LEADER_TIMEOUT_MS);

    assert_eq!(in_contact, [2]);
    assert_eq!(silent, [1, 2, 3]);
    const { assert!(LEADER_TIMEOUT_MS < LEASE_MS / 4, "several leaders may fail within one lease") };
}

#[test]
fn an_epoch_is_settled_once_every_lease_holder_has_seen_it() {
    let roster = roster(5, 1..=2);
    let mut watch = SessionWatch::new(1000);
    let renew = |watch: &mut SessionWatch, router, epoch, now_ms| {
        watch.note_renewal(RouterId(router), Incarnation(1), epoch, 0, now_ms);
    };
    assert_eq!(watch.settled_epoch(&roster, 1000), 0, "a new leader has no renewals yet");
    renew(&mut watch, 1, 5, 1100);
    assert_eq!(watch.settled_epoch(&roster, 1100), 0, "the second may still hold a lease");
    renew(&mut watch, 2, 4, 1200);
    assert_eq!(watch.settled_epoch(&roster, 1200), 4);
    renew(&mut watch, 1, 5, 1200 + LAPSE_MS);
    assert_eq!(watch.settled_epoch(&roster, 1200 + LAPSE_MS), 5, "its lease is over by now");
    let lapsed = watch.lapsed(&roster, 1200 + LAPSE_MS);
    assert_eq!(lapsed, [(RouterId(2), Incarnation(1))]);
    const { assert!(LAPSE_MS > LEASE_MS, "no lease outlives its session") };
}

#[test]
fn a_workspace_is_held_to_its_rate_and_places() {
    let entry = WorkspaceEntry {
        key_hash: String::new(),
        policy: String::new(),
        rate: 10,
        in_flight: 4,
        weight: 1,
    };
    let key = WorkspaceKey(1);
    let mut table = LimitTable::default();

    let places: Vec<_> = (0..5).map(|_| table.enter(key, &entry, 1, 1000)).collect();
    assert_eq!(places[4], Err(LimitRefusal::InFlight));
    let passed = (0..20).filter(|_| {
        table.leave(key);
        table.enter(key, &entry, 1, 1000).is_ok()
    });
    assert_eq!(passed.count(), 6, "ten in the first second");
    table.leave(key);
    let refused = table.enter(key, &entry, 1, 1000);
    assert!(matches!(refused, Err(LimitRefusal::Rate(after)) if after > 0 && after <= 100));
    assert_eq!(table.enter(key, &entry, 1, 1101), Ok(()));
}

// ---- relay, memory, moves, directory ----

#[test]
fn pieces_pass_once_and_in_order_whatever_order_they_come_in() {
    let mut order = PieceOrder::after(0);
    let mut passed = Vec::new();
    for number in [2, 1, 1, 3, 6, 5, 2, 4, 4, 7] {
        if let PieceStep::Pass(pieces) = order.take(number, number) {
            passed.extend(pieces);
        }
    }
    assert_eq!(passed, [1, 2, 3, 4, 5, 6, 7]);
    assert_eq!(order.take(9, 9), PieceStep::Gap { last: 7 });
    assert!(order.has_gap());
    let overflow = (10..400).map(|number| order.take(number, number)).last();
    assert_eq!(overflow, Some(PieceStep::Overflow { last: 7 }));
}

#[test]
fn a_gap_turns_surely_into_perhaps_and_a_new_life_into_nothing() {
    let (chat, engine) = (ChatKey(1), UpstreamKey(1));
    let mut memory = ChatMemory::new(2);
    memory.note(chat, engine, Incarnation(1), 1000);
    let holder = |memory: &ChatMemory| memory.holders(chat)[0];
    assert_eq!(memory.certainty(&holder(&memory)), Some(HolderCertainty::Certain));

    memory.note_gap(engine);
    assert_eq!(memory.certainty(&holder(&memory)), Some(HolderCertainty::Uncertain));
    assert!(memory.expected_tokens(&holder(&memory)) < 1000);
    memory.note(chat, engine, Incarnation(1), 1200);
    assert_eq!(memory.certainty(&holder(&memory)), Some(HolderCertainty::Certain));
    memory.set_incarnation(engine, Incarnation(2));
    assert_eq!(memory.certainty(&holder(&memory)), None);

    memory.note(ChatKey(2), engine, Incarnation(2), 1);
    memory.note(ChatKey(3), engine, Incarnation(2), 1);
    assert_eq!(memory.len(), 2, "the memory is bounded");
    assert!(memory.holders(chat).is_empty(), "and drops the oldest first");
}

#[test]
fn the_cheapest_of_waiting_importing_and_computing_wins() {
    let imports = KvRates { import_per_ms: 40.0, ..NO_IMPORT_RATES };
    let rows: [(KvRates, u32, Option<f64>, MoveChoice); 6] = [
        (NO_IMPORT_RATES, 4000, None, MoveChoice::Recompute),
        (NO_IMPORT_RATES, 4000, Some(200.0), MoveChoice::Wait(500)),
        (NO_IMPORT_RATES, 4000, Some(800.0), MoveChoice::Recompute),
        (imports, 4000, Some(200.0), MoveChoice::Import),
        (imports, 4000, Some(100.0), MoveChoice::Wait(130)),
        (imports, 100, None, MoveChoice::Recompute),
    ];
    for (rates, tokens, wait, expected) in rows {
        assert_eq!(choose_move(&rates, tokens, wait), expected, "{tokens} tokens, wait {wait:?}");
    }
}

#[test]
fn the_directory_never_names_a_leaving_router() {
    let mut roster = roster(1, 0..6);
    let engines: Vec<UpstreamKey> = (0..40).map(UpstreamKey).collect();
    roster.leave(RouterId(3), Incarnation(1));
    let view = FleetView::new(engines.into_iter(), &roster);
    let leaving = roster.routers[&RouterId(3)].address;

    for chat in 0..200 {
        let chat = ChatKey(chat * 7919);
        let question = AddressRequest { chat: Some(chat), zone: "a", spread: chat.0, hints: &[] };
        let answer = addresses(&roster, Some(&view), &question);
        let home = roster.routers[&view.chat_home(chat).unwrap()].address;
        assert!(!answer.addresses.contains(&leaving));
        assert_eq!(answer.addresses[0], home, "the home comes first");
    }
}

#[test]
fn an_exchange_fits_a_datagram_however_many_fleets_and_all_take_their_turn() {
    let lightest = vec![EngineHint { engine: UpstreamKey(u64::MAX), work: u64::MAX }; HINTS_SENT];
    let row = |fleet: u64| LoadRow {
        fleet: FleetKey(u64::MAX - fleet),
        work: u64::MAX,
        engines: u32::MAX,
        largest: u64::MAX,
        lightest: lightest.clone(),
    };
    let leaving =
        LeavingIncarnation { upstream: UpstreamKey(u64::MAX), incarnation: Incarnation(u64::MAX) };
    let mut seen = std::collections::BTreeSet::new();

    for turn in 0..20 {
        let rows = rows_in_turn((0..38).map(row).collect(), turn);
        seen.extend(rows.iter().map(|row| row.fleet));
        let grant = LeaseGrant {
            sent_ms: u64::MAX,
            known: true,
            version: u64::MAX,
            epoch: u64::MAX,
            settled_epoch: u64::MAX,
            rows,
            leaving: vec![leaving; LEAVING_PER_DATAGRAM],
        };
        let bytes = encode(&Datagram::Grant(grant)).len();
        assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
    }

    assert_eq!(seen.len(), 38);
}

// ---- policies and seals ----

#[test]
fn a_policy_that_fails_names_its_line_and_a_loop_costs_a_bounded_time() {
    let facts =
        PolicyFacts { service: "x".to_string(), labels: BTreeMap::new(), ..Default::default() };
    let rows = [
        ("let a = 1;\nif {", Some(2), "compile"),
        ("let a = 1;\n\nthrow \"no\";", Some(3), "no"),
        ("let a = 1;\nloop { a += 1; }", Some(2), "operations"),
        ("#{ fleet: 7 }", None, "fleet"),
        ("#{ class: \"live\" }", None, "names no fleet"),
        ("#{ fleet: \"f\", speed: 9 }", None, "speed"),
        ("1", None, "must end in a map"),
        ("fn f(n) { f(n + 1) }\nf(0)", Some(2), "overflow"),
    ];
    for (source, line, text) in rows {
        let decided = compile_policy(source).and_then(|program| decide_policy(&program, &facts));
        let error = decided.expect_err(source);
        if let Some(line) = line {
            assert_eq!(error.line, line, "{source}: {error}");
        }
        let compiles = text == "compile";
        let message = error.to_string().to_lowercase();
        assert!(compiles || message.contains(&text.to_lowercase()), "{source}: {error}");
    }
}

#[test]
fn a_seal_is_refused_when_altered_replayed_old_or_of_another_key() {
    let now = 10_000_000;
    let maker = SealMaker::new("the fleet key here", 1);
    let mut checker = SealChecker::new("the fleet key here", now - 1);
    let header = maker.header("/a", b"body", now);
    let mut check = |header: &str, target: &str, body: &[u8], wall_ms| {
        checker.check_header(Some(header), target, body, wall_ms)
    };

    assert_eq!(check(&header, "/a", b"Body", now), Err(SealRefusal::Mismatch));
    assert_eq!(check(&header, "/b", b"body", now), Err(SealRefusal::Mismatch));
    assert_eq!(check("1.2.3", "/a", b"body", now), Err(SealRefusal::Malformed));
    assert_eq!(check(&header, "/a", b"body", now + SEAL_AGE_MS + 1), Err(SealRefusal::OutOfTime));
    assert_eq!(check(&header, "/a", b"body", now), Ok(()));
    assert_eq!(check(&header, "/a", b"body", now), Err(SealRefusal::Replayed));
    let other = SealMaker::new("another fleet key!", 2).header("/a", b"body", now);
    assert_eq!(check(&other, "/a", b"body", now), Err(SealRefusal::Mismatch));

    // Out-of-order datagrams are accepted once, within the window.
    let datagrams: Vec<Vec<u8>> = (0..6000).map(|_| maker.datagram(b"x", now)).collect();
    let mut open = |at: usize| checker.open_datagram(&datagrams[at], now).map(<[u8]>::to_vec);
    assert!(open(10).is_ok());
    assert!(open(5).is_ok());
    assert_eq!(open(5), Err(SealRefusal::Replayed));
    assert!(open(5999).is_ok());
    assert_eq!(
        open(6),
        Err(SealRefusal::Replayed),
        "too far behind to be distinguished from a replay"
    );
}

#[test]
fn the_head_of_an_answer_ends_a_row_of_failures_but_not_one_of_broken_answers() {
    let fleet: Vec<UpstreamKey> = (0..4).map(UpstreamKey).collect();
    let keys = || fleet.iter().copied();
    let mut table = OutlierTable::default();

    for _ in 0..2 * CONSECUTIVE_FAILURES {
        table.note_failure(fleet[0], keys(), 0.5, 1000);
        table.note_begun(fleet[0]);
        table.note_begun(fleet[1]);
        table.note_cut(fleet[1], keys(), 0.5, 1000);
    }
    let ejected = [table.is_ejected(fleet[0], 1000), table.is_ejected(fleet[1], 1000)];
    table.note_begun(fleet[1]);
    let ejected_after_a_head = table.is_ejected(fleet[1], 1000);
    table.note_success(fleet[1]);

    assert_eq!(ejected, [false, true]);
    assert!(ejected_after_a_head);
    assert!(!table.is_ejected(fleet[1], 1000));
}
