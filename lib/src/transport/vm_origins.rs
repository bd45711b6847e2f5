//! Notes of where streams began: how VMs exchange them, and where a stream that its caller resumes may go
//! on. The decisions are in `stream_origins`. See `docs/design/stream-versions.md`.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;
use tracing::info;

use super::vm_node::VmNode;
use super::vm_origin_state::OriginQuery;
use super::vm_task::CallerTask;
use crate::coordination::stream_origins::{
    next_holders, note_holders, resume_horizon_ms, OriginAnswers, PossibleVersions, ResumeDecision,
    NEW_VERSION_HOLD_MS,
};
use crate::protocol::vm_wire::{OriginNote, OriginQuestion, OriginReply, VmDatagram, VmId};
use crate::state::ids::{ServiceKey, StreamKey};
use crate::state::rollout_order::VersionKey;
use crate::state::route_table::RouteRule;
use crate::state::stream_origin::StreamOrigin;

/// How long to wait for answers before each repetition of a question. Datagrams may be lost.
const ANSWER_WAITS: [Duration; 3] =
    [Duration::from_millis(40), Duration::from_millis(80), Duration::from_millis(160)];
/// The most notes in one datagram, so that it isn't split into fragments.
const MAX_DATAGRAM_NOTES: usize = 48;
/// How many datagrams of queued notes are sent at once.
const QUEUE_BURST: usize = 8;
/// The pause after them, so that a link of 10 Mbit/s has room for other messages.
const QUEUE_PAUSE: Duration = Duration::from_millis(10);

/// The services that a route leads to.
fn services_of(rule: &RouteRule) -> Vec<ServiceKey> {
    let shares = rule.shares.iter().filter(|share| share.weight > 0.0);
    shares.map(|share| ServiceKey::of(&share.name)).collect()
}

impl VmNode {
    fn stream_horizon_ms(&self) -> u64 {
        let routes = self.routes.borrow();
        routes.as_ref().map_or(resume_horizon_ms(0), |routes| routes.stream_horizon_ms)
    }

    /// Whether a service had several versions while the streams began that may still be resumed.
    fn had_several_versions(&self, service: ServiceKey) -> bool {
        let (horizon_ms, now_ms) = (self.stream_horizon_ms(), self.now_ms());
        self.upstreams.borrow().versions.had_several(service, horizon_ms, now_ms)
    }

    /// Whether this VM has had a list for as long as a stream may still be resumed after its begin.
    fn knows_all_versions(&self) -> bool {
        let (horizon_ms, now_ms) = (self.stream_horizon_ms(), self.now_ms());
        self.upstreams.borrow().versions.covers(horizon_ms, now_ms)
    }

    /// Notes where a stream began, and has other VMs keep a copy if several origins are possible. Before this VM
    /// knows all versions, other VMs may know of one that has left the list.
    fn note_stream(&self, stream: StreamKey, origin: StreamOrigin, rule: &RouteRule) {
        self.keep_note(OriginNote { stream, origin });
        let is_split = services_of(rule).len() > 1;
        let several = self.had_several_versions(origin.service) || !self.knows_all_versions();
        if is_split || several {
            let copy = VmDatagram::StreamOrigins(vec![OriginNote { stream, origin }]);
            self.send_datagrams(self.note_holders(stream), &copy);
        }
    }

    fn keep_note(&self, note: OriginNote) {
        let (horizon_ms, now_ms) = (self.stream_horizon_ms(), self.now_ms());
        let mut state = self.origins.borrow_mut();
        state.table.note(note.stream, note.origin, horizon_ms, now_ms);
    }

    fn note_holders(&self, stream: StreamKey) -> Vec<VmId> {
        let view = self.view.borrow();
        note_holders(stream, view.roster.rows.iter().map(|row| row.id), self.id)
    }

    fn next_holders(&self, stream: StreamKey) -> Vec<VmId> {
        let view = self.view.borrow();
        next_holders(stream, view.roster.rows.iter().map(|row| row.id), self.id)
    }

