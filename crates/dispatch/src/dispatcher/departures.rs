//! Targets that leave while nothing else of the configuration changes.

use std::collections::BTreeMap;

use base::{Config, ServiceId, TargetId, Time};

use super::{Dispatcher, configure_service_state, recalls};
use crate::{Action, ExclusionReason, pool::TargetContext};

impl Dispatcher {
    /// Takes targets out of service, as if operators had drained them, until the next configuration says
    /// otherwise; what is on them is recalled before anything is sent.
    ///
    /// # Examples
    ///
    /// ```
    /// use base::{Config, Time};
    /// use dispatch::{Dispatcher, Policy};
    ///
    /// let mut dispatcher = Dispatcher::new("north".into(), 1, Policy::default()).unwrap();
    /// dispatcher.configure(Time::ZERO, &Config::default());
    /// assert!(dispatcher.take_out(Time::ZERO, &["t1".into()]).is_empty());
    /// ```
    pub fn take_out(&mut self, now: Time, targets: &[TargetId]) -> Vec<Action> {
        let mut taken_out: BTreeMap<ServiceId, Vec<usize>> = BTreeMap::new();
        for (service, pool) in &mut self.pools {
            for id in targets {
                let Some(&idx) = pool.index.get(id) else {
                    continue;
                };
                let target = &mut pool.targets[idx];
                if target.is_configured_in_service() {
                    taken_out.entry(service.clone()).or_default().push(idx);
                }
                target.exclude(now, &self.chart, ExclusionReason::Drained, true);
            }
        }
        self.follow_departures(now, taken_out)
    }

    /// Applies the departures by which a configuration differs from the one before, and by nothing else.
    pub fn apply_departures(
        &mut self,
        now: Time,
        config: &Config,
        left: &[(ServiceId, TargetId)],
    ) -> Vec<Action> {
        let context = TargetContext {
            chart: &self.chart,
            instance_count: self.policy.instance_count,
            instance_seed: self.policy.instance_seed,
        };
        let mut taken_out: BTreeMap<ServiceId, Vec<usize>> = BTreeMap::new();
        for (id, target) in left {
            let Some(service) = config.services.get(id) else {
                continue;
            };
            let Some(pool) = self.pools.get_mut(id) else {
                continue;
            };
            let Some(&idx) = pool.index.get(target) else {
                continue;
            };
            if let Some(entry) = service.targets.get(target) {
                pool.apply_registration(now, idx, service, entry, &context);
            }
            let known = &mut pool.targets[idx];
            let of_service = (id, service.cold);
            if configure_service_state(now, &self.chart, config, of_service, known) {
                taken_out.entry(id.clone()).or_default().push(idx);
            }
        }
        self.follow_departures(now, taken_out)
    }

    /// Recalls what is on targets that have been taken out of service, and places what waits for them.
    fn follow_departures(
        &mut self,
        now: Time,
        taken_out: BTreeMap<ServiceId, Vec<usize>>,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if taken_out.is_empty() {
            return actions;
        }
        for (service, targets) in taken_out {
            let Some(pool) = self.pools.get(&service) else {
                continue;
            };
            let mut used = targets;
            used.retain(|idx| pool.targets[*idx].in_flight > 0);
            actions.extend(recalls(&self.entries, &service, &used));
        }
        actions.extend(self.refuse_unplaceable(now));
        actions.extend(self.assign_all(now));
        actions
    }
}
