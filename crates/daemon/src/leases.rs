//! The task that holds this instance's floor slot and the workspaces that it owns.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use base::{Config, Incarnation, InstanceId, Time, WorkspaceId};
use coord::{
    Ask, Lease, LeaseChart, LeaseRow, LeaseState, LeaseWrite, Owner, Quota, Split, Terms, Written,
    rank,
};
use entry::{
    message::{Event, Outgoing},
    metrics::Metrics,
    view::{Clock, View},
};
use platform::{Expect, Fault, Platform, Row, Write};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval},
};

use crate::{
    fleet::Fleet,
    message::{LeaseMessage, PeerCommand, PeerMessage},
};

/// Table of the floor slots; one row a slot.
pub const SLOT_TABLE: &str = "slot";
/// Table of the workspaces' owners; one row a workspace.
pub const OWNER_TABLE: &str = "owner";

const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Head start that each instance gives the one before it in the order of a workspace.
const RANK_PAUSE: Duration = Duration::from_millis(1_500);

/// Holds what the leases' task is made from.
#[derive(Debug)]
pub struct LeasesOptions {
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
    /// How workspaces' rates are divided.
    pub split: Split,
    /// Whether absence from the platform's list proves that an instance has ended.
    pub trusts_absence: bool,
    /// Platform that keeps the rows.
    pub platform: Platform,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// What is in force.
    pub view: watch::Receiver<Arc<View>>,
    /// What is known of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// The engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// The peers.
    pub peers: mpsc::Sender<PeerCommand>,
}

/// Holds the floor slot and the owned workspaces.
#[derive(Debug)]
pub struct Leases {
    options: LeasesOptions,
    slots: BTreeMap<u32, Watched>,
    my_slot: Option<u32>,
    seats: BTreeMap<WorkspaceId, Seat>,
    known_owners: Vec<WorkspaceId>,
    owned: Vec<(WorkspaceId, u64)>,
    version: u64,
    is_leaving: bool,
    tx: mpsc::UnboundedSender<Found>,
}

/// Follows one row, and tells reads apart that began before its last write ended.
#[derive(Debug)]
struct Watched {
    lease: Lease,
    settled_at: Time,
    was_held: bool,
}

/// Follows the owner's row of one workspace.
#[derive(Debug)]
struct Seat {
    watched: Watched,
    owner: Option<Owner>,
    free_since: Option<Time>,
}

/// Names a row.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RowName {
    Slot(u32),
    Owner(WorkspaceId),
}

/// Carries what the platform answered.
#[derive(Debug)]
enum Found {
    Rows {
        sent_at: Time,
        slots: Vec<(String, Row)>,
        owners: Vec<(String, Row)>,
    },
    Unread,
    Written(RowName, Result<u64, Fault>),
}

impl Leases {
    /// Returns the task's state.
    pub fn new(options: LeasesOptions) -> (Self, LeasesInbox) {
        let (tx, rx) = mpsc::unbounded_channel();
        let leases = Self {
            options,
            slots: BTreeMap::new(),
            my_slot: None,
            seats: BTreeMap::new(),
            known_owners: Vec::new(),
            owned: Vec::new(),
            version: 0,
            is_leaving: false,
            tx,
        };
        (leases, LeasesInbox(rx))
    }

    /// Holds leases and grants units until all senders of messages are gone.
    pub async fn run(
        mut self,
        inbox: LeasesInbox,
        mut rx: mpsc::Receiver<LeaseMessage>,
        mut asks: mpsc::UnboundedReceiver<Outgoing>,
    ) {
        let LeasesInbox(mut found) = inbox;
        let mut poll = interval(POLL_INTERVAL);
        poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_reading = false;
        loop {
            tokio::select! {
                message = rx.recv() => match message {
                    Some(LeaseMessage::Ask { from, life, workspace, ask }) => {
                        self.answer(&from, life, &workspace, &ask).await;
                    }
                    Some(LeaseMessage::Release(done)) => self.release_all(done).await,
                    None => return,
                },
                Some(outgoing) = asks.recv() => self.route(outgoing).await,
                Some(found) = found.recv() => {
                    is_reading &= matches!(found, Found::Written(..));
                    self.take(found).await;
                }
                _ = poll.tick() => {
                    self.follow_config();
                    if !is_reading {
                        is_reading = true;
                        tokio::spawn(read(self.options.clock, self.options.platform.clone(), self.tx.clone()));
                    }
                    self.publish().await;
                }
                Ok(()) = self.options.fleet.changed() => self.publish().await,
                Ok(()) = self.options.view.changed() => self.follow_config(),
            }
        }
    }
}

