//! When some engines of a pool are kept for streams that long prompts would make late.

/// Exposed streams for each slot of a pool from which on, and down to which, engines are kept
/// for them: apart, so that homes do not move to and fro.
const ISOLATION_START_THRESHOLD: f64 = 0.01;
const ISOLATION_STOP_THRESHOLD: f64 = 0.003;

/// Whether the streams of a pool, so many of them exposed to long prompts over so many slots,
/// are kept apart from now on.
pub(crate) fn should_isolate_streams(exposed_streams: f64, slots: u32, is_isolating: bool) -> bool {
    let threshold = if is_isolating {
        ISOLATION_STOP_THRESHOLD
    } else {
        ISOLATION_START_THRESHOLD
    };
    exposed_streams > threshold * f64::from(slots)
}
