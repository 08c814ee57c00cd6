//! What the follower makes of its tables for the other tasks: the configuration, how recent it is, and
//! the tables' positions.

use std::{collections::BTreeMap, sync::Arc};

use base::{Config, InstanceId, Position, TargetId, Time};
use coord::{Departure, Freshness, Replica};
use entry::{
    message::{Confirmation, Event},
    view::View,
};

use super::{
    ComposedConfig, News, Sent, TableFollower, Validity, departures::OverlayNews, table::Table,
};
use crate::{
    entry_points::{entry_points, preferred},
    fleet::Fleet,
    message::{PeerCommand, TARGETS},
    table_logs::{NewsSource, age_ms, log_rates, log_targets_left},
    table_reads::{ConcurrentRows, to_row_change},
};

/// Gauges of the time since the last own read of each table, in milliseconds, in the tables' order.
const TABLE_AGE_GAUGES: [&str; 2] = ["operator_rows_age_ms", "target_rows_age_ms"];

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Composes the configuration after `news`.
    pub(super) fn compose(&mut self, now: Time, news: &News) {
        if self
            .tables
            .iter()
            .any(|table| !table.replica.is_initialized())
        {
            return;
        }
        let replicas: Vec<&Replica> = self.tables.iter().map(|table| &table.replica).collect();
        let composed = (self.followed.compose)(&replicas);
        let used = composed.as_ref();
        self.is_latest = used.is_some_and(|one| one.is_latest && one.version >= self.version);
        let Some(composed) = composed else {
            tracing::error!(event = "config_unusable");
            return;
        };
        if composed.version < self.version {
            tracing::error!(event = "config_older", version = composed.version);
            return;
        }
        self.record_departures(now, news, &composed.config);
        let before = self.version;
        self.version = composed.version;
        let own_rows = Arc::new(composed.config);
        if self.version != before || !self.confirm_departures(&own_rows) {
            self.activate(now, news, before, &own_rows);
        }
        let snapshots = self
            .tables
            .iter()
            .map(|table| table.replica.snapshot().clone())
            .collect();
        self.snapshots.send_replace(Arc::new(snapshots));
    }

    /// Puts in force what the own rows and others say now of targets that have left, if that differs from what is; returns
    /// whether it does.
    pub(super) fn overlay_departures(&mut self, now: Time, source: NewsSource) -> bool {
        let Some(own_rows) = self.own_rows.clone() else {
            return false;
        };
        match self.overlay.news(&own_rows) {
            OverlayNews::None => return false,
            OverlayNews::Departures => {
                self.take_out(now, &own_rows, &source, self.targets_lag.behind_since());
                return true;
            }
            OverlayNews::Returns => {}
        }
        let news = News {
            source,
            known_at: self.confirmed_at(),
            targets_known_since: self.targets_lag.behind_since(),
            is_of_targets: true,
        };
        self.activate(now, &news, self.version, &own_rows);
        true
    }

    /// Takes the targets out of service that have left by rows after those that are arriving; returns whether there are any.
    pub(super) fn take_concurrent_rows(&mut self, now: Time, read: ConcurrentRows) -> bool {
        let Some(table) = self.tables.get(TARGETS) else {
            return false;
        };
        let own_position = table.replica.position();
        let rows = read.rows.iter();
        let later = rows.filter(|row| row.at > own_position);
        let last: BTreeMap<TargetId, Position> =
            later.map(|row| (row.row.as_str().into(), row.at)).collect();
        let mut ahead = table.replica.clone();
        let changes = read.rows.into_iter().map(to_row_change).collect();
        ahead.apply_changes(now, changes, read.position);
        let tables = self.tables.iter().enumerate();
        let replicas = tables.map(|(idx, table)| match idx {
            TARGETS => &ahead,
            _ => &table.replica,
        });
        let replicas: Vec<&Replica> = replicas.collect();
        let Some(composed) = (self.followed.compose)(&replicas) else {
            return false;
        };
        let config = composed.config;
        let is_available = |id: &TargetId| {
            let mut services = config.services.keys();
            services.any(|service| config.is_target_available(service, id))
        };
        let left = last.into_iter().filter(|(id, _)| !is_available(id));
        let left = left.map(|(target, position)| Departure { target, position });
        let left: Vec<Departure> = left.collect();
        self.overlay
            .on_concurrent_departures(now, &table.replica, &left);
        self.overlay_departures(now, NewsSource::ConcurrentRead)
    }

    /// Informs the engine alone, without another configuration, which targets others have reported to have left.
    fn take_out(
        &mut self,
        now: Time,
        own_rows: &Config,
        source: &NewsSource,
        known_since: Option<Time>,
    ) {
        let (left, position) = self.overlay.update(own_rows);
        if !left.is_empty() {
            log_targets_left(now, &left, position, source, known_since);
            let _ = self.outputs.engine.send(Event::TargetsLeft(left));
        }
    }

    /// Takes own rows that say no more than what is in force, or that targets have left, without another revision; returns
    /// whether that is all they say.
    fn confirm_departures(&mut self, own_rows: &Arc<Config>) -> bool {
        let Some(before) = &self.own_rows else {
            return false;
        };
        let Some(left) = own_rows.departures_since(before) else {
            return false;
        };
        if !self.overlay.confirm(own_rows, &left) {
            return false;
        }
        if !left.is_empty() {
            self.own_rows = Some(own_rows.clone());
            let event = Event::EntriesLeft(own_rows.clone(), left);
            let _ = self.outputs.engine.send(event);
        }
        true
    }

    /// Puts the configuration of the own rows in force, without the targets that others have reported to have left.
    fn activate(&mut self, now: Time, news: &News, before: u64, own_rows: &Arc<Config>) {
        let (left, position) = self.overlay.update(own_rows);
        if !left.is_empty() {
            log_targets_left(now, &left, position, &news.source, news.targets_known_since);
        }
        let config = self.overlay.apply(own_rows);
        self.revision += 1;
        let targets: usize = config
            .services
            .values()
            .map(|service| service.targets.len())
            .sum();
        let position_of = |idx: usize| {
            let table = self.tables.get(idx);
            table.map(|table| table.replica.position().version)
        };
        tracing::info!(
            event = "config_in_force",
            version = self.version,
            before,
            revision = self.revision,
            routes = config.routes.len(),
            targets,
            drained = ?config.drains.targets_in_domains,
            era = self.tables.first().map(|table| table.replica.position().era),
            position_of_operator = position_of(0),
            position_of_targets = position_of(TARGETS),
            source = %news.source,
            blind_ms = age_ms(now, news.known_at),
            known_ms = age_ms(now, self.lateness.own_known_since()),
        );
        log_rates(self.own_rows.as_deref(), &config);
        self.own_rows = Some(own_rows.clone());
        let version = Some(self.version);
        let event = Event::ConfigActivated { config, version };
        let _ = self.outputs.engine.send(event);
    }

    /// Records the targets that have left by the rows of `config`.
    fn record_departures(&mut self, now: Time, news: &News, config: &Config) {
        let (Some(before), Some(table)) = (&self.own_rows, self.tables.get(TARGETS)) else {
            return;
        };
        if !news.is_of_targets {
            return;
        }
        let position = table.replica.changed_at();
        let left = self.overlay.on_own_rows(now, before, config, position);
        if !left.is_empty() {
            log_targets_left(now, &left, position, &news.source, news.targets_known_since);
        }
    }

    /// Returns when the tables were last known to be the latest, each by an own read or by a heartbeat.
    pub(super) fn confirmed_at(&self) -> Option<Time> {
        let times = self.tables.iter().map(|table| {
            let confirmation = table.confirmation();
            confirmation.map(|confirmation| confirmation.at)
        });
        times.min().flatten()
    }

    /// Returns what last showed that the routes and keys are the latest; they are in the operators' table alone. Nothing
    /// does while its rows hold others, which can't be used. Those of targets have a date of their own.
    fn validity(&self) -> Validity {
        let latest = self.tables.first().and_then(Table::confirmation);
        let latest = latest.filter(|_| self.is_latest);
        let unwritten_until = self.unwritten_until(self.options.clock.now());
        let confirmation = latest.map(|latest| Confirmation {
            unwritten_until,
            ..latest
        });
        let at = confirmation.as_ref().map(|confirmation| confirmation.at);
        let refused_by = at.filter(|_| unwritten_until.is_none());
        Validity {
            refuse_until: refused_by.map_or(Time::ZERO, |at| at + self.options.refusal_time()),
            confirmation,
            targets_until: self.targets_until(),
        }
    }

    /// Returns until when no target that has left since its row was last known to be the latest has to be out of use.
    fn targets_until(&self) -> Time {
        let Some(table) = self.tables.get(TARGETS) else {
            return Time::NEVER;
        };
        let confirmation = table.confirmation();
        confirmation.map_or(Time::ZERO, |found| found.at + self.options.targets_time())
    }

    pub(super) fn publish(&mut self) {
        let now = self.options.clock.now();
        let fleet = self.options.fleet.borrow().clone();
        let confirmed_at = self.confirmed_at();
        let freshness = self.freshness(now, &fleet, confirmed_at);
        self.publish_age(now, confirmed_at);
        self.publish_kept(now);
        self.publish_lag(now, &fleet);
        if now < self.hearing_until && !self.may_decide(now) {
            return;
        }
        self.hearing_until = Time::ZERO;
        let own = (!self.is_leaving).then_some(&self.options.own_entry);
        let config = self.own_rows.clone();
        let entries = entry_points(now, &fleet, config.as_deref(), own);
        let view = View {
            entries: preferred(entries, config.as_deref(), |entry| {
                self.is_current(now, &entry.instance)
            }),
            config: config.map(|config| (self.revision, config)),
            departed: self.overlay.applied(),
            freshness,
            is_leaving: self.is_leaving,
        };
        self.outputs
            .publish(now, view, confirmed_at, self.validity());
        let positions: Vec<Position> = self
            .tables
            .iter()
            .map(|table| table.replica.changed_at())
            .collect();
        self.hand_out_tables(&positions);
        self.tell_departures(now);
        self.tell_retained();
        // Positions, of which some instances are informed at once, come after it.
        self.tell_rows();
        let current = Sent {
            positions,
            confirmed_at,
            change: self.lateness.known_change(now),
            reads: self.tables.get(TARGETS).and_then(|table| table.own_reads),
        };
        if self.last_sent.as_ref() != Some(&current) {
            let command = PeerCommand::SetTablePositions {
                positions: current.positions.clone(),
                confirmed_at: current.confirmed_at,
                change: current.change,
                reads: current.reads,
            };
            // What finds no room is reported with a later refresh; nothing may hold up the next read.
            if self.outputs.peers.try_send(command).is_ok() {
                self.last_sent = Some(current);
            }
        }
    }

    /// Informs the task that sends heartbeats which targets have left lately; positions, of which some instances are informed at
    /// once, come after it.
    fn tell_departures(&mut self, now: Time) {
        let Some(departures) = self.overlay.untold(now) else {
            return;
        };
        let command = PeerCommand::SetDepartures(departures.clone());
        if self.outputs.peers.try_send(command).is_ok() {
            self.overlay.told = departures;
        }
    }

    /// Tells it which entries are gone and retained, so that others know when that is over.
    fn tell_retained(&mut self) {
        let table = self.tables.get(TARGETS);
        let untold = table.and_then(|table| self.overlay.untold_retained(&table.replica));
        let Some(retained) = untold else {
            return;
        };
        let command = PeerCommand::SetRetained(retained.clone());
        if self.outputs.peers.try_send(command).is_ok() {
            self.overlay.told_retained = retained;
        }
    }

    /// Publishes the tables for other instances, if they have been informed of later positions than those of the
    /// published ones.
    fn hand_out_tables(&self, reported: &[Position]) {
        let is_older = {
            let published = self.snapshots.borrow();
            let mut pairs = published.iter().zip(reported);
            pairs.any(|(table, reported)| table.position < *reported)
        };
        if is_older {
            let tables = self.tables.iter();
            let snapshots = tables.map(|table| table.replica.snapshot().clone());
            let snapshots = Arc::new(snapshots.collect());
            self.snapshots.send_replace(snapshots);
        }
    }

    /// Returns whether an instance that has received nothing since the last confirmations may still decide.
    fn may_decide(&self, now: Time) -> bool {
        let confirmed_at = self.confirmed_at();
        let is_in_force = confirmed_at.is_some_and(|at| now <= at + self.options.refusal_time());
        is_in_force && now <= self.targets_until()
    }

    fn freshness(&self, now: Time, fleet: &Fleet, confirmed_at: Option<Time>) -> Freshness {
        if self.own_rows.is_none() {
            return Freshness::Empty;
        }
        if confirmed_at.is_some_and(|at| now - at <= self.options.confirm_limit) {
            return Freshness::Fresh;
        }
        let (listed, alive) = fleet.count_listed_and_alive(now);
        if listed > 0 && alive == 0 {
            Freshness::Isolated
        } else {
            Freshness::Unconfirmed
        }
    }

    /// Informs the engine, if that has changed, until when it may decide by the configuration.
    fn publish_lag(&mut self, now: Time, fleet: &Fleet) {
        let apply = self.options.apply;
        let operators = self.tables.first();
        let is_fetching = operators.is_some_and(|table| table.is_fetch_arriving(apply));
        let lag = self.lateness.assess(now, fleet, is_fetching);
        let behind_ms = age_ms(now, self.lateness.behind_since());
        self.set_gauge("config_behind_ms", behind_ms.unwrap_or(0));
        let behind_ms = age_ms(now, self.targets_lag.assess(now));
        self.set_gauge("targets_behind_ms", behind_ms.unwrap_or(0));
        let is_known = self.last_lag.is_some_and(|last| {
            last == lag || (last.outdated_from.is_none() && lag.outdated_from.is_none())
        });
        if !is_known {
            self.last_lag = Some(lag);
            let _ = self.outputs.engine.send(Event::ConfigBehind(lag));
        }
    }

    /// Returns whether an instance may still decide by its version, as far as this one knows.
    fn is_current(&self, now: Time, id: &InstanceId) -> bool {
        if *id == self.options.own_entry.instance {
            !self.lateness.is_outdated(now)
        } else {
            !self.lateness.is_other_outdated(id)
        }
    }

    pub(super) fn set_gauge(&self, name: &str, value: u64) {
        let gauges = &self.options.metrics.gauges;
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        gauges.with_label_values(&[name]).set(value);
    }

    /// Sets the gauges of the time since the last answer for each table, and since the configuration
    /// was last known to be the latest.
    fn publish_age(&self, now: Time, confirmed_at: Option<Time>) {
        let gauges = &self.options.metrics.gauges;
        let set = |name: &str, at| {
            let age = age_ms(now, at).and_then(|age| i64::try_from(age).ok());
            gauges.with_label_values(&[name]).set(age.unwrap_or(-1));
        };
        set("config_age_ms", confirmed_at);
        for (table, gauge) in self.tables.iter().zip(TABLE_AGE_GAUGES) {
            set(gauge, table.confirmed_at);
        }
    }
}
