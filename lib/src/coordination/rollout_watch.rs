//! Decides which versions of a service's upstreams one VM may send requests to, and collects the
//! outcomes that it reports.
//!
//! The VM has a copy of the leader's table of orders. A proof is a grant of the leader that
//! confirms that this copy was complete when the VM sent the renewal that the grant answers.
//!
//! Invariants: a version under trial gets requests only while a recent proof confirms that the
//! trial still runs; a version that was rolled back gets none; a version that this VM first saw
//! after the last proof waits for the next proof, because the order that puts it under trial may
//! not have arrived yet. A service whose upstreams all have one version needs no proof. See
//! `docs/design/rollouts.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::rollout_counts::RolloutCounts;
use super::rollout_evidence::{EvidenceLedger, RolloutArm, RouteKey, RouteSums, TrialOutcome};
use super::rollout_share::{ExposureBound, TrialLedger};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_score;
use crate::state::rollout_order::{RolloutPhase, RolloutRow, RolloutTable, VersionKey};
use crate::state::upstream_list::UpstreamEntry;

/// How long a proof stays valid, in milliseconds: four renewals. A VM that receives nothing sends
/// to a rolled-back version until its proof expires, so this is part of the time that a roll-back
/// may take, which is 5,000 ms on the known deployments.
pub const PROOF_VALID_MS: u64 = 1500;

/// A VM's report to the leader on one running order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The hash of the service's name, made like the key of a version.
    pub service: VersionKey,
    /// The order's number within its service.
    pub number: u64,
    /// The last step of the order that the VM received.
    pub step: u64,
    /// The number of its requests in flight at upstreams of other versions than the target.
    pub base_in_flight: u32,
    /// The outcomes of its requests since the order, by route.
    pub rows: Vec<RouteSums>,
}

/// A change of an order's phase, for a VM's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PhaseChange {
    /// The service.
    pub service: String,
    /// The name of the target version.
    pub target: String,
    /// The order's number.
    pub number: u64,
    /// The new phase.
    pub phase: RolloutPhase,
}

/// The group of upstreams that a request may be sent to during a roll-out. Rules that don't depend
/// on versions apply in addition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutLane {
    /// The upstreams that the service's regular traffic goes to.
    Usual,
    /// The upstreams of the target that take part in the trial.
    Trial,
    /// The upstreams that the traffic is being moved away from, used while those of the target have
    /// no capacity.
    Fallback,
}

/// The reason for sending a request to an upstream of one side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendReason {
    /// The request is regular traffic, not part of the trial.
    Usual,
    /// The target had less than its share of this VM's requests on the route.
    Share,
    /// The request belongs to the head start: the requests that the target gets at the start in
    /// addition to its share.
    HeadStart,
    /// The service's traffic is being moved to the target.
    Moved,
}

impl SendReason {
    /// Returns the reason as text for the log.
    pub fn text(self) -> &'static str {
        match self {
            SendReason::Usual => "it isn't part of the trial",
            SendReason::Share => "the trial's share of this route isn't used up at this VM",
            SendReason::HeadStart => "it is part of the trial's head start",
            SendReason::Moved => "the traffic is being moved there",
        }
    }
}

/// Assigns a request to an order, a route and a side, so that its outcome can be counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialTag {
    service: String,
    number: u64,
    route: RouteKey,
    /// The side of the roll-out that the upstream belongs to.
    pub arm: RolloutArm,
    /// The reason for sending the request there.
    pub reason: SendReason,
}

/// The counts of one running order.
#[derive(Clone, Debug)]
struct RunningTrial {
    ledger: TrialLedger,
    evidence: EvidenceLedger,
}

/// One VM's copy of the table of orders, and its counts for the running ones.
#[derive(Clone, Debug, Default)]
pub struct RolloutTracker {
    table: RolloutTable,
    proved_ms: Option<u64>,
    running: HashMap<String, RunningTrial>,
    counts: HashMap<String, RolloutCounts>,
}

impl RolloutTracker {
    /// Returns the orders that this VM received.
    pub fn table(&self) -> &RolloutTable {
        &self.table
    }

