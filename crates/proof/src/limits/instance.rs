//! An instance's part of the limit: its admission and its drifting clock.

use admit::AdmissionController;
use base::{Config, Incarnation, Time, Workspace};

use super::scenario::Scenario;

/// Workspace whose limit is simulated.
pub(super) const WORKSPACE: &str = "w";

#[derive(Debug)]
pub(super) struct Instance {
    pub(super) admission: AdmissionController,
    pub(super) incarnation: Incarnation,
    /// Speed of the instance's clock relative to virtual time.
    pub(super) clock_rate: f64,
    pub(super) started_at: Time,
    /// Epoch and sending time of the owner's last heartbeat.
    pub(super) last_heartbeat: Option<(u64, Time)>,
}

impl Instance {
    pub(super) fn new(scenario: &Scenario, clock_rate: f64, incarnation: Incarnation) -> Self {
        let mut config = Config::default();
        let workspace = Workspace {
            rate: scenario.quota.rate,
            burst: scenario.quota.burst,
            weight: 1,
            ..Workspace::default()
        };
        config.workspaces.insert(WORKSPACE.into(), workspace);
        let mut admission = AdmissionController::new(scenario.split);
        admission.configure(Time::ZERO, &config);
        Self {
            admission,
            incarnation,
            clock_rate,
            started_at: Time::ZERO,
            last_heartbeat: None,
        }
    }

    /// Returns the time by the instance's own clock.
    pub(super) fn local_time(&self, now: Time) -> Time {
        let elapsed_us = (now - self.started_at).as_micros() as f64 * self.clock_rate;
        Time::from_micros(elapsed_us as u64)
    }
}
