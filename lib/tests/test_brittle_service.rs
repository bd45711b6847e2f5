//! What a VM allows itself at brittle upstreams, without a network.

use wingshed_lib::coordination::brittle_service::BrittleService;
use wingshed_lib::state::ids::UpstreamKey;

const KEY: UpstreamKey = UpstreamKey(1);
const NOW_MS: u64 = 1_000_000;
const VMS: usize = 12;

fn announced(limit_per_s: u32) -> BrittleService {
    let mut service = BrittleService::default();
    service.note_announced(limit_per_s, NOW_MS);
    service
}

#[test]
fn all_vms_together_stay_below_the_announced_rejections() {
    for limit in [1, 2, 8, 30, 200] {
        let mut service = announced(limit);

        service.note_rejected(KEY, VMS, NOW_MS);

        let hold_ms = service.hold_ms(KEY, NOW_MS);
        let per_s = VMS as f64 * 1000.0 / hold_ms.max(1) as f64;
        let bounded = per_s <= f64::from(limit).max(VMS as f64 / 5.0) + 0.1;
        assert!(bounded, "limit {limit}: {per_s} rejections a second");
    }
}

#[test]
fn what_is_in_flight_grows_by_acceptance_and_falls_by_rejection() {
    let mut service = announced(8);
    let most = |service: &BrittleService| {
        (0..100).find(|own| service.is_full(KEY, (*own, *own), None, NOW_MS)).unwrap()
    };
    assert_eq!(most(&service), 2);

    for _ in 0..40 {
        let own = most(&service);
        service.note_accepted(KEY, own, NOW_MS);
    }
    let grown = most(&service);
    service.note_rejected(KEY, VMS, NOW_MS);

    assert!(grown >= 6 && most(&service) <= grown / 2, "{grown}, then {}", most(&service));
}

#[test]
fn an_engine_gets_no_request_beyond_its_slots() {
    let service = announced(8);

    assert!(service.is_full(KEY, (0, 64), Some(64), NOW_MS));
    assert!(!service.is_full(KEY, (0, 63), Some(64), NOW_MS));
}

#[test]
fn a_service_that_announces_nothing_any_more_is_used_as_before() {
    let mut service = announced(8);
    service.note_rejected(KEY, VMS, NOW_MS);

    let later_ms = NOW_MS + 3000;

    assert!(!service.is_brittle(later_ms));
    assert_eq!(service.hold_ms(KEY, later_ms), 0);
    assert!(!service.is_full(KEY, (50, 500), Some(64), later_ms));
}
