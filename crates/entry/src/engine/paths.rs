//! Connections through other instances, and those that no request waits for.

use std::{net::SocketAddr, time::Duration};

use base::{InstanceId, RegionId, TargetId, Time};
use dispatch::PathState;

use super::{Engine, PendingRequest};
use crate::{
    dial::{ConnectError, DialPlan},
    message::{Event, LiveInstance, OutgoingMessage},
    relay::Relay,
};

/// Time after which a connection that checks the path is tried through another instance as well.
const CHECK_RELAY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of instances that are asked to carry a connection, one after the other.
const MAX_RELAYS_TRIED: usize = 3;

impl Engine {
    pub(super) fn set_instances(&mut self, own_id: &InstanceId, instances: Vec<LiveInstance>) {
        let sharing = instances
            .iter()
            .map(|instance| (instance.id.clone(), instance.region.clone()));
        self.dispatcher.set_instances(own_id, sharing.collect());
        self.relays = instances
            .into_iter()
            .filter(|instance| instance.id != *own_id)
            .filter_map(|instance| {
                Some(Relay {
                    addr: instance.relay_addr?,
                    instance: instance.id,
                    region: instance.region,
                })
            })
            .collect();
    }

    /// Returns the instances that may carry a request to a target in `region`: some in that region,
    /// and one in another, in case the region's instances have all lost their path.
    ///
    /// A request with home regions passes no instance outside of them.
    pub(super) fn relays_to(&self, region: &RegionId, request: &PendingRequest) -> Vec<Relay> {
        let allowed = request.allowed_regions.borrow();
        let relays = self.relays.iter().cloned();
        let (mut same, mut other): (Vec<Relay>, Vec<Relay>) = relays
            .filter(|relay| allowed.contains(&relay.region))
            .partition(|relay| relay.region == *region);
        // The fingerprint spreads requests over the instances.
        let start = request.fingerprint as usize;
        for group in [&mut same, &mut other] {
            let len = group.len().max(1);
            group.rotate_left(start % len);
        }
        same.truncate(MAX_RELAYS_TRIED - 1);
        other.truncate(MAX_RELAYS_TRIED - same.len());
        same.into_iter().chain(other).collect()
    }

    /// Acts on a change of the path to the targets: drops idle connections that are of no use on
    /// the new one, and notifies the other instances.
    pub(super) fn change_path(&mut self) {
        let state = self.dispatcher.path_state();
        let is_direct = state == PathState::Direct;
        let lost_since = self.dispatcher.path_lost_since();
        tracing::info!(event = "target_path", is_direct);
        for connections in self.idle_connections.values_mut() {
            connections.retain(|connection| match (&connection.relay, is_direct) {
                (relay, true) => relay.is_none(),
                (Some(_), false) => true,
                (None, false) => connection.last_response_at > lost_since,
            });
        }
        let _ = self
            .outgoing
            .send(OutgoingMessage::TargetPath { is_direct });
    }

    /// Opens connections that no request waits for: to targets that are down, and such as show
    /// whether the path to the targets is lost or back.
    pub(super) fn probe_targets(&mut self, now: Time) {
        for target in self.dispatcher.due_probes(now) {
            self.probe(target, Vec::new());
        }
        let shared = self.dispatcher.due_shared_probe(now);
        let checks = self.dispatcher.due_path_checks(now);
        for target in checks.into_iter().chain(shared) {
            self.probe(target, self.any_relays(now));
        }
    }

    /// Returns some instances that can open a connection without a request, evenly spaced in the order of
    /// their names, which often contain their regions, and others at other times.
    pub(super) fn any_relays(&self, now: Time) -> Vec<Relay> {
        let count = self.relays.len().min(MAX_RELAYS_TRIED);
        let start = now.as_micros() as usize;
        let spread = |nth| (start + nth * self.relays.len() / count) % self.relays.len();
        (0..count)
            .map(|nth| self.relays[spread(nth)].clone())
            .collect()
    }

    /// Returns the instances through which connections to targets can be opened.
    pub(super) fn relay_ids(&self) -> Vec<InstanceId> {
        let relays = self.relays.iter();
        relays.map(|relay| relay.instance.clone()).collect()
    }

    pub(super) fn probe(&self, target: TargetId, relays: Vec<Relay>) {
        let (Some(events), Some(addr)) = (self.events.upgrade(), self.addr_of(&target)) else {
            return;
        };
        let dialer = self.dialer.clone();
        tokio::spawn(async move {
            let plan = DialPlan {
                target: target.clone(),
                addr,
                relays,
                prefers_relay: false,
                relay_delay: CHECK_RELAY_DELAY,
            };
            let dialed = dialer.open(&plan).await;
            if let Err(ConnectError::NoDescriptor) = dialed.connection {
                return;
            }
            let _ = events.send(Event::ProbeEnded {
                target,
                connection: dialed.connection.ok(),
                dial: dialed.dial,
            });
        });
    }

    pub(super) fn addr_of(&self, target: &TargetId) -> Option<SocketAddr> {
        let mut services = self.config.as_ref()?.services.values();
        services.find_map(|service| Some(service.targets.get(target)?.addr))
    }
}
