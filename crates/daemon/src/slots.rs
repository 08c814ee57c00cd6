//! The task that holds slots of the workspaces' floors, by leases through the platform's table.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Incarnation, InstanceId, Time};
use coord::{Before, Lease, LeaseChart, LeaseRow, LeaseState, LeaseWrite, Terms, Written, rank};
use entry::{message::Event, metrics::Metrics, view::Clock};
use platform::{Expect, Fault, Platform, Row, Write};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{fleet::Fleet, message::PeerCommand};

/// Table of the slots; one row a slot.
pub const SLOT_TABLE: &str = "slot";

const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time for which a slot must have been free before an instance that has one takes it, too.
const SPARE_AFTER: Duration = Duration::from_secs(10);
/// Time for which an instance must have had no slot before another one gives it a spare one.
const WANTING_AFTER: Duration = Duration::from_secs(3);

/// Holds what the slots' task is made from.
#[derive(Debug)]
pub struct SlotsOptions {
    /// Clock of the process.
    pub clock: Clock,
    /// Chart that all leases share.
    pub chart: Arc<LeaseChart>,
    /// This instance.
    pub me: InstanceId,
    /// This life of it.
    pub life: Incarnation,
    /// Durations of the leases.
    pub terms: Terms,
    /// Number of slots.
    pub count: u32,
    /// Polls of which an instance that holds a slot makes one.
    pub settled_polls: u32,
    /// Whether absence from the platform's list proves that an instance has ended.
    pub trusts_absence: bool,
    /// Platform that keeps the rows.
    pub platform: Platform,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The peers.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Holds slots.
#[derive(Debug)]
pub struct Slots {
    options: SlotsOptions,
    slots: BTreeMap<u32, Slot>,
    wanting_since: BTreeMap<InstanceId, Time>,
    told: Option<u32>,
    is_leaving: bool,
    tx: mpsc::UnboundedSender<Found>,
    rx: Option<mpsc::UnboundedReceiver<Found>>,
}

/// Follows one row, and tells reads apart that began before its last write ended.
#[derive(Debug)]
struct Slot {
    lease: Lease,
    settled_at: Time,
    was_held: bool,
    /// Whether an earlier life of this instance held it last.
    is_own: bool,
    free_since: Option<Time>,
}

/// Carries what the platform answered.
#[derive(Debug)]
enum Found {
    Rows(Time, Vec<(String, Row)>),
    Unread,
    Written(u32, Result<u64, Fault>),
}

impl Slots {
    /// Returns the task's state.
    pub fn new(options: SlotsOptions) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        Self {
            options,
            slots: BTreeMap::new(),
            wanting_since: BTreeMap::new(),
            told: None,
            is_leaving: false,
            tx,
            rx: Some(rx),
        }
    }

    /// Holds slots until all senders of `release` are gone; each message of it asks to give all
    /// slots up and to report when that is done.
    pub async fn run(mut self, mut release: mpsc::Receiver<oneshot::Sender<()>>) {
        let Some(mut found) = self.rx.take() else {
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
                Some(found) = found.recv() => {
                    is_reading &= matches!(found, Found::Written(..));
                    self.take(found).await;
                }
                _ = poll.tick(), if !is_reading => {
                    skipped += 1;
                    let is_settled = self.held(self.options.clock.now()) > 0 && !self.is_writing();
                    if is_settled && skipped < self.options.settled_polls {
                        continue;
                    }
                    skipped = 0;
                    is_reading = true;
                    let options = &self.options;
                    tokio::spawn(read(options.clock, options.platform.clone(), self.tx.clone()));
                }
            }
        }
    }
}

impl Slots {
    async fn take(&mut self, found: Found) {
        let now = self.options.clock.now();
        match found {
            Found::Rows(sent_at, rows) => {
                self.observe(now, sent_at, &rows);
                if !self.is_leaving {
                    self.give_spare(now).await;
                    self.write_due(now);
                }
            }
            Found::Unread => {}
            Found::Written(idx, result) => self.settle(now, idx, &result),
        }
        self.publish(now).await;
    }

    fn observe(&mut self, now: Time, sent_at: Time, rows: &[(String, Row)]) {
        for idx in 0..self.options.count {
            let row = rows
                .iter()
                .find(|(name, _)| *name == slot_name(idx))
                .map(|(_, row)| row);
            let options = &self.options;
            let slot = self.slots.entry(idx).or_insert_with(|| Slot::new(options));
            slot.observe(now, sent_at, row);
        }
    }

