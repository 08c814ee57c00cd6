//! The task that follows the head row of the configuration and activates the object that it names.

use std::{sync::Arc, time::Duration};

use base::{Config, InstanceId, Time, config_digest};
use coord::{Freshness, Head, OfferOutcome, VersionTracker};
use entry::{
    message::Event,
    metrics::Metrics,
    view::{Clock, EntryPoint, View},
};
use platform::{
    Platform, PlatformError, Progress, Received, Row,
    layout::{CONFIG_TABLE, HEAD_ROW, object_name},
};
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};
use wire::Secret;

use super::{FollowerOptions, Outputs, Validity};
use crate::{
    entry_points::entry_points,
    fleet::Fleet,
    message::{FollowerMessage, PeerCommand},
    rpc,
};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time to wait for the head row, whatever the limit on the age of a confirmation.
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a byte after which a newer object is fetched in parallel with one that was requested before.
const MAX_FETCH_QUIET: Duration = Duration::from_millis(500);
const FRESHNESS_REFRESH_INTERVAL: Duration = Duration::from_millis(200);

/// Polls the head row, fetches new configurations and activates them.
#[derive(Debug)]
pub struct HeadFollower {
    clock: Clock,
    platform: Platform,
    read_timeout: Duration,
    refusal_time: Duration,
    targets_time: Duration,
    secret: Secret,
    metrics: Metrics,
    versions: VersionTracker,
    config: Option<Arc<Config>>,
    own_entry: EntryPoint,
    fleet: watch::Receiver<Arc<Fleet>>,
    is_leaving: bool,
    outputs: Outputs,
}

/// Carries the result of reading the head row.
#[derive(Debug)]
struct HeadRead {
    sent_at: Time,
    result: Result<Option<Row>, PlatformError>,
}

/// Carries the result of fetching a configuration object.
#[derive(Debug)]
struct Fetched {
    head: Head,
    confirmed_at: Option<Time>,
    text: Result<String, FetchError>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FetchError {
    Unavailable,
    Missing,
    WrongDigest,
}

impl FetchError {
    fn reason(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::Missing => "missing",
            Self::WrongDigest => "wrong digest",
        }
    }
}

impl HeadFollower {
    /// Creates a follower without a configuration.
    pub fn new(options: FollowerOptions, outputs: Outputs) -> Self {
        Self {
            refusal_time: options.refusal_time(),
            targets_time: options.targets_time(),
            clock: options.clock,
            platform: options.platform,
            read_timeout: options
                .read_timing
                .max_silence()
                .saturating_sub(POLL_INTERVAL)
                .min(MAX_READ_TIMEOUT),
            secret: options.secret,
            metrics: options.metrics,
            versions: VersionTracker::new(options.confirm_limit),
            config: None,
            own_entry: options.own_entry,
            fleet: options.fleet,
            is_leaving: false,
            outputs,
        }
    }

    /// Follows the configuration until all message senders are dropped.
    pub async fn run(mut self, mut rx: mpsc::Receiver<FollowerMessage>) {
        let mut poll_tick = interval(POLL_INTERVAL);
        poll_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut freshness_tick = interval(FRESHNESS_REFRESH_INTERVAL);
        freshness_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let (read_tx, mut reads) = mpsc::channel(4);
        let (fetch_tx, mut fetches) = mpsc::channel::<Fetched>(4);
        let mut is_reading = false;
        let mut fetching: Option<OpenFetch> = None;
        let mut next: FetchRequest = None;
        loop {
            let request = tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                _ = poll_tick.tick(), if !is_reading => {
                    is_reading = true;
                    let platform = self.platform.clone().timeout(self.read_timeout);
                    tokio::spawn(read_head_row(self.clock, platform, read_tx.clone()));
                    None
                }
                Some(read) = reads.recv() => {
                    is_reading = false;
                    self.handle_read(read)
                }
                Some(fetched) = fetches.recv() => {
                    fetching = fetching.filter(|open| open.head != fetched.head);
                    self.handle_fetched(fetched);
                    let is_wanted = |head: &Head| self.versions.classify_offer(head) == OfferOutcome::Fetch;
                    next.take().filter(|(head, ..)| is_wanted(head))
                }
                _ = freshness_tick.tick() => None,
                Ok(()) = self.fleet.changed() => None,
            };
            if let Some(request) = request {
                match &fetching {
                    Some(open) if open.head == request.0 => {}
                    Some(open) if open.is_arriving() => next = Some(newer(next, request)),
                    _ => fetching = Some(self.start_fetch(request, &fetch_tx)),
                }
            }
            self.publish().await;
        }
    }
}

