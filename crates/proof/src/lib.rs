//! Deployments of separate processes and simulations in virtual time, for tests and benchmarks.

pub mod caller;
pub mod deployment;
pub mod explore;
pub mod lease_model;
pub mod limits;
pub mod mutate;
pub mod process;
pub mod quota_model;
pub mod rollout;
pub mod service;
pub mod transcript;
pub mod writer;
