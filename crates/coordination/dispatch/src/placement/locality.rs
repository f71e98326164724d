//! Network locality of back ends: the cost of the network path to them, and the distance within
//! which the home of a prompt may be.
//!
//! The home of a prompt is the engine that all nodes prefer for it, so that its shared parts are
//! cached there.

use crate::Distance;
use crate::load::registry::BackEndState;
use eiderferry_routing::ZoneName;
use eiderferry_types::Span;
use std::collections::HashMap;

/// Cost of a request in another zone if locality costs are disabled.
pub(crate) const DEFAULT_CROSS_ZONE_COST: Span = Span::from_milliseconds(20);
/// Round trips assumed until one has been measured. Zones of a region are a few kilometres apart,
/// regions some thousand.
const ASSUMED_CROSS_ZONE_ROUND_TRIP: Span = Span::from_milliseconds(2);
const ASSUMED_CROSS_REGION_ROUND_TRIP: Span = Span::from_milliseconds(40);
/// Weight of the newest round-trip measurement. New connections are rare, and one that loses a
/// packet takes a second, so a small weight limits the effect of such outliers.
const ROUND_TRIP_SMOOTHING: f64 = 0.2;
/// Upper limit for measured round trips.
const MAX_ROUND_TRIP: Span = Span::from_milliseconds(300);
/// Cost of each byte between zones, in nanoseconds: a request of 15 kB costs 38 ms, one of 3 kB 8
/// ms. Traffic between zones at separate sites is charged for.
const CROSS_ZONE_NANOSECONDS_PER_BYTE: u64 = 2_500;
/// Cost of each byte between regions, in nanoseconds.
const CROSS_REGION_NANOSECONDS_PER_BYTE: u64 = 4_000;
/// Minimum number of engines among which the home of a prompt is chosen. With fewer, one popular
/// prompt fills an engine, and the loss of an engine moves many homes.
const MIN_HOME_ENGINES: usize = 4;
/// Maximum share of the engines' memory within a distance that the shared parts of all prompts
/// may take for homes to be restricted to that distance. With restricted homes, each zone or
/// region prefills or copies all shared parts for itself.
const NARROWING_MEMORY_SHARE: f64 = 0.45;
/// The same for homes that are already restricted to that distance.
const STAY_NARROW_MEMORY_SHARE: f64 = 0.6;

/// Round trip to assume until one has been measured.
fn assumed_round_trip(distance: Distance) -> Span {
    match distance {
        Distance::SameZone => Span::ZERO,
        Distance::CrossZone | Distance::Unknown => ASSUMED_CROSS_ZONE_ROUND_TRIP,
        Distance::CrossRegion => ASSUMED_CROSS_REGION_ROUND_TRIP,
    }
}

fn nanoseconds_per_byte(distance: Distance) -> u64 {
    match distance {
        Distance::SameZone => 0,
        Distance::CrossZone | Distance::Unknown => CROSS_ZONE_NANOSECONDS_PER_BYTE,
        Distance::CrossRegion => CROSS_REGION_NANOSECONDS_PER_BYTE,
    }
}

/// Network costs of reaching a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NetworkPath {
    /// Round-trip time.
    pub round_trip: Span,
    /// Cost of the bytes of a request and its response, as a time.
    pub transfer_cost: Span,
}

/// Round trips to the back ends of other zones, measured when connections are established.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoundTrips {
    smoothed_by_zone: HashMap<ZoneName, Span>,
}

impl RoundTrips {
    /// Records the time that a connection to a zone took to be established.
    pub fn record(&mut self, zone: &ZoneName, round_trip: Span) {
        let round_trip = round_trip.min(MAX_ROUND_TRIP);
        let current = self
            .smoothed_by_zone
            .entry(zone.clone())
            .or_insert(round_trip);
        let smoothed = current.scaled(1.0 - ROUND_TRIP_SMOOTHING);
        *current = smoothed + round_trip.scaled(ROUND_TRIP_SMOOTHING);
    }

    /// The network path to a zone for a request that transfers `bytes` in total.
    pub fn network_path(&self, zone: &ZoneName, distance: Distance, bytes: u32) -> NetworkPath {
        if distance == Distance::SameZone {
            return NetworkPath::default();
        }
        let measured = self.smoothed_by_zone.get(zone).copied();
        NetworkPath {
            round_trip: measured.unwrap_or(assumed_round_trip(distance)),
            transfer_cost: Span(
                u64::from(bytes) * nanoseconds_per_byte(distance) / NANOSECONDS_PER_SPAN_UNIT,
            ),
        }
    }
}

/// Nanoseconds in one unit of [`Span`].
const NANOSECONDS_PER_SPAN_UNIT: u64 = 1_000;

/// Maximum distance between a node and the homes of the prompts that it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HomeScope {
    max_distance: Distance,
}

impl HomeScope {
    /// Homes may be on any engine.
    pub const ALL: Self = Self {
        max_distance: Distance::CrossRegion,
    };

    /// The smallest distance within which the engines can hold the shared parts of all prompts;
    /// `previous` is the scope in force. Restricting homes to the node's zone reduced the traffic
    /// between zones from 27 to 17 MB on a calm day of 85 nodes in three zones (one run each).
    pub fn nearest(
        engines: &[(Distance, &BackEndState)],
        shared_tokens: u64,
        previous: Option<Self>,
    ) -> Self {
        let candidate_distances = [Distance::SameZone, Distance::CrossZone];
        let fits = |limit: &Distance| {
            let in_scope = engines.iter().filter(|(distance, _)| distance <= limit);
            let capacities = in_scope
                .clone()
                .map(|(_, state)| state.load.cache.capacity());
            let was_in_scope = previous.is_some_and(|previous| previous.max_distance <= *limit);
            let memory_share = if was_in_scope {
                STAY_NARROW_MEMORY_SHARE
            } else {
                NARROWING_MEMORY_SHARE
            };
            let capacity = capacities.sum::<u64>() as f64 * memory_share;
            in_scope.count() >= MIN_HOME_ENGINES && shared_tokens as f64 <= capacity
        };
        let nearest = candidate_distances.into_iter().find(fits);
        nearest.map_or(Self::ALL, |max_distance| Self { max_distance })
    }

    /// Whether homes are restricted to the node's zone.
    pub fn is_own_zone(self) -> bool {
        self.max_distance == Distance::SameZone
    }

    /// Whether homes may be as far away as `distance`.
    pub fn reaches(self, distance: Distance) -> bool {
        distance <= self.max_distance
    }
}
