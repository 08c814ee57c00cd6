//! How long a new version takes to reach all instances over a fan-out tree, in virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{InstanceId, Time};
use coord::{FanOut, children};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Describes a roll-out.
#[derive(Debug, Clone)]
pub struct Rollout {
    /// Instances in each failure domain.
    pub per_domain: usize,
    /// Failure domains, each with a poller that reads the store.
    pub domains: usize,
    /// Children of each instance within its domain.
    pub tree: FanOut,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Instances of each domain that have ended without the others knowing yet.
    pub dead: usize,
    /// Time between two reads of the store by a poller.
    pub poll: Duration,
    /// Time between two heartbeats, which also carry the version to a random instance.
    pub heartbeat: Duration,
    /// Time for one hop with the fetch of the object.
    pub hop: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Holds what a roll-out took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutOutcome {
    /// Time until half of the live instances had the version.
    pub p50: Duration,
    /// Time until 99 of 100 had it.
    pub p99: Duration,
    /// Time until all had it.
    pub all: Duration,
    /// Messages sent in all.
    pub messages: u64,
}

/// Carries out a roll-out that begins with a write to the store at time zero.
pub fn roll_out(rollout: &Rollout) -> RolloutOutcome {
    let mut rng = Pcg32::seed_from_u64(rollout.seed);
    let mut times = Vec::new();
    let mut messages = 0;
    for _ in 0..rollout.domains {
        let (mut domain, sent) = domain_times(rollout, &mut rng);
        times.append(&mut domain);
        messages += sent;
    }
    times.sort_unstable();
    let at = |quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize] - Time::ZERO;
    RolloutOutcome {
        p50: at(0.5),
        p99: at(0.99),
        all: at(1.0),
        messages,
    }
}

fn domain_times(rollout: &Rollout, rng: &mut Pcg32) -> (Vec<Time>, u64) {
    let roster: Vec<InstanceId> = (0..rollout.per_domain)
        .map(|idx| format!("i{idx:05}").into())
        .collect();
    let root = roster[rng.random_range(0..roster.len())].clone();
    let mut dead = BTreeSet::new();
    while dead.len() < rollout.dead {
        let idx = rng.random_range(0..roster.len());
        if roster[idx] != root {
            dead.insert(roster[idx].clone());
        }
    }
    let mut run = Domain {
        rollout,
        roster,
        root: root.clone(),
        dead,
        known: BTreeMap::new(),
        queue: BTreeMap::new(),
        queued: 0,
        messages: 0,
    };
    let first = Time::ZERO + rollout.poll.mul_f64(rng.random::<f64>()) + rollout.hop;
    run.push(first, Event::Learn(root));
    run.push(Time::ZERO + rollout.heartbeat, Event::Heartbeat);
    run.finish(rng)
}

enum Event {
    Learn(InstanceId),
    Heartbeat,
}

struct Domain<'a> {
    rollout: &'a Rollout,
    roster: Vec<InstanceId>,
    root: InstanceId,
    dead: BTreeSet<InstanceId>,
    known: BTreeMap<InstanceId, Time>,
    queue: BTreeMap<(Time, u64), Event>,
    queued: u64,
    messages: u64,
}

impl Domain<'_> {
    fn push(&mut self, at: Time, event: Event) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn finish(mut self, rng: &mut Pcg32) -> (Vec<Time>, u64) {
        let live = self.roster.len() - self.dead.len();
        while let Some(((now, _), event)) = self.queue.pop_first() {
            match event {
                Event::Learn(id) => self.learn(now, &id, rng),
                Event::Heartbeat => self.heartbeat(now, rng),
            }
            if self.known.len() == live {
                break;
            }
        }
        (self.known.into_values().collect(), self.messages)
    }

    fn learn(&mut self, now: Time, id: &InstanceId, rng: &mut Pcg32) {
        if self.dead.contains(id) || self.known.contains_key(id) {
            return;
        }
        self.known.insert(id.clone(), now);
        let next = children(&self.roster, &self.root, id, self.rollout.tree);
        for child in next {
            self.send(now, child, rng);
        }
    }

    fn send(&mut self, now: Time, to: InstanceId, rng: &mut Pcg32) {
        self.messages += 1;
        if rng.random::<f64>() >= self.rollout.loss {
            self.push(now + self.rollout.hop, Event::Learn(to));
        }
    }

    /// Each instance tells the version to a random one, which closes the gaps of the tree.
    fn heartbeat(&mut self, now: Time, rng: &mut Pcg32) {
        let informed: Vec<InstanceId> = self.known.keys().cloned().collect();
        for _ in informed {
            let to = self.roster[rng.random_range(0..self.roster.len())].clone();
            self.send(now, to, rng);
        }
        self.push(now + self.rollout.heartbeat, Event::Heartbeat);
    }
}
