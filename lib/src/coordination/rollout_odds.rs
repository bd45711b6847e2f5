//! Likelihood ratios of the evidence: how much more likely a slice of a roll-out is if its target
//! is unsound.
//!
//! Each slice compares both sides of one route over the same period. The odds of all slices are
//! multiplied, and a version may become unsound with any slice. Invariants: while the target is
//! within the limits of a sound version, the mean of each factor is at most 1, as far as the
//! failure rate of the other versions is known; so the odds exceed `1 / a` in at most about `a` of
//! all orders, however often they are checked. The contribution of a slice is limited by its length
//! ([`MAX_SLICE_LOG`]), so that one upstream that breaks all its requests at once doesn't decide
//! alone. See `docs/design/rollouts.md`, "Evidence".

use super::rollout_evidence::{ArmSums, LogSums};

/// The number of degrees of unsoundness that are tested in parallel.
pub const DEGREES: usize = 3;
/// Logarithms of odds, one per degree.
pub type DegreeLogs = [f64; DEGREES];

/// The maximum that a slice of the shortest length adds to the logarithm of the odds. With 3, an
/// upstream out of two that breaks its requests and refuses others for 0.3 s causes at most 14 of
/// 200 sound targets to be rolled back, and few targets with slightly more failures are missed
/// (`wingshed bench rollouts`; `docs/design/rollouts.md` compares it with 2).
pub const MAX_SLICE_LOG: f64 = 3.0;
/// The maximum that a slice adds in the check before traffic is moved, which replaces
/// [`MAX_SLICE_LOG`] there. That check has a much lower threshold, so with a higher limit
/// a single moment in which an upstream breaks its requests would decide.
pub const MAX_LIKELY_LOG: f64 = 1.0;
/// The prior probability that an unsound target is unsound from the start.
const START_PRIOR: f64 = 0.4;
/// The prior that the target becomes unsound in a later slice, per slice of the shortest length.
/// Over half a minute these priors add up to 1, so with the prior of the start an order of that
/// length is wrongly found unsound at most 1.4 times as often as the accepted rate.
const SLICE_PRIOR: f64 = 0.01;

/// The odds that the target has been unsound since any of the slices, for each degree.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeOdds {
    odds: DegreeLogs,
    /// The sum of the priors added so far.
    prior: f64,
}

impl ChangeOdds {
    /// Updates the odds by the next slice. `lengths` is its length in multiples of the shortest;
    /// `most` limits the logarithm that it adds.
    pub fn take(&mut self, logs: &DegreeLogs, lengths: f64, most: f64) {
        let prior = if self.prior > 0.0 { SLICE_PRIOR * lengths } else { START_PRIOR };
        self.prior += prior;
        for (odds, log) in self.odds.iter_mut().zip(logs) {
            *odds = (*odds + prior) * log.min(most).exp();
        }
    }

    /// Returns the logarithm of the mean over the degrees. It is below 0 while the evidence doesn't
    /// point to an unsound target.
    pub fn log(&self) -> f64 {
        (self.odds.iter().sum::<f64>() / DEGREES as f64).max(f64::MIN_POSITIVE).ln()
    }

    /// Returns the same logarithm relative to the sum of the priors: how much more likely the
    /// evidence is if the target is unsound, whenever it may have become so.
    pub fn likelier_log(&self) -> f64 {
        self.log() - self.prior.max(f64::MIN_POSITIVE).ln()
    }
}

/// The boundary between sound and unsound targets for faults, which are failures or late answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultLimits {
    /// The highest rate of faults of a sound target, as a multiple of the rate of the other
    /// versions.
    pub times: f64,
    /// The additional share of its answers that a sound target may have as faults.
    pub margin: f64,
    /// The additional rate of faults of an unsound target, as a share of the remaining answers, by
    /// degree.
    pub more: DegreeLogs,
}

/// The boundary between sound and unsound targets for times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowLimits {
    /// How many times slower a sound target may be.
    pub times: f64,
    /// How many times slower an unsound target is, by degree.
    pub slower: DegreeLogs,
    /// The standard deviation, from slice to slice, of the difference between the logarithms of
    /// both sides' times. It arises from the load of the few upstreams in the trial.
    pub deviation: f64,
}

