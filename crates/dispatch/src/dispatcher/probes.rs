//! Connections that show whether targets which are down can be reached again.

use base::{TargetId, Time};

use super::Dispatcher;
use crate::TargetEvent;

impl Dispatcher {
    /// Returns the targets to which a connection is to be tried now.
    pub fn due_probes(&mut self, now: Time) -> Vec<TargetId> {
        let targets = self.pools.values_mut().flat_map(|pool| &mut pool.targets);
        targets
            .filter_map(|target| target.take_probe(now).then(|| target.id.clone()))
            .collect()
    }

    /// Records that a connection to a target could be opened.
    pub fn record_reachable(&mut self, now: Time, id: &TargetId) {
        for pool in self.pools.values_mut() {
            if let Some(&idx) = pool.index.get(id) {
                pool.targets[idx].apply_event(now, &self.chart, TargetEvent::Recovered);
            }
        }
    }
}
