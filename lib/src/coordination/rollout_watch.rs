//! What one VM may send to upstreams of which version, and what it reports of its sends.
//!
//! Invariants: nothing goes to a version under trial unless the leader proved lately that the trial
//! still runs; nothing goes to one that was rolled back; a version that this VM saw for the first time
//! after the last proof waits for the next, since the order that puts it under trial may be on its way.
//! Where all upstreams of a service have one version there is nothing to prove.
//! See `docs/design/rollouts.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::rollout_counts::RolloutCounts;
use super::rollout_evidence::{EvidenceLedger, RolloutArm, RouteKey, RouteSums, TrialOutcome};
use super::rollout_share::{ExposureBound, TrialLedger};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_score;
use crate::state::rollout_order::{RolloutPhase, RolloutRow, RolloutTable, VersionKey};
use crate::state::upstream_list::UpstreamEntry;

/// A proof of what orders there are holds for so long, in milliseconds: four renewals. It is part of
/// the time that a roll-back may take to reach a VM that receives nothing, 5,000 ms on the deployments
/// known.
pub const PROOF_MS: u64 = 1500;

/// What a VM reports to the leader of one order that runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutNote {
    /// The service, hashed as a version is.
    pub service: VersionKey,
    /// The order's number.
    pub number: u64,
    /// The last step that the VM knows.
    pub step: u64,
    /// Its requests in flight at upstreams of other versions than the target.
    pub base_in_flight: u32,
    /// How its sends went since the order.
    pub rows: Vec<RouteSums>,
}

/// A change of an order, for a VM's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutNews {
    /// The service.
    pub service: String,
    /// The target's name.
    pub target: String,
    /// The order's number.
    pub number: u64,
    /// Its phase now.
    pub phase: RolloutPhase,
}

/// Which upstreams a request may go to, beside all that holds without roll-outs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutLane {
    /// Those that its service's traffic goes to.
    Usual,
    /// Those of the target that the trial goes to.
    Trial,
    /// Those that the traffic is being moved away from, since the target's have no room.
    Back,
}

/// Why a request is sent to an upstream of one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendReason {
    /// It isn't one of the trial's.
    Usual,
    /// The target had less than its share of the route's requests at this VM.
    Share,
    /// It is one of those that are handed out at the start, beside the share.
    HeadStart,
    /// The traffic is moved to the target.
    Moved,
}

impl SendReason {
    /// For logs.
    pub fn text(self) -> &'static str {
        match self {
            SendReason::Usual => "it isn't one of the trial's",
            SendReason::Share => "the trial's share of this route isn't used up at this VM",
            SendReason::HeadStart => "it is one of those handed out at the trial's start",
            SendReason::Moved => "the traffic is moved there",
        }
    }
}

/// The order that a send belongs to, to note its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialTag {
    service: String,
    number: u64,
    route: RouteKey,
    /// Which side of the roll-out it is on.
    pub arm: RolloutArm,
    /// Why it goes there.
    pub reason: SendReason,
}

#[derive(Clone, Debug)]
struct RunningTrial {
    ledger: TrialLedger,
    evidence: EvidenceLedger,
}

/// What one VM knows of roll-outs.
#[derive(Clone, Debug, Default)]
pub struct RolloutWatch {
    table: RolloutTable,
    proved_ms: Option<u64>,
    running: HashMap<String, RunningTrial>,
    counts: HashMap<String, RolloutCounts>,
}

impl RolloutWatch {
    /// The orders, as far as this VM received them.
    pub fn table(&self) -> &RolloutTable {
        &self.table
    }

    /// Takes the orders as the leader sent them, unless they are older than what is known; returns
    /// what is new. `seed` is another one in each life of a process.
    pub fn take(
        &mut self,
        table: RolloutTable,
        bound: ExposureBound,
        seed: u64,
    ) -> Vec<RolloutNews> {
        let Some(before) = self.table.take_later(table) else { return Vec::new() };
        let mut news = Vec::new();
        for row in self.table.rows() {
            let (service, number) = (&row.order.service, row.order.number);
            let known = before.row(service).map(|row| (row.order.number, row.phase));
            if known == Some((number, row.phase)) {
                continue;
            }
            let target = row.order.target.clone();
            news.push(RolloutNews { service: service.clone(), target, number, phase: row.phase });
            if known.is_none_or(|(known, _)| known != number) {
                self.counts.insert(service.clone(), RolloutCounts::default());
            }
            let same = self.running.get(service).is_some_and(|run| run.evidence.number == number);
            if row.phase.is_end() {
                self.running.remove(service);
            } else if !same {
                let sharing = self.proved_ms.map(|_| row.order.sharing_vms);
                let ledger = TrialLedger::new(bound, sharing, seed ^ number);
                let evidence = EvidenceLedger::new(number);
                self.running.insert(service.clone(), RunningTrial { ledger, evidence });
            }
        }
        news
    }

