//! What this instance sends to the others: heartbeats, and the messages of its other tasks.

use base::InstanceId;
use coord::{Departure, Heartbeat, Presence, lacking};
use rand::seq::IndexedRandom;

use super::Peers;
use crate::{
    follower::tables::TARGETS,
    format::{self, FORMAT_WITHOUT_DEPARTURES, OWN_FORMAT},
    message::{PeerHeartbeat, PeerMessage},
};

/// Number of instances that are notified at once of a table's new position; the others receive it with
/// the next heartbeats, and most of them read the table themselves.
const NEWS_RECEIVERS: usize = 6;

/// Number of own heartbeats whose send times are kept, to determine the age of messages that
/// acknowledge them.
const MAX_SENT_HEARTBEATS: usize = 64;

impl Peers {
    /// Sends a heartbeat to all other instances.
    pub(super) async fn send_heartbeats(&mut self) {
        let to = self.receivers();
        self.send_heartbeat_to(&to).await;
    }

    /// Sends a heartbeat to a few other instances, drawn anew each time.
    pub(super) async fn send_news(&mut self) {
        let all = self.receivers();
        let to: Vec<InstanceId> = all
            .sample(&mut rand::rng(), NEWS_RECEIVERS)
            .cloned()
            .collect();
        self.send_heartbeat_to(&to).await;
    }

    /// Returns the other instances that may be running.
    fn receivers(&self) -> Vec<InstanceId> {
        self.membership
            .members()
            .iter()
            .filter(|(id, member)| {
                **id != self.own_heartbeat.status.id
                    && !matches!(member.presence, Presence::Absent(_))
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    async fn send_heartbeat_to(&mut self, to: &[InstanceId]) {
        self.own_heartbeat.sequence += 1;
        self.sent_heartbeats
            .push_back((self.own_heartbeat.sequence, self.clock.now()));
        if self.sent_heartbeats.len() > MAX_SENT_HEARTBEATS {
            self.sent_heartbeats.pop_front();
        }
        for id in to {
            let heartbeat = self.heartbeat_for(id);
            self.send(id, &heartbeat).await;
        }
    }

    pub(super) fn heartbeat_for(&self, to: &InstanceId) -> PeerMessage {
        let now = self.clock.now();
        let status = Heartbeat {
            confirmation_age: self.confirmed_at.map(|at| now - at),
            ..self.own_heartbeat.status.clone()
        };
        PeerMessage::Heartbeat(Box::new(PeerHeartbeat {
            status,
            ack: self
                .last_heartbeats
                .get(to)
                .map_or(0, |heartbeat| heartbeat.sequence),
            departures: self.departures_for(to),
            ..self.own_heartbeat.clone()
        }))
    }

    /// Returns the targets that have left by rows that an instance lacks, by its last heartbeat.
    fn departures_for(&self, to: &InstanceId) -> Vec<Departure> {
        let heard = self.last_heartbeats.get(to);
        let heard = heard.filter(|heartbeat| heartbeat.format > FORMAT_WITHOUT_DEPARTURES);
        match heard.and_then(|heartbeat| heartbeat.table_positions.get(TARGETS)) {
            // It has read nothing yet.
            None | Some(0) => Vec::new(),
            Some(position) => lacking(&self.departures, *position, self.own_heartbeat.sequence),
        }
    }

    /// Sends a message; a heartbeat goes before the first one to each incarnation, which can't read it
    /// without knowing the format.
    pub(super) async fn send(&mut self, to: &InstanceId, message: &PeerMessage) {
        let incarnation = self.sessions.receiver_incarnation(to);
        if self.introduced.get(to) != incarnation.as_ref() && self.addrs.contains_key(to) {
            self.introduced
                .extend(incarnation.map(|one| (to.clone(), one)));
            if !matches!(message, PeerMessage::Heartbeat(_)) {
                let heartbeat = self.heartbeat_for(to);
                self.send_frame(to, &heartbeat).await;
            }
        }
        self.send_frame(to, message).await;
    }

    async fn send_frame(&mut self, to: &InstanceId, message: &PeerMessage) {
        let Some(&addr) = self.addrs.get(to) else {
            return;
        };
        let format = self.format_of(to, None).unwrap_or(OWN_FORMAT);
        let Some(content) = format::encode(message, format) else {
            return;
        };
        if let Ok(frame) = self.sessions.seal_encoded(to, &content) {
            // Datagrams may be lost anyway, so senders repeat the messages that matter.
            let _ = self.socket.send_to(&frame, addr).await;
        }
    }
}
