//! How much likelier what a slice of a roll-out shows is when its target is unsound.
//!
//! Each slice compares both sides of one route over the same time. The odds of all slices are
//! multiplied; a change may have begun with any of them. Invariants: while the target is as sound as the
//! other versions the odds pass `1 / a` in at most `a` of all orders, however often they are looked
//! at, since each factor is at most 1 in the mean then; no single slice counts for more than its time
//! allows ([`MOST_A_SLICE`]), so that one upstream that breaks all it runs at once decides nothing. See
//! `docs/design/rollouts.md`, "Evidence".

use super::rollout_evidence::{ArmSums, LogSums};

/// How many degrees of unsoundness are weighed beside each other.
pub const DEGREES: usize = 3;
/// Logarithms of odds, one for each degree.
pub type DegreeLogs = [f64; DEGREES];

/// The most that the shortest slice adds to the logarithm of the odds.
pub const MOST_A_SLICE: f64 = 3.0;
/// The prior that the target is unsound from the start, if it is at all.
const FROM_START: f64 = 0.4;
/// The prior that it turns so with a later slice, for each length of the shortest: together 0.6 over
/// half a minute.
const FROM_SLICE: f64 = 0.006;

/// The odds that the target is unsound since some slice, for each degree.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeOdds {
    odds: DegreeLogs,
    begun: bool,
}

impl ChangeOdds {
    /// Takes the next slice, which lasted `lengths` times as long as the shortest.
    pub fn take(&mut self, logs: &DegreeLogs, lengths: f64) {
        let prior = if self.begun { FROM_SLICE * lengths } else { FROM_START };
        self.begun = true;
        for (odds, log) in self.odds.iter_mut().zip(logs) {
            *odds = (*odds + prior) * log.min(MOST_A_SLICE * lengths).exp();
        }
    }

    /// The logarithm of the mean over the degrees; below 0 while nothing shows.
    pub fn log(&self) -> f64 {
        (self.odds.iter().sum::<f64>() / DEGREES as f64).max(f64::MIN_POSITIVE).ln()
    }
}

/// Where the line between sound and unsound is drawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoundLimits {
    /// A sound target fails this many times as often as the others at most,
    pub fail_times: f64,
    /// and this part of its answers more.
    pub fail_beside: f64,
    /// How much more an unsound one fails, of those that are left, by degrees.
    pub fail_more: DegreeLogs,
    /// A sound target is this many times slower at most.
    pub slow_times: f64,
    /// How many times slower an unsound one is, by degrees.
    pub slower: DegreeLogs,
    /// How far the logarithms of both sides' times lie apart from slice to slice by the load of the
    /// few upstreams that are tried.
    pub slow_apart: f64,
}

/// While both sides answer at the same time.
pub const BESIDE: SoundLimits = SoundLimits {
    fail_times: 1.5,
    fail_beside: 0.01,
    fail_more: [0.04, 0.15, 0.45],
    slow_times: 1.3,
    slower: [2.0, 3.5, 7.0],
    slow_apart: 0.2,
};
/// After the other side has ended: what it was before is all there is to compare with, and a burst
/// shows in the target alone.
pub const AFTER: SoundLimits = SoundLimits {
    fail_times: 2.0,
    fail_beside: 0.05,
    fail_more: [0.15, 0.3, 0.45],
    slow_times: 2.5,
    slower: [4.0, 6.0, 8.0],
    slow_apart: 0.3,
};

/// What is known of the other versions' failures on a route, or on all together.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureReference {
    whole: (f64, f64),
    recent: (f64, f64),
}

/// What was seen counts so much less with each further slice.
const RECENT_KEPT: f64 = 0.7;
/// Before anything is known one failure in so many answers is taken for granted.
const TAKEN_FOR_GRANTED: f64 = 100.0;
/// All routes together weigh as that many answers of a route;
const SHARED_WEIGHT: f64 = 10.0;
/// the whole weighs as that many of its recent answers.
const RECENT_WEIGHT: f64 = 10.0;

impl FailureReference {
    /// Takes what the other versions answered in a slice.
    pub fn take(&mut self, base: &ArmSums) {
        let (bad, all) = (f64::from(base.bad), f64::from(base.all()));
        self.whole = (self.whole.0 + bad, self.whole.1 + all);
        self.recent = (RECENT_KEPT * self.recent.0 + bad, RECENT_KEPT * self.recent.1 + all);
    }

