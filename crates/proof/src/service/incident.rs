//! What goes wrong or is done.

use std::time::Duration;

use base::Time;
use rand::RngExt;

use super::{
    Incident,
    event::Event,
    world::{REPORT_INTERVAL, TICK, TargetSim, World},
};

/// Time after which an ended target is started again.
const RESTART: Duration = Duration::from_secs(2);

impl World<'_> {
    pub(super) fn begin(&mut self, now: Time, idx: usize) {
        match self.scenario.incidents[idx] {
            Incident::Flood(..) => {}
            Incident::DomainLost(region, domain, _) => {
                let lost: Vec<usize> =
                    self.targets_where(|target| target.region == region && target.domain == domain);
                lost.into_iter().for_each(|idx| self.end_target(now, idx));
            }
            Incident::RegionLost(region, _) => {
                let lost = self.targets_where(|target| target.region == region);
                lost.into_iter().for_each(|idx| self.end_target(now, idx));
                for instance in &mut self.instances {
                    instance.is_up &= instance.region != region;
                }
                self.drop_requests_of_lost();
            }
            Incident::Liar(target, _) => self.liar = Some(target),
            Incident::ReportsStop(_) => self.has_reports = false,
            Incident::Drain(target, _) => {
                self.targets[target].is_leaving = true;
                self.left_at = Some((target, now));
                self.push(now + REPORT_INTERVAL * 2, Event::CheckIdle(target));
            }
            Incident::Cold(_, length, extra) => self.cold = Some((now + length, extra)),
            Incident::Poison(..) => self.push(now, Event::Poison(idx)),
            Incident::Silent(share, _) => self.silence(share),
        }
    }

    fn targets_where<F>(&self, is_wanted: F) -> Vec<usize>
    where
        F: Fn(&TargetSim) -> bool,
    {
        (0..self.targets.len())
            .filter(|idx| is_wanted(&self.targets[*idx]))
            .collect()
    }

    /// Requests on a lost instance are not the decider's to save: they count neither way.
    fn drop_requests_of_lost(&mut self) {
        for request in self.requests.values_mut() {
            let is_open = !request.is_closed && request.arrived_at < self.end;
            if is_open && !self.instances[request.instance].is_up {
                let is_under_way =
                    request.arrived_at < self.queue.keys().next().map_or(self.end, |(at, _)| *at);
                request.is_closed = is_under_way;
            }
        }
    }

    fn silence(&mut self, share: f64) {
        for instance in &mut self.instances {
            for connections in instance.idle.values_mut() {
                for (_, is_silent) in connections {
                    *is_silent |= self.rng.random::<f64>() < share;
                }
            }
        }
    }

    pub(super) fn poison(&mut self, now: Time, idx: usize) {
        let Incident::Poison(_, interval) = self.scenario.incidents[idx] else {
            return;
        };
        // Ended targets are started again after a while.
        for target in &mut self.targets {
            target.is_up |=
                !target.is_leaving && now.as_micros().is_multiple_of(RESTART.as_micros() as u64);
        }
        self.schedule_request(0, now, true);
        if now + interval < self.end {
            self.push(now + interval, Event::Poison(idx));
        }
    }

    /// Ends a target that is leaving once nothing has run on it.
    pub(super) fn check_idle(&mut self, now: Time, idx: usize) {
        if !self.targets[idx].running.is_empty() {
            self.push(now + TICK, Event::CheckIdle(idx));
            return;
        }
        let left_at = self.left_at.map_or(now, |(_, at)| at);
        self.measures.drain_time = now - left_at;
        self.targets[idx].is_up = false;
    }
}
