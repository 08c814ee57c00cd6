//! Who is there: the platform's lagging list joined with heartbeats.

use std::{collections::BTreeMap, time::Duration};

use base::{DomainId, Incarnation, InstanceId, Time};
use serde::{Deserialize, Serialize};

/// Holds one row of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListEntry {
    /// Name of the instance.
    pub id: InstanceId,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Whether it will end soon.
    pub is_leaving: bool,
}

/// Tells the others that an instance lives and what it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Instance that sent it.
    pub id: InstanceId,
    /// Life of that instance.
    pub incarnation: Incarnation,
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Whether it takes no new callers.
    pub is_leaving: bool,
    /// Version of the state that is in force on it.
    pub version: u64,
    /// Time since it knew that no later version existed; `None` where it never did.
    pub confirmation_age: Option<Duration>,
}

/// Tells what the list says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It has never been on the list.
    Unlisted,
    /// It is on the list.
    Listed,
    /// It was on the list, and has been off it since.
    Absent(Time),
}

/// Holds what is known of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// What the list says.
    pub presence: Presence,
    /// Whether the list or the instance itself says that it is leaving.
    pub is_leaving: bool,
    /// Time of the last heartbeat.
    pub last_heartbeat_at: Option<Time>,
    /// The last heartbeat.
    pub heartbeat: Option<Heartbeat>,
}

/// Joins the platform's list with heartbeats.
///
/// # Examples
///
/// ```
/// use base::Time;
/// use coord::{ListEntry, Membership};
/// use std::time::Duration;
///
/// let entry = ListEntry { id: "i1".into(), domain: "d1".into(), is_leaving: false };
/// let mut roster = Membership::new(Duration::from_secs(40), Duration::from_secs(2));
/// roster.on_list(Time::ZERO, &[entry]);
/// roster.on_list(Time::from_secs(1), &[]);
/// assert!(!roster.is_gone(Time::from_secs(2), &"i1".into()));
/// assert!(roster.is_gone(Time::from_secs(42), &"i1".into()));
/// ```
#[derive(Debug, Clone)]
pub struct Membership {
    fence: Duration,
    silence: Duration,
    members: BTreeMap<InstanceId, Member>,
}

impl Membership {
    /// Returns an empty roster.
    ///
    /// An instance counts as gone once it has been absent for `fence`, which must be longer than
    /// the list lags, and as silent once no heartbeat came for `silence`.
    pub fn new(fence: Duration, silence: Duration) -> Self {
        Self {
            fence,
            silence,
            members: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list.
    pub fn on_list(&mut self, now: Time, list: &[ListEntry]) {
        for entry in list {
            let member = self.member(&entry.id, &entry.domain);
            member.presence = Presence::Listed;
            member.is_leaving = entry.is_leaving
                || member
                    .heartbeat
                    .as_ref()
                    .is_some_and(|beat| beat.is_leaving);
        }
        for (id, member) in &mut self.members {
            let is_listed = list.iter().any(|entry| entry.id == *id);
            if !is_listed && member.presence == Presence::Listed {
                member.presence = Presence::Absent(now);
            }
        }
        self.forget(now);
    }

    /// Takes in a heartbeat that was sent no earlier than `dated`.
    pub fn on_heartbeat(&mut self, dated: Time, beat: &Heartbeat) {
        self.on_undated_heartbeat(beat);
        let member = self.member(&beat.id, &beat.domain);
        member.last_heartbeat_at = member.last_heartbeat_at.max(Some(dated));
        if matches!(member.presence, Presence::Absent(since) if dated > since) {
            // It lives although the list lost it: the list was wrong.
            member.presence = Presence::Listed;
        }
    }

    /// Takes in a heartbeat that can't be dated; it does not show that the sender still lives.
    pub fn on_undated_heartbeat(&mut self, beat: &Heartbeat) {
        let member = self.member(&beat.id, &beat.domain);
        member.is_leaving = beat.is_leaving;
        member.heartbeat = Some(beat.clone());
    }

    /// Returns whether the instance is proved to have ended.
    pub fn is_gone(&self, now: Time, id: &InstanceId) -> bool {
        self.members.get(id).is_some_and(|member| {
            matches!(member.presence, Presence::Absent(since) if now - since >= self.fence)
        })
    }

    /// Returns the end of the time for which the last heartbeat shows that the instance lives.
    pub fn alive_until(&self, id: &InstanceId) -> Time {
        let heard_at = self
            .members
            .get(id)
            .and_then(|member| member.last_heartbeat_at);
        heard_at.map_or(Time::ZERO, |heard_at| heard_at + self.silence)
    }

    /// Returns whether a heartbeat of the instance came lately.
    pub fn has_recent_heartbeat(&self, now: Time, id: &InstanceId) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| self.is_audible(now, member))
    }

    /// Returns the instances that callers may be sent to, in order.
    pub fn serving(&self, now: Time) -> Vec<(&InstanceId, &Member)> {
        self.members
            .iter()
            .filter(|(_, member)| !member.is_leaving && self.is_audible(now, member))
            .collect()
    }

    /// Returns everything known, in order.
    pub fn members(&self) -> &BTreeMap<InstanceId, Member> {
        &self.members
    }

    fn is_audible(&self, now: Time, member: &Member) -> bool {
        member
            .last_heartbeat_at
            .is_some_and(|heard_at| now - heard_at <= self.silence)
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

    /// Drops instances that have been gone for long.
    fn forget(&mut self, now: Time) {
        const KEEP_GONE: Duration = Duration::from_secs(3 * 3_600);
        self.members.retain(
            |_, member| !matches!(member.presence, Presence::Absent(since) if now - since > KEEP_GONE),
        );
    }
}

/// Returns the position of `me` in the order in which `members` should take up `name`.
///
/// Each name gets an order of its own (rendezvous hashing), so that names spread over the members
/// and a change of members moves few of them. `None` where `me` is not a member.
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

fn score(name: &str, id: &InstanceId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(name.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
