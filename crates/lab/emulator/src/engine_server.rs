//! HTTP server for an emulated engine that runs in real time.

use crate::engine::{Emission, Engine, EngineLoad, Job, JobId};
use crate::http::{Server, json, query_number, spawn};
use crate::{CacheEvent, EngineTiming, default_response_tokens, token_text};
use eiderferry_openai::{ChatRequest, DONE_EVENT, estimate_tokens, prefix_marks};
use eiderferry_platform::LoadDocument;
use futures_lite::{AsyncWriteExt, future};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use trillium::{Conn, Handler, KnownHeaderName, Method, Status};
use trillium_http::Body;

/// Capacity in bytes of the buffer between a token stream and its HTTP connection.
const STREAM_BUFFER_BYTES: usize = 4 * 1024;

/// Commands to the task that steps the engine.
enum Command {
    Submit {
        job: Job,
        emissions: async_channel::Sender<Emission>,
        reply: async_channel::Sender<JobId>,
    },
    Cancel(JobId),
    Report {
        cursor: u64,
        reply: async_channel::Sender<LoadDocument>,
    },
    Crash,
    SlowDown(f64),
    Stop,
}

/// Counters of an engine server, read by other threads.
#[derive(Debug, Default)]
struct Counters {
    generated_tokens: AtomicU64,
    cancelled_jobs: AtomicU64,
}

/// Handle of a running engine server.
pub struct EngineServer {
    server: Server,
    commands: async_channel::Sender<Command>,
    counters: Arc<Counters>,
}

