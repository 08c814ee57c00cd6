//! HTTP listeners for callers and operators, and forwarding to targets.
//!
//! One task, the [`engine`], owns admission, dispatch and the idle connections to targets. The
//! listeners' handlers exchange messages with it and send the requests to targets.

mod allowance;
pub mod caller;
mod caller_stream;
pub mod callers;
pub mod connection;
pub mod descriptors;
pub mod dial;
pub mod dialect;
pub mod engine;
mod execute;
mod filtered;
pub mod fingerprint;
pub mod forward;
pub mod framing;
pub mod head;
pub mod held;
pub mod lag;
pub mod message;
pub mod metrics;
pub mod open;
pub mod permit;
pub mod recorder;
pub mod relay;
mod request_log;
pub mod response;
pub mod serve;
mod target_stream;
pub mod trace;
pub mod view;
mod write_latch;
