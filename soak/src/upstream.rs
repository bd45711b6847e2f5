//! The upstreams of a run. Their plain answers and streams consist of the id of the attempt, so that every
//! byte identifies its request.
//!
//! A run is recorded before work on it begins, so a request whose answer is lost still counts as run.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

use crate::answer_make::{draw_of, AnswerKind, AnswerPlan, Framing, FOREIGN_ATTEMPT};
use crate::ledger::{ArrivalRow, LifeRow, RunLedger, RunRow, SentEnd, SentRow};
use crate::link::{LinkProxy, SharedPartition};
use crate::platform::{
    ATTEMPT, BRITTLE, EXPECTED_INSTANCE, LEAVING, NOT_RUN, PROMPT, RETRY_AFTER, STAMP,
};
use crate::schedule::VersionFault;
use crate::site::vm_of;
use crate::upstream_wire::{split, AfterAnswer, PartialAnswer, WireRequest, WireWriter};

/// Number of requests that an upstream runs at a time. It refuses further ones.
const UPSTREAM_SLOTS: u32 = 32;
/// Additional time that a version with [`VersionFault::Slow`] takes for a bad answer.
const SLOW_DELAY: Duration = Duration::from_millis(700);
/// Time that a plain request takes.
const PLAIN_DELAY: Duration = Duration::from_millis(20);

/// The properties of an upstream that all its incarnations share.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// The index of the upstream.
    pub index: usize,
    /// The service of the upstream.
    pub service: String,
    /// The zone of the upstream.
    pub zone: String,
    /// The address in the list, at which the link of VMs to the upstream listens.
    pub listed: SocketAddr,
    /// The address at which the upstream listens, behind the link.
    pub inner: SocketAddr,
}

/// State that an incarnation shares with its connections.
struct IncarnationState {
    spec: UpstreamSpec,
    id: String,
    /// A number that no other incarnation has, even under the same id.
    number: u64,
    /// The back-off that the upstream requests while it refuses all requests, in milliseconds; 0 while it
    /// does not.
    backoff_ms: Cell<u64>,
    running: Cell<u32>,
    leaving: Cell<bool>,
    faulty: Cell<bool>,
    early: Cell<bool>,
    version: String,
    fault: VersionFault,
    started: Instant,
    crash: Notify,
    /// How many requests the upstream runs at a time and rejects per second while it is brittle.
    brittle: Cell<Option<(u32, u32)>>,
    /// When it rejected requests within the last second.
    rejected: RefCell<Vec<Instant>>,
    /// Whether it has rejected too many and falls over.
    overturned: Cell<bool>,
    /// Whether the upstream has begun to run a request that crashes it.
    fatal: Cell<bool>,
    ledger: Rc<RunLedger>,
}

/// The start of the body of a request that crashes the upstream which runs it.
pub const FATAL_BODY: &str = "fatal";

/// The start of the id of a prompt part that crashes the upstream which runs a request with it, unless it is the
/// last part.
pub const FATAL_PART: &str = "fa7a1";

/// Whether a request crashes the upstream that runs it.
fn is_fatal(request: &WireRequest) -> bool {
    let parts: Vec<&str> = request.header_value(PROMPT).split(',').collect();
    request.body.starts_with(FATAL_BODY.as_bytes())
        || parts[..parts.len() - 1].iter().any(|part| part.starts_with(FATAL_PART))
}

/// One incarnation of an upstream, from its start to its crash or end, with the link to it. Dropping it
/// crashes the upstream.
pub struct UpstreamIncarnation {
    state: Rc<IncarnationState>,
    /// The link of VMs to the upstream.
    pub link: LinkProxy,
    accepting: JoinHandle<()>,
}

thread_local! {
    static RUN_NUMBER: RefCell<u64> = const { RefCell::new(0) };
}

/// Returns a number that this process has not used before, for a run or an incarnation.
fn next_number() -> u64 {
    RUN_NUMBER.with_borrow_mut(|number| {
        *number += 1;
        *number
    })
}

