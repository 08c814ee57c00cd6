//! A small model of the lease of one slot, for an exhaustive search: instances with their own clocks, and a store that comes
//! back from copies.
//!
//! What the instances decide is decided by the product's own [`Lease`](coord::Lease), [`EraSettling`](coord::EraSettling) and
//! [`Fleet`](daemon::fleet::Fleet). Any call and any heartbeat may fail to happen, for as long as time goes on: that
//! is how instances are cut off from the store and from each other, and how they stand still.

mod instance;
mod recovery;
mod store;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Incarnation, Time};
use coord::{LeaseChart, LeaseTiming, LeaseWrite, WriteOutcome};

use self::{
    instance::{Heard, Instance},
    store::Table,
};

/// Configures the model: the instances, how often each fault may happen, and the lengths of the time steps.
#[derive(Debug, Clone)]
pub struct LeaseModel {
    /// State chart that all leases share.
    pub chart: Arc<LeaseChart>,
    /// Rates of the instances' clocks, in thousandths.
    pub clock_rates: Vec<u64>,
    /// Timing of the leases.
    pub timing: LeaseTiming,
    /// Timing by which instances determine whether the leases of earlier eras are over.
    pub settling_timing: LeaseTiming,
    /// Era in which the deployment began, if instances know it as they start.
    pub begun_in: Option<u32>,
    /// Numbers of faults that may happen.
    pub faults: Faults,
    /// Times that pass between the moments in which something happens.
    pub steps: Vec<Duration>,
    /// Time after a return of the store within which it may still perform a write that was sent before.
    pub late_limit: Duration,
    /// What the instances do wrongly.
    pub flaw: Option<Flaw>,
}

/// Counts the faults that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Faults {
    /// Returns of the store from a copy.
    pub restores: u8,
    /// Writes that are performed later or never, and whose answers may be lost.
    pub late_writes: u8,
    /// Reads that are answered later.
    pub late_reads: u8,
    /// Starts of another incarnation in place of a running one.
    pub restarts: u8,
    /// Releases of the lease by its holder.
    pub releases: u8,
}

/// Lists what instances can do wrongly, to show that the search finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// They never learn that an era has begun.
    ErasUnknown,
    /// They take every other instance for one that knows of the latest era.
    SilenceCounts,
}

/// Lists what can happen next; instances are named by their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// An instance reads the row, and the store performs and answers the write that is due.
    Poll(usize),
    /// An instance reads the row, and the write that is due is on its way.
    PollLate(usize),
    /// An instance's read is performed; its answer is on its way.
    BeginRead(usize),
    /// The answer to that read arrives, and the write that is due is performed and answered.
    EndRead(usize),
    /// Two instances receive each other's heartbeats.
    Meet(usize, usize),
    /// The store performs the write of this number, and its sender, if it still waits, receives the answer.
    Perform(usize),
    /// The sender of the write of this number gives up waiting for the answer.
    GiveUp(usize),
    /// An instance releases the lease by a write that is performed.
    Release(usize),
    /// An instance releases the lease by a write that is on its way.
    ReleaseLate(usize),
    /// Another incarnation of an instance starts in place of the running one.
    Restart(usize),
    /// The store is restored from the copy of this number, or without a loss if there is none.
    Restore(usize),
    /// The next time step passes.
    Wait,
}

/// Time at which the lease is acquired.
const START: Time = Time::from_secs(60);

/// Describes the store, the instances and what is on its way between them at one time.
#[derive(Debug, Clone, Hash)]
pub struct World {
    now: Time,
    table: Table,
    instances: Vec<Instance>,
    open_writes: Vec<OpenWrite>,
    /// Instance and incarnation that held the lease in each epoch.
    owners: BTreeMap<u64, (usize, Incarnation)>,
    is_epoch_shared: bool,
    /// Number of times that the slot's reservations have started full.
    full_starts: u8,
    faults_left: Faults,
    steps_taken: usize,
}

/// A write that the store has not performed yet.
#[derive(Debug, Clone, Hash)]
struct OpenWrite {
    /// Instance that waits for the answer.
    sender: Option<usize>,
    write: LeaseWrite,
}

