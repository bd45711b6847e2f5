//! Upstreams of a run: plain answers and streams whose every byte identifies its request.
//!
//! A run is noted before it is worked on, so that an answer which is lost still counts as run.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};

use crate::answer_make::{draw_of, AnswerKind, AnswerPlan, Framing, FOREIGN_ATTEMPT};
use crate::ledger::{ArrivalRow, RunLedger, RunRow, SentEnd, SentRow};
use crate::link::LinkProxy;
use crate::platform::{ATTEMPT, EXPECTED_INSTANCE, LEAVING, NOT_RUN, RETRY_AFTER, STAMP};
use crate::schedule::VersionFault;
use crate::upstream_wire::{split, AfterAnswer, PartialAnswer, WireRequest, WireWriter};

/// Requests at which an upstream says that it is full.
const UPSTREAM_SLOTS: u32 = 32;
/// What an unsound version of the slow kind takes longer.
const SLOW_DELAY: Duration = Duration::from_millis(700);
/// The work of a plain request.
const PLAIN_DELAY: Duration = Duration::from_millis(20);

/// What an upstream is, apart from its incarnations.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Its index.
    pub index: usize,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where VMs find it: the near end of its link.
    pub listed: SocketAddr,
    /// Where it listens: the far end.
    pub inner: SocketAddr,
}

struct IncarnationState {
    spec: UpstreamSpec,
    id: String,
    /// No other incarnation has it, whatever its id.
    number: u64,
    /// The rest that it requests for while it turns everything away, in milliseconds; 0 while it doesn't.
    backoff_ms: Cell<u64>,
    running: Cell<u32>,
    leaving: Cell<bool>,
    faulty: Cell<bool>,
    early: Cell<bool>,
    version: String,
    fault: VersionFault,
    started: Instant,
    crash: Notify,
    /// Whether it has begun to run a request that ends it.
    fatal: Cell<bool>,
    ledger: Rc<RunLedger>,
}

/// A request whose body begins with this ends the upstream that runs it.
pub const FATAL_BODY: &str = "fatal";

/// One incarnation of an upstream, with the link to it.
pub struct UpstreamIncarnation {
    state: Rc<IncarnationState>,
    /// The link of VMs to it.
    pub link: LinkProxy,
    accepting: JoinHandle<()>,
}

thread_local! {
    static RUN_NUMBER: RefCell<u64> = const { RefCell::new(0) };
}

fn next_run() -> u64 {
    RUN_NUMBER.with_borrow_mut(|number| {
        *number += 1;
        *number
    })
}

impl UpstreamIncarnation {
    /// Starts a incarnation.
    pub async fn start(
        spec: UpstreamSpec,
        id: &str,
        (version, fault): (&str, VersionFault),
        ledger: Rc<RunLedger>,
    ) -> std::io::Result<UpstreamIncarnation> {
        let listener = TcpListener::bind(spec.inner).await?;
        let link = LinkProxy::start(spec.listed, spec.inner).await?;
        let state = Rc::new(IncarnationState {
            spec,
            id: id.to_string(),
            number: next_run(),
            backoff_ms: Cell::new(0),
            running: Cell::new(0),
            leaving: Cell::new(false),
            faulty: Cell::new(false),
            early: Cell::new(false),
            version: version.to_string(),
            fault,
            started: Instant::now(),
            crash: Notify::new(),
            fatal: Cell::new(false),
            ledger,
        });
        let shared = state.clone();
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve(stream, shared.clone()));
            }
        });
        Ok(UpstreamIncarnation { state, link, accepting })
    }

    /// From now on all answers say so, health checks are answered 503, and connections are closed after an
    /// answer.
    pub fn leave(&self) {
        self.state.leaving.set(true);
    }

    /// Which incarnation it is.
    pub fn number(&self) -> u64 {
        self.state.number
    }

    /// Turns everything away and requests for so much rest, in milliseconds; 0 ends that.
    pub fn set_backoff(&self, backoff_ms: u64) {
        self.state.backoff_ms.set(backoff_ms);
    }

    /// Whether it has begun to run a request that ends it.
    pub fn is_fatal(&self) -> bool {
        self.state.fatal.get()
    }

    /// Whether three in four answers break off.
    pub fn set_early(&self, early: bool) {
        self.state.early.set(early);
    }

    /// Whether three in four plain answers fail, are cut, or are those to another request.
    pub fn set_faulty(&self, faulty: bool) {
        self.state.faulty.set(faulty);
    }
}

