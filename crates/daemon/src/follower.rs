//! The task that follows the configuration and puts it in force.

use std::{sync::Arc, time::Duration};

use base::{Config, InstanceId, Time, config_digest};
use coord::{Freshness, Head, OfferOutcome, VersionTracker};
use entry::{
    message::Event,
    metrics::Metrics,
    view::{Clock, EntryPoint, View},
};
use platform::{
    Platform, PlatformError, Row,
    layout::{CONFIG_TABLE, HEAD_ROW, object_name},
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};
use wire::Secret;

use crate::{
    fleet::Fleet,
    message::{FollowerMessage, PeerCommand},
    rpc,
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const STANDING_INTERVAL: Duration = Duration::from_millis(200);
const STANDING_LIFE: Duration = Duration::from_secs(1);

/// Holds the channels to the tasks that the configuration is for.
#[derive(Debug)]
pub struct Outlets {
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The peers.
    pub peers: mpsc::Sender<PeerCommand>,
    /// What the handlers see.
    pub view: watch::Sender<Arc<View>>,
}

/// Follows the configuration.
#[derive(Debug)]
pub struct Follower {
    clock: Clock,
    platform: Platform,
    secret: Secret,
    metrics: Metrics,
    state: VersionTracker,
    config: Option<Arc<Config>>,
    own_entry: EntryPoint,
    fleet: watch::Receiver<Arc<Fleet>>,
    is_leaving: bool,
    outlets: Outlets,
}

/// Carries what a read of the head row found.
#[derive(Debug)]
struct Read {
    sent_at: Time,
    result: Result<Option<Row>, PlatformError>,
}

/// Carries a configuration that was fetched.
#[derive(Debug)]
struct Fetched {
    head: Head,
    confirmed_at: Option<Time>,
    text: Result<String, FetchFault>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchFault {
    Unavailable,
    Missing,
    WrongDigest,
}

impl FetchFault {
    fn text(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::Missing => "missing",
            Self::WrongDigest => "wrong digest",
        }
    }
}

/// Holds what a follower is made from.
#[derive(Debug)]
pub struct FollowerOptions {
    /// Clock of the process.
    pub clock: Clock,
    /// Platform that keeps the configuration.
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
}

impl Follower {
    /// Returns a follower with no configuration.
    pub fn new(options: FollowerOptions, outlets: Outlets) -> Self {
        Self {
            clock: options.clock,
            platform: options.platform,
            secret: options.secret,
            metrics: options.metrics,
            state: VersionTracker::new(options.confirm_limit),
            config: None,
            own_entry: options.own_entry,
            fleet: options.fleet,
            is_leaving: false,
            outlets,
        }
    }

    /// Follows the configuration until all senders of messages are gone.
    pub async fn run(mut self, mut rx: mpsc::Receiver<FollowerMessage>) {
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut standing = interval(STANDING_INTERVAL);
        standing.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (read_tx, mut reads) = mpsc::channel(4);
        let (fetch_tx, mut fetches) = mpsc::channel(4);
        let mut is_reading = false;
        let mut fetching: Option<Head> = None;
        loop {
            let wanted = tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.told(message),
                    None => return,
                },
                _ = poll.tick(), if !is_reading => {
                    is_reading = true;
                    tokio::spawn(read(self.clock, self.platform.clone(), read_tx.clone()));
                    None
                }
                Some(found) = reads.recv() => {
                    is_reading = false;
                    self.read(found)
                }
                Some(fetched) = fetches.recv() => {
                    fetching = None;
                    self.fetched(fetched);
                    None
                }
                _ = standing.tick() => None,
                Ok(()) = self.fleet.changed() => None,
            };
            if let Some((head, confirmed_at, from)) = wanted
                && fetching.as_ref() != Some(&head)
            {
                fetching = Some(head.clone());
                let source = Source {
                    platform: self.platform.clone(),
                    secret: self.secret.clone(),
                    peer: from.and_then(|id| self.fleet.borrow().members.get(&id)?.addr),
                };
                tokio::spawn(fetch(source, head, confirmed_at, fetch_tx.clone()));
            }
            self.publish().await;
        }
    }
}

type Wanted = Option<(Head, Option<Time>, Option<InstanceId>)>;

impl Follower {
    fn told(&mut self, message: FollowerMessage) -> Wanted {
        match message {
            FollowerMessage::Leave => {
                self.is_leaving = true;
                None
            }
            FollowerMessage::PeerPositions { .. } => None,
            FollowerMessage::PeerHead {
                from,
                head,
                confirmed_at,
            } => match self.state.classify_offer(&head) {
                OfferOutcome::Fetch => Some((head, confirmed_at, Some(from))),
                OfferOutcome::Active => {
                    if let Some(at) = confirmed_at {
                        self.state.on_confirmation(at, head.version);
                    }
                    None
                }
                OfferOutcome::Forked => {
                    self.alarm("config_forked", true);
                    None
                }
                OfferOutcome::Older | OfferOutcome::Rejected => None,
            },
        }
    }

    fn read(&mut self, found: Read) -> Wanted {
        self.alarm("store_unreachable", found.result.is_err());
        let row = found.result.ok()??;
        let head = Head {
            version: row.version,
            digest: row.value,
        };
        match self.state.classify_offer(&head) {
            OfferOutcome::Fetch => Some((head, Some(found.sent_at), None)),
            OfferOutcome::Active | OfferOutcome::Rejected => {
                self.state.on_confirmation(found.sent_at, head.version);
                None
            }
            OfferOutcome::Older => {
                self.alarm("config_store_older", true);
                None
            }
            OfferOutcome::Forked => {
                self.alarm("config_forked", true);
                None
            }
        }
    }

