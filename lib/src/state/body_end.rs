//! What delimits the body of an answer, and where it stopped.

/// What delimits a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// Its length, which may be none.
    Length,
    /// Chunks, of which the last is empty.
    Chunked,
    /// The end of the connection, which a process that crashes ends, too.
    Connection,
}

impl BodyFraming {
    /// All of them, in the order of the counters.
    pub const ALL: [BodyFraming; 3] =
        [BodyFraming::Length, BodyFraming::Chunked, BodyFraming::Connection];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunked => "chunked",
            BodyFraming::Connection => "connection",
        }
    }
}

/// Where a body stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// On a boundary of events, or it is no series of events.
    Boundary,
    /// Inside an event.
    InsideEvent,
    /// Before the first event.
    NoEvent,
}

impl BodyEnd {
    /// All of them, in the order of the counters.
    pub const ALL: [BodyEnd; 3] = [BodyEnd::Boundary, BodyEnd::InsideEvent, BodyEnd::NoEvent];

    /// Its name in figures and logs.
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::Boundary => "boundary",
            BodyEnd::InsideEvent => "inside_event",
            BodyEnd::NoEvent => "no_event",
        }
    }
}
