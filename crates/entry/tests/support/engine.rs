//! Engines that the tests drive by events.

use base::Time;
use coord::{QuotaSplit, SlotHistory};
use dispatch::Policy;
use entry::{
    dial::Dialer,
    engine::{Engine, EngineOptions},
    message::Event,
    view::Clock,
};
use tokio::sync::mpsc;

/// Returns an engine in the region `north` that holds the only slot of all quotas, and no configuration.
pub(crate) fn engine_with(policy: Policy) -> Engine {
    let (relays, _) = mpsc::unbounded_channel();
    let (outgoing, _) = mpsc::unbounded_channel();
    let (events, _) = mpsc::unbounded_channel::<Event>();
    let options = EngineOptions {
        region: "north".into(),
        seed: 1,
        split: QuotaSplit::default(),
        policy,
        refuses_when_isolated: false,
    };
    let dialer = Dialer::new(Clock::start(), relays);
    let mut engine = Engine::new(dialer, options, outgoing, events.downgrade()).unwrap();
    engine.handle(Event::HoldQuotaSlot {
        slot: 0,
        until: Time::NEVER,
        previous_holder: SlotHistory::NeverHeld,
    });
    engine
}
