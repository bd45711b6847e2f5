//! Chooses the plain upstream that takes a request.
//!
//! Loads are reported every [`RENEW_MS`]. If requests stay at an upstream for longer than that, the
//! least loaded upstream as reported takes the next one. If they take about ten milliseconds, a
//! report is outdated when it is received: all VMs that use it send to the same upstream, which
//! then rejects requests while others are idle. In that case a VM uses its own requests in flight,
//! and its zone. It tells the two cases apart by how long requests take. See
//! `docs/design/shifted-work.md`.

use super::upstream_candidate::{choice_error, usable, ChoiceError, UpstreamCandidate};
use super::upstream_load::NEARLY_IDLE_MEAN;
use super::vm_roster::{MANY_VMS, RENEW_MS};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_score;

/// The weight of one request in the moving average of the time that requests stay.
const HOLD_WEIGHT: f64 = 0.05;

/// How long requests stay at the upstreams of a service, as one VM observes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldTime {
    /// The moving average in milliseconds; 0 before the first request has ended.
    mean_ms: f64,
}

impl HoldTime {
    /// Records that a request stayed for `held_ms` milliseconds.
    pub fn note(&mut self, held_ms: u64) {
        let held_ms = held_ms as f64;
        match self.mean_ms > 0.0 {
            true => self.mean_ms += HOLD_WEIGHT * (held_ms - self.mean_ms),
            false => self.mean_ms = held_ms,
        }
    }

    /// The moving average in milliseconds; 0 before the first request has ended.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Whether requests stay longer than the interval between load reports, so that reported loads
    /// still describe the present.
    pub fn exceeds_report_interval(&self) -> bool {
        self.mean_ms > RENEW_MS as f64
    }
}

/// In a fleet of at least [`MANY_VMS`], a request that stays long goes to the least loaded of this
/// many upstreams, drawn at random. Otherwise every VM would send to the least loaded upstream of
/// all until the next report. Smaller fleets don't need this, because each VM has a large part of
/// the load itself.
const DRAWN_UPSTREAMS: usize = 2;

/// How many plain upstreams one of `vms` VMs draws at random, to take the least loaded of them.
pub fn drawn_upstreams(vms: usize) -> usize {
    match vms < MANY_VMS {
        true => usize::MAX,
        false => DRAWN_UPSTREAMS,
    }
}

/// The least loaded, as reported, of `choices` upstreams that `draw` selects; of equally loaded
/// ones, one in this VM's zone.
pub fn choose_plain(
    candidates: &[UpstreamCandidate],
    choices: usize,
    draw: u64,
) -> Result<UpstreamKey, ChoiceError> {
    let usable = usable(candidates);
    let taking = || usable.iter().filter(|candidate| candidate.takes_work());
    let mut drawn: Vec<_> = taking().filter(|candidate| !candidate.full).collect();
    drawn.sort_by_cached_key(|candidate| rendezvous_score(draw, candidate.key.0));
    drawn.truncate(choices);
    let best = drawn.into_iter().min_by_key(|candidate| (candidate.load, !candidate.same_zone));
    best.map(|candidate| candidate.key).ok_or_else(|| choice_error(taking().count(), candidates))
}

/// How far above twice the mean the reported load of an upstream must be for it to count as
/// crowded.
const CROWDED_MARGIN: f64 = 4.0;

/// The upstream at which this VM has the fewest requests in flight. Ties go to one that isn't
/// crowded, then to one in this VM's zone, then to the one that `draw` selects.
pub fn choose_by_own_load(
    candidates: &[UpstreamCandidate],
    draw: u64,
) -> Result<UpstreamKey, ChoiceError> {
    let usable = usable(candidates);
    let taking = || usable.iter().filter(|candidate| candidate.takes_work() && !candidate.full);
    let mean = mean_load(taking().copied());
    let crowded = |c: &UpstreamCandidate| f64::from(c.load) > 2.0 * mean + CROWDED_MARGIN;
    let best = taking().min_by_key(|candidate| {
        let drawn = rendezvous_score(draw, candidate.key.0);
        (candidate.own_load, crowded(candidate), !candidate.same_zone, drawn)
    });
    best.map(|candidate| candidate.key).ok_or_else(|| choice_error(taking().count(), candidates))
}

/// The number of upstreams up to which a VM reuses its connections soon, whichever upstream it
/// chooses.
const FEW_UPSTREAMS: usize = 8;

/// Like [`choose_by_own_load`], but among many upstreams that are nearly idle, VM `vm` breaks ties
/// by a fixed order of its own instead of at random. With random choices it would rarely return to
/// an upstream before the connection there has passed its idle time, and would open a connection
/// for each request.
pub fn choose_with_affinity(
    candidates: &[UpstreamCandidate],
    vm: u32,
    draw: u64,
) -> Result<UpstreamKey, ChoiceError> {
    let taking = || candidates.iter().filter(|candidate| candidate.takes_work());
    let keeps = taking().count() > FEW_UPSTREAMS && mean_load(taking()) < NEARLY_IDLE_MEAN;
    match keeps {
        true => choose_by_own_load(candidates, u64::from(vm)),
        false => choose_by_own_load(candidates, draw),
    }
}

fn mean_load<'a>(candidates: impl Iterator<Item = &'a UpstreamCandidate>) -> f64 {
    let (count, total) =
        candidates.fold((0, 0), |(count, total), candidate| (count + 1, total + candidate.load));
    f64::from(total) / f64::from(count.max(1))
}
