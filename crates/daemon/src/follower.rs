//! The tasks that follow what the platform stores and activate the configuration from it.

pub mod head;
pub mod tables;

use std::{sync::Arc, time::Duration};

use base::Time;
use entry::{
    lag::LagMeter,
    message::{Confirmation, Event},
    metrics::Metrics,
    view::{Clock, EntryPoint, View},
};
use platform::Platform;
use tokio::sync::{mpsc, watch};
use wire::Secret;

use crate::{fleet::Fleet, message::PeerCommand, table_reads::ReadTiming};

/// Time for which a reported freshness is valid; after it, the engine treats the instance as
/// isolated.
const FRESHNESS_VALIDITY: Duration = Duration::from_secs(1);
/// Fraction of the time within which a change must be in force for which a confirmation allows refusals for
/// good; the rest is for the drift of the clocks by which it is dated.
const REFUSAL_FRACTION: f64 = 0.95;
/// Fraction of the time within which the departure of a target ends its requests for which a confirmation of its row
/// allows them; the rest is for their way.
const TARGETS_FRACTION: f64 = 0.9;

/// Configures a follower: what it reads, how often, and for how long a read confirms the configuration.
#[derive(Debug)]
pub struct FollowerOptions {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Tells how long what is read now has waited for this process.
    pub lag: LagMeter,
    /// Platform that stores the configuration.
    pub platform: Platform,
    /// Secret that authenticates calls between instances.
    pub secret: Secret,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Time after which a confirmation that the configuration is the latest expires.
    pub confirm_limit: Duration,
    /// Time within which a change must be in force.
    pub apply: Duration,
    /// Time within which the departure of a target must end its requests.
    pub drain: Duration,
    /// Times of the reads.
    pub read_timing: ReadTiming,
    /// Entry point of this instance, as look-ups return it.
    pub own_entry: EntryPoint,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
}

impl FollowerOptions {
    /// Returns how long after a configuration was last known to be the latest it may refuse permanently what it
    /// doesn't know: no change since then has to be in force before.
    fn refusal_time(&self) -> Duration {
        self.apply.mul_f64(REFUSAL_FRACTION).min(self.confirm_limit)
    }

    /// Returns how long after the rows of targets were last known to be the latest requests may be sent by them without
    /// having received anything since: no target that has left since then has to be out of use before.
    fn targets_time(&self) -> Duration {
        self.drain.mul_f64(TARGETS_FRACTION).min(self.confirm_limit)
    }
}

/// Tells until when the configuration may be gone by without another word.
#[derive(Debug)]
struct Validity {
    /// Time until which it may refuse permanently what it doesn't know.
    refuse_until: Time,
    /// What that time follows from.
    confirmation: Option<Confirmation>,
    /// Time until which requests may be sent by the rows of targets.
    targets_until: Time,
}

/// Connects a follower to the tasks that use the configuration.
#[derive(Debug)]
pub struct Outputs {
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Channel to the task that exchanges messages with the other instances.
    pub peers: mpsc::Sender<PeerCommand>,
    /// Publishes the configuration and its freshness to the request handlers.
    pub view: watch::Sender<Arc<View>>,
}

impl Outputs {
    /// Publishes the freshness of the configuration, and the view if it has changed; returns whether it
    /// has.
    fn publish(
        &self,
        now: Time,
        view: View,
        confirmed_at: Option<Time>,
        validity: Validity,
    ) -> bool {
        let freshness = view.freshness;
        let _ = self.engine.send(Event::ConfigFreshness {
            freshness,
            valid_until: now + FRESHNESS_VALIDITY,
            confirmed_at,
            refuse_until: validity.refuse_until,
            confirmation: validity.confirmation,
            targets_until: validity.targets_until,
        });
        self.view.send_if_modified(|current| {
            let version_of = |view: &View| view.config.as_ref().map(|(version, _)| *version);
            // Departures change neither the version nor, if others report them, the configuration.
            let is_same_config = match (&current.config, &view.config) {
                (Some((_, before)), Some((_, after))) => Arc::ptr_eq(before, after),
                (before, after) => before.is_none() && after.is_none(),
            };
            let is_changed = current.freshness != freshness
                || current.entries != view.entries
                || current.is_leaving != view.is_leaving
                || version_of(current) != version_of(&view)
                || !is_same_config
                || current.departed != view.departed;
            if is_changed {
                *current = Arc::new(view);
            }
            is_changed
        })
    }
}
