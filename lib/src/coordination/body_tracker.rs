//! Follows the body of an answer to the place where it stops.

use super::event_scanner::EventScanner;
use crate::state::body_end::{BodyEnd, BodyFraming};

/// Follows the body of one answer.
#[derive(Clone, Copy, Debug)]
pub struct BodyTracker {
    framing: BodyFraming,
    events: Option<EventScanner>,
}

impl BodyTracker {
    /// Follows a body; `is_events` where it is a series of events.
    pub fn new(framing: BodyFraming, is_events: bool) -> BodyTracker {
        BodyTracker { framing, events: is_events.then(EventScanner::default) }
    }

    /// What delimits the body.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Bytes of the body came; returns how many events they complete.
    pub fn note_bytes(&mut self, bytes: &[u8]) -> u64 {
        let Some(events) = &mut self.events else { return 0 };
        let before = events.events();
        let mut at = 0;
        while let Some(end) = events.next_end(bytes, at) {
            at = end;
        }
        events.events() - before
    }

    /// Whether the body is whole if its framing ends it now. A clean end of the connection proves nothing of a
    /// stream that brought no event.
    pub fn is_whole(&self) -> bool {
        match self.end() {
            BodyEnd::Boundary => true,
            BodyEnd::InsideEvent => false,
            BodyEnd::NoEvent => self.framing != BodyFraming::Connection,
        }
    }

    /// Where the body stops, if it stops now.
    pub fn end(&self) -> BodyEnd {
        match self.events {
            Some(events) if events.is_inside() => BodyEnd::InsideEvent,
            Some(events) if events.events() == 0 => BodyEnd::NoEvent,
            _ => BodyEnd::Boundary,
        }
    }
}
