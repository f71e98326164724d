//! The attempts of one request at back ends, from its head to its final response.

use crate::exchange::{
    AttemptEnd, Exchange, NOT_READY_RETRY_AFTER, RunReplica, StreamBinding, Traffic,
};
use crate::forwarding::{
    ForwardedRequest, forwarded_headers, is_event_stream, path_and_query, read_body, read_response,
    request_id, response_for_caller,
};
use crate::lease::Lease;
use crate::local_reply::LocalReply;
use crate::progress::{NOT_RUN_IN_SHUTDOWN, Progress};
use crate::request_head::{RequestHead, head_bytes};
use crate::response_body::RelayBody;
use crate::stream::StreamRelay;
use crate::upstream::Connection;
use crate::{events, metrics};
use bytes::Bytes;
use eiderferry_clock::duration;
use eiderferry_dispatch::Outcome;
use eiderferry_routing::{PoolName, RoutingTable};
use eiderferry_types::{Reason, Span, Timestamp};
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait for the first routing table. Other nodes or the store send a starting node its
/// documents in 0.1 to 0.3 s, and a refusal costs the caller as much time.
const FIRST_TABLE_TIMEOUT: Span = Span::from_milliseconds(250);
/// Time between two checks for it.
const FIRST_TABLE_CHECK_INTERVAL: Span = Span::from_milliseconds(10);

/// Serves one request.
pub(crate) async fn serve(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    progress: Progress,
) -> Response<RelayBody> {
    let started = traffic.clock.now();
    match prepare(Rc::clone(&traffic), request, started, progress).await {
        Ok(exchange) => exchange.run().await,
        Err((id, reply)) => {
            traffic.serving.record(reply.reason());
            metrics::local_reply(reply.reason());
            events::replied_locally(&id, &reply, Span::ZERO);
            reply.response()
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
    let Some(table) = wait_for_table(&traffic).await else {
        let reply = LocalReply::NotRun(Reason::NotReady, NOT_READY_RETRY_AFTER);
        return Err((id, reply));
    };
    if head_bytes(&parts) > table.limits().maximum_header_bytes {
        return Err((id, LocalReply::HeadTooLarge));
    }
    let head = RequestHead::read(&parts, &table, &traffic.header_names)
        .map_err(|reply| (id.clone(), reply))?;
    let deadline = started + head.remaining;
    let body_limit = table.limits().maximum_body_bytes;
    progress
        .memory
        .set_request(&id, metrics::route_kind(&head.route), head.rank);
    let body = read_body(body, body_limit, &progress.memory)
        .await
        .map_err(|reply| (id, reply))?;
    let split_sample = rand::random::<f64>();
    let pool = head.route.pool(split_sample).cloned();
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
        head_received_at: None,
        first_event_at: None,
        binding: StreamBinding::Unbound,
        stream: None,
        version_recorded_at: started,
        status: 0,
        progress,
        is_finished: false,
    })
}

/// The routing table in force. On a node that has just started, waits a short time for the first
/// one.
async fn wait_for_table(traffic: &Traffic) -> Option<Arc<RoutingTable>> {
    let until = traffic.clock.now() + FIRST_TABLE_TIMEOUT;
    loop {
        let table = traffic.table.load_full();
        if table.is_some() || traffic.clock.now() >= until {
            return table;
        }
        smol::Timer::after(duration(FIRST_TABLE_CHECK_INTERVAL)).await;
    }
}

impl Exchange {
    async fn run(mut self) -> Response<RelayBody> {
        let mut fallback = None;
        if let Err(reply) = self.resolve_resumption().await {
            return self.conclude_with(None, reply);
        }
        loop {
            if !self.may_have_run && self.progress.is_refusing() {
                return self.conclude_with(None, NOT_RUN_IN_SHUTDOWN);
            }
            let lease = match self.request_lease().await {
                Ok(lease) => lease,
                Err(reply) => return self.conclude_with(fallback, reply),
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
                let remaining = self.traffic.clock.now().until(until);
                let reply = self.refuse_crashing(remaining);
                return self.conclude_with(fallback, reply);
            }
            if !self.may_retry_elsewhere() {
                let reply = self.final_reply(outcome);
                return self.conclude_with(fallback, reply);
            }
        }
    }

    /// Runs one attempt at a back end. Returns the exchange unless a response stream has taken it
    /// over.
    async fn attempt(mut self, lease: Lease) -> (Option<Self>, AttemptEnd) {
        let sent_at = self.traffic.clock.now();
        let holder = lease.grant.replica.clone();
        self.replica = holder.map(|holder| RunReplica { holder, sent_at });
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
                let end = self.read_whole_response(lease, response, connection).await;
                (Some(self), end)
            }
        }
    }

    async fn read_whole_response(
        &mut self,
        lease: Lease,
        response: Response<Incoming>,
        connection: Connection,
    ) -> AttemptEnd {
        let (parts, body) = response.into_parts();
        let timeout_after = self.response_head_timeout(&lease);
        let timeout = async {
            self.traffic.clock.sleep(timeout_after).await;
            Err(Outcome::TimedOut)
        };
        let outcome = match read_response(body, &self.progress.memory).or(timeout).await {
            Err(outcome) => outcome,
            Ok(_)
                if parts.status != StatusCode::NO_CONTENT
                    && self.may_be_cut_short(&lease.grant, &parts.headers).await =>
            {
                Outcome::IncompleteResponse
            }
            Ok(bytes) => {
                self.traffic
                    .upstream
                    .return_connection(connection, &parts.headers);
                let elapsed = self.elapsed();
                metrics::first_event(&self.head.route, self.head.rank, elapsed);
                lease.record_first_event();
                return self.classify_response(lease, &parts, bytes);
            }
        };
        metrics::attempt(outcome.as_str());
        lease.release(outcome);
        AttemptEnd::NoResponse(outcome)
    }

    fn classify_response(
        &self,
        lease: Lease,
        parts: &http::response::Parts,
        bytes: Bytes,
    ) -> AttemptEnd {
        let response = response_for_caller(parts, RelayBody::from(bytes));
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
