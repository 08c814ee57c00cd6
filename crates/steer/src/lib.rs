//! Steering: ranking of entry instances for look-ups, and plans of how regions share traffic.

mod blocks;
mod lookup;
mod plan;
mod steering;

pub use blocks::BlockTable;
pub use lookup::{
    CallerLocation, Candidate, candidates_for_host, rank_allowed_candidates, rank_candidates,
};
pub use plan::{
    Measurements, Plan, PlanPolicy, Shares, ShiftLimiter, desired_shares, moved_share, plan,
    planned_utilization, without_region,
};
pub use steering::Steering;
