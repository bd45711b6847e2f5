//! Selects the upstream for a request from the loads, faults and notices that this VM has of each
//! upstream, and from the capacity that is left.

use super::vm_node::VmNode;
use super::vm_task::{CallerTask, DEFAULT_RETRY_MS};
use crate::coordination::engine_room::{CapacityRequest, ReportedLoad, ServiceCapacity};
use crate::coordination::plain_choice::{choose_plain, choose_with_affinity, drawn_upstreams};
use crate::coordination::rollout_watch::RolloutLane;
use crate::coordination::upstream_candidate::{
    earliest_retry, CandidateSet, ChoiceError, UpstreamCandidate,
};
use crate::coordination::upstream_choice::{choose_engine, EngineRules, UpstreamPick};
use crate::state::ids::{ServiceKey, UpstreamKey};
use crate::state::rollout_order::VersionKey;
use crate::state::route_table::{pick_share, RouteRule, ServiceEntry};
use crate::state::upstream_list::{EntryDefect, UpstreamEntry};

/// A service counts as overloaded when the mean load of its engines reaches this share of the bound on
/// an engine's load. VMs then report loads more often.
const OVERLOAD_SHARE: f64 = 0.75;
/// When at least this share of a service's engines is held back, VMs report loads as often as under
/// overload: the mean load of the remaining engines is then closer to the limit, which is derived
/// from the mean of all engines.
const WITHHELD_OVERLOAD_SHARE: f64 = 0.1;
/// The maximum age of a grant, in milliseconds, at which its list of upstreams that fail at all VMs is
/// still followed. An older list would keep every VM from trying these upstreams again.
const FAILING_MAX_AGE_MS: u64 = 1000;
/// The maximum number of engines, first in a prompt's rendezvous order, that the prompt is sent to while
/// the service is overloaded. Each further engine would compute or fetch the shared parts of the prompt
/// again and evict other parts from its cache.
const OVERLOADED_MAX_ENGINES: usize = 3;

impl CallerTask {
    /// Chooses the service: that of the stream if it has begun. `None` if the route has none for it.
    pub(super) fn choose_service(&self, rule: &RouteRule) -> Option<usize> {
        let Some(origin) = self.origin.get() else {
            return pick_share(&rule.shares, self.draw);
        };
        let mut shares = rule.shares.iter().filter(|share| share.weight > 0.0);
        let share = shares.find(|share| ServiceKey::of(&share.name) == origin.service)?;
        share.service
    }

    /// Chooses an upstream. `demand` describes the request to the capacity check; without it the request
    /// is placed even if all upstreams are full.
    pub(super) fn choose(
        &self,
        service: &ServiceEntry,
        rule: &RouteRule,
        demand: Option<&CapacityRequest>,
        tried: &[UpstreamKey],
    ) -> Result<UpstreamPick, ChoiceError> {
        let begins_stream = rule.kind.may_be_resumed() && self.origin.get().is_none();
        let new = if begins_stream { self.node.new_versions(&service.name) } else { Vec::new() };
        if !new.is_empty() {
            // VMs that don't know of the new version yet would resume the stream at another one.
            if let Ok(pick) = self.choose_lane(service, rule, demand, tried, &new) {
                return Ok(pick);
            }
        }
        self.choose_lane(service, rule, demand, tried, &[])
    }

    /// Chooses among the upstreams of all versions but those in `excluded`.
    fn choose_lane(
        &self,
        service: &ServiceEntry,
        rule: &RouteRule,
        demand: Option<&CapacityRequest>,
        tried: &[UpstreamKey],
        excluded: &[VersionKey],
    ) -> Result<UpstreamPick, ChoiceError> {
        let choose_in = |lane| self.choose_in_lane(lane, service, rule, demand, tried, excluded);
        let chooses_lane = tried.is_empty() || self.origin.get().is_some();
        let lane = self.node.rollout_lane(&service.name, rule, chooses_lane);
        if lane == RolloutLane::Trial {
            if let Ok(pick) = choose_in(lane) {
                return Ok(pick);
            }
        }
        match choose_in(RolloutLane::Usual) {
            Err(fault) if self.node.may_fall_back(&service.name) => {
                choose_in(RolloutLane::Fallback).map_err(|_| fault)
            }
            pick => pick,
        }
    }

    /// The time after which a refused caller should retry, in milliseconds: [`DEFAULT_RETRY_MS`], or the
    /// earliest end of a backoff when all upstreams have requested one.
    pub(super) fn earliest_retry_ms(&self, service: &ServiceEntry) -> u64 {
        let now_ms = self.node.now_ms();
        let candidates = self.candidates(RolloutLane::Usual, service, &[], &[], now_ms);
        earliest_retry(&candidates).unwrap_or(DEFAULT_RETRY_MS)
    }

