//! Calls, replies and faults.

use base::DomainId;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Asks one thing of the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Reads a row.
    Get {
        /// Table that holds the row.
        table: String,
        /// Name of the row.
        row: String,
    },
    /// Reads the rows whose name begins with a prefix.
    Scan {
        /// Table that holds the rows.
        table: String,
        /// Beginning of the rows' names.
        prefix: String,
    },
    /// Writes all rows or none.
    Write {
        /// Rows to write.
        writes: Vec<Write>,
    },
    /// Stores an object.
    PutObject {
        /// Name of the object.
        name: String,
        /// Content of the object.
        text: String,
    },
    /// Reads an object.
    GetObject {
        /// Name of the object.
        name: String,
    },
    /// Reads a whole table as of one moment.
    Snapshot {
        /// Table to read.
        table: String,
    },
    /// Reads what has changed in a table since a position, as soon as something has.
    Changes {
        /// Table to follow.
        table: String,
        /// Position up to which the changes are known.
        after: u64,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the list of live and leaving machines.
    List,
    /// Puts a machine on the list; the platform itself does so when it starts or ends one.
    Announce {
        /// What the list shows.
        listed: ListedMachine,
    },
    /// Takes a machine off the list.
    Forget {
        /// Name of the machine.
        id: String,
    },
}

/// Answers a [`Call`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The row, where there is one.
    Row(Option<Row>),
    /// Rows by name.
    Rows(Vec<(String, Row)>),
    /// The versions written, in the order of the writes.
    Written(Vec<u64>),
    /// The object, where there is one.
    Object(Option<String>),
    /// Changes in order, and the position up to which they are complete.
    Changes(Vec<Change>, u64),
    /// The list.
    List(Vec<ListedMachine>),
    /// The call was carried out.
    Done,
}

/// Holds one row and its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number of times the row was written.
    pub version: u64,
    /// Content.
    pub value: String,
}

/// Describes one changed row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the row.
    pub row: String,
    /// Content; `None` where the row was deleted.
    pub value: Option<String>,
    /// Position of the change.
    pub at: u64,
}

/// Describes one row of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Table that holds the row.
    pub table: String,
    /// Name of the row.
    pub row: String,
    /// State in which the row must be.
    pub expect: Precondition,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// States in which a row must be for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// Any state.
    Any,
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(u64),
}

impl Write {
    /// Returns a write that deletes a row, whatever its state.
    pub fn new(table: &str, row: &str) -> Self {
        Self {
            table: table.to_owned(),
            row: row.to_owned(),
            expect: Precondition::Any,
            value: None,
        }
    }

    /// Sets the content.
    pub fn value(mut self, value: &str) -> Self {
        self.value = Some(value.to_owned());
        self
    }

    /// Sets the state in which the row must be.
    pub fn expect(mut self, expect: Precondition) -> Self {
        self.expect = expect;
        self
    }
}

/// Describes one machine on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the instance or target.
    pub id: String,
    /// What the machine is for.
    pub kind: MachineKind,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Address at which other instances reach it over UDP, or callers a target over TCP.
    pub addr: std::net::SocketAddr,
    /// Whether it is live or leaving.
    pub state: MachineState,
}

/// Lists what a listed machine is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// It runs the daemon.
    Instance,
    /// It serves requests of a service.
    Target,
}

/// States of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine runs.
    Live,
    /// The machine will end soon.
    Leaving,
}

/// Lists the ways in which a call fails.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformError {
    /// No reply came: whether a write took effect is unknown.
    #[display("the platform did not answer")]
    Unavailable,
    /// The changes since the wanted position are no longer kept: the table has to be read anew.
    #[display("the history is gone")]
    HistoryGone,
    /// A row was not as expected; nothing was written.
    #[display("row {row} is at version {version}")]
    Conflict {
        /// Name of the row.
        row: String,
        /// Version that the row has, zero where it does not exist.
        version: u64,
    },
}
