//! One target as this instance sees it.

use std::time::Duration;

use base::{RegionId, Registration, TargetId, Time};
use chart::Chart;
use serde::Deserialize;

use crate::{ConcurrencyLimit, LatencyEstimate, place::mix};

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
    /// The target says that it is cold again.
    Chilled,
}

/// Holds what a target's health endpoint said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
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
    told: Option<Registration>,
    cold_until: Time,
    cold_pause: Duration,
    /// Whether this instance sends nothing to it while it is cold.
    spares_cold: bool,
    cold_next: Time,
    tried_at: Time,
    down_for: Duration,
    reported: Option<LoadReport>,
    errors: f64,
}

/// Holds the load that a target told with an answer.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    at: Time,
    /// Requests of other instances that it ran or queued.
    others: u32,
}

/// Time after which a told load says nothing any more.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// Time for which a target that can't be reached is left alone at first.
const FIRST_DOWN: Duration = Duration::from_millis(500);
/// A pause from which on an instance sends nothing to a cold target.
const LONGEST_COLD_PAUSE: Duration = Duration::from_secs(3_600);
const LONGEST_DOWN: Duration = Duration::from_secs(4);
const ERROR_GAIN: f64 = 0.1;

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
            told: None,
            cold_until: Time::ZERO,
            cold_pause: Duration::ZERO,
            spares_cold: false,
            cold_next: Time::ZERO,
            tried_at: Time::ZERO,
            down_for: FIRST_DOWN,
            reported: None,
            errors: 0.0,
        }
    }

    /// Takes in what the target registered; a new life begins anew.
    ///
    /// `cold_pause` is the time to leave between two requests of this instance while it is cold.
    pub fn registered(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        told: Registration,
        cold_pause: Duration,
    ) {
        let old = self.told.replace(told);
        self.cold_pause = cold_pause;
        self.spares_cold = cold_pause >= LONGEST_COLD_PAUSE;
        self.set_slots(told.slots);
        let is_new = old.is_none_or(|old| old.incarnation != told.incarnation);
        if is_new {
            self.limit = ConcurrencyLimit::new(self.slots);
            self.reported = None;
            self.failures = 0;
            self.errors = 0.0;
            self.down_for = FIRST_DOWN;
            self.fire(now, chart, TargetEvent::Returned);
            self.fire(now, chart, TargetEvent::Recovered);
        }
        let has_chilled = old.is_none_or(|old| told.cold_ms > old.cold_ms) || is_new;
        if told.cold_ms > 0 && has_chilled {
            self.chill(now, chart, Duration::from_millis(u64::from(told.cold_ms)));
        }
    }

    /// Returns a digest of the target and its life; `None` where it doesn't tell its lives.
    pub fn place(&self) -> Option<u64> {
        let told = self.told?;
        Some(mix(told.incarnation, self.id.as_str()))
    }

    /// Returns whether it told its slots and state itself.
    pub fn is_registered(&self) -> bool {
        self.told.is_some()
    }

    /// Takes in that the target is cold for a while.
    pub fn chill(&mut self, now: Time, chart: &Chart<TargetState, TargetEvent>, left: Duration) {
        self.cold_until = self.cold_until.max(now + left);
        self.fire(now, chart, TargetEvent::Chilled);
    }

    /// Takes in the load that an answer told: requests that the target runs and that wait there.
    pub fn record_load(&mut self, now: Time, total: u32) {
        let others = total.saturating_sub(self.in_flight);
        self.reported = Some(LoadReport { at: now, others });
    }

    /// Returns the requests that the target is thought to run and to queue.
    pub fn expected_load(&self, now: Time) -> f64 {
        let others = self.reported.map_or(0.0, |report| {
            let age = (now - report.at).as_secs_f64() / REPORT_LIFE.as_secs_f64();
            f64::from(report.others) * (1.0 - age).max(0.0)
        });
        f64::from(self.in_flight) + others
    }

    /// Returns whether one more request may be sent now, as far as state and cold time go.
    pub fn is_open(&self, now: Time) -> bool {
        match self.state {
            TargetState::Ready => self.is_free(now),
            TargetState::Cold => !self.spares_cold && now >= self.cold_next && self.is_free(now),
            // One request finds out whether it is back.
            TargetState::Down => self.in_flight == 0 && now - self.tried_at >= self.down_for,
            TargetState::Leaving => false,
        }
    }

    /// Returns whether objects keep their place on it, though it may be full now.
    pub fn is_ranked(&self, now: Time) -> bool {
        self.state == TargetState::Ready || self.is_open(now)
    }

    /// Returns the share of late requests that failed on it.
    pub fn errors(&self) -> f64 {
        self.errors
    }

    /// Records that a request failed on it, or did not.
    pub fn judged(&mut self, is_failure: bool) {
        let sample = if is_failure { 1.0 } else { 0.0 };
        self.errors += ERROR_GAIN * (sample - self.errors);
    }

    /// Records that a request goes out to it.
    pub fn sent(&mut self, now: Time) {
        self.in_flight += 1;
        self.tried_at = now;
        if self.state == TargetState::Cold {
            self.cold_next = now + self.cold_pause;
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
        self.limit.set_max(slots);
    }

    /// Returns the requests that this instance may run on the target at the same time.
    pub fn allowed(&self, now: Time) -> u32 {
        match self.state {
            TargetState::Ready => self.limit.current(),
            TargetState::Cold if self.told.is_some() => self.limit.current(),
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
    pub fn reported(&mut self, report: HealthReport) {
        self.other_load = report.in_flight.saturating_sub(self.in_flight);
    }

    /// Returns whether the warm-up time of a cold target is over.
    pub fn is_warm(&self, now: Time) -> bool {
        let is_over = if self.told.is_some() {
            now >= self.cold_until
        } else {
            now - self.cold_since >= WARM_UP
        };
        self.state == TargetState::Cold && is_over
    }

    /// Returns what one more request would cost here: the load with it, times the latency.
    pub fn cost(&self, now: Time) -> f64 {
        let load = self.load(now) + 1.0 / f64::from(self.slots);
        load * self.latency.mean().as_secs_f64()
    }

    /// Records an answer that took this long.
    pub fn answered(&mut self, latency: Duration) {
        self.failures = 0;
        self.down_for = FIRST_DOWN;
        self.latency.record(latency);
        self.limit.record_success(self.in_flight);
    }

    /// Records a refusal for lack of capacity; a report that showed room is distrusted for a while.
    pub fn refused(&mut self, now: Time) {
        if self.load(now) < 1.0 {
            self.distrusted_until = now + DISTRUST;
        }
        self.limit.record_refusal();
    }

    /// Records a failed connection and returns whether the target counts as failed now.
    pub fn failed(&mut self) -> bool {
        self.failures += 1;
        if self.state == TargetState::Down {
            self.down_for = (self.down_for * 2).min(LONGEST_DOWN);
        }
        self.failures >= MOST_FAILURES
    }
}