impl EngineServer {
    /// Starts an engine server whose load reports are delayed by `report_lag`.
    pub fn start(
        address: SocketAddr,
        timing: EngineTiming,
        report_lag: Duration,
    ) -> std::io::Result<Self> {
        let (commands, queue) = async_channel::unbounded();
        let counters = Arc::new(Counters::default());
        let driver = Driver {
            engine: Engine::new(timing),
            commands: queue,
            streams: HashMap::new(),
            load_history: LoadHistory::new(report_lag),
            counters: counters.clone(),
        };
        spawn(driver.run());
        let server = Server::start(
            address,
            EngineHandler {
                commands: commands.clone(),
            },
        )?;
        Ok(Self {
            server,
            commands,
            counters,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Number of tokens generated since the start.
    pub fn generated_tokens(&self) -> u64 {
        self.counters.generated_tokens.load(Ordering::Relaxed)
    }

    /// Number of jobs cancelled since the start.
    pub fn cancelled_jobs(&self) -> u64 {
        self.counters.cancelled_jobs.load(Ordering::Relaxed)
    }

    /// Ends all streams without an end marker and drops all jobs and the cache; new requests
    /// are still accepted.
    pub fn crash(&self) {
        let _ = self.commands.try_send(Command::Crash);
    }

    /// Sets the factor by which steps take longer from now on.
    pub fn slow_down(&self, factor: f64) {
        let _ = self.commands.try_send(Command::SlowDown(factor));
    }

    /// Stops the HTTP server and the engine.
    pub fn stop(&self) {
        self.server.stop();
        let _ = self.commands.try_send(Command::Stop);
    }
}

/// Recent loads with the last cache event at that time, for delayed load reports.
struct LoadHistory {
    lag: Duration,
    history: Vec<(Instant, EngineLoad, u64)>,
}

impl LoadHistory {
    fn new(lag: Duration) -> Self {
        Self {
            lag,
            history: Vec::new(),
        }
    }

    fn record(&mut self, load: EngineLoad, last_event: u64) {
        let now = Instant::now();
        self.history.push((now, load, last_event));
        let lag = self.lag;
        let first_kept = self
            .history
            .iter()
            .rposition(|(at, _, _)| now.duration_since(*at) >= lag)
            .unwrap_or(0);
        self.history.drain(..first_kept);
    }

    fn delayed(&self) -> (EngineLoad, u64) {
        self.history
            .first()
            .map_or((EngineLoad::default(), 0), |(_, load, event)| {
                (*load, *event)
            })
    }
}

/// Task that steps the engine in real time and handles commands.
struct Driver {
    engine: Engine,
    commands: async_channel::Receiver<Command>,
    streams: HashMap<JobId, async_channel::Sender<Emission>>,
    load_history: LoadHistory,
    counters: Arc<Counters>,
}

impl Driver {
    async fn run(mut self) {
        loop {
            let Some(step) = self.engine.begin_step() else {
                let Ok(command) = self.commands.recv().await else {
                    return;
                };
                if !self.handle(command) {
                    return;
                }
                continue;
            };
            let end = Instant::now() + Duration::from_micros(step.0);
            if !self.wait_until(end).await {
                return;
            }
            self.end_step();
        }
    }

    /// Handles commands until the end of the step. Returns false if the engine was stopped.
    async fn wait_until(&mut self, end: Instant) -> bool {
        loop {
            let command = async { Some(self.commands.recv().await) };
            let timer = async {
                smol::Timer::at(end).await;
                None
            };
            match future::or(timer, command).await {
                None => return true,
                Some(Ok(command)) => {
                    if !self.handle(command) {
                        return false;
                    }
                }
                Some(Err(_)) => return false,
            }
        }
    }

    fn end_step(&mut self) {
        let emissions = self.engine.end_step();
        self.counters
            .generated_tokens
            .fetch_add(emissions.len() as u64, Ordering::Relaxed);
        for emission in emissions {
            let Some(stream) = self.streams.get(&emission.job) else {
                continue;
            };
            let disconnected = stream.try_send(emission).is_err();
            if disconnected || emission.last {
                self.streams.remove(&emission.job);
            }
            if disconnected {
                self.cancel(emission.job);
            }
        }
        self.record_load();
    }

    fn cancel(&mut self, job: JobId) {
        self.streams.remove(&job);
        self.engine.cancel(job);
        self.counters.cancelled_jobs.fetch_add(1, Ordering::Relaxed);
    }

    fn record_load(&mut self) {
        let last_event = self.engine.cache.last_event();
        self.load_history.record(self.engine.load(), last_event);
    }

    fn handle(&mut self, command: Command) -> bool {
        match command {
            Command::Submit {
                job,
                emissions,
                reply,
            } => {
                let id = self.engine.submit(job);
                self.streams.insert(id, emissions);
                let _ = reply.try_send(id);
                self.record_load();
            }
            Command::Cancel(job) => {
                if self.streams.contains_key(&job) {
                    self.cancel(job);
                    self.record_load();
                }
            }
            Command::Report { cursor, reply } => {
                self.record_load();
                let _ = reply.try_send(self.report(cursor));
            }
            Command::Crash => {
                self.engine.crash();
                self.streams.clear();
            }
            Command::SlowDown(factor) => self.engine.slow_factor = factor,
            Command::Stop => return false,
        }
        true
    }

    fn report(&self, cursor: u64) -> LoadDocument {
        let (load, last_event) = self.load_history.delayed();
        let (gap, events) = self.engine.cache.events_between(cursor, last_event);
        let mut document = LoadDocument {
            running: load.running,
            waiting: load.waiting,
            kv_tokens: load.kv_tokens,
            cache_cursor: last_event.max(if gap { 0 } else { cursor }),
            cache_gap: gap,
            ..LoadDocument::default()
        };
        for event in events {
            match event {
                CacheEvent::Stored(hash) => document.cache_stored.push(hash),
                CacheEvent::Removed(hash) => document.cache_removed.push(hash),
            }
        }
        document
    }
}

struct EngineHandler {
    commands: async_channel::Sender<Command>,
}

impl Handler for EngineHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        match (conn.method(), conn.path()) {
            (Method::Get, "/load") => self.report(conn).await,
            (Method::Post, "/v1/chat/completions") => {
                let body = conn.request_body_string().await.unwrap_or_default();
                self.complete_chat(conn, &body).await
            }
            _ => conn.with_status(Status::NotFound).halt(),
        }
    }
}

impl EngineHandler {
    async fn report(&self, conn: Conn) -> Conn {
        let cursor = query_number(&conn, "cache_after");
        let (reply, response) = async_channel::bounded(1);
        let _ = self.commands.try_send(Command::Report { cursor, reply });
        match response.recv().await {
            Ok(document) => json(conn, &document),
            Err(_) => conn.with_status(Status::ServiceUnavailable).halt(),
        }
    }

