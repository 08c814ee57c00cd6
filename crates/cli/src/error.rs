//! Errors of the commands and their exit codes.

use std::io;

use derive_more::{Display, Error, From};
use settings::Findings;

/// Describes why a command failed; each variant has its own exit code.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// A file can't be read or written.
    #[display("{file}: {reason}")]
    #[from(skip)]
    File {
        /// Path of the file.
        file: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The answers are invalid.
    #[display("{_0}")]
    InvalidAnswers(Findings),
    /// Another operator has written a newer version; nothing was written.
    #[display(
        "conflict: this change was made on version {base}, and version {current} is the latest now; \
         nothing was written"
    )]
    #[from(skip)]
    Conflict {
        /// Version on which the change is based.
        base: u64,
        /// Latest version.
        current: u64,
    },
    /// The platform did not answer; holds what this means for the operator.
    #[display("the platform can't be reached; {_0}")]
    #[from(skip)]
    PlatformUnreachable(#[error(not(source))] &'static str),
    /// The version was written, but some instances did not activate it within the wait time.
    #[display("version {version} is written but not yet in force on: {}", pending.join(", "))]
    #[from(skip)]
    NotActive {
        /// Version that was written.
        version: u64,
        /// Instances that have not activated the version.
        pending: Vec<String>,
    },
    /// The instance at this address did not answer or its response was unusable.
    #[display("the instance at {_0} can't be reached")]
    #[from(skip)]
    InstanceUnreachable(#[error(not(source))] String),
    /// Some log lines could not be read; the others were reported.
    #[display("{_0} log lines could not be read")]
    #[from(skip)]
    UnreadableLines(#[error(not(source))] usize),
    /// The command does not apply to the current configuration, or its subject does not exist.
    #[display("{_0}")]
    #[from(skip)]
    InvalidRequest(#[error(not(source))] String),
}

impl CliError {
    /// Returns a function that names the file in an error of reading or writing it.
    pub(crate) fn for_file(file: &str) -> impl Fn(io::Error) -> Self + use<> {
        let file = file.to_owned();
        move |err| Self::File {
            file: file.clone(),
            reason: err.to_string(),
        }
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } => 1,
            Self::InvalidAnswers(_) => 3,
            Self::Conflict { .. } => 4,
            Self::PlatformUnreachable(_) => 5,
            Self::NotActive { .. } => 6,
            Self::InstanceUnreachable(_) => 7,
            Self::InvalidRequest(_) => 8,
            Self::UnreadableLines(_) => 9,
        }
    }
}
