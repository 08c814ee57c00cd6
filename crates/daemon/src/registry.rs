//! The task that follows the platform's tables and puts what they say in force.
//!
//! Each table is followed by long polls. What one instance learns it tells the others with its
//! heartbeats; one that the platform turns away fetches the table from one of them.

use std::{sync::Arc, time::Duration};

use base::{Config, InstanceId, Time};
use coord::{Freshness, Replica, RowChange, TableSnapshot};
use entry::{
    message::Event,
    metrics::Metrics,
    view::{Clock, EntryPoint, View},
};
use platform::{Change, Platform, PlatformError};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep, sleep_until},
};
use wire::Secret;

use crate::{
    fleet::Fleet,
    follower::entries,
    message::{FollowerMessage, PeerCommand},
    rpc,
};

/// Time for which a poll waits for a change.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Time beyond the wait after which a poll counts as unanswered.
const POLL_SLACK: Duration = Duration::from_millis(500);
/// Time between two polls, so that changes that come together cost one poll.
const POLL_PAUSE: Duration = Duration::from_millis(100);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Time for which the platform is given the chance to tell what another instance knows already.
const FETCH_AFTER: Duration = Duration::from_millis(100);
/// Time for which a vanished row is kept after an outage.
const VANISHED_GRACE: Duration = Duration::from_millis(2_200);
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a standing is valid after it was worked out.
const STANDING_LIFE: Duration = Duration::from_secs(1);

/// Holds what the tables say, as the product's own configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ComposedConfig {
    /// Version of the operators' configuration.
    pub version: u64,
    /// The configuration, with the targets that are registered.
    pub config: Config,
}

/// Names the tables to follow and turns them into a configuration.
#[derive(Debug, Clone)]
pub struct FollowedTables<F> {
    /// Tables, the configuration's own first.
    pub tables: Vec<String>,
    /// Returns the configuration, or `None` where the tables don't hold a usable one.
    pub compose: F,
}

/// Holds what a registry is made from.
#[derive(Debug)]
pub struct RegistryOptions<F> {
    /// Clock of the process.
    pub clock: Clock,
    /// Platform that keeps the tables.
    pub platform: Platform,
    /// Secret of the deployment.
    pub secret: Secret,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// How long a confirmation counts.
    pub confirm_limit: Duration,
    /// This instance, as look-ups show it.
    pub own_entry: EntryPoint,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// What is followed.
    pub followed: FollowedTables<F>,
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The peers.
    pub peers: mpsc::Sender<PeerCommand>,
    /// What the handlers see.
    pub view: watch::Sender<Arc<View>>,
    /// What other instances may fetch.
    pub images: watch::Sender<Arc<Vec<TableSnapshot>>>,
}

/// Follows tables.
#[derive(Debug)]
pub struct Registry<F> {
    options: RegistryOptions<F>,
    tables: Vec<Table>,
    composed: Option<Arc<Config>>,
    version: u64,
    revision: u64,
    is_leaving: bool,
    told: Option<(Vec<u64>, Option<Time>)>,
    relayed_at: Option<Time>,
}

/// Holds one table's copy.
#[derive(Debug)]
struct Table {
    replica: Replica,
    confirmed_at: Option<Time>,
    /// Another instance that knows more, and since when that is known.
    ahead: Option<(InstanceId, Time)>,
    is_fetching: bool,
    is_reachable: bool,
}

/// Carries what was read of one table.
#[derive(Debug)]
enum Read {
    Changes(Vec<Change>, u64),
    Snapshot(Vec<Change>, u64),
    Failed,
    Fetched(Option<TableSnapshot>),
}

impl<F> Registry<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Returns a registry that has read nothing.
    pub fn new(options: RegistryOptions<F>) -> Self {
        let tables = options
            .followed
            .tables
            .iter()
            .enumerate()
            .map(|(idx, _)| Table {
                // Operators' rows vanish for good; targets' may be written anew.
                replica: Replica::new(if idx == 0 {
                    Duration::ZERO
                } else {
                    VANISHED_GRACE
                }),
                confirmed_at: None,
                ahead: None,
                is_fetching: false,
                is_reachable: false,
            })
            .collect();
        Self {
            options,
            tables,
            composed: None,
            version: 0,
            revision: 0,
            is_leaving: false,
            told: None,
            relayed_at: None,
        }
    }

    /// Follows the tables until all senders of messages are gone.
    pub async fn run(mut self, mut rx: mpsc::Receiver<FollowerMessage>) {
        let (tx, mut reads) = mpsc::channel(16);
        for (idx, table) in self.options.followed.tables.iter().enumerate() {
            let poll = poll(
                self.options.platform.clone(),
                table.clone(),
                idx,
                tx.clone(),
            );
            tokio::spawn(poll);
        }
        let mut reviewed_at = self.options.clock.now();
        loop {
            let clock = self.options.clock;
            tokio::select! {
                message = rx.recv() => match message {
                    // What a heartbeat confirms is told with the next review.
                    Some(message) => if !self.heard(message) { continue },
                    None => return,
                },
                Some((idx, read)) = reads.recv() => self.take(idx, read),
                () = sleep_until(clock.instant(reviewed_at + REVIEW_INTERVAL)) => {
                    reviewed_at = clock.now();
                    self.review(&tx);
                }
            }
            self.publish().await;
        }
    }
}

