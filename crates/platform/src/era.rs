//! Eras of the platform's history, as its answers and other instances report them.

use std::time::Duration;

use base::InstanceId;
use tokio::{sync::watch, time::Instant};

use crate::PlatformError;

/// Minimum time between two lines about reports of eras that can't be used.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of eras that may have begun unnoticed.
const MAX_MISSED_ERAS: u32 = 1_000;
/// Maximum number of questions after an answer that reports a later era.
const MAX_QUESTIONS: usize = 3;
/// Time for which another instance's report of an era counts: a few of its heartbeats.
const REPORT_VALIDITY: Duration = Duration::from_secs(2);
/// Number of other instances from which on one of them doesn't suffice for an era.
const MIN_OTHERS: usize = 2;

/// Tracks the latest era of the platform's history.
///
/// A platform that is restored from an older copy of its tables reports the next era. One that reports none stays in
/// era 0. Each answer passes [`StoreEra::on_answer`], whatever it brings, so that the first one after the return
/// shows it. All clones share what is known. An era that is known never decreases, so one answer doesn't suffice for a
/// later one: its header may be wrong. Nor does one other instance, which may have read two wrong headers: see
/// [`StoreEra::on_reported`].
///
/// # Examples
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().build().unwrap().block_on(async {
/// use platform::StoreEra;
///
/// let era = StoreEra::default();
/// let ask = |reported: &'static str| move || async move { Some(reported.to_owned()) };
/// assert_eq!(era.on_answer(Some("4"), ask("4")).await, Ok(4));
/// assert_eq!(era.on_answer(Some("5"), ask("5")).await, Ok(5));
/// assert!(era.on_answer(Some("6"), ask("5")).await.is_err(), "no other answer reports it");
/// assert!(era.on_answer(Some("4"), ask("5")).await.is_err(), "it was made before the platform's return");
/// assert_eq!(era.on_answer(None, ask("5")).await, Ok(5));
/// # });
/// ```
#[derive(Debug, Clone)]
pub struct StoreEra {
    latest: watch::Sender<u32>,
    reports: watch::Sender<Reports>,
}

/// What is known of the reports in addition to the latest era.
#[derive(Debug, Clone, Default)]
struct Reports {
    /// Whether any answer or instance has reported an era.
    is_reported: bool,
    /// Era beyond the latest one that the last answer reported.
    doubtful: Option<u32>,
    /// Latest era that the platform itself has named to this instance.
    named: u32,
    /// Time of the last answer, whatever it brought, that named the latest era.
    named_at: Option<Instant>,
    /// Highest era that another instance has reported lately.
    reported: Option<Report>,
    /// Time of the last line about a report that can't be used.
    logged_at: Option<Instant>,
}

/// Report of an era by another instance.
#[derive(Debug, Clone)]
struct Report {
    by: InstanceId,
    era: u32,
    at: Instant,
}

/// What one answer's report comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Noted {
    /// The answer was made in the latest era that is known.
    Latest(u32),
    /// It was made in an earlier one.
    Earlier,
    /// It reports a later one, as the first answer.
    Doubtful(u32),
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

    /// Returns the latest era that the platform's own answers have named, which others may count as one instance's word.
    pub fn named(&self) -> u32 {
        self.reports.borrow().named
    }

    /// Records the era that an answer reports, as text, and returns the one in which the answer was made.
    ///
    /// An answer without a readable one counts as made in the latest era that is known. One that reports a later era waits
    /// until a second answer reports the same, or another instance does: `ask` sends a small call, within a time of its
    /// own, and returns what its answer reports.
    ///
    /// # Errors
    ///
    /// [`PlatformError::UnusableEra`] if the answer can't be used: it was made in an earlier era, or reports a later one
    /// that no other answer reports.
    pub async fn on_answer<A, F>(
        &self,
        reported: Option<&str>,
        ask: A,
    ) -> Result<u32, PlatformError>
    where
        A: Fn() -> F,
        F: Future<Output = Option<String>>,
    {
        match self.note(reported) {
            Noted::Latest(era) => return Ok(era),
            Noted::Earlier => return Err(PlatformError::UnusableEra),
            Noted::Doubtful(era) => self.confirm(era, ask).await,
        }
        let latest = self.latest();
        if let Some(era) = reported.and_then(parse).filter(|era| *era == latest) {
            self.set_named(era);
            return Ok(era);
        }
        self.log_bad("unconfirmed", latest, reported);
        Err(PlatformError::UnusableEra)
    }

    /// Asks until an answer shows whether an era has begun that another one has reported, or it is known otherwise.
    async fn confirm<A, F>(&self, reported: u32, ask: A)
    where
        A: Fn() -> F,
        F: Future<Output = Option<String>>,
    {
        let mut latest = self.subscribe();
        let mut doubtful = reported;
        for _ in 0..MAX_QUESTIONS {
            let answered = tokio::select! {
                biased;
                _ = latest.wait_for(|latest| *latest >= reported) => return,
                answered = ask() => answered,
            };
            match answered.as_deref().and_then(parse) {
                Some(era) if era == doubtful => return self.set_named(era),
                Some(era) if era > self.latest() => doubtful = era,
                Some(_) => return self.doubt(None),
                None => {}
            }
        }
    }

    /// Records what an answer reports, next to what the answer before it has.
    fn note(&self, reported: Option<&str>) -> Noted {
        let latest = self.latest();
        let Reports {
            is_reported,
            doubtful,
            ..
        } = self.reports.borrow().clone();
        let Some(era) = reported.and_then(parse) else {
            if reported.is_some() || is_reported {
                self.log_bad("unreadable", latest, reported);
            }
            return Noted::Latest(latest);
        };
        if era < latest {
            self.log_bad("earlier", latest, reported);
            return Noted::Earlier;
        }
        let is_reported_elsewhere = self.reported().is_some_and(|elsewhere| era <= elsewhere);
        if era == latest || doubtful == Some(era) || is_reported_elsewhere {
            self.set_named(era);
            return Noted::Latest(era);
        }
        if let Some(elsewhere) = self.reported() {
            self.learn(elsewhere);
        }
        self.doubt(Some(era));
        Noted::Doubtful(era)
    }

    /// Records the latest era that the platform has named to another instance, as its heartbeat reports it; `others` is the
    /// number of other instances that there are.
    ///
    /// A later one counts once two of them report it, or one of them and an own answer. Where there is no second one
    /// to ask, one suffices. What one of many reports is pending otherwise, and counts for
    /// [`Platform::check_reported_eras`](crate::Platform::check_reported_eras).
    pub fn on_reported(&self, by: &InstanceId, era: u32, others: usize) {
        let latest = self.latest();
        if era <= latest {
            return;
        }
        if self.is_far_beyond(era) {
            return self.log_bad("far beyond", latest, Some(&era.to_string()));
        }
        let at = Instant::now();
        let Reports {
            reported, doubtful, ..
        } = self.reports.borrow().clone();
        let other = reported.filter(|other| other.by != *by && other.is_valid(at));
        let second = other.as_ref().map(|other| other.era).max(doubtful);
        let witnessed = if others < MIN_OTHERS {
            Some(era)
        } else {
            second.map(|second| era.min(second))
        };
        let own = Report {
            by: by.clone(),
            era,
            at,
        };
        let highest = other.filter(|other| other.era > era).unwrap_or(own);
        self.reports
            .send_modify(|reports| reports.reported = Some(highest));
        if let Some(era) = witnessed {
            self.learn(era);
        }
    }

    /// Returns the era beyond the latest one that a single instance reports.
    pub(crate) fn reported(&self) -> Option<u32> {
        let (now, latest) = (Instant::now(), self.latest());
        let reports = self.reports.borrow();
        let valid = reports.reported.as_ref().filter(|one| one.is_valid(now));
        valid.map(|one| one.era).filter(|era| *era > latest)
    }

    /// Returns whether an answer has named the latest era since a time.
    pub(crate) fn is_named_since(&self, from: Instant) -> bool {
        let named_at = self.reports.borrow().named_at;
        named_at.is_some_and(|at| at >= from)
    }

    /// Waits until a single instance reports an era beyond the latest one.
    pub(crate) async fn await_reported(&self) {
        let mut reports = self.reports.subscribe();
        while self.reported().is_none() && reports.changed().await.is_ok() {}
    }

    /// Records an era that is known from elsewhere. One that is too far beyond the latest is left to the own answers.
    pub fn learn(&self, era: u32) {
        let latest = self.latest();
        if self.is_far_beyond(era) {
            self.log_bad("far beyond", latest, Some(&era.to_string()));
        } else if era > latest {
            self.set(era);
        }
    }

    fn is_far_beyond(&self, era: u32) -> bool {
        let is_reported = self.reports.borrow().is_reported;
        is_reported && era > self.latest().saturating_add(MAX_MISSED_ERAS)
    }

    fn doubt(&self, era: Option<u32>) {
        self.reports.send_modify(|reports| reports.doubtful = era);
    }

    /// Records an era that the platform has named. It is known before others can learn that.
    fn set_named(&self, era: u32) {
        self.set_with(era, || {
            self.reports.send_modify(|reports| {
                reports.named = reports.named.max(era);
                reports.named_at = Some(Instant::now());
            });
        });
    }

    fn set(&self, era: u32) {
        self.set_with(era, || {});
    }

    /// Sets the latest era, and calls `before_others` before anybody learns of it.
    fn set_with<F>(&self, era: u32, before_others: F)
    where
        F: FnOnce(),
    {
        self.reports.send_modify(|reports| {
            reports.is_reported = true;
            reports.doubtful = None;
        });
        // A later one may have become known meanwhile.
        let before = self.latest();
        self.latest.send_if_modified(|latest| {
            let is_later = era > *latest;
            *latest = era.max(*latest);
            before_others();
            is_later
        });
        if era > before {
            tracing::info!(event = "store_era", before, era);
        }
    }

    /// Logs a report that can't be used, once in each [`LOG_INTERVAL`].
    pub(crate) fn log_bad(&self, fault: &str, latest: u32, reported: Option<&str>) {
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

impl Report {
    fn is_valid(&self, now: Instant) -> bool {
        now - self.at < REPORT_VALIDITY
    }
}

fn parse(text: &str) -> Option<u32> {
    text.trim().parse().ok()
}