/// The limits for failures while both sides answer over the same period. Occasional broken
/// connections are tolerated.
pub const FAILURES_DURING: FaultLimits =
    FaultLimits { times: 1.5, margin: 0.01, more: [0.04, 0.15, 0.45] };
/// The limits for failures after the other side has stopped answering. Only its earlier answers are
/// left to compare with, and an incident that affects all versions shows in the target alone.
pub const FAILURES_AFTER: FaultLimits =
    FaultLimits { times: 2.0, margin: 0.05, more: [0.15, 0.3, 0.45] };
/// The limits for late answers while both sides answer. A target whose few upstreams are a third
/// slower because of their load has three times as many late answers. After the other side has
/// stopped answering, late answers aren't evaluated, because a burst makes all answers late.
pub const LATE_DURING: FaultLimits =
    FaultLimits { times: 1.5, margin: 0.03, more: [0.08, 0.2, 0.45] };
/// The limits for times while both sides answer.
pub const SLOW_DURING: SlowLimits =
    SlowLimits { times: 1.3, slower: [2.0, 3.5, 7.0], deviation: 0.2 };
/// The limits for times after the other side has stopped answering. A burst that makes all answers
/// three times as slow is tolerated.
pub const SLOW_AFTER: SlowLimits =
    SlowLimits { times: 2.5, slower: [4.0, 6.0, 8.0], deviation: 0.3 };
/// The upper bound of the rate of faults of a sound target.
const MAX_SOUND_RATE: f64 = 0.95;

/// The number of faults among the answers of one side.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCount {
    /// The number of faulty answers.
    pub faulty: f64,
    /// The number of all answers.
    pub all: f64,
}

impl FaultCount {
    /// Counts the failures of one side.
    pub fn of_failures(arm: &ArmSums) -> FaultCount {
        FaultCount { faulty: f64::from(arm.bad), all: f64::from(arm.all()) }
    }

    /// Counts the late answers of one side.
    pub fn of_late(arm: &ArmSums) -> FaultCount {
        FaultCount { faulty: f64::from(arm.late), all: f64::from(arm.compared) }
    }

    /// Returns these counts multiplied by `part`, plus the counts `beside`.
    fn plus_decayed(self, part: f64, beside: FaultCount) -> FaultCount {
        let (faulty, all) = (part * self.faulty + beside.faulty, part * self.all + beside.all);
        FaultCount { faulty, all }
    }

    /// Returns the rate of faults after adding `weight` assumed answers whose rate of faults is
    /// `part`.
    fn part(self, part: f64, weight: f64) -> f64 {
        (self.faulty + weight * part) / (self.all + weight)
    }
}

/// The rate of faults of the other versions, on one route or on all routes together.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultReference {
    whole: FaultCount,
    recent: FaultCount,
}

/// The factor by which recent counts are multiplied in each slice.
const RECENT_DECAY: f64 = 0.7;
/// The number of assumed answers, one of them faulty, before any answer is counted.
const ASSUMED_ANSWERS: f64 = 50.0;
/// The weight of the rate over all routes in that of one route, in answers.
const SHARED_WEIGHT: f64 = 10.0;
/// The weight of the overall rate of a route in its recent rate, in answers.
const RECENT_WEIGHT: f64 = 10.0;

impl FaultReference {
    /// Adds the answers of the other versions in a slice.
    pub fn take(&mut self, base: FaultCount) {
        self.whole = self.whole.plus_decayed(1.0, base);
        self.recent = self.recent.plus_decayed(RECENT_DECAY, base);
    }

    /// Returns the rate of faults over all routes together.
    pub fn shared_part(&self) -> f64 {
        self.whole.part(1.0 / ASSUMED_ANSWERS, ASSUMED_ANSWERS)
    }

    /// Returns an upper estimate of the rate of faults on this route: the higher of the overall and
    /// the recent rate, because an incident that affects both sides equally is no evidence against
    /// the target.
    pub fn part(&self, shared: f64) -> f64 {
        let whole = self.whole.part(shared, SHARED_WEIGHT);
        whole.max(self.recent.part(whole, RECENT_WEIGHT))
    }
}

