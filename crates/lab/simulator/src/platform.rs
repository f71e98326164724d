//! The platform's read-only service: lagging lists, staleness, outages.

use crate::engines::SimBackEnd;
use crate::nodes::SimNode;
use crate::scenario::LagPlan;
use eiderferry_config::{Configuration, Directory, DirectoryEntry, EntryState, Versioned};
use eiderferry_node::{DocumentKind, PlatformDocument};
use eiderferry_types::{BackEndId, NodeId, Span, Timestamp};

/// Time within which a published configuration must be in force.
const CONFIGURATION_DEADLINE: Span = Span::from_milliseconds(14_000);

/// The platform with the history of what it serves.
pub(crate) struct SimPlatform {
    directories: Vec<(Timestamp, Directory)>,
    configurations: Vec<(Timestamp, Configuration)>,
    /// Outages in force.
    pub outage_count: u32,
    /// Ages in force at which it serves what it served then.
    pub stale_ages: Vec<Span>,
    /// When it last was down or stale.
    pub last_disturbed: Timestamp,
    /// Calls, whether answered or not.
    pub calls: u64,
    /// When each configuration became due everywhere.
    published_versions: Vec<(Timestamp, u64)>,
}

impl SimPlatform {
    pub fn new(configuration: &Configuration, nodes: &[SimNode], back_ends: &[SimBackEnd]) -> Self {
        let directory = Directory {
            epoch: 0,
            version: 1,
            nodes: nodes.iter().map(SimNode::entry).collect(),
            back_ends: back_ends.iter().map(SimBackEnd::entry).collect(),
        };
        Self {
            directories: vec![(Timestamp::default(), directory)],
            configurations: vec![(Timestamp::default(), configuration.clone())],
            outage_count: 0,
            stale_ages: Vec::new(),
            last_disturbed: Timestamp::default(),
            calls: 0,
            published_versions: Vec::new(),
        }
    }

    fn update_directory(&mut self, now: Timestamp, change: impl FnOnce(&mut Directory)) {
        let Some((_, last)) = self.directories.last() else {
            return;
        };
        let mut directory = last.clone();
        change(&mut directory);
        directory.version += 1;
        self.directories.push((now, directory));
    }

    pub fn upsert_node(&mut self, now: Timestamp, entry: DirectoryEntry<NodeId, ()>) {
        self.update_directory(now, |directory| {
            directory.nodes.retain(|node| node.id != entry.id);
            directory.nodes.push(entry);
            directory.nodes.sort_by_key(|node| node.id);
        });
    }

    pub fn remove_node(&mut self, now: Timestamp, id: NodeId) {
        self.update_directory(now, |directory| {
            directory.nodes.retain(|node| node.id != id)
        });
    }

    pub fn set_back_end_state(&mut self, now: Timestamp, id: BackEndId, state: EntryState) {
        self.update_directory(now, |directory| {
            for entry in directory
                .back_ends
                .iter_mut()
                .filter(|entry| entry.id == id)
            {
                entry.state = state;
            }
        });
    }

    /// Publishes a changed configuration; returns its version.
    pub fn publish(&mut self, now: Timestamp, change: impl FnOnce(&mut Configuration)) -> u64 {
        let Some((_, last)) = self.configurations.last() else {
            return 0;
        };
        let mut configuration = last.clone();
        change(&mut configuration);
        configuration.version += 1;
        let version = configuration.version;
        if configuration.check("published").is_ok() {
            self.published_versions.push((now, version));
        }
        self.configurations.push((now, configuration));
        version
    }

    /// What a read gets.
    pub fn read(
        &self,
        now: Timestamp,
        kind: DocumentKind,
        known_version: u64,
        lags: &LagPlan,
    ) -> Result<Option<PlatformDocument>, ()> {
        if self.outage_count > 0 {
            return Err(());
        }
        let stale = self.stale_ages.iter().copied().max().unwrap_or(Span::ZERO);
        match kind {
            DocumentKind::Configuration => {
                let document = document_at(&self.configurations, now - stale);
                let newer = document.filter(|document| document.version > known_version);
                let valid = newer.filter(|document| document.check("published").is_ok());
                Ok(valid.cloned().map(PlatformDocument::Configuration))
            }
            DocumentKind::Directory => {
                let lag = Span::from_milliseconds(lags.directory_ms);
                let document = document_at(&self.directories, now - stale - lag);
                let newer = document.filter(|document| document.version() > known_version);
                Ok(newer.cloned().map(PlatformDocument::Directory))
            }
        }
    }

    /// The newest version that must be in force everywhere by now.
    pub fn due_configuration_version(&self, now: Timestamp, undisturbed: bool) -> u64 {
        if !undisturbed || now.since(self.last_disturbed) < CONFIGURATION_DEADLINE {
            return 0;
        }
        self.published_versions
            .iter()
            .filter(|(published, _)| now.since(*published) >= CONFIGURATION_DEADLINE)
            .map(|(_, version)| *version)
            .max()
            .unwrap_or(0)
    }

    /// Whether it serves the present state.
    pub fn is_undisturbed(&self) -> bool {
        self.outage_count == 0 && self.stale_ages.is_empty()
    }
}

/// The last document from a time at or before `moment`, or the first one.
fn document_at<Document>(
    history: &[(Timestamp, Document)],
    cutoff: Timestamp,
) -> Option<&Document> {
    let position = history.partition_point(|(time, _)| *time <= cutoff);
    history
        .get(position.saturating_sub(1))
        .map(|(_, document)| document)
}
