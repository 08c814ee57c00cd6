//! A snapshot of the state of the other instances, shared between the daemon's tasks.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use base::{DomainId, Incarnation, InstanceId, RegionId, ServiceId, Time, WorkspaceId};
use coord::{Member, Presence, rendezvous_rank};

use crate::{
    format::{FORMAT_WITHOUT_PARTS, FORMAT_WITHOUT_QUARANTINE, FORMAT_WITHOUT_RATES},
    message::PeerHeartbeat,
};

/// Time without heartbeats after which an instance no longer counts as alive.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after a standstill of this instance within which it receives a heartbeat of each live instance.
pub(crate) const HEARING_TIME: Duration = HEARTBEAT_INTERVAL;
/// Time for which an instance that has fallen silent keeps its shares.
const SHARE_HOLD_TIME: Duration = Duration::from_secs(8);
/// Maximum time that a heartbeat counts as having been on its way, which may also have waited here.
const MAX_HEARTBEAT_WAY: Duration = Duration::from_secs(2);

/// Shows all tasks what is known of the other instances, as of the last change.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Other instances by ID.
    pub members: BTreeMap<InstanceId, FleetMember>,
    /// Whether this instance reaches the targets itself, not through other instances.
    pub has_target_path: bool,
    /// Number of messages that this instance could not read, since their senders are of other builds.
    pub unread_messages: u64,
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            members: BTreeMap::new(),
            has_target_path: true,
            unread_messages: 0,
        }
    }
}

/// Describes the last known state of another instance.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetMember {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Address at which other instances reach it.
    pub addr: Option<SocketAddr>,
    /// Address of its listener for callers.
    pub entry: Option<SocketAddr>,
    /// Incarnation that sent the last heartbeat.
    pub incarnation: Option<Incarnation>,
    /// Version of its active configuration, zero if unknown.
    pub version: u64,
    /// Time until which its last heartbeat shows it to be alive.
    pub alive_until: Time,
    /// Time that its last heartbeat took, at most.
    pub heartbeat_way: Duration,
    /// Whether it is leaving and accepts no new callers.
    pub is_leaving: bool,
    /// Whether it is on the platform's list.
    pub is_listed: bool,
    /// Whether it is known for certain to have ended.
    pub is_gone: bool,
    /// Workspaces that it owns, with the epochs of the ownership.
    pub owned_workspaces: Vec<(WorkspaceId, u64)>,
    /// Number of quota slots that it holds; `None` before the first heartbeat.
    pub held_slots: Option<u32>,
    /// Sequence number of its last heartbeat.
    pub heartbeat_sequence: u64,
    /// Whether it reaches the targets itself, not through other instances.
    pub has_target_path: bool,
    /// Format of its messages, zero if unknown.
    pub format: u32,
    /// Version of its build, empty if unknown.
    pub build: String,
    /// Latest era of the platform's tables that it is known to have learned, zero if unknown.
    pub store_era: u32,
    /// Requests per second for each service that callers send to it and that may be served in
    /// several regions.
    pub demand: Vec<(ServiceId, f64)>,
    /// Requests per second for each service that may be served in only one region.
    pub pinned_demand: Vec<(ServiceId, RegionId, f64)>,
}

impl FleetMember {
    /// Returns whether a recent heartbeat shows the instance to be alive at `now`.
    ///
    /// The caller passes its own reading of the clock, because it may have been paused since this
    /// snapshot was published.
    pub fn is_alive(&self, now: Time) -> bool {
        now <= self.alive_until
    }

    /// Returns whether the instance is alive at `now` if its next heartbeats take as long as the last one: what it has
    /// reported still holds while the next report is on its way.
    pub fn is_heard(&self, now: Time) -> bool {
        now <= self.alive_until + self.heartbeat_way.min(MAX_HEARTBEAT_WAY)
    }
}

impl FleetMember {
    /// Returns whether the instance may be sending to targets, although its heartbeats may not arrive:
    /// shares of the targets' rates are reserved for it.
    ///
    /// One whose heartbeats have stopped may be partitioned from this instance alone. One that is
    /// listed and has sent no heartbeat yet, because this instance has just started, counts as well:
    /// its last heartbeat is dated at the origin of the clock.
    pub fn may_send(&self, now: Time) -> bool {
        let is_held = self.is_listed && now <= self.alive_until + SHARE_HOLD_TIME;
        !self.is_leaving && !self.is_gone && (self.is_alive(now) || is_held)
    }
}

/// Lists the live instances that report owning a workspace, collected once for all workspaces.
#[derive(Debug, Clone, Default)]
pub struct ActingOwners<'a> {
    by_workspace: BTreeMap<&'a WorkspaceId, Vec<(&'a InstanceId, u64)>>,
}

impl<'a> ActingOwners<'a> {
    /// Returns the instances that report owning a workspace.
    pub fn of(&self, workspace: &WorkspaceId) -> impl Iterator<Item = &'a InstanceId> {
        let owners = self.by_workspace.get(workspace).map(Vec::as_slice);
        owners.unwrap_or_default().iter().map(|(id, _)| *id)
    }

    /// Returns the owner from which to request a workspace's tokens, with the epoch of its
    /// ownership.
    ///
    /// If several instances report owning the workspace, all callers choose the same one by rank.
    pub fn first(&self, workspace: &WorkspaceId) -> Option<(&'a InstanceId, u64)> {
        let owners = self.by_workspace.get(workspace)?;
        let is_first = |id: &InstanceId| {
            rendezvous_rank(workspace.as_str(), self.of(workspace), id) == Some(0)
        };
        match &owners[..] {
            [only] => Some(*only),
            _ => owners.iter().copied().find(|(id, _)| is_first(id)),
        }
    }
}

