//! Replays a trace through the decision code of N routers, with the time taken from the trace. It
//! replays decisions and doesn't simulate a cluster: messages between routers arrive at once, and
//! engines take the times that the trace states.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::admission::{admission_bound, AdmissionRule, FleetLoad};
use super::directory::{light_home, AddressRequest};
use super::fair_queue::{FairQueue, WaitingRequest};
use super::home::HomeTable;
use super::kv_move::{choose_move, import_ms, MoveChoice};
use super::load_spread::{LoadTable, RemoteLoad};
use super::placement::{
    holds_chat, place_candidates, request_work, FleetView, PlaceCandidate, PlacementContext,
    PlacementRule,
};
use super::replay_outcome::{ReplayOutcome, ReplaySample};
use super::replay_truth::TrueEngine;
use super::router_lease::RENEW_MS;
use super::trace::{Trace, TraceEvent, TraceRequest, TraceSetup, TraceStatus};
use crate::state::chat_memory::ChatMemory;
use crate::state::configuration::KvRates;
use crate::state::ids::{ChatKey, FleetKey, Incarnation, RouterId, UpstreamKey, WorkspaceKey};
use crate::state::roster::{RouterRoster, RouterSession};

/// The only fleet of a replay.
pub(super) const FLEET: FleetKey = FleetKey(1);
/// The interval between samples of the loads, in milliseconds.
const SAMPLE_MS: u64 = 1000;
/// The capacity of each router's chat memory, in chats.
const MAX_CHATS: usize = 200_000;

/// The rule by which a replay places requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReplayRule {
    /// Engines and chats have home routers, as in wingshed, with these placement rules. KV caches
    /// are transferred between engines if rates are given.
    Home(PlacementRule, Option<KvRates>),
    /// Each router takes the engine with the lowest reported load, without coordination.
    LeastReported,
    /// Each router takes an engine by hashing, with a bound by the work that it placed itself.
    BoundedAlone,
    /// A random engine.
    Random,
    /// An ideal that cannot be built: a single router with complete information on caches and
    /// loads, which prefers reuse of caches.
    ExactReuse,
    /// An ideal that cannot be built: a single router with complete information on loads, which
    /// prefers the least loaded engine.
    ExactSkew,
}

/// An event that is scheduled for a later time of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ScheduledEvent {
    Finish { engine: u32, incarnation: u64, home: u32, work: u64 },
    CacheReported { engine: u32, incarnation: u64, number: u64, chat: u64, tokens: u32 },
    ReadCache { router: u32, engine: u32 },
    Exchange { router: u32 },
    Dispatch { router: u32 },
    Sample,
}

pub(super) struct ReplayRouter {
    pub(super) live: bool,
    pub(super) roster: RouterRoster,
    pub(super) statuses: Vec<TraceStatus>,
    pub(super) view: FleetView,
    pub(super) homes: HomeTable,
    pub(super) memory: ChatMemory,
    pub(super) others: RemoteLoad,
    pub(super) queue: FairQueue,
    pub(super) own_work: Vec<u64>,
    pub(super) events_reported: Vec<u64>,
}

/// The state of a replay in progress.
pub struct ReplayRun<'a> {
    pub(super) setup: &'a TraceSetup,
    pub(super) rule: ReplayRule,
    pub(super) rng: StdRng,
    pub(super) now_ms: u64,
    pub(super) routers: Vec<ReplayRouter>,
    pub(super) engines: Vec<TrueEngine>,
    pub(super) keys: HashMap<UpstreamKey, u32>,
    pub(super) keeper_loads: LoadTable,
    pub(super) scheduled: BinaryHeap<Reverse<(u64, u64, ScheduledEvent)>>,
    pub(super) sequence: u64,
    pub(super) event_numbers: Vec<u64>,
    pub(super) waiting: HashMap<u64, (TraceRequest, u64)>,
    pub(super) tickets: u64,
    pub(super) last_router: HashMap<ChatKey, u32>,
    pub(super) outcome: ReplayOutcome,
}

