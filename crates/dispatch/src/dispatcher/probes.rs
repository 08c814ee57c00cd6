//! Connections that show whether targets which are down can be reached again.

use base::{TargetId, Time};

use super::Dispatcher;
use crate::TargetEvent;

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

    /// Records whether a connection to a target could be opened, and returns whether the state of the
    /// path to the targets changed.
    pub fn record_probe(&mut self, now: Time, id: &TargetId, is_open: bool) -> bool {
        if is_open {
            self.record_reachable(now, id);
        }
        self.path.record_probe(now, is_open)
    }

    fn record_reachable(&mut self, now: Time, id: &TargetId) {
        for pool in self.pools.values_mut() {
            if let Some(&idx) = pool.index.get(id) {
                pool.targets[idx].apply_event(now, &self.chart, TargetEvent::Recovered);
            }
        }
    }
}
