//! What this instance sends to the others: heartbeats, and the messages of its other tasks.

use std::time::Duration;

use base::{InstanceId, Position, Time};
use coord::{Departure, Heartbeat, Presence, RowsReport, lacking, retained_in_turns};
use rand::seq::IndexedRandom;

use super::Peers;
use crate::{
    format::{self, FORMAT_WITHOUT_DEPARTURES, OWN_FORMAT},
    message::{
        ChangeReport, PeerHeartbeat, PeerMessage, ReadsReport, RetainedReport, TARGETS, TableChange,
    },
};

/// Number of instances that are notified at once of a table's new position; the others receive it with
/// the next heartbeats, and most of them read the table themselves.
const NEWS_RECEIVERS: usize = 6;

/// Times after an update at which it is sent again to those of its receivers that may lack it: a datagram that is lost
/// must not cost them the time until the next regular heartbeat.
const NEWS_REPEATS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];

/// Number of own heartbeats whose send times are kept, to determine the age of messages that
/// acknowledge them.
const MAX_SENT_HEARTBEATS: usize = 64;

/// News of table positions that some of its receivers may lack.
#[derive(Debug)]
pub(super) struct OpenNews {
    to: Vec<InstanceId>,
    /// Sequence number of the heartbeat that carried it first.
    sequence: u64,
    sent_at: Time,
    /// Number of times for which it has been sent again.
    repeats: usize,
}

impl OpenNews {
    /// Returns when it is sent again, if its receivers haven't acknowledged it by then.
    pub(super) fn next_at(&self) -> Option<Time> {
        let delay = NEWS_REPEATS.get(self.repeats)?;
        Some(self.sent_at + *delay)
    }
}

impl Peers {
    /// Sends a heartbeat to all other instances.
    pub(super) async fn send_heartbeats(&mut self) {
        let to = self.receivers();
        self.send_heartbeat_to(&to).await;
    }

    /// Sends a heartbeat to a few other instances, drawn again each time, and sends it again soon to those that
    /// may lack it.
    pub(super) async fn send_news(&mut self) {
        let all = self.receivers();
        let to: Vec<InstanceId> = all
            .sample(&mut rand::rng(), NEWS_RECEIVERS)
            .cloned()
            .collect();
        self.send_heartbeat_to(&to).await;
        self.open_news = Some(OpenNews {
            to,
            sequence: self.own_heartbeat.sequence,
            sent_at: self.clock.now(),
            repeats: 0,
        });
    }

    /// Sends the last update again to those of its receivers that may lack it. The heartbeat keeps its number, so one
    /// that acknowledges it counts as sent after the first of them.
    pub(super) async fn repeat_news(&mut self) {
        let Some(mut news) = self.open_news.take() else {
            return;
        };
        news.repeats += 1;
        news.to.retain(|id| !self.has_received(id, news.sequence));
        for id in &news.to {
            let heartbeat = self.heartbeat_for(id);
            self.send(id, &heartbeat).await;
        }
        let is_open = !news.to.is_empty() && news.next_at().is_some();
        self.open_news = is_open.then_some(news);
    }

