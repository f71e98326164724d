//! Idempotency keys of non-repeatable requests.
//!
//! Entry nodes claim a key at its home node before they dispatch the request, and settle
//! it with the home when the request has ended. This node does both, and decides on the
//! keys whose home it is.

use crate::decision::Step;
use crate::message::Message;
use crate::node::Node;
use crate::request::Phase;
use eiderferry_once::{ClaimResponse, KeyName};
use eiderferry_types::{Incarnation, NodeId, Reason, Refusal, RequestId, Span, Timestamp, Verdict};
use std::collections::BTreeMap;

/// Time after which an unanswered claim is resent.
pub(crate) const CLAIM_RESEND: Span = Span::from_milliseconds(150);
/// Times that a claim is sent before the home counts as unreachable.
pub(crate) const MAX_CLAIM_SENDS: u32 = 6;
/// Time after which an unacknowledged settlement is resent.
const SETTLEMENT_RESEND: Span = Span::from_milliseconds(300);
/// Times that a settlement is resent before the home counts as unreachable.
const MAX_SETTLEMENT_RESENDS: u32 = 10;
/// Time after which a caller may retry whose key can't be granted now.
const UNDECIDED_RETRY_AFTER: Span = Span::from_milliseconds(2_000);

#[derive(Clone, Debug)]
struct Settlement {
    home: NodeId,
    key: KeyName,
    verdict: Verdict,
    next_send: Timestamp,
    sends: u32,
}

/// Settlements that their homes haven't acknowledged yet, by sequence number of the
/// request.
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
            KeyName::Caller(..) => self.key_history.owner(key),
        }
    }

    /// Whether the run that issued a ticket is known to have ended.
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

    /// Claims a request's key at its home after `resends` earlier tries, or rejects the
    /// request if the key can't be claimed.
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
                    ClaimResponse::denied(Verdict::MayHaveRun, Reason::KeyOwnerGone)
                }
            }
            KeyName::Caller(..) => {
                if self.key_history.owner(&key) != Some(self.identity.node) {
                    // The claimant uses another version of the directory; the ping
                    // lets it compare versions.
                    self.ping(from);
                    return;
                }
                // A key that isn't in the table may be granted only if no other home can
                // have granted it within the repeat window.
                let owned_whole_window =
                    !self.is_unverified() && self.key_history.has_owned_for_window(self.now, &key);
                self.keys
                    .claim_caller_key(self.now, &key, claimant, owned_whole_window)
            }
        };
        self.send(from, Message::ClaimReply { sequence, reply });
    }

    pub(crate) fn handle_claim_reply(&mut self, from: NodeId, sequence: u64, reply: ClaimResponse) {
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
            ClaimResponse::Granted => {
                request.key_granted_by = Some(home);
                self.record_step(sequence, Step::Claimed { home });
                self.request_slot(sequence);
            }
            ClaimResponse::Denied { verdict, reason } => {
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

    /// Reports to the home of a request's key how the request ended.
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
        self.keys.record_verdict(self.now, &key, claimant, verdict);
        self.send(from, Message::Settled { sequence });
    }
}

/// The refusal of a request whose key can't be granted or denied: an earlier request with
/// the same key may have run.
const fn undecided_refusal(reason: Reason, retry_after: Option<Span>) -> Refusal {
    Refusal {
        verdict: Verdict::MayHaveRun,
        reason,
        retry_after,
    }
}