/// Names the head to fetch, when it was known to be the latest, and the instance that reported it.
type Wanted = (Head, Option<Time>, Option<InstanceId>);
type FetchRequest = Option<Wanted>;

/// A fetch of a configuration object that has not ended.
#[derive(Debug)]
struct OpenFetch {
    head: Head,
    received: watch::Receiver<Received>,
}

impl OpenFetch {
    /// Returns whether the object is arriving, or was requested just now: a newer one that was fetched in
    /// parallel would share the link with it, and neither would be complete sooner.
    fn is_arriving(&self) -> bool {
        let received = *self.received.borrow();
        received.quiet_time() < MAX_FETCH_QUIET && !received.is_slow()
    }
}

/// Returns the request for the later version.
fn newer(known: FetchRequest, request: Wanted) -> Wanted {
    known
        .filter(|known| known.0.version > request.0.version)
        .unwrap_or(request)
}

impl HeadFollower {
    fn start_fetch(&self, (head, at, from): Wanted, tx: &mpsc::Sender<Fetched>) -> OpenFetch {
        let progress = Progress::start();
        let received = progress.received();
        let source = FetchSource {
            platform: self.platform.clone().progress(progress.clone()),
            secret: self.secret.clone(),
            peer: from.and_then(|id| self.fleet.borrow().members.get(&id)?.addr),
            progress,
        };
        tokio::spawn(fetch(source, head.clone(), at, tx.clone()));
        OpenFetch { head, received }
    }

    fn handle_message(&mut self, message: FollowerMessage) -> FetchRequest {
        match message {
            FollowerMessage::Leave => {
                self.is_leaving = true;
                None
            }
            FollowerMessage::PeerRetained { .. }
            | FollowerMessage::PeerPositions { .. }
            | FollowerMessage::PeerDepartures { .. }
            | FollowerMessage::PeerRows { .. } => None,
            FollowerMessage::PeerHead {
                from,
                head,
                confirmed_at,
            } => match self.versions.classify_offer(&head) {
                OfferOutcome::Fetch => Some((head, confirmed_at, Some(from))),
                OfferOutcome::Active => {
                    if let Some(at) = confirmed_at {
                        self.versions.on_confirmation(at, head.version);
                    }
                    None
                }
                OfferOutcome::Forked => {
                    self.metrics.set_alarm("config_forked", true);
                    None
                }
                OfferOutcome::Older | OfferOutcome::Rejected => None,
            },
        }
    }

    fn handle_read(&mut self, read: HeadRead) -> FetchRequest {
        self.metrics
            .set_alarm("store_unreachable", read.result.is_err());
        let row = read.result.ok()??;
        let head = Head {
            version: row.version.version,
            digest: row.value,
        };
        match self.versions.classify_offer(&head) {
            OfferOutcome::Fetch => Some((head, Some(read.sent_at), None)),
            OfferOutcome::Active | OfferOutcome::Rejected => {
                self.versions.on_confirmation(read.sent_at, head.version);
                None
            }
            OfferOutcome::Older => {
                self.metrics.set_alarm("config_store_older", true);
                None
            }
            OfferOutcome::Forked => {
                self.metrics.set_alarm("config_forked", true);
                None
            }
        }
    }

