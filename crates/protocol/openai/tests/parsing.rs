//! Parsing of requests from callers and of event streams from engines.

use eiderferry_openai::{ChatRequest, Chunk, Event, EventParser, RequestError, prefix_marks};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::no_json("{", "not valid JSON")]
#[case::no_object("[]", "expected a JSON object")]
#[case::no_model(r#"{"messages":[]}"#, "`model`")]
#[case::empty_messages(r#"{"model":"m","messages":[]}"#, "`messages`")]
#[case::odd_stream(
    r#"{"model":"m","stream":1,"messages":[{"role":"user","content":"x"}]}"#,
    "`stream`"
)]
#[case::no_content(r#"{"model":"m","messages":[{"role":"user"}]}"#, "`messages`")]
fn an_invalid_request_is_rejected_with_the_cause(#[case] body: &str, #[case] expected: &str) {
    let error: RequestError = ChatRequest::parse(body.as_bytes()).expect_err("bad");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn text_parts_of_a_message_are_joined_by_newlines() {
    let body =
        r#"{"model":"m","messages":[{"role":"user","content":[{"text":"a"},{"text":"b"}]}]}"#;
    let request = ChatRequest::parse(body.as_bytes()).expect("good");
    assert_eq!(request.prompt_text(), "user\na\nb\n");
}

#[test]
fn prompts_with_a_common_prefix_share_its_hashes() {
    let shared = "x".repeat(3_000);
    let left = prefix_marks(&format!("{shared} left"));
    let right = prefix_marks(&format!("{shared} right"));
    assert_eq!(left, right);
    assert_eq!(left.len(), 2);
}

const STREAM: &str = "data: {\"a\":1}\n\ndata: two\r\n\r\n: comment\n\ndata: [DONE]\n\n";

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_stream_is_split(split_points in proptest::collection::vec(0_usize..60, 0..6)) {
        let mut split_points = split_points;
        split_points.push(STREAM.len());
        split_points.sort_unstable();
        let mut parser = EventParser::default();
        let mut events = Vec::new();
        let mut start = 0;
        for split_point in split_points {
            let end = split_point.min(STREAM.len());
            events.extend(parser.push(&STREAM.as_bytes()[start..end]).expect("short"));
            start = end;
        }
        let expected = [Event::Data("{\"a\":1}".into()), Event::Data("two".into()), Event::Done];
        prop_assert_eq!(events, expected);
    }

    #[test]
    fn parsing_an_arbitrary_chunk_does_not_panic(text in ".{0,200}") {
        let _ = Chunk::parse(&text);
    }

    #[test]
    fn parsing_an_arbitrary_request_body_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = ChatRequest::parse(&bytes);
    }
}