/// Receives the platform's answers for [`Leases::run`].
#[derive(Debug)]
pub struct LeasesInbox(mpsc::UnboundedReceiver<Found>);

impl Leases {
    /// Answers an ask of an instance, this one included.
    async fn answer(
        &mut self,
        from: &InstanceId,
        life: Incarnation,
        workspace: &WorkspaceId,
        ask: &Ask,
    ) {
        let now = self.options.clock.now();
        let Some(seat) = self.seats.get_mut(workspace) else {
            return;
        };
        let Some(owner) = &mut seat.owner else {
            return;
        };
        owner.set_right(seat.watched.lease.held_until());
        let Some(grant) = owner.ask(now, from, life, ask) else {
            return;
        };
        if *from == self.options.me {
            let event = Event::Granted(workspace.clone(), grant);
            let _ = self.options.engine.send(event);
            return;
        }
        let message = PeerMessage::Grant(workspace.clone(), grant);
        let command = PeerCommand::Send(from.clone(), message);
        let _ = self.options.peers.send(command).await;
    }

    /// Brings an ask of this instance to the workspace's owner.
    async fn route(&mut self, outgoing: Outgoing) {
        let Outgoing { workspace, ask } = outgoing;
        let is_own = self
            .seats
            .get(&workspace)
            .is_some_and(|seat| seat.owner.is_some());
        if is_own {
            let (me, life) = (self.options.me.clone(), self.options.life);
            self.answer(&me, life, &workspace, &ask).await;
            return;
        }
        let owner = self
            .options
            .fleet
            .borrow()
            .owner(&workspace)
            .map(|(id, _)| id.clone());
        if let Some(owner) = owner {
            let command = PeerCommand::Send(owner, PeerMessage::Ask(workspace, ask));
            let _ = self.options.peers.send(command).await;
        }
    }

    async fn take(&mut self, found: Found) {
        let now = self.options.clock.now();
        match found {
            Found::Rows {
                sent_at,
                slots,
                owners,
            } => {
                self.observe_slots(now, sent_at, &slots);
                self.observe_owners(now, sent_at, &owners);
                self.write_due(now);
            }
            Found::Unread => {}
            Found::Written(name, result) => self.settle(now, &name, &result),
        }
        self.apply_rights(now);
        self.publish().await;
    }

    fn observe_slots(&mut self, now: Time, sent_at: Time, rows: &[(String, Row)]) {
        for idx in 0..self.options.split.slots {
            let row = find(rows, &slot_name(idx));
            let watched = self
                .slots
                .entry(idx)
                .or_insert_with(|| watch(&self.options));
            watched.observe(now, sent_at, row);
        }
    }

    fn observe_owners(&mut self, now: Time, sent_at: Time, rows: &[(String, Row)]) {
        for (workspace, seat) in &mut self.seats {
            let row = find(rows, workspace.as_str());
            seat.watched.observe(now, sent_at, row);
            let is_free = seat.watched.lease.owner().is_none();
            seat.free_since = if is_free {
                seat.free_since.or(Some(now))
            } else {
                None
            };
        }
    }

    fn write_due(&mut self, now: Time) {
        if self.is_leaving {
            return;
        }
        self.write_slot(now);
        let fleet = self.options.fleet.borrow().clone();
        let me = self.options.me.clone();
        let placeable = fleet.placeable(&me);
        let mut writes = Vec::new();
        for (workspace, seat) in &mut self.seats {
            let place = rank(workspace.as_str(), placeable.iter().copied(), &me).unwrap_or(0);
            let pause = RANK_PAUSE * u32::try_from(place).unwrap_or(u32::MAX);
            let is_held = seat.watched.lease.is_held(now);
            let is_due = seat.free_since.is_none_or(|since| now - since >= pause);
            let is_gone = is_owner_gone(&self.options, &fleet, &seat.watched.lease);
            let write = seat
                .watched
                .lease
                .next_write(now, is_held || is_due, is_gone);
            writes.extend(write.map(|write| (RowName::Owner(workspace.clone()), write)));
        }
        for (name, write) in writes {
            self.write(name, &write);
        }
    }

