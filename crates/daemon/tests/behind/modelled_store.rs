//! A modelled store, and what becomes of its answers.

use std::{
    future::pending,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use base::Position;
use platform::{Call, Change, Platform, PlatformError, Progress, Reply};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    call::read_of,
    scenario::{OPERATOR_TABLE, Scenario, SideCalls, position_of},
    transfer::Transfer,
};

/// The answers that bring versions.
#[derive(Debug)]
struct Transfers {
    /// What becomes of the next ones, the next one last.
    next: Mutex<Vec<Transfer>>,
    is_under_way: AtomicBool,
    /// Number of calls during them that have failed.
    failed: AtomicUsize,
}

/// Ends a transfer when it is dropped, complete or not.
struct UnderWay<'a>(&'a AtomicBool);

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Relaxed);
    }
}

impl Transfers {
    /// Time for which an answer goes on that shares the link with a transfer, unless it is dropped.
    const BESIDE: Transfer = Transfer::Takes(Duration::from_secs(8));

    fn is_under_way(&self) -> bool {
        self.is_under_way.load(Ordering::Relaxed)
    }

    /// Returns what becomes of a call during a transfer.
    fn side_calls(&self, scenario: &Scenario, is_small: bool) -> SideCalls {
        let side_calls = scenario.side_calls;
        let is_answered = match side_calls {
            SideCalls::Take(_) | SideCalls::ComeApart(_) | SideCalls::Connect(_) => {
                return side_calls;
            }
            SideCalls::Refused | SideCalls::Lost => !is_small,
            _ => is_small,
        };
        if is_answered || self.failed.fetch_add(1, Ordering::Relaxed) >= scenario.max_failures {
            return SideCalls::QUICK;
        }
        side_calls
    }

    /// Transmits an answer that brings a version. One during another is none of those that were drawn.
    async fn transmit(&self, progress: &Progress) -> Result<(), PlatformError> {
        if self.is_under_way() {
            return Self::BESIDE.transmit(progress).await;
        }
        let transfer = self.next.lock().unwrap().pop();
        let transfer = transfer.unwrap_or(Transfer::Lost);
        let is_lost = matches!(transfer, Transfer::Lost);
        self.is_under_way.store(!is_lost, Ordering::Relaxed);
        let _under_way = (!is_lost).then(|| UnderWay(&self.is_under_way));
        transfer.transmit(progress).await
    }
}

/// Returns a store whose answers that bring versions are transmitted as `transfers` say, one after the other.
pub(crate) fn store(
    started: Instant,
    scenario: &Arc<Scenario>,
    mut transfers: Vec<Transfer>,
) -> Platform {
    transfers.reverse();
    let transfers = Arc::new(Transfers {
        next: Mutex::new(transfers),
        is_under_way: AtomicBool::new(false),
        failed: AtomicUsize::new(0),
    });
    let scenario = scenario.clone();
    Platform::spawn(move || {
        let (scenario, transfers) = (scenario.clone(), transfers.clone());
        move |call, progress| answer(started, scenario.clone(), transfers.clone(), call, progress)
    })
}

/// Answers reads of the tables.
async fn answer(
    started: Instant,
    scenario: Arc<Scenario>,
    transfers: Arc<Transfers>,
    call: Call,
    progress: Progress,
) -> Result<Reply, PlatformError> {
    if matches!(call, Call::Position { .. }) {
        let side_calls = transfers.side_calls(&scenario, true);
        return answer_position(started, &scenario, side_calls, &progress).await;
    }
    let (table, after, wait) = read_of(call)?;
    let is_operators = table == OPERATOR_TABLE;
    let deadline = Instant::now() + wait;
    let mut next = scenario.changes.iter().enumerate();
    let next = next.find(|(idx, _)| is_operators && position_of(idx + 1) > after && after > 0);
    let next = next.map_or(deadline, |(_, at)| started + *at);
    sleep_until(next.min(deadline)).await;
    if scenario
        .outage
        .is_some_and(|from| started.elapsed() >= from)
    {
        pending::<()>().await;
    }
    let is_beside = is_operators && transfers.is_under_way();
    if is_beside {
        let side_calls = transfers.side_calls(&scenario, false);
        side_calls.answer_poll().await?;
    }
    let made_at = started.elapsed();
    if matches!(scenario.side_calls, SideCalls::Connect(_)) {
        progress.on_clock(made_at);
    }
    let version = if is_operators {
        scenario.version_at(made_at)
    } else {
        0
    };
    let position = position_of(version);
    if position <= after {
        if is_beside {
            scenario.side_calls.transmit_empty(&progress).await;
        } else {
            progress.add(1);
        }
        let latest = position + scenario.rise_at(started.elapsed());
        return Ok(Reply::Changes(Vec::new(), Position::from(latest)));
    }
    let has_dropped = is_operators && scenario.dropped_to.min(version) > 0;
    if has_dropped && after > 0 && after < position_of(scenario.dropped_to) {
        return Err(PlatformError::HistoryGone);
    }
    if after > 0 || has_dropped {
        sleep(scenario.read_late).await;
        transfers.transmit(&progress).await?;
    }
    let row = Change {
        row: "config".to_owned(),
        value: Some(version.to_string()),
        at: Position::from(position),
    };
    // A first read has the latest position of all tables.
    let rise = if after == 0 {
        scenario.rise_at(made_at)
    } else {
        scenario.steady_rise_at(made_at)
    };
    let position = position + rise;
    Ok(Reply::Changes(vec![row], Position::from(position)))
}

/// Answers the small call that reports the store's latest position.
async fn answer_position(
    started: Instant,
    scenario: &Scenario,
    side_calls: SideCalls,
    progress: &Progress,
) -> Result<Reply, PlatformError> {
    if let SideCalls::Connect(time) = side_calls {
        sleep(time).await;
        progress.on_clock(started.elapsed());
    }
    let is_away = |from: Duration| started.elapsed() >= from;
    if scenario.outage.is_some_and(is_away) {
        pending::<()>().await;
    }
    // The answer is made as the call arrives, and travels for as long as it takes.
    let now = started.elapsed();
    let position = position_of(scenario.version_at(now)) + scenario.rise_at(now);
    side_calls.answer_position().await?;
    Ok(Reply::Position(Position::from(position)))
}
