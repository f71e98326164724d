//! HTTP client that sends requests to an entry node and checks the responses.

use eiderferry_emulator::response_text;
use eiderferry_openai::{ChatRequest, Chunk, Event, EventParser};
use futures_lite::AsyncReadExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium_client::{Body, Client, Conn};
use trillium_smol::ClientConfig;

/// Parameters of a chat completion request.
#[derive(Clone, Debug)]
pub struct ChatCall {
    /// API key, sent as a bearer token.
    pub key: String,
    /// Name of the request class.
    pub class: String,
    /// Model name.
    pub model: String,
    /// Content of the single user message.
    pub prompt: String,
    /// Response length in tokens that the emulated engine is told to produce.
    pub answer_tokens: u32,
    /// Whether to request a streamed response.
    pub stream: bool,
}

/// Outcome of a chat request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// The complete, expected response arrived.
    Completed {
        /// Response tokens.
        tokens: u32,
        /// Time to the first token; without streaming, to the complete response.
        first_token: Duration,
        /// Mean time between tokens; without streaming, the total time divided by the token count.
        per_token: Duration,
    },
    /// A response arrived whose text differs from the expected one.
    Wrong,
    /// The router refused the request.
    Refused {
        /// Value of the `eiderferry-verdict` header.
        verdict: String,
        /// Value of the `eiderferry-reason` header.
        reason: String,
    },
    /// The connection failed or the stream was cut short; carries the error text.
    Failed(String),
}

/// Outcome of a call to a plain HTTP service.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceOutcome {
    /// The service responded, with this HTTP status.
    Answered(u16),
    /// The router refused the call or ended it with a verdict.
    Refused {
        /// Value of the `eiderferry-verdict` header.
        verdict: String,
        /// Value of the `eiderferry-reason` header.
        reason: String,
    },
    /// The connection failed, so whether the call was executed is unknown.
    Failed(String),
}

/// Sends requests, each over its own connection.
#[derive(Clone)]
pub struct LoadClient {
    client: Client,
}

impl Default for LoadClient {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadClient {
    /// Creates a client without connection reuse.
    pub fn new() -> Self {
        let config = ClientConfig::new().with_nodelay(true);
        Self {
            client: Client::new(config).without_keepalive(),
        }
    }

    /// Sends a chat request and checks the response.
    pub async fn chat(&self, entry: SocketAddr, call: &ChatCall) -> CallOutcome {
        match self.try_chat(entry, call).await {
            Ok(outcome) => outcome,
            Err(error) => CallOutcome::Failed(error),
        }
    }

    async fn try_chat(&self, entry: SocketAddr, call: &ChatCall) -> Result<CallOutcome, String> {
        let body = json!({
            "model": call.model,
            "stream": call.stream,
            "emulated_answer_tokens": call.answer_tokens,
            "messages": [{ "role": "user", "content": call.prompt }],
        });
        let started = Instant::now();
        let mut conn = self
            .client
            .post(format!("http://{entry}/v1/chat/completions").as_str())
            .with_request_header("authorization", format!("Bearer {}", call.key))
            .with_request_header("eiderferry-class", call.class.clone())
            .with_request_header("content-type", "application/json")
            .with_body(Body::from(body.to_string()))
            .await
            .map_err(|error| error.to_string())?;
        if conn.status().map(|status| status as u16) != Some(200) {
            return Ok(read_refusal(&mut conn).await);
        }
        let expected = expected_response(&body.to_string(), call.answer_tokens);
        if !call.stream {
            return read_complete_response(conn, &expected, started, call.answer_tokens).await;
        }
        read_stream(conn, &expected, started).await
    }

    /// Requests a ticket from an entry node.
    pub async fn ticket(&self, entry: SocketAddr, key: &str) -> Result<String, String> {
        let mut conn = self
            .client
            .post(format!("http://{entry}/v1/tickets").as_str())
            .with_request_header("authorization", format!("Bearer {key}"))
            .await
            .map_err(|error| error.to_string())?;
        let text = conn
            .response_body()
            .read_string()
            .await
            .map_err(|error| error.to_string())?;
        let document: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
        let ticket = document.get("ticket").and_then(Value::as_str);
        ticket.map(str::to_owned).ok_or(text)
    }

