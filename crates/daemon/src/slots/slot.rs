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
        }
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
