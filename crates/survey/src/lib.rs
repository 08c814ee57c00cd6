//! The questionnaire and the configuration generated from its answers.

mod answers;
mod generate;

pub use answers::{
    Answers, DomainAnswer, RouteAnswer, ServiceAnswer, WorkspaceAnswer, parse_answers,
};
pub use generate::generate_config;
