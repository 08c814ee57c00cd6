//! Attempts on their way to targets, at targets and back.

use std::time::Duration;

use base::Time;
use dispatch::{Assignment, Outcome, RequestId};
use rand::RngExt;

use crate::service::{
    event::{Attempt, AttemptId, AttemptOutcome, Event},
    state::{InstanceDispatcher, Simulation, delay},
};

/// Time to open a connection, in addition to a one-way delay.
const CONNECT_TIME: Duration = Duration::from_millis(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum idle time of a connection that counts as fresh.
const MAX_FRESH_IDLE: Duration = Duration::from_secs(1);

impl Simulation<'_> {
    pub(super) fn send_assignment(&mut self, now: Time, instance: usize, assignment: &Assignment) {
        let target = assignment.target.as_str()[1..].parse().unwrap_or(0);
        let id = AttemptId {
            request: assignment.id.0,
            number: assignment.attempt,
        };
        self.send(now, instance, id, target, assignment.needs_fresh_connection);
        if assignment.attempt == 1 {
            self.push(now + assignment.hedge_delay, Event::HedgeDue(id.request));
        }
    }

    pub(super) fn send(
        &mut self,
        now: Time,
        instance: usize,
        id: AttemptId,
        target: usize,
        needs_fresh_connection: bool,
    ) {
        let (is_new, is_silent) =
            self.take_connection(now, instance, target, needs_fresh_connection);
        let attempt = Attempt {
            target,
            started_at: now,
            is_on_new_connection: is_new,
            is_silent,
        };
        self.attempts.insert(id, attempt);
        if is_silent {
            return;
        }
        let connect_time = if is_new {
            CONNECT_TIME + self.delay(instance, target)
        } else {
            Duration::ZERO
        };
        let at = now + connect_time + self.delay(instance, target);
        self.push(at, Event::AttemptArrives(id));
    }

    /// Takes the last used idle connection or opens a new one.
    ///
    /// Returns whether the connection is new, and whether it is silent.
    pub(super) fn take_connection(
        &mut self,
        now: Time,
        instance: usize,
        target: usize,
        needs_fresh_connection: bool,
    ) -> (bool, bool) {
        let idle = self.instances[instance].idle.entry(target).or_default();
        while idle.front().is_some_and(|(at, _)| now - *at > IDLE_TIMEOUT) {
            idle.pop_front();
        }
        let is_usable = idle
            .back()
            .is_some_and(|(at, _)| !needs_fresh_connection || now - *at <= MAX_FRESH_IDLE);
        match idle.pop_back().filter(|_| is_usable) {
            Some((_, is_silent)) => (false, is_silent),
            None => (true, false),
        }
    }

    pub(super) fn handle_attempt_arrival(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id.request) else {
            return;
        };
        let instance = request.instance;
        let response_at = now
            + delay(
                self.scenario,
                self.instances[instance].region,
                self.targets[attempt.target].region,
            );
        let target = &mut self.targets[attempt.target];
        if !target.is_up {
            let outcome = if attempt.is_on_new_connection {
                AttemptOutcome::Unreachable
            } else {
                AttemptOutcome::Lost
            };
            self.push(response_at, Event::AttemptEnds(id, outcome));
            return;
        }
        if target.running.len() >= self.scenario.slots as usize {
            self.measures.attempts_refused += 1;
            self.push(response_at, Event::AttemptEnds(id, AttemptOutcome::Refused));
            return;
        }
        if let Some((leaving, at)) = self.drain_started
            && leaving == attempt.target
        {
            self.measures.last_execution_after_drain = now - at;
        }
        request.execution_count += 1;
        if request.is_non_idempotent && request.execution_count > 1 {
            self.measures.run_twice += 1;
        }
        if request.is_poison {
            self.crash_target(now, attempt.target);
            self.measures.targets_crashed += 1;
            self.push(response_at, Event::AttemptEnds(id, AttemptOutcome::Lost));
            return;
        }
        target.running.push(id);
        let work = self.draw_work_time(now, attempt.target);
        self.push(now + work, Event::WorkCompletes(id));
    }

    /// Draws the time that a request takes on a target.
    pub(super) fn draw_work_time(&mut self, now: Time, target: usize) -> Duration {
        // A quarter of the mean is constant; the rest is exponentially distributed.
        let mean = self.scenario.work.as_secs_f64();
        let draw: f64 = self.rng.random();
        let mut secs = mean * 0.25 - (1.0 - draw).ln() * mean * 0.75;
        if self.underreporting_target == Some(target) {
            secs *= 10.0;
        }
        if let Some((until, extra)) = self.cold_start
            && now < until
        {
            secs += extra.as_secs_f64();
        }
        Duration::from_secs_f64(secs)
    }

    pub(super) fn handle_work_completion(&mut self, now: Time, id: AttemptId) {
        let Some(attempt) = self.attempts.get(&id).copied() else {
            return;
        };
        let target = &mut self.targets[attempt.target];
        let Some(pos) = target.running.iter().position(|running| *running == id) else {
            return;
        };
        target.running.swap_remove(pos);
        let instance = self.requests[&id.request].instance;
        let response_at = now + self.delay(instance, attempt.target);
        self.push(
            response_at,
            Event::AttemptEnds(id, AttemptOutcome::Answered),
        );
    }

    /// Ends a target at once; the attempts that run on it are lost.
    pub(super) fn crash_target(&mut self, now: Time, idx: usize) {
        let running = std::mem::take(&mut self.targets[idx].running);
        for id in running {
            let instance = self.requests[&id.request].instance;
            let response_at = now + self.delay(instance, idx);
            self.push(response_at, Event::AttemptEnds(id, AttemptOutcome::Lost));
        }
        self.targets[idx].is_up = false;
    }

    pub(super) fn handle_attempt_end(
        &mut self,
        now: Time,
        id: AttemptId,
        attempt_outcome: AttemptOutcome,
    ) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        let instance = self.requests[&id.request].instance;
        if matches!(
            attempt_outcome,
            AttemptOutcome::Answered | AttemptOutcome::Refused
        ) {
            let idle = self.instances[instance]
                .idle
                .entry(attempt.target)
                .or_default();
            idle.push_back((now, attempt.is_silent));
        }
        if attempt_outcome == AttemptOutcome::Answered {
            self.complete_answered(now, id.request);
        }
        match &mut self.instances[instance].dispatcher {
            InstanceDispatcher::Product(dispatcher) => {
                let outcome = match attempt_outcome {
                    AttemptOutcome::Answered => Outcome::Answered(now - attempt.started_at),
                    AttemptOutcome::Refused => Outcome::Refused,
                    AttemptOutcome::Unreachable => Outcome::Unreachable,
                    AttemptOutcome::Lost => Outcome::Lost,
                };
                let request = RequestId(id.request);
                let (_, actions) = dispatcher.finish(now, request, id.number, outcome);
                self.apply(now, instance, actions);
                if attempt_outcome == AttemptOutcome::Answered {
                    self.cancel_others(now, instance, id);
                }
            }
            InstanceDispatcher::Baseline(_) => {
                self.baseline_attempt_ended(now, instance, id, attempt.target, attempt_outcome);
            }
        }
    }
}
