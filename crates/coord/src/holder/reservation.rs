//! Reservations of the held slots, which the holder spends itself or lends to the owner.

use std::time::Duration;

use base::Time;

use super::{QuotaHolder, SlotHistory};
use crate::{Loan, OwnerId, TokenBucket};

/// Multiple of its demand that a holder does not lend, so that uneven arrivals find tokens.
const DEMAND_MARGIN: f64 = 1.25;

/// Tracks whether the holder of a slot may spend its reservation itself, or has lent it to an
/// owner.
#[derive(Debug, Clone)]
pub(super) struct Reservation {
    pub(super) bucket: TokenBucket,
    /// Time from which it may be spent: the end of the last loan and of the grants made from it.
    pub(super) usable_from: Time,
    pub(super) held_until: Time,
    pub(super) lent_to: Option<OwnerId>,
    pub(super) loan_count: u64,
}

impl QuotaHolder {
    /// Acquires a slot's reservations or renews the right to them, until a time.
    ///
    /// Reservations of a slot that was never held start full. Others start empty, and not before
    /// the previous holder has ended and the loans that it may have made are over.
    pub fn hold_slot(&mut self, now: Time, slot: u32, until: Time, history: SlotHistory) {
        for number in self.split.slot_reservations(slot) {
            self.hold_reservation(now, number, until, history);
        }
    }

    fn hold_reservation(&mut self, now: Time, number: u32, until: Time, history: SlotHistory) {
        if let Some(reservation) = self.reservations.get_mut(&number) {
            reservation.held_until = until;
            return;
        }
        // A reservation that is never lent has no outstanding loans.
        let (usable_from, bucket) = match history {
            SlotHistory::NeverHeld => (now, TokenBucket::full(now, self.reservation_quota)),
            SlotHistory::EndedBy(at) => {
                let is_never_lent = self.split.is_never_lent(number, self.reservation_quota);
                let wait = self.split.lender_wait();
                let usable_from = if is_never_lent { at } else { at + wait };
                (
                    usable_from,
                    TokenBucket::empty(usable_from, self.reservation_quota),
                )
            }
        };
        let reservation = Reservation {
            bucket,
            usable_from,
            held_until: until,
            lent_to: None,
            loan_count: 0,
        };
        self.reservations.insert(number, reservation);
    }

    /// Releases a slot's reservations.
    pub fn release_slot(&mut self, slot: u32) {
        for number in self.split.slot_reservations(slot) {
            self.reservations.remove(&number);
        }
    }

    /// Lends reservations to the owner and returns the loans.
    ///
    /// A lent reservation is not spent here until the loan and all grants made from it are over,
    /// and starts empty then. This holds whether or not the owner receives the loan. A reservation
    /// that is lent to another owner is lent again only when that loan is over.
    pub fn lend(&mut self, now: Time) -> Vec<Loan> {
        let Some(owner) = self.owner.clone() else {
            return Vec::new();
        };
        let wait = self.split.lender_wait();
        let retained = self.retained_count(now);
        let (split, quota) = (self.split, self.reservation_quota);
        self.reservations
            .iter_mut()
            .skip(retained)
            .filter(|(number, _)| !split.is_never_lent(**number, quota))
            .filter_map(|(number, reservation)| reservation.lend(now, *number, &owner, wait))
            .collect()
    }

    /// Returns the number of reservations, from the first one on, that this holder's own demand
    /// needs.
    fn retained_count(&mut self, now: Time) -> usize {
        if !self.split.lends_only_surplus || self.reservation_quota.burst < 1.0 {
            return 0;
        }
        let needed =
            self.demand.per_second(now) * DEMAND_MARGIN / self.reservation_quota.rate.max(1e-9);
        (needed.ceil() as usize).max(1)
    }

    /// Records that an owner no longer uses the reservations that were lent to it.
    pub fn on_loans_returned(&mut self, now: Time, owner: &OwnerId) {
        let usable_from = now + self.split.owner_grant_ttl();
        for reservation in self.reservations.values_mut() {
            if reservation.lent_to.as_ref() == Some(owner) && reservation.usable_from > usable_from
            {
                reservation.suspend_until(usable_from);
            }
        }
    }
}

impl Reservation {
    pub(super) fn is_usable(&self, now: Time) -> bool {
        now >= self.usable_from && now < self.held_until
    }

    pub(super) fn try_take(&mut self, now: Time) -> bool {
        self.is_usable(now) && self.bucket.try_take(now)
    }

    pub(super) fn lend(
        &mut self,
        now: Time,
        number: u32,
        to: &OwnerId,
        wait: Duration,
    ) -> Option<Loan> {
        let is_renewal = self.lent_to.as_ref() == Some(to) && now < self.usable_from;
        let is_lendable = now < self.held_until && (is_renewal || now >= self.usable_from);
        if !is_lendable || self.bucket.quota().rate <= 0.0 {
            return None;
        }
        let tokens = if is_renewal {
            0
        } else {
            self.bucket.level(now) as u32
        };
        self.suspend_until(now + wait);
        self.lent_to = Some(to.clone());
        self.loan_count += 1;
        Some(Loan {
            reservation: number,
            serial: self.loan_count,
            tokens,
        })
    }

    /// Makes the reservation unusable until a time, at which it is empty.
    pub(super) fn suspend_until(&mut self, until: Time) {
        self.usable_from = until;
        self.bucket = TokenBucket::empty(until, self.bucket.quota());
    }
}
