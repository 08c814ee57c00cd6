//! What becomes of the slots once the platform's store has been restored from an older copy, in a later era.

use std::time::Duration;

use base::Time;
use coord::{CONFIRM_TIME, LeaseRow, rendezvous_draw};
use platform::Row;

use super::Slots;

/// Number of instances that read and write their slots in each second after an era has begun.
const CONFIRMATIONS_PER_S: f64 = 100.0;

impl Slots {
    /// Passes to the latest era of the store, and returns whether a later one has begun.
    pub(super) fn follow_era(&mut self, now: Time) -> bool {
        let era = *self.era.borrow_and_update();
        if era <= self.settling.era() {
            return false;
        }
        self.settling.on_era(now, era);
        for slot in self.slots.values_mut() {
            slot.on_era(now, era);
        }
        true
    }

    /// Returns the delay after which this instance confirms its slots in a new era, so that the writes of all are spread.
    pub(super) fn confirm_delay(&self, now: Time) -> Duration {
        let own_id = &self.options.own_id;
        let count = self
            .options
            .fleet
            .borrow()
            .lease_candidates(now, own_id)
            .len();
        let spread = Duration::from_secs_f64(count as f64 / CONFIRMATIONS_PER_S);
        let drawn = rendezvous_draw("era", own_id) as f64 / u64::MAX as f64;
        spread.min(CONFIRM_TIME / 2).mul_f64(drawn)
    }

    /// Determines whether slots may be taken whose rows aren't of the present era.
    pub(super) fn settle(&mut self, now: Time, rows: &[(String, Row)]) {
        let fleet = self.options.fleet.borrow().clone();
        // A row that can't be read may be of any era.
        let since_eras = rows.iter().map(|(_, row)| {
            let content: Option<LeaseRow> = serde_json::from_str(&row.value).ok();
            content.map_or(0, |row| row.since_era)
        });
        self.settling.on_rows(since_eras, fleet.has_holder(now));
        let (era, ttl) = (self.settling.era(), self.options.lease_timing.ttl);
        let all_know = fleet.all_know_era(now, era, ttl);
        self.settling.on_others(now, all_know);
        let is_settled = self.settling.is_settled(now);
        if is_settled && !self.was_settled {
            let after_ms = (now - self.settling.learned_at()).as_millis() as u64;
            tracing::info!(event = "slots_settled", era, after_ms);
        }
        self.was_settled = is_settled;
        for slot in self.slots.values_mut() {
            let since_era = self.settling.since_era();
            slot.lease.set_settled(is_settled, since_era);
        }
    }

    /// Logs what has become of the slots that were held as the present era began, once for each.
    pub(super) fn log_confirmations(&mut self, now: Time) {
        let era = self.settling.era();
        let after_ms = (now - self.settling.learned_at()).as_millis() as u64;
        for (slot, state) in self.slots.iter_mut().filter(|(_, slot)| slot.is_unresolved) {
            let (lease, is_held) = (&state.lease, state.lease.is_held(now));
            let epoch = lease.held_epoch();
            if lease.is_unconfirmed(now) {
                if !is_held && !state.is_suspended {
                    state.is_suspended = true;
                    tracing::warn!(event = "slot_unconfirmed", slot, era, epoch, after_ms);
                }
                continue;
            }
            state.is_unresolved = false;
            if is_held {
                tracing::info!(event = "slot_confirmed", slot, era, epoch, after_ms);
            } else {
                let owner = lease.owner().map(|(owner, _)| owner.as_str());
                tracing::warn!(event = "slot_lost", slot, era, owner, after_ms);
            }
        }
    }
}
