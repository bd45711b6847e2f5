//! Compares a fleet with one of twice the size: bytes sent, sums computed and rows copied must not grow
//! faster than they need to. All is counted, so that no test depends on a clock.

mod testutils;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use testutils::engines::{candidate, RULES};
use wingshed_lib::coordination::news_source::{
    choose_source, requests_from_holder, UpdateRequester,
};
use wingshed_lib::coordination::upstream_candidate::{CandidateSet, UpstreamCandidate};
use wingshed_lib::coordination::upstream_choice::{
    choose_engine, EngineRules, PrefixMemory, MAX_ROOT_HOLDERS_REPORTED,
};
use wingshed_lib::coordination::upstream_load::{LoadUpdate, SharedLoads, UpstreamLoad};
use wingshed_lib::coordination::vm_roster::{
    loads_shared_ms, RosterCopy, RosterRevision, RosterRow, VmRoster, RENEW_MS, ROW_KEEP_MS,
};
use wingshed_lib::protocol::vm_wire::encode;
use wingshed_lib::state::ids::UpstreamKey;
use wingshed_lib::state::prompt_part::PromptPart;
use wingshed_lib::state::upstream_list::{
    EntryDefect, ListChange, ListDelta, ListRevision, UpstreamEntry, UpstreamList,
};

const ZONES: u32 = 5;
const KEEPERS: u32 = 10;
/// The mean number of requests in flight for each VM; there are ten upstreams for each VM.
const IN_FLIGHT: f64 = 0.2;

fn vm(id: u32) -> RosterRow {
    RosterRow { id, zone: u64::from(id % ZONES), ready: true }
}

fn upstream(number: u32) -> UpstreamEntry {
    let [a, b, c, _] = number.to_le_bytes();
    UpstreamEntry {
        name: format!("life-{number}"),
        service: "engines".to_string(),
        address: SocketAddr::from(([10, c, b, a], 8000)),
        zone: "a".to_string(),
        leaving: false,
        ring_slot: Some(u64::from(number)),
        cold: false,
        version: Default::default(),
        started_ms: None,
        defect: EntryDefect::None,
    }
}

fn list_of(upstreams: u32) -> UpstreamList {
    let mut list = UpstreamList::default();
    list.update_from_read((0..upstreams).map(upstream).collect(), Some(1), 1, 0);
    list
}

fn roster_of(vms: u32, now_ms: u64) -> VmRoster {
    let mut roster = VmRoster::default();
    (0..vms).for_each(|id| roster.note(vm(id), None, Vec::new(), now_ms));
    roster
}

/// A roster whose VMs have requests in flight at upstreams drawn at random.
fn busy_roster(vms: u32, list: &UpstreamList, per_vm: f64) -> VmRoster {
    let mut random = StdRng::seed_from_u64(7);
    let keys: Vec<UpstreamKey> = list.entries.keys().copied().collect();
    let mut roster = VmRoster::default();
    for id in 0..vms {
        let count = per_vm.floor() as u32 + u32::from(random.gen_bool(per_vm.fract()));
        let mut load =
            || UpstreamLoad { upstream: keys[random.gen_range(0..keys.len())], requests: 1 };
        let loads = (0..count).map(|_| load()).collect();
        roster.note(vm(id), None, loads, 0);
    }
    roster
}

fn load_update(
    shared: &mut SharedLoads,
    roster: &VmRoster,
    list: &UpstreamList,
    have: ListRevision,
    now_ms: u64,
) -> LoadUpdate {
    shared.update(|| roster.loads(), loads_shared_ms(roster.len()), list, have, now_ms)
}

fn load_bytes(vms: u32) -> (usize, usize) {
    let list = list_of(10 * vms);
    let roster = busy_roster(vms, &list, IN_FLIGHT);
    let mut shared = SharedLoads::default();
    let positional = encode(&load_update(&mut shared, &roster, &list, list.revision, 0)).len();
    let keyed = encode(&load_update(&mut shared, &roster, &list, ListRevision::default(), 0)).len();
    (positional, keyed)
}

#[test]
fn loads_that_a_grant_tells_stay_small_where_upstreams_are_nearly_idle() {
    let (positional, keyed) = load_bytes(1000);
    let (positional_twice, keyed_twice) = load_bytes(2000);

    assert!(positional <= 100, "{positional}");
    assert!(positional_twice <= 200, "{positional_twice}");
    assert!(keyed <= 100 && keyed_twice <= 200, "{keyed}, {keyed_twice}");
}

