//! The state of one target as seen by this instance.

mod load;
mod reachability;
mod service;
mod warm_up;

use std::{net::SocketAddr, time::Duration};

use base::{RegionId, Registration, TargetId, Time};
use chart::Chart;
use serde::Deserialize;

use crate::{
    ConcurrencyLimit, ExclusionReason, Exclusions, LatencyEstimate, SendGate, hash::seeded_hash,
};

use load::OthersLoad;
use reachability::Reachability;
use warm_up::WarmUp;

/// Lists the states of a target; `charts/target.json` holds the transitions of those that describe
/// its health. Whether it is leaving follows from the reasons for which it is out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Gets limited work while it warms up.
    Cold,
    /// Gets work for all its slots.
    Ready,
    /// Gets no new work because it is out of service.
    Leaving,
    /// Gets no new work because it can't be reached; connections are tried until one opens.
    Down,
}

/// Lists the events that change a target's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetEvent {
    /// The warm-up time is over.
    Warmed,
    /// Several connections in a row failed, or the health endpoint does not respond.
    Failed,
    /// The health endpoint responds again, or a new incarnation has registered.
    Recovered,
    /// The target is back in service.
    Returned,
    /// The target reports that it is cold again, or may have been restarted while it was drained.
    Chilled,
}

/// Describes a target by one response of its health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthReport {
    /// Requests that run on the target, from all instances.
    pub in_flight: u32,
    /// Whether the target reports that it is leaving.
    pub is_leaving: bool,
}

/// Tracks one target's state, load and concurrency limit.
#[derive(Debug, Clone)]
pub struct Target {
    /// Identifier of the target.
    pub id: TargetId,
    /// Region in which the target runs.
    pub region: RegionId,
    /// Address by its last entry.
    addr: SocketAddr,
    /// Requests of this instance that are in flight on the target.
    pub in_flight: u32,
    exclusions: Exclusions,
    slots: u32,
    limit: ConcurrencyLimit,
    /// Health of the target, in service or not.
    condition: TargetState,
    warm_up: WarmUp,
    others: OthersLoad,
    reachability: Reachability,
    latency: LatencyEstimate,
    registration: Option<Registration>,
    /// Exponentially weighted share of recent requests that the target refused.
    refusal_rate: f64,
    /// When the target takes the next request of this instance, by the pauses and rates that it has asked for.
    gate: SendGate,
    /// Time of the last response or report of the target itself; [`Time::ZERO`] if there was none.
    last_word_at: Time,
}

/// Weight of each sample in the exponentially weighted refusal rate.
const REFUSAL_RATE_GAIN: f64 = 0.1;

/// Latency that is assumed before the first response.
pub(crate) const INITIAL_LATENCY: Duration = Duration::from_millis(20);
/// Time for which a target that is no longer configured is remembered after its last response or report: longer
/// than entries are missing because the store was down, and than most pauses that targets ask for.
const MEMORY: Duration = Duration::from_secs(60);

impl Target {
    /// Returns an unregistered target that is cold from `now` on.
    pub fn new(now: Time, id: TargetId, region: RegionId, addr: SocketAddr, slots: u32) -> Self {
        Self {
            id,
            region,
            addr,
            in_flight: 0,
            exclusions: Exclusions::default(),
            slots: slots.max(1),
            limit: ConcurrencyLimit::new(slots),
            condition: TargetState::Cold,
            warm_up: WarmUp::new(now),
            others: OthersLoad::default(),
            reachability: Reachability::default(),
            latency: LatencyEstimate::new(INITIAL_LATENCY),
            registration: None,
            refusal_rate: 0.0,
            gate: SendGate::default(),
            last_word_at: Time::ZERO,
        }
    }

    /// Applies the target's registration; a new incarnation resets what is known of the last one.
    ///
    /// `cold_interval` is the minimum time between two requests of this instance while the target
    /// is cold.
    pub fn update_registration(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        registration: Registration,
        cold_interval: Duration,
    ) {
        let old = self.registration.replace(registration);
        self.warm_up.set_interval(cold_interval);
        self.set_slots(registration.slots);
        let is_new = old.is_none_or(|old| old.incarnation != registration.incarnation);
        let has_returned = old.is_some_and(|old| old.is_leaving && !registration.is_leaving);
        if is_new || has_returned {
            self.exclude(now, chart, ExclusionReason::OwnWord, false);
            self.exclude(now, chart, ExclusionReason::Listed, false);
        }
        if is_new {
            self.limit = ConcurrencyLimit::new(self.slots);
            self.others.forget_response();
            self.refusal_rate = 0.0;
            let rank = self.gate.rate_rank();
            self.gate = SendGate::default();
            self.gate.set_rate_rank(rank);
            self.reachability.reset();
            self.apply_event(now, chart, TargetEvent::Recovered);
        }
        let is_back = self.exclusions.contains(ExclusionReason::Entry) && !registration.is_leaving;
        let has_turned_cold =
            old.is_none_or(|old| registration.cold_ms > old.cold_ms) || is_new || is_back;
        if registration.cold_ms > 0 && has_turned_cold {
            self.mark_cold(
                now,
                chart,
                Duration::from_millis(u64::from(registration.cold_ms)),
            );
        }
    }

