//! Settings files in JSON with comments, with errors that name file, line and field.
//!
//! [`parse`] deserializes text into any type and reports every unknown field, the first field of a
//! wrong type and the findings of a validation function, each with its line.

mod document;
mod model;
mod variables;

pub use document::{Document, Finding, Findings, Parsed, parse};
pub use model::{
    Bounds, DaemonSettings, IsolationPolicy, TakeoverPolicy, load_daemon_settings,
    parse_daemon_settings,
};
