//! What instances do at intervals: queues, load reports, region shares and reports to each other.

use base::Time;
use dispatch::{Action, Dispatcher, HealthReport, RegionShares};
use steer::Measurements;

use super::{REPORT_INTERVAL, STEERING_INTERVAL, TICK_INTERVAL};
use crate::service::{
    event::Event,
    state::{InstanceDispatcher, SERVICE, Simulation, region_name, target_name},
};

impl Simulation<'_> {
    pub(super) fn handle_tick(&mut self, now: Time) {
        for idx in 0..self.instances.len() {
            if let InstanceDispatcher::Product(dispatcher) = &mut self.instances[idx].dispatcher {
                let actions = dispatcher.tick(now);
                self.apply(now, idx, actions);
            } else {
                self.baseline_send_queued(now, idx);
            }
        }
        if now < self.end + self.scenario.deadline {
            self.push(now + TICK_INTERVAL, Event::Tick);
        }
    }

    /// Reports the load of each target to all instances and updates the region shares if due.
    pub(super) fn send_reports(&mut self, now: Time) {
        if now < self.end {
            self.push(now + REPORT_INTERVAL, Event::Report);
        }
        if !self.has_reports {
            return;
        }
        if now
            .as_micros()
            .is_multiple_of(STEERING_INTERVAL.as_micros() as u64)
            && now > Time::ZERO
        {
            self.update_region_shares(now);
        }
        for idx in 0..self.targets.len() {
            let target = &self.targets[idx];
            let in_flight = if self.underreporting_target == Some(idx) {
                0
            } else {
                target.running.len() as u32
            };
            let report = target.is_up.then_some(HealthReport {
                in_flight,
                is_leaving: target.is_leaving,
            });
            for instance in 0..self.instances.len() {
                self.deliver_report(now, instance, idx, report);
            }
        }
    }

    /// Updates each instance's region shares from the demand and capacity of all regions.
    pub(super) fn update_region_shares(&mut self, now: Time) {
        let mut measurements = Measurements::default();
        for instance in &mut self.instances {
            let rate = instance.arrived as f64 / STEERING_INTERVAL.as_secs_f64();
            instance.arrived = 0;
            *measurements
                .demand
                .entry(region_name(instance.region))
                .or_default() += rate;
            measurements
                .egress_capacity
                .insert(region_name(instance.region), f64::INFINITY);
        }
        let rate = f64::from(self.scenario.slots) / self.scenario.work.as_secs_f64();
        for target in &self.targets {
            let usable_rate = if target.is_up && !target.is_leaving {
                rate
            } else {
                0.0
            };
            *measurements
                .capacity
                .entry(region_name(target.region))
                .or_default() += usable_rate;
        }
        for instance in &mut self.instances {
            if let InstanceDispatcher::Product(dispatcher) = &mut instance.dispatcher {
                let shares = instance
                    .steering
                    .update(now.as_secs_f64(), &measurements)
                    .clone();
                dispatcher.set_region_shares(&SERVICE.into(), RegionShares { shares });
            }
        }
    }

    /// Passes a target's report to an instance; `None` means that the target is down.
    pub(super) fn deliver_report(
        &mut self,
        now: Time,
        instance: usize,
        target: usize,
        report: Option<HealthReport>,
    ) {
        match &mut self.instances[instance].dispatcher {
            InstanceDispatcher::Product(dispatcher) => {
                let name = target_name(target).into();
                let actions = dispatcher.report_health(now, &SERVICE.into(), &name, report);
                self.apply(now, instance, actions);
            }
            InstanceDispatcher::Baseline(baseline) => {
                baseline.reported_load[target] = report
                    .filter(|report| !report.is_leaving)
                    .map(|report| report.in_flight);
            }
        }
    }

    /// Reports a state of one instance to the other instances.
    pub(super) fn send_to_others<F>(&mut self, now: Time, from: usize, mut report: F)
    where
        F: FnMut(&mut Dispatcher) -> Vec<Action>,
    {
        for idx in 0..self.instances.len() {
            if let InstanceDispatcher::Product(dispatcher) = &mut self.instances[idx].dispatcher
                && idx != from
            {
                let actions = report(dispatcher);
                self.apply(now, idx, actions);
            }
        }
    }
}
