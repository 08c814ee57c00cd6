//! Admission: keys and the rate limit of each workspace.
//!
//! Sans-IO: calls take the event and `now`, and return typed actions.

mod admission;
mod keys;

pub use admission::{Action, AdmissionController};
pub use keys::KeyIndex;
