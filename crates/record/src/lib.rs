//! JSON lines on standard output, bounded and never blocking.
//!
//! [`Sink`] takes lines from any task and hands them to a thread that writes them. A reader that
//! has stopped reading costs lines, which are counted and told, but never holds up a request.
//! [`lines`] lists the lines that tell of requests.

mod limiter;
pub mod lines;
mod sink;

pub use limiter::LineLimiter;
pub use sink::{Sink, SinkCounts, SinkWriter};
