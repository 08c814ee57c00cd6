//! The ways in which a command fails, with their exit codes.

use derive_more::{Display, Error, From};
use settings::Findings;

/// Lists the ways in which a command fails.
#[derive(Debug, Display, Error, From)]
pub enum CliFault {
    /// A file can't be read or written.
    #[display("{file}: {reason}")]
    #[from(skip)]
    File {
        /// Path of the file.
        file: String,
        /// What went wrong.
        reason: String,
    },
    /// The answers have faults.
    #[display("{_0}")]
    Answers(Findings),
    /// Another operator's change came first.
    #[display(
        "conflict: this change was made on version {base}, and version {current} is the latest now; \
         nothing was written"
    )]
    #[from(skip)]
    Conflict {
        /// Version that the change was made on.
        base: u64,
        /// Latest version.
        current: u64,
    },
    /// The platform did not answer.
    #[display("the platform can't be reached; {_0}")]
    #[from(skip)]
    Platform(#[error(not(source))] &'static str),
    /// The version was written but is not in force everywhere in time.
    #[display("version {version} is written but not yet in force on: {}", waiting.join(", "))]
    #[from(skip)]
    NotInForce {
        /// Version that was written.
        version: u64,
        /// Instances that have not acknowledged it.
        waiting: Vec<String>,
    },
    /// No instance could be asked.
    #[display("the instance at {_0} can't be reached")]
    #[from(skip)]
    Instance(#[error(not(source))] String),
    /// The request makes no sense for the present configuration.
    #[display("{_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] String),
}

impl CliFault {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } => 1,
            Self::Answers(_) => 3,
            Self::Conflict { .. } => 4,
            Self::Platform(_) => 5,
            Self::NotInForce { .. } => 6,
            Self::Instance(_) => 7,
            Self::Refused(_) => 8,
        }
    }
}
