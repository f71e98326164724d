//! Decision whether a pool reserves some engines for streams that long prompts would delay.

/// Exposed streams per slot above which engines are reserved for streams, and at or below which
/// they no longer are. The gap between the two keeps homes from moving back and forth.
const ISOLATION_START_THRESHOLD: f64 = 0.01;
const ISOLATION_STOP_THRESHOLD: f64 = 0.003;

/// Whether a pool reserves engines for streams, given its exposed streams and slots, and whether
/// it does so already.
pub(crate) fn should_isolate_streams(exposed_streams: f64, slots: u32, is_isolating: bool) -> bool {
    let threshold = if is_isolating {
        ISOLATION_STOP_THRESHOLD
    } else {
        ISOLATION_START_THRESHOLD
    };
    exposed_streams > threshold * f64::from(slots)
}
