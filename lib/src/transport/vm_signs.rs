//! Passive health checks: records how sends went, for this VM's outlier ejection and for the leader.

use tracing::info;

use super::vm_pool::ConnectFault;
use super::vm_task::CallerTask;
use crate::state::ids::UpstreamKey;

/// The maximum share of a service's upstreams that is ejected by passive health checks.
const MAX_EJECTED_SHARE: f64 = 0.34;

/// A fault of an upstream that a send revealed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum HealthFault {
    /// This incarnation's process has ended.
    Ended,
    /// The upstream's address refuses connections.
    Refused,
    /// The upstream can't be reached.
    Unreachable,
    /// The upstream failed a request.
    Failure,
    /// The upstream broke off an answer after its head.
    Cut,
}

impl CallerTask {
    /// Records that no connection to an upstream was established.
    pub(super) fn note_connect_fault(&self, upstream: UpstreamKey, fault: ConnectFault) {
        match fault {
            ConnectFault::ConnectionRefused => {
                self.note_health_fault(upstream, HealthFault::Refused, "connection refused");
            }
            ConnectFault::NoAnswer => {
                self.note_health_fault(upstream, HealthFault::Unreachable, "cannot be reached");
            }
            ConnectFault::Disallowed => {}
        }
    }

    /// Records for the leader whether a send succeeded.
    pub(super) fn note_outcome(&self, upstream: UpstreamKey, went_well: bool) {
        // An isolated VM fails with every upstream.
        if self.node.is_isolated() && !went_well {
            return;
        }
        self.node.health.borrow_mut().outbox.note(upstream, went_well);
    }

    /// Records a failed request; `what` is the log message.
    pub(super) fn note_failure(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Failure, what);
    }

    /// Records an answer that broke off after its head; `what` is the log message.
    pub(super) fn note_cut(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Cut, what);
    }

    /// Records a fault for this VM's outlier ejection and for the leader, and logs it.
    fn note_health_fault(&self, upstream: UpstreamKey, fault: HealthFault, what: &'static str) {
        let now_ms = self.node.now_ms();
        let upstreams = self.node.upstreams.borrow();
        let Some(entry) = upstreams.entries.get(&upstream) else { return };
        let fleet = upstreams.accepting(&entry.service).map(|(key, _)| key);
        if self.node.is_isolated() {
            return info!(
                target: "upstream", life = entry.name, attempt = self.caller.attempt,
                "{what}, while this VM is isolated",
            );
        }
        self.node.counters.borrow_mut().failure_signs += 1;
        if fault == HealthFault::Refused {
            self.node.note_refused(upstream);
        }
        let mut outliers = self.node.outliers.borrow_mut();
        match fault {
            HealthFault::Ended => outliers.note_ended(upstream),
            HealthFault::Refused => {}
            HealthFault::Unreachable => {
                outliers.note_dead(upstream, fleet, MAX_EJECTED_SHARE, now_ms)
            }
            HealthFault::Cut => outliers.note_cut(upstream, fleet, MAX_EJECTED_SHARE, now_ms),
            HealthFault::Failure => {
                outliers.note_failure(upstream, fleet, MAX_EJECTED_SHARE, now_ms)
            }
        }
        self.note_outcome(upstream, false);
        info!(
            target: "upstream", life = entry.name, attempt = self.caller.attempt,
            aside = outliers.is_ejected(upstream, now_ms), "{what}",
        );
    }

    /// Records that this incarnation's process has ended; `what` is the log message.
    pub(super) fn note_ended(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Ended, what);
    }
}
