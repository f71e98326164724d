//! Logging setup of the lab, for the log lines of the nodes under test.

use logforth::append::Stderr;
use logforth::layout::TextLayout;
use logforth::record::{Level, LevelFilter};

/// Starts logging to standard error at this level and above.
pub fn start(level: Level) {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(level))
                .append(Stderr::default().with_layout(TextLayout::default().no_color()))
        })
        .apply();
    log::set_max_level(log::LevelFilter::Info);
}
