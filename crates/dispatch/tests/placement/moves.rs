//! Homes and targets that move at drawn times, while requests wait, run, are tried again, hedged and
//! withheld: nothing is sent to where its request may not run, and each request ends once.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{AllowedRegions, Config, Domain, ErrorKind, Executed, RegionId, TargetId, Time};
use dispatch::{
    Action, AdmittedRequest, Assignment, Dial, Dispatcher, Outcome, Placement, Policy,
    RegionShares, RequestId, RequestKind, RequestProgress,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

use crate::support;

const SEEDS: u64 = 300;
const STEPS: u32 = 240;
const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
/// Failure domain that no configuration knows.
const LOST_DOMAIN: &str = "lost";
const TARGET_NAMES: u32 = 40;
const GROUPS: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which nothing that happened in the draw holds a target back.
const REST: Duration = Duration::from_secs(120);

/// Counts what the draws have brought about.
#[derive(Debug, Default)]
struct Tally {
    sent: u32,
    /// Attempts sent after the homes of their request had moved.
    sent_after_move: u32,
    hedged: u32,
    withheld: u32,
    withdrawn_waiting: u32,
    withdrawn_running: u32,
    /// Targets that moved with requests in flight.
    moved_busy: u32,
}

/// What the draw knows of a request.
#[derive(Debug)]
struct Truth {
    group: usize,
    kind: RequestKind,
    has_moved: bool,
    is_withdrawn: bool,
    may_have_run: bool,
    has_left: bool,
    ends: u32,
    /// Attempts in flight and their targets.
    in_flight: BTreeMap<u32, TargetId>,
}

impl Truth {
    fn new(group: usize, kind: RequestKind) -> Self {
        Self {
            group,
            kind,
            has_moved: false,
            is_withdrawn: false,
            may_have_run: false,
            has_left: false,
            ends: 0,
            in_flight: BTreeMap::new(),
        }
    }

    fn is_over(&self) -> bool {
        self.ends > 0 || self.has_left
    }
}

/// Requests of one route: all have the same homes, `None` if they may run everywhere.
#[derive(Debug, Clone, Default)]
struct Group {
    homes: Option<BTreeSet<RegionId>>,
    max_attempts: u32,
}

impl Group {
    fn draw(rng: &mut Pcg32) -> Self {
        let is_bound = rng.random_bool(0.75);
        let homes = REGIONS.iter().filter(|_| rng.random_bool(0.45));
        let homes: BTreeSet<RegionId> = homes.map(|region| (*region).into()).collect();
        Self {
            homes: is_bound.then_some(homes),
            max_attempts: rng.random_range(1..5),
        }
    }

    fn allowed(&self) -> AllowedRegions {
        let homes = self.homes.as_ref();
        homes.map_or(AllowedRegions::All, AllowedRegions::only)
    }
}

struct World {
    seed: u64,
    rng: Pcg32,
    now: Time,
    config: Config,
    dispatcher: Dispatcher,
    groups: Vec<Group>,
    requests: BTreeMap<RequestId, Truth>,
    tally: Tally,
}

impl World {
    fn new(seed: u64, placement: Placement) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut config = support::config(6);
        let domain = Domain {
            region: REGIONS[2].into(),
        };
        config.domains.insert(REGIONS[2].into(), domain);
        let policy = Policy {
            placement,
            max_refusals: 6,
            ..Policy::default()
        };
        let mut dispatcher = Dispatcher::new(REGIONS[0].into(), seed, policy).unwrap();
        dispatcher.configure(Time::ZERO, &config);
        dispatcher.tick(Time::from_millis(1));
        let groups = (0..GROUPS).map(|_| Group::draw(&mut rng)).collect();
        Self {
            seed,
            rng,
            now: Time::from_secs(10),
            config,
            dispatcher,
            groups,
            requests: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(self.rng.random_range(0..15));
        match self.rng.random_range(0..24) {
            0..=9 => self.submit_any(),
            10..=16 => self.finish_any(),
            17..=19 => self.hedge_any(),
            20 | 21 => self.activate_version(),
            22 => self.leave_any(),
            _ => self.plan_shares(),
        }
        self.tick();
    }

    fn tick(&mut self) {
        for target in self.dispatcher.due_probes(self.now) {
            let dial = Dial::direct(true);
            self.dispatcher.record_probe(self.now, &target, dial);
        }
        let actions = self.dispatcher.tick(self.now);
        self.record(actions);
    }

    fn submit_any(&mut self) {
        let group = self.rng.random_range(0..GROUPS);
        let kind = if self.rng.random_bool(0.3) {
            RequestKind::Once
        } else {
            RequestKind::Idempotent
        };
        self.submit(group, kind);
    }

    fn submit(&mut self, group: usize, kind: RequestKind) {
        let id = RequestId(self.requests.len() as u64);
        self.requests.insert(id, Truth::new(group, kind));
        let workspace = format!("w{group}").as_str().into();
        let request = AdmittedRequest {
            affinity: Some(self.rng.random_range(0..8)),
            max_attempts: self.groups[group].max_attempts,
            allowed_regions: self.groups[group].allowed(),
            ..AdmittedRequest::new(id, workspace, "s".into(), self.now + TIMEOUT)
        };
        let actions = self.dispatcher.submit(self.now, request.kind(kind));
        self.record(actions);
    }

    /// Returns a drawn attempt in flight.
    fn any_attempt(&mut self) -> Option<(RequestId, u32)> {
        let requests = self.requests.iter();
        let attempts: Vec<(RequestId, u32)> = requests
            .flat_map(|(id, truth)| truth.in_flight.keys().map(|attempt| (*id, *attempt)))
            .collect();
        (!attempts.is_empty()).then(|| attempts[self.rng.random_range(0..attempts.len())])
    }

    fn finish_any(&mut self) {
        let Some((id, attempt)) = self.any_attempt() else {
            return;
        };
        let outcome = match self.rng.random_range(0..14) {
            _ if self.requests[&id].is_over() => Outcome::Canceled,
            0..=3 => Outcome::Answered(Duration::from_millis(50)),
            4..=6 => Outcome::Refused,
            7 => Outcome::Unreachable,
            8 => Outcome::Lost,
            9 => Outcome::TimedOut,
            10 => Outcome::Expired,
            _ => Outcome::Withheld,
        };
        self.finish(id, attempt, outcome);
    }

    fn finish(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let truth = self.requests.get_mut(&id).unwrap();
        truth.in_flight.remove(&attempt);
        truth.may_have_run |= matches!(outcome, Outcome::Lost | Outcome::TimedOut);
        if matches!(outcome, Outcome::Answered(_)) && !truth.is_over() {
            truth.ends += 1;
        }
        self.tally.withheld += u32::from(outcome == Outcome::Withheld);
        let (progress, actions) = self.dispatcher.finish(self.now, id, attempt, outcome);
        self.record(actions);
        let truth = &self.requests[&id];
        let is_known = self.dispatcher.contains(id);
        let seed = self.seed;
        if progress == RequestProgress::Ended {
            assert!(
                truth.is_over() && !is_known,
                "seed {seed}: {id:?} {truth:?}"
            );
        } else {
            // It may have been sent again and refused with the same actions only if it is over.
            assert!(is_known || truth.is_over(), "seed {seed}: {id:?} {truth:?}");
        }
    }

    fn hedge_any(&mut self) {
        let Some((id, _)) = self.any_attempt() else {
            return;
        };
        if self.requests[&id].is_over() {
            return;
        }
        if let Some(assignment) = self.dispatcher.hedge(self.now, id) {
            self.tally.hedged += 1;
            self.record_sent(&assignment);
        }
    }

    /// Lets a caller leave, whose attempts end one after the other.
    fn leave_any(&mut self) {
        let requests = self.requests.iter();
        let live: Vec<RequestId> = requests
            .filter(|(_, truth)| !truth.is_over())
            .map(|(id, _)| *id)
            .collect();
        if live.is_empty() {
            return;
        }
        let id = live[self.rng.random_range(0..live.len())];
        self.requests.get_mut(&id).unwrap().has_left = true;
        self.dispatcher.cancel(id);
        let attempts: Vec<u32> = self.requests[&id].in_flight.keys().copied().collect();
        for attempt in attempts {
            self.finish(id, attempt, Outcome::Canceled);
        }
    }

    fn plan_shares(&mut self) {
        let shares = REGIONS.iter().map(|region| {
            let share = f64::from(self.rng.random_range(0..4));
            ((*region).into(), share)
        });
        let shares = RegionShares {
            shares: shares.collect(),
        };
        self.dispatcher.set_region_shares(&"s".into(), shares);
    }

    /// Activates a version as the engine does: requests first, then the targets.
    fn activate_version(&mut self) {
        let moved = self.rng.random_range(0..GROUPS);
        let withdrawn = self.rng.random_bool(0.3).then_some(moved);
        if withdrawn.is_none() {
            self.groups[moved] = Group::draw(&mut self.rng);
        }
        for _ in 0..self.rng.random_range(0..3) {
            self.change_target();
        }
        let requests = self.requests.keys().copied();
        let known: Vec<RequestId> = requests
            .filter(|id| self.dispatcher.contains(*id))
            .collect();
        let mut actions = Vec::new();
        for id in known {
            let truth = self.requests.get_mut(&id).unwrap();
            if Some(truth.group) == withdrawn {
                truth.is_withdrawn = true;
                let refused = self
                    .dispatcher
                    .withdraw(self.now, id, ErrorKind::UnknownKey);
                self.tally.withdrawn_waiting += u32::from(!refused.is_empty());
                self.tally.withdrawn_running += u32::from(refused.is_empty());
                actions.extend(refused);
            } else if !truth.is_withdrawn {
                truth.has_moved |= truth.group == moved;
                let group = &self.groups[truth.group];
                self.dispatcher
                    .revise(id, &group.allowed(), group.max_attempts);
            }
        }
        actions.extend(self.dispatcher.configure(self.now, &self.config));
        self.record(actions);
    }

    /// Moves, removes or adds a target; one that was removed may come back elsewhere.
    fn change_target(&mut self) {
        let name: TargetId = format!("t{}", self.rng.random_range(0..TARGET_NAMES))
            .as_str()
            .into();
        let domain = match self.rng.random_range(0..8) {
            0 => LOST_DOMAIN,
            idx => REGIONS[idx % 3],
        };
        let service = self.config.services.get_mut("s").unwrap();
        let mut target = service.targets.first_key_value().unwrap().1.clone();
        target.domain = domain.into();
        let count = service.targets.len();
        match self.rng.random_range(0..3) {
            0 if count > 2 => {
                let idx = self.rng.random_range(0..count);
                let removed = service.targets.keys().nth(idx).unwrap().clone();
                service.targets.remove(&removed);
            }
            1 if count < 10 => {
                service.targets.insert(name, target);
            }
            _ => {
                let idx = self.rng.random_range(0..count);
                let (name, moved) = service.targets.iter_mut().nth(idx).unwrap();
                let is_busy = |truth: &&Truth| truth.in_flight.values().any(|one| one == name);
                let is_moved = moved.domain != target.domain;
                let busy = self.requests.values().filter(is_busy).count();
                self.tally.moved_busy += u32::from(is_moved && busy > 0);
                moved.domain = target.domain;
                let registration = moved.registered.as_mut().unwrap();
                registration.incarnation += u64::from(self.rng.random_bool(0.5));
            }
        }
    }

    fn record(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Assign(assignment) => self.record_sent(&assignment),
                Action::Refuse(id, refusal) => {
                    let truth = self.requests.get_mut(&id).unwrap();
                    let is_true =
                        !truth.may_have_run || refusal.kind.response().executed != Executed::No;
                    let (seed, is_over) = (self.seed, truth.is_over());
                    assert!(!is_over, "seed {seed}: {id:?} ended twice, {truth:?}");
                    assert!(is_true, "seed {seed}: {id:?} {refusal:?}, {truth:?}");
                    truth.ends += 1;
                }
                Action::Recall(_)
                | Action::ReportLoss(_)
                | Action::BeginQuarantine(_)
                | Action::ReportQuarantine(_) => {}
            }
        }
    }

    /// Checks an attempt against the active configuration and the regions in force.
    fn record_sent(&mut self, assignment: &Assignment) {
        let seed = self.seed;
        let truth = self.requests.get_mut(&assignment.id).unwrap();
        let known = self.config.services["s"].targets.get(&assignment.target);
        let domain = known.map(|target| &target.domain);
        let region = domain.and_then(|domain| self.config.region_of(domain));
        let homes = self.groups[truth.group].homes.as_ref();
        let may_run = homes.is_none_or(|homes| region.is_some_and(|one| homes.contains(one)));
        let is_named = region.map_or(!assignment.region.is_known(), |one| {
            *one == assignment.region
        });
        let is_repeated_once = truth.kind == RequestKind::Once && truth.may_have_run;
        let context = format!("seed {seed}: {assignment:?} in {region:?} of {homes:?}, {truth:?}");
        assert!(known.is_some(), "not configured, {context}");
        assert!(may_run, "outside of its regions, {context}");
        assert!(is_named, "another region is named, {context}");
        assert!(!truth.is_withdrawn, "after a withdrawal, {context}");
        assert!(!truth.is_over(), "after its end, {context}");
        assert!(!is_repeated_once, "a second time, {context}");
        truth
            .in_flight
            .insert(assignment.attempt, assignment.target.clone());
        self.tally.sent += 1;
        self.tally.sent_after_move += u32::from(truth.has_moved);
    }

    /// Answers everything, and checks that nothing is left.
    fn end(&mut self) {
        let limit = self.now + REST;
        while !self.dispatcher.is_empty() {
            self.now = self.now + Duration::from_millis(20);
            while let Some((id, attempt)) = self.any_attempt() {
                let outcome = if self.requests[&id].is_over() {
                    Outcome::Canceled
                } else {
                    Outcome::Answered(Duration::from_millis(50))
                };
                self.finish(id, attempt, outcome);
            }
            self.tick();
            assert!(self.now < limit, "seed {}: some never end", self.seed);
        }
        let seed = self.seed;
        for (id, truth) in &self.requests {
            let ends = truth.ends + u32::from(truth.has_left);
            assert_eq!(ends, 1, "seed {seed}: {id:?} {truth:?}");
        }
        let targets = self.dispatcher.targets(self.now);
        let in_flight: u32 = targets.iter().map(|(_, _, in_flight, _)| in_flight).sum();
        assert_eq!(in_flight, 0, "seed {seed}: {targets:?}");
        assert!(!self.dispatcher.has_queued(), "seed {seed}");
    }

    /// Checks that each region with a target that takes requests takes one: what has ended counts
    /// nowhere, also where its target has moved meanwhile.
    fn check_regions_are_free(&mut self) {
        self.now = self.now + REST;
        self.tick();
        for region in REGIONS {
            let targets = self.dispatcher.targets(self.now);
            let takes_requests = targets.iter().any(|(id, _, _, limit)| {
                let known = self.config.services["s"].targets.get(id);
                *limit > 0 && known.is_some_and(|target| target.domain.as_str() == region)
            });
            if !takes_requests {
                continue;
            }
            self.groups[0].homes = Some([region.into()].into());
            let before = self.tally.sent;
            self.submit(0, RequestKind::Idempotent);
            let seed = self.seed;
            assert_eq!(self.tally.sent, before + 1, "seed {seed}: {region} is full");
            self.end();
        }
    }
}

/// Guards against HOME: whatever waits, runs or is tried again while versions move homes and targets is
/// sent only to where it may run by the version in force, and nothing of it leaks.
#[rstest]
#[case::two_choices(Placement::TwoChoices)]
#[case::object_affinity(Placement::ObjectAffinity)]
fn drawn_moves_are_followed(#[case] placement: Placement) {
    let mut total = Tally::default();
    for seed in 0..SEEDS {
        let mut world = World::new(seed, placement);
        for _ in 0..STEPS {
            world.step();
        }
        world.end();
        if placement == Placement::TwoChoices {
            world.check_regions_are_free();
        }
        let tally = world.tally;
        total.sent += tally.sent;
        total.sent_after_move += tally.sent_after_move;
        total.hedged += tally.hedged;
        total.withheld += tally.withheld;
        total.withdrawn_waiting += tally.withdrawn_waiting;
        total.withdrawn_running += tally.withdrawn_running;
        total.moved_busy += tally.moved_busy;
    }
    let rarest = [
        total.sent_after_move,
        total.hedged,
        total.withheld,
        total.withdrawn_waiting,
        total.withdrawn_running,
        total.moved_busy,
    ];
    assert!(rarest.iter().all(|count| *count >= 300), "{total:?}");
}
