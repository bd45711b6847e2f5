//! Which upstream a request goes to: what this VM knows of each, and whether there is room.

use super::vm_node::VmNode;
use super::vm_task::{CallerTask, RETRY_MS};
use crate::coordination::engine_room::{RoomNews, RoomRequest, ServiceRoom};
use crate::coordination::plain_choice::{choose_kept, choose_plain, plain_choices};
use crate::coordination::rollout_watch::RolloutLane;
use crate::coordination::upstream_candidate::{
    earliest_return, CandidateSet, ChoiceFault, UpstreamCandidate,
};
use crate::coordination::upstream_choice::{choose_engine, EngineRules, UpstreamPick};
use crate::state::ids::UpstreamKey;
use crate::state::route_table::{RouteRule, ServiceEntry};
use crate::state::upstream_list::{EntryDefect, UpstreamEntry};

/// From this part of the bound on an engine's load VMs report loads more often.
const OVERLOADED_PART: f64 = 0.75;
/// While this part of a service's engines is withheld, VMs report loads as often as under
/// overload: the others' mean is closer to the limit, which goes by the mean of all.
const WITHHELD_OVERLOADS: f64 = 0.1;
/// Upstreams that fail everybody are left alone for this long after the leader named them last, in
/// milliseconds.
const FAILING_KEEP_MS: u64 = 1000;
/// While all are overloaded a prompt is sent to so many engines of its order at most: each further one
/// reads or moves its shared parts anew, and evicts others from its memory.
const OVERLOADED_SPREAD: usize = 3;

impl CallerTask {
    /// Chooses an upstream; `room` is what asks for a place, and a request without it gets one
    /// wherever there is an upstream.
    pub(super) fn choose(
        &self,
        service: &ServiceEntry,
        rule: &RouteRule,
        room: Option<&RoomRequest>,
        tried: &[UpstreamKey],
    ) -> Result<UpstreamPick, ChoiceFault> {
        let lane = self.node.rollout_lane(&service.name, rule, tried.is_empty());
        if lane == RolloutLane::Trial {
            if let Ok(pick) = self.choose_in(lane, service, rule, room, tried) {
                return Ok(pick);
            }
        }
        let pick = self.choose_in(RolloutLane::Usual, service, rule, room, tried);
        match pick {
            Err(fault) if self.node.may_go_back(&service.name) => {
                let back = self.choose_in(RolloutLane::Back, service, rule, room, tried);
                back.map_err(|_| fault)
            }
            pick => pick,
        }
    }

    /// When a caller that is refused should come back, in milliseconds: soon, unless all rest.
    pub(super) fn return_ms(&self, service: &ServiceEntry) -> u64 {
        let now_ms = self.node.now_ms();
        let candidates = self.candidates(RolloutLane::Usual, service, &[], now_ms);
        earliest_return(&candidates).unwrap_or(RETRY_MS)
    }

    fn choose_in(
        &self,
        lane: RolloutLane,
        service: &ServiceEntry,
        rule: &RouteRule,
        room: Option<&RoomRequest>,
        tried: &[UpstreamKey],
    ) -> Result<UpstreamPick, ChoiceFault> {
        let now_ms = self.node.now_ms();
        let mut candidates = self.candidates(lane, service, tried, now_ms);
        let engine = service.engine.as_ref().filter(|_| rule.prompt_parts);
        let Some(engine) = engine else {
            return self.choose_plain(service, &candidates).map(UpstreamPick::plain);
        };
        let overloaded = room.is_some_and(|room| {
            engine.slots > 0 && self.mark_full(&service.name, engine.slots, room, &mut candidates)
        });
        let held_back = candidates.iter().filter(|candidate| candidate.is_held_back()).count();
        if held_back as f64 >= WITHHELD_OVERLOADS * candidates.len() as f64 {
            self.node.overloaded_ms.set(now_ms);
        }
        let spread = if overloaded { OVERLOADED_SPREAD } else { usize::MAX };
        let memory = self.node.prefixes.borrow();
        let vms = self.node.view.borrow().roster.rows.len().max(1);
        let rate = memory.fleet_rate(&self.caller.prompt, vms, now_ms);
        let hold_ms = self.node.with_room(&service.name, |room| room.hold_ms());
        let rules = EngineRules {
            moves: engine.kv_transfer,
            spread,
            load_limit: self.node.settings.borrow().bounds.load_limit,
            part_load: rate * hold_ms / 1000.0,
            draw: self.draw,
        };
        choose_engine(&candidates, &self.caller.prompt, &memory, &rules, now_ms)
    }

    fn choose_plain(
        &self,
        service: &ServiceEntry,
        candidates: &[UpstreamCandidate],
    ) -> Result<UpstreamKey, ChoiceFault> {
        let holds = self.node.plain_holds.borrow();
        let hold = holds.get(&service.name).copied().unwrap_or_default();
        match hold.outlasts_news() {
            true => {
                let choices = plain_choices(self.node.view.borrow().roster.rows.len());
                choose_plain(candidates, choices, self.draw)
            }
            false => choose_kept(candidates, self.node.id, self.draw),
        }
    }

