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

use crate::answer_make::{draw_of, AnswerKind, AnswerMake, Framing, FOREIGN_ATTEMPT};
use crate::ledger::{ArrivalRow, RunLedger, RunRow, SentEnd, SentRow};
use crate::link::LinkProxy;
use crate::platform::{ATTEMPT, EXPECTED_LIFE, LEAVING, NOT_RUN, REST, STAMP};
use crate::schedule::VersionFault;
use crate::upstream_wire::{split, AfterAnswer, OpenAnswer, WireRequest, WireWriter};

/// Requests at which an upstream says that it is full.
const UPSTREAM_PLACES: u32 = 32;
/// What an unsound version of the slow kind takes longer.
const SLOW_WORK: Duration = Duration::from_millis(700);
/// The work of a plain request.
const PLAIN_WORK: Duration = Duration::from_millis(20);

/// What an upstream is, apart from its lives.
#[derive(Clone, Debug)]
pub struct UpstreamPlace {
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

struct LifeState {
    place: UpstreamPlace,
    id: String,
    /// No other life has it, whatever its id.
    number: u64,
    /// The rest that it asks for while it turns everything away, in milliseconds; 0 while it doesn't.
    rest_ms: Cell<u64>,
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

/// One life of an upstream, with the link to it.
pub struct UpstreamLife {
    state: Rc<LifeState>,
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

impl UpstreamLife {
    /// Starts a life.
    pub async fn start(
        place: UpstreamPlace,
        id: &str,
        (version, fault): (&str, VersionFault),
        ledger: Rc<RunLedger>,
    ) -> std::io::Result<UpstreamLife> {
        let listener = TcpListener::bind(place.inner).await?;
        let link = LinkProxy::start(place.listed, place.inner).await?;
        let state = Rc::new(LifeState {
            place,
            id: id.to_string(),
            number: next_run(),
            rest_ms: Cell::new(0),
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
        Ok(UpstreamLife { state, link, accepting })
    }

    /// From now on all answers say so, health checks are answered 503, and connections are closed after an
    /// answer.
    pub fn leave(&self) {
        self.state.leaving.set(true);
    }

    /// Which life it is.
    pub fn number(&self) -> u64 {
        self.state.number
    }

    /// Turns everything away and asks for so much rest, in milliseconds; 0 ends that.
    pub fn set_rest(&self, rest_ms: u64) {
        self.state.rest_ms.set(rest_ms);
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

impl Drop for UpstreamLife {
    fn drop(&mut self) {
        self.accepting.abort();
        self.state.crash.notify_waiters();
    }
}

async fn serve(stream: TcpStream, state: Rc<LifeState>) {
    let (mut reader, mut writer) = split(stream);
    let exchanges = async {
        while let Some(request) = reader.next().await {
            let after = tokio::select! {
                after = answer(&request, &state, &mut writer) => after.unwrap_or(AfterAnswer::Closed),
                () = reader.gone() => AfterAnswer::Closed,
            };
            writer.open = None;
            if after != AfterAnswer::Kept {
                return after;
            }
        }
        AfterAnswer::Closed
    };
    let after = tokio::select! {
        after = exchanges => after,
        () = state.crash.notified() => after_crash(&state, writer.open),
    };
    match after {
        AfterAnswer::Reset => writer.reset(),
        AfterAnswer::Kept | AfterAnswer::Closed => {}
    }
}

/// A process that ends has its connections closed cleanly. A plain answer without framing is reset, since
/// nothing would tell it from a whole one.
fn after_crash(state: &LifeState, open: Option<OpenAnswer>) -> AfterAnswer {
    let Some(OpenAnswer { make, sent }) = open else { return AfterAnswer::Closed };
    if make.framing == Framing::Connection && !matches!(make.kind, AnswerKind::Stream(_)) {
        return AfterAnswer::Reset;
    }
    if let Some(sent) = sent {
        let row = SentRow { run: make.run, end: SentEnd::Closed(sent) };
        state.ledger.rows.borrow_mut().sent.push(row);
    }
    AfterAnswer::Closed
}

/// Counts a request while it is worked on.
struct RunningGuard(Rc<LifeState>);

impl RunningGuard {
    fn new(state: &Rc<LifeState>) -> RunningGuard {
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
fn turn_away(state: &LifeState, attempt: &str) -> Option<String> {
    let rest_ms = state.rest_ms.get();
    state.ledger.rows.borrow_mut().arrivals.push(ArrivalRow {
        attempt: attempt.to_string(),
        upstream: state.place.index,
        life: state.number,
        at_ms: state.ledger.now_ms(),
        rest_ms,
    });
    let rest_s = rest_ms as f64 / 1000.0;
    let headers = format!("{NOT_RUN}: 1\r\n{ATTEMPT}: {attempt}\r\n{REST}: {rest_s:.3}\r\n");
    (rest_ms > 0).then_some(headers)
}

/// What is answered to a run, and how.
fn make_answer(
    state: &LifeState,
    request: &WireRequest,
    attempt: &str,
    after_event: u64,
    bad: bool,
) -> AnswerMake {
    let run = next_run();
    let mut random = draw_of((state.ledger.seed, attempt, state.place.index, after_event));
    let is_stream = request.path.starts_with("/stream/") || request.path.starts_with("/resume/");
    let failure = bad && state.fault != VersionFault::Slow;
    let faulty = if state.faulty.get() && !is_stream { run % 4 } else { 3 };
    let kind = match (failure, is_stream, faulty) {
        (true, ..) | (_, _, 0) => AnswerKind::Failure,
        (_, true, _) => AnswerKind::Stream(after_event),
        (_, _, 2) => AnswerKind::Foreign,
        _ => AnswerKind::Plain,
    };
    let make = AnswerMake::draw(&mut random, run, kind);
    let early = state.early.get() && random.gen_ratio(3, 4);
    match early || (kind == AnswerKind::Plain && faulty == 1) {
        true => make.broken_off(&mut random, attempt),
        false => make,
    }
}

fn note_run(state: &Rc<LifeState>, request: &WireRequest, attempt: &str) -> (RunRow, RunningGuard) {
    let after_event = request.named("last-event-id").parse().unwrap_or(0);
    let guard = RunningGuard::new(state);
    let bad = state.fault.is_bad(next_run(), state.started.elapsed().as_millis());
    let row = RunRow {
        attempt: attempt.to_string(),
        upstream: state.place.index,
        service: state.place.service.clone(),
        zone: state.place.zone.clone(),
        at_ms: state.ledger.now_ms(),
        version: state.version.clone(),
        bad,
        after_event,
        workspace: request.named("x-tenant").to_string(),
        life: state.number,
        leaving: state.leaving.get(),
        make: make_answer(state, request, attempt, after_event, bad),
    };
    state.ledger.rows.borrow_mut().runs.push(row.clone());
    (row, guard)
}

async fn answer(
    request: &WireRequest,
    state: &Rc<LifeState>,
    writer: &mut WireWriter,
) -> std::io::Result<AfterAnswer> {
    if request.path == "/health" {
        let status = if state.leaving.get() { 503 } else { 200 };
        writer.send_short(status, &format!("x-instance-id: {}\r\n", state.id)).await?;
        return Ok(AfterAnswer::Kept);
    }
    let expected = request.named(EXPECTED_LIFE);
    if !expected.is_empty() && expected != state.id {
        writer.send_short(421, &format!("{NOT_RUN}: 1\r\n")).await?;
        return Ok(AfterAnswer::Kept);
    }
    let attempt = request.named(ATTEMPT);
    let turned_away = turn_away(state, attempt).or_else(|| {
        let full = state.running.get() >= UPSTREAM_PLACES;
        full.then(|| format!("{NOT_RUN}: 1\r\n"))
    });
    if let Some(headers) = turned_away {
        writer.send_short(503, &headers).await?;
        return Ok(AfterAnswer::Kept);
    }
    let (row, guard) = note_run(state, request, attempt);
    if request.body.starts_with(FATAL_BODY.as_bytes()) {
        state.fatal.set(true);
        // Whoever watches ends this life, and with it this connection.
        std::future::pending::<()>().await;
    }
    let make = row.make;
    let (named, stamp) = match make.kind {
        AnswerKind::Foreign => (FOREIGN_ATTEMPT, "late"),
        _ => (attempt, state.id.as_str()),
    };
    let mut headers = format!("{ATTEMPT}: {named}\r\n{STAMP}: {stamp}\r\n");
    headers += &format!("x-server-load: {},0,{UPSTREAM_PLACES}\r\n", state.running.get());
    if row.leaving {
        headers += &format!("connection: close\r\n{LEAVING}: 1\r\n");
    }
    if row.bad && state.fault == VersionFault::Slow {
        tokio::time::sleep(SLOW_WORK).await;
    }
    if matches!(make.kind, AnswerKind::Stream(_)) {
        headers += "content-type: text/event-stream\r\n";
    } else if !row.bad || state.fault == VersionFault::Slow {
        tokio::time::sleep(PLAIN_WORK).await;
    }
    let after = writer.send(make, attempt, &headers).await?;
    drop(guard);
    let sent = SentRow { run: make.run, end: SentEnd::AsMade };
    state.ledger.rows.borrow_mut().sent.push(sent);
    Ok(if row.leaving && after == AfterAnswer::Kept { AfterAnswer::Closed } else { after })
}
