//! Runs a chat completion: follows the control thread's decisions and reads the engines' streams.

use crate::Clock;
use crate::control::{Command, ControlHandle, RequestEvent};
use crate::upstream::{Upstream, UpstreamError, UpstreamResponse, with_timeout};
use eiderferry_admission::{Observation, Outcome};
use eiderferry_node::{AttemptEnd, Dispatch, ResponseProgress, Submission, TokenVerdict};
use eiderferry_openai::{Chunk, EngineRequest, Event, EventParser, Resume};
use eiderferry_types::{Reason, Refusal, RequestId, Span, Timestamp, Verdict};
use futures_lite::AsyncReadExt;
use serde_json::{Map, Value};
use std::collections::VecDeque;
use std::time::Duration;
use trillium_client::ResponseBody;
use trillium_http::Method;

/// Longest wait for the response's headers, and then for each read before the first token. The
/// attempt fails after it.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for each read after the first token. The attempt fails after it.
const NEXT_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Most bytes read from an engine at once; also the most of a rejection's body that is read.
const READ_BUFFER_BYTES: usize = 8 * 1024;
/// Number of tokens after which a stream's time per token is compared with the class's target.
const SPEED_CHECK_TOKENS: u32 = 16;

/// Event returned by [`Session::next`].
pub(crate) enum SessionEvent {
    /// The next chunk of the response.
    Chunk(Chunk),
    /// The response is complete.
    Finished,
}

/// Reason for a session to end before the response was complete.
pub(crate) enum SessionError {
    /// The request was refused or failed; the verdict says whether it may have run.
    Refused(Refusal),
    /// The engine rejected the request as invalid, with this status and body.
    EngineRejected { status: u16, body: String },
}

/// Response being streamed by an engine.
struct EngineStream {
    dispatch: Dispatch,
    body: ResponseBody<'static>,
    parser: EventParser,
    parsed_events: VecDeque<Event>,
    started: Timestamp,
    first_token: Option<Timestamp>,
    last_token: Timestamp,
    tokens: u32,
    has_finish_reason: bool,
}

/// Parameters of a chat completion that are needed to send it to engines.
pub(crate) struct ChatCall {
    pub body: Map<String, Value>,
    pub priority: u8,
    pub per_token_target: Span,
}

/// One request from its submission to its end. Dropping it before the end reports to the control
/// thread that the caller disconnected, and closes the engine's stream, which cancels the work
/// there.
pub(crate) struct Session {
    control: ControlHandle,
    clock: Clock,
    upstream: Upstream,
    call: ChatCall,
    control_events: async_channel::Receiver<RequestEvent>,
    request_id: Option<RequestId>,
    stream: Option<EngineStream>,
    text: String,
    progress: ResponseProgress,
    /// Whether the end of the request is known to the control thread, or that thread has stopped.
    is_closed: bool,
    /// Whether a slow stream has been reported; done at most once per request.
    reported_slow: bool,
}

/// Capacity of the event channel from the control thread to a session.
const EVENT_QUEUE_CAPACITY: usize = 8;

impl Session {
    /// Submits a request to the control thread.
    pub fn submit(
        control: &ControlHandle,
        clock: Clock,
        upstream: &Upstream,
        submission: Submission,
        call: ChatCall,
    ) -> Self {
        let (sender, control_events) = async_channel::bounded(EVENT_QUEUE_CAPACITY);
        // If the control thread has stopped, the event channel is closed, which `next` reports.
        let _ = control.send(Command::Submit {
            submission,
            events: sender,
        });
        Self {
            control: control.clone(),
            clock,
            upstream: upstream.clone(),
            call,
            control_events,
            request_id: None,
            stream: None,
            text: String::new(),
            progress: ResponseProgress::default(),
            is_closed: false,
            reported_slow: false,
        }
    }

    /// The request's id, once the control thread has assigned it.
    pub fn request_id(&self) -> Option<RequestId> {
        self.request_id
    }

    /// Number of response tokens returned so far.
    pub fn tokens(&self) -> u32 {
        self.progress.tokens()
    }

    /// Response text returned so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Waits for the next event of the response; fails over to other engines as the control thread
    /// decides.
    pub async fn next(&mut self) -> Result<SessionEvent, SessionError> {
        loop {
            if self.stream.is_none() {
                self.wait_for_stream().await?;
                continue;
            }
            match self.read_event().await {
                Ok(Some(chunk)) => {
                    self.text.push_str(&chunk.text);
                    return Ok(SessionEvent::Chunk(chunk));
                }
                Ok(None) => {
                    self.report_completed();
                    return Ok(SessionEvent::Finished);
                }
                Err(error) => self.report_broken_stream(&error).await,
            }
        }
    }

