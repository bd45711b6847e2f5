//! The framing of an answer's body, and the place at which the body ended.

/// The framing of a body, that is, what marks its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body ends after a given length, which may be 0.
    Length,
    /// The body is a series of chunks, the last of which is empty.
    Chunked,
    /// The body ends with the connection, which a crash of the process ends as well.
    Connection,
}

impl BodyFraming {
    /// All framings, in the order of the counters.
    pub const ALL: [BodyFraming; 3] =
        [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::Connection];

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::Connection => "connection",
        }
    }
}

/// The place at which a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Between two events, or the body isn't a series of events.
    Boundary,
    /// Inside an event.
    InsideEvent,
    /// Before the first event.
    NoEvent,
}

impl BodyEnd {
    /// All places, in the order of the counters.
    pub const ALL: [BodyEnd; 3] = [BodyEnd::Boundary, BodyEnd::InsideEvent, BodyEnd::NoEvent];

    /// The name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::Boundary => "boundary",
            BodyEnd::InsideEvent => "inside_event",
            BodyEnd::NoEvent => "no_event",
        }
    }
}