impl LeaseModel {
    /// Returns the world in which the first instance has just acquired the lease, which nobody had held before, and all
    /// know of each other.
    pub fn start(&self) -> World {
        let count = self.clock_rates.len();
        let mut world = World {
            now: START,
            table: Table::new(),
            instances: (0..count)
                .map(|idx| Instance::new(self, idx, Incarnation(1)))
                .collect(),
            open_writes: Vec::new(),
            owners: BTreeMap::new(),
            is_epoch_shared: false,
            full_starts: 0,
            faults_left: self.faults,
            steps_taken: 0,
        };
        let polls = (0..count).map(Action::Poll);
        for action in polls.chain(pairs(count)) {
            world = self.after(&world, action).unwrap_or(world);
        }
        world
    }

    /// Returns the actions that are possible in a world, with the worlds that follow.
    pub fn next(&self, world: &World) -> Vec<(Action, World)> {
        let count = self.clock_rates.len();
        let (writes, copies) = (world.open_writes.len(), world.table.copies.len());
        let left = &world.faults_left;
        let many = |count: usize, left: u8| 0..if left > 0 { count } else { 0 };
        (0..count)
            .flat_map(|idx| [Action::Poll(idx), Action::EndRead(idx)])
            .chain(pairs(count))
            .chain((0..writes).flat_map(|idx| [Action::Perform(idx), Action::GiveUp(idx)]))
            .chain(many(count, left.late_writes).map(Action::PollLate))
            .chain(many(count, left.late_reads).map(Action::BeginRead))
            .chain(many(count, left.releases).map(Action::Release))
            .chain(many(count, left.releases.min(left.late_writes)).map(Action::ReleaseLate))
            .chain(many(count, left.restarts).map(Action::Restart))
            .chain(many(copies + 1, left.restores).map(Action::Restore))
            .chain([Action::Wait])
            .filter_map(|action| Some((action, self.after(world, action)?)))
            .collect()
    }

    /// Returns the world after an action, unless that isn't possible.
    pub fn after(&self, world: &World, action: Action) -> Option<World> {
        let mut next = world.clone();
        match action {
            Action::Poll(idx) => {
                let write = next.poll(self, idx)?;
                next.perform_at_once(self, idx, write);
            }
            Action::PollLate(idx) => {
                let write = next.poll(self, idx)?;
                next.send(idx, write)?;
            }
            Action::BeginRead(idx) => next.begin_read(idx)?,
            Action::EndRead(idx) => {
                let write = next.end_read(self, idx)?;
                next.perform_at_once(self, idx, write);
            }
            Action::Meet(one, other) => next.meet(self, one, other),
            Action::Perform(idx) => next.perform(self, idx),
            Action::GiveUp(idx) => next.give_up(idx)?,
            Action::Release(idx) => {
                let write = next.release(idx);
                next.perform_at_once(self, idx, write);
            }
            Action::ReleaseLate(idx) => {
                let write = next.release(idx);
                next.send(idx, write)?;
            }
            Action::Restart(idx) => next.restart(self, idx),
            Action::Restore(idx) => {
                next.faults_left.restores -= 1;
                next.table.restore(next.now, idx);
            }
            Action::Wait => {
                let step = *self.steps.get(next.steps_taken)?;
                next.steps_taken += 1;
                next.wait(self, step);
            }
        }
        next.publish();
        Some(next)
    }

    /// Returns the rule that a world breaks, if any.
    pub fn broken_rule(&self, world: &World) -> Option<String> {
        let holders = world.holders();
        if holders.len() > 1 {
            return Some(format!("the lease is held by two: {holders:?}"));
        }
        if world.is_epoch_shared {
            return Some(format!("an epoch is used by two: {:?}", world.owners));
        }
        let is_counted_twice = world.full_starts > 1;
        is_counted_twice.then(|| "reservations start full twice".to_owned())
    }
}

/// Returns the meetings of each two of `count` instances.
fn pairs(count: usize) -> impl Iterator<Item = Action> {
    (0..count).flat_map(move |one| (one + 1..count).map(move |other| Action::Meet(one, other)))
}

impl World {
    /// Returns the numbers of the instances that hold the lease.
    pub fn holders(&self) -> Vec<usize> {
        let instances = self.instances.iter().enumerate();
        instances
            .filter(|(_, instance)| instance.lease.is_held(instance.local(self.now)))
            .map(|(idx, _)| idx)
            .collect()
    }

    /// Lets an instance read the row, and returns the write that is due; `None` if it is still reading.
    fn poll(&mut self, model: &LeaseModel, idx: usize) -> Option<Option<LeaseWrite>> {
        let instance = &mut self.instances[idx];
        if instance.open_read.is_some() {
            return None;
        }
        let local = instance.local(self.now);
        instance.learn(model, local, self.table.era);
        Some(instance.on_row(model, local, local, self.table.row.clone()))
    }

