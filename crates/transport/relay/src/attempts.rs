//! The attempts of one request at back ends, from its head to its final answer.

use crate::answer::RelayBody;
use crate::exchange::{AttemptEnd, Exchange, NOT_READY_RETRY, RunReplica, Traffic};
use crate::forwarding::{
    ForwardedRequest, answer, forwarded_headers, is_event_stream, path_and_query, read_body,
    read_response, request_id,
};
use crate::lease::Lease;
use crate::local_reply::LocalReply;
use crate::progress::Progress;
use crate::request_head::RequestHead;
use crate::stream::StreamRelay;
use crate::upstream::Connection;
use crate::{events, metrics};
use bytes::Bytes;
use eiderferry_clock::duration;
use eiderferry_dispatch::Outcome;
use eiderferry_routing::{PoolName, RoutingTable};
use eiderferry_types::{Reason, Span, Timestamp};
use futures_lite::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait for the first configuration: other nodes or the store answer a node that
/// has just started in 0.1 to 0.3 s, and a refusal costs the caller as long.
const FIRST_TABLE_PATIENCE: Span = Span::from_milliseconds(250);
/// Time between two looks for it.
const FIRST_TABLE_CHECK: Span = Span::from_milliseconds(10);
/// Serves one request.
pub(crate) async fn serve(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    progress: Progress,
) -> Response<RelayBody> {
    let started = traffic.clock.now();
    match prepare(traffic, request, started, progress).await {
        Ok(exchange) => exchange.run().await,
        Err((id, answer)) => {
            metrics::local_reply(answer.reason());
            events::replied_locally(&id, &answer, Span::ZERO);
            answer.response()
        }
    }
}

async fn prepare(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    started: Timestamp,
    progress: Progress,
) -> Result<Exchange, (String, LocalReply)> {
    let (parts, body) = request.into_parts();
    let id = request_id(&parts, &traffic.header_names);
    let Some(table) = first_table(&traffic).await else {
        let answer = LocalReply::NotRun(Reason::NotReady, NOT_READY_RETRY);
        return Err((id, answer));
    };
    let head = RequestHead::read(&parts, &table, &traffic.header_names)
        .map_err(|answer| (id.clone(), answer))?;
    let deadline = started + head.remaining;
    let limit = table.limits().maximum_body_bytes;
    progress
        .memory
        .set_request(&id, metrics::kind(&head.route), head.rank);
    let body = read_body(body, limit, &progress.memory)
        .await
        .map_err(|answer| (id, answer))?;
    let point = rand::random::<f64>();
    let pool = head.route.pool(point).cloned();
    let pool = pool.unwrap_or_else(|| PoolName::from(""));
    let headers = forwarded_headers(&parts.headers, &traffic.header_names);
    let digest = head.digest(&parts, &body);
    Ok(Exchange {
        traffic,
        head,
        digest,
        pool,
        request: ForwardedRequest {
            method: parts.method,
            uri: path_and_query(parts.uri),
            headers,
            body,
        },
        started,
        deadline,
        attempts: 0,
        unreachable: 0,
        excluded_back_ends: Vec::new(),
        may_have_run: false,
        cancelled_until: None,
        replica: None,
        status: 0,
        progress,
        is_finished: false,
    })
}

/// The table in force. A node that has just started waits a little for its first one.
async fn first_table(traffic: &Traffic) -> Option<Arc<RoutingTable>> {
    let until = traffic.clock.now() + FIRST_TABLE_PATIENCE;
    loop {
        let table = traffic.table.load_full();
        if table.is_some() || traffic.clock.now() >= until {
            return table;
        }
        smol::Timer::after(duration(FIRST_TABLE_CHECK)).await;
    }
}

impl Exchange {
    async fn run(mut self) -> Response<RelayBody> {
        let mut fallback = None;
        loop {
            let lease = match self.request_lease().await {
                Ok(lease) => lease,
                Err(answer) => return self.conclude(fallback, answer),
            };
            let instance = lease.grant.instance.clone();
            let address = lease.grant.address;
            self.excluded_back_ends.push(instance.clone());
            let (next, end) = self.attempt(lease).await;
            let Some(exchange) = next else {
                return match end {
                    AttemptEnd::Response(response) | AttemptEnd::FailedResponse(response) => {
                        response
                    }
                    AttemptEnd::NoResponse(_) => LocalReply::ResponseLost.response(),
                };
            };
            self = exchange;
            let outcome = match end {
                AttemptEnd::Response(response) => return self.forward(response),
                AttemptEnd::FailedResponse(response) => {
                    fallback = Some(response);
                    Outcome::Failed
                }
                AttemptEnd::NoResponse(outcome) => outcome,
            };
            self.record_failed_attempt(&instance, address, outcome)
                .await;
            if let Some(until) = self.cancelled_until {
                let lasts = self.traffic.clock.now().until(until);
                let answer = self.refuse_crashing(lasts);
                return self.conclude(fallback, answer);
            }
            if !self.may_retry_elsewhere() {
                let answer = self.final_reply(outcome);
                return self.conclude(fallback, answer);
            }
        }
    }

    /// One attempt at a back end. The exchange comes back unless a stream holds it.
    async fn attempt(mut self, lease: Lease) -> (Option<Self>, AttemptEnd) {
        let since = self.traffic.clock.now();
        let holder = lease.grant.replica.clone();
        self.replica = holder.map(|holder| RunReplica {
            holder,
            sent_at: since,
        });
        match self.send(&lease).await {
            Err(outcome) => {
                metrics::attempt(outcome.as_str());
                lease.release(outcome);
                (Some(self), AttemptEnd::NoResponse(outcome))
            }
            Ok((response, connection)) if is_event_stream(&response) => {
                StreamRelay::start(self, lease, response, connection).await
            }
            Ok((response, connection)) => {
                let end = self.whole_answer(lease, response, connection).await;
                (Some(self), end)
            }
        }
    }

    async fn whole_answer(
        &mut self,
        lease: Lease,
        response: Response<Incoming>,
        connection: Connection,
    ) -> AttemptEnd {
        let (parts, body) = response.into_parts();
        let limit = self.head_deadline(&lease);
        let timeout = async {
            self.traffic.clock.sleep(limit).await;
            Err(Outcome::TimedOut)
        };
        let outcome = match read_response(body, &self.progress.memory).or(timeout).await {
            Err(outcome) => outcome,
            Ok(bytes) => {
                self.traffic
                    .upstream
                    .return_connection(connection, &parts.headers);
                let elapsed = self.elapsed();
                metrics::first_event(&self.head.route, self.head.rank, elapsed);
                lease.first_event();
                return self.judge_answer(lease, &parts, bytes);
            }
        };
        metrics::attempt(outcome.as_str());
        lease.release(outcome);
        AttemptEnd::NoResponse(outcome)
    }

    fn judge_answer(
        &self,
        lease: Lease,
        parts: &http::response::Parts,
        bytes: Bytes,
    ) -> AttemptEnd {
        let response = answer(parts, RelayBody::from(bytes));
        let is_failure = parts.status.is_server_error();
        let outcome = match parts.status {
            _ if is_failure => Outcome::Failed,
            status if status.is_client_error() => Outcome::Rejected,
            _ => Outcome::Completed,
        };
        metrics::attempt(outcome.as_str());
        lease.release(outcome);
        if is_failure && self.head.route.may_retry() {
            AttemptEnd::FailedResponse(response)
        } else {
            AttemptEnd::Response(response)
        }
    }
}
