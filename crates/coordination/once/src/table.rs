//! The keys that this node owns.

use eiderferry_types::{Incarnation, NodeId, Reason, RequestId, Span, Timestamp, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Idempotency key of one non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyName {
    /// A ticket issued by one incarnation of one node.
    Ticket {
        /// The issuing node.
        node: NodeId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Sequence number within the incarnation.
        number: u64,
    },
    /// A key chosen by the caller: the 128-bit hash of the key and its tenant.
    Caller(u64, u64),
}

/// The table has no room for another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTableFull;

/// An owner's response to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResponse {
    /// Only the claimant may dispatch the request, and only once.
    Granted,
    /// The claimant must not dispatch the request.
    Denied {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Reason for the denial.
        reason: Reason,
    },
}

impl ClaimResponse {
    /// Creates a denial.
    pub const fn denied(verdict: Verdict, reason: Reason) -> Self {
        Self::Denied { verdict, reason }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    /// Not claimed yet, or the claimant reported that the request did not run.
    Open,
    /// Granted to this request, which has not ended yet.
    Granted(RequestId),
    /// The request has ended with this verdict.
    Finished(Verdict),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: KeyState,
    last_used: Timestamp,
}

/// Keys that this incarnation of this node owns.
///
/// Memory is bounded: entries that were not used within the repeat window are
/// dropped unless their request is in progress, and a full table refuses new keys.
#[derive(Clone, Debug)]
pub struct KeyTable {
    entries: BTreeMap<KeyName, Entry>,
    expiry_queue: VecDeque<(Timestamp, KeyName)>,
    capacity: usize,
    window: Span,
    next_ticket: u64,
}

impl KeyTable {
    /// Creates an empty table.
    pub fn new(capacity: usize, window: Span) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
            capacity,
            window,
            next_ticket: 0,
        }
    }

    /// How long a key is kept after its last use.
    pub fn window(&self) -> Span {
        self.window
    }

    /// Sets how long keys are kept after their last use.
    pub fn set_window(&mut self, window: Span) {
        self.window = window;
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table contains no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Issues a ticket of this incarnation.
    pub fn issue_ticket(
        &mut self,
        now: Timestamp,
        node: NodeId,
        incarnation: Incarnation,
    ) -> Result<KeyName, KeyTableFull> {
        let name = KeyName::Ticket {
            node,
            incarnation,
            number: self.next_ticket,
        };
        self.insert(now, name.clone(), KeyState::Open)?;
        self.next_ticket += 1;
        Ok(name)
    }

    /// Decides a claim of a ticket that this incarnation issued.
    pub fn claim_ticket(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
    ) -> ClaimResponse {
        if !self.entries.contains_key(name) {
            return ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
        }
        self.claim_existing(now, name, request)
    }

    /// Decides a claim of a caller's key. `owned_whole_window` means that no other
    /// owner can have granted it within the repeat window.
    pub fn claim_caller_key(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
        owned_whole_window: bool,
    ) -> ClaimResponse {
        if self.entries.contains_key(name) {
            return self.claim_existing(now, name, request);
        }
        if !owned_whole_window {
            return ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
        }
        match self.insert(now, name.clone(), KeyState::Granted(request)) {
            Ok(()) => ClaimResponse::Granted,
            Err(KeyTableFull) => ClaimResponse::denied(Verdict::NotRun, Reason::KeyTableFull),
        }
    }

    fn claim_existing(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
    ) -> ClaimResponse {
        let Some(entry) = self.entries.get_mut(name) else {
            return ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
        };
        entry.last_used = now;
        match entry.state {
            KeyState::Open => {
                entry.state = KeyState::Granted(request);
                ClaimResponse::Granted
            }
            // A repeat of the claim that was granted: the response to it was lost.
            KeyState::Granted(granted_to) if granted_to == request => ClaimResponse::Granted,
            KeyState::Granted(_) => {
                ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyInProgress)
            }
            KeyState::Finished(verdict) => ClaimResponse::denied(verdict, Reason::KeyFinished),
        }
    }

    /// Records how the request that was granted the key ended.
    ///
    /// Only `NotRun` makes the key available again, and only if the claimant itself
    /// reports it.
    pub fn record_verdict(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
        verdict: Verdict,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.state != KeyState::Granted(request) {
            return;
        }
        entry.last_used = now;
        entry.state = match verdict {
            Verdict::NotRun => KeyState::Open,
            Verdict::MayHaveRun | Verdict::Ran => KeyState::Finished(verdict),
        };
    }

    /// Drops keys that were not used within the repeat window.
    pub fn tick(&mut self, now: Timestamp) {
        while let Some((queued_at, name)) = self.expiry_queue.front().cloned() {
            if now.since(queued_at) < self.window {
                return;
            }
            self.expiry_queue.pop_front();
            self.expire_or_requeue(now, name);
        }
    }

    fn expire_or_requeue(&mut self, now: Timestamp, name: KeyName) {
        let Some(entry) = self.entries.get(&name) else {
            return;
        };
        let in_progress = matches!(entry.state, KeyState::Granted(_));
        let recently_used = now.since(entry.last_used) < self.window;
        if in_progress || recently_used {
            self.expiry_queue.push_back((now, name));
            return;
        }
        self.entries.remove(&name);
    }

    fn insert(
        &mut self,
        now: Timestamp,
        name: KeyName,
        state: KeyState,
    ) -> Result<(), KeyTableFull> {
        self.tick(now);
        if self.entries.len() >= self.capacity {
            return Err(KeyTableFull);
        }
        self.expiry_queue.push_back((now, name.clone()));
        self.entries.insert(
            name,
            Entry {
                state,
                last_used: now,
            },
        );
        Ok(())
    }
}
