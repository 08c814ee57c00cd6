//! Messages of the engine to the workspaces' owners and to all instances.

use dispatch::RateReport;
use entry::message::OutgoingMessage;

use super::Owners;
use crate::message::{PeerCommand, PeerMessage};

impl Owners {
    /// Sends grant requests and loans of this instance to the workspace's owner, and lost
    /// connections and quarantines to all instances.
    pub(super) async fn handle_outgoing(&mut self, outgoing: OutgoingMessage) {
        let own_id = self.options.own_id.clone();
        match outgoing {
            OutgoingMessage::ConnectionLoss(report) => {
                self.broadcast(&PeerMessage::DatedLoss(report)).await;
            }
            OutgoingMessage::Quarantine(report) => {
                self.broadcast(&PeerMessage::Quarantine(report)).await;
            }
            OutgoingMessage::TargetPath { is_direct } => {
                let command = PeerCommand::SetTargetPath(is_direct);
                let _ = self.options.peers.send(command).await;
            }
            OutgoingMessage::Rates(reports) => self.broadcast_rates(&reports).await,
            OutgoingMessage::GrantRequest {
                workspace,
                owner,
                request,
            } if owner.instance == own_id => {
                let incarnation = self.options.incarnation;
                self.grant_tokens(&own_id, incarnation, &workspace, &request)
                    .await;
            }
            OutgoingMessage::GrantRequest {
                workspace,
                owner,
                request,
            } => {
                let message = PeerMessage::GrantRequest(workspace, request);
                let command = PeerCommand::Send(owner.instance, message);
                let _ = self.options.peers.send(command).await;
            }
            OutgoingMessage::Lend {
                workspace,
                owner,
                loans,
                at,
                ..
            } if owner.instance == own_id => {
                let incarnation = self.options.incarnation;
                self.accept_loans(incarnation, &workspace, owner.epoch, &loans, at);
            }
            OutgoingMessage::Lend {
                workspace,
                owner,
                loans,
                last_heartbeat,
                ..
            } => {
                let message = PeerMessage::Lend {
                    workspace,
                    epoch: owner.epoch,
                    loans,
                    ack: last_heartbeat,
                };
                let command = PeerCommand::Send(owner.instance, message);
                let _ = self.options.peers.send(command).await;
            }
        }
    }

    pub(super) async fn broadcast(&self, message: &PeerMessage) {
        let fleet = self.options.fleet.borrow().clone();
        for id in fleet.members.keys() {
            let command = PeerCommand::Send(id.clone(), message.clone());
            let _ = self.options.peers.send(command).await;
        }
    }

    async fn broadcast_rates(&self, reports: &[RateReport]) {
        let fleet = self.options.fleet.borrow().clone();
        for (id, member) in &fleet.members {
            let message = PeerMessage::Rates {
                reports: reports.to_vec(),
                ack: member.heartbeat_sequence,
            };
            let command = PeerCommand::Send(id.clone(), message);
            let _ = self.options.peers.send(command).await;
        }
    }
}