    /// Sets the address and returns whether the target was at another one.
    pub(crate) fn set_addr(&mut self, addr: SocketAddr) -> bool {
        std::mem::replace(&mut self.addr, addr) != addr
    }

    /// Returns a digest of the target and its incarnation, or `None` for an unregistered target,
    /// whose incarnation is not known.
    pub fn incarnation_digest(&self) -> Option<u64> {
        let registration = self.registration?;
        Some(seeded_hash(registration.incarnation, self.id.as_str()))
    }

    /// Returns a digest of the target and, where it is known, of its incarnation.
    pub fn digest(&self) -> u64 {
        self.incarnation_digest()
            .unwrap_or_else(|| seeded_hash(0, self.id.as_str()))
    }

    /// Returns when the target takes the next request of this instance, by the pauses and rates that it has asked for.
    pub fn gate(&self) -> &SendGate {
        &self.gate
    }

    /// Returns the same, to record the pauses and rates that the target asks for.
    pub fn gate_mut(&mut self) -> &mut SendGate {
        &mut self.gate
    }

    /// Returns how long this instance must wait before its next request, by the pauses and rates that the target has asked
    /// for; `None` if it is not this instance's turn.
    pub fn send_wait(&self, now: Time) -> Option<Duration> {
        self.gate.wait(now, self.in_flight > 0)
    }

    /// Returns whether the target has registered its own slots and state.
    pub fn is_registered(&self) -> bool {
        self.registration.is_some()
    }

    /// Marks the target as cold for at least `left` from now.
    pub fn mark_cold(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        left: Duration,
    ) {
        self.warm_up.extend(now + left);
        self.apply_event(now, chart, TargetEvent::Chilled);
    }

    /// Records the load that came with a response: `total` requests run or wait on the target.
    pub fn record_load(&mut self, now: Time, total: u32) {
        let others = total.saturating_sub(self.in_flight);
        self.others.record_response(now, others);
    }

    /// Returns the estimated number of requests that run or wait on the target: this instance's own
    /// plus the reported ones of others, which count less the older the report is.
    pub fn estimated_load(&self, now: Time) -> f64 {
        f64::from(self.in_flight) + self.others.by_response(now)
    }

    /// Returns whether one more request may be sent now: the target has a free slot, and a cold or
    /// unreachable target is due for its next request.
    pub fn accepts_request(&self, now: Time) -> bool {
        match self.state() {
            TargetState::Ready => self.has_capacity(now),
            TargetState::Cold => self.warm_up.is_due(now) && self.has_capacity(now),
            TargetState::Leaving | TargetState::Down => false,
        }
    }

    /// Returns whether the target takes part in the ranking of targets for an object, even if it
    /// has no free slot now.
    pub fn is_ranked(&self, now: Time) -> bool {
        (self.state() == TargetState::Ready && self.may_send(now)) || self.accepts_request(now)
    }

    /// Returns whether the pauses and rates that the target has asked for allow this instance a request now.
    pub fn may_send(&self, now: Time) -> bool {
        self.send_wait(now) == Some(Duration::ZERO)
    }

    /// Returns the share of recent requests that the target refused.
    pub fn refusal_rate(&self) -> f64 {
        self.refusal_rate
    }

    /// Updates the refusal rate with one request that was answered or refused.
    pub fn record_result(&mut self, is_refusal: bool) {
        let sample = if is_refusal { 1.0 } else { 0.0 };
        self.refusal_rate += REFUSAL_RATE_GAIN * (sample - self.refusal_rate);
    }

    /// Records a response or report of the target itself.
    pub(crate) fn record_word(&mut self, now: Time) {
        self.last_word_at = now;
    }

    /// Returns whether what is known of the target still counts if its entry comes back.
    pub(crate) fn is_remembered(&self, now: Time) -> bool {
        self.last_word_at != Time::ZERO && now - self.last_word_at < MEMORY
    }

    /// Records that a request is sent to the target.
    pub fn record_send(&mut self, now: Time) {
        self.in_flight += 1;
        self.gate.record_send(now);
        if self.condition == TargetState::Cold {
            self.warm_up.record_send(now);
        }
    }

