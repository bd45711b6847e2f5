//! The quarantine of requests that end upstreams: VMs report crashes to the leader, the leader proposes which
//! requests are quarantined, and all VMs refuse those. See `docs/design/quarantine.md`.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tracing::info;

use super::vm_node::VmNode;
use crate::coordination::crash_outbox::{CrashReport, ObservedCrash};
use crate::coordination::vm_roster::overloaded_renew_ms;
use crate::protocol::vm_wire::VmDatagram;
use crate::state::fleet_record::FleetCommand;
use crate::state::ids::{RequestFingerprint, UpstreamKey};
use crate::state::quarantine::{QuarantineCommand, QuarantineTable};

impl VmNode {
    /// Reports to the leader that an upstream ended while running a request: at once, but no more often than the
    /// leader can receive renewals.
    pub(super) fn report_crash(self: &Rc<Self>, seen: ObservedCrash) {
        let (pause_ms, now_ms) = (self.renewal_pause_ms(), self.now_ms());
        let mut state = self.quarantine.borrow_mut();
        self.renew_after(state.note_crash(seen, pause_ms, now_ms));
    }

    /// Reports to the leader that a request ran to its end without ending its upstream, if the request is
    /// watched.
    pub(super) fn report_completed(self: &Rc<Self>, fingerprint: RequestFingerprint) {
        let (pause_ms, now_ms) = (self.renewal_pause_ms(), self.now_ms());
        let mut state = self.quarantine.borrow_mut();
        self.renew_after(state.note_completed(fingerprint, pause_ms, now_ms));
    }

    /// Notes that an upstream answered a request, for the case that it is recorded as crashed.
    pub(super) fn note_answered(&self, upstream: UpstreamKey, sent_ms: u64) {
        let now_ms = self.now_ms();
        self.outliers.borrow_mut().note_answered(upstream);
        self.quarantine.borrow_mut().note_answered(upstream, sent_ms, now_ms);
    }

    /// The upstreams that are recorded as crashed although they run, to be reported with each renewal until the
    /// table no longer names them.
    pub(super) fn wrongly_crashed(&self) -> Vec<UpstreamKey> {
        let upstreams = self.upstreams.borrow();
        let is_listed = |key| upstreams.entries.contains_key(&key);
        let mut state = self.quarantine.borrow_mut();
        let answered = state.wrongly_crashed(is_listed, self.now_ms());
        if !answered.is_empty() {
            state.drop_reports(&answered);
        }
        answered
    }

    /// Takes back the crashes of upstreams that a VM reported to run, if this VM leads.
    pub(super) fn withdraw_crashes(&self, answered: &[UpstreamKey]) {
        let now_ms = self.now_ms();
        let keeper = self.keeper.borrow();
        let Some(keeper) = keeper.as_ref().filter(|keeper| keeper.is_confirmed_leader(now_ms))
        else {
            return;
        };
        let mut state = self.quarantine.borrow_mut();
        state.withdraw(keeper.term(), answered);
        state.drop_reports(answered);
    }

    /// The shortest interval between renewals that the leader can receive from all VMs, in milliseconds.
    fn renewal_pause_ms(&self) -> u64 {
        overloaded_renew_ms(self.view.borrow().roster.rows.len())
    }

    /// Sends a renewal after `wait_ms` milliseconds; none if `wait_ms` is `None`.
    fn renew_after(self: &Rc<Self>, wait_ms: Option<u64>) {
        let Some(wait_ms) = wait_ms else { return };
        let node = self.clone();
        spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            node.renew();
        });
    }

    /// Adds a VM's report of upstreams that ended, as the leader of `term`.
    pub(super) fn receive_crashes(
        &self,
        term: u64,
        report: &CrashReport,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) {
        self.quarantine.borrow_mut().count_report(term, report, recorded, now_ms);
    }

    /// Adds this VM's own report, as the leader of `term`, and applies the recorded quarantine to this VM.
    pub(super) fn receive_own_crashes(&self, term: u64, recorded: &QuarantineTable, now_ms: u64) {
        let update = {
            let mut state = self.quarantine.borrow_mut();
            let own = state.take_report(now_ms);
            state.count_report(term, &own, recorded, now_ms);
            state.confirm(term, own.last());
            recorded.update_since(state.changes())
        };
        update.into_iter().for_each(|table| self.apply_quarantine(table));
    }

    /// Proposes changes of the quarantine to the replicated log, as the leader.
    pub(super) fn propose_quarantine(&self) {
        let now_ms = self.now_ms();
        let wanted = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => {
                let recorded = &keeper.record.quarantine;
                let vms = keeper.roster.rows().len();
                self.quarantine.borrow_mut().commands_to_propose(
                    keeper.term(),
                    recorded,
                    vms,
                    now_ms,
                )
            }
            _ => return,
        };
        for command in wanted {
            match &command {
                QuarantineCommand::Set(row) => info!(
                    target: "quarantine", request = %row.fingerprint, part = row.fingerprint.is_part(), held = row.quarantined, times = row.times,
                    ended = row.ended.len(), "decides",
                ),
                QuarantineCommand::Clear(fingerprint) => {
                    info!(target: "quarantine", request = %fingerprint, "quarantine cleared");
                }
            }
            let command = FleetCommand::Quarantine(command);
            // The result is not checked: a change that the log doesn't accept is proposed again.
            self.step_keeper(|keeper, now_ms| keeper.order(command, now_ms).1);
        }
    }

    /// Applies the table of quarantined requests that a leader sent.
    pub(super) fn apply_quarantine(&self, table: QuarantineTable) {
        for fingerprint in self.quarantine.borrow_mut().take(table, self.now_ms()) {
            let part = fingerprint.is_part();
            info!(target: "quarantine", request = %fingerprint, part, "request quarantined");
        }
    }

    /// Sends the quarantined requests to all VMs at once, as the leader, since each quarantined request that is
    /// still sent ends one more upstream. A VM that misses the datagram receives them with its next grant.
    pub(super) fn publish_quarantine(&self) {
        let now_ms = self.now_ms();
        let (term, table) = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => {
                (keeper.term(), keeper.record.quarantine.clone())
            }
            _ => return,
        };
        self.apply_quarantine(table.clone());
        self.send_to_others(&VmDatagram::Quarantine { term, table });
    }

    /// Sends a datagram to all other VMs in the roster.
    pub(super) fn send_to_others(&self, datagram: &VmDatagram) {
        let view = self.view.borrow();
        let others = view.roster.rows.iter().map(|row| row.id).filter(|id| *id != self.id);
        self.send_datagrams(others, datagram);
    }
}
