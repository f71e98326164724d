//! When some engines of a pool are kept for streams that long prompts would make late.

/// Exposed streams for each slot of a pool from which on, and down to which, engines are kept
/// for them: apart, so that homes do not move to and fro.
const STREAMS_APART_FROM: f64 = 0.01;
const STREAMS_APART_TO: f64 = 0.003;

/// Whether the streams of a pool, so many of them exposed to long prompts over so many slots,
/// are kept apart from now on.
pub(crate) fn should_isolate_streams(exposed: f64, slots: u32, before: bool) -> bool {
    let limit = if before {
        STREAMS_APART_TO
    } else {
        STREAMS_APART_FROM
    };
    exposed > limit * f64::from(slots)
}
