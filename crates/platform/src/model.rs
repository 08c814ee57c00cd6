//! Calls to the platform, their replies and errors.

use base::{DomainId, Position, without_eras};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Requests one operation of the platform.
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
    /// Reads the rows whose names begin with a prefix.
    Scan {
        /// Table that holds the rows.
        table: String,
        /// Prefix of the rows' names.
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
    /// Reads a whole table and the position in its history after which changes are to be read.
    Snapshot {
        /// Table to read.
        table: String,
    },
    /// Reads the changes of a table after a position, and waits for one if there is none.
    Changes {
        /// Table to follow.
        table: String,
        /// Position of the last change that the caller knows.
        #[serde(deserialize_with = "without_eras::one")]
        after: Position,
        /// Maximum time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the latest position in the history of the platform's tables, and no rows.
    Position {
        /// Table by which the platform is asked.
        table: String,
    },
    /// Reads the list of live and leaving machines.
    List,
    /// Adds or updates a machine on the list; the platform does so itself when it starts or stops one.
    Announce {
        /// Entry of the machine.
        listed: ListedMachine,
    },
    /// Removes a machine from the list.
    Forget {
        /// Name of the machine.
        id: String,
    },
}

/// Result of a successful [`Call`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The row, or `None` if it does not exist.
    Row(Option<Row>),
    /// Rows by name.
    Rows(Vec<(String, Row)>),
    /// The new row versions, in the order of the writes; a deletion's has no meaning.
    Written(#[serde(deserialize_with = "without_eras::all")] Vec<Position>),
    /// The object, or `None` if it does not exist.
    Object(Option<String>),
    /// Changes in order, and the position up to which they are complete.
    Changes(
        Vec<Change>,
        #[serde(deserialize_with = "without_eras::one")] Position,
    ),
    /// The latest position.
    Position(#[serde(deserialize_with = "without_eras::one")] Position),
    /// The listed machines.
    List(Vec<ListedMachine>),
    /// The call was executed and has no other result.
    Done,
}

/// Pairs a row's content with the version that a conditional write must name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version of the row, which rises with each write while the row exists.
    #[serde(deserialize_with = "without_eras::one")]
    pub version: Position,
    /// Content of the row.
    pub value: String,
}

/// Describes the last change of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the row.
    pub row: String,
    /// Content of the row; `None` if it was deleted.
    pub value: Option<String>,
    /// Position of the change in the history of the platform's tables.
    #[serde(deserialize_with = "without_eras::one")]
    pub at: Position,
}

/// Describes one conditional write or deletion in a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Table that holds the row.
    pub table: String,
    /// Name of the row.
    pub row: String,
    /// Condition on the row's current state.
    pub expect: Precondition,
    /// New content; `None` deletes the row.
    pub value: Option<String>,
}

/// Condition on a row's state that a write requires to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// No condition.
    Any,
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    Version(#[serde(deserialize_with = "without_eras::one")] Position),
}

impl Precondition {
    /// Returns whether it expects a version of an era before `era`, which says nothing about the row any more.
    pub fn is_before(self, era: u32) -> bool {
        matches!(self, Self::Version(version) if version.era < era)
    }
}

impl Write {
    /// Returns a write that unconditionally deletes a row.
    pub fn new(table: &str, row: &str) -> Self {
        Self {
            table: table.to_owned(),
            row: row.to_owned(),
            expect: Precondition::Any,
            value: None,
        }
    }

    /// Sets the new content, which makes it a write instead of a deletion.
    pub fn value(mut self, value: &str) -> Self {
        self.value = Some(value.to_owned());
        self
    }

    /// Sets the condition on the row's current state.
    pub fn expect(mut self, expect: Precondition) -> Self {
        self.expect = expect;
        self
    }
}

/// Describes an instance or a target on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the instance or target.
    pub id: String,
    /// Whether it is an instance or a target.
    pub kind: MachineKind,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// UDP address of an instance for other instances, or TCP address of a target for requests.
    pub addr: std::net::SocketAddr,
    /// Whether it is live or shutting down.
    pub state: MachineState,
}

/// Roles of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// It runs the daemon.
    Instance,
    /// It serves requests of a service.
    Target,
}

/// Lifecycle states of a listed machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// The machine runs.
    Live,
    /// The machine is shutting down.
    Leaving,
}

/// Errors of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformError {
    /// No usable reply came: whether a write took effect is unknown.
    #[display("the platform did not answer")]
    Unavailable,
    /// A reply came that names an era of the platform's history which isn't the known one, so that it can't be used:
    /// whether a write took effect is unknown.
    #[display("the platform answered in another era than the known one")]
    UnusableEra,
    /// The changes after the requested position are no longer kept: the table has to be read again.
    #[display("the changes after this position are no longer kept")]
    HistoryGone,
    /// A row did not meet its precondition; nothing was written.
    #[display("row {row} is at version {}, which its precondition excludes", version.version)]
    Conflict {
        /// Name of the row.
        row: String,
        /// Current version of the row, or zero if it does not exist.
        #[serde(deserialize_with = "without_eras::one")]
        version: Position,
    },
}
