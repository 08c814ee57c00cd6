//! Simulates the rate limit of one workspace over several instances, in virtual time.
//!
//! Each instance is an [`AdmissionController`](admit::AdmissionController) with a drifting clock, and
//! the owner of the quota is a [`QuotaOwner`](coord::QuotaOwner). Messages between them are delayed in
//! an event queue. There are no sockets, tasks or threads, so that a run is fast and the same seed
//! always gives the same result.

mod instance;
mod outcome;
mod scenario;
mod simulation;

pub use outcome::Outcome;
pub use scenario::{Demand, Fault, Scenario};
pub use simulation::run;
