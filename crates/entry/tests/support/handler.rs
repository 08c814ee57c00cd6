//! Handlers of callers' requests that the tests connect to an engine and a ledger.

use std::{
    io,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};

use entry::{
    callers::{CallerHandler, HandlerOptions, MAX_HELD_BYTES},
    dial::Dialer,
    dialect::Dialect,
    forward::Forwarder,
    held::HeldBytes,
    lag::LagMeter,
    message::{Event, LedgerCall},
    metrics::Metrics,
    recorder::Recorder,
    view::{Clock, View},
};
use record::Sink;
use tokio::sync::{mpsc, watch};

/// Returns a handler whose requests go to `events`, and its claims of actions to `ledger`.
pub(crate) fn handler(
    view: View,
    events: mpsc::UnboundedSender<Event>,
    ledger: mpsc::Sender<LedgerCall>,
) -> CallerHandler {
    let clock = Clock::start();
    let (relays, _) = mpsc::unbounded_channel();
    let (_, view) = watch::channel(Arc::new(view));
    CallerHandler {
        clock,
        lag: LagMeter::unmeasured(clock),
        events,
        ledger,
        view,
        metrics: Metrics::new().unwrap(),
        ids: Arc::new(AtomicU64::new(1)),
        options: HandlerOptions {
            max_body_bytes: 1_024,
            body_timeout: Duration::from_secs(1),
            lookup_ttl: Duration::from_secs(1),
            trace_sample_ratio: 0.0,
        },
        dialect: Arc::new(Dialect::default()),
        recorder: Recorder::new(Sink::start(io::sink()).unwrap(), "i".into(), "north".into()),
        forwarder: Forwarder::new(Dialer::new(clock, relays)),
        held: HeldBytes::new(MAX_HELD_BYTES),
    }
}
