//! The task that writes recent claims again once the platform has been restored from an older copy of its tables.

use std::{sync::Arc, time::Duration};

use base::Time;
use entry::view::Clock;
use platform::{Platform, PlatformError, Precondition, Write};
use tokio::{
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use super::{
    claim::{CLAIM_TABLE, ClaimNote, ClaimRow, text_within_limit},
    recent::{RecentClaims, is_outdated},
};
use crate::fleet::Fleet;

/// Minimum time since an era was learned before an action without a row can be claimed in it.
pub const MIN_DOUBT: Duration = Duration::from_secs(30);
/// Maximum time, if a listed instance sends no heartbeat that may have claims to write again.
pub const MAX_DOUBT: Duration = Duration::from_secs(120);
/// Row that names the era in which claims without a row have not been made; claims' names have a slash or are digests.
const CERTAIN_ROW: &str = ".certain";
/// Calls per second by which all instances together look for their claims.
const READS_PER_S: u32 = 400;
/// Calls per second by which all instances together write claims again.
const WRITES_PER_S: u32 = 100;
/// Age of copies by which it is estimated how many claims are lost.
const COPY_AGE: Duration = Duration::from_secs(10);
/// Time since an era was learned within which claims of that age are written again, well before the uncertainty ends.
const REWRITE_TIME: Duration = Duration::from_secs(20);
/// Minimum time that is left for what is written later.
const MIN_REWRITE_TIME: Duration = Duration::from_secs(1);
/// Maximum time over which the instances spread their first calls, so that claims are written again before the uncertainty ends.
const MAX_FIRST_SPREAD: Duration = Duration::from_secs(10);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum time between two reads of the row that names the certain era.
const CERTAIN_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Time over which the ends of the instances' uncertainty are spread.
const DOUBT_SPREAD: Duration = Duration::from_secs(2);

/// Writes recent claims again, and publishes the era in which an action without a row is known not to be claimed.
#[derive(Debug)]
pub(super) struct ClaimKeeper {
    platform: Platform,
    clock: Clock,
    fleet: watch::Receiver<Arc<Fleet>>,
    notes: mpsc::UnboundedReceiver<ClaimNote>,
    certain: watch::Sender<Option<u32>>,
    recent: RecentClaims,
    era: u32,
    learned_at: Time,
    /// Minimum time of the uncertainty in the latest era.
    doubt: Duration,
    /// What has been done since the latest era was learned, until all rows are written in it.
    progress: Option<Progress>,
    next_at: Instant,
    delay: Duration,
}

#[derive(Debug, Default)]
struct Progress {
    checked: u32,
    written: u32,
}

/// Returns the write that names an era as one in which no claim is missing.
pub(crate) fn certainty(era: u32) -> Write {
    Write::new(CLAIM_TABLE, CERTAIN_ROW).value(&era.to_string())
}

impl ClaimKeeper {
    pub(super) fn new(
        platform: Platform,
        clock: Clock,
        fleet: watch::Receiver<Arc<Fleet>>,
        notes: mpsc::UnboundedReceiver<ClaimNote>,
        certain: watch::Sender<Option<u32>>,
    ) -> Self {
        Self {
            platform,
            clock,
            fleet,
            notes,
            certain,
            recent: RecentClaims::default(),
            era: 0,
            learned_at: Time::ZERO,
            doubt: Duration::ZERO,
            progress: None,
            next_at: Instant::now(),
            delay: MIN_RETRY_DELAY,
        }
    }

    /// Handles notes and eras until the notes' senders are dropped.
    pub(super) async fn run(mut self) {
        let mut eras = self.platform.era();
        eras.mark_changed();
        loop {
            let is_certain = self.is_certain();
            let unconfirmed = self.recent.next_unconfirmed(self.era);
            self.report_progress(unconfirmed.is_none());
            let is_idle = is_certain && unconfirmed.is_none();
            tokio::select! {
                biased;
                Ok(()) = eras.changed() => {
                    let era = *eras.borrow_and_update();
                    self.on_era(era);
                }
                note = self.notes.recv() => match note {
                    Some(note) => self.on_note(note),
                    None => return,
                },
                () = sleep_until(self.next_at), if !is_idle => {
                    self.act(unconfirmed, is_certain).await;
                }
            }
        }
    }

    fn is_certain(&self) -> bool {
        *self.certain.borrow() == Some(self.era)
    }

    fn on_era(&mut self, era: u32) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.learned_at = self.clock.now();
        self.doubt = MIN_DOUBT + rand::random_range(Duration::ZERO..DOUBT_SPREAD);
        self.progress = Some(Progress::default());
        self.delay = MIN_RETRY_DELAY;
        // Each may write at once what it looks for first.
        let spread = self.interval(WRITES_PER_S).min(MAX_FIRST_SPREAD);
        self.next_at = Instant::now() + rand::random_range(Duration::ZERO..=spread);
        tracing::info!(
            event = "claims_uncertain",
            era,
            rows = self.recent.len(),
            least_ms = self.doubt.as_millis() as u64,
            most_ms = MAX_DOUBT.as_millis() as u64,
        );
    }

    fn on_note(&mut self, note: ClaimNote) {
        let now = self.clock.now();
        match note {
            ClaimNote::Stood(name, claim, era) => {
                self.recent.record(now, self.era, &name, (claim, era));
            }
            ClaimNote::Settled(name, claimer, state) => {
                self.recent.settle(now, self.era, &name, (claimer, state));
            }
            ClaimNote::Lost(name) => self.recent.on_lost(&name),
        }
    }

    /// Looks for the next row that may be missing or, if there is none, for the end of the uncertainty.
    async fn act(&mut self, unconfirmed: Option<(String, ClaimRow)>, is_certain: bool) {
        let era = self.era;
        let done = match unconfirmed {
            Some((name, claim)) => self.restore(&name, &claim, era).await,
            None if is_certain => return,
            None => self.check_certainty(era).await,
        };
        let wait = done.unwrap_or_else(|_| {
            self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
            self.delay
        });
        self.next_at = Instant::now() + wait;
    }

    /// Writes a row unless it exists, and returns for how long to wait then.
    async fn restore(
        &mut self,
        name: &str,
        known: &ClaimRow,
        era: u32,
    ) -> Result<Duration, PlatformError> {
        let row = self.platform.get(CLAIM_TABLE, name).await?;
        let parsed = row
            .as_ref()
            .map(|row| serde_json::from_str::<ClaimRow>(&row.value));
        // A row that can't be read is a later build's, and isn't replaced.
        let standing = parsed.transpose().ok();
        let is_outdated = standing.is_some_and(|standing| is_outdated(standing.as_ref(), known));
        if is_outdated {
            let expected = row.map_or(Precondition::Absent, |row| {
                Precondition::Version(row.version)
            });
            let (_, text) = text_within_limit(known.clone());
            let write = Write::new(CLAIM_TABLE, name).value(&text).expect(expected);
            self.platform.write(vec![write]).await?;
        }
        if self.platform.latest_era() == era {
            self.recent.confirm(name, known, era);
        }
        if let Some(progress) = &mut self.progress {
            progress.checked += 1;
            progress.written += u32::from(is_outdated);
        }
        self.delay = MIN_RETRY_DELAY;
        Ok(if is_outdated {
            self.interval(WRITES_PER_S).min(self.share_of_time())
        } else {
            self.interval(READS_PER_S)
        })
    }

    /// Returns the time for each claim that may be lost, so that all are written again before the uncertainty ends, however many
    /// of them are this instance's.
    fn share_of_time(&self) -> Duration {
        let elapsed = self.clock.now() - self.learned_at;
        let left = REWRITE_TIME.saturating_sub(elapsed).max(MIN_REWRITE_TIME);
        let since = self.learned_at.before(COPY_AGE);
        let lost = self.recent.unconfirmed_since(since, self.era);
        left / u32::try_from(lost.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the time between two calls of this instance where all together make `per_s` calls a second.
    fn interval(&self, per_s: u32) -> Duration {
        let instances = self.fleet.borrow().members.len() as u32 + 1;
        Duration::from_secs(1) * instances / per_s
    }

    /// Ends the uncertainty if its time is over, or another instance's is.
    async fn check_certainty(&mut self, era: u32) -> Result<Duration, PlatformError> {
        let row = self.platform.get(CLAIM_TABLE, CERTAIN_ROW).await?;
        let is_named = row.is_some_and(|row| row.value == era.to_string());
        if !is_named && !self.is_doubt_over() {
            let rest = (self.learned_at + self.doubt) - self.clock.now();
            let is_waiting_for_others = rest.is_zero();
            let wait = if is_waiting_for_others {
                CERTAIN_READ_INTERVAL
            } else {
                rest
            };
            return Ok(wait.min(CERTAIN_READ_INTERVAL));
        }
        if !is_named {
            self.platform.write(vec![certainty(era)]).await?;
        }
        if self.platform.latest_era() == era {
            self.certain.send_replace(Some(era));
            tracing::info!(event = "claims_certain", era);
        }
        Ok(Duration::ZERO)
    }

    fn is_doubt_over(&self) -> bool {
        let now = self.clock.now();
        let elapsed = now - self.learned_at;
        let fleet = self.fleet.borrow();
        let mut others = fleet.members.values();
        let is_missing =
            others.any(|other| other.is_listed && !other.is_gone && !other.is_alive(now));
        elapsed >= MAX_DOUBT || (elapsed >= self.doubt && !is_missing)
    }

    fn report_progress(&mut self, is_done: bool) {
        if !is_done {
            return;
        }
        if let Some(progress) = self.progress.take() {
            let Progress { checked, written } = progress;
            tracing::info!(event = "claims_restored", era = self.era, checked, written);
        }
    }
}
