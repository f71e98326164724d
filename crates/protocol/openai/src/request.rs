//! Chat completion requests from callers and to engines.

use eiderferry_types::RequestDigest;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::HashSet;
use std::sync::Arc;

/// Maximum messages of a request that can be found to crash engines.
const MAX_SHARED_MESSAGES: usize = 1_024;

quick_error! {
    /// An invalid request body. No back end has started the request.
    #[derive(Debug, PartialEq)]
    pub enum RequestError {
        /// The body is not valid JSON.
        InvalidJson(cause: String) {
            display("the body is not valid JSON: {cause}")
        }
        /// A field is missing or has an invalid value.
        InvalidField(field: &'static str, expected: &'static str) {
            display("field `{field}`: expected {expected}")
        }
    }
}

/// A caller's chat completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// Name of the requested model.
    pub model: String,
    /// Whether the response is to be streamed.
    pub stream: bool,
    /// Role and text of each message, in order.
    pub messages: Vec<(String, String)>,
    /// The complete body as received.
    pub body: Map<String, Value>,
}

impl ChatRequest {
    /// Parses a request body.
    pub fn parse(bytes: &[u8]) -> Result<Self, RequestError> {
        let value: Value = serde_json::from_slice(bytes)
            .map_err(|cause| RequestError::InvalidJson(cause.to_string()))?;
        let Value::Object(body) = value else {
            return Err(RequestError::InvalidField("(body)", "a JSON object"));
        };
        let model = body
            .get("model")
            .and_then(Value::as_str)
            .ok_or(RequestError::InvalidField("model", "the name of a model"))?
            .to_owned();
        let stream = match body.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(RequestError::InvalidField("stream", "true or false")),
        };
        let messages = parse_messages(&body)?;
        Ok(Self {
            model,
            stream,
            messages,
            body,
        })
    }

    /// Digests of the messages that other requests may share: all but the last, each once.
    pub fn shared_message_digests(&self) -> Arc<[u64]> {
        let shared = self
            .messages
            .split_last()
            .map_or(&[][..], |(_, shared)| shared);
        let mut known = HashSet::new();
        let digests = shared
            .iter()
            .map(|(role, content)| RequestDigest::of([role.as_bytes(), content.as_bytes()]).0);
        let distinct = digests.filter(|digest| known.insert(*digest));
        distinct.take(MAX_SHARED_MESSAGES).collect()
    }

    /// Roles and texts of all messages in order, which determine the prompt.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        for (role, content) in &self.messages {
            text.push_str(role);
            text.push('\n');
            text.push_str(content);
            text.push('\n');
        }
        text
    }
}

fn parse_messages(body: &Map<String, Value>) -> Result<Vec<(String, String)>, RequestError> {
    const EXPECTED: &str = "a non-empty list of objects with `role` and `content`";
    let invalid = || RequestError::InvalidField("messages", EXPECTED);
    let entries = body
        .get("messages")
        .and_then(Value::as_array)
        .ok_or_else(invalid)?;
    if entries.is_empty() {
        return Err(invalid());
    }
    let mut messages = Vec::with_capacity(entries.len());
    for entry in entries {
        let role = entry
            .get("role")
            .and_then(Value::as_str)
            .ok_or_else(invalid)?;
        let content = entry
            .get("content")
            .and_then(content_text)
            .ok_or_else(invalid)?;
        messages.push((role.to_owned(), content));
    }
    Ok(messages)
}

/// Text of a message's content: a string, or a list of parts of which only the texts are used.
/// Null counts as empty.
fn content_text(content: &Value) -> Option<String> {
    match content {
        Value::String(text) => Some(text.clone()),
        Value::Array(parts) => {
            let texts = parts.iter().filter_map(|part| part.get("text")?.as_str());
            Some(texts.collect::<Vec<_>>().join("\n"))
        }
        Value::Null => Some(String::new()),
        _ => None,
    }
}

/// The part of a response that the caller already has, from which another engine continues
/// after the first one failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Number of tokens that the caller already has.
    pub tokens: u32,
    /// Text of these tokens.
    pub text: String,
}

/// Fields that a request to an engine has in addition to the caller's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Identifies the attempt; the engine returns it in its response.
    pub request_id: String,
    /// Priority; smaller numbers are served first.
    pub priority: u8,
    /// Present if the engine is to continue an interrupted response.
    #[serde(default)]
    pub resume: Option<Resume>,
}

impl EngineRequest {
    /// The body to send: the caller's fields with streaming enabled and these fields added.
    pub fn body(&self, caller: &Map<String, Value>) -> Vec<u8> {
        let mut body = caller.clone();
        body.insert("stream".into(), Value::Bool(true));
        body.insert("request_id".into(), self.request_id.clone().into());
        body.insert("priority".into(), self.priority.into());
        if let Some(resume) = &self.resume {
            let value = serde_json::json!({ "tokens": resume.tokens, "text": resume.text });
            body.insert("resume".into(), value);
        }
        Value::Object(body).to_string().into_bytes()
    }
}