    /// Renews the held slots and takes the next one: a first one at once, a spare one after a
    /// while.
    fn write_due(&mut self, now: Time) {
        let fleet = self.options.fleet.borrow().clone();
        let has_one = self.held(now) > 0;
        let wanted = if has_one {
            self.spare_slot(now, &fleet)
        } else {
            self.first_slot(now, &fleet)
        };
        if let Some(idx) = wanted {
            let is_own = self.is_of_earlier_life(idx);
            if let Some(slot) = self.slots.get_mut(&idx) {
                slot.is_own = is_own;
            }
        }
        let is_stuck = !has_one && wanted.is_none() && !self.is_writing();
        self.alarm("no_free_slot", is_stuck);
        let options = &self.options;
        let mut writes = Vec::new();
        for (idx, slot) in &mut self.slots {
            let is_wanted = slot.lease.is_held(now) || wanted == Some(*idx);
            let is_gone = is_owner_gone(options, &fleet, &slot.lease);
            let write = slot.lease.next_write(now, is_wanted, is_gone);
            writes.extend(write.map(|write| (*idx, write)));
        }
        for (idx, write) in writes {
            self.write(idx, &write);
        }
    }

    /// Chooses an earlier life's slot, a free one, or one whose holder has ended.
    fn first_slot(&self, now: Time, fleet: &Fleet) -> Option<u32> {
        if self.is_writing() {
            return None;
        }
        let me = &self.options.me;
        let own = self
            .slots
            .iter()
            .find(|(_, slot)| slot.lease.owner().is_some_and(|(owner, _)| owner == me))
            .map(|(idx, _)| *idx);
        let free: Vec<u32> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.lease.state() == LeaseState::Free)
            .map(|(idx, _)| *idx)
            .collect();
        // Instances that start together try different slots.
        let start = rank("slot", fleet.placeable(now, me), me).unwrap_or(0);
        let first_free = (!free.is_empty()).then(|| free[start % free.len()]);
        let ended = || {
            self.slots
                .iter()
                .find(|(_, slot)| is_owner_gone(&self.options, fleet, &slot.lease))
                .map(|(idx, _)| *idx)
        };
        own.or(first_free).or_else(ended)
    }

    /// Returns whether an earlier life of this instance holds the slot.
    fn is_of_earlier_life(&self, idx: u32) -> bool {
        let owner = self.slots.get(&idx).and_then(|slot| slot.lease.owner());
        owner.is_some_and(|(owner, life)| *owner == self.options.me && life != self.options.life)
    }

    /// Chooses a slot that nobody needs and that is this instance's to take.
    fn spare_slot(&self, now: Time, fleet: &Fleet) -> Option<u32> {
        if fleet.wanting(now).next().is_some() {
            return None;
        }
        let me = &self.options.me;
        self.slots
            .iter()
            .filter(|(_, slot)| {
                let is_old = |since| now - since >= SPARE_AFTER;
                slot.free_since.is_some_and(is_old)
                    || (is_owner_gone(&self.options, fleet, &slot.lease))
            })
            .map(|(idx, _)| *idx)
            .find(|idx| rank(&slot_name(*idx), fleet.placeable(now, me), me) == Some(0))
    }

    /// Gives a second slot up where another instance has had none for a while.
    async fn give_spare(&mut self, now: Time) {
        let fleet = self.options.fleet.borrow().clone();
        let wanting: Vec<InstanceId> = fleet.wanting(now).cloned().collect();
        self.wanting_since.retain(|id, _| wanting.contains(id));
        for id in wanting {
            self.wanting_since.entry(id).or_insert(now);
        }
        let is_needed = self
            .wanting_since
            .values()
            .any(|since| now - *since >= WANTING_AFTER);
        let has_free = self
            .slots
            .values()
            .any(|slot| slot.lease.state() == LeaseState::Free);
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

    /// Stops using a slot's floors, then returns the write that tells the others.
    async fn release(&mut self, now: Time, idx: u32) -> Option<LeaseWrite> {
        let write = self.slots.get_mut(&idx)?.lease.release(now)?;
        let (done, dropped) = oneshot::channel();
        let event = Event::ReleaseQuotaSlot(idx, done);
        if self.options.engine.send(event).is_ok() {
            let _ = dropped.await;
        }
        Some(write)
    }

    fn settle(&mut self, now: Time, idx: u32, result: &Result<u64, Fault>) {
        let written = match result {
            Ok(version) => Written::Yes(*version),
            Err(Fault::Conflict { .. }) => Written::Conflict,
            Err(Fault::Unavailable | Fault::HistoryGone) => Written::Unanswered,
        };
        if let Some(slot) = self.slots.get_mut(&idx) {
            slot.lease.written(now, written);
            slot.settled_at = now;
        }
    }

    /// Tells the engine of the held slots, and the peers of their number.
    async fn publish(&mut self, now: Time) {
        for (idx, slot) in &mut self.slots {
            let is_held = slot.lease.is_held(now);
            if is_held {
                let is_first = !slot.was_held && slot.lease.epoch() == 1;
                let before = match slot.is_own {
                    _ if is_first => Before::Nobody,
                    // This process could not begin before its earlier life had ended.
                    true => Before::EndedBy(Time::ZERO),
                    false => Before::EndedBy(now),
                };
                let _ = self.options.engine.send(Event::HoldQuotaSlot {
                    slot: *idx,
                    until: slot.lease.held_until(),
                    previous_holder: before,
                });
            } else if slot.was_held {
                let (done, _) = oneshot::channel();
                let _ = self
                    .options
                    .engine
                    .send(Event::ReleaseQuotaSlot(*idx, done));
            }
            slot.is_own &= is_held || !slot.was_held;
            slot.was_held = is_held;
        }
        let held = self.held(now);
        if self.told != Some(held) {
            self.told = Some(held);
            let _ = self.options.peers.send(PeerCommand::Slots(held)).await;
        }
    }

    fn held(&self, now: Time) -> u32 {
        let held = self.slots.values().filter(|slot| slot.lease.is_held(now));
        u32::try_from(held.count()).unwrap_or(u32::MAX)
    }

    fn is_writing(&self) -> bool {
        self.slots
            .values()
            .any(|slot| slot.lease.state() == LeaseState::Writing)
    }

    fn write(&self, idx: u32, write: &LeaseWrite) {
        let platform = self.options.platform.clone();
        let tx = self.tx.clone();
        let write = to_write(idx, write);
        tokio::spawn(async move {
            let result = platform.write(vec![write]).await;
            let version = result.map(|versions| versions.first().copied().unwrap_or_default());
            let _ = tx.send(Found::Written(idx, version));
        });
    }

    /// Gives all slots up and reports once the platform has been told, or can't be.
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

    fn alarm(&self, name: &str, is_on: bool) {
        self.options
            .metrics
            .facts
            .with_label_values(&[name])
            .set(i64::from(is_on));
    }
}

