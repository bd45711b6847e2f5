//! The decision whether a VM is isolated, without a network.

use wingshed_lib::coordination::upstream_reach::{SampleProbe, UpstreamReach};
use wingshed_lib::protocol::peer_relay::{RelayNote, RelayReply, RELAY_PREFACE};
use wingshed_lib::protocol::vm_wire::decode_frame_head;
use wingshed_lib::state::ids::UpstreamKey;

const LISTED: usize = 6;
const NOW_MS: u64 = 1_000_000;

/// A table in which connections to two upstreams failed, and the probe that follows.
fn two_failed() -> (UpstreamReach, SampleProbe) {
    let mut reach = UpstreamReach::default();
    assert_eq!(reach.note_failed(UpstreamKey(1), LISTED, NOW_MS), None);
    let probe = reach.note_failed(UpstreamKey(2), LISTED, NOW_MS + 1);
    (reach, probe.expect("a sample is probed"))
}

#[test]
fn one_upstream_that_fails_again_and_again_is_no_isolation() {
    let mut reach = UpstreamReach::default();

    let probes = (0..20).filter_map(|at| reach.note_failed(UpstreamKey(1), LISTED, NOW_MS + at));

    assert_eq!(probes.count(), 0);
}

#[test]
fn a_vm_is_isolated_until_it_reaches_an_upstream() {
    let (mut reach, probe) = two_failed();

    assert!(!reach.is_isolated(), "the sample decides");
    assert!(reach.note_sample_failed(probe));
    assert!(reach.is_isolated() && reach.has_failed(UpstreamKey(1)));

    assert!(reach.note_reached());
    assert!(!reach.is_isolated() && !reach.has_failed(UpstreamKey(1)));
}

#[test]
fn an_upstream_that_is_reached_voids_the_sample_under_way() {
    let (mut reach, probe) = two_failed();

    reach.note_reached();

    assert!(!reach.note_sample_failed(probe));
    assert!(!reach.is_isolated());
}

#[test]
fn old_failures_and_frequent_ones_start_no_sample() {
    let (mut reach, _) = two_failed();

    assert_eq!(reach.note_failed(UpstreamKey(3), LISTED, NOW_MS + 400), None, "one has just begun");
    assert!(reach.note_failed(UpstreamKey(3), LISTED, NOW_MS + 600).is_some());
    assert_eq!(reach.note_failed(UpstreamKey(4), LISTED, NOW_MS + 60_000), None, "others are old");
}

#[test]
fn where_one_upstream_is_listed_its_failure_is_enough() {
    let mut reach = UpstreamReach::default();

    assert!(reach.note_failed(UpstreamKey(1), 1, NOW_MS).is_some());
}

#[test]
fn what_a_vm_tells_when_it_passes_a_request_on_is_read_back() {
    let note = RelayNote { version: u64::MAX, sent: 2, may_have_run: true };

    assert_eq!(RelayNote::from_value(&note.to_value()), Some(note));
    for reply in [RelayReply::Served(7), RelayReply::Declined] {
        assert_eq!(RelayReply::from_value(&reply.to_value()), Some(reply));
    }
    for text in ["", "1 2", "1 2 x", "1 2 0 0"] {
        assert_eq!(RelayNote::from_value(&text.parse().unwrap()), None, "{text:?}");
    }
}

#[test]
fn the_preface_of_a_relay_connection_is_no_frame() {
    assert!(decode_frame_head(RELAY_PREFACE).is_err());
}
