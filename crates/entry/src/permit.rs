//! Whether an attempt may still be sent when its connection is open.

use std::sync::{Arc, OnceLock};

use base::{AllowedRegions, InstanceId, RegionId, Time};
use tokio::sync::watch;

use crate::{caller::Caller, relay::Relay};

/// Permits an attempt to be sent for as long as its request may run in the target's region, and the follower's last
/// report holds.
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
    /// Time until which the follower's last report holds, if there is a follower.
    until: Option<watch::Receiver<Time>>,
    /// Where the sending is noted, and the configuration in force.
    noted: Option<(SendNote, watch::Receiver<u64>)>,
    /// Caller that must still wait for the answer.
    caller: Option<Caller>,
}

/// Notes when an attempt was sent; all clones share the note.
#[derive(Debug, Clone, Default)]
pub struct SendNote(Arc<OnceLock<Sent>>);

/// Records when an attempt was sent, by which configuration it was permitted, and over which connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// Time at which the request was given to an open connection.
    pub at: Time,
    /// Number of the configuration in force by then, counted by this process.
    pub revision: u64,
    /// Instance that carries the connection, if any.
    pub relay: Option<InstanceId>,
    /// Whether the connection was opened for the attempt.
    pub is_new: bool,
}

impl SendNote {
    /// Returns when the attempt was sent; `None` if it was not, or not yet.
    pub fn sent(&self) -> Option<Sent> {
        self.0.get().cloned()
    }
}

impl SendPermit {
    /// Returns a permit for a target in `region`, while `allowed` has that region.
    pub fn new(region: RegionId, allowed: watch::Receiver<AllowedRegions>) -> Self {
        Self {
            region,
            allowed,
            until: None,
            noted: None,
            caller: None,
        }
    }

    /// Sets where the sending is noted, with the number of the configuration in force by then.
    pub fn noted(mut self, note: SendNote, in_force: watch::Receiver<u64>) -> Self {
        self.noted = Some((note, in_force));
        self
    }

    /// Sets until when it may be sent without another report of the follower, as that changes.
    pub fn until(mut self, until: watch::Receiver<Time>) -> Self {
        self.until = Some(until);
        self
    }

    /// Sets the caller that must still wait for the answer.
    pub fn while_waiting(mut self, caller: Option<Caller>) -> Self {
        self.caller = caller;
        self
    }

    /// Returns whether nobody waits for the answer any more.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.caller.as_ref().is_some_and(Caller::has_left)
    }

    /// Returns whether the follower's last report holds at `now`. It may not after a standstill of the process, which
    /// the engine may notice later than an attempt's own task.
    pub fn is_valid(&self, now: Time) -> bool {
        let until = self.until.as_ref();
        until.is_none_or(|until| now <= *until.borrow())
    }

    /// Notes that the request is sent at `at`, over a connection that was opened for it if `is_new`.
    pub(crate) fn note_sending(&self, at: Time, relay: Option<&Relay>, is_new: bool) {
        if let Some((note, in_force)) = &self.noted {
            let _ = note.0.set(Sent {
                at,
                revision: *in_force.borrow(),
                relay: relay.map(|relay| relay.instance.clone()),
                is_new,
            });
        }
    }

    /// Returns whether the request may be sent now, over a connection that `relay` carries if there is
    /// one.
    pub fn covers(&self, relay: Option<&Relay>) -> bool {
        let allowed = self.allowed.borrow();
        allowed.contains(&self.region) && relay.is_none_or(|relay| allowed.contains(&relay.region))
    }
}
