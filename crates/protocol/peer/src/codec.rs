//! Encoding of envelopes.

use eiderferry_node::Envelope;
use quick_error::quick_error;

/// Largest frame sent as one datagram: it passes every common link unfragmented.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_200;
/// First byte of each frame: the version of the format.
const FORMAT_VERSION: u8 = 2;

quick_error! {
    /// A frame that can't be decoded. It is dropped; its sender repeats what matters.
    #[derive(Debug, PartialEq)]
    pub enum CodecError {
        /// The frame is empty or of another version.
        UnsupportedVersion(found: Option<u8>) {
            display("frame of version {found:?}, expected {FORMAT_VERSION}")
        }
        /// The bytes are no envelope.
        Malformed(cause: postcard::Error) {
            display("malformed frame: {cause}")
        }
    }
}

/// Encodes an envelope.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(envelope, vec![FORMAT_VERSION]).map_err(CodecError::Malformed)
}

/// Decodes a frame.
pub fn decode(frame: &[u8]) -> Result<Envelope, CodecError> {
    match frame.split_first() {
        Some((&FORMAT_VERSION, body)) => postcard::from_bytes(body).map_err(CodecError::Malformed),
        other => Err(CodecError::UnsupportedVersion(
            other.map(|(version, _)| *version),
        )),
    }
}
