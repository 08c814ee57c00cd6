//! Targets that have left, while nothing else of the configuration changes.

use std::sync::Arc;

use base::{Config, ServiceId, TargetId, Time};

use super::Engine;

impl Engine {
    /// Takes targets out of service that others have reported to have left.
    pub(super) fn take_out(&mut self, now: Time, targets: &[TargetId]) {
        let actions = self.dispatcher.take_out(now, targets);
        self.apply_dispatch(now, actions);
    }

    /// Takes a configuration that differs from the one before by these targets alone, which have left.
    pub(super) fn apply_departures(
        &mut self,
        now: Time,
        config: Arc<Config>,
        left: &[(ServiceId, TargetId)],
    ) {
        for (_, target) in left {
            let mut services = config.services.values();
            if !services.any(|service| service.targets.contains_key(target)) {
                self.idle_connections.remove(target);
            }
        }
        let actions = self.dispatcher.apply_departures(now, &config, left);
        self.config = Some(config);
        self.apply_dispatch(now, actions);
    }
}