    /// What is known was surely all there was at `at_ms`.
    pub fn prove(&mut self, at_ms: u64) {
        self.proved_ms = self.proved_ms.max(Some(at_ms));
    }

    /// When what is known was surely all there was; `None` before the first proof.
    pub fn proved_ms(&self) -> Option<u64> {
        self.proved_ms
    }

    fn is_fresh(&self, now_ms: u64) -> bool {
        self.proved_ms.is_some_and(|proved_ms| proved_ms + PROOF_MS > now_ms)
    }

    fn running_row(&self, service: &str) -> Option<&RolloutRow> {
        self.table.row(service).filter(|row| !row.phase.is_end())
    }

    /// Whether a service's traffic is being moved.
    pub fn is_running(&self, service: &str) -> bool {
        self.running_row(service).is_some()
    }

    /// Where a request on this route goes first.
    pub fn lane(&self, service: &str, route: RouteKey, now_ms: u64) -> RolloutLane {
        let tries = self.running_row(service).is_some_and(|row| row.phase == RolloutPhase::Trial);
        let may_try = || self.running.get(service).is_some_and(|run| run.ledger.may_try(route));
        match tries && self.is_fresh(now_ms) && may_try() {
            true => RolloutLane::Trial,
            false => RolloutLane::Usual,
        }
    }

    /// Whether requests that find no upstream may go back to those that the traffic is moved from.
    pub fn may_go_back(&self, service: &str) -> bool {
        self.running_row(service).is_some_and(|row| row.phase == RolloutPhase::Shift)
    }

    /// Whether versions say nothing of a service: it never got an order, and all its upstreams have the
    /// same. That is so at nearly every choice, and found without a look at when each was seen.
    pub fn is_plain(&self, service: &str, mut versions: impl Iterator<Item = VersionKey>) -> bool {
        let first = versions.next();
        self.table.row(service).is_none() && versions.all(|version| Some(version) == first)
    }

    /// Who of a service's upstreams may get a request; `may_be_tried` selects which upstreams could take
    /// part in a trial, by their zone and health.
    pub fn rule<'a>(
        &self,
        service: &str,
        lane: RolloutLane,
        upstreams: impl Iterator<Item = (&'a UpstreamEntry, u64)> + Clone,
        may_be_tried: impl Fn(&UpstreamEntry) -> bool,
        now_ms: u64,
    ) -> VersionRule {
        let versions = SeenVersions::of(upstreams.clone());
        let mut rule = VersionRule { withheld: versions.unproved(self.proved_ms), only: None };
        let Some(row) = self.table.row(service) else { return rule };
        let target = row.target();
        match (row.phase, lane) {
            (RolloutPhase::Trial, RolloutLane::Trial) => {
                let share = self.running.get(service).map(|run| run.ledger.bound());
                let of_target = upstreams.map(|(entry, _)| entry);
                let of_target = of_target.filter(|entry| entry.version == target);
                let able: Vec<&UpstreamEntry> =
                    of_target.clone().filter(|entry| may_be_tried(entry)).collect();
                rule.only = Some(tried(&able, share, of_target.count(), row.order.number));
            }
            (RolloutPhase::Shift, RolloutLane::Usual | RolloutLane::Trial)
                if self.is_fresh(now_ms) =>
            {
                let others = versions.rows.iter().map(|seen| seen.version);
                rule.withheld.extend(others.filter(|version| *version != target));
            }
            (RolloutPhase::Trial | RolloutPhase::Shift | RolloutPhase::RolledBack, _) => {
                rule.withheld.push(target);
            }
            (RolloutPhase::Complete, _) => {
                let retired = |seen: &&SeenVersion| row.retired.contains(&seen.version);
                let left = versions.rows.iter().any(|seen| !retired(&seen));
                let old = versions.rows.iter().filter(retired).map(|seen| seen.version);
                rule.withheld.extend(old.filter(|_| left));
            }
        }
        rule
    }