    fn handle_fetched(&mut self, fetched: Fetched) {
        let Fetched {
            head,
            confirmed_at,
            text,
        } = fetched;
        let text = match text {
            Ok(text) => text,
            Err(err) => {
                self.metrics
                    .set_alarm("config_object_unusable", err != FetchError::Unavailable);
                tracing::warn!(
                    event = "config_not_fetched",
                    version = head.version,
                    reason = err.reason()
                );
                return;
            }
        };
        self.metrics.set_alarm("config_object_unusable", false);
        match serde_json::from_str::<Config>(&text) {
            Ok(config) => self.activate(head, confirmed_at, config),
            Err(err) => {
                tracing::error!(event = "config_unreadable", version = head.version, reason = %err);
                self.versions.reject(head);
            }
        }
        self.metrics
            .set_alarm("config_unreadable", self.versions.rejected().is_some());
    }

    fn activate(&mut self, head: Head, confirmed_at: Option<Time>, config: Config) {
        let version = head.version;
        let at = confirmed_at.unwrap_or(Time::ZERO);
        if !self.versions.activate(at, head) {
            return;
        }
        let config = Arc::new(config);
        self.config = Some(config.clone());
        let event = Event::ConfigActivated {
            config,
            version: Some(version),
        };
        let _ = self.outputs.engine.send(event);
        tracing::info!(event = "config_in_force", version);
    }

    async fn publish(&mut self) {
        let now = self.clock.now();
        let fleet = self.fleet.borrow().clone();
        let (listed, alive) = fleet.count_listed_and_alive(now);
        let freshness = self.versions.freshness(now, listed, alive);
        let view = View {
            config: self
                .config
                .clone()
                .map(|config| (self.versions.version(), config)),
            departed: Arc::default(),
            freshness,
            entries: entry_points(
                now,
                &fleet,
                self.config.as_deref(),
                (!self.is_leaving).then_some(&self.own_entry),
            ),
            is_leaving: self.is_leaving,
        };
        let confirmed_at = self.versions.confirmed_at();
        let until = |time| confirmed_at.map_or(Time::ZERO, |at| at + time);
        let validity = Validity {
            refuse_until: until(self.refusal_time),
            confirmation: None,
            targets_until: until(self.targets_time),
        };
        if self.outputs.publish(now, view, confirmed_at, validity) {
            self.metrics
                .set_alarm("alone", freshness == Freshness::Isolated);
        }
        let command = PeerCommand::SetHead {
            head: self.versions.active().cloned(),
            confirmed_at,
        };
        let _ = self.outputs.peers.send(command).await;
    }
}

async fn read_head_row(clock: Clock, platform: Platform, tx: mpsc::Sender<HeadRead>) {
    let sent_at = clock.now();
    let result = platform.get(CONFIG_TABLE, HEAD_ROW).await;
    let _ = tx.send(HeadRead { sent_at, result }).await;
}

/// Names where to fetch a configuration object: the platform, then the instance that reported it.
struct FetchSource {
    platform: Platform,
    secret: Secret,
    peer: Option<std::net::SocketAddr>,
    progress: Progress,
}

async fn fetch(
    source: FetchSource,
    head: Head,
    confirmed_at: Option<Time>,
    tx: mpsc::Sender<Fetched>,
) {
    let mut text = fetch_from_platform(&source.platform, &head).await;
    if text.is_err()
        && let Some(peer) = source.peer
    {
        let (secret, progress) = (&source.secret, &source.progress);
        progress.on_sent();
        let object = rpc::fetch_object(secret, peer, &head.digest, progress).await;
        if let Some(object) = object.filter(|object| config_digest(object) == head.digest) {
            text = Ok(object);
        }
    }
    let fetched = Fetched {
        head,
        confirmed_at,
        text,
    };
    let _ = tx.send(fetched).await;
}

async fn fetch_from_platform(platform: &Platform, head: &Head) -> Result<String, FetchError> {
    let text = platform
        .get_object(&object_name(&head.digest))
        .await
        .map_err(|_| FetchError::Unavailable)?
        .ok_or(FetchError::Missing)?;
    if config_digest(&text) == head.digest {
        Ok(text)
    } else {
        Err(FetchError::WrongDigest)
    }
}
