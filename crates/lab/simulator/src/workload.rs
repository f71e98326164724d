//! Simulated callers: arrivals, load balancing, timeouts and retries.

use crate::entry_logic::{EntryLogic, Rule};
use crate::event::Event;
use crate::requests::{RequestStatus, ServiceCall, SimRequest};
use crate::scenario::{CallKey, ClassLoad, RateStep, TokenSpread};
use crate::world::World;
use eiderferry_admission::{Outcome, PrefixMark};
use eiderferry_node::{AttemptEnd, NotRepeatable, SharedParts, Submission};
use eiderferry_once::KeyName;
use eiderferry_types::{Reason, Refusal, RequestDigest, RequestId, Span, Timestamp, Verdict};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use xxhash_rust::xxh3::xxh3_64;

/// Time after which the load balancer detects an unhealthy or draining node.
const HEALTH_CHECK_LAG: Span = Span::from_milliseconds(1_000);
/// Delay before a caller tries another node after a refused connection or request.
const NEXT_NODE_DELAY: Span = Span::from_milliseconds(2);
/// Delay between tries while no node is healthy.
const NO_NODE_DELAY: Span = Span::from_milliseconds(200);
/// Maximum number of times that a request is sent.
const MAX_SENDS: u32 = 6;
/// Timeout of callers as a multiple of the first-token target.
const CALLER_TIMEOUT_FACTOR: u64 = 4;
/// Minimum timeout of callers.
const MIN_CALLER_TIMEOUT: Span = Span::from_milliseconds(10_000);
/// Maximum delay before a caller retries a service call.
const MAX_RETRY_DELAY: Span = Span::from_milliseconds(2_000);
/// Interval in seconds between two checks whether a rate has become positive.
const IDLE_CHECK_SECONDS: f64 = 0.5;
/// Rate in requests per second at or below which no requests arrive.
const MIN_RATE: f64 = 1e-6;

fn rate_at(steps: &[RateStep], seconds: f64) -> f64 {
    steps
        .iter()
        .rev()
        .find(|step| step.from <= seconds)
        .map_or(0.0, |step| step.per_second)
}

fn sample_interval(rng: &mut ChaCha8Rng, rate: f64) -> Span {
    if rate <= MIN_RATE {
        return Span::from_seconds(IDLE_CHECK_SECONDS);
    }
    let interval = Exp::new(rate).map_or(IDLE_CHECK_SECONDS, |intervals| intervals.sample(rng));
    Span::from_seconds(interval)
}

fn sample_tokens(rng: &mut ChaCha8Rng, spread: &TokenSpread) -> u32 {
    let mu = spread.mean.max(1.0).ln() - spread.sigma * spread.sigma / 2.0;
    let sampled =
        LogNormal::new(mu, spread.sigma).map_or(spread.mean, |lengths| lengths.sample(rng));
    (sampled.round() as u32).clamp(1, spread.maximum)
}

fn sample_tenant(rng: &mut ChaCha8Rng, plan: &ClassLoad) -> Option<String> {
    let total: f64 = plan.tenants.values().sum();
    let mut remaining_weight = rng.random::<f64>() * total;
    for (name, weight) in &plan.tenants {
        remaining_weight -= weight;
        if remaining_weight <= 0.0 {
            return Some(name.clone());
        }
    }
    plan.tenants.keys().next_back().cloned()
}

fn sample_prefixes(rng: &mut ChaCha8Rng, plan: &ClassLoad, tenant: &str) -> Vec<PrefixMark> {
    let Some(shared) = plan.shared_prefixes else {
        return Vec::new();
    };
    let variant = rng.random_range(0..shared.count.max(1));
    let text = format!("{}/{tenant}/{variant}", plan.class);
    let hash = xxh3_64(text.as_bytes()) as u32;
    vec![PrefixMark {
        hash,
        tokens: shared.tokens,
    }]
}

impl World {
    pub fn schedule_arrival(&mut self, load: usize) {
        let rate = rate_at(&self.scenario.load[load].rate, self.now.0 as f64 / 1e6);
        let delay = sample_interval(&mut self.load_rngs[load], rate * self.burst_factor);
        self.schedule(delay, Event::Arrival { load });
    }

