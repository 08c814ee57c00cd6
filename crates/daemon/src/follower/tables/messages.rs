//! What the follower takes from other instances' heartbeats.

use std::time::Duration;

use base::InstanceId;
use coord::{Replica, rendezvous_draw};

use super::{ComposedConfig, PROMPT_SPACING, TableFollower};
use crate::{
    message::{FollowerMessage, TARGETS},
    table_logs::NewsSource,
    table_reads::ReadTiming,
};

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Handles a message and returns whether to publish the result at once.
    pub(super) fn handle_message(&mut self, message: FollowerMessage) -> bool {
        let now = self.options.clock.now();
        match message {
            FollowerMessage::Leave => self.is_leaving = true,
            FollowerMessage::PeerHead { .. } => return false,
            FollowerMessage::PeerRows { from, rows } => {
                self.record_rows(&from, rows);
                return false;
            }
            FollowerMessage::PeerDepartures { from, departures } => {
                let Some(table) = self.tables.get(TARGETS) else {
                    return false;
                };
                self.overlay.on_departures(now, &table.replica, &departures);
                return self.overlay_departures(now, NewsSource::Departures(from));
            }
            FollowerMessage::PeerRetained { from, entries } => {
                if let Some(table) = self.tables.get(TARGETS) {
                    self.overlay.on_retained(now, &table.replica, &entries);
                }
                return self.end_retention(now, NewsSource::Departures(from));
            }
            FollowerMessage::PeerPositions {
                from,
                positions,
                confirmed_at,
                change,
                reads,
            } => {
                let mut reported = self.tables.iter().zip(&positions);
                let is_up_to_date = reported.all(|(table, at)| *at <= table.replica.position());
                // Most heartbeats bring no update, so the rank is worked out only for those that do.
                let rank = (!is_up_to_date).then(|| self.fetch_rank(&from));
                if let Some(position) = positions.first() {
                    self.lateness.on_report(now, &from, *position, change);
                }
                if let Some(position) = positions.get(TARGETS) {
                    self.targets_lag.on_report(now, *position);
                    self.overlay.reported.on_later_rows(*position);
                }
                for (table, position) in self.tables.iter_mut().zip(positions) {
                    if let Some(rank) = rank {
                        table.catch_up.on_report(now, from.clone(), position, rank);
                    }
                    table.record_confirmation(&from, position, confirmed_at);
                    let contact_at = reads.map(|reads| reads.contact_at);
                    if let Some(at) = confirmed_at.max(contact_at) {
                        table.record_contact(at);
                    }
                }
                let failing = reads.filter(|reads| reads.is_failing);
                let turn = failing.map_or(Duration::ZERO, |_| self.prompt_turn(&from));
                let max_rest = self.read_timing().max_rest();
                if let (Some(table), Some(reads)) = (self.tables.get_mut(TARGETS), reads) {
                    table.record_reads_elsewhere(now, reads, max_rest, turn);
                }
                return false;
            }
        }
        true
    }

    pub(super) fn read_timing(&self) -> ReadTiming {
        let timing = self.options.read_timing;
        timing.confirming_within(self.options.apply)
    }

    /// Returns by how much this instance reads the store later than the first one where all learn that the reads of `from`
    /// fail.
    fn prompt_turn(&self, from: &InstanceId) -> Duration {
        let count = self.options.fleet.borrow().members.len();
        let draw = rendezvous_draw(self.options.own_entry.instance.as_str(), from);
        let max = PROMPT_SPACING * count.try_into().unwrap_or(u32::MAX);
        max.mul_f64(draw as f64 / u64::MAX as f64)
    }
}
