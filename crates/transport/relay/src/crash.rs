//! Whether a back end went down with the run that broke off there.
//!
//! A broken connection alone proves little: connections are reset, answers are cut short by
//! back ends that go on serving. A back end that has crashed refuses new connections until it
//! is back, which takes it seconds. One whose connections only fell silent has crashed too if it
//! refuses new ones: the word of its end was lost.

use crate::exchange::Exchange;
use crate::upstream::{ConnectionCheck, check_connection};
use crate::{events, metrics};
use eiderferry_dispatch::Outcome;
use eiderferry_routing::InstanceId;
use std::net::SocketAddr;

impl Exchange {
    /// Notes that an attempt at a back end failed, and whether the back end crashed under it.
    pub(crate) async fn note_failed_attempt(
        &self,
        back_end: &InstanceId,
        address: SocketAddr,
        outcome: Outcome,
    ) {
        let (id, attempt) = (&self.head.id, self.attempts);
        events::attempt_failed(id, attempt, back_end, outcome, self.digest);
        if !matches!(outcome, Outcome::Broken | Outcome::Silent) {
            return;
        }
        let check = check_connection(address).await;
        let has_crashed = match check {
            ConnectionCheck::Listening => false,
            ConnectionCheck::Refused => true,
            // A back end that is silent to both may be cut off and at work.
            ConnectionCheck::Silent => outcome == Outcome::Broken,
        };
        if !has_crashed {
            return;
        }
        metrics::crashed_run(check.as_str());
        events::crashed_run(id, back_end, self.digest, check);
        self.traffic.control.crashed(self.digest, back_end.clone());
    }
}