    /// A request is sent to an upstream of this version; the tag reports its end to
    /// [`RolloutWatch::note_end`].
    pub fn note_sent(
        &mut self,
        service: &str,
        route: RouteKey,
        version: VersionKey,
    ) -> Option<TrialTag> {
        let row = self.running_row(service)?;
        let (number, phase, target) = (row.order.number, row.phase, row.target());
        let run = self.running.get_mut(service)?;
        let arm = if version == target { RolloutArm::Target } else { RolloutArm::Base };
        let to_target = arm == RolloutArm::Target;
        let within = phase == RolloutPhase::Trial && run.ledger.note_sent(route, to_target);
        let reason = match (to_target, phase) {
            (true, RolloutPhase::Trial) if within => SendReason::Share,
            (true, RolloutPhase::Trial) => SendReason::HeadStart,
            (true, _) => SendReason::Moved,
            (false, _) => SendReason::Usual,
        };
        self.counts.entry(service.to_string()).or_default().side(arm).sent += 1;
        Some(TrialTag { service: service.to_string(), number, route, arm, reason })
    }

    /// A send has ended. True when the leader should hear of it soon.
    pub fn note_end(&mut self, tag: &TrialTag, outcome: &TrialOutcome) -> bool {
        let Some(run) = self.running.get_mut(&tag.service) else { return false };
        if run.evidence.number != tag.number {
            return false;
        }
        run.evidence.note(tag.route, tag.arm, outcome);
        let bad = *outcome == TrialOutcome::Bad;
        if bad {
            self.counts.entry(tag.service.clone()).or_default().side(tag.arm).bad += 1;
        }
        bad && tag.arm == RolloutArm::Target
    }

    /// What to report to the leader; `base_in_flight` counts this VM's requests at a service's upstreams of
    /// other versions than this one.
    pub fn notes(&self, base_in_flight: impl Fn(&str, VersionKey) -> u32) -> Vec<RolloutNote> {
        let rows = self.table.rows().iter().filter(|row| !row.phase.is_end());
        rows.filter_map(|row| {
            let run = self.running.get(&row.order.service)?;
            Some(RolloutNote {
                service: VersionKey::of(&row.order.service),
                number: row.order.number,
                step: row.step,
                base_in_flight: base_in_flight(&row.order.service, row.target()),
                rows: run.evidence.rows(),
            })
        })
        .collect()
    }

    /// For operators: what this VM sent since the last order of a service began, as far as it knew
    /// of it while it ran.
    pub fn counts(&self, service: &str) -> RolloutCounts {
        self.counts.get(service).copied().unwrap_or_default()
    }
}

/// The upstreams that a trial goes to: the same at each VM that knows the same list.
fn tried(
    able: &[&UpstreamEntry],
    bound: Option<ExposureBound>,
    of_target: usize,
    number: u64,
) -> Vec<UpstreamKey> {
    let Some(bound) = bound else { return Vec::new() };
    let mut keys: Vec<UpstreamKey> = able.iter().map(|entry| entry.key()).collect();
    keys.sort_by_cached_key(|key| std::cmp::Reverse(rendezvous_score(number, key.0)));
    keys.truncate(bound.tried_upstreams(of_target));
    keys
}

struct SeenVersion {
    version: VersionKey,
    /// When the first of its upstreams that are there was seen.
    first_ms: u64,
}

struct SeenVersions {
    rows: Vec<SeenVersion>,
}

impl SeenVersions {
    fn of<'a>(upstreams: impl Iterator<Item = (&'a UpstreamEntry, u64)>) -> SeenVersions {
        let mut rows: Vec<SeenVersion> = Vec::new();
        for (entry, first_ms) in upstreams {
            match rows.iter_mut().find(|seen| seen.version == entry.version) {
                Some(seen) => seen.first_ms = seen.first_ms.min(first_ms),
                None => rows.push(SeenVersion { version: entry.version, first_ms }),
            }
        }
        SeenVersions { rows }
    }

    /// Those that came after the last proof, unless there is just one.
    fn unproved(&self, proved_ms: Option<u64>) -> Vec<VersionKey> {
        if self.rows.len() <= 1 {
            return Vec::new();
        }
        let late =
            |seen: &&SeenVersion| proved_ms.is_none_or(|proved_ms| seen.first_ms > proved_ms);
        self.rows.iter().filter(late).map(|seen| seen.version).collect()
    }
}

/// Which upstreams of a service get nothing now, on account of their versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    withheld: Vec<VersionKey>,
    only: Option<Vec<UpstreamKey>>,
}

impl VersionRule {
    /// Whether an upstream gets nothing.
    pub fn withholds(&self, entry: &UpstreamEntry) -> bool {
        match &self.only {
            Some(only) => !only.contains(&entry.key()),
            None => self.withheld.contains(&entry.version),
        }
    }
}
