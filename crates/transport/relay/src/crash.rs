//! Detection of back ends that crash while running a request.
//!
//! A broken connection alone is not evidence of a crash: connections are reset, and back ends that
//! keep serving truncate responses. A crashed back end refuses new connections until it has
//! restarted, which takes seconds. A back end whose connection became silent without being closed
//! has crashed too if it refuses new ones: the packet that closed the connection was lost.
//!
//! A back end that a peer reaches has not crashed: the path from this node is broken.

use crate::connecting::{ConnectionCheck, check_connection};
use crate::events::CrashDetails;
use crate::exchange::{Exchange, Traffic};
use crate::{events, metrics};
use eiderferry_dispatch::{CrashedRun, Grant, Outcome, RunProgress};
use eiderferry_routing::InstanceId;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use std::net::SocketAddr;
use std::rc::Rc;

/// A run that got no response, and the back end that may have crashed while running it.
struct LostRun {
    request_id: String,
    run: CrashedRun,
    address: SocketAddr,
    outcome: Outcome,
    traffic: Rc<Traffic>,
}

impl Exchange {
    /// Records that an attempt at a back end failed, and reports the back end if it crashed.
    pub(crate) async fn record_failed_attempt(
        &self,
        back_end: &InstanceId,
        address: SocketAddr,
        outcome: Outcome,
    ) {
        let (id, attempt) = (&self.head.id, self.attempts);
        events::attempt_failed(id, attempt, back_end, outcome, self.digest);
        let run = LostRun {
            request_id: id.clone(),
            run: CrashedRun {
                request: self.digest,
                shared_parts: self.shared_parts(),
                instance: back_end.clone(),
                progress: self.run_progress(),
            },
            address,
            outcome,
            traffic: Rc::clone(&self.traffic),
        };
        match outcome {
            Outcome::IncompleteResponse => run.report_if_crashed().await,
            // If nothing responds, the check takes as long as the connect timeout; the next attempt
            // does not wait for it.
            Outcome::TimedOut => self.traffic.upstream.spawn(run.report_if_crashed()),
            _ => {}
        }
    }

    /// Whether a response that ended with its connection may have been cut short by a crash. A back
    /// end that is leaving may close its listener before its last responses end, which only matters
    /// if the request can't be continued elsewhere.
    pub(crate) async fn may_be_cut_short(&self, grant: &Grant, headers: &HeaderMap) -> bool {
        if !ends_with_connection(headers)
            || check_connection(grant.address).await != ConnectionCheck::Refused
        {
            return false;
        }
        let (control, upstream) = (&self.traffic.control, &self.traffic.upstream);
        let instance = &grant.instance;
        let is_ambiguous =
            self.head.route.may_retry() || control.accepts_work(instance.clone()).await;
        is_ambiguous && !upstream.is_reached_by_peer(grant.address, instance).await
    }

    /// How far the current attempt's run has come, by what was received of it.
    fn run_progress(&self) -> RunProgress {
        let now = self.traffic.clock.now();
        match (self.first_event_at, self.head_received_at) {
            (Some(at), _) => RunProgress::Writing(now.since(at)),
            (None, Some(at)) => RunProgress::Started(now.since(at)),
            (None, None) => RunProgress::Waiting,
        }
    }
}

/// Whether the end of a response is the end of its connection, because it states no length.
fn ends_with_connection(headers: &HeaderMap) -> bool {
    !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

impl LostRun {
    /// Reports a crash to the control thread if the back end is down.
    async fn report_if_crashed(self) {
        let check = check_connection(self.address).await;
        let has_crashed = match check {
            ConnectionCheck::Listening => false,
            ConnectionCheck::Refused => true,
            // A back end that responds on neither connection may be partitioned but working.
            ConnectionCheck::TimedOut => self.outcome == Outcome::IncompleteResponse,
        };
        if !has_crashed {
            return;
        }
        let upstream = &self.traffic.upstream;
        let is_reached = upstream.is_reached_by_peer(self.address, &self.run.instance);
        if is_reached.await {
            return;
        }
        metrics::crashed_run(check.as_str());
        events::crashed_run(&CrashDetails {
            request_id: &self.request_id,
            run: &self.run,
            check,
        });
        self.traffic.control.record_crash(self.run);
    }
}
