//! Tracks the body of an answer, to determine where it stops.

use super::event_scanner::EventScanner;
use crate::state::body_end::{BodyEnd, BodyFraming};

/// The longest event that is relayed, in bytes. An incomplete one of a resumable stream is buffered.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Tracks the body of one answer.
#[derive(Clone, Copy, Debug)]
pub struct BodyTracker {
    framing: BodyFraming,
    events: Option<EventScanner>,
    /// The bytes since the last end of an event.
    event_bytes: usize,
}

impl BodyTracker {
    /// Creates a tracker for a body; `is_events` states whether it is a series of events.
    pub fn new(framing: BodyFraming, is_events: bool) -> BodyTracker {
        BodyTracker { framing, events: is_events.then(EventScanner::default), event_bytes: 0 }
    }

    /// What delimits the body.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Takes received bytes of the body and returns how many events they complete.
    pub fn note_bytes(&mut self, bytes: &[u8]) -> u64 {
        let Some(events) = &mut self.events else { return 0 };
        let before = events.events();
        let mut at = 0;
        while let Some(end) = events.next_end(bytes, at) {
            (at, self.event_bytes) = (end, 0);
        }
        self.event_bytes += bytes.len() - at;
        events.events() - before
    }

    /// Whether the present event is longer than any that is relayed, so that its end isn't waited for.
    pub fn is_overlong(&self) -> bool {
        self.event_bytes > MAX_EVENT_BYTES
    }

    /// Whether the body is a series of events of which some came, and none is incomplete. Such a body may
    /// rightly go on for longer than its caller waits.
    pub fn is_between_events(&self) -> bool {
        self.events.is_some() && self.end() == BodyEnd::Boundary
    }

    /// Whether the body is complete if its framing ends it now. If a stream brought no event, a
    /// clean end of the connection doesn't prove that it is complete.
    pub fn is_whole(&self) -> bool {
        match self.end() {
            BodyEnd::Boundary => true,
            BodyEnd::InsideEvent => false,
            BodyEnd::NoEvent => self.framing != BodyFraming::Connection,
        }
    }

    /// The kind of end if the body stops now.
    pub fn end(&self) -> BodyEnd {
        match self.events {
            Some(events) if events.is_inside() => BodyEnd::InsideEvent,
            Some(events) if events.events() == 0 => BodyEnd::NoEvent,
            _ => BodyEnd::Boundary,
        }
    }
}
