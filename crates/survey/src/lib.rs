//! The questionnaire and the configuration generated from its answers.

mod answers;
mod generate;

pub use answers::{Answers, DomainAnswer, ServiceAnswer, WorkspaceAnswer, check};
pub use generate::generate;
