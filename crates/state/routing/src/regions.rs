//! Regions in which requests may run.

use crate::{RegionName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Region of each zone.
pub type ZoneRegions = BTreeMap<ZoneName, RegionName>;

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All regions.
    #[default]
    Any,
    /// Only these regions; none if the set is empty.
    Only(BTreeSet<RegionName>),
}

impl AllowedRegions {
    /// Regions that both a route and a tenant allow. An empty list allows all regions.
    pub fn of(route: &[RegionName], tenant: &[RegionName]) -> Self {
        match (route, tenant) {
            ([], []) => Self::Any,
            ([], listed) | (listed, []) => Self::Only(listed.iter().cloned().collect()),
            (route, tenant) => {
                let common = route.iter().filter(|region| tenant.contains(region));
                Self::Only(common.cloned().collect())
            }
        }
    }

    /// Whether a request may run in a zone. In a zone of unknown region only requests without
    /// a restriction may run.
    pub fn allows(&self, zone: &ZoneName, regions: &ZoneRegions) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => regions
                .get(zone)
                .is_some_and(|region| allowed.contains(region)),
        }
    }
}
