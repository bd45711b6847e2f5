//! Waiting for upstreams that may be silent: who tries to reach them, and who is notified.
//!
//! Invariant: a try is a connection and nothing more, so that it runs nothing anywhere; one that comes
//! up is kept for the next request. See `docs/design/silence.md`.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::info;

use super::vm_node::VmNode;
use super::vm_pool::{ConnectFault, ConnectTarget};
use crate::coordination::silence::UnresponsiveRevision;
use crate::coordination::upstream_notice::ApproachPurpose;
use crate::coordination::vm_roster::overloaded_renew_ms;
use crate::protocol::vm_wire::{VmDatagram, VmId};
use crate::state::ids::UpstreamKey;

/// An upstream that says nothing for this long while it owes an answer is tried.
const TRY_AFTER: Duration = Duration::from_millis(250);
/// How often a leader looks which upstreams to try, and publishes what has changed.
const LOOK: Duration = Duration::from_millis(50);

/// More dark upstreams than this are sent with grants only, each VM in its turn: 300 VMs sent a
/// thousand at each change are seconds of a leader's link.
const MOST_SENT_AT_ONCE: usize = 128;

/// What came of waiting for an upstream.
pub(super) enum WaitResult<T> {
    /// It said something, or its connection ended.
    Done(T),
    /// The time was over.
    TimedOut,
    /// It is dark.
    Unresponsive,
}

impl VmNode {
    /// Waits for something that an upstream owes, and tries whether it can be reached when it says
    /// nothing. Gives up on a dark one only if `may_leave`: else it may still be at work.
    pub(super) async fn wait_for<T>(
        self: &Rc<Self>,
        (upstream, address): (UpstreamKey, SocketAddr),
        owed: impl Future<Output = T>,
        deadline_ms: u64,
        may_leave: bool,
    ) -> WaitResult<T> {
        tokio::pin!(owed);
        let mut try_at = Instant::now() + TRY_AFTER;
        loop {
            let changed = self.silence_changed.notified();
            // Anew each time, since the timer stands still while the VM is suspended.
            let left_ms = deadline_ms.saturating_sub(self.now_ms());
            if may_leave && self.is_unresponsive(upstream) {
                return WaitResult::Unresponsive;
            }
            tokio::select! {
                biased;
                done = owed.as_mut() => return WaitResult::Done(done),
                () = sleep(Duration::from_millis(left_ms)) => return WaitResult::TimedOut,
                () = sleep_until(try_at) => {
                    try_at += TRY_AFTER;
                    self.probe_upstream(upstream, address);
                }
                () = changed => {}
            }
        }
    }

    /// Whether an upstream is dark, as far as this VM knows.
    pub(super) fn is_unresponsive(&self, upstream: UpstreamKey) -> bool {
        self.silence.borrow().view.is_unresponsive(upstream, self.now_ms())
    }

    /// A connection to an upstream came up, or didn't.
    pub(super) fn note_connect(&self, upstream: UpstreamKey, fault: Option<ConnectFault>) {
        let now_ms = self.now_ms();
        match fault {
            None => self.silence.borrow_mut().view.reached(upstream),
            Some(ConnectFault::ConnectionRefused | ConnectFault::NotAttempted) => {}
            Some(ConnectFault::NoAnswer) => {
                {
                    let mut desk = self.silence.borrow_mut();
                    desk.view.suspect(upstream, now_ms);
                    // No more renewals than a leader takes; worked out, not shown: a day of 300 VMs with a
                    // zone lost gave 2.6 MB a second at the leader with 60 ms between them and 2.5 with this.
                    let vms = self.view.borrow().roster.rows.len();
                    if desk.renewed_ms + overloaded_renew_ms(vms) > now_ms {
                        return;
                    }
                    desk.renewed_ms = now_ms;
                }
                self.renew();
                self.silence_changed.notify_waiters();
            }
        }
    }

    fn probe_upstream(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr) {
        if self.silence.borrow_mut().view.begin_probe(upstream, self.now_ms()) {
            let node = self.clone();
            spawn_local(async move { node.connect_only(upstream, address).await });
        }
    }

