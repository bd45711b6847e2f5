//! Server-sent events, as used by engines and callers.

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The id, if any.
    pub id: Option<String>,
    /// The type, if any.
    pub event: Option<String>,
    /// The data; several lines are joined by line feeds.
    pub data: String,
}

/// Parses lines into events.
#[derive(Debug, Default)]
pub struct SseReader {
    event: SseEvent,
    begun: bool,
}

impl SseReader {
    /// Adds a line without its line end; a blank line completes an event.
    pub fn take_line(&mut self, line: &str) -> Option<SseEvent> {
        if line.is_empty() {
            let complete = std::mem::take(&mut self.begun);
            return complete.then(|| std::mem::take(&mut self.event));
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_string()),
            "event" => self.event.event = Some(value.to_string()),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            _ => return None,
        }
        self.begun = true;
        None
    }
}

/// Encodes an event.
pub fn write_event(event: &SseEvent) -> Vec<u8> {
    let mut text = String::with_capacity(event.data.len() + 32);
    if let Some(id) = &event.id {
        text.push_str("id: ");
        text.push_str(id);
        text.push('\n');
    }
    if let Some(kind) = &event.event {
        text.push_str("event: ");
        text.push_str(kind);
        text.push('\n');
    }
    for line in event.data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    text.into_bytes()
}
