//! Targets that have left, as instances report them to each other.

use std::{collections::BTreeMap, time::Duration};

use base::{Position, TargetId, Time, Version};
use serde::{Deserialize, Serialize};

/// Reports that the rows of a table that are complete up to a position take a target out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure<P = Position> {
    /// The target.
    pub target: TargetId,
    /// Position of the table.
    pub position: P,
}

impl Departure<Version> {
    /// Returns the departure in its era of the table's history.
    pub fn in_era(self, era: u32) -> Departure {
        Departure {
            target: self.target,
            position: self.position.in_era(era),
        }
    }
}

/// Reports that an entry is gone by the rows that are complete up to a position, and is retained for some time, since an
/// outage may have removed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetainedEntry {
    /// Target of the entry.
    pub target: TargetId,
    /// Position of the table.
    pub position: Position,
    /// Time until which it is retained.
    pub until: Time,
}

/// Keeps the departures of the last seconds, in bounded memory, for instances whose rows are older.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{Departures, lacking};
///
/// let mut departures = Departures::default();
/// departures.record(Time::from_secs(1), vec!["t1".into()], Position::from(7));
/// departures.record(Time::from_secs(2), vec!["t2".into()], Position::from(9));
/// let kept = departures.newest_first();
/// assert_eq!(lacking(&kept, Position::from(8), 0).len(), 1);
/// assert_eq!(lacking(&kept, Position::from(9), 0).len(), 0);
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
    pub fn record(&mut self, now: Time, targets: Vec<TargetId>, position: Position) {
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
pub fn lacking(newest_first: &[Departure], position: Position, number: u64) -> Vec<Departure> {
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

/// Returns what one message reports of entries that are retained. If it doesn't hold all of them, they follow each other
/// by the number of the message.
pub fn retained_in_turns(entries: &[RetainedEntry], number: u64) -> Vec<RetainedEntry> {
    let lengths = entries.iter().map(|one| one.target.as_str().len());
    let longest = lengths.max().unwrap_or(0);
    let room = (MAX_RETAINED_BYTES / (longest + MAX_RETAINED_ENTRY_BYTES)).min(MAX_RETAINED);
    let from = (number as usize).wrapping_mul(room) % entries.len().max(1);
    let turn = entries.iter().cycle().skip(from);
    turn.take(room.min(entries.len())).cloned().collect()
}

/// Tracks the targets that others have reported to have left, for as long as the own rows are older.
///
/// A report counts until the own rows reach the departure's position, or longer if the target's row is only retained. If
/// an own read that was sent after the report returns a lower position, the table has gone back: the report no longer
/// counts, and the same one is not applied again.
///
/// An entry that another instance retains leaves once that instance no longer does, without another word of it; whoever
/// has later rows and still retains it reports it again.
///
/// # Examples
///
/// ```
/// use base::{Position, Time};
/// use coord::{Departure, ReportedDepartures};
///
/// let mut reported = ReportedDepartures::default();
/// let left = Departure { target: "t1".into(), position: Position::from(7) };
/// reported.on_report(Time::from_secs(1), Position::from(6), &[left]);
/// assert_eq!(reported.targets().count(), 1);
/// reported.on_position(Position::from(7), |_| false);
/// assert_eq!(reported.targets().count(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ReportedDepartures {
    reports: BTreeMap<TargetId, Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    position: Position,
    /// Time of the first report of this position.
    received_at: Time,
    /// Time of the last one.
    repeated_at: Time,
    /// Whether an own read has shown that the table has gone back since.
    is_refuted: bool,
    /// Time until which the entry is retained elsewhere; `None` once the target has left.
    retained_until: Option<Time>,
}

impl ReportedDepartures {
    /// Records those departures that another instance has reported and that are later than the own position.
    pub fn on_report(&mut self, now: Time, own_position: Position, departures: &[Departure]) {
        let is_recent = |report: &Report| now - report.repeated_at < RETENTION * 2;
        self.reports
            .retain(|_, report| !report.is_refuted || is_recent(report));
        let later = departures.iter();
        for departure in later.filter(|departure| departure.position > own_position) {
            if let Some(known) = self.reports.get_mut(&departure.target)
                && known.position >= departure.position
            {
                known.repeated_at = now;
                known.retained_until = None;
                continue;
            }
            self.insert(now, &departure.target, departure.position, None);
        }
    }

    /// Records entries that another instance retains by rows that are later than the own position.
    pub fn on_retained(&mut self, now: Time, own_position: Position, entries: &[RetainedEntry]) {
        let later = entries.iter();
        for entry in later.filter(|entry| entry.position > own_position) {
            match self.reports.get_mut(&entry.target) {
                Some(known) if known.retained_until.is_none() && !known.is_refuted => {}
                Some(known) if known.position >= entry.position => {
                    known.repeated_at = now;
                    let until = known.retained_until.iter_mut();
                    until.for_each(|until| *until = entry.until.min(*until));
                }
                _ => self.insert(now, &entry.target, entry.position, Some(entry.until)),
            }
        }
    }

    /// Withdraws what was reported of entries that are retained by rows before `position`, which another instance has reached:
    /// they may be back.
    pub fn on_later_rows(&mut self, position: Position) {
        self.reports.retain(|_, report| {
            let is_retained = report.retained_until.is_some() && !report.is_refuted;
            !is_retained || report.position >= position
        });
    }

    /// Counts the targets as left whose entries are no longer retained elsewhere, and returns whether there are any.
    pub fn end_retention(&mut self, now: Time) -> bool {
        let mut is_over = false;
        for report in self.reports.values_mut() {
            if report.retained_until.is_some_and(|until| until <= now) {
                report.retained_until = None;
                is_over = true;
            }
        }
        is_over
    }

    /// Returns the time at which the next entry is no longer retained elsewhere.
    pub fn retention_ends_at(&self) -> Option<Time> {
        let reports = self.reports.values();
        reports.filter_map(|report| report.retained_until).min()
    }

    fn insert(
        &mut self,
        now: Time,
        target: &TargetId,
        position: Position,
        retained_until: Option<Time>,
    ) {
        if self.reports.len() >= MAX_KEPT && !self.reports.contains_key(target) {
            return;
        }
        let report = Report {
            position,
            received_at: now,
            repeated_at: now,
            is_refuted: false,
            retained_until,
        };
        self.reports.insert(target.clone(), report);
    }

    /// Records the position of the own rows, and which of them are removed and only retained: earlier reports of
    /// these stay in force.
    pub fn on_position<F>(&mut self, position: Position, is_retained: F)
    where
        F: Fn(&TargetId) -> bool,
    {
        self.reports
            .retain(|target, report| report.position > position || is_retained(target));
    }

    /// Records that an own read has been answered that was sent at `sent_at`, and the position of the own rows after it.
    pub fn on_read(&mut self, sent_at: Time, position: Position) {
        for report in self.reports.values_mut() {
            let has_gone_back = report.received_at < sent_at && report.position > position;
            report.is_refuted |= has_gone_back;
        }
    }

    /// Returns the targets that have left, with the positions at which they had.
    pub fn targets(&self) -> impl Iterator<Item = (&TargetId, Position)> {
        let reports = self.reports.iter();
        let believed =
            reports.filter(|(_, report)| !report.is_refuted && report.retained_until.is_none());
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
/// Maximum number of retained entries in a message, and of their bytes.
const MAX_RETAINED: usize = 12;
const MAX_RETAINED_BYTES: usize = 450;
/// Maximum number of bytes of one of them in addition to its name: a time as well.
const MAX_RETAINED_ENTRY_BYTES: usize = MAX_POSITION_BYTES + 7;
