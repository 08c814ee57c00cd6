//! The task that follows tables of the platform and activates the configuration composed from them.
//!
//! Each table is followed by long polling. Heartbeats carry the positions up to which an instance
//! has read; an instance that cannot reach the platform fetches newer tables from another instance.

mod departures;
mod eras;
mod fetching;
mod lateness;
mod messages;
mod publication;
mod refresh;
mod rows;
mod table;

use std::{sync::Arc, time::Duration};

use base::{Config, Position, Time};
use coord::{
    FetchDelays, Replica, RowOrder, RowsReport, Standstills, TableSnapshot, unordered_rows,
};
use entry::message::ConfigLag;
use tokio::{
    sync::{mpsc, watch},
    time::sleep_until,
};

pub(crate) use self::eras::KEPT_GAUGE;
use self::{
    departures::{Overlay, TargetsLag},
    eras::EraTimes,
    fetching::count_fault,
    lateness::Lateness,
    table::{OpenFetch, Table},
};
use super::{FRESHNESS_VALIDITY, FollowerOptions, Outputs, Validity};
use crate::{
    fleet::HEARING_TIME,
    message::{FollowerMessage, OwnReads, TARGETS, TableChange},
    table_logs::{NewsSource, log_concurrent_change, log_fetch, log_read_failure, log_standstill},
    table_reads::{ProbePace, ReaderOptions, TableRead, TableReader, to_row_change, to_snapshot},
};

/// Time to wait for the platform's own response before newer rows are fetched from another
/// instance.
const PEER_FETCH_DELAYS: FetchDelays = FetchDelays {
    min: Duration::from_millis(100),
    max: Duration::from_millis(400),
    retry: Duration::from_millis(300),
};
/// Maximum number of fetches of one table at the same time.
const MAX_FETCHES: usize = 3;
/// Time after the end of an outage of the platform for which rows that it removed are kept, counted from
/// where the answer that shows it began to arrive: targets may get requests only until their drain time
/// after that answer.
const REMOVED_ROW_GRACE: Duration = Duration::from_millis(1_800);
/// Time for each instance by which their reads of the store are apart where all of them learn that another one's fail.
const PROMPT_SPACING: Duration = Duration::from_millis(4);
/// Minimum time after each standstill for which callers wait for the first word of others or of the platform: what has come meanwhile is received within it.
const MIN_HEARING_TIME: Duration = Duration::from_millis(200);

/// Gives the other tasks one configuration for all followed tables.
#[derive(Debug, Clone, PartialEq)]
pub struct ComposedConfig {
    /// Version of the operators' part of the configuration.
    pub version: u64,
    /// Whether that part is what their rows hold now; they may hold one that can't be used.
    pub is_latest: bool,
    /// The configuration, including the registered targets.
    pub config: Config,
}

/// Names the tables to follow and composes a configuration from them.
#[derive(Debug, Clone)]
pub struct FollowedTables<F> {
    /// Names of the tables; the first one holds the operators' configuration, the second one the targets,
    /// whose rows bear their names.
    pub tables: Vec<String>,
    /// How contents of a row are compared after the platform was restored from an older copy, in the tables' order; where there
    /// is none, the copy's are taken.
    pub orders: Vec<RowOrder>,
    /// Returns the configuration, or `None` if the tables don't hold a usable one.
    pub compose: F,
}

/// Follows tables of the platform and composes the configuration from them.
#[derive(Debug)]
pub struct TableFollower<F> {
    options: FollowerOptions,
    outputs: Outputs,
    followed: FollowedTables<F>,
    /// Publishes the tables that other instances may fetch.
    snapshots: watch::Sender<Arc<Vec<TableSnapshot>>>,
    tables: Vec<Table>,
    /// Whether the first of the tables is behind.
    lateness: Lateness,
    /// Whether the second of the tables is behind.
    targets_lag: TargetsLag,
    last_lag: Option<ConfigLag>,
    /// Departures by the own rows, and those that others have reported.
    overlay: Overlay,
    /// What the own rows say; it is in force but for the targets that others have reported to have left.
    own_rows: Option<Arc<Config>>,
    version: u64,
    /// Whether what the operators' rows hold is in force.
    is_latest: bool,
    revision: u64,
    is_leaving: bool,
    last_sent: Option<Sent>,
    /// What the task that sends heartbeats was last informed of the tables' rows.
    told_rows: Vec<Option<RowsReport>>,
    standstills: Standstills,
    eras: EraTimes,
    /// Time until which this instance, which stood still, waits for a word that its configuration may still decide.
    hearing_until: Time,
}

/// What ended a wait of the follower.
#[derive(Debug)]
enum Wake {
    Message(FollowerMessage),
    Read(usize, TableRead),
    Refresh,
}

/// What was last reported to the task that sends heartbeats.
#[derive(Debug, Clone, PartialEq)]
struct Sent {
    positions: Vec<Position>,
    confirmed_at: Option<Time>,
    change: Option<TableChange>,
    reads: Option<OwnReads>,
}

