//! Parsing of server-sent events.

use quick_error::quick_error;

/// Maximum size of an event in bytes; a longer one means that the stream is malformed.
const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

quick_error! {
    /// A malformed event stream.
    #[derive(Debug, PartialEq)]
    pub enum EventStreamError {
        /// An event exceeds the maximum size, which no event of an engine does.
        EventTooLong {
            display("an event is longer than {MAXIMUM_EVENT_BYTES} bytes")
        }
    }
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An event with this data.
    Data(String),
    /// The `[DONE]` event, which marks the end of a complete stream.
    Done,
}

/// Incremental parser that splits a byte stream into events, however the bytes are chunked. It
/// reads only the `data` field; comments and other fields are ignored.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    line: Vec<u8>,
    data: String,
}

impl EventParser {
    /// Parses more bytes of the stream. Returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventStreamError> {
        let mut events = Vec::new();
        for byte in bytes {
            if *byte != b'\n' {
                self.line.push(*byte);
                if self.line.len() + self.data.len() > MAXIMUM_EVENT_BYTES {
                    return Err(EventStreamError::EventTooLong);
                }
                continue;
            }
            events.extend(self.process_line());
        }
        Ok(events)
    }

    fn process_line(&mut self) -> Option<Event> {
        let line = String::from_utf8_lossy(&self.line).into_owned();
        self.line.clear();
        let line = line.trim_end_matches('\r');
        if let Some(data) = line.strip_prefix("data:") {
            if !self.data.is_empty() {
                self.data.push('\n');
            }
            self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            return None;
        }
        if !line.is_empty() || self.data.is_empty() {
            return None;
        }
        let data = std::mem::take(&mut self.data);
        if data == "[DONE]" {
            return Some(Event::Done);
        }
        Some(Event::Data(data))
    }
}
