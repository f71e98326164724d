//! Splits an event stream into whole events, leaving every byte unchanged.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event. A longer one is not buffered; its source has to be given up.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD_PREFIX: &[u8] = b"id:";

/// Buffers bytes of an event stream and returns whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Length of the part of the pending bytes in which no event ends.
    searched: usize,
    last_id: Option<u64>,
    emitted_events: u64,
}

impl EventSplitter {
    /// A splitter for a stream that is resumed after an event.
    pub fn resuming_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
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

    /// Number of buffered bytes of an incomplete event.
    pub fn partial_event_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Adds bytes; returns all whole events not yet returned, without those that are not newer than
    /// the last one.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.pending.split_to(end);
            if self.accept(&event) {
                events.unsplit(event);
                self.emitted_events += 1;
            }
        }
        events.freeze()
    }

    fn find_event_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(EVENT_END.len() - 1);
        let mut pairs = self.pending[start..].windows(EVENT_END.len());
        let position = pairs.position(|pair| pair == EVENT_END);
        self.searched = if position.is_some() {
            0
        } else {
            self.pending.len()
        };
        position.map(|position| start + position + EVENT_END.len())
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

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let field = lines.find_map(|line| line.strip_prefix(ID_FIELD_PREFIX))?;
    std::str::from_utf8(field).ok()?.trim().parse().ok()
}
