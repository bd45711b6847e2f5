//! The routers' information in a replay: their views of the fleet, the exchange of loads, and the
//! cache events of engines.

use rand::Rng;

use super::fair_queue::RequestClass;
use super::placement::FleetView;
use super::replay::{engine_key, ReplayRun, ScheduledEvent, FLEET};
use super::router_lease::RENEW_MS;
use super::trace::TraceStatus;
use crate::state::ids::{ChatKey, Incarnation, RouterId};

/// How long after a change of the roster a new home reads its engines' caches, in milliseconds.
const NEW_HOME_READS_CACHE_MS: u64 = 2000;

impl ReplayRun<'_> {
    // ---- views ----

    /// Rebuilds a router's view of the fleet from the statuses and the roster that it received.
    pub(super) fn renew_view(&mut self, router: u32) {
        let view = &mut self.routers[router as usize];
        let live = (0..self.setup.engines)
            .filter(|engine| view.statuses[*engine as usize] == TraceStatus::Live);
        view.view = FleetView::new(live.map(engine_key), &view.roster);
        let epoch = view.roster.epoch;
        let mut new_engines = Vec::new();
        for engine in 0..self.setup.engines {
            let key = engine_key(engine);
            let home = view.roster.home(key) == Some(RouterId(router));
            let before =
                view.homes.engine_state(key).is_some_and(|slot| slot.home_since_epoch.is_some());
            view.homes.assign(key, FLEET, home, epoch);
            let closed = view.statuses[engine as usize] != TraceStatus::Live;
            view.homes.close(key, closed);
            if home && !before && epoch > 1 {
                new_engines.push(engine);
            }
        }
        for engine in new_engines {
            self.after(NEW_HOME_READS_CACHE_MS, ScheduledEvent::ReadCache { router, engine });
        }
    }

    /// Does what the keeper does with a renewal: it sums the loads and returns the highest epoch
    /// that all routers have.
    pub(super) fn exchange(&mut self, router: u32) {
        let at = router as usize;
        if self.routers[at].live {
            let view = &self.routers[at];
            let row = view.homes.load_row(
                FLEET,
                view.view.engines.len() as u32,
                u32::MAX,
                view.queue.has_waiting(RequestClass::Batch),
            );
            self.keeper_loads.note(RouterId(router), &[row], self.now_ms);
            self.keeper_loads.expire(self.now_ms);
            let rows = self.keeper_loads.others(RouterId(router), &[FLEET]);
            let live = self.routers.iter().filter(|other| other.live);
            let settled = live.map(|other| other.roster.epoch).min().unwrap_or(0);
            let now_ms = self.now_ms;
            let view = &mut self.routers[at];
            view.others.note(&rows, now_ms);
            view.homes.settle(settled);
            for engine in 0..self.setup.engines {
                let actual = &self.engines[engine as usize];
                let incarnation = Incarnation(actual.incarnation);
                let work = actual.reported_work();
                view.homes.report(engine_key(engine), incarnation, work, now_ms);
            }
            self.outcome.exchanges += 1;
            self.dispatch_waiting(router);
        }
        self.after(RENEW_MS, ScheduledEvent::Exchange { router });
    }

    // ---- caches ----

    /// Caches a chat on an engine and reports it, with the evicted chats, as cache events.
    pub(super) fn store(&mut self, engine: u32, chat: u64, tokens: u32) {
        let at = engine as usize;
        let evicted = self.engines[at].store(chat, tokens, self.setup.cache_tokens);
        self.cache_event(engine, chat, tokens);
        for chat in evicted {
            self.cache_event(engine, chat, 0);
        }
    }

    /// Schedules the report of a cache event, unless it is one that gets lost. 0 tokens report an
    /// eviction.
    pub(super) fn cache_event(&mut self, engine: u32, chat: u64, tokens: u32) {
        let at = engine as usize;
        self.event_numbers[at] += 1;
        let lost = self.setup.event_loss_one_in;
        if lost > 0 && self.rng.gen_range(0..lost) == 0 {
            return;
        }
        let (incarnation, number) = (self.engines[at].incarnation, self.event_numbers[at]);
        let event = ScheduledEvent::CacheReported { engine, incarnation, number, chat, tokens };
        self.after(self.setup.event_lag_ms, event);
    }

    /// Applies a cache event at the engine's home, which notes a gap if earlier events are missing.
    pub(super) fn apply_cache_event(
        &mut self,
        engine: u32,
        incarnation: u64,
        number: u64,
        chat: u64,
        tokens: u32,
    ) {
        let key = engine_key(engine);
        if self.engines[engine as usize].incarnation != incarnation {
            return;
        }
        for view in self.routers.iter_mut().filter(|view| view.homes.is_home(key)) {
            let reported = &mut view.events_reported[engine as usize];
            if *reported + 1 < number && *reported > 0 {
                view.memory.note_gap(key);
            }
            *reported = number.max(*reported);
            let chat = ChatKey(chat);
            match tokens {
                0 => view.memory.drop_holder(chat, key),
                tokens => view.memory.note(chat, key, Incarnation(incarnation), tokens),
            }
        }
    }

    /// Adds an engine's cached chats to the memory of its new home, which reads them from the cache
    /// events that the engine kept.
    pub(super) fn read_cache(&mut self, router: u32, engine: u32) {
        let key = engine_key(engine);
        let actual = &self.engines[engine as usize];
        let view = &mut self.routers[router as usize];
        if view.homes.engine_state(key).is_none() {
            return;
        }
        view.memory.set_incarnation(key, Incarnation(actual.incarnation));
        let mut held: Vec<(u64, u32)> = actual.cache().collect();
        held.sort_unstable();
        for (chat, tokens) in held {
            view.memory.note(ChatKey(chat), key, Incarnation(actual.incarnation), tokens);
        }
        view.events_reported[engine as usize] = self.event_numbers[engine as usize];
    }
}