#[test]
fn loads_are_told_in_full_where_upstreams_are_in_use() {
    let list = list_of(240);
    let roster = busy_roster(300, &list, 2.0);

    let update =
        load_update(&mut SharedLoads::default(), &roster, &list, ListRevision::default(), 0);

    let LoadUpdate::Keyed(loads) = update else { panic!("{update:?}") };
    assert_eq!(loads, roster.loads());
}

/// How often a leader sums up the loads in one second of renewals.
fn sums_a_second(vms: u32) -> u64 {
    let list = list_of(100);
    let mut roster = roster_of(vms, 0);
    let mut shared = SharedLoads::default();
    for now_ms in 0..1000 {
        let renewing = (0..vms).filter(|id| now_ms % RENEW_MS == u64::from(id * 7) % RENEW_MS);
        for id in renewing {
            roster.note(vm(id), None, Vec::new(), now_ms);
            load_update(&mut shared, &roster, &list, list.revision, now_ms);
        }
    }
    shared.sums()
}

#[test]
fn how_often_loads_are_summed_up_does_not_grow_with_the_vms() {
    assert_eq!(sums_a_second(1000), sums_a_second(2000));
    assert!(sums_a_second(1000) <= 20);
}

#[test]
fn a_small_fleet_is_told_of_what_it_has_just_told() {
    let list = list_of(3);
    let keys: Vec<UpstreamKey> = list.entries.keys().copied().collect();
    let load = |requests| vec![UpstreamLoad { upstream: keys[0], requests }];
    let mut roster = VmRoster::default();
    let mut shared = SharedLoads::default();

    for requests in [5, 6] {
        roster.note(vm(1), None, load(requests), 0);
        let update = load_update(&mut shared, &roster, &list, ListRevision::default(), 0);
        let LoadUpdate::Keyed(loads) = update else { panic!("{update:?}") };
        assert_eq!(loads, load(requests));
    }
}

fn requester(row: &RosterRow) -> UpdateRequester {
    UpdateRequester { id: row.id, zone: row.zone }
}

/// How many copies of a whole state are sent from one zone to another when all VMs but the keepers request it.
fn copies_between_zones(vms: u32) -> usize {
    let rows: Vec<RosterRow> = (0..vms).map(vm).collect();
    let keepers: Vec<u32> = (0..KEEPERS).collect();
    let source =
        |row: &RosterRow| choose_source(&keepers, &rows, requester(row), 0, u64::from(row.id));
    let asking = rows.iter().filter(|row| row.id >= KEEPERS);
    asking.filter(|row| source(row).is_some_and(|id| vm(id).zone != row.zone)).count()
}

#[test]
fn whole_states_come_from_the_own_zone_whatever_the_size() {
    assert_eq!([1000, 2000].map(copies_between_zones), [0, 0]);
}

#[test]
fn a_vm_whose_zone_has_lost_its_keepers_asks_elsewhere() {
    let rows: Vec<RosterRow> = (0..20).map(vm).collect();
    let own = vm(17);
    let keepers: Vec<u32> = (0..KEEPERS).collect();
    let asked = |keepers: &[u32], attempt| -> BTreeSet<u32> {
        (0..100)
            .filter_map(|draw| choose_source(keepers, &rows, requester(&own), attempt, draw))
            .collect()
    };

    assert_eq!(asked(&keepers, 0), BTreeSet::from([2, 7]));
    assert_eq!(asked(&keepers, 1), keepers.iter().copied().collect());
    assert_eq!(asked(&[1, 3], 0), BTreeSet::from([1, 3]));
    assert_eq!(asked(&[own.id], 0), BTreeSet::new());
}

#[test]
fn who_told_of_a_newer_list_is_asked_by_a_leader_and_when_a_keeper_has_not_answered() {
    let (leads, follows, held, none) = (true, false, true, false);
    assert!(requests_from_holder(leads, held, 0));
    assert!(!requests_from_holder(follows, held, 0));
    assert!(requests_from_holder(follows, held, 1));
    assert!(
        !requests_from_holder(follows, none, 1),
        "all VMs request the list, and the leader can't answer them all"
    );
}

/// The numbers of rows and of removed VMs that one VM is sent when a third of all VMs are lost at once.
fn rows_sent_after_a_loss(vms: u32) -> (usize, usize) {
    let mut roster = roster_of(vms, 0);
    let mut copy = RosterCopy::default();
    copy.take(roster.update_since(1, RosterRevision::default()));
    let living = |id: &u32| id % 3 != 0;
    (0..vms).filter(living).for_each(|id| roster.note(vm(id), None, Vec::new(), ROW_KEEP_MS));

    roster.expire(ROW_KEEP_MS);
    let update = roster.update_since(1, copy.revision);

    let sent = (update.rows.len(), update.removed.len());
    copy.take(update);
    assert_eq!(copy.rows, roster.rows());
    sent
}