/// Returns the key of an engine of a trace.
pub fn engine_key(engine: u32) -> UpstreamKey {
    UpstreamKey::of(&format!("engine-{engine}"))
}

/// Replays a trace with a rule. `seed` determines the random choices of the rule and which cache
/// events are lost.
pub fn replay(trace: &Trace, rule: ReplayRule, seed: u64) -> ReplayOutcome {
    let mut run = ReplayRun::new(trace, rule, seed);
    for line in &trace.lines {
        run.advance(line.at);
        run.take(&line.event);
    }
    let last = trace.lines.last().map_or(0, |line| line.at);
    run.advance(last + trace.setup.wait_ms + 1);
    run.refuse_waiting();
    run.outcome
}

impl<'a> ReplayRun<'a> {
    fn new(trace: &'a Trace, rule: ReplayRule, seed: u64) -> ReplayRun<'a> {
        let setup = &trace.setup;
        let roster = roster_of(1, &(0..setup.routers).collect::<Vec<_>>());
        let engines = setup.engines as usize;
        let routers = (0..setup.routers).map(|_| ReplayRouter {
            live: true,
            roster: roster.clone(),
            statuses: vec![TraceStatus::Live; engines],
            view: FleetView::default(),
            homes: HomeTable::default(),
            memory: ChatMemory::new(MAX_CHATS),
            others: RemoteLoad::default(),
            queue: FairQueue::default(),
            own_work: vec![0; engines],
            events_reported: vec![0; engines],
        });
        let mut run = ReplayRun {
            setup,
            rule,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            routers: routers.collect(),
            engines: vec![TrueEngine::default(); engines],
            keys: (0..setup.engines).map(|engine| (engine_key(engine), engine)).collect(),
            keeper_loads: LoadTable::default(),
            scheduled: BinaryHeap::new(),
            sequence: 0,
            event_numbers: vec![0; engines],
            waiting: HashMap::new(),
            tickets: 0,
            last_router: HashMap::new(),
            outcome: ReplayOutcome::new(setup),
        };
        for router in 0..setup.routers {
            run.renew_view(router);
            run.routers[router as usize].homes.settle(1);
            let first = router as u64 * RENEW_MS / setup.routers.max(1) as u64;
            run.after(first, ScheduledEvent::Exchange { router });
        }
        run.after(SAMPLE_MS, ScheduledEvent::Sample);
        run
    }

    // ---- time ----

    /// Schedules an event `delay_ms` from now.
    pub(super) fn after(&mut self, delay_ms: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.scheduled.push(Reverse((self.now_ms + delay_ms, self.sequence, event)));
    }

    /// Handles all scheduled events up to `until_ms`.
    fn advance(&mut self, until_ms: u64) {
        while let Some(Reverse((at, ..))) = self.scheduled.peek() {
            if *at > until_ms {
                break;
            }
            let Some(Reverse((at, _, event))) = self.scheduled.pop() else { break };
            self.now_ms = at;
            self.handle_scheduled(event);
        }
        self.now_ms = self.now_ms.max(until_ms);
    }

    fn handle_scheduled(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Finish { engine, incarnation, home, work } => {
                self.finish(engine, incarnation, home, work);
            }
            ScheduledEvent::CacheReported { engine, incarnation, number, chat, tokens } => {
                self.apply_cache_event(engine, incarnation, number, chat, tokens);
            }
            ScheduledEvent::ReadCache { router, engine } => self.read_cache(router, engine),
            ScheduledEvent::Exchange { router } => self.exchange(router),
            ScheduledEvent::Dispatch { router } => self.dispatch_waiting(router),
            ScheduledEvent::Sample => self.sample(),
        }
    }

