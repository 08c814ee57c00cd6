//! What the engine and the other instances receive: the workspaces' owners and the live instances.

use base::WorkspaceId;
use coord::OwnerId;
use entry::message::{Event, LiveInstance, ReachableOwner};

use super::Owners;
use crate::{
    fleet::{ActingOwners, Fleet},
    message::PeerCommand,
};

impl Owners {
    /// Sends each workspace's owner to the engine, and this instance's workspaces to the peers.
    pub(super) async fn publish(&mut self, fleet: &Fleet) {
        let owned: Vec<(WorkspaceId, u64)> = self
            .owned
            .iter()
            .map(|(workspace, owner)| (workspace.clone(), owner.epoch()))
            .collect();
        if owned != self.published {
            self.published.clone_from(&owned);
            let _ = self
                .options
                .peers
                .send(PeerCommand::SetOwnedWorkspaces(owned))
                .await;
        }
        self.publish_live_instances(fleet);
        let acting_owners = fleet.acting_owners(self.options.clock.now());
        let owners = self
            .workspaces
            .keys()
            .map(|workspace| {
                let reachable = self.reachable_owner(fleet, &acting_owners, workspace);
                (workspace.clone(), reachable)
            })
            .collect();
        let _ = self.options.engine.send(Event::QuotaOwners(owners));
    }

    /// Sends the live instances to the engine if they have changed.
    fn publish_live_instances(&mut self, fleet: &Fleet) {
        let Some((_, config)) = self.options.view.borrow().config.clone() else {
            return;
        };
        let now = self.options.clock.now();
        let others = fleet
            .members
            .iter()
            .filter(|(_, member)| member.may_send(now))
            .filter_map(|(id, member)| {
                let may_relay =
                    member.is_alive(now) && member.has_target_path && member.carries_connections();
                Some(LiveInstance {
                    id: id.clone(),
                    region: config.region_of(&member.domain)?.clone(),
                    relay_addr: member.addr.filter(|_| may_relay),
                })
            });
        let own = config
            .region_of(&self.options.domain)
            .filter(|_| !self.is_leaving)
            .map(|region| LiveInstance {
                id: self.options.own_id.clone(),
                region: region.clone(),
                relay_addr: None,
            });
        let instances: Vec<LiveInstance> = others.chain(own).collect();
        if instances != self.live_instances {
            self.live_instances.clone_from(&instances);
            let own_id = self.options.own_id.clone();
            let _ = self
                .options
                .engine
                .send(Event::LiveInstances { own_id, instances });
        }
    }

    fn reachable_owner(
        &self,
        fleet: &Fleet,
        acting_owners: &ActingOwners<'_>,
        workspace: &WorkspaceId,
    ) -> Option<ReachableOwner> {
        if let Some(owner) = self.owned.get(workspace) {
            return Some(ReachableOwner {
                owner: OwnerId {
                    instance: self.options.own_id.clone(),
                    epoch: owner.epoch(),
                },
                last_heartbeat: 0,
            });
        }
        let (instance, epoch) = acting_owners.first(workspace)?;
        Some(ReachableOwner {
            owner: OwnerId {
                instance: instance.clone(),
                epoch,
            },
            last_heartbeat: fleet.members.get(instance)?.heartbeat_sequence,
        })
    }
}
