//! Plans the answer of an upstream to one request: its content, its framing, and where and how it breaks off.
//!
//! A plan is drawn from the seed of the run, the attempt, the upstream and the event after which a stream
//! resumes. The judge rebuilds every byte of an answer from its plan.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Number of events in a whole stream.
pub const STREAM_EVENTS: u64 = 24;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// By a `content-length` header.
    Length,
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    Connection,
}

/// How the lines of an event stream end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LineEnd {
    /// With a line feed.
    Lf,
    /// With a carriage return and a line feed.
    CrLf,
    /// With a carriage return.
    Cr,
}

impl LineEnd {
    /// The bytes of the line end.
    pub fn text(self) -> &'static str {
        match self {
            LineEnd::Lf => "\n",
            LineEnd::CrLf => "\r\n",
            LineEnd::Cr => "\r",
        }
    }
}

/// The content of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerKind {
    /// The plain answer to the request.
    Plain,
    /// The events of a stream that follow the event of this number.
    Stream(u64),
    /// An answer with status 500.
    Failure,
    /// The answer to another request, which names the attempt [`FOREIGN_ATTEMPT`].
    Foreign,
}

/// The position at which a body stops early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopPlace {
    /// Before its first byte.
    Empty,
    /// Inside its first event.
    InsideFirst,
    /// Inside any event, or inside a plain body.
    Inside,
    /// After the last line of an event, before the blank line that ends the event.
    AfterLine,
    /// Between two events.
    Boundary,
    /// After the whole body, with only the last chunk missing.
    LastChunk,
}

/// How the transport ends a body that stops early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EarlyEnd {
    /// The connection is closed cleanly.
    Close,
    /// The connection is reset.
    Reset,
    /// The framing ends as if the shortened body were whole: the header states the shorter length, the last
    /// chunk is sent, or a body without framing is closed cleanly.
    Framed,
}

/// The early end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EarlyStop {
    /// Where the body stops.
    pub place: StopPlace,
    /// How the transport ends the body.
    pub end: EarlyEnd,
    /// How many bytes of the body are sent.
    pub sent: usize,
}

/// Everything that determines the bytes of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPlan {
    /// The number of the run at the upstream, which each event carries.
    pub run: u64,
    /// The content of the answer.
    pub kind: AnswerKind,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// How the lines of an event stream end.
    pub line_end: LineEnd,
    /// Where and how the answer breaks off; none for a whole answer.
    pub early: Option<EarlyStop>,
    /// The seed from which the positions are drawn at which writes are split.
    pub splits: u64,
}

/// The body of a plain answer to this attempt.
pub fn plain_body(attempt: &str) -> String {
    format!("{attempt};").repeat(48)
}

/// The body of an answer with status 500.
pub const FAILURE_BODY: &str = "failed";
/// The attempt id in an answer to another request.
pub const FOREIGN_ATTEMPT: &str = "00000000000000ff";

/// Returns a random generator that is seeded by the hash of `parts`.
pub fn draw_of(parts: impl Hash) -> StdRng {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    StdRng::seed_from_u64(hasher.finish())
}

fn pick<T: Copy>(random: &mut StdRng, of: &[T]) -> T {
    of[random.gen_range(0..of.len())]
}

impl AnswerPlan {
    /// Draws the plan of a whole answer.
    pub fn draw(random: &mut StdRng, run: u64, kind: AnswerKind) -> AnswerPlan {
        AnswerPlan {
            run,
            kind,
            framing: pick(random, &[Framing::Length, Framing::Chunked, Framing::Connection]),
            line_end: pick(random, &[LineEnd::Lf, LineEnd::CrLf, LineEnd::Cr]),
            early: None,
            splits: random.gen(),
        }
    }