impl UpstreamIncarnation {
    /// Starts an incarnation under this id, with a version and its fault.
    pub async fn start(
        spec: UpstreamSpec,
        id: &str,
        (version, fault): (&str, VersionFault),
        ledger: Rc<RunLedger>,
        partition: Rc<SharedPartition>,
    ) -> std::io::Result<UpstreamIncarnation> {
        let listener = TcpListener::bind(spec.inner).await?;
        let link = LinkProxy::start_partitioned(spec.listed, spec.inner, partition).await?;
        let number = next_number();
        ledger.rows.borrow_mut().lives.push(LifeRow {
            upstream: spec.index,
            number,
            service: spec.service.clone(),
            zone: spec.zone.clone(),
            version: version.to_string(),
            from_ms: ledger.now_ms(),
            until_ms: None,
        });
        let state = Rc::new(IncarnationState {
            spec,
            id: id.to_string(),
            number,
            backoff_ms: Cell::new(0),
            running: Cell::new(0),
            leaving: Cell::new(false),
            faulty: Cell::new(false),
            early: Cell::new(false),
            version: version.to_string(),
            fault,
            started: Instant::now(),
            crash: Notify::new(),
            brittle: Cell::new(None),
            rejected: RefCell::default(),
            overturned: Cell::new(false),
            fatal: Cell::new(false),
            ledger,
        });
        let shared = state.clone();
        let accepting = spawn_local(async move {
            while let Ok((stream, from)) = listener.accept().await {
                spawn_local(serve(stream, vm_of(from.ip()), shared.clone()));
            }
        });
        Ok(UpstreamIncarnation { state, link, accepting })
    }

    /// Makes the upstream leave: its answers announce it, health checks get status 503, and connections are
    /// closed after an answer.
    pub fn leave(&self) {
        self.state.leaving.set(true);
        self.end_life();
    }

    /// Records that the upstream takes requests no longer.
    fn end_life(&self) {
        let now_ms = self.state.ledger.now_ms();
        let mut rows = self.state.ledger.rows.borrow_mut();
        let life = rows.lives.iter_mut().find(|life| life.number == self.state.number);
        if let Some(life) = life {
            life.until_ms.get_or_insert(now_ms);
        }
    }

    /// The number of the incarnation, which no other one has.
    pub fn number(&self) -> u64 {
        self.state.number
    }

    /// Makes the upstream refuse all requests and request this back-off, in milliseconds; 0 ends that.
    pub fn set_backoff(&self, backoff_ms: u64) {
        self.state.backoff_ms.set(backoff_ms);
    }

    /// Sets how many requests the upstream runs at a time, and how many it may reject per second before it
    /// falls over; none if it isn't brittle.
    pub fn set_brittle(&self, brittle: Option<(u32, u32)>) {
        self.state.brittle.set(brittle);
    }

    /// Whether the upstream has rejected too many requests within a second, and falls over.
    pub fn is_overturned(&self) -> bool {
        self.state.overturned.get()
    }

    /// Whether the upstream has begun to run a request that crashes it.
    pub fn has_fatal_request(&self) -> bool {
        self.state.fatal.get()
    }

    /// Sets whether three in four answers break off.
    pub fn set_early(&self, early: bool) {
        self.state.early.set(early);
    }

    /// Sets whether three in four plain answers fail, break off, or are those to another request.
    pub fn set_faulty(&self, faulty: bool) {
        self.state.faulty.set(faulty);
    }
}

impl Drop for UpstreamIncarnation {
    fn drop(&mut self) {
        self.end_life();
        self.accepting.abort();
        self.state.crash.notify_waiters();
    }
}

/// Serves one connection until it ends or the upstream crashes.
async fn serve(stream: TcpStream, sender: usize, state: Rc<IncarnationState>) {
    let (mut reader, mut writer) = split(stream);
    let exchanges = async {
        while let Some(request) = reader.next().await {
            let after = tokio::select! {
                after = answer(&request, sender, &state, &mut writer) => after.unwrap_or(AfterAnswer::Closed),
                () = reader.wait_for_close() => AfterAnswer::Closed,
            };
            writer.partial = None;
            if after != AfterAnswer::Kept {
                return after;
            }
        }
        AfterAnswer::Closed
    };
    let after = tokio::select! {
        after = exchanges => after,
        () = state.crash.notified() => after_crash(&state, writer.partial),
    };
    match after {
        AfterAnswer::Reset => writer.reset(),
        AfterAnswer::Kept | AfterAnswer::Closed => {}
    }
}

