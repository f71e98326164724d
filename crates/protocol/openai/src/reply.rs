//! Replies to callers.

use eiderferry_types::Refusal;
use serde_json::{Value, json};

/// The event that ends a complete stream.
pub const DONE_EVENT: &str = "data: [DONE]\n\n";

/// One chunk as an event, with the engine's id replaced by the caller's request id and the
/// engine's `token_index` removed.
pub fn chunk_event(mut data: Value, request_id: &str) -> String {
    if let Value::Object(fields) = &mut data {
        fields.insert("id".into(), request_id.into());
        fields.remove("token_index");
    }
    format!("data: {data}\n\n")
}

/// The last chunk of a streamed response, as an event.
pub fn finish_event(request_id: &str, model: &str, finish_reason: &str) -> String {
    let data = json!({
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish_reason }],
    });
    format!("data: {data}\n\n")
}

/// A complete response for a request without streaming.
pub fn answer_document(
    request_id: &str,
    model: &str,
    text: &str,
    finish_reason: &str,
    tokens: u32,
) -> Value {
    json!({
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish_reason,
        }],
        "usage": { "completion_tokens": tokens },
    })
}

/// The body of a reply to a request that was refused or failed.
pub fn error_document(message: &str, refusal: &Refusal, request_id: Option<&str>) -> Value {
    let retry_after_ms = refusal.retry_after.map(|span| span.milliseconds());
    json!({
        "error": {
            "message": message,
            "type": "eiderferry_refusal",
            "code": refusal.reason.as_str(),
            "verdict": refusal.verdict.as_str(),
            "retry_after_ms": retry_after_ms,
            "request_id": request_id,
        }
    })
}
