//! Connections that show whether targets which are down can be reached again.

use base::{AllowedRegions, TargetId, Time};

use super::Dispatcher;
use crate::{Dial, PathState, TargetEvent};

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

    /// Returns whether no target of this one's service can be used. Then requests no longer show whether
    /// the path to the targets is lost, and only other instances can tell.
    pub fn is_service_down(&self, now: Time, id: &TargetId) -> bool {
        let pools = self.pools.values();
        pools
            .filter(|pool| pool.index.contains_key(id))
            .all(|pool| !pool.has_available_target(now, &AllowedRegions::All))
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