impl<F> Registry<F>
where
    F: FnMut(&[&Replica]) -> Option<ComposedConfig>,
{
    /// Takes in a message and returns whether others should be told at once.
    fn heard(&mut self, message: FollowerMessage) -> bool {
        let now = self.options.clock.now();
        match message {
            FollowerMessage::Leave => self.is_leaving = true,
            FollowerMessage::PeerHead { .. } => return false,
            FollowerMessage::PeerPositions {
                from,
                positions,
                confirmed_at,
            } => {
                let mut knows_no_more = true;
                for (table, position) in self.tables.iter_mut().zip(positions) {
                    let is_ahead = position > table.replica.position();
                    knows_no_more &= !is_ahead;
                    if is_ahead && table.ahead.is_none() {
                        table.ahead = Some((from.clone(), now));
                    }
                }
                if knows_no_more {
                    self.relayed_at = self.relayed_at.max(confirmed_at);
                }
                return false;
            }
        }
        true
    }

    fn take(&mut self, idx: usize, read: Read) {
        let now = self.options.clock.now();
        let table = &mut self.tables[idx];
        let was_reachable = table.is_reachable;
        let is_changed = match read {
            Read::Failed => {
                table.replica.on_read_failure(now);
                table.is_reachable = false;
                false
            }
            Read::Fetched(image) => {
                table.is_fetching = false;
                table.ahead = None;
                image.is_some_and(|image| table.replica.replace(now, image))
            }
            Read::Snapshot(rows, position) => {
                table.is_reachable = true;
                table.confirmed_at = Some(now);
                table.replica.replace(now, image(rows, position))
            }
            Read::Changes(changes, position) => {
                table.is_reachable = true;
                table.confirmed_at = Some(now);
                let changes = changes.into_iter().map(row_change).collect();
                table.replica.apply_changes(now, changes, position)
            }
        };
        if was_reachable != table.is_reachable {
            let name = self.options.followed.tables[idx].as_str();
            let is_reachable = table.is_reachable;
            tracing::info!(event = "store", table = name, is_reachable);
            self.alarm("store_unreachable", !is_reachable);
        }
        if is_changed {
            self.compose();
        }
    }

    /// Fetches what others know for longer, and ends kept rows.
    fn review(&mut self, tx: &mpsc::Sender<(usize, Read)>) {
        let now = self.options.clock.now();
        let fleet = self.options.fleet.borrow().clone();
        let mut is_changed = false;
        for (idx, table) in self.tables.iter_mut().enumerate() {
            is_changed |= table.replica.expire(now);
            let Some((from, since)) = table.ahead.clone() else {
                continue;
            };
            if now - since < FETCH_AFTER || table.is_fetching {
                continue;
            }
            let Some(addr) = fleet.members.get(&from).and_then(|member| member.addr) else {
                table.ahead = None;
                continue;
            };
            table.is_fetching = true;
            let (secret, tx) = (self.options.secret.clone(), tx.clone());
            tokio::spawn(async move {
                let found = rpc::fetch_table(&secret, addr, idx as u32).await;
                let _ = tx.send((idx, Read::Fetched(found))).await;
            });
        }
        if is_changed {
            self.compose();
        }
    }

    fn compose(&mut self) {
        if self
            .tables
            .iter()
            .any(|table| !table.replica.is_initialized())
        {
            return;
        }
        let replicas: Vec<&Replica> = self.tables.iter().map(|table| &table.replica).collect();
        let Some(composed) = (self.options.followed.compose)(&replicas) else {
            tracing::error!(event = "config_unusable");
            return;
        };
        if composed.version < self.version {
            tracing::error!(event = "config_older", version = composed.version);
            return;
        }
        self.revision += 1;
        let targets: usize = composed
            .config
            .services
            .values()
            .map(|service| service.targets.len())
            .sum();
        tracing::info!(
            event = "config_in_force",
            version = composed.version,
            before = self.version,
            revision = self.revision,
            routes = composed.config.routes.len(),
            targets,
            drained = ?composed.config.drains.targets_in_domains,
        );
        self.version = composed.version;
        log_rates(self.composed.as_deref(), &composed.config);
        let config = Arc::new(composed.config);
        self.composed = Some(config.clone());
        let _ = self.options.engine.send(Event::Config(config));
        let images = self
            .tables
            .iter()
            .map(|table| table.replica.snapshot().clone())
            .collect();
        self.options.images.send_replace(Arc::new(images));
    }

    /// Returns when nothing later was known to the tables' keeper, by own reads or others' word.
    fn confirmed_at(&self) -> Option<Time> {
        let own = self.tables.iter().map(|table| table.confirmed_at).min();
        own.flatten().max(self.relayed_at)
    }

    async fn publish(&mut self) {
        let now = self.options.clock.now();
        let fleet = self.options.fleet.borrow().clone();
        let confirmed_at = self.confirmed_at();
        let standing = self.standing(now, &fleet, confirmed_at);
        let until = now + STANDING_LIFE;
        let event = Event::Standing { standing, until };
        let _ = self.options.engine.send(event);
        let own = (!self.is_leaving).then_some(&self.options.own_entry);
        let config = self.composed.clone();
        let view = View {
            entries: entries(now, &fleet, config.as_deref(), own),
            config: config.map(|config| (self.revision, config)),
            standing,
            is_leaving: self.is_leaving,
        };
        let is_changed = {
            let old = self.options.view.borrow();
            old.standing != standing
                || old.entries != view.entries
                || old.is_leaving != view.is_leaving
                || old.config.as_ref().map(|(revision, _)| *revision) != Some(self.revision)
        };
        if is_changed {
            self.options.view.send_replace(Arc::new(view));
        }
        let positions: Vec<u64> = self
            .tables
            .iter()
            .map(|table| table.replica.position())
            .collect();
        let told = (positions, confirmed_at);
        if self.told.as_ref() != Some(&told) {
            self.told = Some(told.clone());
            let command = PeerCommand::SetTablePositions {
                positions: told.0,
                confirmed_at: told.1,
            };
            let _ = self.options.peers.send(command).await;
        }
    }

    fn standing(&self, now: Time, fleet: &Fleet, confirmed_at: Option<Time>) -> Freshness {
        if self.composed.is_none() {
            return Freshness::Empty;
        }
        if confirmed_at.is_some_and(|at| now - at <= self.options.confirm_limit) {
            return Freshness::Fresh;
        }
        let (known, heard) = fleet.count_listed_and_heard(now);
        if known > 0 && heard == 0 {
            Freshness::Isolated
        } else {
            Freshness::Unconfirmed
        }
    }

    fn alarm(&self, name: &str, is_on: bool) {
        let facts = &self.options.metrics.facts;
        facts.with_label_values(&[name]).set(i64::from(is_on));
    }
}

