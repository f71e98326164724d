//! Tracks which tokens of a response have been forwarded, across attempts.

/// What to do with a token from a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// It is the next token: forward it.
    Forward,
    /// It belongs to an abandoned attempt: drop it.
    Stale,
    /// It isn't the next token: the stream is corrupt.
    OutOfOrder {
        /// Index of the token that was expected.
        expected: u32,
    },
}

/// Number of response tokens that the caller has, and the attempt that produces the next.
///
/// Attempts may overlap, because the engine of an abandoned attempt may still send
/// tokens. Only the next token of the current attempt is forwarded, so that no token is
/// lost, duplicated or taken from another attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseProgress {
    attempt: u8,
    next_index: u32,
}

impl ResponseProgress {
    /// Starts an attempt, whose tokens must continue after those already forwarded.
    pub fn begin_attempt(&mut self, attempt: u8) {
        self.attempt = attempt;
    }

    /// Number of tokens forwarded to the caller.
    pub fn tokens(&self) -> u32 {
        self.next_index
    }

    /// Decides what to do with a token. `index` is `None` for engines that don't number
    /// their tokens.
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
