//! Keys this node decides.

use eiderferry_types::{Incarnation, NodeId, Reason, RequestId, Span, Timestamp, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Name of one non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum KeyName {
    /// A ticket issued by one run of one node.
    Ticket {
        /// The issuing node.
        node: NodeId,
        /// Its run.
        incarnation: Incarnation,
        /// Number within the run.
        number: u64,
    },
    /// A key chosen by the caller, by its 128-bit hash with the tenant.
    Caller(u64, u64),
}

/// The table has no room for another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyTableFull;

/// What a home says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claimant, and nobody else, may dispatch the request once.
    Granted,
    /// It won't run on behalf of this claim.
    Denied {
        /// What may be concluded of the request.
        verdict: Verdict,
        /// Why.
        reason: Reason,
    },
}

impl ClaimAnswer {
    /// A denial.
    pub const fn denied(verdict: Verdict, reason: Reason) -> Self {
        Self::Denied { verdict, reason }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyState {
    /// Nobody has claimed it, or the claimant said that it did not run.
    Open,
    /// Granted to this request.
    Granted(RequestId),
    /// Its request has ended; this is what may be concluded.
    Finished(Verdict),
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: KeyState,
    last_used: Timestamp,
}

/// Keys of which this run of this node is the home.
///
/// Memory is bounded: entries are dropped when older than the repeat window, and
/// when the table is full of younger ones new keys are refused.
#[derive(Clone, Debug)]
pub struct KeyTable {
    entries: BTreeMap<KeyName, Entry>,
    expiry_queue: VecDeque<(Timestamp, KeyName)>,
    capacity: usize,
    window: Span,
    next_ticket: u64,
}

impl KeyTable {
    /// An empty table.
    pub fn new(capacity: usize, window: Span) -> Self {
        Self {
            entries: BTreeMap::new(),
            expiry_queue: VecDeque::new(),
            capacity,
            window,
            next_ticket: 0,
        }
    }

    /// How long a key is remembered after its last use.
    pub fn window(&self) -> Span {
        self.window
    }

    /// Changes how long keys are remembered.
    pub fn set_window(&mut self, window: Span) {
        self.window = window;
    }

    /// Keys remembered now.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Issues a ticket of this run.
    pub fn issue(
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

    /// Decides a claim of a ticket of this run.
    pub fn claim_ticket(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
    ) -> ClaimAnswer {
        if !self.entries.contains_key(name) {
            return ClaimAnswer::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
        }
        self.claim_existing(now, name, request)
    }

    /// Decides a claim of a caller's key. `vouched` says that no other home can
    /// have granted it within the repeat window.
    pub fn claim_caller_key(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
        owned_whole_window: bool,
    ) -> ClaimAnswer {
        if self.entries.contains_key(name) {
            return self.claim_existing(now, name, request);
        }
        if !owned_whole_window {
            return ClaimAnswer::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
        }
        match self.insert(now, name.clone(), KeyState::Granted(request)) {
            Ok(()) => ClaimAnswer::Granted,
            Err(KeyTableFull) => ClaimAnswer::denied(Verdict::NotRun, Reason::KeyTableFull),
        }
    }

    fn claim_existing(
        &mut self,
        now: Timestamp,
        name: &KeyName,
        request: RequestId,
    ) -> ClaimAnswer {
        let Some(entry) = self.entries.get_mut(name) else {
            return ClaimAnswer::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone);
        };
        entry.last_used = now;
        match entry.state {
            KeyState::Open => {
                entry.state = KeyState::Granted(request);
                ClaimAnswer::Granted
            }
            // The answer to an earlier copy of this very claim got lost.
            KeyState::Granted(granted_to) if granted_to == request => ClaimAnswer::Granted,
            KeyState::Granted(_) => ClaimAnswer::denied(Verdict::MayHaveRun, Reason::KeyInProgress),
            KeyState::Finished(verdict) => ClaimAnswer::denied(verdict, Reason::KeyFinished),
        }
    }

    /// Notes how the request that was granted the key ended.
    ///
    /// Only `NotRun` opens the key again, and only from the claimant itself.
    pub fn settle(&mut self, now: Timestamp, name: &KeyName, request: RequestId, verdict: Verdict) {
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

    /// Drops what is older than the repeat window.
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
