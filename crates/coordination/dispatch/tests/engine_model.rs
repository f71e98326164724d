//! What the model learns about engines from the streams that ran on them.

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

/// A stream of 21 events with a fixed time between events, and one longer pause.
fn stream(spacing_ms: u64, longest_ms: u64) -> StreamPacing {
    let mut pacing = StreamPacing::default();
    let mut now = Timestamp(1_000_000);
    pacing.record(1, now);
    for number in 0..20 {
        now = now + milliseconds(if number == 7 { longest_ms } else { spacing_ms });
        pacing.record(1, now);
    }
    pacing
}

fn delay_probability(model: &PoolModel, speed: &EngineSpeed, target_ms: u64) -> f64 {
    model.delay_probability_beside_long_prompts(speed, milliseconds(target_ms))
}

#[test]
fn the_pacing_of_a_stream_has_its_mean_spacing_and_longest_pause() {
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
fn before_any_stream_tokens_per_event_determine_which_targets_are_short(
    #[case] tokens_per_event: u32,
    #[case] target_ms: u64,
    #[case] is_short: bool,
) {
    let model = PoolModel::new(Some(&specification(tokens_per_event)));
    let speed = model.engine_speed();
    assert_eq!(delay_probability(&model, &speed, target_ms) > 0.3, is_short);
}

#[test]
fn observed_pauses_replace_the_assumed_ones() {
    let mut model = PoolModel::new(Some(&specification(3)));
    for _ in 0..40 {
        model.observe_stream(&stream(20, 600));
    }
    let speed = model.engine_speed();
    assert!(delay_probability(&model, &speed, 400) > 0.7);
    for _ in 0..2_000 {
        model.observe_stream(&stream(20, 60));
    }
    assert!(delay_probability(&model, &model.engine_speed(), 400) < 0.01);
}

#[test]
fn a_slow_engine_misses_targets_that_others_meet() {
    let mut model = PoolModel::new(Some(&specification(3)));
    let (mut usual, mut slow) = (model.engine_speed(), model.engine_speed());
    for _ in 0..200 {
        model.observe_stream(&stream(20, 200));
        usual.observe_stream(&stream(20, 200));
        slow.observe_stream(&stream(40, 400));
    }
    assert!(delay_probability(&model, &slow, 250) > delay_probability(&model, &usual, 250) + 0.3);
}

#[test]
fn a_short_prompt_delays_fewer_streams_than_a_long_one() {
    let model = PoolModel::new(Some(&specification(3)));
    let speed = model.engine_speed();
    let share = |prefill_ms| model.delayed_share(&speed, milliseconds(prefill_ms));
    assert!(share(40) < 0.05);
    assert!(share(120) < 0.7);
    assert!((share(5_000) - 1.0).abs() < 0.001);
    assert!(model.is_long_prefill(&speed, milliseconds(500)));
    assert!(!model.is_long_prefill(&speed, milliseconds(30)));
}

#[test]
fn the_model_recovers_from_a_stalled_engine() {
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
