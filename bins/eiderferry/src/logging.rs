//! Logging setup of an entry node.

use eiderferry_config::LogFormat;
use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter as RecordFilter};

/// Starts logging to standard error at level info and above.
pub fn start(format: LogFormat) {
    let builder = logforth::starter_log::builder();
    let builder = match format {
        LogFormat::Text => builder.dispatch(|dispatch| {
            dispatch
                .filter(RecordFilter::MoreSevereEqual(Level::Info))
                .append(Stderr::default().with_layout(TextLayout::default().no_color()))
        }),
        LogFormat::Json => builder.dispatch(|dispatch| {
            dispatch
                .filter(RecordFilter::MoreSevereEqual(Level::Info))
                .append(Stderr::default().with_layout(JsonLayout::default()))
        }),
    };
    builder.apply();
    log::set_max_level(LevelFilter::Info);
}
