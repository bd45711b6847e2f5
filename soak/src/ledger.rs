//! The ledger of a run: what callers, upstreams and operators observed, on one clock.
//!
//! Rows are added and completed, never removed. The judge reads them after the run, so no check depends on
//! which of two observers wrote first. All times are milliseconds since the start of the run.

use std::cell::RefCell;
use std::time::Instant;

use crate::answer_make::AnswerPlan;

/// How often a route permits the upstreams to run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request runs at most once.
    Once,
    /// The request may run again.
    Safe,
    /// The answer is a stream that must not be joined from two runs.
    Stream,
    /// The answer is a stream that another upstream may resume.
    Resume,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete answer with status 200 to this request.
    Whole,
    /// A complete answer with another status.
    Status(u16),
    /// No connection could be opened, or it ended before the request was sent.
    Unreached,
    /// The connection ended before the answer did.
    Cut,
    /// No complete answer arrived while the caller waited.
    Late,
    /// An answer to something other than this request, with a description.
    Wrong(String),
}

/// An answer that its caller can take as complete.
#[derive(Clone, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// The status of the answer.
    pub status: u16,
    /// Whether the answer has the stamp header of an upstream.
    pub stamped: bool,
    /// The body of the answer.
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
    /// As planned: whole, or broken off where its plan says so.
    AsMade,
    /// The upstream crashed meanwhile, and the connection was closed cleanly after this many bytes past the
    /// head.
    Closed(usize),
}

/// The end of an answer that an upstream sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentRow {
    /// The number of the run.
    pub run: u64,
    /// How the answer ended.
    pub end: SentEnd,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct RequestRow {
    /// The id of the attempt.
    pub attempt: String,
    /// The index of the VM to which it was sent.
    pub vm: usize,
    /// How often its route permits it to run.
    pub kind: RequestKind,
    /// The name of its route, which is the first part of its path.
    pub route: String,
    /// The API key that it carried.
    pub key: String,
    /// When the request was sent.
    pub sent_ms: u64,
    /// When the request ended for its caller.
    pub ended_ms: u64,
    /// How the request ended for its caller.
    pub end: RequestEnd,
    /// The answer; none unless it ended as complete.
    pub answer: Option<ReceivedAnswer>,
    /// Whether the caller used HTTP/1.0 and read until the connection ended.
    pub old: bool,
    /// What the request resumes; none if it begins anew.
    pub resumes: Option<ResumedStream>,
    /// For each complete event that the caller received, also of an answer that was cut off, the number of the
    /// run that sent it.
    pub event_runs: Vec<u64>,
}

/// The stream that a request resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedStream {
    /// The id of the attempt that brought the first event.
    pub first: String,
    /// The last event that the caller had received.
    pub after: u64,
}

/// The time in which one incarnation of an upstream ran.
#[derive(Clone, Debug)]
pub struct LifeRow {
    /// The index of the upstream.
    pub upstream: usize,
    /// The number of the incarnation.
    pub number: u64,
    /// The service of the upstream.
    pub service: String,
    /// The zone of the upstream.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// When it started.
    pub from_ms: u64,
    /// When it began to leave, or ended; none while it takes requests.
    pub until_ms: Option<u64>,
}

/// One run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct RunRow {
    /// The id of the attempt.
    pub attempt: String,
    /// The index of the VM that sent the request, which may have got it from another VM.
    pub sender: usize,
    /// The index of the upstream.
    pub upstream: usize,
    /// The service of the upstream.
    pub service: String,
    /// The zone of the upstream.
    pub zone: String,
    /// When the request had arrived.
    pub at_ms: u64,
    /// The version of the software of the upstream.
    pub version: String,
    /// Whether the version is unsound and this run shows it, by a failure or a late answer.
    pub bad: bool,
    /// The event after which a stream resumes; 0 at its start.
    pub after_event: u64,
    /// The workspace that the VM named in the request.
    pub workspace: String,
    /// The number of the incarnation of the upstream.
    pub life: u64,
    /// Whether the answer announces that the upstream leaves.
    pub leaving: bool,
    /// The plan of the answer.
    pub make: AnswerPlan,
}

