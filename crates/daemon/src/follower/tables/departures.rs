//! Targets that leave by their rows, and since when later rows of targets than the own ones have been known.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    slice,
    sync::Arc,
    time::Duration,
};

use base::{Config, Position, ServiceId, TargetId, Time};
use coord::{Departure, Departures, KnownChange, Lag, Replica, ReportedDepartures, RetainedEntry};

use crate::table_logs::{log_targets_behind, log_targets_caught_up};

/// Time for which later rows must have been known for a line about it.
const LONG_WAIT: Duration = Duration::from_secs(1);

/// Follows since when others have reported a later position of the targets' table than the own one.
#[derive(Debug, Default)]
pub(super) struct TargetsLag {
    lag: Lag,
    own_position: Position,
    /// Since when a present time of more than [`LONG_WAIT`] has lasted, once it has been logged.
    logged_since: Option<Time>,
}

impl TargetsLag {
    /// Records the position that another instance reports.
    pub(super) fn on_report(&mut self, now: Time, position: Position) {
        let change = KnownChange {
            position,
            since: now,
        };
        self.lag.on_report(now, change);
    }

    /// Records that a read that was sent at `sent_at` has brought `position`.
    pub(super) fn on_read(&mut self, sent_at: Time, position: Position) {
        self.lag.on_read(sent_at, position);
    }

    /// Records the position of the own copy.
    pub(super) fn on_position(&mut self, position: Position) {
        self.own_position = position;
        self.lag.on_position(position);
    }

    /// Returns since when later rows have been known.
    pub(super) fn behind_since(&self) -> Option<Time> {
        self.lag.behind_since(true)
    }

    /// Returns since when later rows have been known, and logs the begin and the end of a long time.
    pub(super) fn assess(&mut self, now: Time) -> Option<Time> {
        let since = self.behind_since();
        let long = since.filter(|since| now - *since >= LONG_WAIT);
        match (self.logged_since, long) {
            (None, Some(_)) => {
                log_targets_behind(now, long, self.lag.latest_report(), self.own_position);
                self.logged_since = long;
            }
            (Some(before), None) => {
                log_targets_caught_up(now, before, self.own_position);
                self.logged_since = None;
            }
            _ => {}
        }
        since
    }
}

/// Address and incarnation of a target.
type Life = (SocketAddr, Option<u64>);

/// How what others have reported differs from what is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OverlayNews {
    /// It doesn't.
    None,
    /// More targets have left.
    Departures,
    /// Some that are out of service are no longer reported, or the own rows say otherwise.
    Returns,
}

/// What this instance and others know of targets that have left.
#[derive(Debug, Default)]
pub(super) struct Overlay {
    /// Departures by the own rows.
    own: Departures,
    /// The lives that have left; `None` where a name represents several, of which an instance may have any.
    lives: BTreeMap<TargetId, Option<Life>>,
    /// Departures by rows that are lacking here.
    pub(super) reported: ReportedDepartures,
    /// Those of them that an own read during a transfer has brought.
    concurrent: BTreeSet<TargetId>,
    /// Targets that are out of service by what others have reported.
    applied: Arc<BTreeSet<TargetId>>,
    /// What was last reported to the task that sends heartbeats.
    pub(super) told: Arc<Vec<Departure>>,
    /// What it was last informed of: the entries that are gone and retained.
    pub(super) told_retained: Arc<Vec<RetainedEntry>>,
}

impl Overlay {
    /// Records the targets that have left by the own rows, which `before` had in service; returns them.
    pub(super) fn on_own_rows(
        &mut self,
        now: Time,
        before: &Config,
        after: &Config,
        position: Position,
    ) -> Vec<TargetId> {
        let left = left(before, after);
        for target in &left {
            let life = life_of(before, target);
            let known = self.lives.entry(target.clone()).or_insert(life);
            if *known != life {
                *known = None;
            }
        }
        self.own.record(now, left.clone(), position);
        let lives = &self.lives;
        self.own.withdraw(|target| {
            let life = lives.get(target).copied().flatten();
            life.is_some() && life == life_of(after, target)
        });
        let kept: BTreeSet<&TargetId> = self.own.iter().map(|one| &one.target).collect();
        self.lives.retain(|target, _| kept.contains(target));
        left
    }

    /// Records the own rows as they are now: where they reach what others have reported, they decide.
    pub(super) fn on_replica(&mut self, replica: &Replica) {
        let is_retained = |id: &TargetId| replica.is_retained(id.as_str());
        self.reported.on_position(replica.position(), is_retained);
        if self.concurrent.is_empty() {
            return;
        }
        let lacking: BTreeSet<&TargetId> = self.reported.targets().map(|(id, _)| id).collect();
        self.concurrent.retain(|target| lacking.contains(target));
    }

    /// Records departures that an own read during a transfer has brought: they count as if another instance had reported
    /// them, and are reported.
    pub(super) fn on_concurrent_departures(
        &mut self,
        now: Time,
        replica: &Replica,
        departures: &[Departure],
    ) {
        self.on_departures(now, replica, departures);
        let targets = departures.iter().map(|departure| departure.target.clone());
        self.concurrent.extend(targets);
    }

    /// Returns the targets that the own rows have in service, and others have reported to have left.
    pub(super) fn targets(&self, own_rows: &Config) -> BTreeSet<TargetId> {
        let services = || own_rows.services.keys();
        let reported = self.reported.targets().map(|(target, _)| target);
        let in_service = reported.filter(|target| {
            services().any(|service| own_rows.is_target_available(service, target))
        });
        in_service.cloned().collect()
    }

