//! Starts whole deployments as separate processes for tests of sessions and failures.

pub mod caller;
pub mod deployment;
pub mod limits;
pub mod process;
pub mod rollout;
pub mod service;
pub mod transcript;
pub mod writer;
