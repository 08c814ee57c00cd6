//! Logging as JSON lines on standard error or standard output.

use record::Sink;
use tracing_subscriber::{EnvFilter, fmt, prelude::*};

/// Sets up logging on standard output through a sink with a bounded queue, and returns the sink.
///
/// # Errors
///
/// Returns the same errors as [`start`], and one if the sink can't be started.
pub fn start_stdout(filter: &str) -> Result<Sink, String> {
    let sink = Sink::start(std::io::stdout()).map_err(|err| err.to_string())?;
    let filter = EnvFilter::try_new(filter).map_err(|err| err.to_string())?;
    let line_sink = sink.clone();
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_target(false)
        .with_writer(move || line_sink.writer());
    tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .map_err(|err| err.to_string())?;
    Ok(sink)
}

/// Sets up logging on standard error; `filter` has the syntax of `tracing-subscriber`'s filters.
///
/// # Errors
///
/// Returns a message if the filter can't be parsed or logging is already set up.
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
