//! The command line for operators of a deployment.

pub mod change;
pub mod command;
pub mod error;
pub mod instance;
mod log_files;
pub mod questionnaire;
pub mod report;
pub mod run;
pub mod versions;
pub mod why;
