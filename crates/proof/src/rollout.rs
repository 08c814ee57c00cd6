//! Simulates how a new configuration version reaches all instances over a fan-out tree, in virtual
//! time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceId, Time};
use coord::{FanOut, children};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Describes a roll-out: how many instances there are, how they pass a version on, and what is
/// lost.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// Number of instances in each failure domain.
    pub per_domain: usize,
    /// Number of failure domains; one instance of each polls the store.
    pub domains: usize,
    /// Shape of the tree within a domain.
    pub tree: FanOut,
    /// Share of the messages that are lost.
    pub message_loss: f64,
    /// Number of instances in each domain that have ended without the others knowing it.
    pub dead_per_domain: usize,
    /// Interval at which a polling instance reads the store.
    pub poll_interval: Duration,
    /// Interval at which each instance also sends the version to a random one.
    pub heartbeat_interval: Duration,
    /// Time of one hop, including the fetch of the configuration object.
    pub hop_time: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Reports how long a roll-out took and what it cost; times count from the write to the store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutOutcome {
    /// Time until 50 % of the running instances have the version.
    pub p50: Duration,
    /// Time until 99 % of the running instances have the version.
    pub p99: Duration,
    /// Time until all running instances have the version.
    pub max: Duration,
    /// Number of messages sent.
    pub messages: u64,
}

/// Simulates a roll-out that begins with a write to the store at time zero.
pub fn roll_out(rollout: &Rollout) -> RolloutOutcome {
    let mut rng = Pcg32::seed_from_u64(rollout.seed);
    let mut times = Vec::new();
    let mut messages = 0;
    for _ in 0..rollout.domains {
        let (mut domain_times, sent) = simulate_domain(rollout, &mut rng);
        times.append(&mut domain_times);
        messages += sent;
    }
    times.sort_unstable();
    let at = |quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize] - Time::ZERO;
    RolloutOutcome {
        p50: at(0.5),
        p99: at(0.99),
        max: at(1.0),
        messages,
    }
}

/// Returns the times at which a domain's running instances get the version, and the messages sent.
fn simulate_domain(rollout: &Rollout, rng: &mut Pcg32) -> (Vec<Time>, u64) {
    let members: Vec<InstanceId> = (0..rollout.per_domain)
        .map(|idx| format!("i{idx:05}").into())
        .collect();
    let root = members[rng.random_range(0..members.len())].clone();
    let mut dead = BTreeSet::new();
    while dead.len() < rollout.dead_per_domain {
        let idx = rng.random_range(0..members.len());
        if members[idx] != root {
            dead.insert(members[idx].clone());
        }
    }
    let mut domain_run = DomainRun {
        rollout,
        members,
        root: root.clone(),
        dead,
        received_at: BTreeMap::new(),
        queue: BTreeMap::new(),
        event_count: 0,
        messages: 0,
    };
    let first_received_at =
        Time::ZERO + rollout.poll_interval.mul_f64(rng.random::<f64>()) + rollout.hop_time;
    domain_run.push(first_received_at, Event::VersionReceived(root));
    domain_run.push(Time::ZERO + rollout.heartbeat_interval, Event::HeartbeatDue);
    domain_run.run(rng)
}

enum Event {
    VersionReceived(InstanceId),
    HeartbeatDue,
}

struct DomainRun<'a> {
    rollout: &'a Rollout,
    members: Vec<InstanceId>,
    root: InstanceId,
    dead: BTreeSet<InstanceId>,
    /// Time at which each instance got the version.
    received_at: BTreeMap<InstanceId, Time>,
    queue: BTreeMap<(Time, u64), Event>,
    /// Number of events queued so far; orders events of the same time.
    event_count: u64,
    messages: u64,
}

impl DomainRun<'_> {
    fn push(&mut self, at: Time, event: Event) {
        self.event_count += 1;
        self.queue.insert((at, self.event_count), event);
    }

    fn run(mut self, rng: &mut Pcg32) -> (Vec<Time>, u64) {
        let live = self.members.len() - self.dead.len();
        while let Some(((now, _), event)) = self.queue.pop_first() {
            match event {
                Event::VersionReceived(id) => self.handle_version(now, &id, rng),
                Event::HeartbeatDue => self.send_heartbeats(now, rng),
            }
            if self.received_at.len() == live {
                break;
            }
        }
        (self.received_at.into_values().collect(), self.messages)
    }

    fn handle_version(&mut self, now: Time, id: &InstanceId, rng: &mut Pcg32) {
        if self.dead.contains(id) || self.received_at.contains_key(id) {
            return;
        }
        self.received_at.insert(id.clone(), now);
        let receivers = children(&self.members, &self.root, id, self.rollout.tree);
        for child in receivers {
            self.send(now, child, rng);
        }
    }

    fn send(&mut self, now: Time, to: InstanceId, rng: &mut Pcg32) {
        self.messages += 1;
        if rng.random::<f64>() >= self.rollout.message_loss {
            self.push(now + self.rollout.hop_time, Event::VersionReceived(to));
        }
    }

    /// Sends the version from each informed instance to a random one.
    ///
    /// This reaches instances that the tree misses because of lost messages or dead instances.
    fn send_heartbeats(&mut self, now: Time, rng: &mut Pcg32) {
        let informed: Vec<InstanceId> = self.received_at.keys().cloned().collect();
        for _ in informed {
            let to = self.members[rng.random_range(0..self.members.len())].clone();
            self.send(now, to, rng);
        }
        self.push(now + self.rollout.heartbeat_interval, Event::HeartbeatDue);
    }
}
