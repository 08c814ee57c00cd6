//! An instance that stood still: what it notices of that, and what it does before it has received anything again.

#[path = "support/call.rs"]
mod call;
#[path = "support/follower.rs"]
mod follower;
#[path = "support/options.rs"]
mod options;
#[path = "support/paused.rs"]
mod paused;

use std::{
    future::pending,
    ops::Range,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::{Config, Position, Time};
use call::read_of;
use coord::Replica;
use daemon::{
    fleet::Fleet,
    follower::{FollowerOptions, tables::ComposedConfig},
    message::{FollowerMessage, OwnReads, PeerCommand},
};
use entry::{message::Event, metrics::Metrics, view::Clock};
use follower::start_follower;
use options::options;
use paused::run_paused;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use rstest::rstest;
use tokio::{
    sync::{mpsc, watch},
    task::yield_now,
    time::{Instant, advance, sleep, sleep_until, timeout},
};

const OPERATOR_TABLE: &str = "op";
const TARGETS_TABLE: &str = "servers";

/// Time from the start to the begin of a standstill.
const STANDS_FROM: Duration = Duration::from_secs(10);
/// Position of the tables at the start.
const FIRST_POSITION: u64 = 10;

/// Turns of other tasks from when an answer is in the socket until its first byte is read.
const SOCKET_TURNS: usize = 8;

/// What the store does.
#[derive(Debug, Clone, Default)]
struct Scenario {
    /// When the one target's row is removed.
    removed_at: Option<Duration>,
    /// When calls are refused.
    refuses: Range<Duration>,
    /// When calls for these tables are sent that are never answered.
    silent: Range<Duration>,
    silent_tables: &'static [&'static str],
    /// When the operators' row changes.
    changed_at: Option<Duration>,
}

/// A follower, and where it sends what it finds.
struct Instance {
    metrics: Metrics,
    messages: mpsc::Sender<FollowerMessage>,
    /// Whether the target is in force.
    has_target: watch::Receiver<bool>,
    /// Number of calls that the store got.
    calls: Arc<AtomicUsize>,
    _told: mpsc::Receiver<PeerCommand>,
    events: mpsc::UnboundedReceiver<Event>,
}

/// Answers a poll when there is an update, or at the end of its wait.
async fn answer(
    started: Instant,
    scenario: Scenario,
    (call, progress): (Call, Progress),
) -> Result<Reply, PlatformError> {
    let (table, after, wait) = read_of(call)?;
    let is_targets = table == TARGETS_TABLE;
    let news_at = if is_targets {
        scenario.removed_at
    } else {
        scenario.changed_at
    };
    let is_silent = scenario.silent_tables.contains(&&*table);
    let sent_at = started.elapsed();
    if is_silent && scenario.silent.contains(&sent_at) {
        pending::<()>().await;
    }
    let deadline = sent_at + wait;
    let is_known = after == 0 || after > FIRST_POSITION;
    let until = news_at.filter(|_| !is_known).unwrap_or(deadline);
    if after > 0 {
        sleep_until(started + deadline.min(until)).await;
    }
    if scenario.refuses.contains(&started.elapsed()) {
        return Err(PlatformError::Unavailable);
    }
    for _ in 0..SOCKET_TURNS {
        yield_now().await;
    }
    progress.add(1);
    let is_changed = news_at.is_some_and(|at| at <= started.elapsed());
    let position = FIRST_POSITION + u64::from(is_changed);
    let row = Change {
        row: "t".to_owned(),
        value: (!is_targets || !is_changed).then(String::new),
        at: Position::from(position),
    };
    let rows = (position > after).then_some(row);
    Ok(Reply::Changes(
        rows.into_iter().collect(),
        Position::from(position),
    ))
}

