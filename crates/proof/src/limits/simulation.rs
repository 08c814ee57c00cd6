//! What happens at each event of the simulation, in the order of their times.

mod schedule;

use std::{collections::BTreeMap, time::Duration};

use admit::Action;
use base::{Incarnation, InstanceId, Time, WorkspaceId};
use coord::{Grant, GrantRequest, Loan, OwnerId, QuotaAudit, QuotaOwner, SlotHistory, TokenBucket};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use super::{
    instance::{Instance, WORKSPACE},
    outcome::Outcome,
    scenario::{Fault, Scenario},
};

const TICK_INTERVAL: Duration = Duration::from_millis(10);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time that a request may wait for admission.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a refusal counts as late.
const LATE_REFUSAL: Duration = Duration::from_millis(10);

#[derive(Debug)]
enum Event {
    RequestArrives(usize, u64),
    GrantRequest(usize, Incarnation, GrantRequest),
    Grant(usize, Grant),
    /// The owner's heartbeat to an instance, with its epoch and sending time by the owner's clock.
    Heartbeat(usize, u64, Time),
    /// A loan to the owner, with the sending time of the owner's heartbeat that it answers.
    Loan(Incarnation, u64, Loan, Time),
    SendHeartbeats,
    SendLoan(usize),
    Tick(usize),
    OwnerFails,
    SuccessorTakesOver,
    Replace(usize),
}

#[derive(Debug)]
struct Run<'a> {
    scenario: &'a Scenario,
    rng: Pcg32,
    queue: BTreeMap<(Time, u64), Event>,
    /// Number of events queued so far; orders events of the same time.
    event_count: u64,
    instances: Vec<Instance>,
    owner: Option<QuotaOwner>,
    owner_idx: usize,
    epoch: u64,
    /// Bucket with the whole quota, to compare with.
    ideal: TokenBucket,
    audit: QuotaAudit,
    /// Requests not yet decided.
    pending: BTreeMap<u64, PendingRequest>,
    admissions: Vec<Time>,
    outcome: Outcome,
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    deadline: Time,
    /// Time of the last try.
    tried_at: Time,
    tries: u32,
    /// Whether the ideal bucket admitted the first try.
    is_ideal: bool,
}