/// One request that reached an upstream, whether it ran or was refused.
#[derive(Clone, Debug)]
pub struct ArrivalRow {
    /// The id of the attempt.
    pub attempt: String,
    /// The index of the VM that sent the request.
    pub sender: usize,
    /// The index of the upstream.
    pub upstream: usize,
    /// The number of the incarnation of the upstream.
    pub life: u64,
    /// When the request had arrived.
    pub at_ms: u64,
    /// The back-off that the upstream requested when it refused the request, in milliseconds; 0 for none.
    pub rest_ms: u64,
}

/// The content of an order of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderContent {
    /// Puts a configuration.
    Document(DocumentRow),
    /// Puts a configuration that is not valid.
    Invalid(DocumentRow),
    /// Evacuates a zone: it gets no further requests.
    EmptyZone(String),
    /// Ends the evacuation of a zone.
    ReturnZone(String),
}

/// The parts of a configuration that the judge checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentRow {
    /// The version of the configuration.
    pub version: u64,
    /// The service of the route `moved`.
    pub moved_to: String,
    /// All API keys in the configuration.
    pub keys: Vec<String>,
    /// The whole configuration, as JSON.
    pub text: String,
}

/// An order and its outcome.
#[derive(Clone, Debug)]
pub struct OrderRow {
    /// The content of the order.
    pub content: OrderContent,
    /// When the order was sent for the first time.
    pub sent_ms: u64,
    /// When the order was acknowledged, if it was.
    pub acked_ms: Option<u64>,
    /// The status of the refusal, if the order was refused.
    pub refused: Option<u16>,
}

/// A configuration that was read back from a VM.
#[derive(Clone, Debug)]
pub struct ReadRow {
    /// The index of the VM that answered.
    pub vm: usize,
    /// When the read was sent.
    pub sent_ms: u64,
    /// The text of the answer.
    pub text: String,
}

/// The part of the site that a disturbance affects, with the index of the VM or upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touched {
    /// A VM's process, by a planned stop: SIGTERM and a new start.
    PlannedVm(usize),
    /// A VM's process, its disk or its links to other VMs.
    Vm(usize),
    /// The links of a VM to all upstreams.
    Partition(usize),
    /// The link of callers to a VM.
    Front(usize),
    /// An upstream or the link to it.
    Upstream(usize),
    /// The list of upstreams.
    List,
}

/// The time during which a part of the site was disturbed.
#[derive(Clone, Debug)]
pub struct SpanRow {
    /// The part that is disturbed.
    pub touched: Touched,
    /// When the disturbance started.
    pub from_ms: u64,
    /// When the disturbance ended; none while it lasts.
    pub until_ms: Option<u64>,
}

impl SpanRow {
    /// Whether the disturbance overlaps this time.
    pub fn overlaps(&self, from_ms: u64, until_ms: u64) -> bool {
        self.from_ms <= until_ms && self.until_ms.is_none_or(|until| until >= from_ms)
    }
}

/// An entry of the list of upstreams that changed to leaving.
#[derive(Clone, Debug)]
pub struct LeavingRow {
    /// The index of the upstream.
    pub upstream: usize,
    /// The number of the incarnation that leaves. One that starts at the same index meanwhile is listed as
    /// ready.
    pub incarnation: u64,
    /// When the list showed the upstream as leaving.
    pub from_ms: u64,
    /// When the departure was over: the next incarnation was listed as ready, or the upstream stayed
    /// unlisted.
    pub until_ms: Option<u64>,
}

/// The state of a roll-out, as a VM reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RollOutReport {
    /// The index of the VM.
    pub vm: usize,
    /// When the report arrived.
    pub at_ms: u64,
    /// The reported state.
    pub state: String,
    /// The target version of the reported roll-out.
    pub target: String,
}