    /// Returns the latest position at which one of the targets has left.
    fn position_of(&self, targets: &[TargetId]) -> Position {
        let reported = self.reported.targets();
        let among = reported.filter(|(target, _)| targets.contains(*target));
        among
            .map(|(_, position)| position)
            .max()
            .unwrap_or_default()
    }

    /// Returns the departures of the last seconds if they aren't those that were reported last. Those that the own rows lack
    /// are the newest ones.
    pub(super) fn untold(&mut self, now: Time) -> Option<Arc<Vec<Departure>>> {
        self.own.expire(now);
        let concurrent = self.reported.targets();
        let concurrent = concurrent.filter(|(target, _)| self.concurrent.contains(*target));
        let concurrent = concurrent.map(|(target, position)| Departure {
            target: target.clone(),
            position,
        });
        let concurrent: Vec<Departure> = concurrent.collect();
        let is_told = concurrent
            .iter()
            .chain(self.own.iter())
            .eq(self.told.iter());
        (!is_told).then(|| Arc::new([concurrent, self.own.newest_first()].concat()))
    }

    /// Returns the entries that are gone and retained by the own rows if they aren't those that were reported last.
    pub(super) fn untold_retained(&self, replica: &Replica) -> Option<Arc<Vec<RetainedEntry>>> {
        let retained = replica.retained_until();
        let retained = retained.map(|(name, until)| RetainedEntry {
            target: name.into(),
            position: replica.changed_at(),
            until,
        });
        let retained: Vec<RetainedEntry> = retained.collect();
        (retained != *self.told_retained).then(|| Arc::new(retained))
    }

    /// Records entries that another instance retains.
    pub(super) fn on_retained(&mut self, now: Time, replica: &Replica, entries: &[RetainedEntry]) {
        for entry in entries {
            let own_position = replica.position_for(entry.target.as_str());
            let entry = slice::from_ref(entry);
            self.reported.on_retained(now, own_position, entry);
        }
    }

    /// Records departures that another instance has reported. Of what is retained here, those of the same life count,
    /// although the own rows have reached them.
    pub(super) fn on_departures(&mut self, now: Time, replica: &Replica, departures: &[Departure]) {
        for departure in departures {
            let own_position = replica.position_for(departure.target.as_str());
            let departure = slice::from_ref(departure);
            self.reported.on_report(now, own_position, departure);
        }
    }

    /// Returns the targets that are out of service by what others have reported.
    pub(super) fn applied(&self) -> Arc<BTreeSet<TargetId>> {
        self.applied.clone()
    }

    /// Returns what differs between what others have reported and what is in force.
    pub(super) fn news(&self, own_rows: &Config) -> OverlayNews {
        let targets = self.targets(own_rows);
        if targets == *self.applied {
            OverlayNews::None
        } else if targets.is_superset(&self.applied) {
            OverlayNews::Departures
        } else {
            OverlayNews::Returns
        }
    }

    /// Records that the own rows, which say no more than that `left` have left, decide about these, and returns whether
    /// nothing else that others have reported is over.
    pub(super) fn confirm(&mut self, own_rows: &Config, left: &[(ServiceId, TargetId)]) -> bool {
        let targets = self.targets(own_rows);
        let mut over = self.applied.difference(&targets);
        if over.any(|target| !left.iter().any(|(_, one)| one == target)) {
            return false;
        }
        if !self.applied.is_subset(&targets) {
            self.applied = Arc::new(self.applied.intersection(&targets).cloned().collect());
        }
        true
    }

    /// Records what others have reported, and returns the targets that it takes out of service beyond those of the last time, and
    /// the latest position at which one of them had left.
    pub(super) fn update(&mut self, own_rows: &Config) -> (Vec<TargetId>, Position) {
        let targets = self.targets(own_rows);
        let added: Vec<TargetId> = targets.difference(&self.applied).cloned().collect();
        let position = self.position_of(&added);
        self.applied = Arc::new(targets);
        (added, position)
    }

    /// Returns the own rows without the targets that are out of service by what others have reported.
    pub(super) fn apply(&self, own_rows: &Arc<Config>) -> Arc<Config> {
        if self.applied.is_empty() {
            return own_rows.clone();
        }
        // The end of a drain says nothing of the target itself, nor does the end of a report.
        let mut config = (**own_rows).clone();
        config.drains.targets.extend(self.applied.iter().cloned());
        Arc::new(config)
    }
}

/// Returns the life of a target that gets new requests by its entry.
fn life_of(config: &Config, id: &TargetId) -> Option<Life> {
    let services = config.services.iter();
    let mut targets =
        services.filter_map(|(service, known)| Some((service, known.targets.get(id)?)));
    let (_, target) = targets.find(|(service, _)| config.is_target_available(service, id))?;
    let incarnation = target.registered.map(|registered| registered.incarnation);
    Some((target.addr, incarnation))
}

/// Returns the targets that get new requests by the entries of `before` and by those of `after` no longer.
fn left(before: &Config, after: &Config) -> Vec<TargetId> {
    let services = before.services.iter();
    let targets = services.flat_map(|(id, service)| {
        let targets = service.targets.keys();
        targets.map(move |target| (id, target))
    });
    let left = targets.filter(|(service, target)| {
        before.is_target_available(service, target) && !after.is_target_available(service, target)
    });
    left.map(|(_, target)| target.clone()).collect()
}
