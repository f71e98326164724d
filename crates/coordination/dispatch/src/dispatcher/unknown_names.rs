//! Zones and regions that documents name and the settings don't contain.

use crate::{DocumentKey, DocumentStore};
use eiderferry_routing::{RegionName, ZoneName, ZoneRegions};
use std::collections::BTreeSet;

/// A zone or region name that the settings don't contain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UnknownName {
    /// Zone of an evacuation, whether begun or ended.
    Zone(ZoneName),
    /// A region in which requests may run; no zone of the settings lies in it.
    Region(RegionName),
}

impl UnknownName {
    /// Kind of the name, as a word for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Zone(_) => "zone",
            Self::Region(_) => "region",
        }
    }

    /// The name.
    pub fn as_str(&self) -> &str {
        match self {
            Self::Zone(zone) => zone.as_str(),
            Self::Region(region) => region.as_str(),
        }
    }
}

/// Names in a document just applied that are not among the zones and regions of the settings.
pub(super) fn unknown_names(
    key: &DocumentKey,
    document_store: &DocumentStore,
    regions: &ZoneRegions,
) -> Vec<UnknownName> {
    match key {
        DocumentKey::Evacuation(zone) if !regions.contains_key(zone) => {
            vec![UnknownName::Zone(zone.clone())]
        }
        DocumentKey::Table => unknown_regions(document_store, regions),
        _ => Vec::new(),
    }
}

fn unknown_regions(document_store: &DocumentStore, regions: &ZoneRegions) -> Vec<UnknownName> {
    let known: BTreeSet<&RegionName> = regions.values().collect();
    let table = document_store.table();
    let named = table.into_iter().flat_map(|table| table.named_regions());
    let unknown: BTreeSet<&RegionName> = named.filter(|name| !known.contains(name)).collect();
    let unknown = unknown.into_iter().cloned();
    unknown.map(UnknownName::Region).collect()
}
