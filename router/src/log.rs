//! Writes events to standard error, as one line of key=value pairs each.
//!
//! No line contains a request body or a key.

use std::sync::Arc;

use laburnumwheel_core::action::Line;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::PatternFormatter;
use spdlog::formatter::pattern;
use spdlog::sink::StdStreamSink;

use crate::error::Error;
use crate::settings::Level;

/// Sets up the process's logger.
///
/// # Errors
///
/// Returns [`Error::Log`] if the logger can't be built.
pub fn init(level: Level) -> Result<(), Error> {
    let line = pattern!("time={date}T{time}.{millisecond} level={level} {payload}{eol}");
    let formatter = PatternFormatter::new(line);
    let sink = StdStreamSink::builder().stderr().formatter(formatter).build_arc()?;
    let filter = match level {
        Level::Error => LevelFilter::MoreSevereEqual(spdlog::Level::Error),
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
        Level::Debug => LevelFilter::MoreSevereEqual(spdlog::Level::Debug),
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter)
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Formats a line as `event=name key=value ...`, with quotes round values that need them.
pub fn format(router: &str, line: &Line) -> String {
    let mut text = format!("event={} router={router}", line.event);
    for (name, value) in &line.fields {
        text.push_str(&format!(" {name}={}", quote(value)));
    }
    text
}

fn quote(value: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

/// Logs a line at level `info`.
pub fn write(router: &str, line: &Line) {
    spdlog::info!("{}", format(router, line));
}
