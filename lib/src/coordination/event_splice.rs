//! Joins the events of several runs of one stream into one answer without gaps or duplicates.
//!
//! Only complete events are passed on, since an upstream may stop partway through one. An event
//! that a later run repeats is recognized by its id and dropped.

use super::event_scanner::EventScanner;

/// The byte order mark with which streams may begin; it belongs to no line.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// The events of one stream that were passed on, and the bytes of the present one.
#[derive(Clone, Debug, Default)]
pub struct EventSplice {
    partial: Vec<u8>,
    /// The position up to which `partial` has been scanned.
    scanned: usize,
    scanner: EventScanner,
    last_id: Option<String>,
    later_run: bool,
    /// No event of the present run has been received.
    run_begins: bool,
    /// A run stopped inside an event, and no new event has been received since.
    misses_event: bool,
    /// An event without an id was passed on, so no later run can continue after it.
    unnumbered: bool,
}

impl EventSplice {
    /// Creates a splice for a caller that has already received events up to `last_id`.
    pub fn after(last_id: Option<String>) -> EventSplice {
        EventSplice { last_id, run_begins: true, ..EventSplice::default() }
    }

    /// The id of the last complete event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Starts another run, and drops the bytes of an incomplete event.
    pub fn begin_run(&mut self) {
        self.misses_event |= self.scanner.is_inside();
        self.partial.clear();
        self.scanned = 0;
        self.scanner = EventScanner::default();
        self.later_run = true;
        self.run_begins = true;
    }

    /// Takes bytes of the present run and returns the events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let mut whole = Vec::new();
        let mut start = 0;
        let mut events = self.scanner.events();
        while let Some(end) = self.scanner.next_end(&self.partial, self.scanned) {
            self.scanned = end;
            let is_event = self.scanner.events() > events;
            events = self.scanner.events();
            let block = &self.partial[start..end];
            let unmarked = match std::mem::take(&mut self.run_begins) {
                true => block.strip_prefix(BYTE_ORDER_MARK).unwrap_or(block),
                false => block,
            };
            let block = if self.later_run { unmarked } else { block };
            let id = event_id(unmarked);
            start = end;
            if self.later_run && !self.is_new(id.as_deref()) {
                continue;
            }
            whole.extend_from_slice(block);
            if is_event {
                self.misses_event = false;
                self.unnumbered |= id.is_none();
            }
            self.last_id = id.or(self.last_id.take());
        }
        self.partial.drain(..start);
        self.scanned = self.partial.len();
        whole
    }

    /// Whether another run can continue where the present one stopped.
    pub fn is_resumable(&self) -> bool {
        !self.unnumbered
    }

    /// Whether an event is missing, so that the end of the present run doesn't complete the stream.
    pub fn misses_event(&self) -> bool {
        self.misses_event
    }

    /// Ends a run at an event boundary, and returns the remaining bytes, which belong to the
    /// answer.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Whether an event has yet to be passed on. If its id and the last id are numbers, it is new
    /// when its id is higher; otherwise it counts as new.
    fn is_new(&self, id: Option<&str>) -> bool {
        let number = |text: &str| text.parse::<u64>().ok();
        match (self.last_id.as_deref().and_then(number), id.and_then(number)) {
            (Some(last), Some(id)) => id > last,
            _ => true,
        }
    }
}

/// The last `id` field of an event, unless it is empty or isn't UTF-8.
fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    let id = std::str::from_utf8(id).ok()?.trim();
    (!id.is_empty()).then(|| id.to_string())
}
