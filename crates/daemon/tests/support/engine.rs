//! The engine that decides by what a follower reads.

use coord::QuotaSplit;
use dispatch::Policy;
use entry::{
    dial::Dialer,
    engine::{Engine, EngineOptions},
    message::Event,
    view::Clock,
};
use tokio::sync::mpsc;

/// Returns an engine that opens no connection for anybody, and is informed of what it started by `events`.
pub(crate) fn start_engine(clock: Clock, events: &mpsc::UnboundedSender<Event>) -> Engine {
    let (relays, _) = mpsc::unbounded_channel();
    let (outgoing, _) = mpsc::unbounded_channel();
    let options = EngineOptions {
        region: "north".into(),
        seed: 1,
        split: QuotaSplit::default(),
        policy: Policy::default(),
        refuses_when_isolated: false,
    };
    let dialer = Dialer::new(clock, relays);
    Engine::new(dialer, options, outgoing, events.downgrade()).unwrap()
}