/// Returns the logarithms of the odds that follow from the faults of a slice. `base_part` is the
/// rate of faults of the other versions.
pub fn fault_logs(target: FaultCount, base_part: f64, limits: &FaultLimits) -> DegreeLogs {
    let sound = (limits.times * base_part + limits.margin).min(MAX_SOUND_RATE);
    let (faulty, good) = (target.faulty, target.all - target.faulty);
    limits.more.map(|more| {
        let unsound = sound + more * (1.0 - sound);
        faulty * (unsound / sound).ln() + good * ((1.0 - unsound) / (1.0 - sound)).ln()
    })
}

/// The assumed variance of the logarithms of times, and the number of answers that the assumption
/// counts for.
const ASSUMED_VARIANCE: (f64, f64) = (0.36, 10.0);
/// The minimum variance of the logarithms.
const MIN_VARIANCE: f64 = 0.06;

/// The spread of the logarithms of times around the means of their routes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeSpread {
    around_means: f64,
    count: f64,
}

impl TimeSpread {
    /// Adds the times of one more route.
    pub fn with(self, route: &TimeReference) -> TimeSpread {
        let (count, sum, squares) = route.whole;
        let around_mean = (squares - sum * sum / count.max(1.0)).max(0.0);
        TimeSpread {
            around_means: self.around_means + around_mean,
            count: self.count + (count - 1.0).max(0.0),
        }
    }

    /// Returns the variance, with `assumed` as the assumed variance before any time is counted.
    fn variance(&self, assumed: f64) -> f64 {
        let weight = ASSUMED_VARIANCE.1;
        let variance = (self.around_means + assumed * weight) / (self.count + weight);
        variance.max(MIN_VARIANCE)
    }

    /// Returns the variance over all routes together.
    pub fn shared_variance(&self) -> f64 {
        self.variance(ASSUMED_VARIANCE.0)
    }
}

/// The times of the other versions on a route. `whole` has the count, the sum and the sum of the
/// squares of their logarithms, `recent` the decayed count and sum.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeReference {
    whole: (f64, f64, f64),
    recent: (f64, f64),
}

impl TimeReference {
    /// Adds the times of the other versions in a slice.
    pub fn take(&mut self, base: &LogSums) {
        let (count, sum) = (f64::from(base.count), f64::from(base.sum));
        let squares = f64::from(base.squares);
        let (counts, sums, all_squares) = self.whole;
        self.whole = (counts + count, sums + sum, all_squares + squares);
        if base.count > 0 {
            let (counts, sums) = self.recent;
            self.recent = (RECENT_DECAY * counts + count, RECENT_DECAY * sums + sum);
        }
    }

    /// Returns the recent count and the mean of the recent logarithms, if there are any.
    fn recent(&self) -> Option<(f64, f64)> {
        let (count, sum) = self.recent;
        (count >= 1.0).then(|| (count, sum / count))
    }
}

/// Returns the logarithms of the odds that follow from the times of a slice: from the difference
/// between the means of the logarithms of both sides and its expected variance. If the other
/// versions gave no answer in the slice, their earlier times are used instead if `use_earlier` is
/// set.
pub fn slow_logs(
    (target, base): (&LogSums, &LogSums),
    reference: &TimeReference,
    shared_variance: f64,
    limits: &SlowLimits,
    use_earlier: bool,
) -> DegreeLogs {
    let beside = (base.count > 0).then(|| (f64::from(base.count), base.mean()));
    let before = || reference.recent().filter(|_| use_earlier);
    let Some((base_count, base_mean)) = beside.or_else(before) else { return [0.0; DEGREES] };
    if target.count == 0 {
        return [0.0; DEGREES];
    }
    let each = 1.0 / f64::from(target.count) + 1.0 / base_count;
    let spread = TimeSpread::default().with(reference).variance(shared_variance);
    let variance = spread * each + limits.deviation * limits.deviation;
    let slower = target.mean() - base_mean;
    let sound = limits.times.ln();
    limits.slower.map(|times| {
        let unsound = times.ln();
        (unsound - sound) * (slower - (sound + unsound) / 2.0) / variance
    })
}
