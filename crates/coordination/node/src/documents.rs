//! Reads new versions of the shared documents, puts them in force and announces them to
//! peers.

use crate::catalog::Catalog;
use crate::message::{DocumentKind, Message};
use crate::node::Node;
use crate::output::{Output, PlatformDocument};
use eiderferry_config::{Configuration, ConfigurationDelta, Directory, DirectoryDelta, EntryState};
use eiderferry_dissemination::{ApplyOutcome, ReaderRole, Update};
use eiderferry_membership::Member;
use eiderferry_types::{NodeId, Timestamp};
use rand::seq::IndexedRandom;

/// Peers in the own zone that are pinged when a new version is accepted; they fetch it and
/// announce it in turn.
const ANNOUNCEMENT_FANOUT: usize = 3;
/// Key by which the readers of a zone are chosen.
const READER_KEY: &str = "platform-reader";

impl Node {
    /// Starts the platform reads that are due, and fetches missing documents from the
    /// seeds.
    pub(crate) fn read_documents(&mut self) {
        let candidates = self.fleet.reader_candidates(READER_KEY, self.now);
        let position = candidates
            .iter()
            .position(|node| *node == self.identity.node);
        let role = ReaderRole::from_position(position);
        let configuration_missing = self.configuration.current().is_none();
        let directory_missing = self.directory.current().is_none();
        let must_verify = self.is_unverified();
        let urgent = directory_missing || must_verify;
        if self.directory_reads.start_if_due(self.now, role, urgent) {
            let known_version = self.directory.version();
            self.emit(Output::ReadPlatform {
                kind: DocumentKind::Directory,
                known_version,
            });
        }
        let urgent = configuration_missing;
        if self
            .configuration_reads
            .start_if_due(self.now, role, urgent)
        {
            let known_version = self.configuration.version();
            self.emit(Output::ReadPlatform {
                kind: DocumentKind::Configuration,
                known_version,
            });
        }
        if configuration_missing || directory_missing {
            self.fetch_from_seeds();
        }
    }

    fn fetch_from_seeds(&mut self) {
        for address in self.limits.seeds.clone() {
            for kind in [DocumentKind::Directory, DocumentKind::Configuration] {
                let message = Message::Fetch {
                    kind,
                    known_version: 0,
                };
                self.emit(Output::SendToAddress { address, message });
            }
        }
    }

    /// Handles the result of a platform read: a newer document, `None` if there is none,
    /// or `Err` if the read failed.
    pub fn handle_platform_response(
        &mut self,
        now: Timestamp,
        kind: DocumentKind,
        response: Result<Option<PlatformDocument>, ()>,
    ) {
        self.advance_clock(now);
        let schedule = match kind {
            DocumentKind::Configuration => &mut self.configuration_reads,
            DocumentKind::Directory => &mut self.directory_reads,
        };
        let was_reading = schedule.is_reading();
        schedule.record_result(response.is_ok());
        if kind == DocumentKind::Directory && response.is_ok() && was_reading {
            self.confirm_directory();
        }
        match response {
            Ok(Some(PlatformDocument::Configuration(document))) => {
                self.accept_configuration(document);
            }
            Ok(Some(PlatformDocument::Directory(document))) => self.accept_directory(document),
            Ok(None) | Err(()) => {}
        }
        self.process_inbox();
    }

    pub(crate) fn fetch(&mut self, from: NodeId, kind: DocumentKind) {
        let known_version = match kind {
            DocumentKind::Configuration => self.configuration.version(),
            DocumentKind::Directory => self.directory.version(),
        };
        self.send(
            from,
            Message::Fetch {
                kind,
                known_version,
            },
        );
    }

    pub(crate) fn handle_fetch(&mut self, from: NodeId, kind: DocumentKind, known_version: u64) {
        let message = match kind {
            DocumentKind::Configuration => self
                .configuration
                .update_for(known_version)
                .map(Message::ConfigurationUpdate),
            DocumentKind::Directory => self
                .directory
                .update_for(known_version)
                .map(Message::DirectoryUpdate),
        };
        if let Some(message) = message {
            self.send(from, message);
        }
    }

    pub(crate) fn handle_configuration_update(
        &mut self,
        from: NodeId,
        update: &Update<Configuration, ConfigurationDelta>,
    ) {
        match self.configuration.preview(update) {
            Ok(document) => self.accept_configuration(document),
            Err(ApplyOutcome::Gap) => {
                let kind = DocumentKind::Configuration;
                self.send(
                    from,
                    Message::Fetch {
                        kind,
                        known_version: 0,
                    },
                );
            }
            Err(_) => {}
        }
    }

    pub(crate) fn handle_directory_update(
        &mut self,
        from: NodeId,
        update: &Update<Directory, DirectoryDelta>,
    ) {
        match self.directory.preview(update) {
            Ok(document) => self.accept_directory(document),
            Err(ApplyOutcome::Gap) => {
                let kind = DocumentKind::Directory;
                self.send(
                    from,
                    Message::Fetch {
                        kind,
                        known_version: 0,
                    },
                );
            }
            Err(_) => {}
        }
    }

    /// Puts a newer configuration in force if it is valid; an invalid one is rejected as a
    /// whole.
    fn accept_configuration(&mut self, document: Configuration) {
        if document.check("published configuration").is_err() {
            self.invalid_configuration = document.version;
            return;
        }
        if self.configuration.offer(document) != ApplyOutcome::Accepted {
            return;
        }
        self.rebuild_catalog();
        self.reconfigure_cells();
        self.announce_version();
    }

    fn accept_directory(&mut self, document: Directory) {
        let previous = self.directory.current().cloned();
        if self.directory.offer(document) != ApplyOutcome::Accepted {
            return;
        }
        if let Some(newer) = self.directory.current() {
            self.leaving_overrides
                .update(previous.as_deref(), newer, self.now);
        }
        self.confirm_directory();
        self.apply_members();
        self.rebuild_catalog();
        self.refresh_cell_members();
        self.move_leases_to_current_holders();
        self.drain_queues_held_elsewhere();
        self.announce_version();
    }

    /// Makes back ends available again once their leaving override has expired.
    pub(crate) fn clear_expired_overrides(&mut self) {
        if self.leaving_overrides.clear_if_expired(self.now) {
            self.rebuild_catalog();
            self.refresh_cell_members();
        }
    }

    fn apply_members(&mut self) {
        let Some(directory) = self.directory.current().cloned() else {
            return;
        };
        let members = directory.nodes.iter().map(|entry| Member {
            node: entry.id,
            zone: entry.zone,
            leaving: entry.state == EntryState::Leaving,
        });
        self.fleet.set_members(members);
        let listed = self.fleet.listed_nodes().collect();
        self.key_history.record(self.now, listed);
        self.forget_unlisted_owners();
    }

    fn rebuild_catalog(&mut self) {
        let (Some(directory), Some(configuration)) =
            (self.directory.current(), self.configuration.current())
        else {
            return;
        };
        self.catalog = Catalog::new(directory, configuration.clone(), &self.leaving_overrides);
    }

    /// Pings a few peers of the own zone and one in another zone, so that they fetch the
    /// new version.
    fn announce_version(&mut self) {
        let same_zone_peers = self.fleet.same_zone_peers();
        let other_zone_peers = self.fleet.other_zone_peers();
        let mut recipients: Vec<NodeId> = same_zone_peers
            .choose_multiple(&mut self.random, ANNOUNCEMENT_FANOUT)
            .copied()
            .collect();
        recipients.extend(other_zone_peers.choose(&mut self.random).copied());
        for peer in recipients {
            self.ping(peer);
        }
    }
}
