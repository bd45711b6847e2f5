//! Upstreams that don't answer: how VMs probe them, and how the leader publishes the unresponsive ones.
//!
//! Invariant: a probe only connects, so that it runs nothing at the upstream; the connection is kept for
//! the next request. See `docs/design/silence.md`.

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

/// An upstream is probed whenever it has sent nothing for this long while a request waits for it.
const PROBE_AFTER: Duration = Duration::from_millis(250);
/// How often a leader checks which upstreams to probe, and publishes changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// More unresponsive upstreams than this are sent only with grants, which VMs get at different times: a
/// thousand of them, sent to 300 VMs at every change, would fill the leader's link for seconds.
const MAX_PUBLISHED: usize = 128;

/// The result of waiting for an upstream.
pub(super) enum WaitResult<T> {
    /// The awaited future has completed.
    Done(T),
    /// The deadline has passed.
    TimedOut,
    /// The upstream is unresponsive, and the caller allowed to give up on it.
    Unresponsive,
}

impl VmNode {
    /// Waits for an answer `owed` by an upstream, and probes the upstream while nothing arrives. Gives up on an
    /// unresponsive one only if `may_give_up`: otherwise it may still be running the request.
    pub(super) async fn wait_for<T>(
        self: &Rc<Self>,
        (upstream, address): (UpstreamKey, SocketAddr),
        owed: impl Future<Output = T>,
        deadline_ms: u64,
        may_give_up: bool,
    ) -> WaitResult<T> {
        tokio::pin!(owed);
        let mut probe_at = Instant::now() + PROBE_AFTER;
        loop {
            let changed = self.silence_changed.notified();
            // Computed in each round, since timers stand still while the VM is suspended.
            let left_ms = deadline_ms.saturating_sub(self.now_ms());
            if may_give_up && self.is_unresponsive(upstream) {
                return WaitResult::Unresponsive;
            }
            tokio::select! {
                biased;
                done = owed.as_mut() => return WaitResult::Done(done),
                () = sleep(Duration::from_millis(left_ms)) => return WaitResult::TimedOut,
                () = sleep_until(probe_at) => {
                    probe_at += PROBE_AFTER;
                    self.probe_upstream(upstream, address);
                }
                () = changed => {}
            }
        }
    }

    /// Whether an upstream is unresponsive by what this VM last received.
    pub(super) fn is_unresponsive(&self, upstream: UpstreamKey) -> bool {
        self.silence.borrow().view.is_unresponsive(upstream, self.now_ms())
    }

    /// Records whether a connection to an upstream came up, or why it didn't.
    pub(super) fn note_connect(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        fault: Option<ConnectFault>,
    ) {
        let now_ms = self.now_ms();
        match fault {
            None => self.silence.borrow_mut().view.reached(upstream),
            Some(ConnectFault::Disallowed) => {}
            Some(ConnectFault::ConnectionRefused) => self.note_unreached(upstream),
            Some(ConnectFault::NoAnswer) => {
                self.note_unreached(upstream);
                {
                    let mut state = self.silence.borrow_mut();
                    if self.is_isolated() {
                        return state.view.avoid(upstream, now_ms);
                    }
                    state.view.suspect(upstream, now_ms);
                    // Bounds the renewals at the leader when many VMs lose a zone at once: by estimate, 300 VMs
                    // would send it 2.6 MB a second with 60 ms between a VM's renewals, and 2.5 MB with this pause.
                    let vms = self.view.borrow().roster.rows.len();
                    if state.renewed_ms + overloaded_renew_ms(vms) > now_ms {
                        return;
                    }
                    state.renewed_ms = now_ms;
                }
                self.renew();
                self.silence_changed.notify_waiters();
            }
        }
    }

    /// Starts a probe of an upstream, unless one has begun a short while ago.
    fn probe_upstream(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr) {
        if self.silence.borrow_mut().view.begin_probe(upstream, self.now_ms()) {
            let node = self.clone();
            spawn_local(async move { node.connect_only(upstream, address).await });
        }
    }

