//! JSON lines on standard output, bounded and never blocking.
//!
//! [`Sink`] queues lines from any task for a thread that writes them. If the reader of the output
//! stalls, lines are dropped, counted and reported, but no request is delayed. [`lines`] defines
//! the log lines about requests.

mod limiter;
pub mod lines;
mod sink;

pub use limiter::LineLimiter;
pub use sink::{Sink, SinkCounts, SinkWriter};
