//! Requests under which back ends crash: what this node notes, hears and tells of them.

use super::Dispatcher;
use crate::fleet::message::Gossip;
use crate::{Decision, Demand, QuarantineChange};
use eiderferry_quarantine::RequestReport;
use eiderferry_routing::InstanceId;
use eiderferry_types::{Reason, RequestDigest, Timestamp};

impl Dispatcher {
    /// A back end crashed under a request of this node.
    pub fn note_crash(
        &mut self,
        request: RequestDigest,
        instance: &InstanceId,
        now: Timestamp,
    ) -> Option<QuarantineChange> {
        if !self.settings.features.quarantine {
            return None;
        }
        let back_end = instance.digest() as u32;
        self.quarantine.note_crash(request, back_end, now)
    }

    /// Refuses a request under which back ends crash.
    pub(super) fn refuse_crashing(&self, demand: &Demand, now: Timestamp) -> Option<Decision> {
        if !self.settings.features.quarantine {
            return None;
        }
        let quarantined = self.quarantine.standing(demand.digest, now)?;
        Some(Decision::Refuse(Reason::CrashesBackEnds, quarantined.lasts))
    }

    pub(super) fn take_crashing_requests(
        &mut self,
        message: &Gossip,
        now: Timestamp,
    ) -> Vec<QuarantineChange> {
        if !self.settings.features.quarantine {
            return Vec::new();
        }
        self.quarantine.take(&message.crashing_requests, now)
    }

    pub(super) fn crashing_requests(&mut self, now: Timestamp) -> Vec<RequestReport> {
        if !self.settings.features.quarantine {
            return Vec::new();
        }
        self.quarantine.reports(now)
    }
}