    /// Renews this instance's slot, or takes one: an earlier life's, a free one, or a lapsed one.
    fn write_slot(&mut self, now: Time) {
        let fleet = self.options.fleet.borrow().clone();
        let chosen = self.my_slot.or_else(|| self.choose_slot(&fleet));
        let Some(idx) = chosen else {
            self.alarm("no_free_slot", !self.slots.is_empty());
            return;
        };
        self.alarm("no_free_slot", false);
        let Some(watched) = self.slots.get_mut(&idx) else {
            return;
        };
        let is_gone = is_owner_gone(&self.options, &fleet, &watched.lease);
        let Some(write) = watched.lease.next_write(now, true, is_gone) else {
            return;
        };
        self.my_slot = Some(idx);
        self.write(RowName::Slot(idx), &write);
    }

    fn choose_slot(&self, fleet: &Fleet) -> Option<u32> {
        let me = &self.options.me;
        let own = self
            .slots
            .iter()
            .find(|(_, watched)| watched.lease.owner().is_some_and(|(owner, _)| owner == me));
        let free = || {
            let free: Vec<u32> = self
                .slots
                .iter()
                .filter(|(_, watched)| watched.lease.state() == LeaseState::Free)
                .map(|(idx, _)| *idx)
                .collect();
            // Instances that start together try different slots.
            let start = rank("slot", fleet.placeable(me), me).unwrap_or(0);
            (!free.is_empty()).then(|| free[start % free.len()])
        };
        let gone = || {
            self.slots
                .iter()
                .find(|(_, watched)| is_owner_gone(&self.options, fleet, &watched.lease))
                .map(|(idx, _)| *idx)
        };
        own.map(|(idx, _)| *idx).or_else(free).or_else(gone)
    }

    fn settle(&mut self, now: Time, name: &RowName, result: &Result<u64, Fault>) {
        let written = match result {
            Ok(version) => Written::Yes(*version),
            Err(Fault::Conflict { .. }) => Written::Conflict,
            Err(Fault::Unavailable) => Written::Unanswered,
        };
        let watched = match name {
            RowName::Slot(idx) => self.slots.get_mut(idx),
            RowName::Owner(workspace) => {
                self.seats.get_mut(workspace).map(|seat| &mut seat.watched)
            }
        };
        if let Some(watched) = watched {
            watched.lease.written(now, written);
            watched.settled_at = now;
        }
        if written == Written::Conflict
            && self.my_slot.is_some_and(|idx| *name == RowName::Slot(idx))
        {
            self.my_slot = None;
        }
    }

    /// Tells the engine of the slot, and opens or closes the owners.
    fn apply_rights(&mut self, now: Time) {
        if let Some(watched) = self.my_slot.and_then(|idx| self.slots.get_mut(&idx)) {
            let is_held = watched.lease.is_held(now);
            let is_first = is_held && !watched.was_held && watched.lease.epoch() == 1;
            watched.was_held = is_held;
            let _ = self.options.engine.send(Event::Floors {
                until: watched.lease.held_until(),
                is_first,
            });
        }
        let config = self.options.view.borrow().config.clone();
        for (workspace, seat) in &mut self.seats {
            let is_held = seat.watched.lease.is_held(now);
            if !is_held {
                seat.owner = None;
            } else if seat.owner.is_none() {
                let epoch = seat.watched.lease.epoch();
                let quota = config
                    .as_ref()
                    .and_then(|(_, config)| quota(config, workspace));
                seat.owner = quota.map(|quota| open_owner(now, quota, self.options.split, epoch));
            }
        }
    }

    fn follow_config(&mut self) {
        let config = self.options.view.borrow_and_update().config.clone();
        let Some((version, config)) = config else {
            return;
        };
        if version == self.version {
            return;
        }
        self.version = version;
        let now = self.options.clock.now();
        self.seats
            .retain(|workspace, _| config.workspaces.contains_key(workspace));
        for workspace in config.workspaces.keys() {
            let seat = self.seats.entry(workspace.clone()).or_insert_with(|| Seat {
                watched: watch(&self.options),
                owner: None,
                free_since: None,
            });
            if let (Some(owner), Some(quota)) = (&mut seat.owner, quota(&config, workspace)) {
                owner.set_quota(now, quota);
            }
        }
    }

