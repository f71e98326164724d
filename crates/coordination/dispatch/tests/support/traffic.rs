//! Network paths between the nodes of a fleet: their delays and the bytes sent over them.

use super::{Fleet, MESSAGE_DELAY, PROPAGATION_DEADLINE, node_address, zone};
use eiderferry_dispatch::{Distance, DocumentStore, Gossip, MessageKind};
use eiderferry_routing::RegionName;
use eiderferry_types::Span;
use std::net::SocketAddr;
use std::rc::Rc;

/// Delay of a message between two regions.
const CROSS_REGION_DELAY: Span = Span::from_milliseconds(30);

impl Fleet {
    /// A fleet in three regions of two zones each.
    pub fn in_three_regions(count: usize) -> Self {
        let region = |number: usize| RegionName::from(format!("region-{}", number / 2));
        let regions = (0..6).map(|number| (zone(number), region(number)));
        let fleet = Self::with_regions(count, 6, PROPAGATION_DEADLINE, regions.collect());
        Self {
            cross_region_delay: CROSS_REGION_DELAY,
            ..fleet
        }
    }

    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: &Rc<Gossip>) {
        let delay = match self.distance(from, to) {
            Some(Distance::CrossRegion) => self.cross_region_delay,
            _ => MESSAGE_DELAY,
        };
        let key = (self.now + delay, self.messages);
        let sent = (from, to, Rc::clone(message));
        self.in_flight.insert(key, sent);
    }

    fn distance(&self, from: usize, to: SocketAddr) -> Option<Distance> {
        let to = self.node_at(to)?;
        let (from, to) = (zone(self.zones[from]), zone(self.zones[to]));
        Some(Distance::between(&from, &to, &self.regions))
    }

    /// Counts bytes that a node sends, if the receiver is a node of the fleet.
    pub(super) fn count_bytes(
        &mut self,
        kind: MessageKind,
        from: usize,
        to: SocketAddr,
        bytes: usize,
    ) {
        if let Some(distance) = self.distance(from, to) {
            *self.traffic.entry((kind, distance)).or_default() += bytes;
        }
    }

    /// Bytes sent between zones or regions, of one kind of message or of all kinds.
    pub fn cross_zone_bytes(&self, kind: Option<MessageKind>) -> usize {
        let traffic = self.traffic.iter();
        let crossing = traffic.filter(|((_, distance), _)| *distance != Distance::SameZone);
        let counted = crossing.filter(|((of, _), _)| kind.is_none_or(|kind| *of == kind));
        counted.map(|(_, bytes)| bytes).sum()
    }

    /// Fetches the documents that a node lacks from the source that it chooses.
    pub(super) fn fetch_wanted(&mut self, number: usize, reporter: Option<SocketAddr>) {
        let now = self.now;
        let Some(source) = self.nodes[number].document_source(reporter, now) else {
            return;
        };
        let from = self
            .node_at(source)
            .filter(|from| self.is_connected(*from, number));
        match from {
            Some(from) if !self.busy.contains(&from) => self.fetch(number, from),
            from => self.nodes[number].record_failed_fetch(source, from.is_some(), now),
        }
    }

    fn fetch(&mut self, to: usize, from: usize) {
        self.fetches += 1;
        let known = self.nodes[to].document_store().version_vector().clone();
        let source: DocumentStore = self.nodes[from].document_store().clone();
        let changes = source.changes_after(&known);
        if self.measures_bytes {
            let bytes = postcard::to_stdvec(&changes)
                .expect("encodable changes")
                .len();
            self.count_bytes(MessageKind::Documents, from, node_address(to), bytes);
        }
        for change in changes {
            self.nodes[to].apply(change, self.now);
        }
        let age = source.confirmed_age(self.now).unwrap_or(Span::ZERO);
        self.confirm(to, source.version_vector(), self.now - age, false);
    }
}
