//! Simulates several instances that dispatch requests to one service's targets, in virtual time.
//!
//! Instances use the product's [`Dispatcher`](dispatch::Dispatcher) or a baseline. Targets refuse
//! requests when all their slots are taken. Network delays, load reports and connections are
//! modelled as events in one queue; all random choices are drawn by seed.

mod baseline;
mod event;
mod measures;
mod scenario;
mod setup;
mod simulation;
mod state;

pub use baseline::TargetSelection;
pub use measures::{Measures, WorkspaceMeasures};
pub use scenario::{Incident, Scenario, Strategy};
pub use simulation::run;
