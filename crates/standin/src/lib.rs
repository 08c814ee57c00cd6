//! Small stand-ins for the platform, targets and callers, for tests and the development mode.

pub mod listen;
pub mod platform_server;
pub mod relay;
pub mod target;