    async fn complete_chat(&self, conn: Conn, body: &str) -> Conn {
        let request = match ChatRequest::parse(body.as_bytes()) {
            Ok(request) => request,
            Err(error) => {
                let document = json!({ "error": { "message": error.to_string() } });
                return conn
                    .with_status(Status::BadRequest)
                    .with_body(document.to_string())
                    .halt();
            }
        };
        let prompt = request.prompt_text();
        let job = build_job(&request, &prompt);
        let (emissions, tokens) = async_channel::unbounded();
        let (reply, job_id) = async_channel::bounded(1);
        let _ = self.commands.try_send(Command::Submit {
            job,
            emissions,
            reply,
        });
        let Ok(id) = job_id.recv().await else {
            return conn.with_status(Status::ServiceUnavailable).halt();
        };
        let (reader, writer) = piper::pipe(STREAM_BUFFER_BYTES);
        let request_id = request
            .body
            .get("request_id")
            .and_then(Value::as_str)
            .unwrap_or("");
        let model = request.model.clone();
        let commands = self.commands.clone();
        let stream_task = async move {
            if !stream_tokens(tokens, writer, &prompt, &model).await {
                let _ = commands.try_send(Command::Cancel(id));
            }
        };
        spawn(stream_task);
        conn.with_status(Status::Ok)
            .with_response_header(KnownHeaderName::ContentType, "text/event-stream")
            .with_response_header("x-request-id", request_id.to_owned())
            .with_body(Body::new_streaming(reader, None))
            .halt()
    }
}

fn build_job(request: &ChatRequest, prompt: &str) -> Job {
    let number = |path: &str| {
        let value = request.body.get(path).and_then(Value::as_u64);
        value.and_then(|value| u32::try_from(value).ok())
    };
    let resumed_tokens = request
        .body
        .get("resume")
        .and_then(|resume| resume.get("tokens"));
    let first_index = resumed_tokens.and_then(Value::as_u64).unwrap_or(0) as u32;
    let limit = number("max_tokens").unwrap_or(u32::MAX);
    let response_tokens = number("emulated_answer_tokens")
        .unwrap_or_else(|| default_response_tokens(prompt))
        .min(limit)
        .max(first_index + 1);
    Job {
        priority: number("priority").unwrap_or(0) as u8,
        prompt_tokens: estimate_tokens(prompt) + first_index,
        prefixes: prefix_marks(prompt),
        first_index,
        response_tokens,
    }
}

/// Writes tokens as server-sent events. Returns false if the client disconnected. If the
/// channel closes before the last token, the engine has crashed: the stream then ends without
/// the end marker.
async fn stream_tokens(
    tokens: async_channel::Receiver<Emission>,
    mut writer: piper::Writer,
    prompt: &str,
    model: &str,
) -> bool {
    while let Ok(emission) = tokens.recv().await {
        let finish_reason = emission.last.then_some("stop");
        let data = json!({
            "object": "chat.completion.chunk",
            "model": model,
            "token_index": emission.index,
            "choices": [{
                "index": 0,
                "delta": { "content": token_text(prompt, emission.index) },
                "finish_reason": finish_reason,
            }],
        });
        let mut text = format!("data: {data}\n\n");
        if emission.last {
            text.push_str(DONE_EVENT);
        }
        if writer.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        if emission.last {
            return true;
        }
    }
    true
}
