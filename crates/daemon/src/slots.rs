//! The task that holds quota slots by leases, which are rows in a table of the platform.
//!
//! Each slot has reservations of every workspace's rate, which its holder may spend without
//! requesting a grant from another instance.

mod choice;
mod era;
mod rows;
mod slot;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Incarnation, InstanceId, Position, Time};
use coord::{
    EraSettling, LeaseChart, LeaseState, LeaseTiming, LeaseWrite, SlotHistory, WriteOutcome,
};
use entry::{message::Event, metrics::Metrics, view::Clock};
use platform::{Platform, PlatformError, Row};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

pub use self::rows::SLOT_TABLE;
use self::{
    choice::is_owner_gone,
    rows::{scan_slots, slot_name, to_write},
    slot::Slot,
};
use crate::{fleet::Fleet, message::PeerCommand};

const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which another instance must have no slot before this one releases a spare.
const SPARE_RELEASE_DELAY: Duration = Duration::from_secs(3);

/// Configures [`Slots`]: the number of slots, the duration of leases, and the tasks that are notified.
#[derive(Debug)]
pub struct SlotsOptions {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// State chart that all leases share.
    pub chart: Arc<LeaseChart>,
    /// ID of this instance.
    pub own_id: InstanceId,
    /// Incarnation of this instance.
    pub incarnation: Incarnation,
    /// Durations of the leases.
    pub lease_timing: LeaseTiming,
    /// Number of slots.
    pub count: u32,
    /// Era of the platform's tables in which the deployment began, if it is known.
    pub begun_in: Option<u32>,
    /// Divisor of the poll rate while this instance holds a slot.
    pub holder_poll_divisor: u32,
    /// Whether a long absence from the platform's list proves that an instance has ended.
    pub trusts_absence: bool,
    /// Platform that stores the rows.
    pub platform: Platform,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Channel to the task that exchanges messages with the other instances.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Acquires, renews and releases the leases of quota slots.
#[derive(Debug)]
pub struct Slots {
    options: SlotsOptions,
    slots: BTreeMap<u32, Slot>,
    without_slot_since: BTreeMap<InstanceId, Time>,
    published: Option<u32>,
    is_leaving: bool,
    /// Latest known era of the platform's tables.
    era: watch::Receiver<u32>,
    settling: EraSettling,
    was_settled: bool,
    tx: mpsc::UnboundedSender<PlatformAnswer>,
    rx: Option<mpsc::UnboundedReceiver<PlatformAnswer>>,
}

/// Carries an answer of the platform.
#[derive(Debug)]
enum PlatformAnswer {
    /// The rows of the slots in an era, by a read that was sent at a time.
    Rows(Time, u32, Vec<(String, Row)>),
    ReadFailed,
    /// The result of a write of a slot that was begun in an era.
    Written(u32, u32, Result<Position, PlatformError>),
}

impl Slots {
    /// Creates the task's state.
    pub fn new(options: SlotsOptions) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let era = options.platform.era();
        let settling = EraSettling::new(options.lease_timing).begun_in(options.begun_in);
        Self {
            options,
            era,
            settling,
            was_settled: true,
            slots: BTreeMap::new(),
            without_slot_since: BTreeMap::new(),
            published: None,
            is_leaving: false,
            tx,
            rx: Some(rx),
        }
    }

    /// Acquires and renews slots until all senders of `release` are dropped. On each message,
    /// releases all slots and reports on the received channel when that is done.
    pub async fn run(mut self, mut release: mpsc::Receiver<oneshot::Sender<()>>) {
        let Some(mut answers) = self.rx.take() else {
            return;
        };
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_reading = false;
        let mut skipped = 0;
        loop {
            tokio::select! {
                done = release.recv() => match done {
                    Some(done) => self.release_all(done).await,
                    None => return,
                },
                Some(answer) = answers.recv() => {
                    is_reading &= matches!(answer, PlatformAnswer::Written(..));
                    self.handle_answer(answer).await;
                }
                Ok(()) = self.era.changed() => {
                    let now = self.options.clock.now();
                    self.follow_era(now);
                    self.publish(now).await;
                    // A read that is open is of an earlier era.
                    is_reading = false;
                    poll.reset_after(self.confirm_delay(now));
                }
                _ = poll.tick(), if !is_reading => {
                    skipped += 1;
                    let now = self.options.clock.now();
                    let is_calm = !self.is_writing() && !self.has_unconfirmed(now);
                    let is_holder = self.held_count(now) > 0 && is_calm;
                    if is_holder && skipped < self.options.holder_poll_divisor {
                        continue;
                    }
                    skipped = 0;
                    is_reading = true;
                    let options = &self.options;
                    tokio::spawn(scan_slots(
                        options.clock,
                        options.platform.clone(),
                        self.tx.clone(),
                    ));
                }
            }
        }
    }
}

