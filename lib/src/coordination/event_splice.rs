//! Joins the events of two runs of one stream to one answer without gap or double.
//!
//! Only whole events are let through, since an upstream may stop partway through one;
//! what a later run repeats is dropped by its id.

/// What has been passed on of one stream.
#[derive(Clone, Debug, Default)]
pub struct EventSplice {
    partial: Vec<u8>,
    last_id: Option<String>,
    later_run: bool,
}

impl EventSplice {
    /// A splice for a caller that has seen events up to `last_id` already.
    pub fn after(last_id: Option<String>) -> EventSplice {
        EventSplice { last_id, ..EventSplice::default() }
    }

    /// The id of the last whole event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Another run begins; what came of an event that was not whole is dropped.
    pub fn begin_run(&mut self) {
        self.partial.clear();
        self.later_run = true;
    }

    /// Takes bytes of the present run and gives the whole events that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let mut whole = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&self.partial, start) {
            let event = &self.partial[start..end];
            let id = event_id(event);
            if !self.later_run || self.is_news(id.as_deref()) {
                whole.extend_from_slice(event);
                if id.is_some() {
                    self.last_id = id;
                }
            }
            start = end;
        }
        self.partial.drain(..start);
        whole
    }

    /// The run ended as complete: what is left belongs to the answer.
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

/// Where the event that begins at `start` ends, its blank line included.
fn event_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut line = start;
    while let Some(length) = bytes[line..].iter().position(|byte| *byte == b'\n') {
        let end = line + length;
        let blank = end == line || bytes[line..end] == *b"\r";
        line = end + 1;
        if blank {
            return Some(line);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<String> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    let id = std::str::from_utf8(id).ok()?.trim();
    (!id.is_empty()).then(|| id.to_string())
}
