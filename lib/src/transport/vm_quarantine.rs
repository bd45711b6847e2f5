//! Requests that end upstreams: from what a VM saw to the leader, and from the log into what every VM
//! refuses. See `docs/design/quarantine.md`.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tracing::info;

use super::vm_node::VmNode;
use crate::coordination::crash_outbox::{CrashReport, SeenCrash};
use crate::coordination::vm_roster::overloaded_renew_ms;
use crate::protocol::vm_wire::VmDatagram;
use crate::state::fleet_record::FleetCommand;
use crate::state::ids::RequestFingerprint;
use crate::state::quarantine::{QuarantineCommand, QuarantineTable};

impl VmNode {
    /// An upstream ended under a request. The leader hears it at once, as fast as it can take renewals.
    pub(super) fn note_ended_under(self: &Rc<Self>, seen: SeenCrash) {
        let (pause_ms, now_ms) = (self.renewal_pause_ms(), self.now_ms());
        let mut desk = self.quarantine.borrow_mut();
        self.renew_after(desk.note_ended(seen, pause_ms, now_ms));
    }

    /// A request ran to its end and its upstream lives: likewise, where that is asked for.
    pub(super) fn note_ran_well(self: &Rc<Self>, mark: RequestFingerprint) {
        let (pause_ms, now_ms) = (self.renewal_pause_ms(), self.now_ms());
        let mut desk = self.quarantine.borrow_mut();
        self.renew_after(desk.note_well(mark, pause_ms, now_ms));
    }

    fn renewal_pause_ms(&self) -> u64 {
        overloaded_renew_ms(self.view.borrow().roster.rows.len())
    }

    /// Renews after so many milliseconds, if that is due.
    fn renew_after(self: &Rc<Self>, wait_ms: Option<u64>) {
        let Some(wait_ms) = wait_ms else { return };
        let node = self.clone();
        spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            node.renew();
        });
    }

    /// Takes what a VM reports of upstreams that ended, as the leader of `term`.
    pub(super) fn take_crashes(
        &self,
        term: u64,
        report: &CrashReport,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) {
        self.quarantine.borrow_mut().hear(term, report, recorded, now_ms);
    }

    /// The same for what this VM saw itself while it leads; and takes what is recorded.
    pub(super) fn hear_own_crashes(&self, term: u64, recorded: &QuarantineTable, now_ms: u64) {
        let news = {
            let mut desk = self.quarantine.borrow_mut();
            let own = desk.take_report(now_ms);
            desk.hear(term, &own, recorded, now_ms);
            desk.confirm(term, own.last());
            recorded.update_since(desk.changes())
        };
        news.into_iter().for_each(|table| self.take_quarantine(table));
    }

    /// Proposes what is to be recorded, as the leader.
    pub(super) fn lead_quarantine(&self) {
        let now_ms = self.now_ms();
        let wanted = match &*self.keeper.borrow() {
            Some(keeper) if keeper.may_vouch(now_ms) => {
                let recorded = &keeper.record.quarantine;
                let vms = keeper.roster.rows().len();
                self.quarantine.borrow_mut().wanted(keeper.term(), recorded, vms, now_ms)
            }
            _ => return,
        };
        for command in wanted {
            match &command {
                QuarantineCommand::Set(row) => info!(
                    target: "quarantine", request = %row.fingerprint, held = row.quarantined, times = row.times,
                    ended = row.ended.len(), "decides",
                ),
                QuarantineCommand::Clear(mark) => {
                    info!(target: "quarantine", request = %mark, "is cleared");
                }
            }
            let command = FleetCommand::Quarantine(command);
            // Whether it is taken shows in the log; what isn't is proposed again.
            self.step_keeper(|keeper, now_ms| keeper.order(command, now_ms).1);
        }
    }

    /// Takes the requests that are held, as a leader sent them.
    pub(super) fn take_quarantine(&self, table: QuarantineTable) {
        for mark in self.quarantine.borrow_mut().take(table) {
            info!(target: "quarantine", request = %mark, "is refused from now on");
        }
    }

    /// Publishes to all VMs at once what is held, as the leader: each request that is sent meanwhile ends one
    /// more upstream. A VM that misses it hears of it with its next grant.
    pub(super) fn send_quarantine(&self) {
        let now_ms = self.now_ms();
        let (term, table) = match &*self.keeper.borrow() {
            Some(keeper) if keeper.may_vouch(now_ms) => {
                (keeper.term(), keeper.record.quarantine.clone())
            }
            _ => return,
        };
        self.take_quarantine(table.clone());
        self.send_others(&VmDatagram::Quarantine { term, table });
    }

    /// Sends a datagram to all VMs that this one knows.
    pub(super) fn send_others(&self, datagram: &VmDatagram) {
        let view = self.view.borrow();
        let others = view.roster.rows.iter().map(|row| row.id).filter(|id| *id != self.id);
        self.send_datagrams(others, datagram);
    }
}
