//! A small model of one quota, for an exhaustive search: a reservation that is lent and passes to another holder, an owner
//! that is followed by another one, and grants.
//!
//! What the instances decide is decided by the product's own [`QuotaHolder`] and [`QuotaOwner`]. Each message may arrive
//! at any time after it was sent, or never.

use std::time::Duration;

use base::{Incarnation, InstanceId, Time};
use coord::{
    Grant, GrantRequest, Loan, OwnerId, Quota, QuotaAudit, QuotaHolder, QuotaOwner, QuotaSplit,
    SlotHistory,
};

/// Configures the model. The first instance holds the only slot as it begins.
#[derive(Debug, Clone)]
pub struct QuotaModel {
    /// Rates of the clocks, in thousandths: those of the instances, and that of the owner.
    pub clock_rates: [u64; 3],
    /// The whole quota.
    pub quota: Quota,
    /// How it is divided.
    pub split: QuotaSplit,
    /// Numbers of events that may happen.
    pub events: QuotaEvents,
    /// Times that pass between the moments in which something happens.
    pub steps: Vec<Duration>,
    /// What is done wrongly.
    pub flaw: Option<QuotaFlaw>,
}

/// Counts the events that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuotaEvents {
    /// Times that a holder lends its reservation.
    pub loans: u8,
    /// Requests for tokens, repeated ones included.
    pub requests: u8,
    /// Owners that follow another one.
    pub owner_changes: u8,
    /// Times that the slot passes to the other instance.
    pub slot_changes: u8,
    /// Starts of another incarnation in place of a running one.
    pub restarts: u8,
}

/// Lists what can be done wrongly, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaFlaw {
    /// A slot that was held before looks never held.
    HistoryForgotten,
    /// The owner counts loans from when they arrive.
    LoansDatedByArrival,
}

/// Lists what can happen next; instances are named by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaAction {
    /// An instance receives a heartbeat of the owner.
    Heartbeat(usize),
    /// The holder of the slot lends its reservation.
    Lend(usize),
    /// An instance requests tokens for callers that wait.
    Ask(usize),
    /// The message of this number arrives.
    Deliver(usize),
    /// An instance spends all that it may.
    Spend(usize),
    /// Another owner follows.
    ChangeOwner,
    /// The slot passes to the other instance, whose lease begins as that of the last one ends.
    PassSlot,
    /// Another incarnation of an instance starts in place of the running one.
    Restart(usize),
    /// The next time step passes.
    Wait,
}

/// Describes the holders, the owner and the messages between them at one time.
#[derive(Debug, Clone)]
pub struct QuotaWorld {
    now: Time,
    instances: [Instance; 2],
    slot_holder: usize,
    owner: QuotaOwner,
    messages: Vec<Message>,
    audit: QuotaAudit,
    events_left: QuotaEvents,
    steps_taken: usize,
}

#[derive(Debug, Clone)]
struct Instance {
    holder: QuotaHolder,
    incarnation: Incarnation,
    started_at: Time,
    /// Epoch of the owner's last heartbeat and when that was sent, by the owner's clock.
    heartbeat: Option<(u64, Time)>,
}

#[derive(Debug, Clone)]
enum Message {
    Request(usize, Incarnation, GrantRequest),
    Grant(usize, Incarnation, Grant),
    /// A loan to the owner of an epoch, made after a time by its clock.
    Loan(Incarnation, u64, Loan, Time),
    /// An owner's loans are returned to an instance.
    Returned(usize, Incarnation, OwnerId),
}

const WAITING: u32 = 2;
/// Time by the clocks as the model begins; those of later incarnations start from zero.
const START: Time = Time::from_secs(60);
const NAMES: [&str; 2] = ["a", "b"];

