//! Targets that have left, as instances report them to each other.

use std::{collections::BTreeMap, time::Duration};

use base::{TargetId, Time};
use serde::{Deserialize, Serialize};

/// Reports that the rows of a table that are complete up to a position take a target out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The target.
    pub target: TargetId,
    /// Position of the table.
    pub position: u64,
}

/// Keeps the departures of the last seconds, in bounded memory, for instances whose rows are older.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Departures, lacking};
///
/// let mut departures = Departures::default();
/// departures.record(Time::from_secs(1), vec!["t1".into()], 7);
/// departures.record(Time::from_secs(2), vec!["t2".into()], 9);
/// let kept = departures.newest_first();
/// assert_eq!(lacking(&kept, 8, 0).len(), 1);
/// assert_eq!(lacking(&kept, 9, 0).len(), 0);
/// assert!(departures.expire(Time::from_secs(60)));
/// assert!(departures.newest_first().is_empty());
/// ```
#[derive(Debug, Clone, Default)]
pub struct Departures {
    /// With the times at which they became known, the newest last.
    known: Vec<(Time, Departure)>,
}

impl Departures {
    /// Records the targets that have left by the rows that are complete up to `position`.
    pub fn record(&mut self, now: Time, targets: Vec<TargetId>, position: u64) {
        let left = targets.into_iter();
        let left = left.map(|target| (now, Departure { target, position }));
        self.known.extend(left);
        let excess = self.known.len().saturating_sub(MAX_KEPT);
        self.known.drain(..excess);
    }

    /// Forgets the departures of targets that are back as they were, as after an entry that had expired.
    pub fn withdraw<F>(&mut self, is_back: F)
    where
        F: Fn(&TargetId) -> bool,
    {
        self.known
            .retain(|(_, departure)| !is_back(&departure.target));
    }

    /// Forgets what has been known for long, and returns whether there was any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.known.len();
        self.known.retain(|(at, _)| now - *at < RETENTION);
        self.known.len() < before
    }

    /// Goes through the departures, the newest first.
    pub fn iter(&self) -> impl Iterator<Item = &Departure> {
        self.known.iter().rev().map(|(_, departure)| departure)
    }

    /// Returns a copy of the departures, the newest first.
    pub fn newest_first(&self) -> Vec<Departure> {
        self.iter().cloned().collect()
    }
}

/// Returns what one message reports to an instance that has the rows up to `position`, out of departures of which
/// the newest is the first.
///
/// If there are more departures than fit, half of the message reports the newest ones. The other half reports a share of
/// the remaining ones, chosen by the message's number so that successive messages go through all of them.
pub fn lacking(newest_first: &[Departure], position: u64, number: u64) -> Vec<Departure> {
    let lacking = newest_first.iter();
    let mut lacking: Vec<&Departure> = lacking.filter(|one| one.position > position).collect();
    let lengths = lacking.iter().map(|one| one.target.as_str().len());
    let longest = lengths.max().unwrap_or(0);
    let room = (MAX_DEPARTURES_BYTES / (longest + MAX_POSITION_BYTES)).min(MAX_DEPARTURES);
    if lacking.len() > room {
        let others = lacking.split_off(room / 2);
        let share = room - room / 2;
        let from = (number as usize).wrapping_mul(share) % others.len();
        lacking.extend(others.iter().cycle().skip(from).take(share));
    }
    lacking.into_iter().cloned().collect()
}

/// Tracks the targets that others have reported to have left, for as long as the own rows are older.
///
/// A report counts until the own rows reach the departure's position, or longer if the target's row is only retained. If
/// an own read that was sent after the report returns a lower position, the table has gone back: the report no longer
/// counts, and the same one is not applied again.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{Departure, ReportedDepartures};
///
/// let mut reported = ReportedDepartures::default();
/// let left = Departure { target: "t1".into(), position: 7 };
/// reported.on_report(Time::from_secs(1), 6, &[left]);
/// assert_eq!(reported.targets().count(), 1);
/// reported.on_position(7, |_| false);
/// assert_eq!(reported.targets().count(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportedDepartures {
    reports: BTreeMap<TargetId, Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    position: u64,
    /// Time of the first report of this position.
    received_at: Time,
    /// Time of the last one.
    repeated_at: Time,
    /// Whether an own read has shown that the table has gone back since.
    is_refuted: bool,
}

impl ReportedDepartures {
    /// Records those departures that another instance has reported and that are later than the own position.
    pub fn on_report(&mut self, now: Time, own_position: u64, departures: &[Departure]) {
        let is_recent = |report: &Report| now - report.repeated_at < RETENTION * 2;
        self.reports
            .retain(|_, report| !report.is_refuted || is_recent(report));
        let later = departures.iter();
        for departure in later.filter(|departure| departure.position > own_position) {
            if let Some(known) = self.reports.get_mut(&departure.target)
                && known.position >= departure.position
            {
                known.repeated_at = now;
                continue;
            }
            if self.reports.len() >= MAX_KEPT && !self.reports.contains_key(&departure.target) {
                continue;
            }
            let report = Report {
                position: departure.position,
                received_at: now,
                repeated_at: now,
                is_refuted: false,
            };
            self.reports.insert(departure.target.clone(), report);
        }
    }

    /// Records the position of the own rows, and which of them are removed and only retained: earlier reports of
    /// these stay in force.
    pub fn on_position<F>(&mut self, position: u64, is_retained: F)
    where
        F: Fn(&TargetId) -> bool,
    {
        self.reports
            .retain(|target, report| report.position > position || is_retained(target));
    }

    /// Records that an own read has been answered that was sent at `sent_at`, and the position of the own rows after it.
    pub fn on_read(&mut self, sent_at: Time, position: u64) {
        for report in self.reports.values_mut() {
            let has_gone_back = report.received_at < sent_at && report.position > position;
            report.is_refuted |= has_gone_back;
        }
    }

    /// Returns the targets that have left, with the positions at which they had.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, u64)> {
        let reports = self.reports.iter();
        let believed = reports.filter(|(_, report)| !report.is_refuted);
        believed.map(|(target, report)| (target, report.position))
    }
}

/// Maximum number of departures that are kept.
const MAX_KEPT: usize = 512;
/// Time for which departures are reported.
const RETENTION: Duration = Duration::from_secs(15);
/// Maximum number of departures in a message, and of their bytes.
const MAX_DEPARTURES: usize = 24;
const MAX_DEPARTURES_BYTES: usize = 900;
/// Maximum number of bytes of a position and of a name's length.
const MAX_POSITION_BYTES: usize = 12;
