//! Configurations that follow each other faster than one crosses the instance's link.

#[path = "support/options.rs"]
mod options;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Config, Position, config_digest};
use daemon::{
    fleet::Fleet,
    follower::{Outputs, head::HeadFollower},
};
use entry::view::{Clock, View};
use options::options;
use platform::{Call, Platform, PlatformError, Progress, Reply, Row, layout::object_name};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep},
};

const VERSIONS: u64 = 12;
const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Time from one read of the head row to the next, and the model's steps.
const READ_TIME: Duration = Duration::from_millis(700);
const STEP: Duration = Duration::from_millis(10);
/// Bytes that arrive with each step of a transfer that has the link alone.
const STEP_BYTES: usize = 10_000;

/// A store of which a version is written every [`CHANGE_INTERVAL`], and the instance's link.
#[derive(Debug)]
struct Store {
    started: Instant,
    /// Time that a configuration takes over the link if nothing else uses it.
    transfer: Duration,
    /// Number of transfers at the same time, now and at most.
    transfers: AtomicUsize,
    most_transfers: AtomicUsize,
}

/// Returns the text of a version's configuration.
fn text(version: u64) -> String {
    let config = serde_json::to_string(&Config::default()).unwrap();
    config + &" ".repeat(version as usize)
}

impl Store {
    fn version(&self) -> u64 {
        let changes = self.started.elapsed().as_millis() / CHANGE_INTERVAL.as_millis();
        (changes as u64 + 1).min(VERSIONS)
    }

    async fn execute(
        self: Arc<Self>,
        call: Call,
        progress: Progress,
    ) -> Result<Reply, PlatformError> {
        match call {
            Call::Get { .. } => {
                let version = self.version();
                let value = config_digest(&text(version));
                Ok(Reply::Row(Some(Row {
                    version: Position::from(version),
                    value,
                })))
            }
            Call::GetObject { name } => {
                self.transfer(&progress).await;
                let mut texts = (1..=VERSIONS).map(text);
                let named = texts.find(|text| object_name(&config_digest(text)) == name);
                Ok(Reply::Object(named))
            }
            _ => Err(PlatformError::Unavailable),
        }
    }

    /// Takes the time of a transfer; all transfers share the link.
    async fn transfer(&self, progress: &Progress) {
        self.transfers.fetch_add(1, Ordering::Relaxed);
        let mut left = self.transfer;
        while !left.is_zero() {
            sleep(STEP).await;
            progress.add(STEP_BYTES);
            let transfers = self.transfers.load(Ordering::Relaxed);
            self.most_transfers.fetch_max(transfers, Ordering::Relaxed);
            left = left.saturating_sub(STEP / transfers as u32);
        }
        self.transfers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guards against CONFIG: each newer configuration was fetched while others were still arriving, so
/// that all of them shared the link.
#[rstest]
#[case::shorter_than_changes(500)]
#[case::longer_than_changes(1_500)]
#[case::much_longer(4_000)]
#[tokio::test(start_paused = true)]
async fn configurations_are_transferred_one_after_the_other(#[case] transfer_ms: u64) {
    let transfer = Duration::from_millis(transfer_ms);
    let store = Arc::new(Store {
        started: Instant::now(),
        transfer,
        transfers: AtomicUsize::new(0),
        most_transfers: AtomicUsize::new(0),
    });
    let served = store.clone();
    let platform = Platform::spawn(move || {
        let store = served.clone();
        move |call, progress| store.clone().execute(call, progress)
    });
    let (_fleet_tx, fleet) = watch::channel(Arc::new(Fleet::default()));
    let (engine, _engine_rx) = mpsc::unbounded_channel();
    let (peers, mut peers_rx) = mpsc::channel(64);
    let (view, mut views) = watch::channel(Arc::new(View::default()));
    tokio::spawn(async move { while peers_rx.recv().await.is_some() {} });
    let follower = HeadFollower::new(
        options(Clock::start(), platform, fleet),
        Outputs {
            engine,
            peers,
            view,
        },
    );
    let (_tx, rx) = mpsc::channel(1);
    tokio::spawn(follower.run(rx));
    let is_last = |view: &Arc<View>| {
        let version = view.config.as_ref().map(|(version, _)| *version);
        version == Some(VERSIONS)
    };
    views.wait_for(is_last).await.unwrap();
    let acknowledged = CHANGE_INTERVAL * (VERSIONS - 1) as u32;
    let took = store.started.elapsed() - acknowledged;
    assert_eq!(store.most_transfers.load(Ordering::Relaxed), 1);
    assert!(took <= transfer * 2 + READ_TIME, "{took:?}");
}
