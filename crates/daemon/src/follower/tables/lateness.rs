//! Whether the instance knows of a later version of the operators' table than the one that it decides by.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceId, Time};
use coord::Lag;

use crate::{
    fleet::Fleet,
    table_logs::{Behind, log_behind, log_caught_up},
};

/// Fraction of the time within which a change must be in force for which an instance that knows of a
/// later version decides by its own; the rest is for the way of that knowledge.
const KNOWN_FRACTION: f64 = 2.0 / 3.0;

/// Follows since when the operators' table has been behind what others have.
#[derive(Debug)]
pub(super) struct Lateness {
    /// Time for which an instance that knows of a later version decides by its own.
    limit: Duration,
    lag: Lag,
    own_position: u64,
    /// Last positions that the others have reported.
    reported: BTreeMap<InstanceId, u64>,
    /// Whether the present time beyond the limit has been logged.
    is_logged: bool,
}

impl Lateness {
    /// Returns the state of an instance that has read nothing, where a change must be in force within `apply`.
    pub(super) fn within(apply: Duration) -> Self {
        Self {
            limit: apply.mul_f64(KNOWN_FRACTION),
            lag: Lag::default(),
            own_position: 0,
            reported: BTreeMap::new(),
            is_logged: false,
        }
    }

    /// Records the position that another instance reports.
    pub(super) fn on_report(&mut self, now: Time, from: &InstanceId, position: u64) {
        self.lag.on_report(now, position);
        self.reported.insert(from.clone(), position);
    }

    /// Records that an answer is arriving; one that began at no known time tells of nothing later.
    pub(super) fn on_arriving(&mut self, begun_at: Option<Time>) {
        match begun_at {
            Some(at) => self.lag.on_arriving(at),
            None => self.lag.on_read_failure(),
        }
    }

    /// Records that a read has failed.
    pub(super) fn on_read_failure(&mut self) {
        self.lag.on_read_failure();
    }

    /// Records that a read that was sent at `sent_at` has brought `position`.
    pub(super) fn on_read(&mut self, sent_at: Time, position: u64) {
        self.lag.on_read(sent_at, position);
    }

    /// Records the position of the own copy.
    pub(super) fn on_position(&mut self, position: u64) {
        self.own_position = position;
        self.lag.on_position(position);
    }

    /// Returns since when a later version has been known that can be had, and logs the begin and the end of
    /// the time beyond the limit.
    pub(super) fn assess(&mut self, now: Time, fleet: &Fleet) -> Option<Time> {
        self.reported.retain(|id, _| fleet.members.contains_key(id));
        let holders = self.holders(now, fleet);
        let since = self.lag.behind_since(holders > 0);
        let behind = Behind {
            known_position: self.lag.latest_report(),
            own_position: self.own_position,
            holders,
            is_arriving: self.lag.is_arriving(),
        };
        let is_over = since.is_some_and(|since| now - since >= self.limit);
        if is_over && !self.is_logged {
            log_behind(now, since, &behind);
        } else if !is_over && self.is_logged {
            log_caught_up(&behind);
        }
        self.is_logged = is_over;
        since
    }

    /// Returns the number of live instances that have reported a later position than the own one.
    fn holders(&self, now: Time, fleet: &Fleet) -> usize {
        let later = self.reported.iter();
        let later = later.filter(|(_, position)| **position > self.own_position);
        let is_alive = |id: &InstanceId| fleet.members.get(id).is_some_and(|one| one.is_alive(now));
        later.filter(|(id, _)| is_alive(id)).count()
    }
}