/// Runs a scenario until its event queue is empty.
pub fn run(scenario: &Scenario) -> Outcome {
    let mut run = Run::new(scenario);
    run.schedule();
    while let Some(((now, _), event)) = run.queue.pop_first() {
        run.handle(now, event);
    }
    run.finish()
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut rng = Pcg32::seed_from_u64(scenario.seed);
        let instances = (0..scenario.instances)
            .map(|_| {
                let deviation = rng.random::<f64>() * 2.0 - 1.0;
                Instance::new(
                    scenario,
                    1.0 + scenario.clock_drift * deviation,
                    Incarnation(1),
                )
            })
            .collect();
        let owner_idx = scenario.instances / 2;
        let mut run = Self {
            scenario,
            rng,
            queue: BTreeMap::new(),
            event_count: 0,
            instances,
            owner: None,
            owner_idx,
            epoch: 1,
            ideal: TokenBucket::full(Time::ZERO, scenario.quota),
            audit: QuotaAudit::new(scenario.quota),
            pending: BTreeMap::new(),
            admissions: Vec::new(),
            outcome: Outcome::default(),
        };
        for (idx, instance) in (0..).zip(&mut run.instances) {
            instance
                .admission
                .hold_slot(Time::ZERO, idx, Time::NEVER, SlotHistory::NeverHeld);
        }
        if scenario.has_owner {
            let mut owner = QuotaOwner::initial(Time::ZERO, scenario.quota, scenario.split);
            owner.set_valid_until(Time::NEVER);
            run.owner = Some(owner);
        }
        run
    }

    fn push(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    fn handle(&mut self, now: Time, event: Event) {
        if let Some(until) = self.paused_until(now, &event) {
            self.push(until, event);
            return;
        }
        match event {
            Event::RequestArrives(idx, id) => self.handle_arrival(now, idx, id),
            Event::Tick(idx) => {
                let local = self.instances[idx].local_time(now);
                let actions = self.instances[idx].admission.tick(local);
                self.apply(now, idx, actions);
                if !self.is_over(now) {
                    self.push(now + TICK_INTERVAL, Event::Tick(idx));
                }
            }
            Event::GrantRequest(from, incarnation, request) => {
                self.handle_grant_request(now, from, incarnation, &request);
            }
            Event::Grant(to, grant) => {
                let local = self.instances[to].local_time(now);
                let workspace = WorkspaceId::from(WORKSPACE);
                let actions = self.instances[to]
                    .admission
                    .on_grant(local, &workspace, &grant);
                self.apply(now, to, actions);
            }
            Event::SendHeartbeats => self.send_heartbeats(now),
            Event::Heartbeat(to, epoch, sent_at) => {
                let instance = &mut self.instances[to];
                instance.last_heartbeat = instance.last_heartbeat.max(Some((epoch, sent_at)));
                let owner = instance.last_heartbeat.map(|(epoch, _)| owner_id(epoch));
                instance.admission.set_owner(&WORKSPACE.into(), owner);
            }
            Event::SendLoan(idx) => self.lend(now, idx),
            Event::Loan(incarnation, epoch, loan, heartbeat_sent_at) => {
                let local = self.instances[self.owner_idx].local_time(now);
                if let Some(owner) = &mut self.owner
                    && epoch == owner.epoch()
                {
                    owner.on_loan(local, incarnation, &loan, heartbeat_sent_at);
                }
            }
            Event::OwnerFails => {
                self.owner = None;
                for instance in &mut self.instances {
                    instance.admission.set_owner(&WORKSPACE.into(), None);
                }
            }
            Event::SuccessorTakesOver => self.take_over(now),
            Event::Replace(idx) => self.replace(now, idx),
        }
    }

    /// Returns the end of the pause if the instance that handles the event is paused.
    fn paused_until(&self, now: Time, event: &Event) -> Option<Time> {
        let idx = match event {
            Event::RequestArrives(idx, _)
            | Event::Tick(idx)
            | Event::Grant(idx, _)
            | Event::Heartbeat(idx, ..)
            | Event::SendLoan(idx) => *idx,
            Event::GrantRequest(..) | Event::Loan(..) | Event::SendHeartbeats => self.owner_idx,
            _ => return None,
        };
        self.scenario.faults.iter().find_map(|fault| match fault {
            Fault::Paused(paused, at, length) if *paused == idx => {
                let (from, until) = (Time::ZERO + *at, Time::ZERO + *at + *length);
                (now >= from && now < until).then_some(until)
            }
            _ => None,
        })
    }

    fn handle_arrival(&mut self, now: Time, idx: usize, id: u64) {
        let mut request = self.pending.get(&id).copied().unwrap_or_else(|| {
            let is_ideal = self.ideal.try_take(now);
            self.outcome.arrived += 1;
            self.outcome.ideal += u64::from(is_ideal);
            PendingRequest {
                deadline: now + REQUEST_TIMEOUT,
                tried_at: now,
                tries: 0,
                is_ideal,
            }
        });
        request.tried_at = now;
        request.tries += 1;
        self.pending.insert(id, request);
        let instance = &mut self.instances[idx];
        let local = instance.local_time(now);
        let workspace = WorkspaceId::from(WORKSPACE);
        let actions =
            instance
                .admission
                .on_request(local, id, &workspace, local + (request.deadline - now));
        self.apply(now, idx, actions);
    }

    fn apply(&mut self, now: Time, idx: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit(id) => {
                    let Some(request) = self.pending.remove(&id) else {
                        continue;
                    };
                    self.admissions.push(now);
                    let wait = now - request.tried_at;
                    self.outcome.max_wait = self.outcome.max_wait.max(wait);
                }
                Action::Refuse(id, refusal) => self.refuse(now, idx, id, refusal.retry_after),
                Action::Lend(..) => {}
                Action::RequestGrant(_, _, request) => {
                    let incarnation = self.instances[idx].incarnation;
                    let at = now + self.delay_to_owner(idx);
                    if !self.is_message_lost(now, idx) {
                        self.push(at, Event::GrantRequest(idx, incarnation, request));
                    }
                    self.outcome.messages += 1;
                }
            }
        }
    }

    /// Lets a refused caller come back when it was told, if it has time and a try left.
    fn refuse(&mut self, now: Time, idx: usize, id: u64, retry_after: Duration) {
        let Some(request) = self.pending.get(&id) else {
            return;
        };
        self.outcome.refusals += 1;
        self.outcome.late_refusals += u64::from(now - request.tried_at > LATE_REFUSAL);
        if request.tries < self.scenario.max_tries && now + retry_after < request.deadline {
            self.push(now + retry_after, Event::RequestArrives(idx, id));
            return;
        }
        self.outcome.wrongly_refused += u64::from(request.is_ideal);
        self.pending.remove(&id);
    }

    fn handle_grant_request(
        &mut self,
        now: Time,
        from: usize,
        incarnation: Incarnation,
        request: &GrantRequest,
    ) {
        let local = self.instances[self.owner_idx].local_time(now);
        let Some(owner) = &mut self.owner else {
            return;
        };
        let Some(grant) = owner.on_request(local, &instance_id(from), incarnation, request) else {
            return;
        };
        let at = now + self.delay_to_owner(from);
        if !self.is_message_lost(now, from) {
            self.push(at, Event::Grant(from, grant));
        }
        self.outcome.messages += 1;
    }

    fn is_over(&self, now: Time) -> bool {
        now >= Time::ZERO + self.scenario.length + REQUEST_TIMEOUT
    }

    fn send_heartbeats(&mut self, now: Time) {
        if self.is_over(now) {
            return;
        }
        self.push(now + HEARTBEAT_INTERVAL, Event::SendHeartbeats);
        let Some(epoch) = self.owner.as_ref().map(QuotaOwner::epoch) else {
            return;
        };
        let sent_at = self.instances[self.owner_idx].local_time(now);
        for idx in 0..self.instances.len() {
            let at = now + self.delay_to_owner(idx);
            if !self.is_message_lost(now, idx) {
                self.push(at, Event::Heartbeat(idx, epoch, sent_at));
            }
        }
    }

    fn lend(&mut self, now: Time, idx: usize) {
        if self.is_over(now) || !self.scenario.lends_reservations {
            return;
        }
        self.push(now + HEARTBEAT_INTERVAL, Event::SendLoan(idx));
        let instance = &mut self.instances[idx];
        let local = instance.local_time(now);
        let Some((epoch, heartbeat_sent_at)) = instance.last_heartbeat else {
            return;
        };
        let incarnation = instance.incarnation;
        let actions = instance.admission.lend(local);
        let at = now + self.delay_to_owner(idx);
        for action in actions {
            if let Action::Lend(_, owner, loans) = action
                && owner.epoch == epoch
                && !self.is_message_lost(now, idx)
            {
                for loan in loans {
                    self.push(at, Event::Loan(incarnation, epoch, loan, heartbeat_sent_at));
                }
            }
        }
    }

    fn take_over(&mut self, now: Time) {
        self.epoch += 1;
        self.owner_idx = (self.owner_idx + 1) % self.instances.len();
        let local = self.instances[self.owner_idx].local_time(now);
        let (quota, split) = (self.scenario.quota, self.scenario.split);
        let mut owner = if split.reserved_share < 1.0 {
            QuotaOwner::successor(local, quota, split, self.epoch)
        } else {
            QuotaOwner::borrowing(local, quota, split, self.epoch)
        };
        owner.set_valid_until(Time::NEVER);
        self.owner = Some(owner);
    }

    fn replace(&mut self, now: Time, idx: usize) {
        let old = &self.instances[idx];
        let incarnation = Incarnation(old.incarnation.0 + 1);
        let mut instance = Instance::new(self.scenario, old.clock_rate, incarnation);
        instance.started_at = now;
        let local = instance.local_time(now);
        let slot = u32::try_from(idx).unwrap_or(0);
        instance
            .admission
            .hold_slot(local, slot, Time::NEVER, SlotHistory::EndedBy(local));
        self.instances[idx] = instance;
    }

    /// Returns the one-way delay between an instance and the owner.
    fn delay_to_owner(&self, idx: usize) -> Duration {
        let regions = 3;
        if idx == self.owner_idx {
            Duration::from_micros(20)
        } else if idx % regions == self.owner_idx % regions {
            Duration::from_millis(1)
        } else {
            self.scenario.region_delay
        }
    }

    /// Draws whether a message between an instance and the owner is lost.
    fn is_message_lost(&mut self, now: Time, idx: usize) -> bool {
        let mut is_lost = false;
        for fault in &self.scenario.faults {
            is_lost |= match fault {
                Fault::Disconnected(disconnected, at, length) => {
                    *disconnected == idx
                        && now >= Time::ZERO + *at
                        && now < Time::ZERO + *at + *length
                }
                Fault::MessageLoss(share) => self.rng.random::<f64>() < *share,
                _ => false,
            };
        }
        is_lost
    }

    fn finish(mut self) -> Outcome {
        self.admissions.sort_unstable();
        for at in &self.admissions {
            self.audit.record(*at);
        }
        self.outcome.admitted = self.admissions.len() as u64;
        self.outcome.wrongly_refused += self
            .pending
            .values()
            .filter(|request| request.is_ideal)
            .count() as u64;
        self.outcome.min_remaining = self.audit.min_remaining();
        self.outcome
    }
}

fn owner_id(epoch: u64) -> OwnerId {
    OwnerId {
        instance: "owner".into(),
        epoch,
    }
}

fn instance_id(idx: usize) -> InstanceId {
    format!("i{idx}").into()
}