#[test]
fn vms_are_told_who_was_lost_and_not_all_who_are_left() {
    assert_eq!(rows_sent_after_a_loss(1000), (0, 334));
    assert_eq!(rows_sent_after_a_loss(2000), (0, 667));
}

#[test]
fn a_vm_that_missed_a_loss_is_told_all() {
    let mut roster = roster_of(10, 0);
    let missed = roster.update_since(1, RosterRevision::default()).revision;
    roster.note(vm(1), None, Vec::new(), ROW_KEEP_MS);
    roster.expire(ROW_KEEP_MS);
    roster.note(vm(1), None, Vec::new(), 10 * ROW_KEEP_MS);

    roster.expire(10 * ROW_KEEP_MS);
    let update = roster.update_since(1, missed);

    assert!(update.whole);
    assert_eq!(update.rows, [vm(1)]);
}

/// How many rows are at another address in memory after a delta of ten rows.
fn rows_copied(upstreams: u32) -> usize {
    let mut list = list_of(upstreams);
    let addresses = |list: &UpstreamList| -> BTreeSet<(UpstreamKey, usize)> {
        list.entries.iter().map(|(key, row)| (*key, row.name.as_ptr() as usize)).collect()
    };
    let before = addresses(&list);
    let leaving = |number| UpstreamEntry { leaving: true, ..upstream(number) };
    let change =
        ListChange { rows: (0..10).map(leaving).collect(), removed: vec![upstream(20).key()] };
    let to = ListRevision { change: list.revision.change + 1, ..list.revision };
    let delta = ListDelta { from: list.revision, to, change };

    assert!(list.apply_delta(delta, 1000));

    assert_eq!(list.entries.len() as u32, upstreams - 1);
    assert_eq!(list.entries.values().filter(|row| row.leaving).count(), 10);
    addresses(&list).difference(&before).count()
}

#[test]
fn a_step_of_the_list_copies_its_own_rows_alone() {
    assert_eq!([10_000, 20_000].map(rows_copied), [10, 10]);
}

/// How many notes of new holders of one root follow from requests for as many parts of it as there are
/// engines, when each note reaches all VMs at once.
fn root_notes(engines: u64) -> usize {
    let all: Vec<UpstreamCandidate> = (1..=engines).map(|key| candidate(key, 0)).collect();
    let mut memory = PrefixMemory::default();
    let mut notes = 0;
    for at in 0..engines {
        let prompt = [(1, 2500), (100 + at, 6000), (3, 500)];
        let prompt = prompt.map(|(id, tokens)| PromptPart { id, tokens });
        let rules = EngineRules { draw: at << 7, ..RULES };
        let pick = choose_engine(&all, &prompt, &memory, &rules, 1000 + at).unwrap();
        if let Some(root) = pick.new_root {
            notes += 1;
            memory.note_reported(root, pick.upstream, 1000 + at);
        }
    }
    notes
}

#[test]
fn notes_of_a_roots_holders_do_not_grow_with_the_engines() {
    assert_eq!([200, 400].map(root_notes), [MAX_ROOT_HOLDERS_REPORTED; 2]);
}

#[test]
fn candidates_are_changed_by_key_and_others_stay_as_listed() {
    let listed = |key| UpstreamCandidate::idle(UpstreamKey(key));
    let mut set = CandidateSet::new((1..=5).map(listed));

    set.change(UpstreamKey(2), |candidate| candidate.load += 3);
    set.change(UpstreamKey(9), |candidate| candidate.load += 3);
    set.remove_all([UpstreamKey(4), UpstreamKey(9)].into_iter());

    let loaded = UpstreamCandidate { load: 3, ..listed(2) };
    assert_eq!(set.into_rows(), [listed(1), loaded, listed(3), listed(5)]);
}

#[test]
fn a_service_is_listed_with_the_time_at_which_each_was_first_seen() {
    let mut list = list_of(3);
    let rows = (1..5).map(|number| {
        let service = if number == 2 { "others" } else { "engines" };
        UpstreamEntry { service: service.to_string(), ..upstream(number) }
    });
    list.update_from_read(rows.collect(), Some(1), 1, 500);

    let seen = list.seen_of_service("engines").map(|(key, entry, at_ms)| {
        assert_eq!(key, entry.key());
        (entry.name.as_str(), at_ms)
    });

    let seen: BTreeSet<(&str, u64)> = seen.collect();
    assert_eq!(seen, BTreeSet::from([("life-1", 0), ("life-3", 500), ("life-4", 500)]));
}
