//! What happened in a run, as callers, upstreams and operators saw it, on one clock.
//!
//! Rows are only added. The judge reads them when the run is over, so that no check depends on
//! which of two observers wrote first.

use std::cell::RefCell;
use std::time::Instant;

use crate::answer_make::AnswerPlan;

/// What a route promises about being run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Runs at most once.
    Once,
    /// May run again.
    Safe,
    /// A stream that may not be joined from two runs.
    Stream,
    /// A stream that another upstream may go on with.
    Resume,
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// An answer to this request that ended as complete.
    Whole,
    /// An answer without success.
    Status(u16),
    /// The connection could not be made.
    Unreached,
    /// The connection ended before the answer did.
    Cut,
    /// Nothing whole came while the caller waited.
    Late,
    /// An answer that is not the one to this request; says how.
    Wrong(String),
}

/// An answer that its caller can take as complete.
#[derive(Clone, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// Its status.
    pub status: u16,
    /// Whether it carries an upstream's stamp.
    pub stamped: bool,
    /// Its body.
    pub body: Vec<u8>,
}

impl std::fmt::Debug for ReceivedAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let from = self.body.len().saturating_sub(60);
        let end = String::from_utf8_lossy(&self.body[from..]);
        write!(f, "{} of {} bytes that end in {end:?}", self.status, self.body.len())
    }
}

/// How the upstream ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SentEnd {
    /// As it was made: whole, or broken off by its own draw.
    AsMade,
    /// Its life ended meanwhile, and the connection was closed cleanly after so many bytes behind the head.
    Closed(usize),
}

/// The end of an answer that an upstream sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRow {
    /// The run.
    pub run: u64,
    /// How it ended.
    pub end: SentEnd,
}

/// One attempt of a caller.
#[derive(Clone, Debug)]
pub struct RequestRow {
    /// The id of the attempt.
    pub attempt: String,
    /// The VM that was asked.
    pub vm: usize,
    /// The kind of its route.
    pub kind: RequestKind,
    /// The first part of its path.
    pub route: String,
    /// The key it carried.
    pub key: String,
    /// When it was sent.
    pub sent_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// How it ended.
    pub end: RequestEnd,
    /// What came, if it ended as complete.
    pub answer: Option<ReceivedAnswer>,
    /// Whether the caller spoke HTTP/1.0 and read to the end of the connection.
    pub old: bool,
}

/// One run at an upstream.
#[derive(Clone, Debug)]
pub struct RunRow {
    /// The id of the attempt.
    pub attempt: String,
    /// The index of the upstream.
    pub upstream: usize,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// When the request had arrived.
    pub at_ms: u64,
    /// The version of the upstream.
    pub version: String,
    /// Whether that version is unsound and this run ended badly.
    pub bad: bool,
    /// The event after which it goes on.
    pub after_event: u64,
    /// The workspace that the system named.
    pub workspace: String,
    /// The life of the upstream.
    pub life: u64,
    /// Whether its answer says that the upstream leaves.
    pub leaving: bool,
    /// What it answers.
    pub make: AnswerPlan,
}

/// One request that reached an upstream, run or not.
#[derive(Clone, Debug)]
pub struct ArrivalRow {
    /// The id of the attempt.
    pub attempt: String,
    /// The index of the upstream.
    pub upstream: usize,
    /// The life of the upstream.
    pub life: u64,
    /// When it had arrived.
    pub at_ms: u64,
    /// The rest that the upstream asked for when it turned it away; 0 for none.
    pub rest_ms: u64,
}

/// What an operator asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderContent {
    /// A configuration.
    Document(DocumentRow),
    /// A configuration that is not valid.
    Invalid(DocumentRow),
    /// Nothing more to a zone.
    EmptyZone(String),
    /// The zone is taken back.
    ReturnZone(String),
}

/// What the judge needs to know of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRow {
    /// Its version.
    pub version: u64,
    /// The service to which the moved route leads.
    pub moved_to: String,
    /// All keys it holds.
    pub keys: Vec<String>,
    /// The whole text.
    pub text: String,
}

/// An order and what became of it.
#[derive(Clone, Debug)]
pub struct OrderRow {
    /// What was asked for.
    pub content: OrderContent,
    /// When it was sent first.
    pub sent_ms: u64,
    /// When it was acknowledged.
    pub acked_ms: Option<u64>,
    /// The status of a refusal.
    pub refused: Option<u16>,
}

