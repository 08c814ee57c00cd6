//! Steering: look-up answers, plans and contingencies.

mod lookup;

pub use lookup::{Candidate, Origin, order};
