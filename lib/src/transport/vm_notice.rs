//! Records the notices (backoff, leaving) that an upstream sends in its answers.
//!
//! Invariant: a notice is recorded for an incarnation only from an answer to a request that was sent to that
//! incarnation. See `docs/design/upstream-notices.md`.

use hyper::http::response;
use tracing::info;

use super::vm_place::SendTarget;
use super::vm_task::CallerTask;
use crate::protocol::wire_adapter::UpstreamAnswer;

impl CallerTask {
    /// Records the notices in the head of an answer to this request.
    pub(super) fn record_notices(&self, target: &SendTarget, facts: &UpstreamAnswer) {
        if facts.other_incarnation {
            return;
        }
        self.record_brittle(target, facts);
        let now_ms = self.node.now_ms();
        let drain_ms = self.node.settings.borrow().bounds.drain_ms;
        let mut notices = self.node.pool.notices().borrow_mut();
        match facts.backoff_ms {
            Some(rest_ms) => {
                notices.note_backoff(target.upstream, rest_ms, self.node.clock.next_ms());
                self.node.counters.borrow_mut().backoffs += 1;
            }
            None if facts.not_run => notices.note_rejected(target.upstream, now_ms),
            None => notices.note_accepted(target.upstream, now_ms),
        }
        if facts.leaving && notices.note_leaving(target.upstream, drain_ms, now_ms) {
            info!(target: "upstream", life = target.send.name, "upstream announced that it is leaving");
        }
    }

    /// Records whether an upstream is brittle, and whether it had room for this request.
    fn record_brittle(&self, target: &SendTarget, facts: &UpstreamAnswer) {
        let service = &target.routes.table.services[target.service].name;
        let mut services = self.node.brittle.borrow_mut();
        let now_ms = self.node.now_ms();
        let service = match (services.get_mut(service), facts.brittle) {
            (Some(known), _) => known,
            (None, Some(_)) => services.entry(service.clone()).or_default(),
            (None, None) => return,
        };
        if let Some(limit_per_s) = facts.brittle {
            service.note_announced(limit_per_s, now_ms);
        }
        let upstream = target.upstream;
        if facts.not_run {
            let vms = self.node.view.borrow().roster.rows.len();
            return service.note_rejected(upstream, vms, now_ms);
        }
        let own_load = self.node.in_flight.borrow().get(&upstream).copied().unwrap_or(0);
        service.note_accepted(upstream, own_load, now_ms);
    }

    /// Logs that an upstream refused to run the request, and how much of an earlier requested backoff was left
    /// when the request was sent.
    pub(super) fn log_refusal(
        &self,
        target: &SendTarget,
        facts: &UpstreamAnswer,
        head: &response::Parts,
        reused: bool,
    ) {
        let rests_ms =
            self.node.pool.notices().borrow().backoff_ms(target.upstream, target.sent_ms);
        info!(
            target: "upstream", life = target.send.name, attempt = self.caller.attempt,
            status = head.status.as_u16(), asks_ms = facts.backoff_ms, rests_ms,
            kept = reused, "did not run it",
        );
    }
}
