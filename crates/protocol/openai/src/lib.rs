//! OpenAI-compatible chat completions: requests, streamed chunks and replies.
//!
//! Only what routing needs is parsed from a request: the model, the messages and whether to
//! stream. All other fields are forwarded to the engine unchanged.

#![forbid(unsafe_code)]

mod chunk;
mod event_stream;
mod prefix;
mod reply;
mod request;

pub use chunk::{Chunk, ChunkError};
pub use event_stream::{Event, EventParser, EventStreamError};
pub use prefix::{estimate_tokens, prefix_marks};
pub use reply::{DONE_EVENT, answer_document, chunk_event, error_document, finish_event};
pub use request::{ChatRequest, EngineRequest, RequestError, Resume};
