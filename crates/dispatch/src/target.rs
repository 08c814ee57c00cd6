//! One target as this instance sees it.

use std::time::Duration;

use base::{RegionId, TargetId, Time};
use chart::Chart;
use serde::Deserialize;

use crate::{ConcurrencyLimit, LatencyEstimate};

/// Lists the states of a target; `charts/target.json` holds the transitions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes a share of its slots that grows while it warms up.
    Cold,
    /// Takes all its slots.
    Ready,
    /// Takes no new work because it is about to end.
    Leaving,
    /// Takes no new work because it can't be reached.
    Down,
}

/// Lists what changes a target's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetEvent {
    /// The warm-up time is over.
    Warmed,
    /// Several connections in a row failed, or the health endpoint is silent.
    Failed,
    /// The list or the health endpoint says that the target is leaving.
    Leave,
    /// The health endpoint answers again.
    Recovered,
    /// The target takes work again after having been leaving.
    Returned,
}

/// Holds what a target's health endpoint said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that run on the target, from all instances.
    pub in_flight: u32,
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
}

/// Holds one target's limit, load and state.
#[derive(Debug, Clone)]
pub struct Target {
    /// Name of the target.
    pub id: TargetId,
    /// Region in which it runs.
    pub region: RegionId,
    /// Requests that this instance runs on it now.
    pub in_flight: u32,
    /// Whether the configuration lets it take new work.
    pub is_in_service: bool,
    slots: u32,
    limit: ConcurrencyLimit,
    state: TargetState,
    cold_since: Time,
    other_load: u32,
    distrusted_until: Time,
    failures: u32,
    latency: LatencyEstimate,
}

/// Time over which a cold target's share of its slots grows to all of them.
pub(crate) const WARM_UP: Duration = Duration::from_secs(5);
/// Latency that is assumed before any answer.
pub(crate) const FIRST_LATENCY: Duration = Duration::from_millis(20);
const DISTRUST: Duration = Duration::from_secs(5);
const MOST_FAILURES: u32 = 3;

impl Target {
    /// Returns a target that is cold from `now` on.
    pub fn new(now: Time, id: TargetId, region: RegionId, slots: u32) -> Self {
        Self {
            id,
            region,
            in_flight: 0,
            is_in_service: true,
            slots: slots.max(1),
            limit: ConcurrencyLimit::new(slots),
            state: TargetState::Cold,
            cold_since: now,
            other_load: 0,
            distrusted_until: Time::ZERO,
            failures: 0,
            latency: LatencyEstimate::new(FIRST_LATENCY),
        }
    }

    /// Returns the state.
    pub fn state(&self) -> TargetState {
        self.state
    }

    /// Returns the target's slots.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the target's slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit.set_most(slots);
    }

    /// Returns the requests that this instance may run on the target at the same time.
    pub fn allowed(&self, now: Time) -> u32 {
        match self.state {
            TargetState::Ready => self.limit.current(),
            TargetState::Cold => {
                let warmth = (now - self.cold_since).as_secs_f64() / WARM_UP.as_secs_f64();
                let share = 1 + (f64::from(self.slots) * warmth.min(1.0)) as u32;
                share.min(self.limit.current())
            }
            TargetState::Leaving | TargetState::Down => 0,
        }
    }

    /// Returns whether the target can take one more request from this instance.
    pub fn is_free(&self, now: Time) -> bool {
        self.in_flight < self.allowed(now)
    }

    /// Returns the load per slot: own requests plus what others are reported to run.
    pub fn load(&self, now: Time) -> f64 {
        let others = if now < self.distrusted_until {
            self.slots - self.limit.current().min(self.slots)
        } else {
            self.other_load
        };
        f64::from(self.in_flight + others) / f64::from(self.slots)
    }

    /// Applies an event and returns whether the state changed.
    pub fn fire(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        event: TargetEvent,
    ) -> bool {
        let Some(&next) = chart.next(&self.state, &event) else {
            return false;
        };
        self.state = next;
        if next == TargetState::Cold {
            self.cold_since = now;
            self.failures = 0;
        }
        true
    }

    /// Takes in a report of the health endpoint.
    pub fn reported(&mut self, report: Report) {
        self.other_load = report.in_flight.saturating_sub(self.in_flight);
    }

    /// Returns whether the warm-up time of a cold target is over.
    pub fn is_warm(&self, now: Time) -> bool {
        self.state == TargetState::Cold && now - self.cold_since >= WARM_UP
    }

    /// Returns what one more request would cost here: the load with it, times the latency.
    pub fn cost(&self, now: Time) -> f64 {
        let load = self.load(now) + 1.0 / f64::from(self.slots);
        load * self.latency.mean().as_secs_f64()
    }

    /// Records an answer that took this long.
    pub fn answered(&mut self, latency: Duration) {
        self.failures = 0;
        self.latency.record(latency);
        self.limit.succeeded(self.in_flight);
    }

    /// Records a refusal for lack of capacity; a report that showed room is distrusted for a while.
    pub fn refused(&mut self, now: Time) {
        if self.load(now) < 1.0 {
            self.distrusted_until = now + DISTRUST;
        }
        self.limit.refused();
    }

    /// Records a failed connection and returns whether the target counts as failed now.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        self.failures >= MOST_FAILURES
    }
}
