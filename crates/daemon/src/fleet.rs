//! What an instance knows of the others, as its tasks share it.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{DomainId, Incarnation, InstanceId, RegionId, ServiceId, Time, WorkspaceId};
use coord::rendezvous_rank;

/// Shows all known instances but this one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Instances by name.
    pub members: BTreeMap<InstanceId, FleetMember>,
}

/// Shows one other instance.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetMember {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Address at which other instances reach it.
    pub addr: Option<SocketAddr>,
    /// Address of its listener for callers.
    pub entry: Option<SocketAddr>,
    /// Life that was heard last.
    pub life: Option<Incarnation>,
    /// Version in force on it, zero where that is not known.
    pub version: u64,
    /// End of the time for which its last heartbeat shows that it lives.
    pub heard_until: Time,
    /// Whether it takes no new callers.
    pub is_leaving: bool,
    /// Whether the list has it.
    pub is_listed: bool,
    /// Whether it is proved to have ended.
    pub is_gone: bool,
    /// Workspaces that it acts as owner of, with the epochs.
    pub owns: Vec<(WorkspaceId, u64)>,
    /// Number of floor slots that it holds; `None` before the first heartbeat.
    pub slots: Option<u32>,
    /// Number of its last heartbeat.
    pub beat: u64,
    /// Requests per second of each service that callers send to it.
    pub demand: Vec<(ServiceId, f64)>,
    /// The same that may run in one region alone.
    pub bound: Vec<(ServiceId, RegionId, f64)>,
}

impl FleetMember {
    /// Returns whether a heartbeat came lately; the clock is read by the asker, who may have been
    /// paused since this was published.
    pub fn is_heard(&self, now: Time) -> bool {
        now <= self.heard_until
    }
}

impl Fleet {
    /// Returns whether the instance is proved to have ended.
    pub fn is_gone(&self, id: &InstanceId) -> bool {
        self.members.get(id).is_some_and(|member| member.is_gone)
    }

    /// Returns the numbers of other instances that are listed and that are heard.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        let is_known = |member: &&FleetMember| member.is_listed && !member.is_gone;
        let known = self.members.values().filter(is_known).count();
        let heard = self.members.values().filter(|member| member.is_heard(now));
        (known, heard.count())
    }

    /// Returns the heard instances that act as owner of a workspace.
    pub fn claimants(&self, now: Time, workspace: &WorkspaceId) -> Vec<&InstanceId> {
        self.members
            .iter()
            .filter(move |(_, member)| member.is_heard(now) && !member.is_leaving)
            .filter(|(_, member)| member.owns.iter().any(|(owned, _)| owned == workspace))
            .map(|(id, _)| id)
            .collect()
    }

    /// Returns the heard instance that should be asked for a workspace's units, and its epoch.
    pub fn owner(&self, now: Time, workspace: &WorkspaceId) -> Option<(&InstanceId, u64)> {
        let claimants = self.claimants(now, workspace);
        let first = claimants.iter().copied().find(|id| {
            rendezvous_rank(workspace.as_str(), claimants.iter().copied(), id) == Some(0)
        })?;
        let owns = &self.members.get(first)?.owns;
        let (_, epoch) = owns.iter().find(|(owned, _)| owned == workspace)?;
        Some((first, *epoch))
    }

    /// Returns the heard instances that hold no floor slot.
    pub fn wanting(&self, now: Time) -> impl Iterator<Item = &InstanceId> {
        self.members
            .iter()
            .filter(move |(_, member)| {
                member.is_heard(now) && !member.is_leaving && member.slots == Some(0)
            })
            .map(|(id, _)| id)
    }

    /// Returns the instances that take part in the placement of leases, `me` among them.
    pub fn placeable<'a>(&'a self, now: Time, me: &'a InstanceId) -> Vec<&'a InstanceId> {
        self.members
            .iter()
            .filter(move |(_, member)| member.is_heard(now) && !member.is_leaving)
            .map(|(id, _)| id)
            .chain([me])
            .collect()
    }
}
