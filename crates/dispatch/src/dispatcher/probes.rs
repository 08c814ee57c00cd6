//! Connections that show whether targets which are down can be reached again.

use base::{TargetId, Time};

use super::{Dispatcher, paths::draw};
use crate::{Dial, PathState, TargetState};

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
    /// well: no target of its service in its region can be used, or any that is down may be back.
    ///
    /// Without a target no request shows any more whether the path to the targets is lost.
    pub fn due_shared_probe(&mut self, now: Time) -> Option<TargetId> {
        if !self.path.take_shared_probe(now) {
            return None;
        }
        let may_find_any = self.path.may_find_any(now);
        let mut down: Vec<&TargetId> = Vec::new();
        for pool in self.pools.values() {
            let available = pool.available_regions(now);
            let targets = pool.targets.iter();
            let tried = targets.filter(|target| {
                target.may_be_found(now) && (may_find_any || !available.contains(&target.region))
            });
            down.extend(tried.map(|target| &target.id));
        }
        draw(&mut self.rng, &down)
    }

    /// Records how a connection that no request waited for was opened, and returns whether the
    /// state of the path to the targets changed.
    pub fn record_probe(&mut self, now: Time, id: &TargetId, dial: Dial) -> bool {
        let was_down = self.is_down(id);
        if dial.direct == Some(true) || dial.relayed == Some(true) {
            self.record_reachable(now, id);
        }
        match self.path.state() {
            PathState::Direct => self.record_dial_to(now, id, dial),
            // That nobody reaches a target which is down says nothing of the path.
            PathState::Relayed
                if was_down && dial.direct != Some(true) && dial.relayed != Some(true) =>
            {
                false
            }
            PathState::Relayed => self.path.record_probe(now, dial.direct == Some(true)),
        }
    }

    fn is_down(&self, id: &TargetId) -> bool {
        let mut pools = self.pools.values();
        pools.any(|pool| {
            let idx = pool.index.get(id);
            idx.is_some_and(|&idx| pool.targets[idx].state() == TargetState::Down)
        })
    }

    fn record_reachable(&mut self, now: Time, id: &TargetId) {
        let mut is_found = false;
        for pool in self.pools.values_mut() {
            if let Some(&idx) = pool.index.get(id) {
                is_found |= pool.targets[idx].record_find(now, &self.chart);
            }
        }
        if is_found {
            self.path.record_find(now);
        }
    }
}