impl QuotaModel {
    /// Returns the world in which the slot is held for the first time.
    pub fn start(&self) -> QuotaWorld {
        let instance = Instance {
            holder: QuotaHolder::new(self.quota, self.split),
            incarnation: Incarnation(1),
            started_at: Time::ZERO,
            heartbeat: None,
        };
        let mut world = QuotaWorld {
            now: START,
            instances: [instance.clone(), instance],
            slot_holder: 0,
            owner: self.owner(self.local(2, START), 1),
            messages: Vec::new(),
            audit: QuotaAudit::new(self.quota),
            events_left: self.events,
            steps_taken: 0,
        };
        let local = self.local(0, START);
        let holder = &mut world.instances[0].holder;
        holder.hold_slot(local, 0, Time::NEVER, SlotHistory::NeverHeld);
        world
    }

    /// Returns the actions that are possible in a world, with the worlds that follow.
    pub fn next(&self, world: &QuotaWorld) -> Vec<(QuotaAction, QuotaWorld)> {
        let calls = (0..world.instances.len()).flat_map(|idx| {
            [
                QuotaAction::Heartbeat(idx),
                QuotaAction::Lend(idx),
                QuotaAction::Ask(idx),
                QuotaAction::Spend(idx),
                QuotaAction::Restart(idx),
            ]
        });
        calls
            .chain((0..world.messages.len()).map(QuotaAction::Deliver))
            .chain([
                QuotaAction::ChangeOwner,
                QuotaAction::PassSlot,
                QuotaAction::Wait,
            ])
            .filter_map(|action| {
                let mut next = world.clone();
                self.apply(&mut next, action)?;
                Some((action, next))
            })
            .collect()
    }

    /// Returns the rule that a world breaks, if any.
    pub fn broken_rule(&self, world: &QuotaWorld) -> Option<String> {
        let is_exceeded = !world.audit.is_within_quota();
        is_exceeded.then(|| format!("tokens are counted twice: {}", world.audit.min_remaining()))
    }

    fn apply(&self, world: &mut QuotaWorld, action: QuotaAction) -> Option<()> {
        let left = &mut world.events_left;
        match action {
            QuotaAction::Heartbeat(idx) => self.hear(world, idx),
            QuotaAction::Lend(idx) => {
                left.loans = left.loans.checked_sub(1)?;
                self.lend(world, idx)?;
            }
            QuotaAction::Ask(idx) => {
                left.requests = left.requests.checked_sub(1)?;
                self.ask(world, idx)?;
            }
            QuotaAction::Deliver(idx) => self.deliver(world, idx)?,
            QuotaAction::Spend(idx) => self.spend(world, idx)?,
            QuotaAction::ChangeOwner => {
                left.owner_changes = left.owner_changes.checked_sub(1)?;
                self.change_owner(world);
            }
            QuotaAction::PassSlot => {
                left.slot_changes = left.slot_changes.checked_sub(1)?;
                self.pass_slot(world);
            }
            QuotaAction::Restart(idx) => {
                left.restarts = left.restarts.checked_sub(1)?;
                self.restart(world, idx);
            }
            QuotaAction::Wait => {
                let step = *self.steps.get(world.steps_taken)?;
                world.steps_taken += 1;
                world.now = world.now + step;
            }
        }
        Some(())
    }

    /// Returns the reading of a clock that started at the origin.
    fn local(&self, clock: usize, since_start: Time) -> Time {
        Time::from_micros(since_start.as_micros() * self.clock_rates[clock] / 1_000)
    }

    fn instance_time(&self, world: &QuotaWorld, idx: usize) -> Time {
        let running = Time::ZERO + (world.now - world.instances[idx].started_at);
        self.local(idx, running)
    }

    fn owner(&self, now: Time, epoch: u64) -> QuotaOwner {
        let mut owner = QuotaOwner::borrowing(now, self.quota, self.split, epoch);
        owner.set_valid_until(Time::NEVER);
        owner
    }

    fn hear(&self, world: &mut QuotaWorld, idx: usize) {
        let epoch = world.owner.epoch();
        let instance = &mut world.instances[idx];
        instance.heartbeat = Some((epoch, self.local(2, world.now)));
        instance.holder.set_owner(Some(owner_id(epoch)));
    }