    /// Draws where and how this answer breaks off. Two early ends that look like a whole answer aren't drawn:
    /// the clean close of a plain body without framing, and a stream that its framing ends between two
    /// events.
    pub fn broken_off(mut self, random: &mut StdRng, attempt: &str) -> AnswerPlan {
        let pieces = self.pieces(attempt);
        let lengths: Vec<usize> = pieces.iter().map(Vec::len).collect();
        let whole: usize = lengths.iter().sum();
        if whole == 0 {
            return self;
        }
        let is_stream = matches!(self.kind, AnswerKind::Stream(_));
        let place = match (is_stream, self.framing) {
            (false, Framing::Chunked) => {
                pick(random, &[StopPlace::Empty, StopPlace::Inside, StopPlace::LastChunk])
            }
            (false, _) => pick(random, &[StopPlace::Empty, StopPlace::Inside]),
            (true, Framing::Chunked) => pick(random, &STREAM_STOPS),
            (true, _) => pick(random, &STREAM_STOPS[..5]),
        };
        let inside = is_stream && !matches!(place, StopPlace::Empty | StopPlace::Boundary);
        let framed = inside && place != StopPlace::LastChunk;
        let end = match (is_stream, self.framing) {
            (false, Framing::Connection) => EarlyEnd::Reset,
            (true, _) if framed => {
                pick(random, &[EarlyEnd::Close, EarlyEnd::Reset, EarlyEnd::Framed])
            }
            _ => pick(random, &[EarlyEnd::Close, EarlyEnd::Reset]),
        };
        let event = match place {
            StopPlace::InsideFirst => 0,
            _ => random.gen_range(0..lengths.len()),
        };
        let before: usize = lengths[..event].iter().sum();
        let sent = match place {
            StopPlace::Empty => 0,
            StopPlace::InsideFirst | StopPlace::Inside => {
                before + random.gen_range(1..lengths[event])
            }
            StopPlace::AfterLine => before + lengths[event] - self.line_end.text().len(),
            // `event` is the last event at most, so at least one event is missing.
            StopPlace::Boundary if event > 0 => before,
            StopPlace::Boundary if lengths.len() > 1 => lengths[0],
            StopPlace::Boundary => 0,
            StopPlace::LastChunk => whole,
        };
        self.early = Some(EarlyStop { place, end, sent });
        self
    }

    /// The whole body, regardless of an early end: one piece for each event, or a plain body as a single
    /// piece.
    pub fn pieces(&self, attempt: &str) -> Vec<Vec<u8>> {
        match self.kind {
            AnswerKind::Plain => vec![plain_body(attempt).into_bytes()],
            AnswerKind::Failure => vec![FAILURE_BODY.as_bytes().to_vec()],
            AnswerKind::Foreign => vec![plain_body(FOREIGN_ATTEMPT).into_bytes()],
            AnswerKind::Stream(after) => {
                let (run, end) = (self.run, self.line_end.text());
                let event = |id: u64| format!("id: {id}{end}data: {attempt} {id} {run}{end}{end}");
                (after + 1..=STREAM_EVENTS).map(|id| event(id).into_bytes()).collect()
            }
        }
    }

    /// The status code of the answer.
    pub fn status(&self) -> u16 {
        match self.kind {
            AnswerKind::Failure => 500,
            _ => 200,
        }
    }
}

/// The numbers of the runs that sent the complete events of a stream, in order. The body may break off.
pub fn runs_of_events(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body).replace("\r\n", "\n").replace('\r', "\n");
    let Some((events, _)) = text.rsplit_once("\n\n") else { return Vec::new() };
    let run = |event: &str| event.rsplit_once(' ').and_then(|(_, run)| run.parse().ok());
    events.split("\n\n").filter_map(run).collect()
}

/// Positions at which a chunked stream can stop. The last one needs chunks, so other framings leave it out.
const STREAM_STOPS: [StopPlace; 6] = [
    StopPlace::Empty,
    StopPlace::InsideFirst,
    StopPlace::Inside,
    StopPlace::AfterLine,
    StopPlace::Boundary,
    StopPlace::LastChunk,
];
