//! Choice of the peer that provides a tunnel to a back end.

use eiderferry_types::{Span, Timestamp};
use std::collections::HashMap;
use std::net::IpAddr;

/// Time for which a peer that refused or failed is passed over.
const REFUSAL_PERIOD: Span = Span::from_milliseconds(1_000);
/// Cost of a peer in another zone, in open tunnels: its traffic crosses zones twice.
const OTHER_ZONE_COST: u32 = 4;
/// Cost of a peer that has provided no tunnel lately, in open tunnels: it may be cut as well.
const UNPROVEN_COST: u32 = 2;
/// Cost of a peer that could not reach a back end lately, in open tunnels: it may be cut without
/// knowing it.
const UNREACHED_COST: u32 = 16;
/// Time for which such a failure counts.
const UNREACHED_PERIOD: Span = Span::from_milliseconds(5_000);
/// Time for which a tunnel shows that its peer reaches back ends.
const PROOF_LIFETIME: Span = Span::from_milliseconds(3_000);

/// A peer that may provide a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelPeer {
    /// The peer's address.
    pub ip: IpAddr,
    /// Whether it is in this node's zone.
    pub is_same_zone: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerState {
    /// Tunnels that the peer carried when it last replied.
    open_tunnels: u32,
    proven_at: Option<Timestamp>,
    refused_at: Option<Timestamp>,
    unreached_at: Option<Timestamp>,
}

/// What this node knows of the peers that it asked for tunnels.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    states: HashMap<IpAddr, PeerState>,
}

impl PeerSelector {
    /// The candidate with the least load and distance; `None` if all have refused lately.
    pub fn choose(&self, candidates: &[TunnelPeer], now: Timestamp) -> Option<TunnelPeer> {
        let usable = candidates.iter().filter(|peer| !self.refused(peer, now));
        usable.min_by_key(|peer| self.cost(peer, now)).copied()
    }

    fn refused(&self, peer: &TunnelPeer, now: Timestamp) -> bool {
        let refused_at = self.states.get(&peer.ip).and_then(|state| state.refused_at);
        refused_at.is_some_and(|at| now.since(at) < REFUSAL_PERIOD)
    }

    fn cost(&self, peer: &TunnelPeer, now: Timestamp) -> u32 {
        let state = self.states.get(&peer.ip).copied().unwrap_or_default();
        let zone_cost = if peer.is_same_zone {
            0
        } else {
            OTHER_ZONE_COST
        };
        let proof_cost = if state.is_proven(now) {
            0
        } else if state.has_failed(now) {
            UNREACHED_COST
        } else {
            UNPROVEN_COST
        };
        state.open_tunnels + zone_cost + proof_cost
    }

    /// Whether a peer has opened a tunnel to some back end lately, so that one that it can't reach
    /// is down.
    pub fn is_proven(&self, ip: IpAddr, now: Timestamp) -> bool {
        let state = self.states.get(&ip);
        state.is_some_and(|state| state.is_proven(now))
    }

    /// Records that a peer could not reach a back end.
    pub fn record_unreached(&mut self, ip: IpAddr, now: Timestamp) {
        self.states.entry(ip).or_default().unreached_at = Some(now);
    }

    /// Records that a peer opened a tunnel and now carries this many.
    pub fn record_opened(&mut self, ip: IpAddr, open_tunnels: u32, now: Timestamp) {
        let state = self.states.entry(ip).or_default();
        state.open_tunnels = open_tunnels;
        state.proven_at = Some(now);
    }

    /// Records that a peer refused a tunnel or did not respond.
    pub fn record_refused(&mut self, ip: IpAddr, now: Timestamp) {
        self.states
            .retain(|_, state| state.was_used_since(now - UNREACHED_PERIOD));
        self.states.entry(ip).or_default().refused_at = Some(now);
    }
}

impl PeerState {
    fn is_proven(&self, now: Timestamp) -> bool {
        self.proven_at
            .is_some_and(|at| now.since(at) < PROOF_LIFETIME)
    }

    fn has_failed(&self, now: Timestamp) -> bool {
        self.unreached_at
            .is_some_and(|at| now.since(at) < UNREACHED_PERIOD)
    }

    fn was_used_since(&self, since: Timestamp) -> bool {
        let used_at = self.proven_at.max(self.refused_at).max(self.unreached_at);
        used_at >= Some(since)
    }
}
