//! Admission control: authentication by API key and the rate limit of each workspace.
//!
//! Everything is sans-IO: calls take an event and the current time, and return actions.

mod admission;
mod keys;
mod retries;

pub use admission::{Action, AdmissionController};
pub use keys::KeyIndex;
