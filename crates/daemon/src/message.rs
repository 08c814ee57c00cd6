//! Messages between instances and between the daemon's tasks.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{InstanceId, Position, RegionId, ServiceId, Time, Version, WorkspaceId};
use coord::{
    Departure, Grant, GrantRequest, Head, Heartbeat, ListEntry, Loan, RetainedEntry, RowsReport,
};
use dispatch::{ConnectionLoss, LossReport, QuarantineReport, RateReport};
use serde::{Deserialize, Deserializer, Serialize};

/// Format whose positions of tables have no eras.
pub(crate) const FORMAT_WITHOUT_ERAS: u32 = 11;
/// Index of the targets' table among the followed ones, as heartbeats list them.
pub(crate) const TARGETS: usize = 1;

/// Carries a message from one instance to another over UDP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Reports that the sender is alive, and its current state.
    Heartbeat(#[serde(deserialize_with = "read_with_eras")] Box<PeerHeartbeat>),
    /// Requests tokens of a workspace's quota from its owner.
    GrantRequest(WorkspaceId, GrantRequest),
    /// Answers a grant request.
    Grant(WorkspaceId, Grant),
    /// Lends reservations to the receiver, which owns the workspace.
    Lend {
        /// Workspace of the reservations.
        workspace: WorkspaceId,
        /// Epoch of the ownership to which the reservations are lent.
        epoch: u64,
        /// The loans.
        loans: Vec<Loan>,
        /// Sequence number of the receiver's last heartbeat that had arrived before the loans were
        /// made; the receiver derives from it the earliest time at which they can have begun.
        ack: u64,
    },
    /// Reports the rates that targets have named to the sender.
    Rates {
        /// The reports.
        reports: Vec<RateReport>,
        /// Sequence number of the receiver's last heartbeat that had arrived before; the receiver
        /// derives from it the earliest time at which the reports can have been sent.
        ack: u64,
    },
    /// Reports that a connection was lost while a request was in flight on it. Instances of earlier builds report losses
    /// so.
    ConnectionLoss(ConnectionLoss),
    /// Reports that the sender no longer uses the reservations that were lent to it in this epoch.
    LoansReturned(WorkspaceId, u64),
    /// Reports what the sender knows of requests that crash targets.
    Quarantine(QuarantineReport),
    /// Reports that a connection was lost while a request was in flight on it, and how long ago.
    DatedLoss(LossReport),
    /// Reports what the sender knows of requests that crash targets, with times.
    DatedQuarantine {
        /// The report.
        report: QuarantineReport,
        /// Sequence number of the receiver's last heartbeat that had arrived before; the receiver derives from it and
        /// from `ack_age` the earliest time at which the report can have been sent.
        ack: u64,
        /// Time from the arrival of that heartbeat to the sending of the report.
        ack_age: Duration,
    },
}

/// Reports an instance's identity and the part of its state that other instances use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat<P = Position> {
    /// Identity, incarnation, configuration version and its age.
    pub status: Heartbeat,
    /// Sequence number within the sender's incarnation.
    pub sequence: u64,
    /// Sequence number of the receiver's last heartbeat that reached the sender, zero if none did.
    ///
    /// The receiver knows by its own clock when it sent that heartbeat, so this bounds the age of
    /// the message even if it waited in a socket buffer.
    pub ack: u64,
    /// Address of the sender's listener for callers.
    pub entry: SocketAddr,
    /// Head of the sender's active configuration.
    pub head: Option<Head>,
    /// Workspaces that the sender currently owns, with the epochs of the ownership.
    pub owned_workspaces: Vec<(WorkspaceId, u64)>,
    /// Number of quota slots that the sender holds.
    pub held_slots: u32,
    /// Requests per second for each service that callers send to the heartbeat's sender and that
    /// may be served in several regions.
    pub demand: Vec<(ServiceId, f64)>,
    /// Requests per second for each service that may be served in only one region.
    pub pinned_demand: Vec<(ServiceId, RegionId, f64)>,
    /// Positions up to which the sender has read the followed tables, in the tables' order.
    pub table_positions: Vec<P>,
    /// Whether the sender reaches the targets itself, not through other instances.
    pub has_target_path: bool,
    /// Format of the sender's messages.
    pub format: u32,
    /// Version of the sender's build, for operators.
    pub build: String,
    /// Targets that have left, by rows beyond the last position that the receiver has reported.
    pub departures: Vec<Departure<P>>,
    /// The latest change of the first table of which the sender knows.
    pub change: Option<ChangeReport<P>>,
    /// Time from the arrival of the heartbeat that `ack` names to the sending of this one.
    pub ack_age: Duration,
    /// Whether the sender's own reads of the targets' table succeed; `None` before the first one.
    pub reads: Option<ReadsReport>,
    /// The rows of the followed tables, in the tables' order; `None` where they aren't known to be exact.
    pub rows: Vec<Option<RowsReport<P>>>,
    /// Targets whose entries are gone and which the sender retains for some time.
    pub retained: Vec<RetainedReport<P>>,
    /// Latest era of the platform's history that the platform's own answers have named to the sender, zero if none.
    pub store_era: u32,
    /// Eras of the positions that the sender reports of each followed table, in the tables' order; empty if all are zero.
    pub table_eras: Vec<u32>,
}

