//! What a node sees of the deployment when it decides about a request.

use eiderferry_routing::{ColdStart, RegionOfZone, ZoneName};
use eiderferry_types::Timestamp;
use std::collections::BTreeSet;

/// Where and when a node decides.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    /// Its zone.
    pub zone: &'a ZoneName,
    /// Zones that it hears nothing of.
    pub silent_zones: &'a BTreeSet<ZoneName>,
    /// Region of each zone.
    pub regions: &'a RegionOfZone,
    /// Zones whose back ends get nothing new.
    pub evacuated: &'a BTreeSet<ZoneName>,
    /// How the back ends of the request's pool start, if they start cold.
    pub cold_start: Option<ColdStart>,
    /// The time.
    pub now: Timestamp,
}