impl Drop for UpstreamIncarnation {
    fn drop(&mut self) {
        self.accepting.abort();
        self.state.crash.notify_waiters();
    }
}

async fn serve(stream: TcpStream, state: Rc<IncarnationState>) {
    let (mut reader, mut writer) = split(stream);
    let exchanges = async {
        while let Some(request) = reader.next().await {
            let after = tokio::select! {
                after = answer(&request, &state, &mut writer) => after.unwrap_or(AfterAnswer::Closed),
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

/// A process that ends has its connections closed cleanly. A plain answer without framing is reset, since
/// nothing would tell it from a whole one.
fn after_crash(state: &IncarnationState, open: Option<PartialAnswer>) -> AfterAnswer {
    let Some(PartialAnswer { plan, sent }) = open else { return AfterAnswer::Closed };
    if plan.framing == Framing::Connection && !matches!(plan.kind, AnswerKind::Stream(_)) {
        return AfterAnswer::Reset;
    }
    if let Some(sent) = sent {
        let row = SentRow { run: plan.run, end: SentEnd::Closed(sent) };
        state.ledger.rows.borrow_mut().sent.push(row);
    }
    AfterAnswer::Closed
}

/// Counts a request while it is worked on.
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

/// Notes a request that arrived, and tells the headers that turn it away while rest is asked for.
fn reject_for_backoff(state: &IncarnationState, attempt: &str) -> Option<String> {
    let backoff_ms = state.backoff_ms.get();
    state.ledger.rows.borrow_mut().arrivals.push(ArrivalRow {
        attempt: attempt.to_string(),
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

/// What is answered to a run, and how.
fn plan_answer(
    state: &IncarnationState,
    request: &WireRequest,
    attempt: &str,
    after_event: u64,
    bad: bool,
) -> AnswerPlan {
    let run = next_run();
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

fn record_run(
    state: &Rc<IncarnationState>,
    request: &WireRequest,
    attempt: &str,
) -> (RunRow, RunningGuard) {
    let after_event = request.header_value("last-event-id").parse().unwrap_or(0);
    let guard = RunningGuard::new(state);
    let bad = state.fault.is_bad(next_run(), state.started.elapsed().as_millis());
    let row = RunRow {
        attempt: attempt.to_string(),
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

async fn answer(
    request: &WireRequest,
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
    let turned_away = reject_for_backoff(state, attempt).or_else(|| {
        let full = state.running.get() >= UPSTREAM_SLOTS;
        full.then(|| format!("{NOT_RUN}: 1\r\n"))
    });
    if let Some(headers) = turned_away {
        writer.send_short(503, &headers).await?;
        return Ok(AfterAnswer::Kept);
    }
    let (row, guard) = record_run(state, request, attempt);
    if request.body.starts_with(FATAL_BODY.as_bytes()) {
        state.fatal.set(true);
        // Whoever watches ends this incarnation, and with it this connection.
        std::future::pending::<()>().await;
    }
    let plan = row.make;
    let (named, stamp) = match plan.kind {
        AnswerKind::Foreign => (FOREIGN_ATTEMPT, "late"),
        _ => (attempt, state.id.as_str()),
    };
    let mut headers = format!("{ATTEMPT}: {named}\r\n{STAMP}: {stamp}\r\n");
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