/// What led to another configuration.
#[derive(Debug)]
struct News {
    source: NewsSource,
    /// Time at which the tables before it were last known to be the latest.
    known_at: Option<Time>,
    /// Since when later rows of targets than those before it had been known.
    targets_known_since: Option<Time>,
    /// Whether the targets' rows alone have changed.
    is_of_targets: bool,
}

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Creates a follower that has read nothing yet; `snapshots` publishes the tables that other
    /// instances may fetch.
    pub fn new(
        options: FollowerOptions,
        outputs: Outputs,
        followed: FollowedTables<F>,
        snapshots: watch::Sender<Arc<Vec<TableSnapshot>>>,
    ) -> Self {
        let tables = followed
            .tables
            .iter()
            .enumerate()
            .map(|(idx, _)| {
                // Removed rows of operators stay removed; targets may register again after an
                // outage.
                let grace_period = if idx == 0 {
                    Duration::ZERO
                } else {
                    REMOVED_ROW_GRACE
                };
                let order = followed.orders.get(idx).copied();
                Table::new(grace_period, order.unwrap_or(unordered_rows))
            })
            .collect();
        Self {
            lateness: Lateness::within(options.apply),
            targets_lag: TargetsLag::default(),
            last_lag: None,
            options,
            outputs,
            followed,
            snapshots,
            tables,
            overlay: Overlay::default(),
            own_rows: None,
            version: 0,
            is_latest: false,
            revision: 0,
            is_leaving: false,
            last_sent: None,
            told_rows: Vec::new(),
            standstills: Standstills::default(),
            eras: EraTimes::default(),
            hearing_until: Time::ZERO,
        }
    }

    /// Follows the tables until all message senders are dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<FollowerMessage>) {
        let (tx, mut reads) = mpsc::channel(16);
        for (idx, table) in self.followed.tables.iter().enumerate() {
            let reader = TableReader::new(ReaderOptions {
                clock: self.options.clock,
                lag: self.options.lag.clone(),
                platform: self.options.platform.clone(),
                table: table.clone(),
                timing: self.read_timing(),
                takes_rows_concurrently: idx == TARGETS,
                probes: (idx == TARGETS).then(|| ProbePace {
                    own: self.options.own_entry.instance.clone(),
                    fleet: self.options.fleet.clone(),
                }),
                apply: self.options.apply,
                advanced: self.tables[idx].advanced.subscribe(),
                failing_elsewhere: self.tables[idx].failing_elsewhere.subscribe(),
                read_anew: self.tables[idx].rows.read_anew.subscribe(),
            });
            tokio::spawn(reader.run(idx, tx.clone()));
        }
        let clock = self.options.clock;
        let mut eras = self.options.platform.era();
        let mut refreshed_at = clock.now();
        let mut woken_at = refreshed_at;
        loop {
            let refresh_at = self.next_refresh(refreshed_at);
            let event = tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => Wake::Message(message),
                    None => return,
                },
                Some((idx, read)) = reads.recv() => Wake::Read(idx, read),
                Ok(()) = eras.changed() => {
                    self.eras.record(clock.now(), *eras.borrow_and_update());
                    continue;
                }
                () = sleep_until(clock.instant(refresh_at)) => Wake::Refresh,
            };
            self.on_wake(refresh_at.max(woken_at));
            woken_at = clock.now();
            match event {
                // A confirmation by a heartbeat is published with the next refresh, but at once after a standstill.
                Wake::Message(message) => {
                    if !self.handle_message(message) && woken_at >= self.hearing_until {
                        continue;
                    }
                }
                Wake::Read(idx, read) => {
                    let read = self.refuse_unknown_era(read);
                    if !self.apply_read(idx, read) {
                        continue;
                    }
                }
                Wake::Refresh => {
                    refreshed_at = clock.now();
                    self.refresh(&tx);
                }
            }
            self.publish();
        }
    }
}

