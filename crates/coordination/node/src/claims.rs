//! Keys of non-repeatable requests: claiming them at their home, deciding them here.

use crate::decision::Step;
use crate::message::Message;
use crate::node::Node;
use crate::request::Phase;
use eiderferry_once::{ClaimAnswer, KeyName};
use eiderferry_types::{Incarnation, NodeId, Reason, Refusal, RequestId, Span, Timestamp, Verdict};
use std::collections::BTreeMap;

/// Time after which an unanswered claim is sent again.
pub(crate) const CLAIM_RESEND: Span = Span::from_milliseconds(150);
/// Claims sent before the home counts as unreachable.
pub(crate) const MAX_CLAIM_SENDS: u32 = 6;
/// Time after which an unacknowledged settlement is sent again.
const SETTLEMENT_RESEND: Span = Span::from_milliseconds(300);
/// Settlements sent before the home counts as gone.
const MAX_SETTLEMENT_RESENDS: u32 = 10;
/// When a caller may ask again about a key that can't be decided now.
const UNDECIDED_RETRY_AFTER: Span = Span::from_milliseconds(2_000);

#[derive(Clone, Debug)]
struct Settlement {
    home: NodeId,
    key: KeyName,
    verdict: Verdict,
    next_send: Timestamp,
    sends: u32,
}

/// Settlements that their homes have not acknowledged yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Settlements {
    pending: BTreeMap<u64, Settlement>,
}

impl Settlements {
    pub fn acknowledge(&mut self, sequence: u64) {
        self.pending.remove(&sequence);
    }
}

impl Node {
    fn key_home(&self, key: &KeyName) -> Option<NodeId> {
        match key {
            KeyName::Ticket { node, .. } => Some(*node),
            KeyName::Caller(..) => self.key_history.home(key),
        }
    }

    /// Whether the run that issued a ticket is known to be gone.
    fn is_issuer_gone(&self, key: &KeyName) -> bool {
        let KeyName::Ticket {
            node, incarnation, ..
        } = key
        else {
            return false;
        };
        let current = if *node == self.identity.node {
            Some(self.identity.incarnation)
        } else {
            self.incarnation_of(*node)
        };
        current.is_some_and(|current| current != *incarnation)
    }

    /// Asks the home of a request's key whether the request may run.
    pub(crate) fn claim(&mut self, sequence: u64, resends: u32) {
        let Some(key) = self
            .requests
            .get(&sequence)
            .and_then(|request| request.key().cloned())
        else {
            return;
        };
        if self.is_issuer_gone(&key) {
            let refusal = undecided_refusal(Reason::KeyOwnerGone, None);
            self.reject(sequence, refusal);
            return;
        }
        let home = self.key_home(&key);
        let Some(home) = home.filter(|_| resends < MAX_CLAIM_SENDS) else {
            let refusal = undecided_refusal(Reason::HolderUnreachable, Some(UNDECIDED_RETRY_AFTER));
            self.reject(sequence, refusal);
            return;
        };
        if let Some(request) = self.requests.get_mut(&sequence) {
            request.phase = Phase::Claiming {
                home,
                sent_at: self.now,
                resends,
            };
        }
        self.send(home, Message::Claim { key, sequence });
    }

    pub(crate) fn handle_claim(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        key: KeyName,
        sequence: u64,
    ) {
        let claimant = RequestId {
            node: from,
            incarnation,
            sequence,
        };
        let reply = match &key {
            KeyName::Ticket {
                node, incarnation, ..
            } => {
                let issued_here =
                    *node == self.identity.node && *incarnation == self.identity.incarnation;
                if issued_here {
                    self.keys.claim_ticket(self.now, &key, claimant)
                } else {
                    ClaimAnswer::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone)
                }
            }
            KeyName::Caller(..) => {
                if self.key_history.home(&key) != Some(self.identity.node) {
                    // The claimant goes by another list: let it compare versions.
                    self.ping(from);
                    return;
                }
                let vouched = !self.is_unverified() && self.key_history.vouches_for(self.now, &key);
                self.keys
                    .claim_caller_key(self.now, &key, claimant, vouched)
            }
        };
        self.send(from, Message::ClaimReply { sequence, reply });
    }

    pub(crate) fn handle_claim_reply(&mut self, from: NodeId, sequence: u64, reply: ClaimAnswer) {
        let Some(request) = self.requests.get_mut(&sequence) else {
            return;
        };
        let Phase::Claiming { home, .. } = request.phase else {
            return;
        };
        if home != from {
            return;
        }
        match reply {
            ClaimAnswer::Granted => {
                request.key_granted_by = Some(home);
                self.record_step(sequence, Step::Claimed { home });
                self.request_slot(sequence);
            }
            ClaimAnswer::Denied { verdict, reason } => {
                let retry_after = (reason != Reason::KeyFinished).then_some(UNDECIDED_RETRY_AFTER);
                self.reject(
                    sequence,
                    Refusal {
                        verdict,
                        reason,
                        retry_after,
                    },
                );
            }
        }
    }

    /// Tells the home of a request's key how the request ended.
    pub(crate) fn settle_key(&mut self, sequence: u64, verdict: Verdict) {
        let Some(request) = self.requests.get(&sequence) else {
            return;
        };
        let (Some(key), Some(home)) = (request.key().cloned(), request.key_granted_by) else {
            return;
        };
        let message = Message::Settle {
            key: key.clone(),
            sequence,
            verdict,
        };
        self.send(home, message);
        let settlement = Settlement {
            home,
            key,
            verdict,
            next_send: self.now + SETTLEMENT_RESEND,
            sends: 1,
        };
        self.settlements.pending.insert(sequence, settlement);
    }

    pub(crate) fn resend_settlements(&mut self) {
        let now = self.now;
        let mut messages = Vec::new();
        self.settlements.pending.retain(|sequence, settlement| {
            if now < settlement.next_send {
                return true;
            }
            settlement.next_send = now + SETTLEMENT_RESEND;
            settlement.sends += 1;
            let message = Message::Settle {
                key: settlement.key.clone(),
                sequence: *sequence,
                verdict: settlement.verdict,
            };
            messages.push((settlement.home, message));
            settlement.sends <= MAX_SETTLEMENT_RESENDS
        });
        for (home, message) in messages {
            self.send(home, message);
        }
    }

    pub(crate) fn handle_settle(
        &mut self,
        from: NodeId,
        incarnation: Incarnation,
        key: KeyName,
        sequence: u64,
        verdict: Verdict,
    ) {
        let claimant = RequestId {
            node: from,
            incarnation,
            sequence,
        };
        self.keys.settle(self.now, &key, claimant, verdict);
        self.send(from, Message::Settled { sequence });
    }
}

/// A refusal of a request whose key can't be decided: an earlier copy of it may
/// have run.
const fn undecided_refusal(reason: Reason, retry_after: Option<Span>) -> Refusal {
    Refusal {
        verdict: Verdict::MayHaveRun,
        reason,
        retry_after,
    }
}