    fn fetched(&mut self, fetched: Fetched) {
        let Fetched {
            head,
            confirmed_at,
            text,
        } = fetched;
        let text = match text {
            Ok(text) => text,
            Err(fault) => {
                self.alarm("config_object_unusable", fault != FetchFault::Unavailable);
                tracing::warn!(
                    event = "config_not_fetched",
                    version = head.version,
                    reason = fault.text()
                );
                return;
            }
        };
        self.alarm("config_object_unusable", false);
        match serde_json::from_str::<Config>(&text) {
            Ok(config) => self.put_in_force(head, confirmed_at, config),
            Err(err) => {
                tracing::error!(event = "config_unreadable", version = head.version, reason = %err);
                self.state.reject(head);
            }
        }
        self.alarm("config_unreadable", self.state.rejected().is_some());
    }

    fn put_in_force(&mut self, head: Head, confirmed_at: Option<Time>, config: Config) {
        let version = head.version;
        let at = confirmed_at.unwrap_or(Time::ZERO);
        if !self.state.activate(at, head) {
            return;
        }
        let config = Arc::new(config);
        self.config = Some(config.clone());
        let _ = self.outlets.engine.send(Event::Config(config));
        tracing::info!(event = "config_in_force", version);
    }

    async fn publish(&mut self) {
        let now = self.clock.now();
        let fleet = self.fleet.borrow().clone();
        let (known, heard) = fleet.count_listed_and_heard(now);
        let standing = self.state.freshness(now, known, heard);
        let view = View {
            config: self
                .config
                .clone()
                .map(|config| (self.state.version(), config)),
            standing,
            entries: entries(
                now,
                &fleet,
                self.config.as_deref(),
                (!self.is_leaving).then_some(&self.own_entry),
            ),
            is_leaving: self.is_leaving,
        };
        let is_changed = {
            let old = self.outlets.view.borrow();
            old.standing != standing
                || old.entries != view.entries
                || old.is_leaving != view.is_leaving
                || old.config.as_ref().map(|(version, _)| *version)
                    != view.config.as_ref().map(|(version, _)| *version)
        };
        let until = now + STANDING_LIFE;
        let _ = self
            .outlets
            .engine
            .send(Event::Standing { standing, until });
        if is_changed {
            self.alarm("alone", standing == Freshness::Isolated);
            self.outlets.view.send_replace(Arc::new(view));
        }
        let command = PeerCommand::SetHead {
            head: self.state.active().cloned(),
            confirmed_at: self
                .state
                .confirmation_age(now)
                .map(|ago| Time::from_micros(now.as_micros() - ago.as_micros() as u64)),
        };
        let _ = self.outlets.peers.send(command).await;
    }

    fn alarm(&self, name: &str, is_on: bool) {
        self.metrics
            .facts
            .with_label_values(&[name])
            .set(i64::from(is_on));
    }
}

/// Returns the instances that callers may be sent to, `own` among them.
pub(crate) fn entries(
    now: Time,
    fleet: &Fleet,
    config: Option<&Config>,
    own: Option<&EntryPoint>,
) -> Vec<EntryPoint> {
    let is_drained = |entry: &EntryPoint| {
        config.is_some_and(|config| {
            config.drains.instances.contains(&entry.instance)
                || config.is_domain_drained(&entry.domain)
        })
    };
    let others = fleet.members.iter().filter_map(|(id, member)| {
        let is_serving = member.is_heard(now) && !member.is_leaving;
        is_serving.then_some(EntryPoint {
            instance: id.clone(),
            incarnation: member.incarnation?,
            domain: member.domain.clone(),
            addr: member.entry?,
        })
    });
    others
        .chain(own.cloned())
        .filter(|entry| !is_drained(entry))
        .collect()
}

async fn read(clock: Clock, platform: Platform, tx: mpsc::Sender<Read>) {
    let sent_at = clock.now();
    let result = platform.get(CONFIG_TABLE, HEAD_ROW).await;
    let _ = tx.send(Read { sent_at, result }).await;
}

/// Holds where a configuration can be fetched from.
struct Source {
    platform: Platform,
    secret: Secret,
    peer: Option<std::net::SocketAddr>,
}

async fn fetch(source: Source, head: Head, confirmed_at: Option<Time>, tx: mpsc::Sender<Fetched>) {
    let mut text = from_platform(&source.platform, &head).await;
    if text.is_err()
        && let Some(peer) = source.peer
        && let Some(found) = rpc::fetch_object(&source.secret, peer, &head.digest).await
        && config_digest(&found) == head.digest
    {
        text = Ok(found);
    }
    let fetched = Fetched {
        head,
        confirmed_at,
        text,
    };
    let _ = tx.send(fetched).await;
}

async fn from_platform(platform: &Platform, head: &Head) -> Result<String, FetchFault> {
    let text = platform
        .get_object(&object_name(&head.digest))
        .await
        .map_err(|_| FetchFault::Unavailable)?
        .ok_or(FetchFault::Missing)?;
    if config_digest(&text) == head.digest {
        Ok(text)
    } else {
        Err(FetchFault::WrongDigest)
    }
}