    /// Marks the engines that have no room for a request; true when all are nearly full.
    fn mark_full(
        &self,
        service: &str,
        places: u32,
        request: &RoomRequest,
        candidates: &mut [UpstreamCandidate],
    ) -> bool {
        let news = self.room_news(candidates);
        if !news.is_fresh() {
            return false;
        }
        let rooms = self.node.rooms.borrow();
        let bound = rooms.get(service).map(|room| room.bound(places, request));
        let bound = bound.unwrap_or(f64::from(places));
        let growth = news.growth();
        for candidate in candidates {
            candidate.full = f64::from(candidate.load) + growth >= bound;
        }
        let overloaded = news.mean() >= OVERLOADED_PART * bound;
        if overloaded {
            self.node.overloaded_ms.set(self.node.now_ms());
        }
        overloaded
    }

    fn room_news(&self, candidates: &[UpstreamCandidate]) -> RoomNews {
        let view = self.node.view.borrow();
        let mut news = RoomNews {
            vms: view.roster.rows.len(),
            age_ms: self.node.now_ms().saturating_sub(view.heard_ms),
            ..RoomNews::default()
        };
        let counts = |candidate: &&UpstreamCandidate| candidate.takes_work() && !candidate.aside;
        for candidate in candidates.iter().filter(counts) {
            news.reported += candidate.load;
            news.own += candidate.own;
            news.engines += 1;
        }
        let counted = |key: &UpstreamKey| {
            let at = candidates.binary_search_by_key(key, |candidate| candidate.key);
            at.is_ok_and(|at| counts(&&candidates[at]))
        };
        let loads = view.reports.own_loads().filter(|load| counted(&load.upstream));
        news.own_reported = loads.map(|load| load.requests).sum();
        news
    }

    /// The upstreams of a service as a choice sees them. The list gives all of them; the tables of this
    /// VM hold few, so each of these is looked up among the candidates and not the other way round.
    fn candidates(
        &self,
        lane: RolloutLane,
        service: &ServiceEntry,
        tried: &[UpstreamKey],
        now_ms: u64,
    ) -> Vec<UpstreamCandidate> {
        let node = &self.node;
        let versions = node.version_rule(&service.name, lane);
        let upstreams = node.upstreams.borrow();
        let notices = node.pool.notices().borrow();
        let settings = node.settings.borrow();
        let listed = |(key, entry, first_seen_ms): (UpstreamKey, &UpstreamEntry, u64)| {
            let withheld = entry.defect != EntryDefect::None
                || versions.withholds(entry)
                || node.is_withheld(entry, service.cold_per_s);
            UpstreamCandidate {
                leaving: entry.leaving,
                withheld,
                seat: entry.ring_slot,
                near: entry.zone == settings.zone,
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
                candidate.aside |= notices.is_spared(key, now_ms);
                candidate.leaving |= notices.is_leaving(key);
                candidate.rest_ms = notices.rest_ms(key, now_ms);
            });
        }
        tried.iter().for_each(|key| candidates.change(*key, |candidate| candidate.tried = true));
        let mut candidates = candidates.into_rows();
        if !candidates.iter().any(UpstreamCandidate::takes_work) {
            // Who leaves as the list says does so for longer than anybody is a last resort.
            let listed = |key| upstreams.entries.get(&key).is_some_and(|entry| entry.leaving);
            let last = |c: &&mut UpstreamCandidate| {
                notices.is_last_resort(c.key, now_ms) && !listed(c.key)
            };
            candidates.iter_mut().filter(last).for_each(|candidate| candidate.leaving = false);
        }
        candidates
    }

    /// Notes what this VM and others have in flight.
    fn note_loads(&self, candidates: &mut CandidateSet) {
        let view = self.node.view.borrow();
        for (key, own) in self.node.in_flight.borrow().iter() {
            candidates.change(*key, |candidate| (candidate.own, candidate.load) = (*own, *own));
        }
        for key in view.reports.known() {
            candidates.change(key, |candidate| candidate.load += view.reports.others(key));
        }
    }

    /// Notes which upstreams fail or are silent, here or for all; those whose life has ended go.
    fn note_faults(&self, candidates: &mut CandidateSet, now_ms: u64) {
        let view = self.node.view.borrow();
        let outliers = self.node.outliers.borrow();
        let silence = self.node.silence.borrow();
        // An old grant says nothing: no VM would try them again.
        let fresh = view.heard_ms + FAILING_KEEP_MS > now_ms;
        let failing = view.failing.iter().copied().filter(|_| fresh);
        let aside = outliers.known().filter(|key| outliers.is_aside(*key, now_ms));
        for key in failing.chain(silence.view.dark(now_ms)).chain(aside) {
            candidates.change(key, |candidate| candidate.aside = true);
        }
        candidates.remove_all(outliers.known().filter(|key| outliers.is_gone(*key)));
    }
}

impl VmNode {
    /// Lets `act` use what was learned of the room at a service.
    pub(super) fn with_room<T>(&self, service: &str, act: impl FnOnce(&mut ServiceRoom) -> T) -> T {
        let mut rooms = self.rooms.borrow_mut();
        match rooms.get_mut(service) {
            Some(room) => act(room),
            None => act(rooms.entry(service.to_string()).or_default()),
        }
    }
}
