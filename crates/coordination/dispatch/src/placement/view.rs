//! A node's view of the deployment when it places a request.

use crate::Distance;
use crate::placement::locality::{DEFAULT_CROSS_ZONE_COST, HomeScope, NetworkPath, RoundTrips};
use eiderferry_routing::{ColdStart, ZoneName, ZoneRegions};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeSet;

/// The inputs of a placement decision that don't depend on the request or a single back end.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    /// Zone of this node.
    pub zone: &'a ZoneName,
    /// Zones from which nothing is heard.
    pub silent_zones: &'a BTreeSet<ZoneName>,
    /// Region of each zone.
    pub regions: &'a ZoneRegions,
    /// Zones whose back ends get no new requests.
    pub evacuated_zones: &'a BTreeSet<ZoneName>,
    /// Cold-start settings of the request's pool, if its back ends start cold.
    pub cold_start: Option<ColdStart>,
    /// Measured round trips to other zones.
    pub round_trips: &'a RoundTrips,
    /// Maximum distance of the homes of prompts.
    pub home_scope: HomeScope,
    /// Whether the costs of a back end include the network path to it.
    pub costs_locality: bool,
    /// Current time.
    pub now: Timestamp,
}

impl View<'_> {
    /// Distance between this node and a zone.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        Distance::between(self.zone, zone, self.regions)
    }

    /// The network path to a zone for a request that transfers `bytes` in total.
    pub fn network_path(&self, zone: &ZoneName, bytes: u32) -> NetworkPath {
        if self.costs_locality {
            return self
                .round_trips
                .network_path(zone, self.distance(zone), bytes);
        }
        let is_other_zone = zone != self.zone;
        NetworkPath {
            round_trip: Span::ZERO,
            transfer_cost: if is_other_zone {
                DEFAULT_CROSS_ZONE_COST
            } else {
                Span::ZERO
            },
        }
    }

    /// Whether a prompt's home may be in a zone.
    pub fn may_be_home(&self, zone: &ZoneName) -> bool {
        self.home_scope.reaches(self.distance(zone))
    }
}
