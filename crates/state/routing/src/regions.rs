//! Regions in which requests may run.

use crate::{RegionName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Region of each zone.
pub type ZoneRegions = BTreeMap<ZoneName, RegionName>;

/// Regions in which a request may run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// All of them.
    #[default]
    Any,
    /// These only; none if it is empty.
    Only(BTreeSet<RegionName>),
}

impl AllowedRegions {
    /// What a route and a tenant allow together. A list without any region allows all.
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

    /// Whether a request may run in a zone. Where the zone's region is not known, only one
    /// that may run anywhere does.
    pub fn allows(&self, zone: &ZoneName, regions: &ZoneRegions) -> bool {
        match self {
            Self::Any => true,
            Self::Only(allowed) => regions
                .get(zone)
                .is_some_and(|region| allowed.contains(region)),
        }
    }
}