    async fn wait_for_stream(&mut self) -> Result<(), SessionError> {
        match self.control_events.recv().await {
            Ok(RequestEvent::Accepted(request)) => {
                self.request_id = Some(request);
                Ok(())
            }
            Ok(RequestEvent::Rejected(refusal)) => {
                self.is_closed = true;
                Err(SessionError::Refused(refusal))
            }
            Ok(RequestEvent::Dispatch(dispatch)) => self.dispatch(dispatch).await,
            Err(_) => {
                self.is_closed = true;
                let verdict = if self.tokens() > 0 {
                    Verdict::MayHaveRun
                } else {
                    Verdict::NotRun
                };
                Err(SessionError::Refused(Refusal {
                    verdict,
                    reason: Reason::Draining,
                    retry_after: Some(Span::from_milliseconds(500)),
                }))
            }
        }
    }

    async fn dispatch(&mut self, dispatch: Dispatch) -> Result<(), SessionError> {
        let started = self.clock.now();
        if started > dispatch.dispatch_by {
            log::warn!(request:% = dispatch.request; "a dispatch was received after its deadline");
            self.report_failure(&dispatch, Verdict::NotRun, failed_observation());
            return Ok(());
        }
        let request_id = format!("{}/{}", dispatch.request, dispatch.attempt);
        self.progress.begin_attempt(dispatch.attempt);
        let resume = (self.tokens() > 0).then(|| Resume {
            tokens: self.tokens(),
            text: self.text.clone(),
        });
        let engine_request = EngineRequest {
            request_id: request_id.clone(),
            priority: self.call.priority,
            resume,
        };
        let headers = [
            ("content-type".to_owned(), "application/json".to_owned()),
            ("x-request-id".to_owned(), request_id.clone()),
        ];
        let body = engine_request.body(&self.call.body);
        let path = "/v1/chat/completions";
        let response = self
            .upstream
            .call(
                Method::Post,
                dispatch.address,
                path,
                &headers,
                body,
                FIRST_TOKEN_TIMEOUT,
            )
            .await;
        match response {
            Ok(response) => {
                self.handle_response(dispatch, response, &request_id, started)
                    .await
            }
            Err(error) => {
                log::warn!(
                    request:% = dispatch.request, back_end:% = dispatch.back_end;
                    "call to an engine failed: {error}"
                );
                let has_crashed = self.upstream.has_crashed(dispatch.address, &error).await;
                let end = AttemptEnd::Failed {
                    verdict: error.verdict(),
                    observation: failed_observation(),
                    has_crashed,
                };
                self.report_attempt_end(&dispatch, end);
                Ok(())
            }
        }
    }

    async fn handle_response(
        &mut self,
        dispatch: Dispatch,
        response: UpstreamResponse,
        request_id: &str,
        started: Timestamp,
    ) -> Result<(), SessionError> {
        let is_mismatched = response
            .request_id
            .as_deref()
            .is_some_and(|id| id != request_id);
        if is_mismatched {
            self.report_failure(&dispatch, Verdict::MayHaveRun, failed_observation());
            return Ok(());
        }
        match response.status {
            200 => {
                self.stream = Some(EngineStream {
                    dispatch,
                    body: response.body,
                    parser: EventParser::default(),
                    parsed_events: VecDeque::new(),
                    started,
                    first_token: None,
                    last_token: started,
                    tokens: 0,
                    has_finish_reason: false,
                });
                Ok(())
            }
            status @ 400..=499 if status != 429 => {
                self.is_closed = true;
                self.report_attempt_end(
                    &dispatch,
                    AttemptEnd::CallerDisconnected(Observation::UNUSED),
                );
                let body = response
                    .body
                    .with_max_len(READ_BUFFER_BYTES as u64)
                    .read_string()
                    .await;
                let body = body.unwrap_or_default();
                Err(SessionError::EngineRejected { status, body })
            }
            status => {
                let verdict = UpstreamError::Status(status).verdict();
                self.report_failure(&dispatch, verdict, failed_observation());
                Ok(())
            }
        }
    }

    /// Returns the next chunk; `None` at the event that ends a complete response.
    async fn read_event(&mut self) -> Result<Option<Chunk>, UpstreamError> {
        let progress = &mut self.progress;
        let Some(stream) = &mut self.stream else {
            return Err(UpstreamError::Timeout);
        };
        loop {
            match stream.parsed_events.pop_front() {
                Some(Event::Done) if stream.has_finish_reason => return Ok(None),
                Some(Event::Done) => {
                    return Err(UpstreamError::ConnectionBroken(
                        "the end event came before a finish reason".into(),
                    ));
                }
                Some(Event::Data(data)) => {
                    if let Some(chunk) = stream.parse_chunk(&data, progress)? {
                        stream.record_token(self.clock.now());
                        self.check_speed();
                        return Ok(Some(chunk));
                    }
                }
                None => stream.read_more().await?,
            }
        }
    }

    fn check_speed(&mut self) {
        let Some(stream) = &self.stream else {
            return;
        };
        if self.reported_slow || stream.tokens != SPEED_CHECK_TOKENS {
            return;
        }
        let Some(per_token) = stream.per_token() else {
            return;
        };
        if per_token > self.call.per_token_target {
            self.reported_slow = true;
            let request = stream.dispatch.request;
            let _ = self
                .control
                .send(Command::SlowStream { request, per_token });
        }
    }

