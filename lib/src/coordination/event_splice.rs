//! Joins the events of two runs of one stream to one answer without gap or double.
//!
//! Only whole events are let through, since an upstream may stop partway through one;
//! what a later run repeats is dropped by its id.

use super::event_scanner::EventScanner;

/// The longest event that is held, in bytes.
pub const LONGEST_EVENT_BYTES: usize = 1 << 20;
/// Streams may begin with it; it belongs to no line.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// What has been passed on of one stream.
#[derive(Clone, Debug, Default)]
pub struct EventSplice {
    partial: Vec<u8>,
    /// How far `partial` has been scanned.
    scanned: usize,
    scanner: EventScanner,
    last_id: Option<String>,
    later_run: bool,
    /// No event of the present run has come.
    run_begins: bool,
    /// A run stopped inside an event, and no new event has come since.
    owes_event: bool,
    /// An event without an id was passed on, so that no later run can go on behind it.
    unnumbered: bool,
}

impl EventSplice {
    /// A splice for a caller that has seen events up to `last_id` already.
    pub fn after(last_id: Option<String>) -> EventSplice {
        EventSplice { last_id, run_begins: true, ..EventSplice::default() }
    }

    /// The id of the last whole event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Another run begins; what came of an event that was not whole is dropped.
    pub fn begin_run(&mut self) {
        self.owes_event |= self.scanner.is_inside();
        self.partial.clear();
        self.scanned = 0;
        self.scanner = EventScanner::default();
        self.later_run = true;
        self.run_begins = true;
    }

    /// Takes bytes of the present run and gives the whole events that they complete.
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
            if self.later_run && !self.is_news(id.as_deref()) {
                continue;
            }
            whole.extend_from_slice(block);
            if is_event {
                self.owes_event = false;
                self.unnumbered |= id.is_none();
            }
            self.last_id = id.or(self.last_id.take());
        }
        self.partial.drain(..start);
        self.scanned = self.partial.len();
        whole
    }

    /// Whether another run can go on where the present one stopped.
    pub fn is_resumable(&self) -> bool {
        !self.unnumbered
    }

    /// Whether the present event is too long to be held: the run is to be given up.
    pub fn is_overlong(&self) -> bool {
        self.partial.len() > LONGEST_EVENT_BYTES
    }

    /// Whether an event is known to be missing: whatever ends the present run doesn't complete the stream.
    pub fn owes_event(&self) -> bool {
        self.owes_event
    }

    /// The run ended on a boundary of events: what is left belongs to the answer.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    fn is_news(&self, id: Option<&str>) -> bool {
        let number = |text: &str| text.parse::<u64>().ok();
        match (self.last_id.as_deref().and_then(number), id.and_then(number)) {
            (Some(last), Some(id)) => id > last,
            _ => true,
        }
    }
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    let id = std::str::from_utf8(id).ok()?.trim();
    (!id.is_empty()).then(|| id.to_string())
}
