//! Frames from the network are either decoded or rejected; malformed ones never cause a panic.

use eiderferry_node::{Envelope, Message};
use eiderferry_peer::{CodecError, decode, encode};
use eiderferry_types::{Incarnation, NodeId};
use proptest::prelude::*;

fn envelope(node: u32, incarnation: u64, versions: (u64, u64)) -> Envelope {
    Envelope {
        from: NodeId(node),
        incarnation: Incarnation(incarnation),
        receiver: Some(Incarnation(incarnation).mark()),
        messages: vec![Message::Ping {
            configuration: versions.0,
            directory: versions.1,
            draining: false,
            echo: 0,
        }],
    }
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn an_encoded_envelope_decodes_to_the_same_envelope(node: u32, incarnation: u64, versions: (u64, u64)) {
        let original = envelope(node, incarnation, versions);
        let frame = encode(&original).expect("encodable");
        prop_assert_eq!(decode(&frame).expect("decodable"), original);
    }

    #[test]
    fn a_truncated_frame_is_rejected(cut in 1_usize..10) {
        let frame = encode(&envelope(7, 580_000_000, (3, 4))).expect("encodable");
        let truncated_length = frame.len().saturating_sub(cut);
        prop_assert!(decode(&frame[..truncated_length]).is_err());
    }
}

#[test]
fn a_frame_of_another_version_is_rejected() {
    let mut frame = encode(&envelope(1, 1, (1, 1))).expect("encodable");
    frame[0] = 9;
    assert_eq!(decode(&frame), Err(CodecError::UnsupportedVersion(Some(9))));
}