    fn begin_read(&mut self, idx: usize) -> Option<()> {
        let instance = &mut self.instances[idx];
        if instance.open_read.is_some() {
            return None;
        }
        self.faults_left.late_reads -= 1;
        let sent_at = instance.local(self.now);
        instance.open_read = Some((sent_at, self.table.era, self.table.row.clone()));
        Some(())
    }

    fn end_read(&mut self, model: &LeaseModel, idx: usize) -> Option<Option<LeaseWrite>> {
        let instance = &mut self.instances[idx];
        let (sent_at, era, row) = instance.open_read.take()?;
        let local = instance.local(self.now);
        instance.learn(model, local, era);
        let is_present = era == instance.lease.era() || model.flaw == Some(Flaw::ErasUnknown);
        is_present.then(|| instance.on_row(model, local, sent_at, row))
    }

    fn perform_at_once(&mut self, model: &LeaseModel, sender: usize, write: Option<LeaseWrite>) {
        if let Some(write) = write {
            let sender = Some(sender);
            self.open_writes.push(OpenWrite { sender, write });
            self.perform(model, self.open_writes.len() - 1);
        }
    }

    fn send(&mut self, sender: usize, write: Option<LeaseWrite>) -> Option<()> {
        let (write, sender) = (write?, Some(sender));
        self.faults_left.late_writes -= 1;
        self.open_writes.push(OpenWrite { sender, write });
        Some(())
    }

    fn meet(&mut self, model: &LeaseModel, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let sender = &self.instances[from];
            let era = sender.lease.era();
            let holds = sender.lease.is_held(sender.local(self.now));
            let receiver = &mut self.instances[to];
            let at = receiver.local(self.now);
            receiver.learn(model, at, era);
            receiver.heard[from] = Some(Heard { at, era, holds });
        }
    }

    fn perform(&mut self, model: &LeaseModel, idx: usize) {
        let OpenWrite { sender, write } = self.open_writes.remove(idx);
        let outcome = self.table.perform(self.now, &write);
        let Some(sender) = sender else {
            return;
        };
        let instance = &mut self.instances[sender];
        let local = instance.local(self.now);
        instance.learn(model, local, self.table.era);
        instance.on_written(local, &write, outcome);
    }

    fn give_up(&mut self, idx: usize) -> Option<()> {
        let open = &mut self.open_writes[idx];
        let instance = &mut self.instances[open.sender.take()?];
        if open.write.row.era == instance.lease.era() {
            let local = instance.local(self.now);
            instance
                .lease
                .on_write_outcome(local, WriteOutcome::Unanswered);
            instance.answered(local);
        }
        Some(())
    }

    fn release(&mut self, idx: usize) -> Option<LeaseWrite> {
        self.faults_left.releases -= 1;
        let instance = &mut self.instances[idx];
        instance.lease.release(instance.local(self.now))
    }

    fn restart(&mut self, model: &LeaseModel, idx: usize) {
        self.faults_left.restarts -= 1;
        let next = Incarnation(self.instances[idx].incarnation.0 + 1);
        self.instances[idx] = Instance::new(model, idx, next);
        for open in &mut self.open_writes {
            open.sender = open.sender.filter(|sender| *sender != idx);
        }
    }

    fn wait(&mut self, model: &LeaseModel, step: Duration) {
        self.now = self.now + step;
        self.table.forget_copies(self.now);
        let (era, age) = (self.table.era, self.now - self.table.restored_at);
        self.open_writes
            .retain(|open| open.write.row.era == era || age <= model.late_limit);
        for instance in &mut self.instances {
            instance.forget_silent(self.now);
        }
    }

    /// Records who holds the lease now.
    fn publish(&mut self) {
        for (idx, instance) in self.instances.iter_mut().enumerate() {
            let is_held = instance.lease.is_held(instance.local(self.now));
            let was_held = std::mem::replace(&mut instance.was_held, is_held);
            let is_first = !was_held && instance.lease.is_first_ownership();
            self.full_starts += u8::from(is_held && is_first);
            if is_held {
                let owner = (idx, instance.incarnation);
                let epoch = instance.lease.held_epoch();
                self.is_epoch_shared |= *self.owners.entry(epoch).or_insert(owner) != owner;
            }
        }
    }
}