    /// Replaces the table by the one that the leader sent, unless that is older, and returns the
    /// changes of phases. `seed` differs between the incarnations of a process.
    pub fn take(
        &mut self,
        table: RolloutTable,
        bound: ExposureBound,
        seed: u64,
    ) -> Vec<PhaseChange> {
        let Some(before) = self.table.take_later(table) else { return Vec::new() };
        let mut changes = Vec::new();
        for row in self.table.rows() {
            let (service, number) = (&row.order.service, row.order.number);
            let known = before.row(service).map(|row| (row.order.number, row.phase));
            if known == Some((number, row.phase)) {
                continue;
            }
            let target = row.order.target.clone();
            changes.push(PhaseChange {
                service: service.clone(),
                target,
                number,
                phase: row.phase,
            });
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
        changes
    }

    /// Notes that the table was complete at `at_ms`.
    pub fn prove(&mut self, at_ms: u64) {
        self.proved_ms = self.proved_ms.max(Some(at_ms));
    }

    /// Returns the time at which the table was last proved complete, or `None` before the first
    /// proof.
    pub fn proved_ms(&self) -> Option<u64> {
        self.proved_ms
    }

    /// Returns whether the last proof is still valid.
    fn is_fresh(&self, now_ms: u64) -> bool {
        self.proved_ms.is_some_and(|proved_ms| proved_ms + PROOF_VALID_MS > now_ms)
    }

    /// Returns the row of the service's order if it hasn't ended.
    fn running_row(&self, service: &str) -> Option<&RolloutRow> {
        self.table.row(service).filter(|row| !row.phase.is_end())
    }

    /// Returns whether an order of the service is in progress.
    pub fn is_running(&self, service: &str) -> bool {
        self.running_row(service).is_some()
    }

    /// Returns the group of upstreams to try first for a request on this route.
    pub fn lane(&self, service: &str, route: RouteKey, now_ms: u64) -> RolloutLane {
        let in_trial =
            self.running_row(service).is_some_and(|row| row.phase == RolloutPhase::Trial);
        let may_try =
            || self.running.get(service).is_some_and(|run| run.ledger.may_send_to_target(route));
        match in_trial && self.is_fresh(now_ms) && may_try() {
            true => RolloutLane::Trial,
            false => RolloutLane::Usual,
        }
    }

    /// Returns whether a request that finds no available upstream may be sent to the upstreams that
    /// the traffic is being moved away from.
    pub fn may_fall_back(&self, service: &str) -> bool {
        self.running_row(service).is_some_and(|row| row.phase == RolloutPhase::Shift)
    }

    /// Returns whether versions are irrelevant for a service: it never had an order, and all its
    /// upstreams have the same version. This holds for nearly every choice, and is cheaper to check
    /// than the times at which versions were first seen.
    pub fn is_plain(&self, service: &str, mut versions: impl Iterator<Item = VersionKey>) -> bool {
        let first = versions.next();
        self.table.row(service).is_none() && versions.all(|version| Some(version) == first)
    }

    /// Returns the rule that selects the upstreams of a service by version. `upstreams` has each
    /// upstream with the time at which it was first seen; `is_eligible` returns whether its zone
    /// and health allow it to take part in a trial.
    pub fn rule<'a>(
        &self,
        service: &str,
        lane: RolloutLane,
        upstreams: impl Iterator<Item = (&'a UpstreamEntry, u64)> + Clone,
        is_eligible: impl Fn(&UpstreamEntry) -> bool,
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
                let eligible: Vec<&UpstreamEntry> =
                    of_target.clone().filter(|entry| is_eligible(entry)).collect();
                rule.only =
                    Some(trial_upstreams(&eligible, share, of_target.count(), row.order.number));
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

    /// Counts a request that is sent to an upstream of this version. The returned tag is passed to
    /// [`RolloutTracker::note_end`] when the request ends.
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

    /// Counts the outcome of a request. Returns true if the leader should get a report soon,
    /// because the target failed.
    pub fn note_end(&mut self, tag: &TrialTag, outcome: &TrialOutcome) -> bool {
        let Some(run) = self.running.get_mut(&tag.service) else { return false };
        if run.evidence.number != tag.number {
            return false;
        }
        run.evidence.note(tag.route, tag.arm, outcome);
        let bad = *outcome == TrialOutcome::Failure;
        if bad {
            self.counts.entry(tag.service.clone()).or_default().side(tag.arm).bad += 1;
        }
        bad && tag.arm == RolloutArm::Target
    }

    /// Returns the reports to the leader. `base_in_flight` returns the number of this VM's requests
    /// in flight at the service's upstreams of other versions than the given one.
    pub fn reports(&self, base_in_flight: impl Fn(&str, VersionKey) -> u32) -> Vec<RolloutReport> {
        let rows = self.table.rows().iter().filter(|row| !row.phase.is_end());
        rows.filter_map(|row| {
            let run = self.running.get(&row.order.service)?;
            Some(RolloutReport {
                service: VersionKey::of(&row.order.service),
                number: row.order.number,
                step: row.step,
                base_in_flight: base_in_flight(&row.order.service, row.target()),
                rows: run.evidence.rows(),
            })
        })
        .collect()
    }

    /// Returns the counts of this VM since the last order of a service began, for operators. They
    /// include only the time in which this VM had the order and it was running.
    pub fn counts(&self, service: &str) -> RolloutCounts {
        self.counts.get(service).copied().unwrap_or_default()
    }
}

/// Selects the upstreams that take part in a trial. All VMs with the same list select the same
/// ones.
fn trial_upstreams(
    eligible: &[&UpstreamEntry],
    bound: Option<ExposureBound>,
    of_target: usize,
    number: u64,
) -> Vec<UpstreamKey> {
    let Some(bound) = bound else { return Vec::new() };
    let mut keys: Vec<UpstreamKey> = eligible.iter().map(|entry| entry.key()).collect();
    keys.sort_by_cached_key(|key| std::cmp::Reverse(rendezvous_score(number, key.0)));
    keys.truncate(bound.trial_upstream_count(of_target));
    keys
}

/// A version of a service's upstreams.
struct SeenVersion {
    version: VersionKey,
    /// When the first of its current upstreams was seen, in milliseconds.
    first_ms: u64,
}

/// The versions of all upstreams of a service.
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

    /// Returns the versions first seen after the last proof, or none if there is only one version.
    fn unproved(&self, proved_ms: Option<u64>) -> Vec<VersionKey> {
        if self.rows.len() <= 1 {
            return Vec::new();
        }
        let late =
            |seen: &&SeenVersion| proved_ms.is_none_or(|proved_ms| seen.first_ms > proved_ms);
        self.rows.iter().filter(late).map(|seen| seen.version).collect()
    }
}

/// Selects the upstreams of a service that get no requests because of their version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRule {
    /// The versions whose upstreams get no requests; unused if `only` is set.
    withheld: Vec<VersionKey>,
    /// The only upstreams that may get requests, if set.
    only: Option<Vec<UpstreamKey>>,
}

impl VersionRule {
    /// Returns whether an upstream gets no requests.
    pub fn withholds(&self, entry: &UpstreamEntry) -> bool {
        match &self.only {
            Some(only) => !only.contains(&entry.key()),
            None => self.withheld.contains(&entry.version),
        }
    }
}
