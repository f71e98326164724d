//! What a node sees of the deployment when it decides about a request.

use crate::Distance;
use crate::placement::locality::{HomeScope, NetworkPath, OTHER_ZONE_COST, RoundTrips};
use eiderferry_routing::{ColdStart, ZoneName, ZoneRegions};
use eiderferry_types::{Span, Timestamp};
use std::collections::BTreeSet;

/// Where and when a node decides.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Zones that it hears nothing of.
    pub silent_zones: &'a BTreeSet<ZoneName>,
    /// Region of each zone.
    pub regions: &'a ZoneRegions,
    /// Zones whose back ends get nothing new.
    pub evacuated_zones: &'a BTreeSet<ZoneName>,
    /// How the back ends of the request's pool start, if they start cold.
    pub cold_start: Option<ColdStart>,
    /// Round trips to other zones.
    pub round_trips: &'a RoundTrips,
    /// Where the homes of prompts lie.
    pub home_scope: HomeScope,
    /// Whether back ends cost what the way to them takes.
    pub costs_locality: bool,
    /// The time.
    pub now: Timestamp,
}

impl View<'_> {
    /// What lies between this node and a zone.
    pub fn distance(&self, zone: &ZoneName) -> Distance {
        Distance::between(self.zone, zone, self.regions)
    }

    /// The way to a zone for a request that takes so many bytes with its answer.
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
                OTHER_ZONE_COST
            } else {
                Span::ZERO
            },
        }
    }

    /// Whether a prompt's home may lie in a zone.
    pub fn may_be_home(&self, zone: &ZoneName) -> bool {
        self.home_scope.reaches(self.distance(zone))
    }
}