    /// Chooses among the upstreams whose version may serve `lane`.
    fn choose_in_lane(
        &self,
        lane: RolloutLane,
        service: &ServiceEntry,
        rule: &RouteRule,
        demand: Option<&CapacityRequest>,
        tried: &[UpstreamKey],
        excluded: &[VersionKey],
    ) -> Result<UpstreamPick, ChoiceError> {
        let now_ms = self.node.now_ms();
        let mut candidates = self.candidates(lane, service, tried, excluded, now_ms);
        self.mark_brittle(service, &mut candidates, now_ms);
        let engine = service.engine.as_ref().filter(|_| rule.prompt_parts);
        let Some(engine) = engine else {
            return self.choose_plain(service, &candidates).map(UpstreamPick::plain);
        };
        let overloaded = demand.is_some_and(|demand| {
            engine.slots > 0 && self.mark_full(&service.name, engine.slots, demand, &mut candidates)
        });
        let held_back = candidates.iter().filter(|candidate| candidate.is_held_back()).count();
        if held_back as f64 >= WITHHELD_OVERLOAD_SHARE * candidates.len() as f64 {
            self.node.overloaded_ms.set(now_ms);
        }
        let max_engines = if overloaded { OVERLOADED_MAX_ENGINES } else { usize::MAX };
        let memory = self.node.prefixes.borrow();
        let vms = self.node.view.borrow().roster.rows.len().max(1);
        let rate = memory.estimated_fleet_rate(&self.caller.prompt, vms, now_ms);
        let hold_ms = self.node.with_service_capacity(&service.name, |capacity| capacity.hold_ms());
        let rules = EngineRules {
            kv_transfer: engine.kv_transfer,
            max_engines,
            load_limit: self.node.settings.borrow().bounds.load_limit,
            part_load: rate * hold_ms / 1000.0,
            draw: self.draw,
        };
        choose_engine(&candidates, &self.caller.prompt, &memory, &rules, now_ms)
    }

    /// Chooses an upstream of a service without prompt caches. Requests that take longer than the interval
    /// between load reports are balanced by the reported loads. For shorter ones these are outdated, and
    /// the choice favors upstreams to which this VM keeps connections.
    fn choose_plain(
        &self,
        service: &ServiceEntry,
        candidates: &[UpstreamCandidate],
    ) -> Result<UpstreamKey, ChoiceError> {
        let holds = self.node.plain_holds.borrow();
        let hold = holds.get(&service.name).copied().unwrap_or_default();
        match hold.exceeds_report_interval() {
            true => {
                let choices = drawn_upstreams(self.node.view.borrow().roster.rows.len());
                choose_plain(candidates, choices, self.draw)
            }
            false => choose_with_affinity(candidates, self.node.id, self.draw),
        }
    }

    /// Marks the engines that have no capacity for the request. Returns whether the service is overloaded.
    /// Without recent load reports no engine is marked.
    fn mark_full(
        &self,
        service: &str,
        slots: u32,
        request: &CapacityRequest,
        candidates: &mut [UpstreamCandidate],
    ) -> bool {
        let summary = self.load_summary(candidates);
        if !summary.is_fresh() {
            return false;
        }
        let rooms = self.node.capacities.borrow();
        let bound = rooms.get(service).map(|capacity| capacity.bound(slots, request));
        let bound = bound.unwrap_or(f64::from(slots));
        let growth = summary.growth();
        for candidate in candidates {
            candidate.full |= f64::from(candidate.load) + growth >= bound;
        }
        let overloaded = summary.mean() >= OVERLOAD_SHARE * bound;
        if overloaded {
            self.node.overloaded_ms.set(self.node.now_ms());
        }
        overloaded
    }

    /// Marks the upstreams of a brittle service that have no room, or get nothing for a while.
    fn mark_brittle(
        &self,
        service: &ServiceEntry,
        candidates: &mut [UpstreamCandidate],
        now_ms: u64,
    ) {
        let services = self.node.brittle.borrow();
        let brittle = services.get(&service.name).filter(|brittle| brittle.is_brittle(now_ms));
        let Some(brittle) = brittle else { return };
        let slots = service.engine.as_ref().map(|engine| engine.slots).filter(|slots| *slots > 0);
        for candidate in candidates {
            let hold_ms = brittle.hold_ms(candidate.key, now_ms);
            candidate.backoff_ms = candidate.backoff_ms.max(hold_ms);
            let loads = (candidate.own_load, candidate.load);
            candidate.full = brittle.is_full(candidate.key, loads, slots, now_ms);
        }
    }

    /// Sums the loads of the engines that accept work and are not ejected: as reported by all VMs, and as
    /// this VM counts its own requests.
    fn load_summary(&self, candidates: &[UpstreamCandidate]) -> ReportedLoad {
        let view = self.node.view.borrow();
        let mut summary = ReportedLoad {
            vms: view.roster.rows.len(),
            age_ms: self.node.now_ms().saturating_sub(view.last_contact_ms),
            ..ReportedLoad::default()
        };
        let counts = |candidate: &&UpstreamCandidate| candidate.takes_work() && !candidate.ejected;
        for candidate in candidates.iter().filter(counts) {
            summary.reported += candidate.load;
            summary.own += candidate.own_load;
            summary.engines += 1;
        }
        let counted = |key: &UpstreamKey| {
            let at = candidates.binary_search_by_key(key, |candidate| candidate.key);
            at.is_ok_and(|at| counts(&&candidates[at]))
        };
        let loads = view.reports.own_loads().filter(|load| counted(&load.upstream));
        summary.own_reported = loads.map(|load| load.requests).sum();
        summary
    }

