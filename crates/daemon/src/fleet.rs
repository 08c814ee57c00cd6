//! What an instance knows of the others, as its tasks share it.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{DomainId, Incarnation, InstanceId, WorkspaceId};

/// Shows all known instances but this one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Instances by name.
    pub members: BTreeMap<InstanceId, FleetMember>,
    /// Targets that the list says are leaving.
    pub leaving_targets: Vec<base::TargetId>,
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
    /// Whether a heartbeat came lately.
    pub is_heard: bool,
    /// Whether it takes no new callers.
    pub is_leaving: bool,
    /// Whether the list has it.
    pub is_listed: bool,
    /// Whether it is proved to have ended.
    pub is_gone: bool,
    /// Workspaces that it says it owns, with the epochs.
    pub owns: Vec<(WorkspaceId, u64)>,
}

impl Fleet {
    /// Returns whether the instance is proved to have ended.
    pub fn is_gone(&self, id: &InstanceId) -> bool {
        self.members.get(id).is_some_and(|member| member.is_gone)
    }

    /// Returns the numbers of other instances that are listed and that are heard.
    pub fn counts(&self) -> (usize, usize) {
        let is_known = |member: &&FleetMember| member.is_listed && !member.is_gone;
        let known = self.members.values().filter(is_known).count();
        let heard = self.members.values().filter(|member| member.is_heard);
        (known, heard.count())
    }

    /// Returns the heard instance that owns a workspace in the latest epoch.
    pub fn owner(&self, workspace: &WorkspaceId) -> Option<(&InstanceId, u64)> {
        self.members
            .iter()
            .filter(|(_, member)| member.is_heard)
            .flat_map(|(id, member)| {
                member
                    .owns
                    .iter()
                    .map(move |(name, epoch)| (name, id, epoch))
            })
            .filter(|(name, _, _)| *name == workspace)
            .max_by_key(|(_, _, epoch)| **epoch)
            .map(|(_, id, epoch)| (id, *epoch))
    }

    /// Returns the instances that take part in the placement of leases, `me` among them.
    pub fn placeable<'a>(&'a self, me: &'a InstanceId) -> Vec<&'a InstanceId> {
        self.members
            .iter()
            .filter(|(_, member)| member.is_heard && !member.is_leaving)
            .map(|(id, _)| id)
            .chain([me])
            .collect()
    }
}
