//! Connections that show whether targets which are down can be reached again.

use base::{AllowedRegions, TargetId, Time};
use rand::RngExt;

use super::Dispatcher;
use crate::{Dial, PathState, TargetEvent, TargetState};

impl Dispatcher {
    /// Returns the targets to which a connection is to be tried now.
    pub fn due_probes(&mut self, now: Time) -> Vec<TargetId> {
        let path_probe = self.due_path_probe(now);
        let targets = self.pools.values_mut().flat_map(|pool| &mut pool.targets);
        targets
            .filter_map(|target| target.take_probe(now).then(|| target.id.clone()))
            .chain(path_probe)
            .collect()
    }

    /// Returns a target that is down and to which a connection is to be tried now, by other instances as
    /// well: no target of its service can be used, or they have just reached one that this instance can't.
    ///
    /// Without a target no request shows any more whether the path to the targets is lost.
    pub fn due_shared_probe(&mut self, now: Time) -> Option<TargetId> {
        if !self.path.take_shared_probe(now) {
            return None;
        }
        let is_suspected = self.path.is_suspected(now);
        let pools = self.pools.values();
        let down: Vec<&TargetId> = pools
            .filter(|pool| is_suspected || !pool.has_available_target(now, &AllowedRegions::All))
            .flat_map(|pool| &pool.targets)
            .filter(|target| target.state() == TargetState::Down)
            .map(|target| &target.id)
            .collect();
        let idx = self.rng.random_range(0..down.len().max(1));
        down.get(idx).map(|id| (*id).clone())
    }

    /// Records how a connection that no request waited for was opened, and returns whether the
    /// state of the path to the targets changed.
    pub fn record_probe(&mut self, now: Time, id: &TargetId, dial: Dial) -> bool {
        if dial.direct == Some(true) || dial.relayed == Some(true) {
            self.record_reachable(now, id);
        }
        match self.path.state() {
            PathState::Direct => self.record_dial_to(now, id, dial),
            PathState::Relayed => self.path.record_probe(now, dial.direct == Some(true)),
        }
    }

    fn record_reachable(&mut self, now: Time, id: &TargetId) {
        for pool in self.pools.values_mut() {
            if let Some(&idx) = pool.index.get(id) {
                pool.targets[idx].apply_event(now, &self.chart, TargetEvent::Recovered);
            }
        }
    }
}
