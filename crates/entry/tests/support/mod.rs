//! Sends requests to targets without an engine.

mod template;

use std::{net::SocketAddr, time::Duration};

use base::AllowedRegions;
use entry::{
    dial::{DialPlan, Dialer},
    forward::{AttemptResult, Forwarder},
    permit::SendPermit,
    view::Clock,
};
use template::template;
use tokio::sync::{mpsc, watch};

/// Time that a target has for its answer; well over any bound that a test checks.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a forwarder that opens all connections itself.
pub(crate) fn forwarder(clock: Clock) -> Forwarder {
    let (tx, _) = mpsc::unbounded_channel();
    Forwarder::new(Dialer::new(clock, tx))
}

/// Sends one request to the target at `addr`.
pub(crate) async fn send(forwarder: &Forwarder, clock: Clock, addr: SocketAddr) -> AttemptResult {
    let plan = DialPlan {
        target: "t".into(),
        addr,
        relays: Vec::new(),
        prefers_relay: false,
        relay_delay: Duration::from_secs(1),
    };
    let allowed = watch::Sender::new(AllowedRegions::All);
    let permit = SendPermit::new("r".into(), allowed.subscribe());
    let deadline = clock.now() + TIMEOUT;
    forwarder
        .send_attempt(&plan, None, &template(), &permit, deadline)
        .await
}
