//! What is done at times instead of on an event: fetches from other instances that are due, and the removal of expired
//! rows.

use std::time::Duration;

use base::Time;
use coord::Replica;
use tokio::sync::mpsc;

use super::{ComposedConfig, News, TableFollower};
use crate::{
    fleet::FleetMember, message::TARGETS, table_fetch::Source, table_logs::NewsSource,
    table_reads::TableRead,
};

/// Time between two refreshes unless one is due earlier.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Fetches tables of which other instances have reported a later position for [`super::PEER_FETCH_DELAYS`] and of
    /// which nothing is arriving from others, and removes rows whose grace period is over. While an own read is
    /// arriving, only parts are fetched.
    pub(super) fn refresh(&mut self, tx: &mpsc::Sender<(usize, TableRead)>) {
        let now = self.options.clock.now();
        let known_at = self.confirmed_at();
        let fleet = self.options.fleet.borrow().clone();
        let mut is_changed = false;
        for (idx, table) in self.tables.iter_mut().enumerate() {
            table.believe_overdue(now);
            is_changed |= table.replica.expire(now);
            let (name, position) = (&self.followed.tables[idx], table.replica.position());
            table.log_retention(now, name, &NewsSource::GracePeriod);
            table.log_kept(now, name, position, &NewsSource::GracePeriod);
            table.fetches.retain(|fetch| !fetch.task.is_finished());
            table.end_fetches_behind();
            table.make_room();
            let Some(from) = table.next_source(now, self.options.apply) else {
                continue;
            };
            let member = fleet.members.get(&from).filter(|one| one.takes_calls());
            let Some(addr) = member.and_then(|member| member.addr) else {
                table.catch_up.remove_source(&from);
                continue;
            };
            let takes_parts = member.is_some_and(FleetMember::takes_parts);
            let Some(way) = table.fetch_way(now, takes_parts) else {
                table.catch_up.postpone(now);
                continue;
            };
            let source = Source {
                secret: self.options.secret.clone(),
                addr,
                index: idx as u32,
                way,
            };
            table.start_fetch(now, from, source, tx.clone());
        }
        self.check_rows(now);
        self.end_retention(now, NewsSource::GracePeriod);
        if is_changed {
            if let Some(table) = self.tables.get(TARGETS) {
                self.overlay.on_replica(&table.replica);
            }
            // Rows of operators have none.
            let news = News {
                source: NewsSource::GracePeriod,
                known_at,
                targets_known_since: self.targets_lag.behind_since(),
                is_of_targets: true,
            };
            self.compose(now, &news);
        }
    }

    /// Takes the targets out of service whose entries are no longer retained by others, and returns whether there are any.
    pub(super) fn end_retention(&mut self, now: Time, source: NewsSource) -> bool {
        self.overlay.reported.end_retention(now) && self.overlay_departures(now, source)
    }

    /// Returns when [`Self::refresh`] is due after a last one at `refreshed_at`.
    pub(super) fn next_refresh(&self, refreshed_at: Time) -> Time {
        let due = self.tables.iter().flat_map(|table| {
            let expiry = table.replica.expires_at();
            // One that is due already waits for other fetches, which is looked after as usual.
            let whole = table.parts.whole_at().filter(|at| *at > refreshed_at);
            let fetch = table.catch_up.next_at();
            expiry.into_iter().chain(whole).chain(fetch)
        });
        let due = due.chain(self.overlay.reported.retention_ends_at());
        let usual = refreshed_at + REFRESH_INTERVAL;
        due.fold(usual, Time::min).max(refreshed_at)
    }
}