    fn lend(&self, world: &mut QuotaWorld, idx: usize) -> Option<()> {
        let local = self.instance_time(world, idx);
        let instance = &mut world.instances[idx];
        let (epoch, sent_at) = instance.heartbeat?;
        let loan = instance.holder.lend(local).pop()?;
        let message = Message::Loan(instance.incarnation, epoch, loan, sent_at);
        world.messages.push(message);
        Some(())
    }

    fn ask(&self, world: &mut QuotaWorld, idx: usize) -> Option<()> {
        let local = self.instance_time(world, idx);
        let instance = &mut world.instances[idx];
        let request = instance.holder.next_grant_request(local, WAITING)?;
        let message = Message::Request(idx, instance.incarnation, request);
        world.messages.push(message);
        Some(())
    }

    fn deliver(&self, world: &mut QuotaWorld, idx: usize) -> Option<()> {
        let owner_time = self.local(2, world.now);
        match world.messages.remove(idx) {
            Message::Request(from, incarnation, request) => {
                let id = InstanceId::from(NAMES[from]);
                let owner = &mut world.owner;
                let grant = owner.on_request(owner_time, &id, incarnation, &request)?;
                world
                    .messages
                    .push(Message::Grant(from, incarnation, grant));
            }
            Message::Grant(to, incarnation, grant) => {
                let local = self.instance_time(world, to);
                let instance = &mut world.instances[to];
                let is_current = instance.incarnation == incarnation;
                let _ = is_current && instance.holder.on_grant(local, &grant);
            }
            Message::Loan(lender, epoch, loan, sent_at) => {
                let by_arrival = self.flaw == Some(QuotaFlaw::LoansDatedByArrival);
                let not_before = if by_arrival { owner_time } else { sent_at };
                if world.owner.epoch() == epoch {
                    world.owner.on_loan(owner_time, lender, &loan, not_before);
                }
            }
            Message::Returned(to, incarnation, owner) => {
                let local = self.instance_time(world, to);
                let instance = &mut world.instances[to];
                if instance.incarnation == incarnation {
                    instance.holder.on_loans_returned(local, &owner);
                }
            }
        }
        Some(())
    }

    fn spend(&self, world: &mut QuotaWorld, idx: usize) -> Option<()> {
        let local = self.instance_time(world, idx);
        let holder = &mut world.instances[idx].holder;
        let before = world.audit.count();
        while holder.try_take(local) {
            world.audit.record(world.now);
        }
        (world.audit.count() > before).then_some(())
    }

    fn change_owner(&self, world: &mut QuotaWorld) {
        let epoch = world.owner.epoch();
        world.owner.return_loans();
        for (idx, instance) in world.instances.iter().enumerate() {
            let message = Message::Returned(idx, instance.incarnation, owner_id(epoch));
            world.messages.push(message);
        }
        world.owner = self.owner(self.local(2, world.now), epoch + 1);
    }

    fn pass_slot(&self, world: &mut QuotaWorld) {
        let (last, next) = (world.slot_holder, 1 - world.slot_holder);
        let local = self.instance_time(world, next);
        world.instances[last].holder.release_slot(0);
        let history = match self.flaw {
            Some(QuotaFlaw::HistoryForgotten) => SlotHistory::NeverHeld,
            _ => SlotHistory::EndedBy(local),
        };
        let holder = &mut world.instances[next].holder;
        holder.hold_slot(local, 0, Time::NEVER, history);
        world.slot_holder = next;
    }

    fn restart(&self, world: &mut QuotaWorld, idx: usize) {
        let instance = &mut world.instances[idx];
        *instance = Instance {
            holder: QuotaHolder::new(self.quota, self.split),
            incarnation: Incarnation(instance.incarnation.0 + 1),
            started_at: world.now,
            heartbeat: None,
        };
        if world.slot_holder == idx {
            let history = SlotHistory::EndedBy(Time::ZERO);
            let holder = &mut instance.holder;
            holder.hold_slot(Time::ZERO, 0, Time::NEVER, history);
        }
    }
}

fn owner_id(epoch: u64) -> OwnerId {
    let instance = InstanceId::from("owner");
    OwnerId { instance, epoch }
}