    /// Applies an event of the trace.
    fn take(&mut self, event: &TraceEvent) {
        match event {
            TraceEvent::Setup(_) | TraceEvent::Expect(_) => {}
            TraceEvent::Request(request) => self.request(request),
            TraceEvent::Engine { engine, status } => {
                let at = *engine as usize;
                if *status == TraceStatus::Gone {
                    self.outcome.cut += self.engines[at].requests as u64;
                }
                self.engines[at].set_status(*status);
                if *status == TraceStatus::Gone {
                    self.event_numbers[at] = 0;
                }
            }
            TraceEvent::List { router, engine, status } => {
                let view = &mut self.routers[*router as usize];
                view.statuses[*engine as usize] = *status;
                if *status != TraceStatus::Leaving {
                    // The previous incarnation has ended and its cache is lost.
                    let incarnation = Incarnation(self.engines[*engine as usize].incarnation);
                    view.memory.set_incarnation(engine_key(*engine), incarnation);
                    view.events_reported[*engine as usize] = 0;
                }
                self.renew_view(*router);
            }
            TraceEvent::Router { router, status } => {
                self.routers[*router as usize].live = *status != TraceStatus::Gone;
            }
            TraceEvent::Roster { router, epoch, routers } => {
                let view = &mut self.routers[*router as usize];
                if *epoch > view.roster.epoch {
                    view.roster = roster_of(*epoch, routers);
                    self.renew_view(*router);
                }
            }
        }
    }

    // ---- requests ----

    fn request(&mut self, request: &TraceRequest) {
        self.outcome.requests += 1;
        match self.rule {
            ReplayRule::Home(rule, rates) => self.request_home(request, &rule, rates),
            _ => self.request_alone(request),
        }
    }

    /// Returns the actual load of all engines.
    pub(super) fn true_load(&self) -> FleetLoad {
        let live = self.engines.iter().filter(|e| e.status == TraceStatus::Live);
        let work = self.engines.iter().map(|engine| engine.work).sum();
        FleetLoad { work, engines: live.count() as u32, ..FleetLoad::default() }
    }

    /// Returns the router to which the caller sends the request: the one named in the reply to the
    /// chat's last request; else the home in the directory of a random router, if it is live; else
    /// that random router. A new chat goes to a lightly loaded home.
    fn entry_router(&mut self, chat: ChatKey, fresh: bool) -> Option<u32> {
        let live: Vec<u32> =
            (0..self.setup.routers).filter(|router| self.routers[*router as usize].live).collect();
        if live.is_empty() {
            return None;
        }
        if fresh {
            let contacted = live[self.rng.gen_range(0..live.len())];
            let view = &self.routers[contacted as usize];
            let question = AddressRequest {
                chat: None,
                zone: "",
                spread: self.rng.gen(),
                hints: view.others.hints(FLEET),
            };
            let light = light_home(&view.view, &question).map(|home| home.0);
            return Some(light.filter(|h| self.routers[*h as usize].live).unwrap_or(contacted));
        }
        let last_router = self.last_router.get(&chat).copied();
        if let Some(last_router) =
            last_router.filter(|last_router| self.routers[*last_router as usize].live)
        {
            return Some(last_router);
        }
        let contacted = live[self.rng.gen_range(0..live.len())];
        let home = self.routers[contacted as usize].view.chat_home(chat).map(|home| home.0);
        let reached = home.filter(|home| self.routers[*home as usize].live);
        Some(reached.unwrap_or(contacted))
    }

