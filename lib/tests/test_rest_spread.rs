//! Counts the requests that are refused while some upstreams reject everything and ask for
//! back-off.
//!
//! If VMs ignore the back-off, the upstreams refuse at once, look idle, and get more than their
//! share. If VMs obey it, they send these upstreams nothing, and one request first when the
//! back-off is over.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingshed_lib::coordination::plain_choice::choose_by_own_load;
use wingshed_lib::coordination::upstream_candidate::UpstreamCandidate;
use wingshed_lib::coordination::upstream_notice::NoticeTable;
use wingshed_lib::state::ids::UpstreamKey;

mod testutils;

use testutils::engines::candidate;

const VMS: usize = 12;
const UPSTREAMS: usize = 12;
const REJECTING: usize = 4;
/// How long they reject everything, and how long a back-off they ask for each time, in
/// milliseconds.
const REJECT_MS: u64 = 9000;
const BACKOFF_MS: u64 = 3000;
/// After how many milliseconds a request is refused, and after how many it is served.
const REFUSED_MS: u64 = 6;
const SERVED_MS: u64 = 200;

#[derive(Clone, Copy, PartialEq)]
enum BackoffRule {
    Ignored,
    Obeyed,
    OneFirst,
}

struct SentRequest {
    upstream: usize,
    ends_ms: u64,
    refused: bool,
}

/// Simulates the requests of one VM, one each `gap_ms` on average. Returns how many were refused,
/// and the maximum number that was sent to one upstream within a back-off, from half a second after
/// it was backoffs for.
fn simulate_vm(rule: BackoffRule, gap_ms: f64, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut notices = NoticeTable::default();
    let mut in_flight: VecDeque<SentRequest> = VecDeque::new();
    let (mut refused, mut worst) = (0, 0);
    let mut backoffs: [Vec<(u64, usize)>; REJECTING] = Default::default();
    for now_ms in 0..REJECT_MS + 3000 {
        for sent in in_flight.iter().filter(|sent| sent.ends_ms == now_ms) {
            let key = UpstreamKey(sent.upstream as u64 + 1);
            match sent.refused {
                true => {
                    refused += 1;
                    notices.note_backoff(key, BACKOFF_MS, now_ms);
                    backoffs[sent.upstream].push((now_ms, 0));
                }
                false => notices.note_accepted(key, now_ms),
            }
        }
        in_flight.retain(|sent| sent.ends_ms > now_ms);
        if !random.gen_bool(1.0 / gap_ms) {
            continue;
        }
        let candidates: Vec<UpstreamCandidate> = (0..UPSTREAMS)
            .map(|at| {
                let key = UpstreamKey(at as u64 + 1);
                let own = in_flight.iter().filter(|sent| sent.upstream == at).count() as u32;
                let backoff_ms = notices.backoff_ms(key, now_ms);
                UpstreamCandidate {
                    own_load: own,
                    backoff_ms: if rule == BackoffRule::Ignored { 0 } else { backoff_ms },
                    ejected: rule == BackoffRule::OneFirst && notices.is_avoided(key, now_ms),
                    ..candidate(key.0, own)
                }
            })
            .collect();
        let key = choose_by_own_load(&candidates, random.gen()).unwrap();
        let upstream = key.0 as usize - 1;
        let rejects = upstream < REJECTING && now_ms < REJECT_MS;
        notices.note_sent(key, now_ms);
        if upstream < REJECTING {
            let inside = |at_ms: u64| at_ms + 500 < now_ms && now_ms < at_ms + BACKOFF_MS;
            backoffs[upstream].iter_mut().filter(|(at_ms, _)| inside(*at_ms)).for_each(
                |(_, count)| {
                    *count += 1;
                    worst = worst.max(*count);
                },
            );
        }
        let ends_ms = now_ms + if rejects { REFUSED_MS } else { SERVED_MS };
        in_flight.push_back(SentRequest { upstream, ends_ms, refused: rejects });
    }
    (refused, worst)
}

/// The refused requests of all VMs, and the maximum of the second value over all VMs.
fn simulate(rule: BackoffRule, gap_ms: f64) -> (usize, usize) {
    let vms = (0..VMS as u64).map(|seed| simulate_vm(rule, gap_ms, seed));
    vms.fold((0, 0), |all, vm| (all.0 + vm.0, all.1.max(vm.1)))
}

#[test]
fn heeding_rest_saves_refusals_and_sending_one_first_saves_more() {
    for gap_ms in [200.0, 20.0, 4.0] {
        let [ignored, obeyed, one_first] =
            [BackoffRule::Ignored, BackoffRule::Obeyed, BackoffRule::OneFirst]
                .map(|rule| simulate(rule, gap_ms));

        assert!(ignored.1 > 2, "two are allowed: {ignored:?}");
        assert_eq!((obeyed.1, one_first.1), (0, 0), "within a back-off");
        assert!(obeyed.0 < ignored.0 && one_first.0 <= obeyed.0);
    }
}
