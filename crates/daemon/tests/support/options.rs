//! Options of the followers that the tests start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Incarnation;
use daemon::{fleet::Fleet, follower::FollowerOptions, table_reads::ReadTiming};
use entry::{
    lag::LagMeter,
    metrics::Metrics,
    view::{Clock, EntryPoint},
};
use platform::Platform;
use tokio::sync::watch;
use wire::Secret;

/// Returns the options of an instance `own` that reads `platform` among `fleet`; a test sets its own bounds in
/// place of these.
pub(crate) fn options(
    clock: Clock,
    platform: Platform,
    fleet: watch::Receiver<Arc<Fleet>>,
) -> FollowerOptions {
    FollowerOptions {
        clock,
        lag: LagMeter::unmeasured(clock),
        platform,
        secret: Secret::derive("a secret for tests only"),
        metrics: Metrics::new().unwrap(),
        confirm_limit: Duration::from_secs(4),
        apply: Duration::from_secs(2),
        drain: Duration::from_secs(2),
        read_timing: ReadTiming::within(Duration::from_secs(4)),
        own_entry: EntryPoint {
            instance: "own".into(),
            incarnation: Incarnation(1),
            domain: "d".into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        },
        fleet,
    }
}
