//! HTTP listeners for callers and operators, and forwarding to targets.
//!
//! One task, the [`engine`], owns admission, dispatch and the idle connections to targets. The
//! listeners' handlers talk to it by messages and carry the requests out.

pub mod answer;
pub mod callers;
pub mod dialect;
mod drive;
pub mod engine;
pub mod fingerprint;
pub mod forward;
pub mod head;
pub mod message;
pub mod metrics;
pub mod recorder;
mod request_log;
pub mod serve;
pub mod trace;
pub mod view;