    /// Tells the engine whose owner can be asked, and the peers what this instance owns.
    async fn publish(&mut self) {
        let fleet = self.options.fleet.borrow_and_update().clone();
        let known: Vec<WorkspaceId> = self
            .seats
            .iter()
            .filter(|(workspace, seat)| seat.owner.is_some() || fleet.owner(workspace).is_some())
            .map(|(workspace, _)| workspace.clone())
            .collect();
        // Sent each time: the engine may have got new workspaces since.
        self.known_owners.clone_from(&known);
        let _ = self.options.engine.send(Event::Owners(known));
        let owned: Vec<(WorkspaceId, u64)> = self
            .seats
            .iter()
            .filter_map(|(workspace, seat)| Some((workspace.clone(), seat.owner.as_ref()?.epoch())))
            .collect();
        if owned != self.owned {
            self.owned.clone_from(&owned);
            let _ = self.options.peers.send(PeerCommand::Owns(owned)).await;
        }
    }

    fn write(&self, name: RowName, write: &LeaseWrite) {
        let platform = self.options.platform.clone();
        let tx = self.tx.clone();
        let write = to_write(&name, write);
        tokio::spawn(async move {
            let result = platform.write(vec![write]).await;
            let version = result.map(|versions| versions.first().copied().unwrap_or_default());
            let _ = tx.send(Found::Written(name, version));
        });
    }

    /// Gives all leases up and reports once the platform has been told, or can't be.
    async fn release_all(&mut self, done: oneshot::Sender<()>) {
        let now = self.options.clock.now();
        self.is_leaving = true;
        let slot = self.my_slot.take();
        let mut writes = Vec::new();
        if let Some(idx) = slot
            && let Some(watched) = self.slots.get_mut(&idx)
        {
            let write = watched.lease.release(now);
            writes.extend(write.map(|write| to_write(&RowName::Slot(idx), &write)));
        }
        for (workspace, seat) in &mut self.seats {
            seat.owner = None;
            let write = seat.watched.lease.release(now);
            let name = RowName::Owner(workspace.clone());
            writes.extend(write.map(|write| to_write(&name, &write)));
        }
        let _ = self.options.engine.send(Event::Floors {
            until: Time::ZERO,
            is_first: false,
        });
        self.publish().await;
        for write in writes {
            let _ = self.options.platform.write(vec![write]).await;
        }
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

impl Watched {
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
    }
}

fn watch(options: &LeasesOptions) -> Watched {
    Watched {
        lease: Lease::new(
            options.chart.clone(),
            options.me.clone(),
            options.life,
            options.terms,
        ),
        settled_at: Time::ZERO,
        was_held: false,
    }
}

fn open_owner(now: Time, quota: Quota, split: Split, epoch: u64) -> Owner {
    if epoch == 1 {
        Owner::first(now, quota, split)
    } else {
        Owner::successor(now, quota, split, epoch)
    }
}

fn is_owner_gone(options: &LeasesOptions, fleet: &Fleet, lease: &Lease) -> bool {
    options.trusts_absence
        && lease
            .owner()
            .is_some_and(|(owner, _)| *owner != options.me && fleet.is_gone(owner))
}

fn quota(config: &Config, workspace: &WorkspaceId) -> Option<Quota> {
    let found = config.workspaces.get(workspace)?;
    Some(Quota {
        rate: found.rate,
        burst: found.burst,
    })
}

fn to_write(name: &RowName, write: &LeaseWrite) -> Write {
    let (table, row) = match name {
        RowName::Slot(idx) => (SLOT_TABLE, slot_name(*idx)),
        RowName::Owner(workspace) => (OWNER_TABLE, workspace.to_string()),
    };
    let text = serde_json::to_string(&write.row).unwrap_or_default();
    Write::new(table, &row)
        .value(&text)
        .expect(write.expect.map_or(Expect::Absent, Expect::Version))
}

fn slot_name(idx: u32) -> String {
    format!("{idx:04}")
}

fn find<'a>(rows: &'a [(String, Row)], name: &str) -> Option<&'a Row> {
    rows.iter()
        .find(|(found, _)| found == name)
        .map(|(_, row)| row)
}

async fn read(clock: Clock, platform: Platform, tx: mpsc::UnboundedSender<Found>) {
    let sent_at = clock.now();
    let slots = platform.scan(SLOT_TABLE, "").await;
    let owners = platform.scan(OWNER_TABLE, "").await;
    let found = match (slots, owners) {
        (Ok(slots), Ok(owners)) => Found::Rows {
            sent_at,
            slots,
            owners,
        },
        _ => Found::Unread,
    };
    let _ = tx.send(found);
}
