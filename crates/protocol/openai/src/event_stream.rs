//! Server-sent events.

use quick_error::quick_error;

/// Longest event accepted; a longer one means that the stream is broken.
const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

quick_error! {
    /// An event longer than any engine sends.
    #[derive(Debug, PartialEq)]
    pub enum EventStreamError {
        /// More than the allowed bytes without an end.
        EventTooLong {
            display("an event of more than {MAXIMUM_EVENT_BYTES} bytes")
        }
    }
}

/// One event's data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// Ordinary data.
    Data(String),
    /// The `[DONE]` mark: the stream is complete.
    Done,
}

/// Cuts a byte stream into events, however it arrives.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    line: Vec<u8>,
    data: String,
}

impl EventParser {
    /// Takes in bytes; returns the events completed by them.
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
