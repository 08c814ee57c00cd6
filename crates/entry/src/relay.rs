//! Other instances that carry connections to targets.

use std::net::SocketAddr;

use base::{InstanceId, RegionId};

/// Names another instance that can carry a connection to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Relay {
    /// ID of the instance.
    pub instance: InstanceId,
    /// Region in which it runs.
    pub region: RegionId,
    /// Address at which other instances reach it.
    pub addr: SocketAddr,
}