/// Reports that an entry is gone, and for how long the sender retains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedReport<P = Position> {
    /// What others are to know once that is over.
    pub departure: Departure<P>,
    /// Time that is left.
    pub remaining: Duration,
}

/// Reports whether an instance reads a table of the platform itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadsReport {
    /// Time since the last own read that was answered.
    pub contact_age: Duration,
    /// Whether a read on a new connection has failed since.
    pub is_failing: bool,
}

/// Tells when an instance last read a table of the platform itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnReads {
    /// Time of the last own read that was answered.
    pub contact_at: Time,
    /// Whether a read on a new connection has failed since.
    pub is_failing: bool,
}

/// Reports a change of a table of which the sender knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReport<P = Position> {
    /// Position of the change; while it is arriving, the position of the rows that it follows.
    pub position: P,
    /// Whether the sender doesn't have it yet.
    pub is_arriving: bool,
    /// Time for which the sender has known of it.
    pub age: Duration,
}

/// A change of the first table of which an instance knows at first hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableChange {
    /// Position of the change; while it is arriving, the position of the rows that it follows.
    pub position: Position,
    /// Whether that instance doesn't have it yet.
    pub is_arriving: bool,
    /// Time since which that instance has known of it.
    pub since: Time,
}

impl TableChange {
    /// Returns a change that an instance has, and of which it has known since `since`.
    pub fn complete(position: Position, since: Time) -> Self {
        Self {
            position,
            is_arriving: false,
            since,
        }
    }

    /// Returns a change that comes after the rows up to `position` and has been arriving since `since`.
    pub fn arriving_after(position: Position, since: Time) -> Self {
        Self {
            position,
            is_arriving: true,
            since,
        }
    }
}

impl<P> PeerHeartbeat<P> {
    /// Returns the era of what the sender reports of a table.
    pub(crate) fn era_of(&self, table: usize) -> u32 {
        self.table_eras.get(table).copied().unwrap_or(0)
    }
}

impl PeerHeartbeat<Version> {
    /// Gives all positions the eras that were transferred with them.
    pub(crate) fn located(self) -> PeerHeartbeat {
        let (first_era, targets_era) = (self.era_of(0), self.era_of(TARGETS));
        let eras = self.table_eras.clone();
        let era_of = |idx: usize| eras.get(idx).copied().unwrap_or(0);
        let positions = self.table_positions.into_iter().enumerate();
        let departures = self.departures.into_iter();
        let rows = self.rows.into_iter().enumerate();
        let retained = self.retained.into_iter().map(|report| RetainedReport {
            departure: report.departure.in_era(targets_era),
            remaining: report.remaining,
        });
        PeerHeartbeat {
            table_positions: positions
                .map(|(idx, version)| version.in_era(era_of(idx)))
                .collect(),
            departures: departures
                .map(|departure| departure.in_era(targets_era))
                .collect(),
            change: self.change.map(|change| ChangeReport {
                position: change.position.in_era(first_era),
                is_arriving: change.is_arriving,
                age: change.age,
            }),
            rows: rows
                .map(|(idx, report)| report.map(|report| report.in_era(era_of(idx))))
                .collect(),
            retained: retained.collect(),
            status: self.status,
            sequence: self.sequence,
            ack: self.ack,
            entry: self.entry,
            head: self.head,
            owned_workspaces: self.owned_workspaces,
            held_slots: self.held_slots,
            demand: self.demand,
            pinned_demand: self.pinned_demand,
            has_target_path: self.has_target_path,
            format: self.format,
            build: self.build,
            ack_age: self.ack_age,
            reads: self.reads,
            store_era: self.store_era,
            table_eras: self.table_eras,
        }
    }
}

impl PeerHeartbeat {
    /// Sets the followed tables' positions, and their eras with them.
    pub fn set_positions(&mut self, positions: Vec<Position>) {
        let eras: Vec<u32> = positions.iter().map(|position| position.era).collect();
        self.table_eras = if eras.iter().all(|era| *era == 0) {
            Vec::new()
        } else {
            eras
        };
        self.table_positions = positions;
    }

    /// Returns an era that the sender knows to have begun, zero if of none: one that the platform has named to it, or of
    /// which it has rows.
    pub fn known_era(&self) -> u32 {
        // Those of an earlier format are the receiver's.
        let own = self
            .table_eras
            .iter()
            .filter(|_| self.format > FORMAT_WITHOUT_ERAS);
        own.copied().fold(self.store_era, u32::max)
    }

