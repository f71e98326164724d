//! One request from its head to its final answer.

use crate::answer::RelayBody;
use crate::clock::{Clock, duration};
use crate::control::{ControlHandle, SharedTable};
use crate::forwarding::{
    ForwardedRequest, Told, answer, forwarded_headers, is_event_stream, path_and_query,
    read_answer, read_body, request_id,
};
use crate::lease::Lease;
use crate::own_answer::OwnAnswer;
use crate::progress::Progress;
use crate::request_head::RequestHead;
use crate::request_memory::Memory;
use crate::stream::StreamRelay;
use crate::upstream::{Connection, SendError, Upstream};
use crate::vocabulary::Vocabulary;
use crate::{events, metrics};
use bytes::Bytes;
use eiderferry_dispatch::{Decision, Demand, Outcome};
use eiderferry_routing::{InstanceId, PoolName, RouteKind, RoutingTable};
use eiderferry_types::{Reason, Span, Timestamp};
use futures_lite::FutureExt;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use std::rc::Rc;
use std::sync::Arc;

/// Time after which a request without a configuration is worth sending again.
const NOT_READY_RETRY: Span = Span::from_milliseconds(300);
/// Longest wait for the first configuration: other nodes or the store answer a node that
/// has just started in 0.1 to 0.3 s, and a refusal costs the caller as long.
const FIRST_TABLE_PATIENCE: Span = Span::from_milliseconds(250);
/// Time between two looks for it.
const FIRST_TABLE_CHECK: Span = Span::from_milliseconds(10);
/// Back ends tried without a connection coming up.
const MAXIMUM_UNREACHABLE: u32 = 3;
/// Attempt's time for an answer that may be asked for again, in targets.
const ATTEMPT_TARGETS: u64 = 2;
/// Patience for the first event of a stream, in targets. With one target 88 attempts were
/// given up as silent in a loaded day of 57 s; what that cost is within the noise of
/// measurements (docs/design/placement.md).
const FIRST_EVENT_TARGETS: u64 = 2;
/// The same besides, in expected times to the first event.
const EXPECTED_TIMES: u64 = 2;

/// Bytes of an answer for each token that may come out: an event of 75 bytes holds 8 or 9
/// tokens at two deployments.
const ASSUMED_BYTES_PER_TOKEN: u64 = 8;

/// What all requests of a traffic thread share.
pub(crate) struct Traffic {
    pub upstream: Upstream,
    pub memory: Rc<Memory>,
    pub control: ControlHandle,
    pub table: SharedTable,
    pub vocabulary: Vocabulary,
    pub clock: Clock,
}

/// How an attempt ended.
pub(crate) enum AttemptEnd {
    /// With an answer for the caller.
    Answer(Response<RelayBody>),
    /// With a back end's failure, which may be passed on or tried again.
    FailedAnswer(Response<RelayBody>),
    /// Without an answer.
    None(Outcome),
}

/// A request and what has become of it.
pub(crate) struct Exchange {
    pub traffic: Rc<Traffic>,
    pub head: RequestHead,
    pool: PoolName,
    request: ForwardedRequest,
    pub started: Timestamp,
    pub deadline: Timestamp,
    pub attempts: u32,
    unreachable: u32,
    excluded: Vec<InstanceId>,
    may_have_run: bool,
    pub status: u16,
    progress: Progress,
    is_over: bool,
}

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
            metrics::own_answer(answer.reason());
            events::answered_here(&id, &answer, Span::ZERO);
            answer.response()
        }
    }
}