    /// Queues all notes of streams that began at these services for the VMs that `holders` returns.
    fn queue_notes(
        &self,
        services: &BTreeSet<ServiceKey>,
        holders: impl Fn(StreamKey) -> Vec<VmId>,
    ) {
        let notes = self.origins.borrow().table.of_services(services);
        if notes.is_empty() {
            return;
        }
        info!(target: "streams", notes = notes.len(), "other VMs get copies of the notes");
        let mut by_holder: BTreeMap<VmId, Vec<OriginNote>> = BTreeMap::new();
        for (stream, origin) in notes {
            for holder in holders(stream) {
                by_holder.entry(holder).or_default().push(OriginNote { stream, origin });
            }
        }
        let mut state = self.origins.borrow_mut();
        for (holder, notes) in by_holder {
            let parts = notes.chunks(MAX_DATAGRAM_NOTES).map(|part| (holder, part.to_vec()));
            state.queued.extend(parts);
        }
        state.queue_filled.notify_one();
    }

    /// Sends queued notes in a loop, in bursts that fit the socket's buffer.
    pub(super) async fn send_queued_notes(self: Rc<Self>) {
        let filled = self.origins.borrow().queue_filled.clone();
        loop {
            filled.notified().await;
            while self.has_queued_notes() {
                for _ in 0..QUEUE_BURST {
                    let next = self.origins.borrow_mut().queued.pop_front();
                    let Some((holder, notes)) = next else { break };
                    self.send_datagram(holder, &VmDatagram::StreamOrigins(notes));
                }
                tokio::time::sleep(QUEUE_PAUSE).await;
            }
        }
    }

    fn has_queued_notes(&self) -> bool {
        !self.origins.borrow().queued.is_empty()
    }

    /// Has other VMs keep copies of the notes on services that got another version beside an earlier one.
    pub(super) fn share_notes_of_new_versions(&self) {
        let services = self.upstreams.borrow_mut().versions.take_newly_several();
        if !services.is_empty() {
            self.queue_notes(&services, |stream| self.note_holders(stream));
        }
    }

    /// Passes the notes of all services with several versions on before this VM ends, until `end_ms` at most.
    pub(super) async fn hand_notes_over(&self, end_ms: u64) {
        let routes = self.routes.borrow().clone();
        let services = routes.iter().flat_map(|routes| &routes.table.services);
        let keys = services.map(|service| ServiceKey::of(&service.name));
        let several = keys.filter(|service| self.had_several_versions(*service)).collect();
        self.queue_notes(&several, |stream| self.next_holders(stream));
        while self.has_queued_notes() && self.now_ms() < end_ms {
            tokio::time::sleep(QUEUE_PAUSE).await;
        }
    }

    /// Keeps copies of other VMs' notes.
    pub(super) fn receive_notes(&self, notes: Vec<OriginNote>) {
        notes.into_iter().for_each(|note| self.keep_note(note));
    }

    /// Answers where a stream began, as far as this VM knows.
    pub(super) fn answer_origin_question(&self, from: VmId, question: &OriginQuestion) {
        let stream = question.stream;
        let reply = OriginReply {
            number: question.number,
            origin: stream.and_then(|stream| self.origins.borrow().table.get(stream)),
            several: question.services.iter().any(|service| self.had_several_versions(*service)),
        };
        self.send_datagram(from, &VmDatagram::OriginReply(reply));
    }

    /// Notes another VM's answer.
    pub(super) fn receive_origin_reply(&self, from: VmId, reply: OriginReply) {
        if let Some(query) = self.origins.borrow().queries.get(&reply.number) {
            query.answers.borrow_mut().note(from, reply.origin, reply.several);
            query.answered.notify_waiters();
        }
    }

    /// Which versions may have begun a stream of these services that can still be resumed.
    fn possible_versions(&self, services: &[ServiceKey]) -> PossibleVersions {
        if services.iter().any(|service| self.had_several_versions(*service)) {
            return PossibleVersions::Several;
        }
        let in_contact = self.view.borrow().last_contact_ms + NEW_VERSION_HOLD_MS > self.now_ms();
        let is_current = in_contact && !self.upstreams.borrow().is_outdated();
        match is_current && self.knows_all_versions() {
            true => PossibleVersions::One,
            false => PossibleVersions::OnePerhaps,
        }
    }

    /// The only origin of streams of these services, if there is just one.
    fn only_origin(&self, services: &[ServiceKey]) -> Option<StreamOrigin> {
        let [service] = *services else { return None };
        let (horizon_ms, now_ms) = (self.stream_horizon_ms(), self.now_ms());
        let upstreams = self.upstreams.borrow();
        let mut versions = upstreams.versions.within(service, horizon_ms, now_ms);
        let version = versions.next()?;
        versions.next().is_none().then_some(StreamOrigin { service, version })
    }

