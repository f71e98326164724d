//! Where back ends stand as seen from this node: what the way there costs, and how far the
//! home of a prompt may lie.

use crate::Distance;
use crate::load::registry::BackEndState;
use eiderferry_routing::ZoneName;
use eiderferry_types::Span;
use std::collections::HashMap;

/// Time that a request in another zone costs where places are not told apart.
pub(crate) const OTHER_ZONE_COST: Span = Span::from_milliseconds(20);
/// Round trips assumed until one was measured: zones of a region are a few kilometres apart,
/// regions some thousand.
const ASSUMED_CROSS_ZONE_ROUND_TRIP: Span = Span::from_milliseconds(2);
const ASSUMED_CROSS_REGION_ROUND_TRIP: Span = Span::from_milliseconds(40);
/// Weight of the newest measurement of a round trip. New connections are rare, and one
/// beside a lost packet takes a second: the smaller, the less such a one counts.
const ROUND_TRIP_SMOOTHING: f64 = 0.2;
/// Longest round trip that is believed.
const MAX_ROUND_TRIP: Span = Span::from_milliseconds(300);
/// What a byte costs that crosses a zone's border, as time in nanoseconds: a request of 15 kB
/// costs 38 ms, one of 3 kB 8 ms. Such bytes are paid for where zones are separate sites.
const CROSS_ZONE_NANOSECONDS_PER_BYTE: u64 = 2_500;
/// The same for a region's border.
const CROSS_REGION_NANOSECONDS_PER_BYTE: u64 = 4_000;
/// Fewest engines among which the home of a prompt is sought: with fewer, one prompt that
/// many ask for fills an engine, and the loss of one moves many homes.
const MIN_HOME_ENGINES: usize = 4;
/// Part of the memory of a place's engines that the shared parts of all prompts may take for
/// homes to lie there: each place reads, or copies, all of them for itself.
const NARROWING_MEMORY_SHARE: f64 = 0.45;
/// The same for homes that lie there already.
const STAY_NARROW_MEMORY_SHARE: f64 = 0.6;

/// Round trip over a border until one was measured.
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

/// The way to a back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NetworkPath {
    /// Time there and back.
    pub round_trip: Span,
    /// What the bytes of a request and its answer cost, as a time.
    pub transfer_cost: Span,
}

/// Round trips to the back ends of other zones, as connections that came up told them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoundTrips {
    smoothed_by_zone: HashMap<ZoneName, Span>,
}

impl RoundTrips {
    /// Notes how long a connection to a zone took to come up.
    pub fn record(&mut self, zone: &ZoneName, round_trip: Span) {
        let round_trip = round_trip.min(MAX_ROUND_TRIP);
        let current = self
            .smoothed_by_zone
            .entry(zone.clone())
            .or_insert(round_trip);
        let smoothed = current.scaled(1.0 - ROUND_TRIP_SMOOTHING);
        *current = smoothed + round_trip.scaled(ROUND_TRIP_SMOOTHING);
    }

    /// The way to a zone for so many bytes.
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

/// Nanoseconds of the unit in which spans count.
const NANOSECONDS_PER_SPAN_UNIT: u64 = 1_000;

/// How far from a node the homes of prompts lie.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HomeScope {
    max_distance: Distance,
}

impl HomeScope {
    /// Homes among all engines.
    pub const ALL: Self = Self {
        max_distance: Distance::CrossRegion,
    };

    /// The nearest place whose engines hold the shared parts of all prompts; `before` is the
    /// one in force. Homes in the own zone took the bytes
    /// between zones from 27 to 17 MB on a calm day of 85 nodes in three zones, one run each.
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

    /// Whether homes lie in the own zone alone.
    pub fn is_own_zone(self) -> bool {
        self.max_distance == Distance::SameZone
    }

    /// Whether homes may lie so far away.
    pub fn reaches(self, distance: Distance) -> bool {
        distance <= self.max_distance
    }
}