    /// Returns whether an instance has acknowledged the heartbeat with this sequence number, or has reported as late
    /// positions itself.
    fn has_received(&self, id: &InstanceId, sequence: u64) -> bool {
        let own = &self.own_heartbeat.table_positions;
        self.last_heartbeats.get(id).is_some_and(|heard| {
            let mut pairs = heard.table_positions.iter().zip(own);
            let is_as_late = heard.table_positions.len() == own.len()
                && pairs.all(|(reported, own)| reported >= own);
            heard.ack >= sequence || is_as_late
        })
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
            ack: self.ack_for(to),
            departures: self.departures_for(to),
            retained: self.retained_for(to, now),
            change: self.told_change().map(|change| ChangeReport {
                position: change.position,
                is_arriving: change.is_arriving,
                age: now - change.since,
            }),
            reads: self.own_reads.map(|reads| ReadsReport {
                contact_age: now - reads.contact_at,
                is_failing: reads.is_failing,
            }),
            ack_age: self.ack_age_for(to, now),
            store_era: self.era.named(),
            rows: self.told_rows(),
            ..self.own_heartbeat.clone()
        }))
    }

    /// Returns what is reported of the rows, where that is in the era of the positions that are reported.
    fn told_rows(&self) -> Vec<Option<RowsReport>> {
        let own = &self.own_heartbeat;
        let rows = own.rows.iter().enumerate();
        let told = rows.map(|(idx, report)| {
            let era = own.era_of(idx);
            report.filter(|report| report.changed_at.era == era)
        });
        told.collect()
    }

    /// Returns the latest change of which this instance knows if it is in the era of the position that is reported.
    fn told_change(&self) -> Option<TableChange> {
        let era = self.own_heartbeat.era_of(0);
        self.known_change
            .filter(|change| change.position.era == era)
    }

    /// Returns the sequence number of an instance's last heartbeat, zero if none of its incarnation has arrived.
    fn ack_for(&self, to: &InstanceId) -> u64 {
        let incarnation = self.sessions.receiver_incarnation(to);
        let heard = self.last_heartbeats.get(to);
        let heard = heard.filter(|heard| Some(heard.status.incarnation) == incarnation);
        heard.map_or(0, |heartbeat| heartbeat.sequence)
    }

    /// Returns how long ago that heartbeat arrived.
    fn ack_age_for(&self, to: &InstanceId, now: Time) -> Duration {
        self.heard_at.get(to).map_or(Duration::ZERO, |at| now - *at)
    }

    /// Returns a report of quarantines with the times that its receiver needs, or `None` for any other message.
    fn dated(&self, to: &InstanceId, message: &PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::Quarantine(report) = message else {
            return None;
        };
        Some(PeerMessage::DatedQuarantine {
            report: report.clone(),
            ack: self.ack_for(to),
            ack_age: self.ack_age_for(to, self.clock.now()),
        })
    }

    /// Returns the targets that have left by rows that an instance lacks, by its last heartbeat, or whose entries it may
    /// retain, since its own reads fail.
    fn departures_for(&self, to: &InstanceId) -> Vec<Departure> {
        let heard = self.last_heartbeats.get(to);
        let heard = heard.filter(|heartbeat| heartbeat.format > FORMAT_WITHOUT_DEPARTURES);
        let reads = heard.and_then(|heartbeat| heartbeat.reads);
        let is_failing = reads.is_some_and(|reads| reads.is_failing);
        let known = match heard.and_then(|heartbeat| heartbeat.table_positions.get(TARGETS)) {
            // It has read nothing yet.
            None | Some(&Position::ZERO) => return Vec::new(),
            Some(_) if is_failing => Position::ZERO,
            Some(position) => *position,
        };
        // Those of an earlier era have no position in the present one.
        let era = self.own_heartbeat.era_of(TARGETS);
        let mut departures = lacking(&self.departures, known, self.own_heartbeat.sequence);
        departures.retain(|departure| departure.position.era == era);
        departures
    }

    /// Returns the entries that are gone and retained beyond `now`, for an instance that lacks their removal, or that may
    /// retain them as well while its own reads fail.
    fn retained_for(&self, to: &InstanceId, now: Time) -> Vec<RetainedReport> {
        let own_position = self.own_heartbeat.table_positions.get(TARGETS);
        let reads_them = self.last_heartbeats.get(to).is_some_and(|heard| {
            let is_reading = heard.reads.is_some_and(|reads| !reads.is_failing);
            is_reading && heard.table_positions.get(TARGETS) >= own_position
        });
        if reads_them {
            return Vec::new();
        }
        let entries = retained_in_turns(&self.retained, self.own_heartbeat.sequence);
        let era = self.own_heartbeat.era_of(TARGETS);
        let entries = entries.into_iter();
        let entries = entries.filter(|entry| entry.until > now && entry.position.era == era);
        entries
            .map(|entry| RetainedReport {
                departure: Departure {
                    target: entry.target,
                    position: entry.position,
                },
                remaining: entry.until - now,
            })
            .collect()
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
        let dated = self.dated(to, message);
        let Some(content) = format::encode(dated.as_ref().unwrap_or(message), format) else {
            return;
        };
        if let Ok(frame) = self.sessions.seal_encoded(to, &content) {
            // Datagrams may be lost anyway, so senders repeat the messages that matter.
            let _ = self.socket.send_to(&frame, addr).await;
        }
    }
}