    /// Connects, and keeps the connection; why there is none otherwise.
    pub(super) async fn connect_only(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Option<ConnectFault> {
        match self.pool.connect(self.trial(upstream, address)).await {
            Ok(lease) => {
                self.note_connect(upstream, None);
                lease.finish(false, None, self.now_ms()).await;
                None
            }
            Err(fault) => {
                self.note_connect(upstream, Some(fault));
                Some(fault)
            }
        }
    }

    /// To see whether an upstream can be reached, now.
    pub(super) fn trial(&self, upstream: UpstreamKey, address: SocketAddr) -> ConnectTarget {
        let (purpose, now_ms) = (ApproachPurpose::Trial, self.now_ms());
        ConnectTarget { upstream, address, purpose, now_ms }
    }

    /// Takes a VM's doubts, as the leader of `term`.
    pub(super) fn record_suspicions(&self, term: u64, from: VmId, doubts: &[UpstreamKey]) {
        let now_ms = self.now_ms();
        let mut desk = self.silence.borrow_mut();
        for upstream in doubts {
            desk.table.suspect(term, *upstream, from, now_ms);
        }
    }

    /// Tries what is doubted and publishes what is dark, for ever; a VM that doesn't lead does nothing.
    pub(super) async fn watch_silence(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LOOK).await;
            let now_ms = self.now_ms();
            let term = match &*self.keeper.borrow() {
                Some(keeper) if keeper.is_confirmed_leader(now_ms) => keeper.term(),
                _ => continue,
            };
            let due = self.silence.borrow_mut().table.due_probes(now_ms);
            for upstream in due {
                let address = self.upstreams.borrow().entries.get(&upstream).map(|row| row.address);
                if let Some(address) = address {
                    spawn_local(self.clone().probe_as_leader(upstream, address));
                }
            }
            self.publish_unresponsive(term);
        }
    }

    async fn probe_as_leader(self: Rc<Self>, upstream: UpstreamKey, address: SocketAddr) {
        let fault = self.connect_only(upstream, address).await;
        let now_ms = self.now_ms();
        let table = &mut self.silence.borrow_mut().table;
        match fault {
            Some(ConnectFault::NotAttempted) => table.note_probe_skipped(upstream, now_ms),
            // A machine that refuses connections can be reached.
            None | Some(ConnectFault::ConnectionRefused) => {
                table.note_probe(upstream, self.id, true, now_ms);
            }
            Some(ConnectFault::NoAnswer) => table.note_probe(upstream, self.id, false, now_ms),
        }
    }

    /// Publishes to all VMs which upstreams are dark, if others are than before.
    fn publish_unresponsive(&self, term: u64) {
        let dark = self.silence.borrow().table.unresponsive();
        let before = std::mem::replace(&mut self.silence.borrow_mut().published, dark.clone());
        self.apply_unresponsive(dark.clone());
        if before == dark {
            return;
        }
        let lives = |keys: &[UpstreamKey], without: &[UpstreamKey]| -> Vec<String> {
            let upstreams = self.upstreams.borrow();
            let other = keys.iter().filter(|key| !without.contains(key));
            other.filter_map(|key| Some(upstreams.entries.get(key)?.name.clone())).collect()
        };
        let (fresh, back) = (lives(&dark, &before), lives(&before, &dark));
        info!(target: "silence", dark = dark.len(), ?fresh, ?back, "changed");
        if dark.len() > MOST_SENT_AT_ONCE {
            return;
        }
        self.send_to_others(&VmDatagram::Dark { term, upstreams: dark });
    }

    /// What a leader answers to a VM that received the dark upstreams `known`.
    pub(super) fn unresponsive_update(
        &self,
        known: UnresponsiveRevision,
    ) -> Option<Vec<UpstreamKey>> {
        let dark = self.silence.borrow().table.unresponsive();
        (UnresponsiveRevision::of(&dark) != known).then_some(dark)
    }

    /// The leader published which upstreams are dark.
    pub(super) fn apply_unresponsive(&self, dark: Vec<UpstreamKey>) {
        let now_ms = self.now_ms();
        if self.silence.borrow_mut().view.take(dark, now_ms) {
            self.silence_changed.notify_waiters();
        }
    }
}