fn start(scenario: Scenario) -> Instance {
    let started = Instant::now();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = calls.clone();
    let platform = Platform::spawn(move || {
        let scenario = scenario.clone();
        let calls = counted.clone();
        move |call, progress| {
            calls.fetch_add(1, Ordering::Relaxed);
            answer(started, scenario.clone(), (call, progress))
        }
    });
    let (engine, events) = mpsc::unbounded_channel();
    let (_, fleet) = watch::channel(Arc::new(Fleet::default()));
    let (has_target_tx, has_target) = watch::channel(false);
    let metrics = Metrics::new().unwrap();
    let compose = move |replicas: &[&Replica]| {
        let has_target = replicas[1].rows().any(|(name, _)| name == "t");
        has_target_tx.send_replace(has_target);
        Some(ComposedConfig {
            version: 1,
            is_latest: true,
            config: Config::default(),
        })
    };
    let options = FollowerOptions {
        metrics: metrics.clone(),
        ..options(Clock::start(), platform, fleet)
    };
    let (messages, told, _) = start_follower(options, engine, compose);
    Instance {
        metrics,
        messages,
        has_target,
        calls,
        _told: told,
        events,
    }
}

impl Instance {
    fn fact(&self, name: &str) -> i64 {
        self.metrics.gauges.with_label_values(&[name]).get()
    }

    /// Returns the number of calls that the store gets within `time` from now on.
    async fn calls_within(&self, time: Duration) -> usize {
        let before = self.calls.load(Ordering::Relaxed);
        sleep(time).await;
        self.calls.load(Ordering::Relaxed) - before
    }

    /// Brings a heartbeat that reports whether another instance's reads succeed.
    fn hear(&self, contact_at: Duration, is_failing: bool) {
        let message = FollowerMessage::PeerPositions {
            from: "other".into(),
            positions: vec![
                Position::from(FIRST_POSITION),
                Position::from(FIRST_POSITION),
            ],
            confirmed_at: None,
            change: None,
            reads: Some(OwnReads {
                contact_at: Time::ZERO + contact_at,
                is_failing,
            }),
        };
        self.messages.try_send(message).unwrap();
    }

    /// Lets the instance stand still, and returns how long after its waking the follower first says that its
    /// configuration may decide.
    async fn word_after(&mut self, stands: Duration) -> Duration {
        while self.events.try_recv().is_ok() {}
        advance(stands).await;
        let from = Instant::now();
        loop {
            if let Some(Event::ConfigFreshness { .. }) = self.events.recv().await {
                return from.elapsed();
            }
        }
    }

    /// Returns how long the target is in force from now on.
    async fn used_time(&mut self) -> Duration {
        let from = Instant::now();
        let gone = self.has_target.wait_for(|has_target| !has_target);
        timeout(Duration::from_secs(10), gone)
            .await
            .unwrap()
            .unwrap();
        from.elapsed()
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
        let instance = start(Scenario::default());
        sleep(STANDS_FROM).await;
        assert_eq!(instance.fact("standstills"), 0);
        advance(Duration::from_millis(stands_ms)).await;
        sleep(Duration::from_secs(10)).await;
        assert_eq!(instance.fact("standstills"), count);
        let lasted = instance.fact("standstill_ms");
        assert!(lasted_ms.contains(&lasted), "{lasted}");
    });
}

/// Guards against DRAIN: an instance that woke believed in an outage of the store that only it knew, and kept the rows of
/// targets that had left meanwhile.
#[rstest]
#[case::short(1_600)]
#[case::long(4_000)]
fn row_removed_during_a_standstill_is_dropped_at_the_first_answer(
    #[case] stands_ms: u64,
    #[values(false, true)] reports_wait: bool,
) {
    let stands = Duration::from_millis(stands_ms);
    let returns = STANDS_FROM + stands + Duration::from_millis(300);
    let scenario = Scenario {
        removed_at: Some(STANDS_FROM + Duration::from_millis(100)),
        refuses: STANDS_FROM..returns,
        ..Scenario::default()
    };
    let used = run_paused(async {
        let mut instance = start(scenario);
        sleep(STANDS_FROM).await;
        if reports_wait {
            instance.hear(STANDS_FROM, true);
            instance.hear(returns - Duration::from_millis(500), false);
        }
        advance(stands).await;
        instance.used_time().await
    });
    assert!(used < Duration::from_secs(1), "{used:?}");
}

