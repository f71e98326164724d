//! Simulated read-only service of the platform with delayed directories, stale documents and
//! outages.

use crate::engines::SimBackEnd;
use crate::nodes::SimNode;
use crate::scenario::LagPlan;
use eiderferry_config::{Configuration, Directory, DirectoryEntry, EntryState, Versioned};
use eiderferry_node::{DocumentKind, PlatformDocument};
use eiderferry_types::{BackEndId, NodeId, Span, Timestamp};

/// Time after publication by which a configuration must be applied on every node.
const CONFIGURATION_DEADLINE: Span = Span::from_milliseconds(14_000);

/// The platform with the history of its documents.
pub(crate) struct SimPlatform {
    directories: Vec<(Timestamp, Directory)>,
    configurations: Vec<(Timestamp, Configuration)>,
    /// Number of active outages.
    pub outage_count: u32,
    /// Ages of the active staleness faults; the highest one applies.
    pub stale_ages: Vec<Span>,
    /// Last time at which an outage, staleness or message loss ended.
    pub last_disturbed: Timestamp,
    /// Number of calls, including those that failed.
    pub calls: u64,
    /// Publication time and version of each valid configuration.
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

    /// Publishes a changed configuration and returns its version.
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

    /// Reads a document; `Ok(None)` if none newer than `known_version` is served.
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

    /// Returns the newest configuration version that must be applied on every node by now.
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

    /// Whether no outage or staleness fault is active.
    pub fn is_undisturbed(&self) -> bool {
        self.outage_count == 0 && self.stale_ages.is_empty()
    }
}

/// Returns the last document published at or before `cutoff`, or the first one.
fn document_at<Document>(
    history: &[(Timestamp, Document)],
    cutoff: Timestamp,
) -> Option<&Document> {
    let position = history.partition_point(|(time, _)| *time <= cutoff);
    history
        .get(position.saturating_sub(1))
        .map(|(_, document)| document)
}
