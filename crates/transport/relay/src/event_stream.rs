//! Splits an event stream into whole events, leaving every byte unchanged.

use bytes::{Bytes, BytesMut};

const ID_FIELD_PREFIX: &[u8] = b"id:";

/// Buffers bytes of an event stream and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
    emitted_events: u64,
}

impl EventSplitter {
    /// A splitter for a stream that is resumed after an event.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
            emitted_events: 0,
        }
    }

    /// Number of the last whole event returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of events returned.
    pub fn emitted_events(&self) -> u64 {
        self.emitted_events
    }

    /// Whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds bytes; returns all whole events not yet returned, without those that are not newer than
    /// the last one.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            if self.accept(&event) {
                events.unsplit(event);
                self.emitted_events += 1;
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
