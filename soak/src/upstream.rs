//! Upstreams of a run: plain answers and streams whose every byte identifies its request.
//!
//! A run is noted before it is worked on, so that an answer which is lost still counts as run.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::http::response::Builder;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle};

use crate::ledger::{ArrivalRow, RunLedger, RunRow};
use crate::link::LinkProxy;
use crate::platform::{ATTEMPT, EXPECTED_LIFE, LEAVING, NOT_RUN, REST, STAMP};
use crate::schedule::VersionFault;

/// Requests at which an upstream says that it is full.
const UPSTREAM_PLACES: u32 = 32;
/// Events of a stream.
pub const STREAM_EVENTS: u64 = 24;
/// The pause before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The pause between the pieces of an event.
const PIECE_PAUSE: Duration = Duration::from_millis(4);
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

/// The body of a plain answer.
pub fn plain_body(attempt: &str) -> String {
    format!("{attempt};").repeat(48)
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
                let _ = stream.set_nodelay(true);
                spawn_local(serve(TokioIo::new(stream), shared.clone()));
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

async fn serve(io: TokioIo<tokio::net::TcpStream>, state: Rc<LifeState>) {
    let shared = state.clone();
    let service = service_fn(move |request| answer(request, shared.clone()));
    let connection = http1::Builder::new().half_close(false).serve_connection(io, service);
    tokio::select! {
        _ = connection => {}
        () = state.crash.notified() => {}
    }
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

type AnswerBody = BoxBody<Bytes, Infallible>;

fn full(text: String) -> AnswerBody {
    Full::new(Bytes::from(text)).boxed()
}

fn not_run(status: u16) -> Response<AnswerBody> {
    empty(Response::builder().status(status).header(NOT_RUN, "1"))
}

fn empty(answer: Builder) -> Response<AnswerBody> {
    answer.body(full(String::new())).expect("a plain head")
}

/// Notes a request that arrived, and turns it away while rest is asked for.
fn turn_away(state: &LifeState, attempt: &str) -> Option<Response<AnswerBody>> {
    let rest_ms = state.rest_ms.get();
    state.ledger.rows.borrow_mut().arrivals.push(ArrivalRow {
        attempt: attempt.to_string(),
        upstream: state.place.index,
        life: state.number,
        at_ms: state.ledger.now_ms(),
        rest_ms,
    });
    let answer = Response::builder().status(503).header(NOT_RUN, "1").header(ATTEMPT, attempt);
    let answer = answer.header(REST, format!("{:.3}", rest_ms as f64 / 1000.0));
    (rest_ms > 0).then(|| empty(answer))
}

async fn answer(
    request: Request<Incoming>,
    state: Rc<LifeState>,
) -> Result<Response<AnswerBody>, hyper::Error> {
    let (head, body) = request.into_parts();
    let named = |name: &str| -> String {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    if head.uri.path() == "/health" {
        let status = if state.leaving.get() { 503 } else { 200 };
        let answer = Response::builder().status(status).header("x-instance-id", &state.id);
        return Ok(answer.body(full(String::new())).expect("a plain head"));
    }
    let body = body.collect().await?.to_bytes();
    let expected = named(EXPECTED_LIFE);
    if !expected.is_empty() && expected != state.id {
        return Ok(not_run(421));
    }
    let attempt = named(ATTEMPT);
    if let Some(answer) = turn_away(&state, &attempt) {
        return Ok(answer);
    }
    if state.running.get() >= UPSTREAM_PLACES {
        return Ok(not_run(503));
    }
    let after_event = named("last-event-id").parse().unwrap_or(0);
    let guard = RunningGuard::new(&state);
    let bad = state.fault.is_bad(next_run(), state.started.elapsed().as_millis());
    state.ledger.rows.borrow_mut().runs.push(RunRow {
        attempt: attempt.clone(),
        upstream: state.place.index,
        service: state.place.service.clone(),
        zone: state.place.zone.clone(),
        at_ms: state.ledger.now_ms(),
        version: state.version.clone(),
        bad,
        after_event,
        workspace: named("x-tenant"),
        life: state.number,
        leaving: state.leaving.get(),
    });
    if body.starts_with(FATAL_BODY.as_bytes()) {
        state.fatal.set(true);
        // Whoever watches ends this life, and with it this connection.
        std::future::pending::<()>().await;
    }
    let mut answer = Response::builder()
        .header(ATTEMPT, &attempt)
        .header(STAMP, &state.id)
        .header("x-server-load", format!("{},0,{UPSTREAM_PLACES}", state.running.get()));
    if state.leaving.get() {
        answer = answer.header("connection", "close").header(LEAVING, "1");
    }
    if bad && state.fault == VersionFault::Slow {
        tokio::time::sleep(SLOW_WORK).await;
    }
    if bad && state.fault != VersionFault::Slow {
        return Ok(answer.status(500).body(full("failed".to_string())).expect("a plain head"));
    }
    let path = head.uri.path();
    if path.starts_with("/stream/") || path.starts_with("/resume/") {
        let answer = answer.header("content-type", "text/event-stream");
        let body = stream_body(attempt, after_event, guard);
        return Ok(answer.body(body.boxed()).expect("a plain head"));
    }
    tokio::time::sleep(PLAIN_WORK).await;
    drop(guard);
    if state.faulty.get() {
        return Ok(faulty_answer(answer, &attempt));
    }
    Ok(answer.body(full(plain_body(&attempt))).expect("a plain head"))
}

fn faulty_answer(answer: Builder, attempt: &str) -> Response<AnswerBody> {
    let body = plain_body(attempt);
    let answer = match next_run() % 4 {
        0 => answer.status(500).body(full("failed".to_string())),
        1 => {
            let (pieces, receiver) = mpsc::channel(1);
            let _ = pieces.try_send(Bytes::copy_from_slice(&body.as_bytes()[..body.len() / 2]));
            answer.header("content-length", body.len()).body(PieceBody(receiver).boxed())
        }
        2 => {
            let other = "00000000000000ff";
            let answer = Response::builder().header(ATTEMPT, other);
            answer.header(STAMP, "late").body(full(plain_body(other)))
        }
        _ => answer.body(full(body)),
    };
    answer.expect("a plain head")
}

/// Pieces as they are made.
struct PieceBody(mpsc::Receiver<Bytes>);

impl Body for PieceBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|piece| piece.map(|piece| Ok(Frame::data(piece))))
    }
}

fn stream_body(attempt: String, after_event: u64, guard: RunningGuard) -> PieceBody {
    let (sender, receiver) = mpsc::channel(1);
    let run = next_run();
    spawn_local(async move {
        let _guard = guard;
        for event in after_event + 1..=STREAM_EVENTS {
            tokio::time::sleep(EVENT_PAUSE).await;
            // In two pieces, since an upstream may stop partway through an event.
            let pieces = [format!("id: {event}\ndata: {attempt} "), format!("{event} {run}\n\n")];
            for piece in pieces {
                if sender.send(Bytes::from(piece)).await.is_err() {
                    return;
                }
                tokio::time::sleep(PIECE_PAUSE).await;
            }
        }
    });
    PieceBody(receiver)
}
