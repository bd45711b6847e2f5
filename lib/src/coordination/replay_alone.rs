//! The rules that a replay compares with: routers without coordination, and two ideals that cannot
//! be built.

use rand::Rng;

use super::admission::{admission_bound, FleetLoad};
use super::placement::request_work;
use super::replay::{engine_key, ReplayRule, ReplayRun};
use super::trace::{TraceRequest, TraceStatus};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_order;

impl ReplayRun<'_> {
    /// Places a request by a rule without homes, at a random live router.
    pub(super) fn request_alone(&mut self, request: &TraceRequest) {
        let live: Vec<u32> =
            (0..self.setup.routers).filter(|router| self.routers[*router as usize].live).collect();
        if live.is_empty() {
            self.outcome.refused += 1;
            return;
        }
        let router = live[self.rng.gen_range(0..live.len())];
        let seen: Vec<u32> = (0..self.setup.engines)
            .filter(|e| {
                self.routers[router as usize].statuses[*e as usize] == TraceStatus::Live
                    && self.engines[*e as usize].status != TraceStatus::Gone
            })
            .collect();
        let Some(engine) = self.choose_alone(router, &seen, request) else {
            self.outcome.refused += 1;
            return;
        };
        let cached = self.engines[engine as usize].cached(request.chat).min(request.prompt);
        let work = request_work(request.prompt, request.output, cached);
        let truth = self.true_load();
        self.check_bound(engine, work, &truth);
        self.routers[router as usize].own_work[engine as usize] += work;
        self.start(request, engine, router, work, 0, None);
    }

    /// Chooses one of the `seen` engines by the rule of the replay.
    fn choose_alone(&mut self, router: u32, seen: &[u32], request: &TraceRequest) -> Option<u32> {
        let work = request_work(request.prompt, request.output, 0);
        match self.rule {
            ReplayRule::LeastReported => {
                let least = seen.iter().map(|e| self.engines[*e as usize].reported_work()).min()?;
                let ties =
                    seen.iter().filter(|e| self.engines[**e as usize].reported_work() == least);
                let ties: Vec<u32> = ties.copied().collect();
                Some(ties[self.rng.gen_range(0..ties.len())])
            }
            ReplayRule::BoundedAlone => {
                let own = &self.routers[router as usize].own_work;
                let total: u64 = seen.iter().map(|engine| own[*engine as usize]).sum();
                let load =
                    FleetLoad { work: total, engines: seen.len() as u32, ..FleetLoad::default() };
                let bound = admission_bound(&load, self.setup.multiple, work);
                let keys = seen.iter().map(|engine| engine_key(*engine).0);
                let order = rendezvous_order(request.chat, keys, seen.len());
                let order: Vec<u32> =
                    order.into_iter().map(|key| self.keys[&UpstreamKey(key)]).collect();
                let open = order.iter().find(|engine| (own[**engine as usize] as f64) < bound);
                open.or(order.first()).copied()
            }
            ReplayRule::Random => {
                (!seen.is_empty()).then(|| seen[self.rng.gen_range(0..seen.len())])
            }
            ReplayRule::ExactReuse => {
                let load = self.true_load();
                let best =
                    seen.iter().max_by_key(|e| self.engines[**e as usize].cached(request.chat));
                let holder = best.filter(|engine| {
                    let truth = &self.engines[**engine as usize];
                    let cached = truth.cached(request.chat).min(request.prompt);
                    let work = request_work(request.prompt, request.output, cached);
                    let bound = admission_bound(&load, self.setup.multiple, work);
                    cached > 0 && (truth.work as f64) < bound
                });
                holder.copied().or_else(|| self.least_loaded(seen))
            }
            ReplayRule::ExactSkew => self.least_loaded(seen),
            ReplayRule::Home(..) => None,
        }
    }

    /// Returns the engine with the lowest actual load.
    fn least_loaded(&self, seen: &[u32]) -> Option<u32> {
        seen.iter().min_by_key(|engine| self.engines[**engine as usize].work).copied()
    }
}
