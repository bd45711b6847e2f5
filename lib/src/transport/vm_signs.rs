//! What a send shows for and against its upstream's health, here and for the leader.

use tracing::info;

use super::vm_pool::ConnectFault;
use super::vm_task::CallerTask;
use crate::state::ids::UpstreamKey;

/// At most this share of a service's upstreams is set aside on passive health checks.
const ASIDE_SHARE: f64 = 0.34;
/// What a send shows against an upstream.
enum HealthFault {
    /// This life has ended.
    Gone,
    /// It can't be reached.
    Silent,
    /// It failed a request.
    Failure,
    /// It broke an answer off after its head.
    Cut,
}

impl CallerTask {
    pub(super) fn note_fault(&self, upstream: UpstreamKey, fault: ConnectFault) {
        match fault {
            ConnectFault::NobodyListens => {
                self.note_health_fault(upstream, HealthFault::Gone, "connection refused");
            }
            ConnectFault::NoAnswer => {
                self.note_health_fault(upstream, HealthFault::Silent, "cannot be reached");
            }
            ConnectFault::Unwanted => {}
        }
    }

    /// Notes how a send went, for the leader.
    pub(super) fn note_outcome(&self, upstream: UpstreamKey, went_well: bool) {
        self.node.health.borrow_mut().outbox.note(upstream, went_well);
    }

    pub(super) fn note_failure(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Failure, what);
    }

    pub(super) fn note_cut(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Cut, what);
    }

    fn note_health_fault(&self, upstream: UpstreamKey, fault: HealthFault, what: &'static str) {
        let now_ms = self.node.now_ms();
        let upstreams = self.node.upstreams.borrow();
        let Some(entry) = upstreams.entries.get(&upstream) else { return };
        let fleet = upstreams.accepting(&entry.service).map(|(key, _)| key);
        self.node.figures.borrow_mut().failure_signs += 1;
        let mut outliers = self.node.outliers.borrow_mut();
        match fault {
            HealthFault::Gone => outliers.note_gone(upstream),
            HealthFault::Silent => outliers.note_dead(upstream, fleet, ASIDE_SHARE, now_ms),
            HealthFault::Cut => outliers.note_cut(upstream, fleet, ASIDE_SHARE, now_ms),
            HealthFault::Failure => outliers.note_failure(upstream, fleet, ASIDE_SHARE, now_ms),
        }
        self.note_outcome(upstream, false);
        info!(
            target: "upstream", life = entry.name, attempt = self.caller.attempt,
            aside = outliers.is_aside(upstream, now_ms), "{what}",
        );
    }

    /// This life has ended.
    pub(super) fn note_gone(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Gone, what);
    }
}
