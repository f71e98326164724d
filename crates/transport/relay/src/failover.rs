//! Failover of interrupted streams to another back end: from a replica of their run, or by a new
//! run where the route is resumable. In both cases the back end must run the software version that
//! produced the first event.
//!
//! A run is continued from a replica at most once, and only after the connection to its engine was
//! closed.

use crate::event_stream::EventSplitter;
use crate::exchange::{Exchange, RunReplica, StreamBinding};
use crate::forwarding::is_event_stream;
use crate::lease::Lease;
use crate::sending::ResumePoint;
use crate::stream::{StreamRelay, StreamSource};
use crate::upstream::Connection;
use crate::{events, metrics};
use eiderferry_dispatch::{Outcome, StreamPacing};
use eiderferry_types::Span;
use http::{Response, StatusCode};
use hyper::body::Incoming;

/// Gap between two events after which a stream fails over, as a multiple of its event-gap target;
/// also the longest wait for the engine that holds a replica.
const EVENT_GAP_TARGETS: u64 = 3;
/// Lower bound of that gap, and the event-gap target of routes without one. Callers give up on a
/// stream after 2 s or more without an event.
const MINIMUM_EVENT_GAP: Span = Span::from_milliseconds(1_500);

/// Age from which a run is assumed to have a replica. An engine without one refuses the run, but if
/// that response is lost too, the run may have started a second time there. On two loaded days with
/// crashes and lost responses, 112 runs were continued, none younger than 200 ms and none before
/// its first event; of 93 that were requested within 50 ms none was continued, and 22 started
/// twice.
const MINIMUM_REPLICA_AGE: Span = Span::from_milliseconds(200);

/// An open response of a back end: its lease, its head with the body, and its connection.
type OpenResponse = (Lease, Response<Incoming>, Connection);

impl Exchange {
    /// Longest gap between two events before a stream fails over.
    pub(crate) fn event_gap_timeout(&self) -> Span {
        let target = self
            .head
            .route
            .event_gap_target
            .unwrap_or(MINIMUM_EVENT_GAP);
        Span(target.0 * EVENT_GAP_TARGETS).max(MINIMUM_EVENT_GAP)
    }

    /// Continues a lost run at the engine that holds its replica, if there is one.
    async fn continue_from_replica(&mut self, last_id: u64) -> Option<OpenResponse> {
        let RunReplica { holder, sent_at } = self.replica.take()?;
        let started = self.traffic.clock.now();
        if started >= self.deadline || started.since(sent_at) < MINIMUM_REPLICA_AGE {
            return None;
        }
        let result = match self.request_lease_on(Some(holder.instance.clone())).await {
            Ok(lease) => self.request_continuation(lease, last_id).await,
            Err(_) => Err("holder_not_eligible"),
        };
        let waited = self.traffic.clock.now().since(started);
        let (id, engine) = (&self.head.id, holder.instance.as_str());
        match result {
            Ok(response) => {
                metrics::takeover("taken_over", waited);
                events::taken_over(id, engine, last_id, waited);
                Some(response)
            }
            Err(reason) => {
                metrics::takeover(reason, waited);
                events::replica_refused(id, engine, reason, waited);
                None
            }
        }
    }

    /// Releases the lease of an attempt that got no response, and records the failure.
    async fn release_failed(&self, lease: Lease, outcome: Outcome) {
        let (back_end, address) = (lease.grant.instance.clone(), lease.grant.address);
        lease.release(outcome);
        self.record_failed_attempt(&back_end, address, outcome)
            .await;
    }

    async fn request_continuation(
        &mut self,
        lease: Lease,
        last_id: u64,
    ) -> Result<OpenResponse, &'static str> {
        let replica = format!("{}/{}", lease.grant.address, self.head.id);
        let resume_point = ResumePoint {
            last_event_id: Some(last_id),
            resume_from: Some(replica),
            response_timeout: self.event_gap_timeout(),
        };
        match self.send_resuming(&lease, resume_point).await {
            Ok((response, connection))
                if response.status() == StatusCode::OK && is_event_stream(&response) =>
            {
                Ok((lease, response, connection))
            }
            Ok(_) => {
                lease.release(Outcome::Failed);
                Err(Outcome::Failed.as_str())
            }
            Err(Outcome::Shed) => {
                // A missing replica does not count against the engine's health.
                lease.release(Outcome::Abandoned);
                Err("no_replica")
            }
            Err(outcome) => {
                self.release_failed(lease, outcome).await;
                Err(outcome.as_str())
            }
        }
    }
}

impl StreamRelay {
    /// Replaces a lost source by one of the same software version; returns whether the stream
    /// continues.
    pub(crate) async fn fail_over(&mut self) -> bool {
        if self.exchange.binding == StreamBinding::UnknownVersion {
            return false;
        }
        self.continue_from_replica().await || self.resume().await
    }

    /// Continues from the replica of its run; returns whether it does.
    async fn continue_from_replica(&mut self) -> bool {
        let Some(last_id) = self.splitter.last_id() else {
            return false;
        };
        match self.exchange.continue_from_replica(last_id).await {
            Some((lease, response, connection)) => {
                self.set_source(lease, response, connection);
                true
            }
            None => false,
        }
    }

    /// Resumes the stream at another back end; returns whether it does.
    async fn resume(&mut self) -> bool {
        while self.exchange.may_retry_elsewhere() {
            let Ok(lease) = self.exchange.request_lease().await else {
                return false;
            };
            let last_id = self.splitter.last_id();
            let resume_point = ResumePoint {
                last_event_id: last_id,
                ..ResumePoint::default()
            };
            let sent = self.exchange.send_resuming(&lease, resume_point).await;
            match sent {
                Ok((response, connection)) if response.status() == StatusCode::OK => {
                    let back_end = lease.grant.instance.as_str();
                    events::resumed(&self.exchange.head.id, back_end, last_id.unwrap_or(0));
                    self.set_source(lease, response, connection);
                    return true;
                }
                Ok(_) => lease.release(Outcome::Failed),
                Err(outcome) => self.exchange.release_failed(lease, outcome).await,
            }
        }
        false
    }

    fn set_source(&mut self, lease: Lease, response: Response<Incoming>, connection: Connection) {
        let (parts, body) = response.into_parts();
        self.splitter = EventSplitter::resuming_after(self.splitter.last_id());
        self.source = Some(StreamSource {
            lease,
            connection,
            headers: parts.headers,
            body,
            pacing: StreamPacing::default(),
            is_proven: false,
        });
    }
}
