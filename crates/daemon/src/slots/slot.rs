//! The lease of one slot, as this instance last read or wrote its row.

use base::Time;
use coord::{Lease, LeaseRow, LeaseState};
use platform::Row;

use super::SlotsOptions;

/// Tracks the lease of one slot; ignores reads that began before its last write was answered.
#[derive(Debug)]
pub(super) struct Slot {
    pub(super) lease: Lease,
    pub(super) write_answered_at: Time,
    pub(super) was_held: bool,
    /// Whether its last holder was a previous incarnation of this instance.
    pub(super) is_reclaimed: bool,
    pub(super) free_since: Option<Time>,
    /// Whether its lease was held as the present era began, and what became of it hasn't been logged.
    pub(super) is_unresolved: bool,
    /// Whether a line says that it isn't used until it is confirmed.
    pub(super) is_suspended: bool,
}

impl Slot {
    pub(super) fn new(options: &SlotsOptions) -> Self {
        Self {
            lease: Lease::new(
                options.chart.clone(),
                options.own_id.clone(),
                options.incarnation,
                options.lease_timing,
            ),
            write_answered_at: Time::ZERO,
            was_held: false,
            is_reclaimed: false,
            free_since: None,
            is_unresolved: false,
            is_suspended: false,
        }
    }

    /// Passes on that the table has been restored from an older copy.
    pub(super) fn on_era(&mut self, now: Time, era: u32) {
        let was_held = self.lease.is_held(now) || self.lease.is_unconfirmed(now);
        self.lease.on_era(now, era);
        self.free_since = None;
        self.is_unresolved |= was_held;
        self.is_suspended = false;
    }

    pub(super) fn observe(&mut self, now: Time, sent_at: Time, row: Option<&Row>) {
        let is_outdated =
            sent_at < self.write_answered_at || self.lease.state() == LeaseState::Writing;
        if is_outdated {
            return;
        }
        let parsed = row.and_then(|row| {
            let content: LeaseRow = serde_json::from_str(&row.value).ok()?;
            Some((row.version, content))
        });
        // A row that can't be parsed still belongs to some holder and is left unchanged.
        if row.is_some() && parsed.is_none() {
            return;
        }
        self.lease.on_read(now, parsed);
        let is_free = self.lease.state() == LeaseState::Free;
        self.free_since = is_free.then(|| self.free_since.unwrap_or(now));
    }
}
