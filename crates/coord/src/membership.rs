//! Membership of instances: the platform's list, which lags, combined with heartbeats.

use std::{collections::BTreeMap, time::Duration};

use base::{DomainId, Incarnation, InstanceId, Time};
use serde::{Deserialize, Serialize};

/// Describes one instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry {
    /// Name of the instance.
    pub id: InstanceId,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// Reports to other instances that the sender is alive and which version it uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Instance that sent it.
    pub id: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Whether it accepts no new callers.
    pub is_leaving: bool,
    /// Version of the state that is active on it.
    pub version: u64,
    /// Time since that version was last confirmed to be the latest, or `None` if it never was.
    pub confirmation_age: Option<Duration>,
}

/// Indicates whether the platform's list contains an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The list has never contained it.
    Unlisted,
    /// The list contains it.
    Listed,
    /// The list contained it, but no longer does since this time.
    Absent(Time),
}

/// Combines the state of one instance by the platform's list with that by its heartbeats.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Whether the list contains it.
    pub presence: Presence,
    /// Whether it is leaving, according to the list or its last heartbeat.
    pub is_leaving: bool,
    /// Time at or after which the last heartbeat was sent, of those with a known sending time.
    pub last_heartbeat_at: Option<Time>,
    /// The last heartbeat, whether or not its sending time is known.
    pub heartbeat: Option<Heartbeat>,
}

/// Tracks instances by the platform's list and their heartbeats.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{ListEntry, Membership};
/// use std::time::Duration;
///
/// let entry = ListEntry { id: "i1".into(), domain: "d1".into(), is_leaving: false };
/// let mut membership = Membership::new(Duration::from_secs(40), Duration::from_secs(2));
/// membership.on_list(Time::ZERO, &[entry]);
/// membership.on_list(Time::from_secs(1), &[]);
/// assert!(!membership.is_gone(Time::from_secs(2), &"i1".into()));
/// assert!(membership.is_gone(Time::from_secs(42), &"i1".into()));
/// ```
#[derive(Debug, Clone)]
pub struct Membership {
    absence_timeout: Duration,
    heartbeat_timeout: Duration,
    members: BTreeMap<InstanceId, Member>,
}

impl Membership {
    /// Returns a membership without instances.
    ///
    /// An instance counts as ended once it has been absent from the list for `absence_timeout`,
    /// which must be longer than the list lags, and as alive for `heartbeat_timeout` after its last
    /// heartbeat with a known sending time.
    pub fn new(absence_timeout: Duration, heartbeat_timeout: Duration) -> Self {
        Self {
            absence_timeout,
            heartbeat_timeout,
            members: BTreeMap::new(),
        }
    }

    /// Processes a read of the platform's list.
    pub fn on_list(&mut self, now: Time, list: &[ListEntry]) {
        for entry in list {
            let member = self.member(&entry.id, &entry.domain);
            member.presence = Presence::Listed;
            member.is_leaving = entry.is_leaving
                || member
                    .heartbeat
                    .as_ref()
                    .is_some_and(|heartbeat| heartbeat.is_leaving);
        }
        for (id, member) in &mut self.members {
            let is_listed = list.iter().any(|entry| entry.id == *id);
            if !is_listed && member.presence == Presence::Listed {
                member.presence = Presence::Absent(now);
            }
        }
        self.forget_ended(now);
    }

    /// Processes a heartbeat that was sent no earlier than `not_before`.
    pub fn on_heartbeat(&mut self, not_before: Time, heartbeat: &Heartbeat) {
        self.on_undated_heartbeat(heartbeat);
        let member = self.member(&heartbeat.id, &heartbeat.domain);
        member.last_heartbeat_at = member.last_heartbeat_at.max(Some(not_before));
        if matches!(member.presence, Presence::Absent(since) if not_before > since) {
            // The instance is alive after it vanished from the list, so the list was wrong.
            member.presence = Presence::Listed;
        }
    }

    /// Processes a heartbeat whose sending time is unknown, which does not count as a sign of life.
    pub fn on_undated_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let member = self.member(&heartbeat.id, &heartbeat.domain);
        member.is_leaving = heartbeat.is_leaving;
        member.heartbeat = Some(heartbeat.clone());
    }

    /// Returns whether the instance has been absent from the list for long enough to have ended.
    pub fn is_gone(&self, now: Time, id: &InstanceId) -> bool {
        self.members.get(id).is_some_and(|member| {
            matches!(member.presence, Presence::Absent(since) if now - since >= self.absence_timeout)
        })
    }

    /// Returns the time until which the instance counts as alive by its last heartbeat.
    pub fn alive_until(&self, id: &InstanceId) -> Time {
        let last_heartbeat_at = self
            .members
            .get(id)
            .and_then(|member| member.last_heartbeat_at);
        last_heartbeat_at.map_or(Time::ZERO, |at| at + self.heartbeat_timeout)
    }

    /// Returns whether the instance counts as alive by its last heartbeat.
    pub fn has_recent_heartbeat(&self, now: Time, id: &InstanceId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| self.is_alive(now, member))
    }

    /// Returns the instances to which callers may be directed, ordered by name.
    pub fn serving(&self, now: Time) -> Vec<(&InstanceId, &Member)> {
        self.members
            .iter()
            .filter(|(_, member)| !member.is_leaving && self.is_alive(now, member))
            .collect()
    }

    /// Returns all known instances, ordered by name.
    pub fn members(&self) -> &BTreeMap<InstanceId, Member> {
        &self.members
    }

    fn is_alive(&self, now: Time, member: &Member) -> bool {
        member
            .last_heartbeat_at
            .is_some_and(|at| now - at <= self.heartbeat_timeout)
    }

    fn member(&mut self, id: &InstanceId, domain: &DomainId) -> &mut Member {
        let member = self.members.entry(id.clone()).or_insert_with(|| Member {
            domain: domain.clone(),
            presence: Presence::Unlisted,
            is_leaving: false,
            last_heartbeat_at: None,
            heartbeat: None,
        });
        member.domain = domain.clone();
        member
    }

    /// Drops instances that have been absent for a long time.
    fn forget_ended(&mut self, now: Time) {
        const RETENTION: Duration = Duration::from_secs(3 * 3_600);
        self.members.retain(
            |_, member| !matches!(member.presence, Presence::Absent(since) if now - since > RETENTION),
        );
    }
}

/// Returns the rank of `me` among `members` for `name` by rendezvous hashing.
///
/// Each name orders the members differently, so that names spread over the members and a change of
/// members moves few of them. Returns `None` if `me` is not a member.
pub fn rendezvous_rank<'a, I>(name: &str, members: I, me: &InstanceId) -> Option<usize>
where
    I: IntoIterator<Item = &'a InstanceId>,
{
    let mut scores: Vec<([u8; 32], &InstanceId)> = members
        .into_iter()
        .map(|id| (score(name, id), id))
        .collect();
    scores.sort();
    scores.iter().position(|(_, id)| *id == me)
}

/// Returns the number by which an instance ranks for `name` in rendezvous hashing.
pub fn rendezvous_draw(name: &str, id: &InstanceId) -> u64 {
    let score = score(name, id);
    score[..8]
        .iter()
        .fold(0, |draw, byte| (draw << 8) | u64::from(*byte))
}

fn score(name: &str, id: &InstanceId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
