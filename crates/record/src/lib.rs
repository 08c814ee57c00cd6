//! JSON lines on standard output, bounded and never blocking.
//!
//! [`Sink`] takes lines from any task and hands them to a thread that writes them. A reader that
//! has stopped reading costs lines, which are counted and told, but never holds up a request.
//! [`lines`] lists the lines that tell of requests.

pub mod lines;
mod sink;
mod volume;

pub use sink::{Sink, SinkCounts, SinkWriter};
pub use volume::Volume;
