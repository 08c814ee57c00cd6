//! Settings files in JSON with comments, checked with file, line and field.
//!
//! [`read`] turns text into any deserializable type and reports every unknown field, the first
//! field of a wrong type and what a check function finds, each with its line.

mod document;
mod model;

pub use document::{Document, Finding, Findings, read};
pub use model::{Alone, Bounds, Daemon, Takeover, check_daemon};