    pub fn schedule_service_arrival(&mut self, load: usize) {
        let rate = self.scenario.service_calls[load].per_second;
        let rng_index = self.scenario.load.len() + load;
        let delay = sample_interval(&mut self.load_rngs[rng_index], rate);
        self.schedule(delay, Event::ServiceArrival { load });
    }

    /// Handles the arrival of a model request.
    pub fn handle_arrival(&mut self, load: usize) {
        self.schedule_arrival(load);
        let plan = self.scenario.load[load].clone();
        if rate_at(&plan.rate, self.now.0 as f64 / 1e6) <= MIN_RATE {
            return;
        }
        let Some(request) = self.sample_request(load, &plan) else {
            return;
        };
        let caller_timeout = Span(request.first_token_target.0 * CALLER_TIMEOUT_FACTOR);
        let caller_timeout = caller_timeout.max(MIN_CALLER_TIMEOUT);
        let index = self.add_request(request);
        self.schedule(caller_timeout, Event::FirstTokenTimeout { request: index });
        self.send_request(index);
    }

    fn add_request(&mut self, request: SimRequest) -> usize {
        let index = self.requests.len();
        self.metrics.open_requests.insert(index);
        self.requests.push(request);
        index
    }

    fn sample_request(&mut self, load: usize, plan: &ClassLoad) -> Option<SimRequest> {
        let class = self.configuration.class_named(&plan.class)?.clone();
        let pool = self.configuration.pool_named(&plan.pool)?.id;
        let rng = &mut self.load_rngs[load];
        let name = sample_tenant(rng, plan)?;
        let tenant = self
            .configuration
            .tenants
            .iter()
            .find(|known| known.name == name)?
            .id;
        let prompt_tokens = sample_tokens(rng, &plan.prompt);
        let response_tokens = sample_tokens(rng, &plan.answer);
        let prefixes = sample_prefixes(rng, plan, &name);
        let shared = prefixes.last().map_or(0, |mark| mark.tokens);
        let mut request = SimRequest::new(self.now, &class, tenant, pool);
        request.prompt_tokens = prompt_tokens.max(shared);
        request.prefixes = prefixes;
        request.response_tokens = response_tokens;
        request.zone = self.configuration.zones[0].id;
        Some(request)
    }

    /// Handles the arrival of a service call.
    pub fn handle_service_arrival(&mut self, load: usize) {
        self.schedule_service_arrival(load);
        let plan = self.scenario.service_calls[load].clone();
        let Some(class) = self.configuration.class_named(&plan.class).cloned() else {
            return;
        };
        let Some(pool) = self
            .configuration
            .pool_named(&plan.pool)
            .map(|pool| pool.id)
        else {
            return;
        };
        let tenants = &self.configuration.tenants;
        let Some(tenant) = tenants.iter().find(|known| known.name == plan.tenant) else {
            return;
        };
        let mut request = SimRequest::new(self.now, &class, tenant.id, pool);
        request.zone = self.configuration.zones[0].id;
        request.service = Some(ServiceCall {
            key: plan.key,
            key_name: None,
            remaining_retries: plan.tries,
            service_time: Span::from_milliseconds(plan.service_ms),
        });
        let index = self.add_request(request);
        self.send_request(index);
    }

    /// Chooses a random node among those that the load balancer considers healthy.
    fn choose_node(&mut self) -> Option<usize> {
        let is_noticed = |since: Option<Timestamp>| {
            since.is_some_and(|since| self.now.since(since) >= HEALTH_CHECK_LAG)
        };
        let healthy: Vec<usize> = (0..self.nodes.len())
            .filter(|index| {
                let node = &self.nodes[*index];
                !is_noticed(node.unhealthy_since) && !is_noticed(node.draining_since)
            })
            .collect();
        if healthy.is_empty() {
            return None;
        }
        Some(healthy[self.rng.random_range(0..healthy.len())])
    }

