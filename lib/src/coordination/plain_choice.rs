//! Which plain upstream takes a request.
//!
//! Loads are reported every [`RENEW_MS`]. Where requests stay at an upstream for longer than that, the least
//! loaded as reported takes the next one. Where they take some ten milliseconds, a report is long over
//! when it is heard, and all VMs that go by it send to the same upstream, which then rejects while
//! others rest; there a VM goes by what it has in flight itself, and by its zone. It finds out which
//! is so by what requests take. See `docs/design/shifted-work.md`.

use super::upstream_candidate::{no_choice, usable, ChoiceFault, UpstreamCandidate};
use super::upstream_load::NEARLY_IDLE_MEAN;
use super::vm_roster::{MANY_VMS, RENEW_MS};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_score;

/// How fast the time that requests stay is learned, by request.
const HOLD_WEIGHT: f64 = 0.05;

/// How long requests stay at the upstreams of a service, as one VM sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainHold {
    /// In milliseconds; 0 before there was any.
    mean_ms: f64,
}

impl PlainHold {
    /// A request was there for so long.
    pub fn note(&mut self, held_ms: u64) {
        let held_ms = held_ms as f64;
        match self.mean_ms > 0.0 {
            true => self.mean_ms += HOLD_WEIGHT * (held_ms - self.mean_ms),
            false => self.mean_ms = held_ms,
        }
    }

    /// The mean, in milliseconds; 0 before there was any.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }

    /// Whether reported loads say something of the present.
    pub fn outlasts_news(&self) -> bool {
        self.mean_ms > RENEW_MS as f64
    }
}

/// From [`MANY_VMS`] on a request that stays long goes to the less loaded of so many that are drawn:
/// the least loaded of all, as reported, is the one to which every VM sends until the next report. Fewer
/// VMs know most of it by themselves.
const PLAIN_CHOICES: usize = 2;

/// Of how many plain upstreams, drawn at random, one of `vms` VMs takes the least loaded.
pub fn plain_choices(vms: usize) -> usize {
    match vms < MANY_VMS {
        true => usize::MAX,
        false => PLAIN_CHOICES,
    }
}

/// The least loaded, as reported, of `choices` that `draw` names; the near one of equals.
pub fn choose_plain(
    candidates: &[UpstreamCandidate],
    choices: usize,
    draw: u64,
) -> Result<UpstreamKey, ChoiceFault> {
    let usable = usable(candidates);
    let taking = || usable.iter().filter(|candidate| candidate.takes_work());
    let mut drawn: Vec<_> = taking().filter(|candidate| !candidate.full).collect();
    drawn.sort_by_cached_key(|candidate| rendezvous_score(draw, candidate.key.0));
    drawn.truncate(choices);
    let best = drawn.into_iter().min_by_key(|candidate| (candidate.load, !candidate.near));
    best.map(|candidate| candidate.key).ok_or_else(|| no_choice(taking().count(), candidates))
}

/// An upstream above twice the mean of all and this many more, as reported, is left to others.
const CROWDED_ABOVE: f64 = 4.0;

/// The one at which this VM has least in flight; of equals one that isn't crowded, then one in its
/// zone, then one that is drawn.
pub fn choose_by_own(
    candidates: &[UpstreamCandidate],
    draw: u64,
) -> Result<UpstreamKey, ChoiceFault> {
    let usable = usable(candidates);
    let taking = || usable.iter().filter(|candidate| candidate.takes_work() && !candidate.full);
    let mean = mean_load(taking().copied());
    let crowded = |c: &UpstreamCandidate| f64::from(c.load) > 2.0 * mean + CROWDED_ABOVE;
    let best = taking().min_by_key(|candidate| {
        let drawn = rendezvous_score(draw, candidate.key.0);
        (candidate.own, crowded(candidate), !candidate.near, drawn)
    });
    best.map(|candidate| candidate.key).ok_or_else(|| no_choice(taking().count(), candidates))
}

/// So many upstreams a VM meets again soon whichever of them it takes.
const FEW_UPSTREAMS: usize = 8;

/// The same, but of many upstreams that are nearly idle VM `vm` takes the first of an order of its own
/// in place of one that is drawn. It would hardly meet one again before the connection there has
/// rested for its time, and would open one for each request.
pub fn choose_kept(
    candidates: &[UpstreamCandidate],
    vm: u32,
    draw: u64,
) -> Result<UpstreamKey, ChoiceFault> {
    let taking = || candidates.iter().filter(|candidate| candidate.takes_work());
    let keeps = taking().count() > FEW_UPSTREAMS && mean_load(taking()) < NEARLY_IDLE_MEAN;
    match keeps {
        true => choose_by_own(candidates, u64::from(vm)),
        false => choose_by_own(candidates, draw),
    }
}

fn mean_load<'a>(candidates: impl Iterator<Item = &'a UpstreamCandidate>) -> f64 {
    let (count, total) =
        candidates.fold((0, 0), |(count, total), candidate| (count + 1, total + candidate.load));
    f64::from(total) / f64::from(count.max(1))
}
