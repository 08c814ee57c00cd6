//! Steering: look-up answers, plans and contingencies.

mod blocks;
mod lookup;
mod plan;
mod steering;

pub use blocks::BlockTable;
pub use lookup::{Candidate, Origin, entries_for, order};
pub use plan::{
    Measurements, Plan, PlanPolicy, Ramp, Shares, moved_share, plan, planned_fill, target_shares,
    without,
};
pub use steering::Steering;
