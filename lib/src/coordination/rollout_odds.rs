//! How much likelier what a slice of a roll-out shows is when its target is unsound.
//!
//! Each slice compares both sides of one route over the same time. The odds of all slices are
//! multiplied; a change may have begun with any of them. Invariants: while the target is within the limits
//! of a sound one, each factor is at most 1 in the mean, as far as the others' part is known; so the odds
//! pass `1 / a` in about `a` of all orders at most, however often they are looked at. No slice counts for
//! more than its time allows ([`MAX_SLICE_LOG`]), so that one upstream that breaks all it runs at once
//! doesn't decide by itself. See
//! `docs/design/rollouts.md`, "Evidence".

use super::rollout_evidence::{ArmSums, LogSums};

/// How many degrees of unsoundness are weighed beside each other.
pub const DEGREES: usize = 3;
/// Logarithms of odds, one for each degree.
pub type DegreeLogs = [f64; DEGREES];

/// The most that the shortest slice adds to the logarithm of the odds. With 3 an upstream of two that
/// breaks what it runs and refuses for 0.3 s rolls 14 of 200 sound targets back at most, and few that
/// fail a little are missed for it (`wingshed bench rollouts`; docs/design/rollouts.md has 2 beside it).
pub const MAX_SLICE_LOG: f64 = 3.0;
/// And the most that it adds where the question is only which is likelier: so much less is asked for there that a
/// moment in which an upstream breaks what it runs would decide.
pub const MAX_LIKELY_LOG: f64 = 1.0;
/// The prior that the target is unsound from the start, if it is at all.
const FROM_START: f64 = 0.4;
/// The prior that it turns so with a later slice, for each length of the shortest: together 1 over half
/// a minute, so that an order of that time is found unsound wrongly 1.4 times as often as is asked for
/// at most.
const FROM_SLICE: f64 = 0.01;

/// The odds that the target is unsound since some slice, for each degree.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeOdds {
    odds: DegreeLogs,
    /// All priors that were added.
    prior: f64,
}

impl ChangeOdds {
    /// Takes the next slice, which lasted `lengths` times as long as the shortest and says `most` at most.
    pub fn take(&mut self, logs: &DegreeLogs, lengths: f64, most: f64) {
        let prior = if self.prior > 0.0 { FROM_SLICE * lengths } else { FROM_START };
        self.prior += prior;
        for (odds, log) in self.odds.iter_mut().zip(logs) {
            *odds = (*odds + prior) * log.min(most).exp();
        }
    }

    /// The logarithm of the mean over the degrees; below 0 while nothing shows.
    pub fn log(&self) -> f64 {
        (self.odds.iter().sum::<f64>() / DEGREES as f64).max(f64::MIN_POSITIVE).ln()
    }

    /// The same as a part of all priors: how much likelier what was seen is if the target is unsound, whenever
    /// it may have turned so.
    pub fn likelier_log(&self) -> f64 {
        self.log() - self.prior.max(f64::MIN_POSITIVE).ln()
    }
}

/// Where the line between sound and unsound is drawn for faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FaultLimits {
    /// A sound target has them this many times as often as the others at most,
    pub times: f64,
    /// and with this part of its answers more.
    pub beside: f64,
    /// How much more often an unsound one has them, of the answers that are left, by degrees.
    pub more: DegreeLogs,
}

/// And for times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowLimits {
    /// A sound target is this many times slower at most.
    pub times: f64,
    /// How many times slower an unsound one is, by degrees.
    pub slower: DegreeLogs,
    /// How far the logarithms of both sides' times lie apart from slice to slice by the load of the
    /// few upstreams that are tried.
    pub apart: f64,
}

/// Failures while both sides answer at the same time: breaks now and then are borne.
pub const FAILURES_BESIDE: FaultLimits =
    FaultLimits { times: 1.5, beside: 0.01, more: [0.04, 0.15, 0.45] };
/// Failures after the other side has ended: what it was before is all there is to compare with, and
/// what hits everything shows in the target alone.
pub const FAILURES_AFTER: FaultLimits =
    FaultLimits { times: 2.0, beside: 0.05, more: [0.15, 0.3, 0.45] };
/// Late answers while both sides answer. A target whose few upstreams are a third slower by their load
/// has three times as many; after the others have ended, a burst makes all late, so nothing is said.
pub const LATE_BESIDE: FaultLimits =
    FaultLimits { times: 1.5, beside: 0.03, more: [0.08, 0.2, 0.45] };
