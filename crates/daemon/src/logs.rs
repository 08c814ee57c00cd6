//! Logging as JSON lines on standard output.

use record::Sink;
use tracing_subscriber::{EnvFilter, fmt, prelude::*};

/// Sets up logging on standard output through a sink with a bounded queue, and returns the sink.
///
/// `filter` has the syntax of `tracing-subscriber`'s filters.
///
/// # Errors
///
/// Returns a message if the filter can't be parsed, the sink can't be started or logging is already
/// set up.
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
