//! One workspace's limit over several instances, driven by seeded demand in virtual time.
//!
//! Instances are [`AdmissionController`]s, the owner is a [`QuotaOwner`]; between them is a queue
//! of delayed messages. Each instance has a clock of its own that drifts. No socket, task or thread
//! is used, so that a run of minutes takes a moment and repeats exactly.

use std::{collections::BTreeMap, time::Duration};

use admit::{Action, AdmissionController};
use base::{Config, Incarnation, InstanceId, Time, Workspace, WorkspaceId};
use coord::{
    Grant, GrantRequest, Loan, OwnerId, Quota, QuotaAudit, QuotaOwner, QuotaSplit, SlotHistory,
    TokenBucket,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

const TICK: Duration = Duration::from_millis(10);
const BEAT: Duration = Duration::from_millis(500);
const WORKSPACE: &str = "w";
const DEADLINE: Duration = Duration::from_secs(2);

/// Describes the demand on the workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Demand {
    /// All instances get the same.
    Even,
    /// The first instance gets this share, the others the rest.
    Hot(f64),
    /// The hot instance changes every this many seconds; it gets this share.
    Wandering(f64, u64),
}

/// Lists what goes wrong.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The owner's instance ends; a successor takes over after the second duration, if at all.
    OwnerLost(Duration, Option<Duration>),
    /// An instance is paused from the first time for the second duration, messages waiting.
    Paused(usize, Duration, Duration),
    /// An instance's messages are lost from the first time for the second duration.
    Cut(usize, Duration, Duration),
    /// This share of all messages is lost.
    Loss(f64),
    /// An instance, not the owner's, is replaced by an empty one.
    Replaced(usize, Duration),
}

/// Describes a run.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How the workspace's quota is divided.
    pub split: QuotaSplit,
    /// Whether there is an owner.
    pub has_owner: bool,
    /// Whether floors are lent to the owner while it can be reached.
    pub lends: bool,
    /// Number of instances.
    pub instances: usize,
    /// Quota of the workspace.
    pub quota: Quota,
    /// Mean demand as a multiple of the rate.
    pub load: f64,
    /// How the demand is spread.
    pub demand: Demand,
    /// Share of the demand that comes in batches, and the batches' size.
    pub batches: (f64, u32),
    /// Length of the run.
    pub length: Duration,
    /// One-way delay between regions; instances are spread over three of them.
    pub region_delay: Duration,
    /// Most by which an instance's clock is fast or slow, as a fraction.
    pub drift: f64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            split: QuotaSplit {
                reserved_share: 1.0,
                ..QuotaSplit::default()
            },
            has_owner: true,
            lends: true,
            instances: 10,
            quota: Quota {
                rate: 200.0,
                burst: 100.0,
            },
            load: 0.9,
            demand: Demand::Even,
            batches: (0.0, 1),
            length: Duration::from_secs(120),
            region_delay: Duration::from_millis(55),
            drift: 0.01,
            faults: Vec::new(),
            seed: 1,
        }
    }
}

/// Holds what a run showed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Outcome {
    /// Requests that came.
    pub arrived: u64,
    /// Requests admitted.
    pub admitted: u64,
    /// Requests that one ideal shared bucket would have admitted.
    pub ideal: u64,
    /// Requests refused that the ideal bucket would have admitted.
    pub wrongful: u64,
    /// Units left in the worst window; negative where the quota was passed.
    pub least_left: f64,
    /// Messages between instances.
    pub messages: u64,
    /// Longest wait of an admitted request.
    pub longest_wait: Duration,
}

impl Outcome {
    /// Returns the share of the requests within the rate that were refused.
    pub fn wrongful_share(&self) -> f64 {
        self.wrongful as f64 / (self.ideal as f64).max(1.0)
    }

    /// Returns how far the admitted requests fall short of the ideal bucket's, as a share.
    pub fn shortfall(&self) -> f64 {
        (self.ideal as f64 - self.admitted as f64).max(0.0) / (self.ideal as f64).max(1.0)
    }
}

#[derive(Debug)]
enum Event {
    Arrive(usize, u64),
    Ask(usize, Incarnation, GrantRequest),
    Grant(usize, Grant),
    /// The owner's heartbeat, with its sending time by the owner's clock.
    Beat(usize, u64, Time),
    /// A loan, with the sending time of the owner's heartbeat that it answers.
    Loan(Incarnation, u64, Loan, Time),
    SendBeats,
    SendLoan(usize),
    Tick(usize),
    OwnerEnds,
    OwnerFollows,
    Replace(usize),
}

