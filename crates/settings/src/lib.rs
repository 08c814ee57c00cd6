//! Settings files in JSON with comments, checked with file, line and field.
//!
//! [`parse`] turns text into any deserializable type and reports every unknown field, the first
//! field of a wrong type and what a check function finds, each with its line.

mod document;
mod model;

pub use document::{Document, Finding, Findings, parse};
pub use model::{Bounds, DaemonSettings, IsolationPolicy, TakeoverPolicy, parse_daemon_settings};