/// Times while both sides answer.
pub const SLOW_BESIDE: SlowLimits = SlowLimits { times: 1.3, slower: [2.0, 3.5, 7.0], apart: 0.2 };
/// Times after the other side has ended: a burst that makes all three times as slow is borne.
pub const SLOW_AFTER: SlowLimits = SlowLimits { times: 2.5, slower: [4.0, 6.0, 8.0], apart: 0.3 };
/// No more faults than this part are taken for sound.
const MOST_SOUND: f64 = 0.95;

/// How many of the answers of one side failed, or were late.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultCount {
    /// Those that did.
    pub faulty: f64,
    /// Those and the others.
    pub all: f64,
}

impl FaultCount {
    /// By failures.
    pub fn of_failures(arm: &ArmSums) -> FaultCount {
        FaultCount { faulty: f64::from(arm.bad), all: f64::from(arm.all()) }
    }

    /// By answers that are late.
    pub fn of_late(arm: &ArmSums) -> FaultCount {
        FaultCount { faulty: f64::from(arm.late), all: f64::from(arm.compared) }
    }

    fn kept(self, part: f64, beside: FaultCount) -> FaultCount {
        let (faulty, all) = (part * self.faulty + beside.faulty, part * self.all + beside.all);
        FaultCount { faulty, all }
    }

    /// The part that is faulty, where `weight` answers of which `part` is are known beside.
    fn part(self, part: f64, weight: f64) -> f64 {
        (self.faulty + weight * part) / (self.all + weight)
    }
}

/// What is known of the other versions' failures on a route, or on all together.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultReference {
    whole: FaultCount,
    recent: FaultCount,
}

/// What was seen counts so much less with each further slice.
const RECENT_KEPT: f64 = 0.7;
/// Before anything is known one failure in so many answers is taken for granted.
const TAKEN_FOR_GRANTED: f64 = 50.0;
/// All routes together weigh as that many answers of a route;
const SHARED_WEIGHT: f64 = 10.0;
/// the whole weighs as that many of its recent answers.
const RECENT_WEIGHT: f64 = 10.0;

impl FaultReference {
    /// Takes what the other versions answered in a slice.
    pub fn take(&mut self, base: FaultCount) {
        self.whole = self.whole.kept(1.0, base);
        self.recent = self.recent.kept(RECENT_KEPT, base);
    }

    /// The part of the answers that are faulty on all routes together.
    pub fn shared_part(&self) -> f64 {
        self.whole.part(1.0 / TAKEN_FOR_GRANTED, TAKEN_FOR_GRANTED)
    }

    /// The part that is faulty on this route, rather more than less: as a whole, or of late if that
    /// is more, since what hits both sides alike is no evidence against the target.
    pub fn part(&self, shared: f64) -> f64 {
        let whole = self.whole.part(shared, SHARED_WEIGHT);
        whole.max(self.recent.part(whole, RECENT_WEIGHT))
    }
}

/// The logarithms of the odds by a slice's faults; `base_part` of the others' answers have them.
pub fn fault_logs(target: FaultCount, base_part: f64, limits: &FaultLimits) -> DegreeLogs {
    let sound = (limits.times * base_part + limits.beside).min(MOST_SOUND);
    let (faulty, good) = (target.faulty, target.all - target.faulty);
    limits.more.map(|more| {
        let unsound = sound + more * (1.0 - sound);
        faulty * (unsound / sound).ln() + good * ((1.0 - unsound) / (1.0 - sound)).ln()
    })
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

/// What is known of the other versions' times on a route.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimeReference {
    whole: (f64, f64, f64),
    recent: (f64, f64),
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
/// against what it may differ by. Where the others gave no answer beside, what they did before stands
/// in if `else_before`.
pub fn slow_logs(
    (target, base): (&LogSums, &LogSums),
    reference: &TimeReference,
    shared_variance: f64,
    limits: &SlowLimits,
    else_before: bool,
) -> DegreeLogs {
    let beside = (base.count > 0).then(|| (f64::from(base.count), base.mean()));
    let before = || reference.recent().filter(|_| else_before);
    let Some((base_count, base_mean)) = beside.or_else(before) else { return [0.0; DEGREES] };
    if target.count == 0 {
        return [0.0; DEGREES];
    }
    let each = 1.0 / f64::from(target.count) + 1.0 / base_count;
    let spread = TimeSpread::default().with(reference).variance(shared_variance);
    let variance = spread * each + limits.apart * limits.apart;
    let slower = target.mean() - base_mean;
    let sound = limits.times.ln();
    limits.slower.map(|times| {
        let unsound = times.ln();
        (unsound - sound) * (slower - (sound + unsound) / 2.0) / variance
    })
}
