//! Word that a configuration is the latest.

use base::Time;
use coord::Freshness;
use entry::message::Event;

/// Returns the event that the configuration is permanently the latest, and was last known to be at `confirmed_at`.
pub(crate) fn fresh(confirmed_at: Option<Time>) -> Event {
    Event::ConfigFreshness {
        freshness: Freshness::Fresh,
        valid_until: Time::NEVER,
        confirmed_at,
        refuse_until: Time::NEVER,
        confirmation: None,
        targets_until: Time::NEVER,
    }
}