    /// Asks other VMs where a stream began, until their answers allow a decision or for the sum of
    /// [`ANSWER_WAITS`].
    async fn ask_origin(
        &self,
        stream: Option<StreamKey>,
        services: Vec<ServiceKey>,
        versions: PossibleVersions,
    ) -> ResumeDecision {
        let holders = stream.map_or(Vec::new(), |stream| self.note_holders(stream));
        let keepers = match versions {
            PossibleVersions::OnePerhaps => self.view.borrow().keepers.clone(),
            PossibleVersions::One | PossibleVersions::Several => Vec::new(),
        };
        let query = Rc::new(OriginQuery {
            answers: RefCell::new(OriginAnswers::expect(holders, keepers, self.id)),
            answered: Notify::new(),
        });
        let number = self.draw();
        self.origins.borrow_mut().queries.insert(number, query.clone());
        let _open = OpenQuery { node: self, number };
        let question = VmDatagram::FindOrigin(OriginQuestion { number, stream, services });
        for (round, wait) in ANSWER_WAITS.into_iter().enumerate() {
            let missing = query.answers.borrow().missing();
            self.send_datagrams(missing, &question);
            let decided = async {
                loop {
                    let answered = query.answered.notified();
                    let decision = query.answers.borrow().decide(versions, round == 0);
                    if let Some(decision) = decision {
                        return decision;
                    }
                    answered.await;
                }
            };
            if let Ok(decision) = timeout(wait, decided).await {
                return decision;
            }
        }
        ResumeDecision::Unanswered
    }

    /// The versions of a service that begin no resumable stream yet.
    pub(super) fn new_versions(&self, service: &str) -> Vec<VersionKey> {
        let versions = &self.upstreams.borrow().versions;
        versions.new_versions(ServiceKey::of(service), NEW_VERSION_HOLD_MS, self.now_ms())
    }
}

/// Removes a question when its task ends, also if its caller leaves meanwhile.
struct OpenQuery<'a> {
    node: &'a VmNode,
    number: u64,
}

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.node.origins.borrow_mut().queries.remove(&self.number);
    }
}

impl CallerTask {
    /// The key of the stream that the request begins or resumes.
    fn stream_key(&self) -> StreamKey {
        self.resumed_stream_key().unwrap_or_else(|| StreamKey::of(&self.caller.attempt))
    }

    /// The key of the stream that the request resumes, if its caller names an attempt.
    fn resumed_stream_key(&self) -> Option<StreamKey> {
        let resumes = self.caller.resumes.as_ref().filter(|attempt| !attempt.is_empty());
        resumes.map(|attempt| StreamKey::of(attempt))
    }

    /// Notes that an upstream's events are about to be passed on. The first ones determine the origin.
    pub(super) fn note_origin(&self, rule: &RouteRule, origin: StreamOrigin) {
        if self.origin_noted.replace(true) {
            return;
        }
        let origin = self.origin.get().unwrap_or(origin);
        self.origin.set(Some(origin));
        self.node.note_stream(self.stream_key(), origin, rule);
    }

    /// Decides where the stream that the caller resumes may go on, and asks other VMs if necessary.
    pub(super) async fn find_origin(&self, rule: &RouteRule) -> ResumeDecision {
        let stream = self.resumed_stream_key();
        let known = stream.and_then(|stream| self.node.origins.borrow().table.get(stream));
        if let Some(origin) = known {
            return ResumeDecision::At(origin);
        }
        let services = services_of(rule);
        let versions = self.node.possible_versions(&services);
        let decision = match (versions, services.len()) {
            (PossibleVersions::One, 0..=1) => ResumeDecision::Anywhere,
            _ => self.node.ask_origin(stream, services.clone(), versions).await,
        };
        let decision = match (versions, decision) {
            // Of the services of a split route any could have begun it, at the one version of each.
            (PossibleVersions::One, ResumeDecision::Unanswered) => ResumeDecision::Anywhere,
            (_, ResumeDecision::Anywhere) => self.node.only_origin(&services).into(),
            (_, decision) => decision,
        };
        info!(
            target: "request", attempt = self.caller.attempt, resumes = self.caller.resumes,
            ?versions, ?decision, "where its stream began",
        );
        decision
    }
}
