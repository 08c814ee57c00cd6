//! Logs as JSON lines on standard error.

use record::Sink;
use tracing_subscriber::{EnvFilter, fmt, prelude::*};

/// Sets up logging on standard output through a bounded sink, which it returns.
///
/// # Errors
///
/// As for [`start`].
pub fn start_stdout(filter: &str) -> Result<Sink, String> {
    let sink = Sink::start(std::io::stdout()).map_err(|err| err.to_string())?;
    let filter = EnvFilter::try_new(filter).map_err(|err| err.to_string())?;
    let lines_to = sink.clone();
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(move || lines_to.writer());
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .map_err(|err| err.to_string())?;
    Ok(sink)
}

/// Sets up logging; `filter` is in the syntax of `tracing-subscriber`'s filters.
///
/// # Errors
///
/// A sentence where the filter can't be read or logging was set up before.
pub fn start(filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|err| err.to_string())?;
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(std::io::stderr);
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .map_err(|err| err.to_string())
}