    /// Sends a caller's request to a node, or schedules another try.
    pub fn send_request(&mut self, request: usize) {
        if self.requests[request].status != RequestStatus::Open {
            return;
        }
        self.requests[request].send_count += 1;
        if self.requests[request].send_count > MAX_SENDS {
            self.end_request(request, RequestStatus::Lost);
            return;
        }
        let Some(node) = self.choose_node() else {
            self.schedule(NO_NODE_DELAY, Event::RetryAtNextNode { request });
            return;
        };
        if self.nodes[node].logic.is_none() {
            self.schedule(NEXT_NODE_DELAY, Event::RetryAtNextNode { request });
            return;
        }
        let run = self.nodes[node].run;
        self.receive_request(request, node, run);
    }

    /// Handles a request that reaches a node's process.
    pub fn receive_request(&mut self, request: usize, node: usize, run: u32) {
        if self.requests[request].status != RequestStatus::Open {
            return;
        }
        if !self.is_running(node, run) {
            // The process ended while the connection was still in its accept queue.
            if !self.schedule_caller_retry(request, None) {
                self.end_request(request, RequestStatus::Lost);
            }
            return;
        }
        if self.is_paused(node) {
            self.defer_event(node, Event::ReceiveRequest { request, node, run });
            return;
        }
        if self.oracle.is_some() {
            self.requests[request].node = Some(node);
            self.requests[request].node_run = run;
            self.oracle_submit(request);
            return;
        }
        self.submit_to_node(request, node, run);
    }

    fn submit_to_node(&mut self, request: usize, node: usize, run: u32) {
        let now = self.now;
        let not_repeatable = self.retry_protection(request, node);
        let state = &mut self.requests[request];
        state.node = Some(node);
        state.node_run = run;
        state.sent_at = now;
        state.waiting_since = now;
        state.at_node = true;
        state.executions_since_send = 0;
        state.zone = self.nodes[node].zone;
        let submission = Submission {
            digest: RequestDigest(request as u64),
            class: state.class,
            tenant: state.tenant,
            pool: state.pool,
            prompt_tokens: state.prompt_tokens,
            prefixes: state.prefixes.clone(),
            shared_parts: SharedParts::default(),
            first_token_due: now + state.first_token_target,
            not_repeatable,
        };
        let Some(logic) = &mut self.nodes[node].logic else {
            return;
        };
        let id = logic.submit(now, submission);
        self.requests[request].id = Some(id);
        self.index_by_id.insert(id, request);
        self.record_trace("submit", &[request as u64, node as u64]);
        self.process_outputs(node);
    }

    /// Returns the protection of a request against repeated execution. A ticket is issued on
    /// first use.
    fn retry_protection(&mut self, request: usize, node: usize) -> Option<NotRepeatable> {
        let now = self.now;
        if self.is_disabled(Rule::NotRepeatable) {
            return None;
        }
        let call = self.requests[request].service.as_mut()?;
        match call.key {
            CallKey::Repeatable => None,
            CallKey::None => Some(NotRepeatable::WithoutKey),
            CallKey::Caller => {
                let name = KeyName::Caller(0, request as u64);
                Some(NotRepeatable::WithKey(name))
            }
            CallKey::Ticket => {
                if call.key_name.is_none() {
                    let issuer = self.nodes[node]
                        .logic
                        .as_mut()
                        .and_then(EntryLogic::node_mut);
                    call.key_name = issuer.and_then(|issuer| issuer.issue_ticket(now).ok());
                }
                let protection = match call.key_name.clone() {
                    Some(name) => NotRepeatable::WithKey(name),
                    None => NotRepeatable::WithoutKey,
                };
                Some(protection)
            }
        }
    }

    /// Handles a refusal by a node.
    pub fn handle_refusal(&mut self, id: RequestId, refusal: Refusal) {
        let Some(&request) = self.index_by_id.get(&id) else {
            return;
        };
        let state = &self.requests[request];
        if state.status != RequestStatus::Open || state.id != Some(id) {
            return;
        }
        let numbers = [
            request as u64,
            refusal.verdict as u64,
            refusal.reason as u64,
        ];
        self.record_trace("reject", &numbers);
        self.check_refusal(request, &refusal);
        if self.schedule_caller_retry(request, Some(&refusal)) {
            return;
        }
        self.metrics
            .record_refusal(&self.requests[request], refusal.reason);
        self.end_request(request, RequestStatus::Refused);
    }

