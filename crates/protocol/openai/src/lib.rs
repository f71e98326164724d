//! Chat completions in the OpenAI form, as callers and engines speak them.
//!
//! Only what routing needs is read from a request: model, prompt text, whether to
//! stream. Everything else is passed to the engine as it came.

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
