//! The command line of the operators.

pub mod change;
pub mod command;
pub mod fault;
pub mod instance;
pub mod questionnaire;
pub mod run;
pub mod versions;
pub mod why;