/// Guards against living targets that are lost: an outage of the store for all began and ended around the standstill of
/// an instance, which others report that their reads fail.
#[rstest]
#[case::short(1_600)]
#[case::long(4_000)]
fn row_that_an_outage_removed_is_kept_after_a_standstill(#[case] stands_ms: u64) {
    let stands = Duration::from_millis(stands_ms);
    let begins = STANDS_FROM - Duration::from_millis(200);
    let returns = STANDS_FROM + stands + Duration::from_millis(300);
    let scenario = Scenario {
        removed_at: Some(STANDS_FROM + stands),
        refuses: begins..returns,
        ..Scenario::default()
    };
    let used = run_paused(async {
        let mut instance = start(scenario);
        sleep(STANDS_FROM).await;
        instance.hear(begins, true);
        advance(stands).await;
        instance.used_time().await
    });
    assert!(used > Duration::from_secs(2), "{used:?}");
}

/// Guards against reads that fail for nothing: polls whose answers had come while the instance stood still counted as
/// unanswered on its waking, so that kept connections were given up.
#[rstest]
#[case::short(2_500)]
#[case::long(15_000)]
fn answer_that_came_during_a_standstill_is_taken(#[case] stands_ms: u64) {
    let calls = run_paused(async {
        let instance = start(Scenario::default());
        sleep(STANDS_FROM).await;
        advance(Duration::from_millis(stands_ms)).await;
        instance.calls_within(Duration::from_millis(90)).await
    });
    assert_eq!(calls, 0, "polls on new connections");
}

/// Guards against connections that have gone silent and are kept because the instance stood still.
#[rstest]
#[case::short(2_500)]
#[case::long(15_000)]
fn poll_without_an_answer_is_overtaken_after_a_standstill(#[case] stands_ms: u64) {
    let scenario = Scenario {
        silent: STANDS_FROM - Duration::from_secs(3)..STANDS_FROM,
        silent_tables: &[OPERATOR_TABLE, TARGETS_TABLE],
        ..Scenario::default()
    };
    let calls = run_paused(async {
        let instance = start(scenario);
        sleep(STANDS_FROM - Duration::from_millis(100)).await;
        advance(Duration::from_millis(stands_ms)).await;
        instance.calls_within(Duration::from_millis(250)).await
    });
    assert!(calls >= 2, "{calls} polls");
}

/// Guards against DRAIN: an instance that woke decided again once it had read the operators' rows, though it had received
/// nothing of the targets.
#[test]
fn word_of_one_table_is_not_enough_after_a_standstill() {
    let stands = Duration::from_secs(4);
    let woken_at = STANDS_FROM + stands;
    let scenario = Scenario {
        changed_at: Some(woken_at + Duration::from_millis(200)),
        silent: STANDS_FROM - Duration::from_secs(2)..woken_at + Duration::from_secs(2),
        silent_tables: &[TARGETS_TABLE],
        ..Scenario::default()
    };
    let after = run_paused(async {
        let mut instance = start(scenario);
        sleep(STANDS_FROM).await;
        instance.word_after(stands).await
    });
    assert!(after >= Duration::from_millis(500), "{after:?}");
}

/// Guards against callers that are refused for as long as the store is out, and others that receive nothing: an instance
/// that stood still again and again, with less than half a second in between, never gave its word.
#[rstest]
#[case::short(300)]
#[case::long(450)]
fn word_is_given_between_standstills_in_an_outage(#[case] awake_ms: u64) {
    let scenario = Scenario {
        refuses: STANDS_FROM..Duration::from_secs(600),
        ..Scenario::default()
    };
    run_paused(async {
        let mut instance = start(scenario);
        sleep(STANDS_FROM + Duration::from_secs(10)).await;
        while instance.events.try_recv().is_ok() {}
        for _ in 0..10 {
            for _ in 0..2 {
                advance(Duration::from_millis(1_300)).await;
                sleep(Duration::from_millis(awake_ms)).await;
            }
            let mut words = 0;
            while let Ok(event) = instance.events.try_recv() {
                words += usize::from(matches!(event, Event::ConfigFreshness { .. }));
            }
            assert!(words > 0, "{:?}", Instant::now());
        }
    });
}
