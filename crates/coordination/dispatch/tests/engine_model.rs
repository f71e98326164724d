//! What is learned of engines from the streams that ran there.

use eiderferry_dispatch::{EngineSpeed, PoolModel, StreamPacing};
use eiderferry_routing::EngineSpecification;
use eiderferry_types::{Span, Timestamp};
use rstest::rstest;

fn milliseconds(value: u64) -> Span {
    Span::from_milliseconds(value)
}

fn specification(tokens_per_event: u32) -> EngineSpecification {
    EngineSpecification {
        replicas: None,
        slots: 64,
        cache_tokens: 300_000,
        tokens_per_event,
        cache_event_calls: 12,
    }
}

/// A stream of 21 events with so much time between two, and one longer pause.
fn stream(spacing: u64, longest: u64) -> StreamPacing {
    let mut pacing = StreamPacing::default();
    let mut now = Timestamp(1_000_000);
    pacing.record(1, now);
    for number in 0..20 {
        now = now + milliseconds(if number == 7 { longest } else { spacing });
        pacing.record(1, now);
    }
    pacing
}

fn chance(model: &PoolModel, speed: &EngineSpeed, target: u64) -> f64 {
    model.delay_probability_beside_long_prompts(speed, milliseconds(target))
}

#[test]
fn the_pacing_of_a_stream_is_its_spacing_and_its_longest_pause() {
    let pacing = stream(20, 220);
    assert_eq!(pacing.events(), 21);
    assert_eq!(pacing.longest_pause(), milliseconds(220));
    assert_eq!(pacing.spacing(), Some(milliseconds(30)));
    assert_eq!(StreamPacing::default().spacing(), None);
}

#[rstest]
#[case::many_tokens_an_event(7, 400, true)]
#[case::few_tokens_an_event(2, 400, false)]
#[case::wide_target(7, 1_500, false)]
fn before_any_stream_the_tokens_of_an_event_tell_which_targets_are_short(
    #[case] tokens: u32,
    #[case] target: u64,
    #[case] is_short: bool,
) {
    let model = PoolModel::new(Some(&specification(tokens)));
    let speed = model.engine_speed();
    assert_eq!(chance(&model, &speed, target) > 0.3, is_short);
}

#[test]
fn pauses_that_were_seen_replace_what_was_assumed() {
    let mut model = PoolModel::new(Some(&specification(3)));
    for _ in 0..40 {
        model.observe_stream(&stream(20, 600));
    }
    let speed = model.engine_speed();
    assert!(chance(&model, &speed, 400) > 0.7);
    for _ in 0..2_000 {
        model.observe_stream(&stream(20, 60));
    }
    assert!(chance(&model, &model.engine_speed(), 400) < 0.01);
}

#[test]
fn a_slow_engine_makes_targets_late_that_others_keep() {
    let mut model = PoolModel::new(Some(&specification(3)));
    let (mut usual, mut slow) = (model.engine_speed(), model.engine_speed());
    for _ in 0..200 {
        model.observe_stream(&stream(20, 200));
        usual.observe_stream(&stream(20, 200));
        slow.observe_stream(&stream(40, 400));
    }
    assert!(chance(&model, &slow, 250) > chance(&model, &usual, 250) + 0.3);
}

#[test]
fn a_short_prompt_makes_fewer_streams_late_than_a_long_one() {
    let model = PoolModel::new(Some(&specification(3)));
    let speed = model.engine_speed();
    let share = |reading| model.delayed_share(&speed, milliseconds(reading));
    assert!(share(40) < 0.05);
    assert!(share(120) < 0.7);
    assert!((share(5_000) - 1.0).abs() < 0.001);
    assert!(model.is_long_prefill(&speed, milliseconds(500)));
    assert!(!model.is_long_prefill(&speed, milliseconds(30)));
}

#[test]
fn one_stalled_engine_does_not_make_the_model_useless() {
    let mut model = PoolModel::new(Some(&specification(3)));
    let mut speed = model.engine_speed();
    for _ in 0..10_000 {
        model.observe_stream(&stream(20, 15_000));
        speed.observe_stream(&stream(20, 15_000));
    }
    assert!(model.prefill_pause(&speed) < milliseconds(1_000));
    for _ in 0..1_000 {
        model.observe_stream(&stream(20, 180));
        speed.observe_stream(&stream(20, 180));
    }
    assert!(model.prefill_pause(&speed) < milliseconds(250));
}
