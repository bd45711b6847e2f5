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

    /// Bytes of the body came.
    pub fn note_bytes(&mut self, bytes: &[u8]) {
        let Some(events) = &mut self.events else { return };
        let mut at = 0;
        while let Some(end) = events.next_end(bytes, at) {
            at = end;
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