    /// The part of the answers that fail on all routes together.
    pub fn shared_part(&self) -> f64 {
        (self.whole.0 + 1.0) / (self.whole.1 + TAKEN_FOR_GRANTED)
    }

    /// The part that fails on this route, rather more than less: as a whole, or of late if that is
    /// more, since what hits both sides alike tells nothing of the target.
    pub fn part(&self, shared: f64) -> f64 {
        let (bad, all) = self.whole;
        let whole = (bad + SHARED_WEIGHT * shared) / (all + SHARED_WEIGHT);
        let (bad, all) = self.recent;
        whole.max((bad + RECENT_WEIGHT * whole) / (all + RECENT_WEIGHT))
    }
}

/// The logarithms of the odds by a slice's failures.
pub fn failure_logs(target: &ArmSums, base_part: f64, limits: &SoundLimits) -> DegreeLogs {
    let sound = (limits.fail_times * base_part + limits.fail_beside).min(0.95);
    let (bad, well) = (f64::from(target.bad), f64::from(target.well));
    limits.fail_more.map(|more| {
        let unsound = sound + more * (1.0 - sound);
        bad * (unsound / sound).ln() + well * ((1.0 - unsound) / (1.0 - sound)).ln()
    })
}

/// What is known of the other versions' times on a route.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeReference {
    whole: (f64, f64, f64),
    recent: (f64, f64),
}

/// Before anything is known, times are taken to spread that far, as the variance of their logarithms,
/// and this counts as that many answers.
const VARIANCE_GRANTED: (f64, f64) = (0.36, 10.0);
/// The least variance of the logarithms.
const LEAST_VARIANCE: f64 = 0.06;

/// How far the logarithms of times spread around the means of their routes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeSpread {
    around_means: f64,
    count: f64,
}

impl TimeSpread {
    /// That of one more route beside.
    pub fn with(self, route: &TimeReference) -> TimeSpread {
        let (count, sum, squares) = route.whole;
        let around_mean = (squares - sum * sum / count.max(1.0)).max(0.0);
        TimeSpread {
            around_means: self.around_means + around_mean,
            count: self.count + (count - 1.0).max(0.0),
        }
    }

    /// As a variance, when before anything is known it is taken to be `granted`.
    fn variance(&self, granted: f64) -> f64 {
        let weight = VARIANCE_GRANTED.1;
        let variance = (self.around_means + granted * weight) / (self.count + weight);
        variance.max(LEAST_VARIANCE)
    }

    /// On all routes together.
    pub fn shared_variance(&self) -> f64 {
        self.variance(VARIANCE_GRANTED.0)
    }
}

impl TimeReference {
    /// Takes the times of the other versions in a slice.
    pub fn take(&mut self, base: &LogSums) {
        let (count, sum) = (f64::from(base.count), f64::from(base.sum));
        let squares = f64::from(base.squares);
        let (counts, sums, all_squares) = self.whole;
        self.whole = (counts + count, sums + sum, all_squares + squares);
        if base.count > 0 {
            let (counts, sums) = self.recent;
            self.recent = (RECENT_KEPT * counts + count, RECENT_KEPT * sums + sum);
        }
    }

    /// How many, and the mean of their logarithms, of late.
    fn recent(&self) -> Option<(f64, f64)> {
        let (count, sum) = self.recent;
        (count >= 1.0).then(|| (count, sum / count))
    }
}

/// The logarithms of the odds by a slice's times: of the difference of the means of logarithms,
/// against what it may differ by.
pub fn slow_logs(
    target: &LogSums,
    base: &LogSums,
    reference: &TimeReference,
    shared_variance: f64,
    limits: &SoundLimits,
) -> DegreeLogs {
    let beside = (base.count > 0).then(|| (f64::from(base.count), base.mean()));
    let before = || reference.recent().filter(|_| *limits == AFTER);
    let Some((base_count, base_mean)) = beside.or_else(before) else { return [0.0; DEGREES] };
    if target.count == 0 {
        return [0.0; DEGREES];
    }
    let apart = limits.slow_apart * limits.slow_apart;
    let each = 1.0 / f64::from(target.count) + 1.0 / base_count;
    let spread = TimeSpread::default().with(reference).variance(shared_variance);
    let variance = spread * each + apart;
    let slower = target.mean() - base_mean;
    let sound = limits.slow_times.ln();
    limits.slower.map(|times| {
        let unsound = times.ln();
        (unsound - sound) * (slower - (sound + unsound) / 2.0) / variance
    })
}
