//! Chunks of a streamed response.

use quick_error::quick_error;
use serde_json::Value;

quick_error! {
    /// An event of an engine's stream that is not a valid chunk.
    #[derive(Debug, PartialEq)]
    pub enum ChunkError {
        /// The event's data is not JSON or has no choice.
        Malformed {
            display("the engine sent an event that is not a chat completion chunk")
        }
        /// The engine reported an error in the stream.
        EngineError(message: String) {
            display("the engine reported an error: {message}")
        }
    }
}

/// One chunk of a streamed response.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Text added by this chunk.
    pub text: String,
    /// Why the response ended; present in its last chunk.
    pub finish_reason: Option<String>,
    /// Index of the token in the response, if the engine states it.
    pub token_index: Option<u32>,
    /// The event's data as JSON, for forwarding.
    pub data: Value,
}

impl Chunk {
    /// Parses the data of one event.
    pub fn parse(data: &str) -> Result<Self, ChunkError> {
        let data: Value = serde_json::from_str(data).map_err(|_| ChunkError::Malformed)?;
        if let Some(error) = data.get("error") {
            let message = error
                .get("message")
                .and_then(Value::as_str)
                .unwrap_or("no message given");
            return Err(ChunkError::EngineError(message.to_owned()));
        }
        let choice = data.pointer("/choices/0").ok_or(ChunkError::Malformed)?;
        let text = choice
            .pointer("/delta/content")
            .and_then(Value::as_str)
            .unwrap_or("")
            .to_owned();
        let finish_reason = choice
            .get("finish_reason")
            .and_then(Value::as_str)
            .map(str::to_owned);
        let token_index = data
            .get("token_index")
            .and_then(Value::as_u64)
            .and_then(|index| u32::try_from(index).ok());
        Ok(Self {
            text,
            finish_reason,
            token_index,
            data,
        })
    }
}