impl Slot {
    fn new(options: &SlotsOptions) -> Self {
        Self {
            lease: Lease::new(
                options.chart.clone(),
                options.me.clone(),
                options.life,
                options.terms,
            ),
            settled_at: Time::ZERO,
            was_held: false,
            is_own: false,
            free_since: None,
        }
    }

    fn observe(&mut self, now: Time, sent_at: Time, row: Option<&Row>) {
        let is_outdated = sent_at < self.settled_at || self.lease.state() == LeaseState::Writing;
        if is_outdated {
            return;
        }
        let parsed = row.and_then(|row| {
            let content: LeaseRow = serde_json::from_str(&row.value).ok()?;
            Some((row.version, content))
        });
        // A row that can't be read is somebody's all the same: it is left alone.
        if row.is_some() && parsed.is_none() {
            return;
        }
        self.lease.observed(now, parsed);
        let is_free = self.lease.state() == LeaseState::Free;
        self.free_since = is_free.then(|| self.free_since.unwrap_or(now));
    }
}

fn is_owner_gone(options: &SlotsOptions, fleet: &Fleet, lease: &Lease) -> bool {
    options.trusts_absence
        && lease
            .owner()
            .is_some_and(|(owner, _)| *owner != options.me && fleet.is_gone(owner))
}

fn to_write(idx: u32, write: &LeaseWrite) -> Write {
    let text = serde_json::to_string(&write.row).unwrap_or_default();
    Write::new(SLOT_TABLE, &slot_name(idx))
        .value(&text)
        .expect(write.expect.map_or(Expect::Absent, Expect::Version))
}

fn slot_name(idx: u32) -> String {
    format!("{idx:04}")
}

async fn read(clock: Clock, platform: Platform, tx: mpsc::UnboundedSender<Found>) {
    let sent_at = clock.now();
    let found = match platform.scan(SLOT_TABLE, "").await {
        Ok(rows) => Found::Rows(sent_at, rows),
        Err(_) => Found::Unread,
    };
    let _ = tx.send(found);
}
