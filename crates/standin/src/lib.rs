//! Test doubles of the platform and of targets, and a network relay, for tests and the development
//! mode.

pub mod config;
pub mod listen;
pub mod platform_server;
pub mod relay;
pub mod target;
