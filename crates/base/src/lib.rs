//! Identifiers, units, the configuration model and the closed list of error kinds.
//!
//! The other crates build on this one; it depends on none of them and performs no I/O.

mod config;
mod error;
mod hash;
mod id;
mod position;
mod regions;
mod route;
mod shared;
mod time;

pub use config::{
    CallerLimits, ColdStart, Config, Domain, Drains, Key, Links, Registration, Route, RouteKind,
    Service, Target, UNLIMITED_RATE, WeightedService, Workspace, canonical_json, config_digest,
};
pub use error::{ERROR_RESPONSES, ErrorKind, ErrorResponse, Executed, Refusal};
pub use hash::mix_bits;
pub use id::{
    DomainId, Incarnation, InstanceId, KeyDigest, KeyId, RegionId, ServiceId, TargetId, WorkspaceId,
};
pub use position::{Position, Version, without_eras};
pub use regions::AllowedRegions;
pub use route::RouteTable;
pub use shared::Shared;
pub use time::Time;