    /// Returns the upstreams of a service with everything that a choice depends on. The list contains all
    /// upstreams, while the other tables contain few: it is cheaper to look up each of their entries
    /// among the candidates than each candidate in every table.
    fn candidates(
        &self,
        lane: RolloutLane,
        service: &ServiceEntry,
        tried: &[UpstreamKey],
        excluded: &[VersionKey],
        now_ms: u64,
    ) -> Vec<UpstreamCandidate> {
        let node = &self.node;
        let versions = node.version_rule(&service.name, lane);
        let upstreams = node.upstreams.borrow();
        let notices = node.pool.notices().borrow();
        let settings = node.settings.borrow();
        let origin = self.origin.get();
        let is_other = |version| {
            origin.is_some_and(|origin| origin.version != version) || excluded.contains(&version)
        };
        let listed = |(key, entry, first_seen_ms): (UpstreamKey, &UpstreamEntry, u64)| {
            let withheld = entry.defect != EntryDefect::None
                || versions.withholds(entry)
                || node.is_withheld(entry, service.cold_per_s);
            UpstreamCandidate {
                leaving: entry.leaving,
                withheld,
                other_version: is_other(entry.version),
                ring_slot: entry.ring_slot,
                same_zone: entry.zone == settings.zone,
                first_seen_ms,
                ..UpstreamCandidate::idle(key)
            }
        };
        let mut candidates =
            CandidateSet::new(upstreams.seen_of_service(&service.name).map(listed));
        self.note_loads(&mut candidates);
        self.note_faults(&mut candidates, now_ms);
        for key in notices.known() {
            candidates.change(key, |candidate| {
                candidate.ejected |= notices.is_avoided(key, now_ms);
                candidate.leaving |= notices.is_leaving(key);
                candidate.backoff_ms = notices.backoff_ms(key, now_ms);
            });
        }
        tried.iter().for_each(|key| candidates.change(*key, |candidate| candidate.tried = true));
        let mut candidates = candidates.into_rows();
        if !candidates.iter().any(|c| c.takes_work() && !c.other_version) {
            // An upstream that the list shows as leaving has been leaving for longer than the last-resort
            // period lasts.
            let listed = |key| upstreams.entries.get(&key).is_some_and(|entry| entry.leaving);
            let last = |c: &&mut UpstreamCandidate| {
                notices.is_last_resort(c.key, now_ms) && !listed(c.key)
            };
            candidates.iter_mut().filter(last).for_each(|candidate| candidate.leaving = false);
        }
        candidates
    }

    /// Sets each candidate's load: the requests that this VM and all other VMs have in flight there.
    fn note_loads(&self, candidates: &mut CandidateSet) {
        let view = self.node.view.borrow();
        for (key, own) in self.node.in_flight.borrow().iter() {
            candidates
                .change(*key, |candidate| (candidate.own_load, candidate.load) = (*own, *own));
        }
        for key in view.reports.known() {
            candidates.change(key, |candidate| candidate.load += view.reports.others(key));
        }
    }

    /// Marks as ejected the upstreams that fail or are unresponsive at this VM or at all VMs, and half-open ones
    /// that have a request. Removes those that can't be sent any.
    fn note_faults(&self, candidates: &mut CandidateSet, now_ms: u64) {
        let view = self.node.view.borrow();
        let outliers = self.node.outliers.borrow();
        let silence = self.node.silence.borrow();
        // The list of an old grant is ignored; otherwise no VM would try these upstreams again.
        let fresh = view.last_contact_ms + FAILING_MAX_AGE_MS > now_ms;
        let failing = view.failing.iter().copied().filter(|_| fresh);
        let aside = outliers.known().filter(|key| outliers.is_ejected(*key, now_ms));
        for key in failing.chain(silence.view.unresponsive(now_ms)).chain(aside) {
            candidates.change(key, |candidate| candidate.ejected = true);
        }
        for key in outliers.known().filter(|key| outliers.is_half_open(*key)) {
            candidates.change(key, |candidate| candidate.ejected |= candidate.own_load > 0);
        }
        candidates.remove_all(outliers.known().filter(|key| outliers.is_down(*key)));
    }
}

impl VmNode {
    /// Calls `act` with this VM's capacity estimate of a service, creating it if there is none.
    pub(super) fn with_service_capacity<T>(
        &self,
        service: &str,
        act: impl FnOnce(&mut ServiceCapacity) -> T,
    ) -> T {
        let mut rooms = self.capacities.borrow_mut();
        match rooms.get_mut(service) {
            Some(capacity) => act(capacity),
            None => act(rooms.entry(service.to_string()).or_default()),
        }
    }
}
