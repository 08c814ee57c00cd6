//! Attempts at targets that a new configuration takes out of service.

use std::collections::BTreeSet;

use base::{AllowedRegions, Config, TargetId};
use tokio::sync::watch;

use super::Engine;

impl Engine {
    /// Withholds the attempts at targets that are out of service by the new configuration, unless they
    /// are sent already; others follow them.
    pub(super) fn recall_from_leaving(&mut self, old: &Config, new: &Config) {
        let left = leaving_targets(old, new);
        if left.is_empty() {
            return;
        }
        for id in self.dispatcher.requests_on(&left) {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let current = request.allowed_regions.borrow().clone();
            let later = watch::Sender::new(current);
            let earlier = std::mem::replace(&mut request.allowed_regions, later);
            earlier.send_replace(AllowedRegions::nowhere());
        }
    }
}

/// Returns the targets that were in service by the old configuration and are not by the new one.
fn leaving_targets(old: &Config, new: &Config) -> BTreeSet<TargetId> {
    let services = old.services.iter();
    services
        .flat_map(|(service, before)| before.targets.keys().map(move |id| (service, id)))
        .filter(|(service, id)| {
            old.is_target_in_service(service, id) && !new.is_target_in_service(service, id)
        })
        .map(|(_, id)| id.clone())
        .collect()
}