/// A configuration that was read back.
#[derive(Clone, Debug)]
pub struct ReadRow {
    /// The VM that answered.
    pub vm: usize,
    /// When the read was sent.
    pub sent_ms: u64,
    /// The text of the answer.
    pub text: String,
}

/// What a disturbance touches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touched {
    /// A VM's process, by a plan: SIGTERM and a new start.
    PlannedVm(usize),
    /// A VM's process.
    Vm(usize),
    /// The links of callers to a VM.
    Front(usize),
    /// An upstream or the link to it.
    Upstream(usize),
    /// The list of upstreams.
    List,
}

/// A stretch of time in which something was disturbed.
#[derive(Clone, Debug)]
pub struct SpanRow {
    /// What it touches.
    pub touched: Touched,
    /// Its start.
    pub from_ms: u64,
    /// Its end; none while it lasts.
    pub until_ms: Option<u64>,
}

/// A row of the list that turned to leaving.
#[derive(Clone, Debug)]
pub struct LeavingRow {
    /// The index of the upstream.
    pub upstream: usize,
    /// Its life: one that starts in its place meanwhile is listed as ready.
    pub incarnation: u64,
    /// When the list showed it.
    pub from_ms: u64,
    /// When the upstream stood there as ready again.
    pub until_ms: Option<u64>,
}

/// What a VM reported of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutReport {
    /// The VM.
    pub vm: usize,
    /// When the report came.
    pub at_ms: u64,
    /// The state.
    pub state: String,
    /// The version that it is about.
    pub target: String,
}

/// A roll-out.
#[derive(Clone, Debug)]
pub struct RollOutRow {
    /// Its service.
    pub service: String,
    /// The new version.
    pub target: String,
    /// Whether that version fails part of its requests.
    pub unsound: bool,
    /// When it was ordered first.
    pub sent_ms: u64,
    /// The time it was given.
    pub duration_ms: u64,
    /// When it was acknowledged.
    pub acked_ms: Option<u64>,
    /// What VMs reported of it.
    pub reports: Vec<RollOutReport>,
}

/// A request that ends the upstreams that run it.
#[derive(Clone, Debug, Default)]
pub struct FatalRow {
    /// Its number; one that comes again later has the same.
    pub number: u64,
    /// The attempts with which it came.
    pub attempts: Vec<String>,
    /// When upstreams ended under it.
    pub ended_ms: Vec<u64>,
}

/// All rows.
#[derive(Clone, Debug, Default)]
pub struct LedgerRows {
    /// Attempts.
    pub requests: Vec<RequestRow>,
    /// Runs.
    pub runs: Vec<RunRow>,
    /// Ends of answers.
    pub sent: Vec<SentRow>,
    /// Requests at upstreams.
    pub arrivals: Vec<ArrivalRow>,
    /// Orders.
    pub orders: Vec<OrderRow>,
    /// Configurations read back.
    pub reads: Vec<ReadRow>,
    /// Disturbances.
    pub spans: Vec<SpanRow>,
    /// Upstreams that left.
    pub leaving: Vec<LeavingRow>,
    /// Roll-outs.
    pub rollouts: Vec<RollOutRow>,
    /// Requests that end upstreams.
    pub fatal: Vec<FatalRow>,
    /// Promises that the run itself saw broken while it waited for something.
    pub run_faults: Vec<String>,
}

/// The rows and the clock of a run.
pub struct RunLedger {
    started: Instant,
    /// The seed of the run.
    pub seed: u64,
    /// All rows.
    pub rows: RefCell<LedgerRows>,
}

impl RunLedger {
    /// The ledger of a run of this seed.
    pub fn new(seed: u64) -> RunLedger {
        RunLedger { started: Instant::now(), seed, rows: RefCell::default() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Notes the start of a disturbance; the number it returns ends it.
    pub fn begin_span(&self, touched: Touched) -> usize {
        let row = SpanRow { touched, from_ms: self.now_ms(), until_ms: None };
        let spans = &mut self.rows.borrow_mut().spans;
        spans.push(row);
        spans.len() - 1
    }

    /// Notes the end of a disturbance.
    pub fn end_span(&self, span: usize) {
        self.rows.borrow_mut().spans[span].until_ms = Some(self.now_ms());
    }
}