impl FleetMember {
    /// Returns the state of an instance by the list and its last heartbeat, without the heartbeat's time
    /// and the instance's address.
    pub fn new(member: &Member, heartbeat: Option<&PeerHeartbeat>) -> Self {
        let mut state = Self {
            domain: member.domain.clone(),
            addr: None,
            entry: None,
            incarnation: None,
            version: 0,
            alive_until: Time::ZERO,
            heartbeat_way: Duration::ZERO,
            is_leaving: member.is_leaving,
            is_listed: member.presence == Presence::Listed,
            is_gone: false,
            owned_workspaces: Vec::new(),
            held_slots: None,
            heartbeat_sequence: 0,
            has_target_path: true,
            format: 0,
            build: String::new(),
            store_era: 0,
            demand: Vec::new(),
            pinned_demand: Vec::new(),
        };
        if let Some(heartbeat) = heartbeat {
            state.entry = Some(heartbeat.entry);
            state.incarnation = Some(heartbeat.status.incarnation);
            state.version = heartbeat.status.version;
            state.owned_workspaces = heartbeat.owned_workspaces.clone();
            state.held_slots = Some(heartbeat.held_slots);
            state.heartbeat_sequence = heartbeat.sequence;
            state.has_target_path = heartbeat.has_target_path;
            state.format = heartbeat.format;
            state.build = heartbeat.build.clone();
            state.store_era = heartbeat.known_era();
            state.demand = heartbeat.demand.clone();
            state.pinned_demand = heartbeat.pinned_demand.clone();
        }
        state
    }

    /// Returns whether the instance answers calls over TCP as this build makes them.
    pub fn takes_calls(&self) -> bool {
        self.format != FORMAT_WITHOUT_RATES
    }

    /// Returns whether the instance answers calls for parts of tables and for compressed ones.
    pub fn takes_parts(&self) -> bool {
        self.format > FORMAT_WITHOUT_PARTS
    }

    /// Returns whether the instance carries connections to targets as this build asks for them.
    pub fn carries_connections(&self) -> bool {
        self.format > FORMAT_WITHOUT_QUARANTINE
    }
}

impl Fleet {
    /// Returns whether the instance is known for certain to have ended.
    pub fn is_gone(&self, id: &InstanceId) -> bool {
        self.members.get(id).is_some_and(|member| member.is_gone)
    }

    /// Returns whether an instance, this one if it is no other, reaches the targets itself.
    pub fn has_target_path(&self, id: &InstanceId) -> bool {
        let member = self.members.get(id);
        member.map_or(self.has_target_path, |member| member.has_target_path)
    }

    /// Returns how many other instances are listed without being known to have ended, and how many
    /// are alive.
    pub fn count_listed_and_alive(&self, now: Time) -> (usize, usize) {
        let is_listed = |member: &&FleetMember| member.is_listed && !member.is_gone;
        let listed = self.members.values().filter(is_listed).count();
        let alive = self.members.values().filter(|member| member.is_alive(now));
        (listed, alive.count())
    }

    /// Returns the live instances that own workspaces and are not leaving.
    pub fn acting_owners(&self, now: Time) -> ActingOwners<'_> {
        let mut by_workspace: BTreeMap<&WorkspaceId, Vec<(&InstanceId, u64)>> = BTreeMap::new();
        let live = self.members.iter();
        for (id, member) in live.filter(|(_, member)| member.is_alive(now) && !member.is_leaving) {
            for (workspace, epoch) in &member.owned_workspaces {
                by_workspace
                    .entry(workspace)
                    .or_default()
                    .push((id, *epoch));
            }
        }
        ActingOwners { by_workspace }
    }

    /// Returns the live instances that hold no quota slot.
    pub fn without_slot(&self, now: Time) -> impl Iterator<Item = &InstanceId> {
        self.members
            .iter()
            .filter(move |(_, member)| {
                member.is_alive(now) && !member.is_leaving && member.held_slots == Some(0)
            })
            .map(|(id, _)| id)
    }

    /// Returns whether a live instance holds a quota slot.
    pub fn has_holder(&self, now: Time) -> bool {
        let mut members = self.members.values();
        members.any(|member| member.is_alive(now) && member.held_slots > Some(0))
    }

    /// Returns whether each instance that may hold a lease of `ttl` is alive and knows of an era of the platform's
    /// tables.
    ///
    /// One that has fallen silent may hold one until that has expired, whatever the list says: it may be a copy's.
    pub fn all_know_era(&self, now: Time, era: u32, ttl: Duration) -> bool {
        self.members.values().all(|member| {
            let may_hold = member.is_listed || now <= member.alive_until + ttl;
            !may_hold || member.is_alive(now) && member.store_era >= era
        })
    }

    /// Returns the instances among which leases are placed, including this one (`own_id`).
    pub fn lease_candidates<'a>(
        &'a self,
        now: Time,
        own_id: &'a InstanceId,
    ) -> Vec<&'a InstanceId> {
        self.members
            .iter()
            .filter(move |(_, member)| member.is_alive(now) && !member.is_leaving)
            .map(|(id, _)| id)
            .chain([own_id])
            .collect()
    }
}