/// Returns how a crash ends a connection, and records how much of an unfinished answer was sent. The end of a
/// process closes its connections cleanly. A plain answer without framing is reset instead, as nothing would
/// distinguish the part that was sent from a whole answer.
fn after_crash(state: &IncarnationState, partial: Option<PartialAnswer>) -> AfterAnswer {
    let Some(PartialAnswer { plan, sent }) = partial else { return AfterAnswer::Closed };
    if plan.framing == Framing::Connection && !matches!(plan.kind, AnswerKind::Stream(_)) {
        return AfterAnswer::Reset;
    }
    if let Some(sent) = sent {
        let row = SentRow { run: plan.run, end: SentEnd::Closed(sent) };
        state.ledger.rows.borrow_mut().sent.push(row);
    }
    AfterAnswer::Closed
}

/// Counts a request as running until it is dropped.
struct RunningGuard(Rc<IncarnationState>);

impl RunningGuard {
    fn new(state: &Rc<IncarnationState>) -> RunningGuard {
        state.running.set(state.running.get() + 1);
        RunningGuard(state.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Records the arrival of a request. Returns the headers of its refusal while the upstream requests back-off.
fn reject_for_backoff(state: &IncarnationState, sender: usize, attempt: &str) -> Option<String> {
    let backoff_ms = state.backoff_ms.get();
    state.ledger.rows.borrow_mut().arrivals.push(ArrivalRow {
        attempt: attempt.to_string(),
        sender,
        upstream: state.spec.index,
        life: state.number,
        at_ms: state.ledger.now_ms(),
        rest_ms: backoff_ms,
    });
    let backoff_s = backoff_ms as f64 / 1000.0;
    let headers =
        format!("{NOT_RUN}: 1\r\n{ATTEMPT}: {attempt}\r\n{RETRY_AFTER}: {backoff_s:.3}\r\n");
    (backoff_ms > 0).then_some(headers)
}

/// Draws the plan of the answer to a run; `bad` marks a run that shows the fault of the version.
fn plan_answer(
    state: &IncarnationState,
    request: &WireRequest,
    attempt: &str,
    after_event: u64,
    bad: bool,
) -> AnswerPlan {
    let run = next_number();
    let mut random = draw_of((state.ledger.seed, attempt, state.spec.index, after_event));
    let is_stream = request.path.starts_with("/stream/") || request.path.starts_with("/resume/");
    let failure = bad && state.fault != VersionFault::Slow;
    let faulty = if state.faulty.get() && !is_stream { run % 4 } else { 3 };
    let kind = match (failure, is_stream, faulty) {
        (true, ..) | (_, _, 0) => AnswerKind::Failure,
        (_, true, _) => AnswerKind::Stream(after_event),
        (_, _, 2) => AnswerKind::Foreign,
        _ => AnswerKind::Plain,
    };
    let plan = AnswerPlan::draw(&mut random, run, kind);
    let early = state.early.get() && random.gen_ratio(3, 4);
    match early || (kind == AnswerKind::Plain && faulty == 1) {
        true => plan.broken_off(&mut random, attempt),
        false => plan,
    }
}

/// Records the start of a run. Returns its ledger row, and a guard that counts it as running.
fn record_run(
    state: &Rc<IncarnationState>,
    request: &WireRequest,
    sender: usize,
    attempt: &str,
) -> (RunRow, RunningGuard) {
    let after_event = request.header_value("last-event-id").parse().unwrap_or(0);
    let guard = RunningGuard::new(state);
    let bad = state.fault.is_bad(next_number(), state.started.elapsed().as_millis());
    let row = RunRow {
        attempt: attempt.to_string(),
        sender,
        upstream: state.spec.index,
        service: state.spec.service.clone(),
        zone: state.spec.zone.clone(),
        at_ms: state.ledger.now_ms(),
        version: state.version.clone(),
        bad,
        after_event,
        workspace: request.header_value("x-tenant").to_string(),
        life: state.number,
        leaving: state.leaving.get(),
        make: plan_answer(state, request, attempt, after_event, bad),
    };
    state.ledger.rows.borrow_mut().runs.push(row.clone());
    (row, guard)
}

/// Counts a rejection for want of room. A brittle upstream with too many of them falls over.
fn note_rejected(state: &IncarnationState) {
    let mut rejected = state.rejected.borrow_mut();
    rejected.push(Instant::now());
    rejected.retain(|at| at.elapsed() < Duration::from_secs(1));
    if state.brittle.get().is_some_and(|(_, limit)| rejected.len() > limit as usize) {
        state.overturned.set(true);
    }
}

/// The header by which a brittle upstream says so.
fn brittle_notice(state: &IncarnationState) -> String {
    state.brittle.get().map_or(String::new(), |(_, limit)| format!("{BRITTLE}: {limit}\r\n"))
}

/// Answers one request, and returns what becomes of its connection.
async fn answer(
    request: &WireRequest,
    sender: usize,
    state: &Rc<IncarnationState>,
    writer: &mut WireWriter,
) -> std::io::Result<AfterAnswer> {
    if request.path == "/health" {
        let status = if state.leaving.get() { 503 } else { 200 };
        writer.send_short(status, &format!("x-instance-id: {}\r\n", state.id)).await?;
        return Ok(AfterAnswer::Kept);
    }
    let expected = request.header_value(EXPECTED_INSTANCE);
    if !expected.is_empty() && expected != state.id {
        writer.send_short(421, &format!("{NOT_RUN}: 1\r\n")).await?;
        return Ok(AfterAnswer::Kept);
    }
    let attempt = request.header_value(ATTEMPT);
    let refusal_headers = reject_for_backoff(state, sender, attempt).or_else(|| {
        let slots = state.brittle.get().map_or(UPSTREAM_SLOTS, |(slots, _)| slots);
        let full = state.running.get() >= slots;
        full.then(|| {
            note_rejected(state);
            format!("{NOT_RUN}: 1\r\n")
        })
    });
    let notice = brittle_notice(state);
    if let Some(headers) = refusal_headers {
        let headers = format!("{headers}{notice}");
        writer.send_short(503, &headers).await?;
        return Ok(AfterAnswer::Kept);
    }
    let (row, guard) = record_run(state, request, sender, attempt);
    if is_fatal(request) {
        state.fatal.set(true);
        // The task that sends such requests then crashes this incarnation, which ends this connection.
        std::future::pending::<()>().await;
    }
    let plan = row.make;
    let (named, stamp) = match plan.kind {
        AnswerKind::Foreign => (FOREIGN_ATTEMPT, "late"),
        _ => (attempt, state.id.as_str()),
    };
    let mut headers = format!("{ATTEMPT}: {named}\r\n{STAMP}: {stamp}\r\n");
    headers += &notice;
    headers += &format!("x-server-load: {},0,{UPSTREAM_SLOTS}\r\n", state.running.get());
    if row.leaving {
        headers += &format!("connection: close\r\n{LEAVING}: 1\r\n");
    }
    if row.bad && state.fault == VersionFault::Slow {
        tokio::time::sleep(SLOW_DELAY).await;
    }
    if matches!(plan.kind, AnswerKind::Stream(_)) {
        headers += "content-type: text/event-stream\r\n";
    } else if !row.bad || state.fault == VersionFault::Slow {
        tokio::time::sleep(PLAIN_DELAY).await;
    }
    let after = writer.send(plan, attempt, &headers).await?;
    drop(guard);
    let sent = SentRow { run: plan.run, end: SentEnd::AsMade };
    state.ledger.rows.borrow_mut().sent.push(sent);
    Ok(if row.leaving && after == AfterAnswer::Kept { AfterAnswer::Closed } else { after })
}