/// One roll-out that was ordered.
#[derive(Clone, Debug)]
pub struct RollOutRow {
    /// The service whose traffic is moved.
    pub service: String,
    /// The version to which it is moved.
    pub target: String,
    /// Whether the target version fails or delays part of its requests.
    pub unsound: bool,
    /// When the order was sent for the first time.
    pub sent_ms: u64,
    /// The duration that was ordered.
    pub duration_ms: u64,
    /// When the order was acknowledged, if it was.
    pub acked_ms: Option<u64>,
    /// The states that VMs reported.
    pub reports: Vec<RollOutReport>,
}

/// What crashes upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FatalCause {
    /// A request as a whole, which is sent again and again.
    #[default]
    Request,
    /// A part of the prompts of requests of which no two are alike.
    Part,
}

/// Requests that crash the upstreams that run them.
#[derive(Clone, Debug, Default)]
pub struct FatalRow {
    /// The number of the request or prompt part, which all attempts share.
    pub number: u64,
    /// What crashes the upstreams.
    pub cause: FatalCause,
    /// The ids of the attempts with which it was sent.
    pub attempts: Vec<String>,
    /// The times at which upstreams crashed while they ran it.
    pub ended_ms: Vec<u64>,
}

/// A time in which the upstreams of a service were brittle.
#[derive(Clone, Debug)]
pub struct BrittleRow {
    /// The service.
    pub service: String,
    /// When it began.
    pub from_ms: u64,
    /// How many upstreams ran at the same time.
    pub upstreams: usize,
    /// When upstreams fell over, since they had to reject too many requests.
    pub falls_ms: Vec<u64>,
}

/// All rows of a ledger.
#[derive(Clone, Debug, Default)]
pub struct LedgerRows {
    /// Requests of callers.
    pub requests: Vec<RequestRow>,
    /// Runs at upstreams.
    pub runs: Vec<RunRow>,
    /// Incarnations of upstreams.
    pub lives: Vec<LifeRow>,
    /// Ends of answers that upstreams sent.
    pub sent: Vec<SentRow>,
    /// Requests that reached upstreams.
    pub arrivals: Vec<ArrivalRow>,
    /// Orders of operators, but for those of roll-outs.
    pub orders: Vec<OrderRow>,
    /// Configurations read back.
    pub reads: Vec<ReadRow>,
    /// Disturbances.
    pub spans: Vec<SpanRow>,
    /// Upstreams that were listed as leaving.
    pub leaving: Vec<LeavingRow>,
    /// Roll-outs.
    pub rollouts: Vec<RollOutRow>,
    /// Requests that crash upstreams.
    pub fatal: Vec<FatalRow>,
    /// Times in which upstreams were brittle.
    pub brittle: Vec<BrittleRow>,
    /// Broken promises and faults of the soak that were found during the run, not by the judge.
    pub run_faults: Vec<String>,
}

/// The rows and the clock of a run.
pub struct RunLedger {
    started: Instant,
    /// The seed of the run.
    pub seed: u64,
    /// The rows recorded so far.
    pub rows: RefCell<LedgerRows>,
}

impl RunLedger {
    /// Creates the empty ledger of a run of this seed, and starts its clock.
    pub fn new(seed: u64) -> RunLedger {
        RunLedger { started: Instant::now(), seed, rows: RefCell::default() }
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Records the start of a disturbance. The index that it returns is passed to [`RunLedger::end_span`].
    pub fn begin_span(&self, touched: Touched) -> usize {
        let row = SpanRow { touched, from_ms: self.now_ms(), until_ms: None };
        let spans = &mut self.rows.borrow_mut().spans;
        spans.push(row);
        spans.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end_span(&self, span: usize) {
        self.rows.borrow_mut().spans[span].until_ms = Some(self.now_ms());
    }
}