impl Slots {
    async fn handle_answer(&mut self, answer: PlatformAnswer) {
        let now = self.options.clock.now();
        self.follow_era(now);
        let era = self.settling.era();
        match answer {
            PlatformAnswer::Rows(sent_at, read_in, rows) if read_in == era => {
                self.observe(now, sent_at, &rows);
                self.settle(now, &rows);
                if !self.is_leaving {
                    self.release_spare(now).await;
                    self.write_leases(now);
                }
            }
            PlatformAnswer::Written(idx, begun_in, result) if begun_in == era => {
                self.record_write(now, idx, &result);
            }
            // What was read or written in an earlier era says nothing of this one.
            PlatformAnswer::Rows(..) | PlatformAnswer::Written(..) | PlatformAnswer::ReadFailed => {
            }
        }
        self.log_confirmations(now);
        self.publish(now).await;
    }

    fn observe(&mut self, now: Time, sent_at: Time, rows: &[(String, Row)]) {
        for idx in 0..self.options.count {
            let row = rows
                .iter()
                .find(|(name, _)| *name == slot_name(idx))
                .map(|(_, row)| row);
            let (options, era) = (&self.options, self.settling.era());
            let slot = self.slots.entry(idx).or_insert_with(|| {
                let mut slot = Slot::new(options);
                slot.on_era(now, era);
                slot
            });
            slot.observe(now, sent_at, row);
        }
    }

    /// Renews the held slots and acquires one more: a first slot at once, a spare after
    /// [`choice::SPARE_ACQUIRE_DELAY`].
    fn write_leases(&mut self, now: Time) {
        let fleet = self.options.fleet.borrow().clone();
        let has_slot = self.held_count(now) > 0 || self.has_unconfirmed(now);
        let candidate = if has_slot {
            self.spare_slot(now, &fleet)
        } else {
            self.first_slot(now, &fleet)
        };
        if let Some(idx) = candidate {
            let is_reclaimed = self.is_own_previous(idx);
            if let Some(slot) = self.slots.get_mut(&idx) {
                slot.is_reclaimed = is_reclaimed;
            }
        }
        let is_slotless = !has_slot && candidate.is_none() && !self.is_writing();
        self.options.metrics.set_alarm("no_free_slot", is_slotless);
        let options = &self.options;
        let mut writes = Vec::new();
        for (idx, slot) in &mut self.slots {
            let is_own = slot.lease.is_held(now) || slot.lease.is_unconfirmed(now);
            let is_wanted = is_own || candidate == Some(*idx);
            let is_gone = is_owner_gone(options, &fleet, &slot.lease);
            let write = slot.lease.next_write(now, is_wanted, is_gone);
            writes.extend(write.map(|write| (*idx, write)));
        }
        for (idx, write) in writes {
            self.write(idx, &write);
        }
    }

