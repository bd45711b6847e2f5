//! What an upstream answers to one request, and where and how it breaks off.
//!
//! All of it is drawn from the seed of the run, the request and the upstream, so that it can be made again
//! when the run is judged.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Events of a stream.
pub const STREAM_EVENTS: u64 = 24;

/// What delimits a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Framing {
    /// Its length.
    Length,
    /// Its last chunk.
    Chunked,
    /// The end of the connection.
    Connection,
}

/// How lines of events end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LineEnd {
    /// By a line feed.
    Lf,
    /// By a carriage return and a line feed.
    CrLf,
    /// By a carriage return.
    Cr,
}

impl LineEnd {
    /// Its bytes.
    pub fn text(self) -> &'static str {
        match self {
            LineEnd::Lf => "\n",
            LineEnd::CrLf => "\r\n",
            LineEnd::Cr => "\r",
        }
    }
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AnswerKind {
    /// The plain answer to the request.
    Plain,
    /// The events after this one.
    Stream(u64),
    /// A failure of the upstream.
    Failure,
    /// The answer to another request.
    Foreign,
}

/// Where a body stops early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StopPlace {
    /// Before its first byte.
    Empty,
    /// Inside its first event.
    InsideFirst,
    /// Anywhere else inside an event, or inside a plain body.
    Inside,
    /// After a line of an event, before its blank line.
    AfterLine,
    /// Between two events.
    Boundary,
    /// After all of it, where only the last chunk lacks.
    LastChunk,
}

/// How the transport ends a body that stops early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EarlyEnd {
    /// The connection is closed cleanly.
    Close,
    /// The connection is reset.
    Reset,
    /// The whole length or the last chunk comes, as if that were all.
    Framed,
}

/// How an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EarlyStop {
    /// Where.
    pub place: StopPlace,
    /// How.
    pub end: EarlyEnd,
    /// How many bytes of the body come.
    pub sent: usize,
}

/// One answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerPlan {
    /// The run, whose number each event carries.
    pub run: u64,
    /// What is answered.
    pub kind: AnswerKind,
    /// What delimits it.
    pub framing: Framing,
    /// How lines of events end.
    pub line_end: LineEnd,
    /// How it breaks off, if it does.
    pub early: Option<EarlyStop>,
    /// The draw of where its bytes are split.
    pub splits: u64,
}

/// The body of a plain answer.
pub fn plain_body(attempt: &str) -> String {
    format!("{attempt};").repeat(48)
}

/// The body of a failure.
pub const FAILURE_BODY: &str = "failed";
/// The attempt that an answer to another request names.
pub const FOREIGN_ATTEMPT: &str = "00000000000000ff";

/// A draw that is the same whenever these are.
pub fn draw_of(parts: impl Hash) -> StdRng {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    StdRng::seed_from_u64(hasher.finish())
}

fn pick<T: Copy>(random: &mut StdRng, of: &[T]) -> T {
    of[random.gen_range(0..of.len())]
}

impl AnswerPlan {
    /// An answer that is whole.
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

    /// The same, broken off. Ends that plan a whole answer of a shorter one aren't drawn: a plain body without
    /// framing that is closed cleanly, and a stream whose framing ends it between events.
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
            // At most one event less than all.
            StopPlace::Boundary if event > 0 => before,
            StopPlace::Boundary if lengths.len() > 1 => lengths[0],
            StopPlace::Boundary => 0,
            StopPlace::LastChunk => whole,
        };
        self.early = Some(EarlyStop { place, end, sent });
        self
    }

    /// The whole body: its events one by one, or all of it at once.
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

    /// The status of its head.
    pub fn status(&self) -> u16 {
        match self.kind {
            AnswerKind::Failure => 500,
            _ => 200,
        }
    }
}

const STREAM_STOPS: [StopPlace; 6] = [
    StopPlace::Empty,
    StopPlace::InsideFirst,
    StopPlace::Inside,
    StopPlace::AfterLine,
    StopPlace::Boundary,
    StopPlace::LastChunk,
];
