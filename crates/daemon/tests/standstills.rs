//! An instance that stood still: what it notices of that, and what it does before it has heard anything again.

#[path = "support/call.rs"]
mod call;
#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;

use std::{ops::Range, sync::Arc, time::Duration};

use base::Config;
use call::read_of;
use coord::Replica;
use daemon::{
    fleet::Fleet,
    follower::{
        FollowerOptions, Outputs,
        tables::{ComposedConfig, FollowedTables, TableFollower},
    },
    message::{FollowerMessage, PeerCommand},
};
use entry::{
    message::Event,
    metrics::Metrics,
    view::{Clock, View},
};
use options::options;
use paused::run_paused;
use platform::{Call, Platform, PlatformError, Progress, Reply};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    time::{advance, sleep},
};

const OPERATOR_TABLE: &str = "op";
const TARGETS_TABLE: &str = "targets";

/// A follower, and where it sends what it finds.
struct Instance {
    metrics: Metrics,
    _messages: mpsc::Sender<FollowerMessage>,
    _told: mpsc::Receiver<PeerCommand>,
    _events: mpsc::UnboundedReceiver<Event>,
}

/// Answers a poll at the end of its wait.
async fn answer_late(call: Call, progress: Progress) -> Result<Reply, PlatformError> {
    let (_, _, wait) = read_of(call)?;
    sleep(wait).await;
    progress.add(1);
    Ok(Reply::Changes(Vec::new(), 10))
}

fn compose(_: &[&Replica]) -> Option<ComposedConfig> {
    Some(ComposedConfig {
        version: 1,
        is_latest: true,
        config: Config::default(),
    })
}

fn start() -> Instance {
    let platform = Platform::spawn(|| answer_late);
    let (engine, events) = mpsc::unbounded_channel();
    let (peers, told) = mpsc::channel(64);
    let (view, _) = watch::channel(Arc::new(View::default()));
    let (snapshots, _) = watch::channel(Arc::default());
    let (messages, rx) = mpsc::channel(64);
    let (_, fleet) = watch::channel(Arc::new(Fleet::default()));
    let metrics = Metrics::new().unwrap();
    let follower = TableFollower::new(
        FollowerOptions {
            metrics: metrics.clone(),
            ..options(Clock::start(), platform, fleet)
        },
        Outputs {
            engine,
            peers,
            view,
        },
        FollowedTables {
            tables: vec![OPERATOR_TABLE.to_owned(), TARGETS_TABLE.to_owned()],
            compose,
        },
        snapshots,
    );
    tokio::spawn(follower.run(rx));
    Instance {
        metrics,
        _messages: messages,
        _told: told,
        _events: events,
    }
}

impl Instance {
    fn fact(&self, name: &str) -> i64 {
        self.metrics.gauges.with_label_values(&[name]).get()
    }
}

/// Guards against standstills that no line shows, and against slow processors that pass for one.
#[rstest]
#[case::slow(400, 0, 0..1)]
#[case::short(900, 1, 600..901)]
#[case::long(5_000, 1, 4_700..5_001)]
fn standstill_is_counted(
    #[case] stands_ms: u64,
    #[case] count: i64,
    #[case] lasted_ms: Range<i64>,
) {
    run_paused(async {
        let instance = start();
        sleep(Duration::from_secs(10)).await;
        assert_eq!(instance.fact("standstills"), 0);
        advance(Duration::from_millis(stands_ms)).await;
        sleep(Duration::from_secs(10)).await;
        assert_eq!(instance.fact("standstills"), count);
        let lasted = instance.fact("standstill_ms");
        assert!(lasted_ms.contains(&lasted), "{lasted}");
    });
}