    /// Connects and keeps the connection in the pool. Returns why there is none otherwise.
    pub(super) async fn connect_only(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Option<ConnectFault> {
        match self.pool.connect(self.probe_target(upstream, address)).await {
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

    /// The target of a connection that only shows whether an upstream can be reached.
    pub(super) fn probe_target(&self, upstream: UpstreamKey, address: SocketAddr) -> ConnectTarget {
        let (purpose, now_ms) = (ApproachPurpose::Trial, self.now_ms());
        ConnectTarget { upstream, address, purpose, now_ms }
    }

    /// Records the upstreams that a VM suspects to be unresponsive, as the leader of `term`.
    pub(super) fn record_suspicions(&self, term: u64, from: VmId, suspicions: &[UpstreamKey]) {
        let now_ms = self.now_ms();
        let mut state = self.silence.borrow_mut();
        for upstream in suspicions {
            state.table.suspect(term, *upstream, from, now_ms);
        }
    }

    /// Probes suspected upstreams and publishes unresponsive ones, in a loop, while this VM leads.
    pub(super) async fn watch_silence(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
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

    /// Probes an upstream and records the result in the leader's table.
    async fn probe_as_leader(self: Rc<Self>, upstream: UpstreamKey, address: SocketAddr) {
        let fault = self.connect_only(upstream, address).await;
        let now_ms = self.now_ms();
        let table = &mut self.silence.borrow_mut().table;
        match fault {
            Some(_) if self.is_isolated() => table.note_probe_skipped(upstream, now_ms),
            Some(ConnectFault::Disallowed) => table.note_probe_skipped(upstream, now_ms),
            // A refused connection shows that the machine can be reached.
            None | Some(ConnectFault::ConnectionRefused) => {
                table.note_probe(upstream, self.id, true, now_ms);
            }
            Some(ConnectFault::NoAnswer) => table.note_probe(upstream, self.id, false, now_ms),
        }
    }

    /// Publishes to all VMs which upstreams are unresponsive, if that has changed.
    fn publish_unresponsive(&self, term: u64) {
        let unresponsive = self.silence.borrow().table.unresponsive();
        let before =
            std::mem::replace(&mut self.silence.borrow_mut().published, unresponsive.clone());
        self.apply_unresponsive(unresponsive.clone());
        if before == unresponsive {
            return;
        }
        let names = |keys: &[UpstreamKey], without: &[UpstreamKey]| -> Vec<String> {
            let upstreams = self.upstreams.borrow();
            let other = keys.iter().filter(|key| !without.contains(key));
            other.filter_map(|key| Some(upstreams.entries.get(key)?.name.clone())).collect()
        };
        let (fresh, back) = (names(&unresponsive, &before), names(&before, &unresponsive));
        info!(target: "silence", dark = unresponsive.len(), ?fresh, ?back, "changed");
        if unresponsive.len() > MAX_PUBLISHED {
            return;
        }
        self.send_to_others(&VmDatagram::Unresponsive { term, upstreams: unresponsive });
    }

    /// The unresponsive upstreams, for a grant; `None` if `known` shows that the VM has them already.
    pub(super) fn unresponsive_update(
        &self,
        known: UnresponsiveRevision,
    ) -> Option<Vec<UpstreamKey>> {
        let unresponsive = self.silence.borrow().table.unresponsive();
        (UnresponsiveRevision::of(&unresponsive) != known).then_some(unresponsive)
    }

    /// Applies the leader's set of unresponsive upstreams.
    pub(super) fn apply_unresponsive(&self, unresponsive: Vec<UpstreamKey>) {
        let now_ms = self.now_ms();
        if self.silence.borrow_mut().view.take(unresponsive, now_ms) {
            self.silence_changed.notify_waiters();
        }
    }
}
