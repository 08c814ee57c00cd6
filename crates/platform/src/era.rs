//! Eras of the platform's history, as its answers and other instances report them.

use std::time::Duration;

use tokio::{sync::watch, time::Instant};

use crate::PlatformError;

/// Minimum time between two lines about reports of eras that can't be used.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of eras that may have begun unnoticed.
const MAX_MISSED_ERAS: u32 = 1_000;

/// Tracks the latest era of the platform's history.
///
/// A platform that comes back from an older copy of its tables reports the next era. One that reports none stays in
/// era 0. Each answer passes [`StoreEra::on_answer`], whatever it brings, so that the first one after the return
/// shows it. All clones share what is known.
///
/// # Examples
///
/// ```
/// use platform::StoreEra;
///
/// let era = StoreEra::default();
/// assert_eq!(era.on_answer(Some("4")), Ok(4));
/// assert_eq!(era.on_answer(Some("5")), Ok(5));
/// assert!(era.on_answer(Some("4")).is_err(), "it was made before the platform's return");
/// assert_eq!(era.on_answer(None), Ok(5));
/// ```
#[derive(Debug, Clone)]
pub struct StoreEra {
    latest: watch::Sender<u32>,
    reports: watch::Sender<Reports>,
}

/// What is known of the reports beside the latest era.
#[derive(Debug, Clone, Copy, Default)]
struct Reports {
    /// Whether any answer or instance has reported an era.
    is_reported: bool,
    /// Era far beyond the latest one that the last answer reported.
    doubtful: Option<u32>,
    /// Time of the last line about a report that can't be used.
    logged_at: Option<Instant>,
}

impl Default for StoreEra {
    fn default() -> Self {
        Self {
            latest: watch::Sender::new(0),
            reports: watch::Sender::default(),
        }
    }
}

impl StoreEra {
    /// Returns the latest era that is known.
    pub fn latest(&self) -> u32 {
        *self.latest.borrow()
    }

    /// Returns a receiver of the latest era that is known.
    pub fn subscribe(&self) -> watch::Receiver<u32> {
        self.latest.subscribe()
    }

    /// Records the era that an answer reports, as text, and returns the one in which the answer was made.
    ///
    /// An answer without a readable one counts as made in the latest era that is known.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unavailable`] if the answer can't be used: it was made in an earlier era, or reports one far
    /// beyond the latest that no other answer has reported yet.
    pub fn on_answer(&self, reported: Option<&str>) -> Result<u32, PlatformError> {
        let latest = self.latest();
        let is_reported = self.reports.borrow().is_reported;
        let Some(era) = reported.and_then(|text| text.trim().parse::<u32>().ok()) else {
            if reported.is_some() || is_reported {
                self.log_bad("unreadable", latest, reported);
            }
            return Ok(latest);
        };
        let is_next = era == latest || Some(era) == latest.checked_add(1);
        if is_next || !is_reported {
            self.set(era);
            return Ok(era);
        }
        if era < latest {
            self.log_bad("earlier", latest, reported);
            return Err(PlatformError::Unavailable);
        }
        if self.reports.borrow().doubtful == Some(era) {
            self.set(era);
            return Ok(era);
        }
        self.log_bad("far beyond", latest, reported);
        self.reports
            .send_modify(|reports| reports.doubtful = Some(era));
        Err(PlatformError::Unavailable)
    }

    /// Records an era of which another instance knows. One that is too far beyond the latest is left to the own answers.
    pub fn learn(&self, era: u32) {
        let latest = self.latest();
        let is_reported = self.reports.borrow().is_reported;
        if is_reported && era > latest.saturating_add(MAX_MISSED_ERAS) {
            self.log_bad("far beyond", latest, Some(&era.to_string()));
        } else if era > latest {
            self.set(era);
        }
    }

    fn set(&self, era: u32) {
        self.reports.send_modify(|reports| {
            reports.is_reported = true;
            reports.doubtful = None;
        });
        // A later one may have become known meanwhile.
        let before = self.latest();
        self.latest.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            is_later
        });
        if era > before {
            tracing::info!(event = "store_era", before, era);
        }
    }

    /// Logs a report that can't be used, once in each [`LOG_INTERVAL`].
    fn log_bad(&self, fault: &str, latest: u32, reported: Option<&str>) {
        let now = Instant::now();
        let logged_at = self.reports.borrow().logged_at;
        if logged_at.is_some_and(|at| now - at < LOG_INTERVAL) {
            return;
        }
        self.reports
            .send_modify(|reports| reports.logged_at = Some(now));
        tracing::warn!(event = "store_era_unusable", fault, latest, reported);
    }
}
