//! What happens in a run: versions, what becomes of answers, and what other instances report.

use std::{future::pending, ops::Range, time::Duration};

use platform::{PlatformError, Progress};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::time::sleep;

use crate::transfer::Transfer;

pub(crate) const OPERATOR_TABLE: &str = "op";

/// Another instance, which reports positions and hands nothing out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reporter {
    /// Time of its first heartbeat.
    pub(crate) phase: Duration,
    /// Time after an acknowledgement at which it has the version.
    pub(crate) reads_after: Duration,
    /// Share of its heartbeats that are lost.
    pub(crate) loss: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) contact: Duration,
    pub(crate) apply: Duration,
    /// Times at which versions are acknowledged.
    pub(crate) changes: Vec<Duration>,
    pub(crate) transfers: Vec<Transfer>,
    pub(crate) reporters: Vec<Reporter>,
    /// Position that the others report whatever the store has.
    pub(crate) lost_position: Option<u64>,
    /// Time from which on the store gives no answer.
    pub(crate) outage: Option<Duration>,
    /// Time at which the others end.
    pub(crate) others_end: Option<Duration>,
    /// Time at which rows of other tables have changed and another instance starts, whose first read has the
    /// store's latest position.
    pub(crate) others_start: Option<Duration>,
    /// Time between changes of other tables, of which the first ones after each version count.
    pub(crate) others_change_each: Option<Duration>,
    pub(crate) side_calls: SideCalls,
    /// Number of calls during transfers that fail if `side_calls` says so; later ones are quick.
    pub(crate) max_failures: usize,
    /// Version up to which the store has dropped its history once it has that version.
    pub(crate) dropped_to: usize,
    /// Time by which answers that bring versions are read late.
    pub(crate) read_late: Duration,
}

impl Scenario {
    pub(crate) fn draw(seed: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut ms = |range: Range<u64>| Duration::from_millis(rng.random_range(range));
        let apply = ms(2_000..4_000);
        let contact = apply + ms(0..2_000);
        let is_series = ms(0..2).is_zero();
        let mut at = ms(3_000..6_000);
        let mut changes = Vec::new();
        for _ in 0..ms(1..12).as_millis() {
            changes.push(at);
            at += if is_series {
                ms(100..900)
            } else {
                ms(500..6_000)
            };
        }
        let transfers = Transfer::draw(&mut ms);
        let count = ms(1..8).as_millis();
        let reporters = (0..count).map(|idx| Reporter {
            phase: ms(0..500),
            reads_after: ms(1..150),
            loss: if idx == 0 { 0.0 } else { 0.2 },
        });
        Self {
            seed,
            contact,
            apply,
            changes,
            transfers,
            reporters: reporters.collect(),
            lost_position: None,
            outage: None,
            others_end: None,
            others_start: None,
            others_change_each: None,
            side_calls: SideCalls::of_seed(seed),
            max_failures: usize::MAX,
            dropped_to: 0,
            read_late: Duration::ZERO,
        }
    }

    /// Returns a deployment of some instances in which nothing happens.
    pub(crate) fn calm() -> Self {
        let reporters = [100, 300].map(|phase_ms| Reporter {
            phase: Duration::from_millis(phase_ms),
            reads_after: Duration::from_millis(20),
            loss: 0.0,
        });
        Self {
            seed: 1,
            contact: Duration::from_secs(4),
            apply: Duration::from_millis(2_500),
            changes: Vec::new(),
            transfers: Vec::new(),
            reporters: reporters.into(),
            lost_position: None,
            outage: None,
            others_end: None,
            others_start: None,
            others_change_each: None,
            side_calls: SideCalls::QUICK,
            max_failures: usize::MAX,
            dropped_to: 0,
            read_late: Duration::ZERO,
        }
    }

    /// Returns by how much the store's position has risen by rows of other tables since its version.
    pub(crate) fn rise_at(&self, at: Duration) -> u64 {
        let has_started = self.others_start.is_some_and(|start| start <= at);
        u64::from(has_started) + self.steady_rise_at(at)
    }

    /// Returns the same for the rows that change all the time.
    pub(crate) fn steady_rise_at(&self, at: Duration) -> u64 {
        const MAX_RISE: u64 = 8;
        let last = self.changes.iter().rev().find(|change| **change <= at);
        let since = at - last.copied().unwrap_or_default();
        let count = |each| since.div_duration_f64(each) as u64;
        self.others_change_each.map_or(0, count).min(MAX_RISE)
    }

    pub(crate) fn version_at(&self, at: Duration) -> usize {
        self.changes.iter().filter(|change| **change <= at).count()
    }

    /// Returns the version whose effect a request that arrives at `at` must show.
    pub(crate) fn required_version(&self, at: Duration) -> usize {
        at.checked_sub(self.apply)
            .map_or(0, |at| self.version_at(at))
    }
}

/// Returns the store's position of a version.
pub(crate) fn position_of(version: usize) -> u64 {
    10 + version as u64 * 10
}

/// What becomes of calls during a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SideCalls {
    /// They are answered after this time.
    Take(Duration),
    /// They are answered at once, and the two halves of an answer without rows come apart by this time.
    ComeApart(Duration),
    /// The small call's connection opens in this time, and its answer is there at once; answers say when they were made.
    Connect(Duration),
    /// The small call is refused.
    Refused,
    /// The small call is lost.
    Lost,
    /// Polls are lost.
    PollsLost,
    /// Polls are refused.
    PollsRefused,
    /// Polls are answered 410.
    PollsGone,
}

impl SideCalls {
    /// Chooses by a seed alone, so that what else is drawn by it stays.
    pub(crate) fn of_seed(seed: u64) -> Self {
        match seed % 6 {
            0 => Self::Refused,
            1 => Self::Lost,
            2 => Self::PollsLost,
            3 => Self::Take(Duration::from_millis(400)),
            _ => Self::QUICK,
        }
    }

    pub(crate) const QUICK: Self = Self::Take(Duration::from_millis(10));

    /// Waits until a poll during a transfer is answered.
    pub(crate) async fn answer_poll(self) -> Result<(), PlatformError> {
        match self {
            Self::Take(time) => sleep(time).await,
            Self::ComeApart(_) | Self::Connect(_) => {}
            Self::PollsLost | Self::Refused | Self::Lost => pending().await,
            Self::PollsRefused => return Err(PlatformError::Unavailable),
            Self::PollsGone => return Err(PlatformError::HistoryGone),
        }
        Ok(())
    }

    /// Transmits the answer to a poll during a transfer that brings no rows.
    pub(crate) async fn transmit_empty(self, progress: &Progress) {
        const HALF: usize = 30;
        if let Self::ComeApart(time) = self {
            progress.expect(2 * HALF as u64);
            progress.add(HALF);
            sleep(time).await;
            progress.add(HALF);
        } else {
            progress.add(1);
        }
    }

    /// Waits until the small call is answered.
    pub(crate) async fn answer_position(self) -> Result<(), PlatformError> {
        match self {
            Self::Take(time) => sleep(time).await,
            Self::Connect(_)
            | Self::PollsLost
            | Self::PollsRefused
            | Self::PollsGone
            | Self::ComeApart(_) => {}
            Self::Refused => return Err(PlatformError::Unavailable),
            Self::Lost => pending().await,
        }
        Ok(())
    }
}
