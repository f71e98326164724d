//! Whether a back end went down with the run that broke off there.
//!
//! A broken connection alone proves little: connections are reset, answers are cut short by
//! back ends that go on serving. A back end that has crashed refuses new connections until it
//! is back, which takes it seconds. One whose connections only fell silent has crashed too if it
//! refuses new ones: the word of its end was lost.

use crate::control::ControlHandle;
use crate::exchange::Exchange;
use crate::upstream::{ConnectionCheck, check_connection};
use crate::{events, metrics};
use eiderferry_dispatch::Outcome;
use eiderferry_routing::InstanceId;
use eiderferry_types::RequestDigest;
use std::net::SocketAddr;

/// A run that got no answer, and the back end that may have crashed under it.
struct LostRun {
    request_id: String,
    digest: RequestDigest,
    back_end: InstanceId,
    address: SocketAddr,
    outcome: Outcome,
    control: ControlHandle,
}

impl Exchange {
    /// Notes that an attempt at a back end failed, and whether the back end crashed under it.
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
            digest: self.digest,
            back_end: back_end.clone(),
            address,
            outcome,
            control: self.traffic.control.clone(),
        };
        match outcome {
            Outcome::IncompleteResponse => run.report_if_crashed().await,
            // Where nothing answers the check takes as long as a connection may: the next
            // attempt does not wait for it.
            Outcome::TimedOut => self.traffic.upstream.spawn(run.report_if_crashed()),
            _ => {}
        }
    }
}

impl LostRun {
    /// Tells the control thread if the back end is gone.
    async fn report_if_crashed(self) {
        let check = check_connection(self.address).await;
        let has_crashed = match check {
            ConnectionCheck::Listening => false,
            ConnectionCheck::Refused => true,
            // A back end that is silent to both may be cut off and at work.
            ConnectionCheck::TimedOut => self.outcome == Outcome::IncompleteResponse,
        };
        if !has_crashed {
            return;
        }
        metrics::crashed_run(check.as_str());
        events::crashed_run(&self.request_id, &self.back_end, self.digest, check);
        self.control.record_crash(self.digest, self.back_end);
    }
}
