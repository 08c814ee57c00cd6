//! Effects of the incidents.

use std::time::Duration;

use base::Time;
use rand::RngExt;

use super::{REPORT_INTERVAL, TICK_INTERVAL};
use crate::service::{
    event::Event,
    scenario::Incident,
    state::{SimulatedTarget, Simulation},
};

/// Targets that are down restart when a request that crashes targets is due at a multiple of this time.
const RESTART_INTERVAL: Duration = Duration::from_secs(2);

/// Time from the start of a target's drain to its end, whether or not it is idle then.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

impl Simulation<'_> {
    /// Applies the incident with this index.
    pub(super) fn begin_incident(&mut self, now: Time, idx: usize) {
        match self.scenario.incidents[idx] {
            Incident::Flood(..) => {}
            Incident::DomainLost(region, domain, _) => {
                let lost: Vec<usize> =
                    self.targets_where(|target| target.region == region && target.domain == domain);
                lost.into_iter().for_each(|idx| self.crash_target(now, idx));
            }
            Incident::RegionLost(region, _) => {
                let lost = self.targets_where(|target| target.region == region);
                lost.into_iter().for_each(|idx| self.crash_target(now, idx));
                for instance in &mut self.instances {
                    instance.is_up &= instance.region != region;
                }
                self.discard_requests_of_lost_instances();
            }
            Incident::UnderreportedLoad(target, _) => self.underreporting_target = Some(target),
            Incident::ReportsStop(_) => self.has_reports = false,
            Incident::Drain(target, _) => {
                self.targets[target].is_leaving = true;
                self.drain_started = Some((target, now));
                self.push(now + REPORT_INTERVAL * 2, Event::CheckIdle(target));
            }
            Incident::ColdStart(_, length, extra) => self.cold_start = Some((now + length, extra)),
            Incident::PoisonRequests(..) => self.push(now, Event::PoisonRequestDue(idx)),
            Incident::SilentConnections(share, _) => self.silence_connections(share),
        }
    }

    fn targets_where<F>(&self, is_wanted: F) -> Vec<usize>
    where
        F: Fn(&SimulatedTarget) -> bool,
    {
        (0..self.targets.len())
            .filter(|idx| is_wanted(&self.targets[*idx]))
            .collect()
    }

    /// Completes requests on crashed instances without counting them as answered or failed.
    ///
    /// They are lost whatever the strategy does.
    fn discard_requests_of_lost_instances(&mut self) {
        for request in self.requests.values_mut() {
            let is_open = !request.is_completed && request.arrived_at < self.end;
            if is_open && !self.instances[request.instance].is_up {
                let is_under_way =
                    request.arrived_at < self.queue.keys().next().map_or(self.end, |(at, _)| *at);
                request.is_completed = is_under_way;
            }
        }
    }

    /// Makes a share of the idle connections stop responding.
    fn silence_connections(&mut self, share: f64) {
        for instance in &mut self.instances {
            for connections in instance.idle.values_mut() {
                for (_, is_silent) in connections {
                    *is_silent |= self.rng.random::<f64>() < share;
                }
            }
        }
    }

    /// Restarts crashed targets if it is time to, sends a request that crashes targets, and schedules the next.
    pub(super) fn send_poison_request(&mut self, now: Time, idx: usize) {
        let Incident::PoisonRequests(_, interval) = self.scenario.incidents[idx] else {
            return;
        };
        for target in &mut self.targets {
            target.is_up |= !target.is_leaving
                && now
                    .as_micros()
                    .is_multiple_of(RESTART_INTERVAL.as_micros() as u64);
        }
        self.schedule_request(0, now, true);
        if now + interval < self.end {
            self.push(now + interval, Event::PoisonRequestDue(idx));
        }
    }

    /// Ends a leaving target if nothing runs on it, or checks it again after a tick.
    pub(super) fn check_idle(&mut self, now: Time, idx: usize) {
        let started_at = self.drain_started.map_or(now, |(_, at)| at);
        let running = self.targets[idx].running.len();
        if running == 0 {
            self.measures.drain_time = Some(now - started_at);
            self.targets[idx].is_up = false;
        } else if now - started_at >= DRAIN_LIMIT {
            self.measures.interrupted_by_drain += running as u64;
            self.crash_target(now, idx);
        } else {
            self.push(now + TICK_INTERVAL, Event::CheckIdle(idx));
        }
    }
}
