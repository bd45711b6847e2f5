//! How many requests are refused in vain while some upstreams turn everything away and ask for rest.
//!
//! Before: what upstreams ask for isn't heeded; they refuse at once, look idle, and get more than their
//! share. After: each VM leaves them alone, and sends one request first when their rest is over.

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
const TIRED: usize = 4;
/// They turn everything away for so long, and ask for so much rest each time, in milliseconds.
const TIRED_MS: u64 = 9000;
const REST_MS: u64 = 3000;
/// A request is refused after this long, and served after that, in milliseconds.
const REFUSED_MS: u64 = 6;
const SERVED_MS: u64 = 200;

#[derive(Clone, Copy, PartialEq)]
enum RestWay {
    Unheeded,
    Heeded,
    OneFirst,
}

struct SentRequest {
    upstream: usize,
    ends_ms: u64,
    refused: bool,
}

/// One VM's requests, one each `gap_ms` in the mean; how many were refused, and how many were sent to one
/// upstream within a rest from half a second after it was asked for, at the most.
fn play_vm(way: RestWay, gap_ms: f64, seed: u64) -> (usize, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut notices = NoticeTable::default();
    let mut flying: VecDeque<SentRequest> = VecDeque::new();
    let (mut refused, mut worst) = (0, 0);
    let mut asked: [Vec<(u64, usize)>; TIRED] = Default::default();
    for now_ms in 0..TIRED_MS + 3000 {
        for sent in flying.iter().filter(|sent| sent.ends_ms == now_ms) {
            let key = UpstreamKey(sent.upstream as u64 + 1);
            match sent.refused {
                true => {
                    refused += 1;
                    notices.note_backoff(key, REST_MS, now_ms);
                    asked[sent.upstream].push((now_ms, 0));
                }
                false => notices.note_accepted(key, now_ms),
            }
        }
        flying.retain(|sent| sent.ends_ms > now_ms);
        if !random.gen_bool(1.0 / gap_ms) {
            continue;
        }
        let candidates: Vec<UpstreamCandidate> = (0..UPSTREAMS)
            .map(|at| {
                let key = UpstreamKey(at as u64 + 1);
                let own = flying.iter().filter(|sent| sent.upstream == at).count() as u32;
                let backoff_ms = notices.backoff_ms(key, now_ms);
                UpstreamCandidate {
                    own_load: own,
                    backoff_ms: if way == RestWay::Unheeded { 0 } else { backoff_ms },
                    ejected: way == RestWay::OneFirst && notices.is_avoided(key, now_ms),
                    ..candidate(key.0, own)
                }
            })
            .collect();
        let key = choose_by_own_load(&candidates, random.gen()).unwrap();
        let upstream = key.0 as usize - 1;
        let tired = upstream < TIRED && now_ms < TIRED_MS;
        notices.note_sent(key, now_ms);
        if upstream < TIRED {
            let inside = |at_ms: u64| at_ms + 500 < now_ms && now_ms < at_ms + REST_MS;
            asked[upstream].iter_mut().filter(|(at_ms, _)| inside(*at_ms)).for_each(
                |(_, count)| {
                    *count += 1;
                    worst = worst.max(*count);
                },
            );
        }
        let ends_ms = now_ms + if tired { REFUSED_MS } else { SERVED_MS };
        flying.push_back(SentRequest { upstream, ends_ms, refused: tired });
    }
    (refused, worst)
}

/// The same of all VMs.
fn play(way: RestWay, gap_ms: f64) -> (usize, usize) {
    let vms = (0..VMS as u64).map(|seed| play_vm(way, gap_ms, seed));
    vms.fold((0, 0), |all, vm| (all.0 + vm.0, all.1.max(vm.1)))
}

#[test]
fn heeding_rest_saves_refusals_and_sending_one_first_saves_more() {
    for gap_ms in [200.0, 20.0, 4.0] {
        let [unheeded, heeded, one_first] =
            [RestWay::Unheeded, RestWay::Heeded, RestWay::OneFirst].map(|way| play(way, gap_ms));

        assert!(unheeded.1 > 2, "two are allowed: {unheeded:?}");
        assert_eq!((heeded.1, one_first.1), (0, 0), "within a rest");
        assert!(heeded.0 < unheeded.0 && one_first.0 <= heeded.0);
    }
}