    /// Returns the information on which a router places a request with this work.
    fn placement_knowledge(&self, router: u32, work: u64) -> PlacementContext<'_> {
        let view = &self.routers[router as usize];
        let own_work = view.homes.fleet_work(FLEET);
        let engines = view.view.engines.len() as u32;
        PlacementContext {
            own: RouterId(router),
            fleet: FLEET,
            view: &view.view,
            homes: &view.homes,
            memory: &view.memory,
            hints: view.others.hints(FLEET),
            hints_known: view.others.reported_ms() > 0,
            load: view.others.fleet_load(FLEET, own_work, engines, self.now_ms),
            multiple: self.setup.multiple,
            work,
        }
    }

    fn request_home(
        &mut self,
        request: &TraceRequest,
        rule: &PlacementRule,
        rates: Option<KvRates>,
    ) {
        let chat = ChatKey(request.chat);
        let cold_work = request_work(request.prompt, request.output, 0);
        let Some(mut entry) = self.entry_router(chat, request.turn == 1) else {
            self.outcome.refused += 1;
            return;
        };
        if request.turn > 1 && !holds_chat(chat, &self.placement_knowledge(entry, cold_work)) {
            let home = self.routers[entry as usize].view.chat_home(chat).map_or(entry, |h| h.0);
            if home != entry && self.routers[home as usize].live {
                self.outcome.hops += 1;
                entry = home;
            }
        }
        self.place(entry, request, rule, rates, 0);
    }

    /// Tries the candidates in order. `waited_ms` is 0 in the first attempt.
    fn place(
        &mut self,
        entry: u32,
        request: &TraceRequest,
        rule: &PlacementRule,
        rates: Option<KvRates>,
        waited_ms: u64,
    ) {
        let chat = ChatKey(request.chat);
        let cold_work = request_work(request.prompt, request.output, 0);
        let places = place_candidates(chat, &self.placement_knowledge(entry, cold_work), rule);
        let holder = places.first().filter(|place| place.cached_tokens > 0).copied();
        let ahead = self.routers[entry as usize].queue.has_waiting(request.class);
        let mut choice = MoveChoice::Recompute;
        for place in places {
            let engine = self.keys[&place.engine];
            let held = holder.map_or(0, |holder| holder.cached_tokens.min(request.prompt));
            let import = choice == MoveChoice::Import && place.cached_tokens == 0;
            let cached = if import { held } else { place.cached_tokens };
            let work = request_work(request.prompt, request.output, cached);
            if place.home.0 != entry {
                self.outcome.remote_tries += 1;
            } else if ahead {
                continue;
            }
            if self.admit(place.home.0, engine, work) {
                let holder_known = holder.is_some_and(|holder| holder.engine != place.engine);
                self.outcome.missed_at_bound += u64::from(holder_known && request.turn > 1);
                self.outcome.hops += u64::from(place.home.0 != entry);
                let moved = import.then_some((held, rates));
                self.start(request, engine, place.home.0, work, waited_ms, moved);
                self.note_chat(entry, request, engine, place.home.0);
                return;
            }
            if holder.is_some_and(|holder| holder.engine == place.engine) {
                let wait = self.holder_wait(entry, &place, work).filter(|_| waited_ms == 0);
                choice = rates.map_or(choice, |rates| choose_move(&rates, held, wait));
                if let MoveChoice::Wait(max_wait_ms) = choice {
                    return self.wait(entry, request, work, Some(place.engine), max_wait_ms);
                }
            }
        }
        self.wait(entry, request, cold_work, None, self.setup.wait_ms);
    }

    /// Returns how long an engine of this router is expected to stay at its bound, in milliseconds.
    fn holder_wait(&self, entry: u32, place: &PlaceCandidate, work: u64) -> Option<f64> {
        let knowledge = self.placement_knowledge(entry, work);
        let slot = knowledge.homes.engine_state(place.engine).filter(|_| place.home.0 == entry)?;
        slot.wait_ms(admission_bound(&knowledge.load, knowledge.multiple, work))
    }

    /// Records the engine of a chat at the placing router, at the chat's home and at the caller.
    fn note_chat(&mut self, entry: u32, request: &TraceRequest, engine: u32, engine_home: u32) {
        let chat = ChatKey(request.chat);
        self.last_router.insert(chat, engine_home);
        let chat_home = self.routers[entry as usize].view.chat_home(chat);
        let incarnation = Incarnation(self.engines[engine as usize].incarnation);
        let tokens = request.prompt + request.output;
        for router in [entry, chat_home.map_or(entry, |home| home.0)] {
            let memory = &mut self.routers[router as usize].memory;
            memory.note(chat, engine_key(engine), incarnation, tokens);
        }
    }

    /// Decides on admission at an engine's home by that router's information, and compares it with
    /// the actual loads.
    fn admit(&mut self, home: u32, engine: u32, work: u64) -> bool {
        let now_ms = self.now_ms;
        let truth = self.true_load();
        let view = &mut self.routers[home as usize];
        if !view.live {
            return false;
        }
        let own_engines = view.view.engines.len() as u32;
        let own_work = view.homes.fleet_work(FLEET);
        let load = view.others.fleet_load(FLEET, own_work, own_engines, now_ms);
        let key = engine_key(engine);
        let rule = AdmissionRule { multiple: self.setup.multiple, max_requests: u32::MAX };
        if view.homes.admit(key, work, &load, rule).is_err() {
            return false;
        }
        let true_engine = &self.engines[engine as usize];
        if true_engine.status == TraceStatus::Gone {
            // The engine has ended and refuses the connection, so the request was not sent.
            view.homes.release(key, work, now_ms);
            self.outcome.dead_tries += 1;
            return false;
        }
        self.check_bound(engine, work, &truth);
        true
    }

    /// Counts an admission, and whether the engine's actual load was at or above the bound.
    pub(super) fn check_bound(&mut self, engine: u32, work: u64, truth: &FleetLoad) {
        let bound = admission_bound(truth, self.setup.multiple, work);
        let before = self.engines[engine as usize].work as f64;
        self.outcome.admissions += 1;
        if before >= bound {
            self.outcome.above_bound += 1;
            self.outcome.worst_over = self.outcome.worst_over.max(before / bound);
        }
    }

    /// Queues a request at a router, for the engine `only` or for any engine.
    fn wait(
        &mut self,
        home: u32,
        request: &TraceRequest,
        work: u64,
        only: Option<UpstreamKey>,
        wait_ms: u64,
    ) {
        self.tickets += 1;
        let ticket = self.tickets;
        let waiting = WaitingRequest {
            ticket,
            workspace: WorkspaceKey(request.workspace as u64),
            weight: 1,
            class: request.class,
            work,
            since_ms: self.now_ms,
            until_ms: self.now_ms + wait_ms.max(1),
            only,
        };
        self.routers[home as usize].queue.push(waiting, usize::MAX);
        self.waiting.insert(ticket, (request.clone(), self.now_ms));
        match only {
            Some(_) => {
                self.outcome.holder_waits += 1;
                self.after(wait_ms.max(1), ScheduledEvent::Dispatch { router: home });
            }
            None => self.outcome.queued += 1,
        }
        self.dispatch_waiting(home);
    }

    /// Starts the requests in a router's queue for which an engine has capacity, and removes
    /// expired ones.
    pub(super) fn dispatch_waiting(&mut self, home: u32) {
        let now_ms = self.now_ms;
        for expired in self.routers[home as usize].queue.expire(now_ms) {
            self.end_wait(home, &expired);
        }
        loop {
            let mut queue = std::mem::take(&mut self.routers[home as usize].queue);
            let mut chosen = None;
            let popped = queue.pop(now_ms, |waiting| {
                let engines = self.open_engines(home, waiting.only);
                chosen = engines.into_iter().find(|engine| self.admit(home, *engine, waiting.work));
                chosen.is_some()
            });
            self.routers[home as usize].queue = queue;
            let (Some(waiting), Some(engine)) = (popped, chosen) else { return };
            let Some((request, since_ms)) = self.waiting.remove(&waiting.ticket) else { return };
            self.start(&request, engine, home, waiting.work, now_ms - since_ms, None);
            self.note_chat(home, &request, engine, home);
        }
    }

    /// Returns the engines of this home that accept requests, least loaded first; only the engine
    /// `only` if it is given.
    fn open_engines(&self, home: u32, only: Option<UpstreamKey>) -> Vec<u32> {
        let homed = self.routers[home as usize].homes.homed();
        let open = homed.filter(|(key, slot)| !slot.closed && only.is_none_or(|only| only == *key));
        let mut open: Vec<(u64, UpstreamKey)> =
            open.map(|(key, slot)| (slot.load(), key)).collect();
        open.sort_unstable();
        open.iter().map(|(_, key)| self.keys[key]).collect()
    }

    /// A request that waited for the engine with its prefix in vain goes on to the other
    /// candidates; any other is refused.
    fn end_wait(&mut self, home: u32, expired: &WaitingRequest) {
        let Some((request, since_ms)) = self.waiting.remove(&expired.ticket) else { return };
        match (expired.only, self.rule) {
            (Some(_), ReplayRule::Home(rule, rates)) => {
                let waited_ms = (self.now_ms - since_ms).max(1);
                self.place(home, &request, &rule, rates, waited_ms);
            }
            _ => self.outcome.refused += 1,
        }
    }

    /// Starts a request on an engine. What it finds in the cache is the actual content.
    pub(super) fn start(
        &mut self,
        request: &TraceRequest,
        engine: u32,
        home: u32,
        work: u64,
        waited_ms: u64,
        moved: Option<(u32, Option<KvRates>)>,
    ) {
        let at = engine as usize;
        let held = self.engines[at].cached(request.chat).min(request.prompt);
        let found = held.max(moved.map_or(0, |(cached, _)| cached));
        let share = found as f64 / request.prompt.max(1) as f64;
        let mut prefill = request.prefill_ms as f64 * (1.0 - share);
        if let Some((cached, Some(rates))) = moved.filter(|(cached, _)| *cached > held) {
            prefill += import_ms(&rates, cached).unwrap_or(0.0);
            self.outcome.imports += 1;
        }
        let anywhere = self.engines.iter().any(|other| other.cached(request.chat) > 0);
        self.outcome.note_start(request, held, found, anywhere, waited_ms, prefill);
        self.outcome.placed.insert(request.chat, engine);
        self.engines[at].requests += 1;
        self.engines[at].work += work;
        let incarnation = self.engines[at].incarnation;
        self.store(engine, request.chat, request.prompt + request.output);
        let run_ms = prefill as u64 + request.decode_ms;
        self.after(run_ms.max(1), ScheduledEvent::Finish { engine, incarnation, home, work });
    }

    /// Ends a request on an engine and releases its work at the engine's home.
    fn finish(&mut self, engine: u32, incarnation: u64, home: u32, work: u64) {
        let truth = &mut self.engines[engine as usize];
        if truth.incarnation == incarnation {
            truth.requests -= 1;
            truth.work -= work;
        }
        if let ReplayRule::Home(..) = self.rule {
            let now_ms = self.now_ms;
            self.routers[home as usize].homes.release(engine_key(engine), work, now_ms);
            self.dispatch_waiting(home);
        } else {
            let own = &mut self.routers[home as usize].own_work[engine as usize];
            *own = own.saturating_sub(work);
        }
    }

    // ---- the outcome ----

    fn sample(&mut self) {
        let lag = self.setup.report_lag_ms;
        for engine in &mut self.engines {
            engine.note_report(self.now_ms, lag);
        }
        let live = self.engines.iter().filter(|e| e.status == TraceStatus::Live);
        let loads: Vec<u64> = live.map(|engine| engine.work).collect();
        let requests: u32 = self.engines.iter().map(|engine| engine.requests).sum();
        self.outcome.note_sample(ReplaySample::of(self.now_ms, &loads, requests));
        self.after(SAMPLE_MS, ScheduledEvent::Sample);
    }

    fn refuse_waiting(&mut self) {
        self.outcome.refused += self.waiting.len() as u64;
        self.waiting.clear();
    }
}

fn roster_of(epoch: u64, routers: &[u32]) -> RouterRoster {
    let session = |router: u32| RouterSession {
        incarnation: Incarnation(1),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1 + router as u16)),
        zone: "a".to_string(),
        leaving: false,
    };
    let routers: BTreeMap<RouterId, RouterSession> =
        routers.iter().map(|router| (RouterId(*router), session(*router))).collect();
    RouterRoster { epoch, routers }
}