async fn prepare(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    started: Timestamp,
    progress: Progress,
) -> Result<Exchange, (String, OwnAnswer)> {
    let (parts, body) = request.into_parts();
    let id = request_id(&parts, &traffic.vocabulary);
    let Some(table) = first_table(&traffic).await else {
        let answer = OwnAnswer::NotRun(Reason::NotReady, NOT_READY_RETRY);
        return Err((id, answer));
    };
    let head = RequestHead::read(&parts, &table, &traffic.vocabulary)
        .map_err(|answer| (id.clone(), answer))?;
    let deadline = started + head.remaining;
    let limit = table.limits().maximum_body_bytes;
    progress
        .memory
        .describe(&id, metrics::kind(&head.route), head.rank);
    let body = read_body(body, limit, &progress.memory)
        .await
        .map_err(|answer| (id, answer))?;
    let point = rand::random::<f64>();
    let pool = head.route.pool(point).cloned();
    let pool = pool.unwrap_or_else(|| PoolName::from(""));
    let headers = forwarded_headers(&parts.headers, &traffic.vocabulary);
    Ok(Exchange {
        traffic,
        head,
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
        excluded: Vec::new(),
        may_have_run: false,
        status: 0,
        progress,
        is_over: false,
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
            let lease = match self.ask().await {
                Ok(lease) => lease,
                Err(answer) => return self.conclude(fallback, answer),
            };
            let instance = lease.grant.instance.clone();
            self.excluded.push(instance.clone());
            let (next, end) = self.attempt(lease).await;
            let Some(exchange) = next else {
                return match end {
                    AttemptEnd::Answer(response) | AttemptEnd::FailedAnswer(response) => response,
                    AttemptEnd::None(_) => OwnAnswer::AnswerLost.response(),
                };
            };
            self = exchange;
            let outcome = match end {
                AttemptEnd::Answer(response) => return self.pass_on(response),
                AttemptEnd::FailedAnswer(response) => {
                    fallback = Some(response);
                    Outcome::Failed
                }
                AttemptEnd::None(outcome) => outcome,
            };
            events::attempt_failed(&self.head.id, self.attempts, instance.as_str(), outcome);
            if !self.may_try_again() {
                let answer = self.final_answer(outcome);
                return self.conclude(fallback, answer);
            }
        }
    }

    fn pass_on(mut self, response: Response<RelayBody>) -> Response<RelayBody> {
        self.status = response.status().as_u16();
        self.end("whole");
        response
    }

    fn conclude(
        mut self,
        fallback: Option<Response<RelayBody>>,
        answer: OwnAnswer,
    ) -> Response<RelayBody> {
        if let Some(response) = fallback {
            return self.pass_on(response);
        }
        self.is_over = true;
        let elapsed = self.elapsed();
        events::answered_here(&self.head.id, &answer, elapsed);
        metrics::own_answer(answer.reason());
        metrics::request(&self.head.route, self.head.rank, answer.reason(), elapsed);
        answer.response()
    }

    /// Notes how the request ended.
    pub fn end(&mut self, how: &'static str) {
        if std::mem::replace(&mut self.is_over, true) {
            return;
        }
        let elapsed = self.elapsed();
        events::ended(&self.head.id, how, self.status, self.attempts, elapsed);
        metrics::request(&self.head.route, self.head.rank, how, elapsed);
    }

    fn elapsed(&self) -> Span {
        self.traffic.clock.now().since(self.started)
    }

    fn final_answer(&self, outcome: Outcome) -> OwnAnswer {
        if self.may_have_run {
            return if self.traffic.clock.now() >= self.deadline {
                OwnAnswer::TimedOut
            } else {
                OwnAnswer::AnswerLost
            };
        }
        let reason = match outcome {
            Outcome::Shed => Reason::QueueFull,
            _ => Reason::NoBackEnd,
        };
        OwnAnswer::NotRun(reason, NOT_READY_RETRY)
    }

    /// Whether another back end may be tried.
    pub fn may_try_again(&self) -> bool {
        let may_run = !self.may_have_run || self.head.route.may_repeat();
        may_run
            && self.attempts < self.head.route.maximum_attempts
            && self.unreachable < MAXIMUM_UNREACHABLE
            && self.traffic.clock.now() < self.deadline
    }

    /// Asks for a place.
    pub async fn ask(&mut self) -> Result<Lease, OwnAnswer> {
        let now = self.traffic.clock.now();
        let demand = Demand {
            pool: self.pool.clone(),
            rank: self.head.route.rank,
            parts: self.head.parts.clone(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: self.head.output_tokens,
            bytes: self.transferred_bytes(),
            target: self.head.route.target,
            pause_target: self.head.route.pause_target,
            remaining: now.until(self.deadline),
            allowed_regions: self.head.allowed_regions.clone(),
            excluded: self.excluded.clone(),
            may_repeat: self.head.route.may_repeat(),
            is_repeat: self.attempts > 0,
        };
        let is_first = self.attempts == 0 && self.unreachable == 0;
        let decision = self.traffic.control.ask(demand, is_first).await;
        match decision {
            Some(Decision::Grant(grant)) => {
                let head = &self.head;
                let attempt = self.attempts + 1;
                events::granted(&head.id, &head.route.name, head.rank, attempt, &grant);
                let kept = head.prompt_tokens.saturating_sub(grant.uncached_tokens);
                metrics::prompt(kept, grant.uncached_tokens);
                let control = self.traffic.control.clone();
                Ok(Lease::new(grant, control, self.traffic.clock.now()))
            }
            Some(Decision::Refuse(reason, retry_after)) => {
                events::not_granted(&self.head.id, reason, retry_after);
                Err(self.refusal(reason, retry_after))
            }
            None => Err(self.refusal(Reason::Draining, NOT_READY_RETRY)),
        }
    }

    /// Bytes of the request, and about as many as its answer takes.
    fn transferred_bytes(&self) -> u32 {
        let answer = u64::from(self.head.output_tokens) * ASSUMED_BYTES_PER_TOKEN;
        let total = self.request.body.len() as u64 + answer;
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    fn refusal(&self, reason: Reason, retry_after: Span) -> OwnAnswer {
        if self.may_have_run {
            OwnAnswer::AnswerLost
        } else {
            OwnAnswer::NotRun(reason, retry_after)
        }
    }

    /// Sends the request to a back end and waits for the head of its answer.
    pub async fn send(
        &mut self,
        lease: &Lease,
        last_event_id: Option<u64>,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        let told = Told {
            grant: &lease.grant,
            left: self.traffic.clock.now().until(self.deadline),
            urgency: self.head.urgency,
            tenant: self.head.tenant.as_deref(),
            last_event_id,
        };
        let request = self.request.attempt(&self.traffic.vocabulary, &told);
        self.progress.note_sent();
        let may_repeat = self.head.route.may_repeat();
        let limit = self.head_deadline(lease);
        let timeout = async {
            smol::Timer::after(duration(limit)).await;
            None
        };
        let send = self
            .traffic
            .upstream
            .send(&lease.grant, request, may_repeat);
        let result = async { Some(send.await) }.or(timeout).await;
        self.judge(result)
    }

    fn judge(
        &mut self,
        result: Option<Result<(Response<Incoming>, Connection), SendError>>,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        match result {
            Some(Err(SendError::Unreachable(_) | SendError::NoConnection | SendError::Backlog)) => {
                self.unreachable += 1;
                Err(Outcome::Unreachable)
            }
            Some(Err(SendError::Broken(_))) => {
                self.attempts += 1;
                self.may_have_run = true;
                Err(Outcome::Broken)
            }
            None => {
                self.attempts += 1;
                self.may_have_run = true;
                Err(Outcome::Silent)
            }
            Some(Ok((response, connection))) => {
                self.attempts += 1;
                self.judge_head(response, connection)
            }
        }
    }

    fn judge_head(
        &mut self,
        response: Response<Incoming>,
        connection: Connection,
    ) -> Result<(Response<Incoming>, Connection), Outcome> {
        let vocabulary = &self.traffic.vocabulary;
        let id = response.headers().get(&vocabulary.request_id);
        let is_ours = id.is_some_and(|id| id.as_bytes() == self.head.id.as_bytes());
        if response.status() == StatusCode::MISDIRECTED_REQUEST {
            return Err(Outcome::Replaced);
        }
        if response.headers().contains_key(&vocabulary.not_run) && id.is_none_or(|_| is_ours) {
            return Err(Outcome::Shed);
        }
        self.may_have_run = true;
        if !is_ours || response.headers().contains_key(header::CONTENT_ENCODING) {
            return Err(Outcome::Broken);
        }
        Ok((response, connection))
    }

    /// Longest wait for the head: until the request's time is over, or shorter where
    /// another back end may be asked.
    fn head_deadline(&self, lease: &Lease) -> Span {
        let now = self.traffic.clock.now();
        let left = now.until(self.deadline);
        let route = &self.head.route;
        let is_last = self.attempts + 1 >= route.maximum_attempts;
        if !route.may_repeat() || is_last {
            return left;
        }
        let patience = match route.kind {
            RouteKind::Streaming => self.first_event_patience(lease.grant.candidate.first_event),
            _ => Span(route.target.0 * ATTEMPT_TARGETS),
        };
        left.min(patience)
    }

    /// Longest wait for the first event of a stream that may be asked for elsewhere. Where
    /// many are late the cause is load: asked for again, each prompt would be read twice.
    pub fn first_event_patience(&self, expected: Span) -> Span {
        Span(self.head.route.target.0 * FIRST_EVENT_TARGETS + expected.0 * EXPECTED_TIMES)
    }

    /// One attempt at a back end. The exchange comes back unless a stream holds it.
    async fn attempt(mut self, lease: Lease) -> (Option<Self>, AttemptEnd) {
        match self.send(&lease, None).await {
            Err(outcome) => {
                metrics::attempt(outcome.as_str());
                lease.end(outcome);
                (Some(self), AttemptEnd::None(outcome))
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
            smol::Timer::after(duration(limit)).await;
            Err(Outcome::Silent)
        };
        let outcome = match read_answer(body, &self.progress.memory).or(timeout).await {
            Err(outcome) => outcome,
            Ok(bytes) => {
                self.traffic.upstream.keep(connection, &parts.headers);
                let elapsed = self.elapsed();
                metrics::first_event(&self.head.route, self.head.rank, elapsed);
                lease.first_event();
                return self.judge_answer(lease, &parts, bytes);
            }
        };
        metrics::attempt(outcome.as_str());
        lease.end(outcome);
        AttemptEnd::None(outcome)
    }

    fn judge_answer(
        &self,
        lease: Lease,
        parts: &http::response::Parts,
        bytes: Bytes,
    ) -> AttemptEnd {
        let response = answer(parts, RelayBody::from(bytes));
        let is_failure = parts.status.is_server_error();
        let outcome = if is_failure {
            Outcome::Failed
        } else {
            Outcome::Completed
        };
        metrics::attempt(outcome.as_str());
        lease.end(outcome);
        if is_failure && self.head.route.may_repeat() {
            AttemptEnd::FailedAnswer(response)
        } else {
            AttemptEnd::Answer(response)
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.end(self.progress.memory.end_of_dropped());
    }
}
