//! Encoding of envelopes as frames: a version byte followed by the envelope in `postcard` format.

use eiderferry_node::Envelope;
use quick_error::quick_error;

/// Maximum size in bytes of a frame sent as one datagram; it fits the MTU of all common links,
/// so the datagram is not fragmented.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_200;
/// Version of the frame format, the first byte of each frame.
const FORMAT_VERSION: u8 = 2;

quick_error! {
    /// A frame that can't be decoded or an envelope that can't be encoded. An undecodable frame is
    /// dropped; its sender resends what matters.
    #[derive(Debug, PartialEq)]
    pub enum CodecError {
        /// The frame is empty or has another format version.
        UnsupportedVersion(found: Option<u8>) {
            display("frame has format version {found:?}, expected {FORMAT_VERSION}")
        }
        /// The bytes after the version are not a valid envelope, or an envelope could not be
        /// encoded.
        Malformed(cause: postcard::Error) {
            display("malformed frame: {cause}")
        }
    }
}

/// Encodes an envelope as a frame.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(envelope, vec![FORMAT_VERSION]).map_err(CodecError::Malformed)
}

/// Decodes the envelope in a frame.
pub fn decode(frame: &[u8]) -> Result<Envelope, CodecError> {
    match frame.split_first() {
        Some((&FORMAT_VERSION, body)) => postcard::from_bytes(body).map_err(CodecError::Malformed),
        other => Err(CodecError::UnsupportedVersion(
            other.map(|(version, _)| *version),
        )),
    }
}