    /// Takes all positions for ones of these eras, in the tables' order.
    pub(crate) fn assume_eras(&mut self, table_eras: Vec<u32>) {
        self.table_eras = table_eras;
        let targets_era = self.era_of(TARGETS);
        let eras = self.table_eras.clone();
        let era_of = |idx: usize| eras.get(idx).copied().unwrap_or(0);
        for (idx, position) in self.table_positions.iter_mut().enumerate() {
            *position = position.in_era(era_of(idx));
        }
        for (idx, report) in self.rows.iter_mut().enumerate() {
            if let Some(report) = report {
                report.changed_at = report.changed_at.in_era(era_of(idx));
            }
        }
        if let Some(change) = &mut self.change {
            change.position = change.position.in_era(era_of(0));
        }
        let retained = self.retained.iter_mut().map(|report| &mut report.departure);
        for departure in self.departures.iter_mut().chain(retained) {
            departure.position = departure.position.in_era(targets_era);
        }
    }

    /// Returns whether callers or requests would go wrong if the change since the heartbeat `before` were
    /// published later.
    pub(crate) fn is_urgent_after(&self, before: &Self) -> bool {
        before.status.incarnation != self.status.incarnation
            || before.status.is_leaving != self.status.is_leaving
            || before.has_target_path != self.has_target_path
            || before.entry != self.entry
    }
}

fn read_with_eras<'de, D>(deserializer: D) -> Result<Box<PeerHeartbeat>, D::Error>
where
    D: Deserializer<'de>,
{
    let heartbeat = PeerHeartbeat::<Version>::deserialize(deserializer)?;
    Ok(Box::new(heartbeat.located()))
}

/// Commands the task that exchanges messages with the other instances.
#[derive(Debug)]
pub enum PeerCommand {
    /// Sends a message to an instance.
    Send(InstanceId, PeerMessage),
    /// Replaces the platform's list of instances.
    SetList(Vec<ListedPeer>),
    /// Sets the configuration that heartbeats report.
    SetHead {
        /// Head of the active configuration.
        head: Option<Head>,
        /// Time at which it was last known to be the latest.
        confirmed_at: Option<Time>,
    },
    /// Sets the table positions that heartbeats report.
    SetTablePositions {
        /// Positions in the tables' order.
        positions: Vec<Position>,
        /// Time at which the platform was last known to have no later changes.
        confirmed_at: Option<Time>,
        /// The latest change of the first table of which this instance knows at first hand.
        change: Option<TableChange>,
        /// Whether the own reads of the targets' table succeed.
        reads: Option<OwnReads>,
    },
    /// Sets the targets that have left recently, for instances that haven't read these rows yet; the newest first.
    SetDepartures(Arc<Vec<Departure>>),
    /// Sets the entries that are gone and retained for some time.
    SetRetained(Arc<Vec<RetainedEntry>>),
    /// Sets what heartbeats report of the rows of the followed tables, in the tables' order.
    SetRows(Vec<Option<RowsReport>>),
    /// Sets the workspaces that this instance owns, with the epochs of the ownership.
    SetOwnedWorkspaces(Vec<(WorkspaceId, u64)>),
    /// Sets the number of quota slots that this instance holds.
    SetHeldSlots(u32),
    /// Sets whether this instance reaches the targets itself, not through other instances.
    SetTargetPath(bool),
    /// Sets the requests per second of each service that callers send to this instance: first those
    /// that may be served in several regions, then those that may be served in only one.
    SetDemand(Vec<(ServiceId, f64)>, Vec<(ServiceId, RegionId, f64)>),
    /// Reports to the other instances that this instance is leaving.
    Leave,
}

/// Describes an instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedPeer {
    /// Entry on the list.
    pub entry: ListEntry,
    /// Address at which other instances reach it.
    pub addr: SocketAddr,
}

/// Notifies the task that follows the configuration.
#[derive(Debug)]
pub enum FollowerMessage {
    /// Another instance reported its configuration in a heartbeat.
    PeerHead {
        /// Instance that sent the heartbeat.
        from: InstanceId,
        /// Head of its active configuration.
        head: Head,
        /// Time at which that configuration was last known to be the latest.
        confirmed_at: Option<Time>,
    },
    /// Another instance reported its table positions in a heartbeat.
    PeerPositions {
        /// Instance that sent the heartbeat.
        from: InstanceId,
        /// Positions in the tables' order.
        positions: Vec<Position>,
        /// Time at which the platform was last known to have no later changes.
        confirmed_at: Option<Time>,
        /// The latest change of the first table of which that instance knows.
        change: Option<TableChange>,
        /// Whether that instance's own reads of the targets' table succeed.
        reads: Option<OwnReads>,
    },
    /// Another instance has rows by which targets have left, and this one had reported older ones.
    PeerDepartures {
        /// Instance that sent the heartbeat.
        from: InstanceId,
        /// The departures.
        departures: Vec<Departure>,
    },
    /// Another instance retains entries of targets that are gone, by the rows that it has reported.
    PeerRetained {
        /// Instance that sent the heartbeat.
        from: InstanceId,
        /// The entries.
        entries: Vec<RetainedEntry>,
    },
    /// Another instance reported its rows in a heartbeat.
    PeerRows {
        /// Instance that sent the heartbeat.
        from: InstanceId,
        /// Its rows in the tables' order; `None` where they aren't known to be exact.
        rows: Vec<Option<RowsReport>>,
    },
    /// This instance is leaving.
    Leave,
}