    /// Releases a spare slot if another instance has had none for [`SPARE_RELEASE_DELAY`].
    async fn release_spare(&mut self, now: Time) {
        let fleet = self.options.fleet.borrow().clone();
        let without_slot: Vec<InstanceId> = fleet.without_slot(now).cloned().collect();
        self.without_slot_since
            .retain(|id, _| without_slot.contains(id));
        for id in without_slot {
            self.without_slot_since.entry(id).or_insert(now);
        }
        let is_needed = self
            .without_slot_since
            .values()
            .any(|since| now - *since >= SPARE_RELEASE_DELAY);
        let has_free = self
            .slots
            .values()
            .any(|slot| slot.lease.state() == LeaseState::Free && slot.lease.may_take(now));
        let held: Vec<u32> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lease.is_held(now))
            .map(|(idx, _)| *idx)
            .collect();
        if !is_needed || has_free || held.len() < 2 {
            return;
        }
        let last = held[held.len() - 1];
        if let Some(write) = self.release(now, last).await {
            self.write(last, &write);
        }
    }

    /// Stops using a slot's reservations, then returns the write that releases the lease.
    async fn release(&mut self, now: Time, idx: u32) -> Option<LeaseWrite> {
        let write = self.slots.get_mut(&idx)?.lease.release(now)?;
        let (done, confirmed) = oneshot::channel();
        let event = Event::ReleaseQuotaSlot(idx, done);
        if self.options.engine.send(event).is_ok() {
            let _ = confirmed.await;
        }
        Some(write)
    }

    fn record_write(&mut self, now: Time, idx: u32, result: &Result<Position, PlatformError>) {
        let written = match result {
            Ok(version) => WriteOutcome::Applied(*version),
            Err(PlatformError::Conflict { .. }) => WriteOutcome::Conflict,
            Err(
                PlatformError::Unavailable
                | PlatformError::UnusableEra
                | PlatformError::HistoryGone,
            ) => WriteOutcome::Unanswered,
        };
        if let Some(slot) = self.slots.get_mut(&idx) {
            slot.lease.on_write_outcome(now, written);
            slot.write_answered_at = now;
        }
    }

    /// Reports the held slots to the engine, and their number to the other instances.
    async fn publish(&mut self, now: Time) {
        for (idx, slot) in &mut self.slots {
            let is_held = slot.lease.is_held(now);
            if is_held {
                let is_first = !slot.was_held && slot.lease.is_first_ownership();
                let previous_holder = match slot.is_reclaimed {
                    _ if is_first => SlotHistory::NeverHeld,
                    // The previous incarnation ended before this process started.
                    true => SlotHistory::EndedBy(Time::ZERO),
                    false => SlotHistory::EndedBy(now),
                };
                let _ = self.options.engine.send(Event::HoldQuotaSlot {
                    slot: *idx,
                    until: slot.lease.held_until(),
                    previous_holder,
                });
            } else if slot.was_held {
                let (done, _) = oneshot::channel();
                let _ = self
                    .options
                    .engine
                    .send(Event::ReleaseQuotaSlot(*idx, done));
            }
            slot.is_reclaimed &= is_held || !slot.was_held;
            slot.was_held = is_held;
        }
        let held = self.held_count(now);
        if self.published != Some(held) {
            self.published = Some(held);
            let _ = self
                .options
                .peers
                .send(PeerCommand::SetHeldSlots(held))
                .await;
        }
    }

    fn held_count(&self, now: Time) -> u32 {
        let held = self.slots.values().filter(|slot| slot.lease.is_held(now));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    fn is_writing(&self) -> bool {
        self.slots
            .values()
            .any(|slot| slot.lease.state() == LeaseState::Writing)
    }

    /// Returns whether a slot is held that hasn't been confirmed in the present era.
    fn has_unconfirmed(&self, now: Time) -> bool {
        self.slots
            .values()
            .any(|slot| slot.lease.is_unconfirmed(now))
    }

    fn write(&self, idx: u32, write: &LeaseWrite) {
        let platform = self.options.platform.clone();
        let tx = self.tx.clone();
        let era = write.row.era;
        let write = to_write(idx, write);
        tokio::spawn(async move {
            let result = platform.write(vec![write]).await;
            let version = result.map(|versions| versions.first().copied().unwrap_or_default());
            let _ = tx.send(PlatformAnswer::Written(idx, era, version));
        });
    }

    /// Releases all slots and reports once the platform has answered the writes or they have
    /// failed.
    async fn release_all(&mut self, done: oneshot::Sender<()>) {
        let now = self.options.clock.now();
        self.is_leaving = true;
        let indices: Vec<u32> = self.slots.keys().copied().collect();
        for idx in indices {
            if let Some(write) = self.release(now, idx).await {
                let _ = self
                    .options
                    .platform
                    .write(vec![to_write(idx, &write)])
                    .await;
            }
        }
        self.publish(now).await;
        let _ = done.send(());
    }
}
