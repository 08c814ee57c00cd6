//! Messages between instances, and between the daemon's tasks.

use std::net::SocketAddr;

use base::{InstanceId, RegionId, ServiceId, Time, WorkspaceId};
use coord::{Grant, GrantRequest, Head, Heartbeat, ListEntry, Loan};
use dispatch::ConnectionLoss;
use serde::{Deserialize, Serialize};

/// Goes between instances over UDP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Tells that the sender lives and what it knows.
    Beat(Box<Beat>),
    /// Asks the owner of a workspace for units.
    Ask(WorkspaceId, GrantRequest),
    /// Answers an ask.
    Grant(WorkspaceId, Grant),
    /// Lends floors to the receiver.
    Lend {
        /// Workspace of the floors.
        workspace: WorkspaceId,
        /// Tenure that they are lent to.
        epoch: u64,
        /// The loans.
        loans: Vec<Loan>,
        /// Number of the receiver's heartbeat that the sender had heard before it lent them.
        echo: u64,
    },
    /// A connection was lost while a request was in flight on it.
    Loss(ConnectionLoss),
    /// The sender has stopped using what was lent to this tenure of its.
    Return(WorkspaceId, u64),
}

/// Tells that an instance lives and what it knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Life, version and freshness.
    pub heartbeat: Heartbeat,
    /// Number of this heartbeat within the sender's life.
    pub number: u64,
    /// Number of the receiver's last heartbeat that reached the sender, zero where none did.
    ///
    /// It lets the receiver date this heartbeat by its own clock, however long it waited in a
    /// socket.
    pub echo: u64,
    /// Address of its listener for callers.
    pub entry: SocketAddr,
    /// Configuration that is in force on it.
    pub head: Option<Head>,
    /// Workspaces that it acts as owner of, with the epochs.
    pub owns: Vec<(WorkspaceId, u64)>,
    /// Number of floor slots that it holds.
    pub slots: u32,
    /// Requests per second of each service that callers sent to it and that may run in several
    /// regions.
    pub demand: Vec<(ServiceId, f64)>,
    /// The same that may run in one region alone.
    pub bound: Vec<(ServiceId, RegionId, f64)>,
    /// Positions up to which it knows the followed tables, in their order.
    pub positions: Vec<u64>,
}

/// Tells the peers' task what to do.
#[derive(Debug)]
pub enum PeerCommand {
    /// Send a message.
    Send(InstanceId, PeerMessage),
    /// The platform's list was read.
    List(Vec<ListedPeer>),
    /// The configuration in force or its freshness changed.
    Head {
        /// Configuration in force.
        head: Option<Head>,
        /// Time at which it was known to be the latest.
        confirmed_at: Option<Time>,
    },
    /// The positions up to which the followed tables are known.
    Positions {
        /// Positions in the tables' order.
        positions: Vec<u64>,
        /// Time at which nothing later was known to the tables' keeper.
        confirmed_at: Option<Time>,
    },
    /// The workspaces that this instance acts as owner of, with the epochs.
    Owns(Vec<(WorkspaceId, u64)>),
    /// The number of floor slots that this instance holds.
    Slots(u32),
    /// Requests per second of each service that callers send to this instance: those that may run in
    /// several regions, and those that may run in one alone.
    Demand(Vec<(ServiceId, f64)>, Vec<(ServiceId, RegionId, f64)>),
    /// This instance is leaving.
    Leave,
}

/// Holds one instance of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedPeer {
    /// What the list says.
    pub entry: ListEntry,
    /// Address at which other instances reach it.
    pub addr: SocketAddr,
}

/// Tells the configuration's task what another instance knows.
#[derive(Debug)]
pub enum FollowerMessage {
    /// A heartbeat came.
    Beat {
        /// Instance that sent it.
        from: InstanceId,
        /// Configuration that is in force on it.
        head: Head,
        /// Time at which it was known to be the latest.
        confirmed_at: Option<Time>,
    },
    /// A heartbeat told how far another instance knows the followed tables.
    Positions {
        /// Instance that sent it.
        from: InstanceId,
        /// Positions in the tables' order.
        positions: Vec<u64>,
        /// Time at which nothing later was known to the tables' keeper.
        confirmed_at: Option<Time>,
    },
    /// This instance is leaving.
    Leave,
}