    /// Returns the target's state.
    pub fn state(&self) -> TargetState {
        if self.is_in_service() {
            self.condition
        } else {
            TargetState::Leaving
        }
    }

    /// Returns the number of requests that the target can run at the same time.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the number of requests that the target can run at the same time.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.limit.set_max(slots);
    }

    /// Returns the number of requests that this instance may run on the target at the same time.
    pub fn concurrency_limit(&self, now: Time) -> u32 {
        match self.state() {
            TargetState::Ready | TargetState::Cold if self.gate.is_on_trial() => 1,
            TargetState::Ready => self.limit.current(),
            TargetState::Cold if self.registration.is_some() => self.limit.current(),
            TargetState::Cold => {
                let usable = self.warm_up.usable_slots(now, self.slots);
                usable.min(self.limit.current())
            }
            TargetState::Leaving | TargetState::Down => 0,
        }
    }

    /// Returns whether the target takes requests of this instance at all, even if it is full now.
    pub(crate) fn takes_requests(&self, now: Time) -> bool {
        self.concurrency_limit(now) > 0
    }

    /// Returns whether this instance may run one more request on the target.
    pub fn has_capacity(&self, now: Time) -> bool {
        self.in_flight < self.concurrency_limit(now) && self.may_send(now)
    }

    /// Returns the requests per slot: this instance's own plus those that others are reported to
    /// run. While reports are distrusted, the slots above this instance's limit count as used by
    /// others.
    pub fn utilization(&self, now: Time) -> f64 {
        let others = self.others.by_health(now);
        let others = others.unwrap_or_else(|| self.slots - self.limit.current().min(self.slots));
        f64::from(self.in_flight + others) / f64::from(self.slots)
    }

    /// Applies an event and returns whether the state changed.
    pub fn apply_event(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
        event: TargetEvent,
    ) -> bool {
        let Some(&next) = chart.next(&self.condition, &event) else {
            return false;
        };
        self.condition = next;
        if next == TargetState::Cold {
            self.warm_up.begin(now);
            self.reachability.reset_failures();
        }
        true
    }

    /// Records a report of the health endpoint.
    pub fn record_health(&mut self, report: HealthReport) {
        let others = report.in_flight.saturating_sub(self.in_flight);
        self.others.record_health(others);
    }

    /// Returns whether the target is cold and its warm-up time is over.
    pub fn is_warm_up_over(&self, now: Time) -> bool {
        self.condition == TargetState::Cold && self.warm_up.is_over(now, self.is_registered())
    }

    /// Returns the cost of one more request: the utilization with it, times the mean latency.
    pub fn cost(&self, now: Time) -> f64 {
        let load = self.utilization(now) + 1.0 / f64::from(self.slots);
        load * self.latency.mean().as_secs_f64()
    }

    /// Records a response that arrived after `latency`.
    pub fn record_success(&mut self, latency: Duration) {
        self.reachability.reset();
        self.gate.record_run();
        self.latency.record(latency);
        self.limit.record_success(self.in_flight);
    }

    /// Records a refusal for lack of capacity; if the health report showed a free slot, it is
    /// distrusted for a while.
    pub fn record_refusal(&mut self, now: Time) {
        if self.utilization(now) < 1.0 {
            self.others.distrust_health(now);
        }
        self.limit.record_refusal();
    }

    /// Records a failed connection at `now` and returns whether the target counts as down now.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let is_down = self.condition == TargetState::Down;
        self.reachability.record_failure(now, is_down)
    }

    /// Returns whether a connection is to be tried now to see whether the target is back, and if
    /// so, counts it as tried.
    ///
    /// The time between two of them grows until a request is answered, so that a target that only
    /// accepts connections is not taken for a sound one again and again.
    pub fn take_probe(&mut self, now: Time) -> bool {
        self.state() == TargetState::Down
            && self.is_registered()
            && self.reachability.take_probe(now)
    }

    /// Returns whether a connection to the target, which is down, may show now that it is back.
    ///
    /// A target that accepts connections without answering is found again after longer and longer times.
    pub(crate) fn may_be_found(&self, now: Time) -> bool {
        self.state() == TargetState::Down && self.reachability.may_be_found(now)
    }

    /// Records that a connection could be opened, and returns whether the target was down.
    pub(crate) fn record_find(
        &mut self,
        now: Time,
        chart: &Chart<TargetState, TargetEvent>,
    ) -> bool {
        let is_found = self.apply_event(now, chart, TargetEvent::Recovered);
        if is_found {
            self.reachability.record_find(now);
        }
        is_found
    }
}
