//! Cuts a stream of events at the ends of events, leaving every byte as it came.

use bytes::{Bytes, BytesMut};

const ID_FIELD_PREFIX: &[u8] = b"id:";

/// Collects bytes of an event stream and hands out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
    emitted: u64,
}

impl EventSplitter {
    /// A splitter of a stream that goes on after an event.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
            emitted: 0,
        }
    }

    /// Number of the last whole event handed out.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Events handed out.
    pub fn emitted(&self) -> u64 {
        self.emitted
    }

    /// Bytes of an event that is not whole yet.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds bytes; returns all whole events that have not been handed out, without
    /// those that are no newer than the last one.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.accept(&event) {
                events.unsplit(event);
                self.emitted += 1;
            }
        }
        events.freeze()
    }

    fn accept(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            return true;
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return false;
        }
        self.last_id = Some(id);
        true
    }
}

fn event_end(bytes: &[u8]) -> Option<usize> {
    let position = bytes.windows(2).position(|pair| pair == b"\n\n");
    position.map(|position| position + 2)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let field = lines.find_map(|line| line.strip_prefix(ID_FIELD_PREFIX))?;
    std::str::from_utf8(field).ok()?.trim().parse().ok()
}