impl<F> TableFollower<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Notices whether this task, which was to run at `due` at the latest, stood still.
    fn on_wake(&mut self, due: Time) {
        let now = self.options.clock.now();
        if let Some(lasted) = self.standstills.on_wake(due, now) {
            log_standstill(&self.options.metrics, lasted);
            if lasted >= FRESHNESS_VALIDITY {
                self.hearing_until = now + self.hearing_time(due);
            }
            for table in &mut self.tables {
                table.replica.on_wake(due, now);
            }
        }
    }

    /// Returns how long this instance waits for a word after a standstill that began at `due`. One within such a wait ends
    /// it no sooner than what has come meanwhile is received, and doesn't begin it again.
    fn hearing_time(&self, due: Time) -> Duration {
        if self.hearing_until > Time::ZERO {
            let left = self.hearing_until - due;
            left.clamp(MIN_HEARING_TIME, HEARING_TIME)
        } else {
            HEARING_TIME
        }
    }

    /// Applies a read and returns whether to publish the result at once.
    fn apply_read(&mut self, idx: usize, read: TableRead) -> bool {
        let now = self.options.clock.now();
        let known_at = self.confirmed_at();
        let targets_known_since = self.targets_lag.behind_since();
        let has_left = self.keep_departures(now, idx, &read);
        let name = self.followed.tables[idx].as_str();
        let table = &mut self.tables[idx];
        let was_reachable = table.is_reachable;
        let before = table.replica.position();
        let mut source = NewsSource::Platform;
        let mut read_at = None;
        let is_changed = match read {
            TableRead::Arriving(arrival) => {
                if idx == 0 {
                    self.lateness.on_arriving(now, arrival.since, arrival.after);
                }
                let apply = self.options.apply;
                table.parts.on_arriving(now, &arrival, apply);
                return false;
            }
            TableRead::Later(later) => {
                log_concurrent_change(now, name, before, &later);
                if idx == 0 {
                    self.lateness.on_later(now, later);
                }
                return true;
            }
            TableRead::Concurrent(read) => return self.take_concurrent_rows(now, read),
            TableRead::Failed(failure) => {
                log_read_failure(now, name, before, table.confirmed_at, &failure);
                table.catch_up.on_read_failure();
                table.parts.on_read_failure(now);
                if idx == 0 {
                    let is_kept = failure.is_on_kept_connection;
                    self.lateness.on_read_failure(is_kept);
                }
                if failure.is_sign_of_outage() {
                    table.record_failure(now.before(failure.waited), now);
                }
                false
            }
            TableRead::Fetched(fetch) => {
                log_fetch(now, name, before, &fetch);
                table.fetches.retain(|open| open.asked_at != fetch.asked_at);
                table.parts.on_fetched(now, &fetch, table.advanced_at);
                count_fault(&self.options.metrics, &fetch.fetched);
                table.believe_reported();
                let found = fetch.fetched.table;
                // What it lacks counts as gone since a later position was first reported, however long the fetch has taken.
                let known_since = targets_known_since.filter(|_| idx == TARGETS);
                let deleted_by = known_since.map_or(now, |since| since.min(now));
                let is_changed = found.is_some_and(|found| {
                    let deleted_by = self.eras.deleted_by(before, found.position, deleted_by);
                    table.replica.replace(deleted_by, found)
                });
                if table.replica.position() > before {
                    table.rows.on_fetched(now);
                    if idx == 0 {
                        self.lateness.on_fetched(now, &fetch.from);
                    }
                }
                source = NewsSource::Instance(fetch.from);
                is_changed
            }
            TableRead::Snapshot(read) => {
                read_at = Some((read.sent_at(), read.position));
                table.believe_reported();
                table.record_answer(name, &read);
                table.rows.on_whole_read(now);
                let arrived_at = read.answer.arrived_at;
                let deleted_by = self.eras.deleted_by(before, read.position, arrived_at);
                let found = to_snapshot(read.rows, read.position);
                table.replica.restore(deleted_by, found)
            }
            TableRead::Changes(read) => {
                read_at = Some((read.sent_at(), read.position));
                table.record_answer(name, &read);
                let (sent_at, position) = (read.sent_at(), read.position);
                let changes = read.rows.into_iter().map(to_row_change).collect();
                let is_changed =
                    table
                        .replica
                        .apply_changes(read.answer.arrived_at, changes, position);
                table.settle_rows(sent_at, position);
                is_changed
            }
        };
        // The targets' table itself keeps to its own reads: what expires while these fail is retained.
        if let Some(reads) = table.own_reads.filter(|_| idx == TARGETS) {
            for table in &mut self.tables {
                table.record_contact(reads.contact_at);
            }
        }
        let table = &mut self.tables[idx];
        let position = table.replica.position();
        if position > before {
            table.advanced_at = now;
            table.parts.on_position();
        }
        if idx == 0 {
            self.lateness.on_replica(now, &table.replica);
            if let Some((sent_at, position)) = read_at {
                self.lateness.on_read(sent_at, position);
            }
        }
        if idx == TARGETS {
            if let Some((sent_at, read_position)) = read_at {
                self.targets_lag.on_read(sent_at, read_position);
                self.overlay.reported.on_read(sent_at, position);
            }
            self.targets_lag.on_position(position);
            self.overlay.on_replica(&table.replica);
        }
        if source == NewsSource::Platform {
            table.catch_up.on_read(now, position);
        } else {
            table.catch_up.on_position(now, position);
            if position > before {
                table.advanced.send_replace(position);
            }
        }
        if position > before && table.catch_up.next_at().is_none() {
            table.end_fetches();
        }
        if was_reachable != table.is_reachable {
            let is_reachable = table.is_reachable;
            tracing::info!(event = "store", table = name, is_reachable);
            self.options
                .metrics
                .set_alarm("store_unreachable", !is_reachable);
        }
        self.tables[idx].log_retention(now, &self.followed.tables[idx], &source);
        if self.tables[idx].log_kept(now, &self.followed.tables[idx], before, &source) {
            self.count_era();
        }
        if is_changed || has_left {
            let news = News {
                source,
                known_at,
                targets_known_since,
                is_of_targets: idx == TARGETS,
            };
            self.compose(now, &news);
        } else if idx == TARGETS {
            self.overlay_departures(now, NewsSource::OwnRows);
        }
        true
    }
}
