//! Requests from callers and to engines.

use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

quick_error! {
    /// A request body that can't be served. Nothing has run.
    #[derive(Debug, PartialEq)]
    pub enum RequestError {
        /// The body is no JSON.
        InvalidJson(cause: String) {
            display("the body is not valid JSON: {cause}")
        }
        /// A field is missing or of the wrong type.
        InvalidField(field: &'static str, expected: &'static str) {
            display("field `{field}`: expected {expected}")
        }
    }
}

/// A caller's chat completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct ChatRequest {
    /// Model asked for.
    pub model: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Role and text of each message, in order.
    pub messages: Vec<(String, String)>,
    /// The whole body as it came.
    pub body: Map<String, Value>,
}

impl ChatRequest {
    /// Reads a body.
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

    /// The text of all messages, with their roles, as it determines the prompt.
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

/// Content is a text or a list of parts, of which the texts count.
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

/// Where an answer is to be taken up after another engine broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Answer tokens the caller has.
    pub tokens: u32,
    /// Their text.
    pub text: String,
}

/// What an engine is asked, beside the caller's own fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Identifies the attempt; the engine repeats it in its answer.
    pub request_id: String,
    /// Smaller numbers go first.
    pub priority: u8,
    /// Present if the answer is to be continued.
    #[serde(default)]
    pub resume: Option<Resume>,
}

impl EngineRequest {
    /// The body to send: the caller's fields, streamed, with this added.
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
