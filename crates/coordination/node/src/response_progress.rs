//! Putting one whole answer together from the attempts that produce it.

/// What to do with a token that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// It is the next one: pass it on.
    Forward,
    /// It belongs to an attempt that has been given up: drop it.
    Stale,
    /// It is not the next one: the stream can't be trusted any more.
    OutOfOrder {
        /// The token that was due.
        expected: u32,
    },
}

/// The part of an answer that the caller has.
///
/// Attempts may overlap: an engine that was given up may go on sending. Only the
/// current attempt's next token is passed on, so that no token is lost, doubled
/// or foreign.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseProgress {
    attempt: u8,
    next_index: u32,
}

impl ResponseProgress {
    /// Begins an attempt; it must continue where the caller's part ends.
    pub fn begin_attempt(&mut self, attempt: u8) {
        self.attempt = attempt;
    }

    /// Tokens the caller has.
    pub fn tokens(&self) -> u32 {
        self.next_index
    }

    /// Judges a token. Engines that do not number their tokens give no index.
    pub fn accept(&mut self, attempt: u8, index: Option<u32>) -> TokenVerdict {
        if attempt != self.attempt {
            return TokenVerdict::Stale;
        }
        let expected = self.next_index;
        if index.is_some_and(|index| index != expected) {
            return TokenVerdict::OutOfOrder { expected };
        }
        self.next_index += 1;
        TokenVerdict::Forward
    }
}
