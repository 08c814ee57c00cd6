//! Which slot an instance acquires next.

use std::time::Duration;

use base::Time;
use coord::{Lease, LeaseState, rendezvous_rank};

use super::{Slots, SlotsOptions, rows::slot_name};
use crate::fleet::Fleet;

/// Time for which a slot must be free before an instance that holds one acquires it as a spare.
pub(super) const SPARE_ACQUIRE_DELAY: Duration = Duration::from_secs(10);

impl Slots {
    /// Chooses a slot of this instance's previous incarnation, a free slot, or one whose holder has
    /// ended.
    pub(super) fn first_slot(&self, now: Time, fleet: &Fleet) -> Option<u32> {
        if self.is_writing() {
            return None;
        }
        let own_id = &self.options.own_id;
        let own = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lease.may_take(now))
            .find(|(_, slot)| slot.lease.owner().is_some_and(|(owner, _)| owner == own_id))
            .map(|(idx, _)| *idx);
        let free: Vec<u32> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lease.state() == LeaseState::Free && slot.lease.may_take(now))
            .map(|(idx, _)| *idx)
            .collect();
        // Instances that start at the same time try different slots.
        let start =
            rendezvous_rank("slot", fleet.lease_candidates(now, own_id), own_id).unwrap_or(0);
        let first_free = (!free.is_empty()).then(|| free[start % free.len()]);
        let ended = || {
            self.slots
                .iter()
                .filter(|(_, slot)| slot.lease.may_take(now))
                .find(|(_, slot)| is_owner_gone(&self.options, fleet, &slot.lease))
                .map(|(idx, _)| *idx)
        };
        own.or(first_free).or_else(ended)
    }

    /// Chooses an unused slot for which this instance ranks first, if every instance has a slot.
    pub(super) fn spare_slot(&self, now: Time, fleet: &Fleet) -> Option<u32> {
        if fleet.without_slot(now).next().is_some() {
            return None;
        }
        let own_id = &self.options.own_id;
        self.slots
            .iter()
            .filter(|(_, slot)| {
                let is_due = |since| now - since >= SPARE_ACQUIRE_DELAY;
                slot.free_since.is_some_and(is_due)
                    || (is_owner_gone(&self.options, fleet, &slot.lease))
            })
            .filter(|(_, slot)| slot.lease.may_take(now))
            .map(|(idx, _)| *idx)
            .find(|idx| {
                rendezvous_rank(
                    &slot_name(*idx),
                    fleet.lease_candidates(now, own_id),
                    own_id,
                ) == Some(0)
            })
    }

    /// Returns whether a previous incarnation of this instance holds the slot, and nobody can have held it since.
    pub(super) fn is_own_previous(&self, idx: u32) -> bool {
        let slot = self.slots.get(&idx);
        let slot = slot.filter(|slot| slot.lease.is_of_present_era());
        let owner = slot.and_then(|slot| slot.lease.owner());
        owner.is_some_and(|(owner, incarnation)| {
            *owner == self.options.own_id && incarnation != self.options.incarnation
        })
    }
}

pub(super) fn is_owner_gone(options: &SlotsOptions, fleet: &Fleet, lease: &Lease) -> bool {
    options.trusts_absence
        && lease
            .owner()
            .is_some_and(|(owner, _)| *owner != options.own_id && fleet.is_gone(owner))
}
