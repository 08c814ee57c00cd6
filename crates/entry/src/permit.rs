//! Whether an attempt may still be sent when its connection is open.

use base::{AllowedRegions, RegionId};
use tokio::sync::watch;

use crate::connection::Relay;

/// Permits an attempt to be sent for as long as its request may run in the target's region.
///
/// # Examples
///
/// ```
/// use base::AllowedRegions;
/// use entry::permit::SendPermit;
/// use tokio::sync::watch;
///
/// let allowed = watch::Sender::new(AllowedRegions::All);
/// let permit = SendPermit::new("north".into(), allowed.subscribe());
/// assert!(permit.covers(None));
/// allowed.send_replace(AllowedRegions::only(&["south".into()].into()));
/// assert!(!permit.covers(None));
/// ```
#[derive(Debug, Clone)]
pub struct SendPermit {
    /// Region of the target.
    region: RegionId,
    allowed: watch::Receiver<AllowedRegions>,
}

impl SendPermit {
    /// Returns a permit for a target in `region`, while `allowed` has that region.
    pub fn new(region: RegionId, allowed: watch::Receiver<AllowedRegions>) -> Self {
        Self { region, allowed }
    }

    /// Returns whether the request may be sent now, over a connection that `relay` carries if there is
    /// one.
    pub fn covers(&self, relay: Option<&Relay>) -> bool {
        let allowed = self.allowed.borrow();
        allowed.contains(&self.region) && relay.is_none_or(|relay| allowed.contains(&relay.region))
    }
}