    fn report_completed(&mut self) {
        self.is_closed = true;
        if let Some(stream) = self.stream.take() {
            let observation = stream.observation(Outcome::Completed);
            self.report_attempt_end(&stream.dispatch, AttemptEnd::Completed(observation));
        }
    }

    async fn report_broken_stream(&mut self, error: &UpstreamError) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        log::warn!(
            request:% = stream.dispatch.request, back_end:% = stream.dispatch.back_end;
            "response stream failed after {} tokens: {error}", stream.tokens
        );
        let observation = stream.observation(Outcome::Failed);
        let has_crashed = self
            .upstream
            .has_crashed(stream.dispatch.address, error)
            .await;
        let end = AttemptEnd::Failed {
            verdict: Verdict::MayHaveRun,
            observation,
            has_crashed,
        };
        self.report_attempt_end(&stream.dispatch, end);
    }

    /// Reports a failed attempt at a back end that has not crashed.
    fn report_failure(&self, dispatch: &Dispatch, verdict: Verdict, observation: Observation) {
        self.report_attempt_end(
            dispatch,
            AttemptEnd::Failed {
                verdict,
                observation,
                has_crashed: false,
            },
        );
    }

    fn report_attempt_end(&self, dispatch: &Dispatch, end: AttemptEnd) {
        let command = Command::AttemptEnded {
            request: dispatch.request,
            attempt: dispatch.attempt,
            end,
        };
        let _ = self.control.send(command);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if self.is_closed {
            return;
        }
        if let Some(stream) = self.stream.take() {
            let observation = stream.observation(Outcome::Cancelled);
            self.report_attempt_end(
                &stream.dispatch,
                AttemptEnd::CallerDisconnected(observation),
            );
        } else if let Some(request) = self.request_id {
            let _ = self.control.send(Command::CallerDisconnected { request });
        } else if let Ok(RequestEvent::Accepted(request)) = self.control_events.try_recv() {
            let _ = self.control.send(Command::CallerDisconnected { request });
        }
    }
}

impl EngineStream {
    async fn read_more(&mut self) -> Result<(), UpstreamError> {
        let timeout = match self.first_token {
            None => FIRST_TOKEN_TIMEOUT,
            Some(_) => NEXT_TOKEN_TIMEOUT,
        };
        let mut buffer = [0; READ_BUFFER_BYTES];
        let body = &mut self.body;
        let read = async {
            body.read(&mut buffer)
                .await
                .map_err(|error| UpstreamError::ConnectionBroken(error.to_string()))
        };
        let count = with_timeout(timeout, read).await?;
        if count == 0 {
            return Err(UpstreamError::ConnectionBroken(
                "the stream ended early".into(),
            ));
        }
        let events = self
            .parser
            .push(&buffer[..count])
            .map_err(|error| UpstreamError::MalformedResponse(error.to_string()))?;
        self.parsed_events.extend(events);
        Ok(())
    }

    /// Parses a chunk; `None` if it contains no text or belongs to an abandoned attempt. A token
    /// out of order is an error, since the rest of the stream is unreliable.
    fn parse_chunk(
        &mut self,
        data: &str,
        progress: &mut ResponseProgress,
    ) -> Result<Option<Chunk>, UpstreamError> {
        let chunk = Chunk::parse(data)
            .map_err(|error| UpstreamError::MalformedResponse(error.to_string()))?;
        if chunk.finish_reason.is_some() {
            self.has_finish_reason = true;
        }
        if chunk.text.is_empty() {
            return Ok(None);
        }
        match progress.accept(self.dispatch.attempt, chunk.token_index) {
            TokenVerdict::Forward => {}
            TokenVerdict::Stale => return Ok(None),
            TokenVerdict::OutOfOrder { expected } => {
                let received = chunk.token_index.unwrap_or_default();
                let message = format!("received token {received}, expected token {expected}");
                return Err(UpstreamError::MalformedResponse(message));
            }
        }
        Ok(Some(chunk))
    }

    fn record_token(&mut self, now: Timestamp) {
        self.first_token.get_or_insert(now);
        self.last_token = now;
        self.tokens += 1;
    }

    /// Mean time between tokens; `None` before the second token.
    fn per_token(&self) -> Option<Span> {
        let first = self.first_token?;
        let intervals = u64::from(self.tokens.checked_sub(1).filter(|count| *count > 0)?);
        Some(Span(self.last_token.since(first).0 / intervals))
    }

    fn observation(&self, outcome: Outcome) -> Observation {
        Observation {
            outcome,
            tokens: self.tokens,
            first_token: self.first_token.map(|first| first.since(self.started)),
            per_token: self.per_token(),
        }
    }
}

fn failed_observation() -> Observation {
    Observation {
        outcome: Outcome::Failed,
        ..Observation::UNUSED
    }
}