#[derive(Debug)]
struct Node {
    admission: AdmissionController,
    incarnation: Incarnation,
    clock_rate: f64,
    started_at: Time,
    /// Epoch and sending time of the owner's last heartbeat.
    heard: Option<(u64, Time)>,
}

#[derive(Debug)]
struct Run<'a> {
    scenario: &'a Scenario,
    rng: Pcg32,
    queue: BTreeMap<(Time, u64), Event>,
    queued: u64,
    nodes: Vec<Node>,
    owner: Option<QuotaOwner>,
    owner_at: usize,
    epoch: u64,
    ideal: TokenBucket,
    audit: QuotaAudit,
    open: BTreeMap<u64, (Time, bool)>,
    admissions: Vec<Time>,
    outcome: Outcome,
}

/// Carries out a run.
pub fn run(scenario: &Scenario) -> Outcome {
    let mut run = Run::new(scenario);
    run.schedule();
    while let Some(((now, _), event)) = run.queue.pop_first() {
        run.handle(now, event);
    }
    run.finish()
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut rng = Pcg32::seed_from_u64(scenario.seed);
        let nodes = (0..scenario.instances)
            .map(|_| {
                let off = rng.random::<f64>() * 2.0 - 1.0;
                Node::new(scenario, 1.0 + scenario.drift * off, Incarnation(1))
            })
            .collect();
        let owner_at = scenario.instances / 2;
        let mut run = Self {
            scenario,
            rng,
            queue: BTreeMap::new(),
            queued: 0,
            nodes,
            owner: None,
            owner_at,
            epoch: 1,
            ideal: TokenBucket::full(Time::ZERO, scenario.quota),
            audit: QuotaAudit::new(scenario.quota),
            open: BTreeMap::new(),
            admissions: Vec::new(),
            outcome: Outcome::default(),
        };
        for (idx, node) in (0..).zip(&mut run.nodes) {
            node.admission
                .hold_slot(Time::ZERO, idx, Time::NEVER, SlotHistory::NeverHeld);
        }
        if scenario.has_owner {
            let mut owner = QuotaOwner::initial(Time::ZERO, scenario.quota, scenario.split);
            owner.set_valid_until(Time::NEVER);
            run.owner = Some(owner);
        }
        run
    }

    fn schedule(&mut self) {
        let end = Time::ZERO + self.scenario.length;
        let (share, size) = self.scenario.batches;
        let per_s = self.scenario.quota.rate * self.scenario.load;
        let mut id = 0;
        for (rate, batch) in [
            (per_s * (1.0 - share), 1),
            (per_s * share / f64::from(size), size),
        ] {
            if rate <= 0.0 {
                continue;
            }
            let mut at = Time::ZERO;
            loop {
                at = at + exponential(&mut self.rng, rate);
                if at >= end {
                    break;
                }
                let node = self.place(at);
                for _ in 0..batch {
                    id += 1;
                    self.push(at, Event::Arrive(node, id));
                }
            }
        }
        for idx in 0..self.nodes.len() {
            self.push(Time::ZERO + TICK, Event::Tick(idx));
            let offset = BEAT * u32::try_from(idx).unwrap_or(0) / 16;
            self.push(Time::ZERO + offset, Event::SendLoan(idx));
        }
        self.push(Time::ZERO, Event::SendBeats);
        for fault in self.scenario.faults.clone() {
            match fault {
                Fault::OwnerLost(at, follows) => {
                    self.push(Time::ZERO + at, Event::OwnerEnds);
                    if let Some(later) = follows {
                        self.push(Time::ZERO + at + later, Event::OwnerFollows);
                    }
                }
                Fault::Replaced(idx, at) => self.push(Time::ZERO + at, Event::Replace(idx)),
                Fault::Paused(..) | Fault::Cut(..) | Fault::Loss(_) => {}
            }
        }
    }

    fn place(&mut self, at: Time) -> usize {
        let count = self.nodes.len();
        let (hot, share) = match self.scenario.demand {
            Demand::Even => return self.rng.random_range(0..count),
            Demand::Hot(share) => (0, share),
            Demand::Wandering(share, secs) => {
                let turn = at.as_micros() / 1_000_000 / secs.max(1);
                ((turn as usize * 7) % count, share)
            }
        };
        if count == 1 || self.rng.random::<f64>() < share {
            return hot;
        }
        (hot + self.rng.random_range(1..count)) % count
    }

    fn push(&mut self, at: Time, event: Event) {
        self.queued += 1;
        self.queue.insert((at, self.queued), event);
    }

    fn handle(&mut self, now: Time, event: Event) {
        if let Some(until) = self.paused_until(now, &event) {
            self.push(until, event);
            return;
        }
        match event {
            Event::Arrive(idx, id) => self.arrive(now, idx, id),
            Event::Tick(idx) => {
                let local = self.nodes[idx].local(now);
                let actions = self.nodes[idx].admission.tick(local);
                self.apply(now, idx, actions);
                if !self.is_over(now) {
                    self.push(now + TICK, Event::Tick(idx));
                }
            }
            Event::Ask(from, incarnation, ask) => self.ask(now, from, incarnation, &ask),
            Event::Grant(to, grant) => {
                let local = self.nodes[to].local(now);
                let workspace = WorkspaceId::from(WORKSPACE);
                let actions = self.nodes[to].admission.on_grant(local, &workspace, &grant);
                self.apply(now, to, actions);
            }
            Event::SendBeats => self.send_beats(now),
            Event::Beat(to, epoch, sent_at) => {
                let node = &mut self.nodes[to];
                node.heard = node.heard.max(Some((epoch, sent_at)));
                let owner = node.heard.map(|(epoch, _)| borrower(epoch));
                node.admission.set_owner(&WORKSPACE.into(), owner);
            }
            Event::SendLoan(idx) => self.lend(now, idx),
            Event::Loan(life, epoch, loan, dated) => {
                let local = self.nodes[self.owner_at].local(now);
                if let Some(owner) = &mut self.owner
                    && epoch == owner.epoch()
                {
                    owner.on_loan(local, life, &loan, dated);
                }
            }
            Event::OwnerEnds => {
                self.owner = None;
                for node in &mut self.nodes {
                    node.admission.set_owner(&WORKSPACE.into(), None);
                }
            }
            Event::OwnerFollows => self.follow(now),
            Event::Replace(idx) => self.replace(now, idx),
        }
    }

    /// Returns when a paused instance takes up the event.
    fn paused_until(&self, now: Time, event: &Event) -> Option<Time> {
        let idx = match event {
            Event::Arrive(idx, _)
            | Event::Tick(idx)
            | Event::Grant(idx, _)
            | Event::Beat(idx, ..)
            | Event::SendLoan(idx) => *idx,
            Event::Ask(..) | Event::Loan(..) | Event::SendBeats => self.owner_at,
            _ => return None,
        };
        self.scenario.faults.iter().find_map(|fault| match fault {
            Fault::Paused(paused, at, length) if *paused == idx => {
                let (from, until) = (Time::ZERO + *at, Time::ZERO + *at + *length);
                (now >= from && now < until).then_some(until)
            }
            _ => None,
        })
    }

    fn arrive(&mut self, now: Time, idx: usize, id: u64) {
        self.outcome.arrived += 1;
        let is_ideal = self.ideal.try_take(now);
        self.outcome.ideal += u64::from(is_ideal);
        self.open.insert(id, (now, is_ideal));
        let node = &mut self.nodes[idx];
        let local = node.local(now);
        let workspace = WorkspaceId::from(WORKSPACE);
        let actions = node
            .admission
            .on_request(local, id, &workspace, local + DEADLINE);
        self.apply(now, idx, actions);
    }

    fn apply(&mut self, now: Time, idx: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Admit(id) => {
                    let Some((came, _)) = self.open.remove(&id) else {
                        continue;
                    };
                    self.admissions.push(now);
                    self.outcome.longest_wait = self.outcome.longest_wait.max(now - came);
                }
                Action::Refuse(id, _) => {
                    let refused = self.open.remove(&id);
                    self.outcome.wrongful +=
                        u64::from(refused.is_some_and(|(_, is_ideal)| is_ideal));
                }
                Action::Lend(..) => {}
                Action::RequestGrant(_, _, ask) => {
                    let incarnation = self.nodes[idx].incarnation;
                    let at = now + self.delay(idx);
                    if !self.is_lost(now, idx) {
                        self.push(at, Event::Ask(idx, incarnation, ask));
                    }
                    self.outcome.messages += 1;
                }
            }
        }
    }

    fn ask(&mut self, now: Time, from: usize, incarnation: Incarnation, ask: &GrantRequest) {
        let local = self.nodes[self.owner_at].local(now);
        let Some(owner) = &mut self.owner else {
            return;
        };
        let Some(grant) = owner.on_request(local, &name(from), incarnation, ask) else {
            return;
        };
        let at = now + self.delay(from);
        if !self.is_lost(now, from) {
            self.push(at, Event::Grant(from, grant));
        }
        self.outcome.messages += 1;
    }

    fn is_over(&self, now: Time) -> bool {
        now >= Time::ZERO + self.scenario.length + DEADLINE
    }

    fn send_beats(&mut self, now: Time) {
        if self.is_over(now) {
            return;
        }
        self.push(now + BEAT, Event::SendBeats);
        let Some(epoch) = self.owner.as_ref().map(QuotaOwner::epoch) else {
            return;
        };
        let sent_at = self.nodes[self.owner_at].local(now);
        for idx in 0..self.nodes.len() {
            let at = now + self.delay(idx);
            if !self.is_lost(now, idx) {
                self.push(at, Event::Beat(idx, epoch, sent_at));
            }
        }
    }

    fn lend(&mut self, now: Time, idx: usize) {
        if self.is_over(now) || !self.scenario.lends {
            return;
        }
        self.push(now + BEAT, Event::SendLoan(idx));
        let node = &mut self.nodes[idx];
        let local = node.local(now);
        let Some((epoch, dated)) = node.heard else {
            return;
        };
        let life = node.incarnation;
        let actions = node.admission.lend(local);
        let at = now + self.delay(idx);
        for action in actions {
            if let Action::Lend(_, owner, loans) = action
                && owner.epoch == epoch
                && !self.is_lost(now, idx)
            {
                for loan in loans {
                    self.push(at, Event::Loan(life, epoch, loan, dated));
                }
            }
        }
    }

    fn follow(&mut self, now: Time) {
        self.epoch += 1;
        self.owner_at = (self.owner_at + 1) % self.nodes.len();
        let local = self.nodes[self.owner_at].local(now);
        let (quota, split) = (self.scenario.quota, self.scenario.split);
        let mut owner = if split.reserved_share < 1.0 {
            QuotaOwner::successor(local, quota, split, self.epoch)
        } else {
            QuotaOwner::borrowing(local, quota, split, self.epoch)
        };
        owner.set_valid_until(Time::NEVER);
        self.owner = Some(owner);
    }

    fn replace(&mut self, now: Time, idx: usize) {
        let old = &self.nodes[idx];
        let incarnation = Incarnation(old.incarnation.0 + 1);
        let mut node = Node::new(self.scenario, old.clock_rate, incarnation);
        node.started_at = now;
        let local = node.local(now);
        let slot = u32::try_from(idx).unwrap_or(0);
        node.admission
            .hold_slot(local, slot, Time::NEVER, SlotHistory::EndedBy(local));
        self.nodes[idx] = node;
    }

    fn delay(&self, idx: usize) -> Duration {
        let regions = 3;
        if idx == self.owner_at {
            Duration::from_micros(20)
        } else if idx % regions == self.owner_at % regions {
            Duration::from_millis(1)
        } else {
            self.scenario.region_delay
        }
    }

    fn is_lost(&mut self, now: Time, idx: usize) -> bool {
        let mut is_lost = false;
        for fault in &self.scenario.faults {
            is_lost |= match fault {
                Fault::Cut(cut, at, length) => {
                    *cut == idx && now >= Time::ZERO + *at && now < Time::ZERO + *at + *length
                }
                Fault::Loss(share) => self.rng.random::<f64>() < *share,
                _ => false,
            };
        }
        is_lost
    }

    fn finish(mut self) -> Outcome {
        self.admissions.sort_unstable();
        for at in &self.admissions {
            self.audit.record(*at);
        }
        self.outcome.admitted = self.admissions.len() as u64;
        self.outcome.wrongful += self.open.values().filter(|(_, ideal)| *ideal).count() as u64;
        self.outcome.least_left = self.audit.min_remaining();
        self.outcome
    }
}

impl Node {
    fn new(scenario: &Scenario, clock_rate: f64, incarnation: Incarnation) -> Self {
        let mut config = Config::default();
        let workspace = Workspace {
            rate: scenario.quota.rate,
            burst: scenario.quota.burst,
            weight: 1,
            ..Workspace::default()
        };
        config.workspaces.insert(WORKSPACE.into(), workspace);
        let mut admission = AdmissionController::new(scenario.split);
        admission.configure(Time::ZERO, &config);
        Self {
            admission,
            incarnation,
            clock_rate,
            started_at: Time::ZERO,
            heard: None,
        }
    }

    /// Returns the time by the instance's own clock.
    fn local(&self, now: Time) -> Time {
        let passed = (now - self.started_at).as_micros() as f64 * self.clock_rate;
        Time::from_micros(passed as u64)
    }
}

fn borrower(epoch: u64) -> OwnerId {
    OwnerId {
        instance: "owner".into(),
        epoch,
    }
}

fn name(idx: usize) -> InstanceId {
    format!("i{idx}").into()
}

fn exponential(rng: &mut Pcg32, rate: f64) -> Duration {
    let draw: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}
