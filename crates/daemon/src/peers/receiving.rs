//! What other instances send: each message goes to the task that handles it.

use base::{Incarnation, InstanceId, Time};
use coord::{Departure, OwnerId, RetainedEntry, RowsReport};
use dispatch::QuarantineReport;
use entry::message::Event;

use super::Peers;
use crate::{
    format::{self, FORMAT_WITHOUT_CHANGES, OWN_FORMAT, UnreadMessage},
    message::{
        FORMAT_WITHOUT_ERAS, FollowerMessage, OwnReads, PeerHeartbeat, PeerMessage, RetainedReport,
        TableChange,
    },
    owners::OwnersMessage,
};

/// Maximum number of instances and kinds of messages for which unread messages are counted.
const MAX_UNREAD_KINDS: usize = 64;

impl Peers {
    pub(super) async fn receive(&mut self, buf: &[u8]) {
        let opened = match self.sessions.open_encoded(buf) {
            Ok(opened) => opened,
            Err(err) => {
                tracing::debug!(event = "frame_dropped", reason = %err);
                return;
            }
        };
        if !opened.is_fresh {
            // The frame may be a replay from before this instance restarted. The heartbeat carries
            // this instance's incarnation, which proves the sender's next frame to be recent.
            let heartbeat = self.heartbeat_for(&opened.from);
            self.send(&opened.from, &heartbeat).await;
            return;
        }
        let format = self.format_of(&opened.from, Some(opened.incarnation));
        let message = match format::decode(opened.message, format) {
            Ok(message) => message,
            Err(unread) => {
                self.count_unread(opened.from, unread);
                return;
            }
        };
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(&opened.from, *heartbeat).await;
            }
            PeerMessage::GrantRequest(workspace, request) => {
                let message = OwnersMessage::GrantRequest {
                    from: opened.from,
                    incarnation: opened.incarnation,
                    workspace,
                    request,
                };
                // If the queue is full, the message is dropped; the sender repeats its request.
                let _ = self.outputs.owners.try_send(message);
            }
            PeerMessage::Grant(workspace, grant) => {
                let _ = self
                    .outputs
                    .engine
                    .send(Event::GrantReceived(workspace, grant));
            }
            PeerMessage::Lend {
                workspace,
                epoch,
                loans,
                ack,
            } => {
                let Some(not_before) = self.sent_at(ack) else {
                    return;
                };
                let message = OwnersMessage::Lend {
                    incarnation: opened.incarnation,
                    workspace,
                    epoch,
                    loans,
                    not_before,
                };
                // If the queue is full, the message is dropped; the loan expires and another
                // follows.
                let _ = self.outputs.owners.try_send(message);
            }
            PeerMessage::Rates { reports, ack } => {
                let not_before = self.sent_at(ack);
                let _ = self.outputs.engine.send(Event::RatesReported {
                    not_before,
                    reports,
                });
            }
            PeerMessage::ConnectionLoss(loss) => {
                let _ = self.outputs.engine.send(Event::RemoteLoss(loss.into()));
            }
            PeerMessage::DatedLoss(report) => {
                let _ = self.outputs.engine.send(Event::RemoteLoss(report));
            }
            PeerMessage::Quarantine(report) => self.forward_quarantine(None, report),
            PeerMessage::DatedQuarantine {
                report,
                ack,
                ack_age,
            } => {
                let not_before = self.sent_at(ack).map(|at| at + ack_age);
                self.forward_quarantine(not_before, report);
            }
            PeerMessage::LoansReturned(workspace, epoch) => {
                let owner = OwnerId {
                    instance: opened.from,
                    epoch,
                };
                let _ = self
                    .outputs
                    .engine
                    .send(Event::LoanReturned(workspace, owner));
            }
        }
    }

    fn forward_quarantine(&self, not_before: Option<Time>, report: QuarantineReport) {
        let event = Event::RemoteQuarantine { not_before, report };
        let _ = self.outputs.engine.send(event);
    }

    /// Returns the format of an instance's messages by its last heartbeat; with an incarnation, only
    /// if that one sent it.
    pub(super) fn format_of(
        &self,
        id: &InstanceId,
        incarnation: Option<Incarnation>,
    ) -> Option<u32> {
        let heartbeat = self.last_heartbeats.get(id)?;
        let is_same = incarnation.is_none_or(|one| one == heartbeat.status.incarnation);
        is_same.then_some(heartbeat.format)
    }

    /// Counts a message that can't be read; each kind of message of an instance is logged once.
    fn count_unread(&mut self, from: InstanceId, unread: UnreadMessage) {
        let key = (from, unread.kind);
        let is_known = self.unread.contains_key(&key);
        if !is_known && self.unread.len() >= MAX_UNREAD_KINDS {
            return;
        }
        if !is_known {
            tracing::warn!(
                event = "message_unread",
                from = %key.0,
                kind = unread.kind,
                format = unread.format,
                own_format = OWN_FORMAT,
            );
        }
        *self.unread.entry(key).or_default() += 1;
        self.is_unpublished = true;
    }

    async fn handle_heartbeat(&mut self, from: &InstanceId, mut heartbeat: PeerHeartbeat) {
        let departures = std::mem::take(&mut heartbeat.departures);
        let retained = std::mem::take(&mut heartbeat.retained);
        let rows = std::mem::take(&mut heartbeat.rows);
        if heartbeat.store_era > self.era.latest() {
            self.era
                .on_reported(from, heartbeat.store_era, self.other_members());
        }
        let is_located = self.is_located(&heartbeat);
        if !is_located && heartbeat.format <= FORMAT_WITHOUT_ERAS {
            // Its positions are taken for ones of the own eras, to report to its sender what it may lack.
            heartbeat.assume_eras(self.own_heartbeat.table_eras.clone());
        }
        if let Some(not_before) = self.sent_at(heartbeat.ack) {
            let now = self.clock.now();
            let not_before = (not_before + heartbeat.ack_age).min(now);
            self.ways.insert(from.clone(), now - not_before);
            self.membership.on_heartbeat(not_before, &heartbeat.status);
            if is_located {
                self.forward_positions(from, &heartbeat, departures, not_before);
                self.forward_retained(from, retained, not_before);
            }
            self.forward_head(from, &heartbeat, not_before);
        } else {
            self.membership.on_undated_heartbeat(&heartbeat.status);
        }
        if is_located {
            self.forward_rows(from, rows);
        }
        let before = self.last_heartbeats.get(from);
        let is_urgent = before.is_none_or(|before| heartbeat.is_urgent_after(before));
        self.last_heartbeats.insert(from.clone(), heartbeat);
        self.heard_at.insert(from.clone(), self.clock.now());
        self.is_unpublished = true;
        if is_urgent {
            self.publish();
        }
    }

    /// Returns the number of other instances that are listed, whether or not they are in contact: just after a standstill of
    /// this one, nobody seems to be but the sender of the first message.
    fn other_members(&self) -> usize {
        let own = &self.own_heartbeat.status.id;
        let members = self.membership.members().keys();
        members.filter(|id| *id != own).count()
    }

    /// Returns whether it is known in which eras the sender's positions are: an earlier format doesn't report it, so its
    /// positions say nothing where the platform's history has eras; nor does one whose eras aren't known to have begun.
    fn is_located(&self, heartbeat: &PeerHeartbeat) -> bool {
        let latest = self.era.latest();
        let mut eras = heartbeat.table_eras.iter();
        eras.all(|era| *era <= latest) && (heartbeat.format > FORMAT_WITHOUT_ERAS || latest == 0)
    }

    /// Forwards the sender's table positions and departures, which it sent no earlier than `not_before`.
    fn forward_positions(
        &self,
        from: &InstanceId,
        heartbeat: &PeerHeartbeat,
        departures: Vec<Departure>,
        not_before: Time,
    ) {
        // What is the latest in an earlier era confirms nothing of a later one.
        let latest = self.era.latest();
        let mut eras = heartbeat.table_positions.iter();
        let is_of_present_era = eras.all(|position| position.era >= latest);
        let confirmed_at = confirmed_at(heartbeat, not_before).filter(|_| is_of_present_era);
        let contact_at = |age| {
            if is_of_present_era {
                not_before.before(age)
            } else {
                Time::ZERO
            }
        };
        if !heartbeat.table_positions.is_empty() {
            let message = FollowerMessage::PeerPositions {
                from: from.clone(),
                positions: heartbeat.table_positions.clone(),
                confirmed_at,
                change: known_change(heartbeat, not_before),
                reads: heartbeat.reads.map(|reads| OwnReads {
                    contact_at: contact_at(reads.contact_age),
                    is_failing: reads.is_failing,
                }),
            };
            let _ = self.outputs.follower.try_send(message);
        }
        if !departures.is_empty() {
            let from = from.clone();
            let message = FollowerMessage::PeerDepartures { from, departures };
            let _ = self.outputs.follower.try_send(message);
        }
    }

    /// Forwards the sender's head.
    fn forward_head(&self, from: &InstanceId, heartbeat: &PeerHeartbeat, not_before: Time) {
        let Some(head) = heartbeat.head.clone() else {
            return;
        };
        let message = FollowerMessage::PeerHead {
            from: from.clone(),
            head,
            confirmed_at: confirmed_at(heartbeat, not_before),
        };
        let _ = self.outputs.follower.try_send(message);
    }

    /// Forwards the entries that the sender retains, which come after its positions.
    fn forward_retained(&self, from: &InstanceId, retained: Vec<RetainedReport>, not_before: Time) {
        if retained.is_empty() {
            return;
        }
        let entries = retained.into_iter().map(|report| RetainedEntry {
            target: report.departure.target,
            position: report.departure.position,
            until: not_before + report.remaining,
        });
        let message = FollowerMessage::PeerRetained {
            from: from.clone(),
            entries: entries.collect(),
        };
        let _ = self.outputs.follower.try_send(message);
    }

    /// Forwards what the sender reports of its rows. That holds however old the heartbeat is.
    fn forward_rows(&self, from: &InstanceId, rows: Vec<Option<RowsReport>>) {
        if !rows.is_empty() {
            let from = from.clone();
            let message = FollowerMessage::PeerRows { from, rows };
            let _ = self.outputs.follower.try_send(message);
        }
    }

    /// Returns the time at which this instance sent the heartbeat with this sequence number.
    fn sent_at(&self, number: u64) -> Option<Time> {
        self.sent_heartbeats
            .iter()
            .rev()
            .find(|(sent, _)| *sent == number)
            .map(|(_, at)| *at)
    }
}

/// Returns when the sender of a heartbeat last knew its configuration to be the latest.
fn confirmed_at(heartbeat: &PeerHeartbeat, not_before: Time) -> Option<Time> {
    let age = heartbeat.status.confirmation_age;
    age.map(|age| not_before.before(age))
}

/// Returns the change that a heartbeat reports, which was sent no earlier than `not_before`. Earlier formats name the
/// position of the sender's rows alone.
fn known_change(heartbeat: &PeerHeartbeat, not_before: Time) -> Option<TableChange> {
    if heartbeat.format <= FORMAT_WITHOUT_CHANGES {
        let position = *heartbeat.table_positions.first()?;
        return Some(TableChange::complete(position, not_before));
    }
    heartbeat.change.map(|change| TableChange {
        position: change.position,
        is_arriving: change.is_arriving,
        since: not_before.before(change.age),
    })
}
