//! Whether an instance's rows of a table are those of the others at the same position, and when to read them again.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceId, Time};

use crate::{RowsDigest, RowsReport};

/// Time for which a report counts unless its instance sends another one.
const REPORT_VALIDITY: Duration = Duration::from_secs(3);
/// Share of the others from which on they are taken to be right: where two halves differ, all of them might read at once.
const MIN_CONTRADICTING_SHARE: f64 = 2.0 / 3.0;
/// Minimum time after which an instance that most others contradict reads the table again: by then all have reported.
const READ_DELAY: Duration = Duration::from_secs(1);
/// Time over which the reads of such instances are spread.
const READ_SPREAD: Duration = Duration::from_secs(1);
/// Minimum time after which another instance reads the table again: the few that differ have done so.
const LATE_READ_DELAY: Duration = Duration::from_secs(10);
/// Time over which the reads of these instances are spread.
const LATE_READ_SPREAD: Duration = Duration::from_secs(30);
/// Minimum time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of pairs of differing digests that are remembered, so that each is reported once.
const MAX_KNOWN_PAIRS: usize = 64;

/// Describes two replicas that differ at the same position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowsDifference {
    /// Instance of the other replica.
    pub from: InstanceId,
    /// Report of this replica.
    pub own: RowsReport,
    /// Report of the other one.
    pub other: RowsReport,
}

/// Lists the differences that a check has found, and whether it asks for a read of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RowsVerdict {
    /// Differences that haven't been found before.
    pub found: Vec<RowsDifference>,
    /// Whether the own rows differ from any others.
    pub differs: bool,
    /// Whether the table is to be read again.
    pub reads_anew: bool,
}

/// Compares the own rows of a table with what others report of theirs.
///
/// The digests of two replicas don't show which of them is wrong. So an instance whose rows differ from those of most
/// others reads the table first; the others read it only if the difference remains.
#[derive(Debug, Default)]
pub struct RowsCheck {
    reports: BTreeMap<InstanceId, (RowsReport, Time)>,
    known: BTreeSet<(RowsDigest, RowsDigest)>,
    /// Since when the own rows have differed.
    since: Option<Time>,
    /// Time of the last read that was asked for.
    asked_at: Option<Time>,
    /// Whether that read has not come yet.
    is_awaited: bool,
    /// Whether the rows came by such a read, and have no digest yet.
    is_read: bool,
    /// Digest of the rows that such a read has shown to be right.
    verified: Option<RowsDigest>,
}

impl RowsCheck {
    /// Records what another instance reports; `None` if it says nothing of its rows.
    pub fn on_report(&mut self, now: Time, from: &InstanceId, report: Option<RowsReport>) {
        match report {
            Some(report) => self.reports.insert(from.clone(), (report, now)),
            None => self.reports.remove(from),
        };
    }

    /// Records that the whole table has been read from the platform.
    pub fn on_whole_read(&mut self) {
        self.is_read |= std::mem::take(&mut self.is_awaited);
    }

    /// Compares the own report with those of the others. `draw`, from 0 to 1, spreads the reads of several instances.
    pub fn assess(&mut self, now: Time, own: Option<RowsReport>, draw: f64) -> RowsVerdict {
        self.reports
            .retain(|_, (_, at)| now - *at < REPORT_VALIDITY);
        let Some(own) = own else {
            self.since = None;
            return RowsVerdict::default();
        };
        if std::mem::take(&mut self.is_read) {
            self.verified = Some(own.digest);
        }
        let reports = self.reports.values().map(|(report, _)| report);
        let comparable = reports.filter(|report| report.overlaps(&own)).count();
        let contradicted = self.differences(&own).count();
        if contradicted == 0 {
            self.since = None;
            return RowsVerdict::default();
        }
        let since = *self.since.get_or_insert(now);
        let delay = if contradicted as f64 >= comparable as f64 * MIN_CONTRADICTING_SHARE {
            READ_DELAY + READ_SPREAD.mul_f64(draw)
        } else {
            LATE_READ_DELAY + LATE_READ_SPREAD.mul_f64(draw)
        };
        let is_due = now - since >= delay && self.verified != Some(own.digest);
        let reads_anew = is_due && self.asked_at.is_none_or(|at| now - at >= READ_INTERVAL);
        if reads_anew {
            self.asked_at = Some(now);
            self.is_awaited = true;
        }
        RowsVerdict {
            found: self.take_new(&own),
            differs: true,
            reads_anew,
        }
    }

    fn differences(&self, own: &RowsReport) -> impl Iterator<Item = RowsDifference> {
        let own = *own;
        let others = self.reports.iter();
        let others = others.filter(move |(_, (report, _))| report.contradicts(&own));
        others.map(move |(from, (other, _))| RowsDifference {
            from: from.clone(),
            own,
            other: *other,
        })
    }

    /// Returns the differences between digests that haven't been found before.
    fn take_new(&mut self, own: &RowsReport) -> Vec<RowsDifference> {
        let mut found: Vec<RowsDifference> = self.differences(own).collect();
        found.retain(|one| {
            let is_room_left = self.known.len() < MAX_KNOWN_PAIRS;
            is_room_left && self.known.insert((one.own.digest, one.other.digest))
        });
        found
    }
}