    /// Calls a plain HTTP service through an entry node.
    pub async fn service(
        &self,
        entry: SocketAddr,
        path: &str,
        headers: &[(&'static str, String)],
        body: &str,
    ) -> ServiceOutcome {
        let mut conn = self
            .client
            .post(format!("http://{entry}{path}").as_str())
            .with_body(Body::from(body.to_owned()));
        for (name, value) in headers {
            conn = conn.with_request_header(*name, value.clone());
        }
        let mut conn = match conn.await {
            Ok(conn) => conn,
            Err(error) => return ServiceOutcome::Failed(error.to_string()),
        };
        let status = conn.status().map_or(0, |status| status as u16);
        if conn
            .response_headers()
            .get_str("eiderferry-verdict")
            .is_none()
        {
            return match conn.response_body().read_string().await {
                Ok(_) => ServiceOutcome::Answered(status),
                Err(error) => ServiceOutcome::Failed(error.to_string()),
            };
        }
        match read_refusal(&mut conn).await {
            CallOutcome::Refused { verdict, reason } => ServiceOutcome::Refused { verdict, reason },
            _ => ServiceOutcome::Failed("malformed refusal".into()),
        }
    }
}

/// Returns the text that the emulated engine produces for this request body.
fn expected_response(body: &str, tokens: u32) -> String {
    match ChatRequest::parse(body.as_bytes()) {
        Ok(request) => response_text(&request.prompt_text(), tokens),
        Err(_) => String::new(),
    }
}

async fn read_refusal(conn: &mut Conn) -> CallOutcome {
    let header = |name: &str| {
        let value = conn.response_headers().get_str(name.to_owned());
        value.unwrap_or("none").to_owned()
    };
    let verdict = header("eiderferry-verdict");
    let reason = header("eiderferry-reason");
    // The body is read to its end so that the connection closes cleanly.
    let _ = conn.response_body().read_string().await;
    CallOutcome::Refused { verdict, reason }
}

async fn read_complete_response(
    mut conn: Conn,
    expected: &str,
    started: Instant,
    tokens: u32,
) -> Result<CallOutcome, String> {
    let text = conn
        .response_body()
        .read_string()
        .await
        .map_err(|error| error.to_string())?;
    let document: Value = serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let content = document
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    if content != Some(expected) {
        return Ok(CallOutcome::Wrong);
    }
    let elapsed = started.elapsed();
    Ok(CallOutcome::Completed {
        tokens,
        first_token: elapsed,
        per_token: elapsed / tokens.max(1),
    })
}

async fn read_stream(
    mut conn: Conn,
    expected: &str,
    started: Instant,
) -> Result<CallOutcome, String> {
    let mut body = conn.take_response_body().ok_or("response has no body")?;
    let mut parser = EventParser::default();
    let mut buffer = vec![0; 8 * 1024];
    let mut text = String::new();
    let mut tokens = 0;
    let mut first_token = None;
    loop {
        let count = body
            .read(&mut buffer)
            .await
            .map_err(|error| error.to_string())?;
        if count == 0 {
            return Ok(CallOutcome::Failed(
                "stream ended before the end marker".into(),
            ));
        }
        for event in parser
            .push(&buffer[..count])
            .map_err(|error| error.to_string())?
        {
            let Event::Data(data) = event else {
                return Ok(check_streamed_response(
                    &text,
                    expected,
                    tokens,
                    first_token,
                    started,
                ));
            };
            let chunk = Chunk::parse(&data).map_err(|error| error.to_string())?;
            if chunk.text.is_empty() {
                continue;
            }
            first_token.get_or_insert_with(|| started.elapsed());
            tokens += 1;
            text.push_str(&chunk.text);
        }
    }
}

fn check_streamed_response(
    text: &str,
    expected: &str,
    tokens: u32,
    first_token: Option<Duration>,
    started: Instant,
) -> CallOutcome {
    let Some(first_token) = first_token.filter(|_| text == expected) else {
        return CallOutcome::Wrong;
    };
    let decode_time = started.elapsed() - first_token;
    CallOutcome::Completed {
        tokens,
        first_token,
        per_token: decode_time / tokens.saturating_sub(1).max(1),
    }
}