/// Tells which workspaces' rates have changed.
fn log_rates(old: Option<&Config>, new: &Config) {
    for (workspace, now) in &new.workspaces {
        let before = old.and_then(|old| old.workspaces.get(workspace));
        let is_same = before.is_some_and(|old| old.rate == now.rate && old.burst == now.burst);
        if !is_same {
            let (rate, burst) = (now.rate, now.burst);
            let before = before.map_or(0.0, |old| old.rate);
            tracing::info!(event = "rate", %workspace, rate, burst, before);
        }
    }
}

fn row_change(change: Change) -> RowChange {
    RowChange {
        name: change.row,
        value: change.value,
        position: change.at,
    }
}

fn image(rows: Vec<Change>, position: u64) -> TableSnapshot {
    let rows = rows
        .into_iter()
        .filter_map(|change| {
            let row = coord::ReplicaRow {
                value: change.value?,
                position: change.at,
            };
            Some((change.row, row))
        })
        .collect();
    TableSnapshot { rows, position }
}

/// Follows one table until nobody listens.
async fn poll(platform: Platform, table: String, idx: usize, tx: mpsc::Sender<(usize, Read)>) {
    let platform = platform.timeout(POLL_WAIT + POLL_SLACK);
    let mut position = None;
    let mut pause = FIRST_PAUSE;
    loop {
        let read = match position {
            None => platform
                .snapshot(&table)
                .await
                .map(|(rows, at)| (Read::Snapshot(rows, at), at)),
            Some(after) => platform
                .changes(&table, after, POLL_WAIT)
                .await
                .map(|(rows, at)| (Read::Changes(rows, at), at)),
        };
        let read = match read {
            Ok((read, at)) => {
                position = Some(at);
                pause = FIRST_PAUSE;
                read
            }
            Err(PlatformError::HistoryGone) => {
                position = None;
                continue;
            }
            Err(_) => Read::Failed,
        };
        let is_failed = matches!(read, Read::Failed);
        if tx.send((idx, read)).await.is_err() {
            return;
        }
        if is_failed {
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        } else {
            sleep(POLL_PAUSE).await;
        }
    }
}
