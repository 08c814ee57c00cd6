//! The questionnaire and the configuration generated from its answers.

mod answers;
mod generate;

pub use answers::{Answers, DomainAnswer, RouteAnswer, ServiceAnswer, WorkspaceAnswer, check};
pub use generate::generate;
