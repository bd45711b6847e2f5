//! What the routers of a replay believe: their views of the fleet, the exchange of loads, and what
//! engines report of their caches.

use rand::Rng;

use super::fair_queue::RequestClass;
use super::placement::FleetView;
use super::replay::{engine_key, LaterEvent, ReplayRun, FLEET};
use super::router_lease::RENEW_MS;
use super::trace::TraceStanding;
use crate::state::ids::{ChatKey, Incarnation, RouterId};

/// A new home reads its engines' caches after this long, in milliseconds.
const NEW_HOME_READS_CACHE_MS: u64 = 2000;

impl ReplayRun<'_> {
    // ---- views ----

    pub(super) fn renew_view(&mut self, router: u32) {
        let view = &mut self.routers[router as usize];
        let live = (0..self.setup.engines)
            .filter(|engine| view.standings[*engine as usize] == TraceStanding::Live);
        view.view = FleetView::new(live.map(engine_key), &view.roster);
        let epoch = view.roster.epoch;
        let mut newly = Vec::new();
        for engine in 0..self.setup.engines {
            let key = engine_key(engine);
            let home = view.roster.home(key) == Some(RouterId(router));
            let before = view.homes.slot(key).is_some_and(|slot| slot.home_since_epoch.is_some());
            view.homes.assign(key, FLEET, home, epoch);
            let closed = view.standings[engine as usize] != TraceStanding::Live;
            view.homes.close(key, closed);
            if home && !before && epoch > 1 {
                newly.push(engine);
            }
        }
        for engine in newly {
            self.after(NEW_HOME_READS_CACHE_MS, LaterEvent::ReadCache { router, engine });
        }
    }

    /// What the keeper does with a renewal: it sums, and sends the epoch that all have seen.
    pub(super) fn exchange(&mut self, router: u32) {
        let at = router as usize;
        if self.routers[at].live {
            let view = &self.routers[at];
            let row = view.homes.load_row(
                FLEET,
                view.view.engines.len() as u32,
                u32::MAX,
                view.queue.has_rank(RequestClass::Batch),
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
                let truth = &self.engines[engine as usize];
                let life = Incarnation(truth.life);
                let work = truth.reported_work();
                view.homes.report(engine_key(engine), life, work, now_ms);
            }
            self.outcome.exchanges += 1;
            self.pump(router);
        }
        self.after(RENEW_MS, LaterEvent::Exchange { router });
    }

    // ---- caches ----

    pub(super) fn store(&mut self, engine: u32, chat: u64, tokens: u32) {
        let at = engine as usize;
        let dropped = self.engines[at].store(chat, tokens, self.setup.cache_tokens);
        self.cache_event(engine, chat, tokens);
        for chat in dropped {
            self.cache_event(engine, chat, 0);
        }
    }

    pub(super) fn cache_event(&mut self, engine: u32, chat: u64, tokens: u32) {
        let at = engine as usize;
        self.event_numbers[at] += 1;
        let lost = self.setup.event_loss_one_in;
        if lost > 0 && self.rng.gen_range(0..lost) == 0 {
            return;
        }
        let (life, number) = (self.engines[at].life, self.event_numbers[at]);
        let event = LaterEvent::CacheReported { engine, life, number, chat, tokens };
        self.after(self.setup.event_lag_ms, event);
    }

    pub(super) fn take_cache_event(
        &mut self,
        engine: u32,
        life: u64,
        number: u64,
        chat: u64,
        tokens: u32,
    ) {
        let key = engine_key(engine);
        if self.engines[engine as usize].life != life {
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
                tokens => view.memory.note(chat, key, Incarnation(life), tokens),
            }
        }
    }

    /// A new home reads the cache events that the engine has kept.
    pub(super) fn read_cache(&mut self, router: u32, engine: u32) {
        let key = engine_key(engine);
        let truth = &self.engines[engine as usize];
        let view = &mut self.routers[router as usize];
        if view.homes.slot(key).is_none() {
            return;
        }
        view.memory.set_incarnation(key, Incarnation(truth.life));
        let mut held: Vec<(u64, u32)> = truth.cache().collect();
        held.sort_unstable();
        for (chat, tokens) in held {
            view.memory.note(ChatKey(chat), key, Incarnation(truth.life), tokens);
        }
        view.events_reported[engine as usize] = self.event_numbers[engine as usize];
    }
}
