//! The questionnaire's answers, their validation and the configuration generated from them.

mod answers;
mod generate;

pub use answers::{
    Answers, DomainAnswer, RouteAnswer, ServiceAnswer, WorkspaceAnswer, parse_answers,
};
pub use generate::generate_config;