    fn check_refusal(&mut self, request: usize, refusal: &Refusal) {
        let state = &self.requests[request];
        self.checker
            .check_refusal(self.now, request, state, refusal);
        let disturbed = self.is_zone_disturbed(state.zone);
        let is_overload = match refusal.reason {
            Reason::DeadlineUnreachable
            | Reason::DeadlinePassed
            | Reason::QueueFull
            | Reason::Displaced => true,
            // Messages to the holder are lost only while the zone is disturbed.
            Reason::HolderUnreachable => !disturbed,
            _ => false,
        };
        if is_overload && !self.is_baseline_policy() {
            let tier = self.metrics.tier(state.class);
            let state = &self.requests[request];
            self.checker
                .check_shed(self.now, request, state, tier, disturbed, refusal.reason);
        }
    }

    /// Schedules a retry if the caller sends its request again, and returns whether it does: to
    /// another node if this one is draining or not ready, and for a protected service call as
    /// long as its outcome is unknown.
    pub fn schedule_caller_retry(&mut self, request: usize, refusal: Option<&Refusal>) -> bool {
        let state = &mut self.requests[request];
        state.at_node = false;
        let retry_elsewhere = refusal.is_some_and(|refusal| {
            matches!(refusal.reason, Reason::Draining | Reason::NotReady)
                && refusal.verdict == Verdict::NotRun
        });
        if retry_elsewhere && state.progress.tokens() == 0 {
            state.attempt = None;
            self.schedule(NEXT_NODE_DELAY, Event::RetryAtNextNode { request });
            return true;
        }
        let Some(call) = &mut state.service else {
            return false;
        };
        let may_resend = match call.key {
            CallKey::Repeatable | CallKey::Ticket | CallKey::Caller => true,
            CallKey::None => refusal.is_some_and(|refusal| refusal.verdict == Verdict::NotRun),
        };
        let is_final = refusal.is_some_and(|refusal| refusal.reason == Reason::KeyFinished);
        if !may_resend || is_final || call.remaining_retries == 0 {
            return false;
        }
        call.remaining_retries -= 1;
        state.attempt = None;
        let delay = refusal
            .and_then(|refusal| refusal.retry_after)
            .unwrap_or(NEXT_NODE_DELAY);
        self.schedule(delay.min(MAX_RETRY_DELAY), Event::ServiceRetry { request });
        true
    }

    /// Ends a request whose caller timed out waiting for the first token.
    pub fn handle_first_token_timeout(&mut self, request: usize) {
        let state = &self.requests[request];
        if state.status != RequestStatus::Open || state.first_token.is_some() {
            return;
        }
        let (Some(node), Some(id)) = (state.node, state.id) else {
            self.end_request(request, RequestStatus::HungUp);
            return;
        };
        let now = self.now;
        self.cancel_job(request);
        let attempt = self.requests[request].attempt.take();
        self.end_request(request, RequestStatus::HungUp);
        if let Some(attempt) = attempt {
            let observation = attempt.observation(Outcome::Cancelled);
            self.report_attempt_end(
                request,
                attempt.number,
                AttemptEnd::CallerDisconnected(observation),
            );
            return;
        }
        if self.oracle.is_some() {
            self.oracle_caller_disconnected(request);
            return;
        }
        if let Some(logic) = &mut self.nodes[node].logic {
            logic.caller_disconnected(now, id);
        }
        self.process_outputs(node);
    }

    /// Records the outcome of a request.
    pub fn end_request(&mut self, request: usize, status: RequestStatus) {
        if self.requests[request].status != RequestStatus::Open {
            return;
        }
        self.requests[request].status = status;
        self.metrics.open_requests.remove(&request);
        self.record_trace("end", &[request as u64, status as u64]);
        let now = self.now;
        self.metrics.record_end(now, &self.requests[request]);
        if status == RequestStatus::Completed {
            self.checker
                .check_completion(now, request, &self.requests[request]);
        }
    }
}
