//! A target that asks an instance for rest gets nothing more from it for so long, whatever else goes
//! wrong.

use std::{collections::BTreeMap, time::Duration};

use base::{Config, ErrorKind, RegionId, Service, TargetId, Time, WorkspaceId};
use dispatch::{
    Action, AdmittedRequest, Dispatcher, Outcome, Placement, Policy, RequestId, SendGate,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use standin::config::{registration, service, target};

const STEP: Duration = Duration::from_millis(10);
const END: Time = Time::from_secs(20);
const RUN_TIME: Duration = Duration::from_millis(120);
/// Time after a target's answer from which on its rest counts.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Requests that may reach a target in the rest that it asked one instance for.
const ALLOWED: usize = 2;
const TARGETS: usize = 6;

/// Describes what goes wrong in a run.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Whether instances are frozen and killed.
    stops: bool,
    /// Maximum time that a message between an instance and a target takes.
    max_delay: Duration,
}

/// Describes one target's fault: until when it turns everything away, and what rest it asks for.
#[derive(Debug, Clone, Copy)]
struct Shedding {
    from: Time,
    until: Time,
    rest: Duration,
}

#[derive(Debug)]
struct Instance {
    dispatcher: Dispatcher,
    /// Time until which the instance does nothing.
    stopped_until: Time,
    /// Number of its current life; answers to an earlier one are lost.
    life: u64,
}

/// Describes the answer of a target that is on its way to an instance.
#[derive(Debug)]
struct Answer {
    instance: usize,
    life: u64,
    id: RequestId,
    attempt: u32,
    outcome: Outcome,
    rest: Option<Duration>,
}

/// Describes a request that is on its way to a target.
#[derive(Debug)]
struct Sent {
    target: TargetId,
    instance: usize,
    life: u64,
    id: RequestId,
    attempt: u32,
}

/// Simulates instances that send requests to targets, some of which ask for rest.
#[derive(Debug)]
struct Fleet {
    rng: Pcg32,
    faults: Faults,
    config: Config,
    instances: Vec<Instance>,
    shedding: BTreeMap<TargetId, Shedding>,
    /// Requests on their way to targets, by time and number.
    arriving: BTreeMap<(Time, u64), Sent>,
    answers: BTreeMap<(Time, u64), Answer>,
    next_number: u64,
    next_id: u64,
    /// Requests at each target by instance and its life.
    arrivals: BTreeMap<(TargetId, usize, u64), Vec<Time>>,
    /// Rests that were reported to each instance, by its life, with the time of the target's answer.
    rests: Vec<(TargetId, usize, u64, Time, Duration)>,
    /// Instances and times at which they were frozen.
    freezes: Vec<(usize, Time)>,
    served: usize,
    refused: usize,
}

fn config() -> Config {
    let mut config = standin::config::config([("d", "r")]);
    let targets = (0..TARGETS).map(|idx| {
        let target = target("d", Some(registration(5, 1)));
        (TargetId::from(format!("t{idx}").as_str()), target)
    });
    let service = Service {
        targets: targets.collect(),
        ..service(5, 2_000)
    };
    config.services.insert("s".into(), service);
    config
}

fn dispatcher(config: &Config, seed: u64, now: Time) -> Dispatcher {
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new(RegionId::from("r"), seed, policy).unwrap();
    dispatcher.configure(now, config);
    dispatcher.tick(now + STEP);
    dispatcher
}

fn request(now: Time, id: u64, affinity: u64) -> AdmittedRequest {
    let mut request = AdmittedRequest::new(
        RequestId(id),
        WorkspaceId::from("w"),
        "s".into(),
        now + Duration::from_secs(2),
    );
    request.objective_deadline = now + Duration::from_millis(400);
    request.max_attempts = 3;
    request.affinity = Some(affinity);
    request
}

impl Fleet {
    fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let config = config();
        let shedding = (0..rng.random_range(1..=TARGETS)).map(|idx| {
            let from = Time::from_millis(rng.random_range(1_000..8_000));
            let fault = Shedding {
                from,
                until: from + Duration::from_millis(rng.random_range(100..9_000)),
                rest: Duration::from_millis(rng.random_range(600..5_000)),
            };
            (TargetId::from(format!("t{idx}").as_str()), fault)
        });
        let shedding = shedding.collect();
        let instances = (0..count).map(|idx| Instance {
            dispatcher: dispatcher(&config, seed + idx as u64, Time::ZERO),
            stopped_until: Time::ZERO,
            life: 0,
        });
        Self {
            instances: instances.collect(),
            rng,
            faults,
            config,
            shedding,
            arriving: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_number: 0,
            next_id: 0,
            arrivals: BTreeMap::new(),
            rests: Vec::new(),
            freezes: Vec::new(),
            served: 0,
            refused: 0,
        }
    }

    fn run(&mut self, demand_per_s: f64) {
        let mut now = Time::ZERO;
        while now < END {
            if self.faults.stops && self.rng.random::<f64>() < 0.002 {
                self.stop_one(now);
            }
            self.arrive(now);
            self.answer(now);
            for idx in 0..self.instances.len() {
                if now < self.instances[idx].stopped_until {
                    continue;
                }
                let actions = self.instances[idx].dispatcher.tick(now);
                self.apply(now, idx, &actions);
                if self.rng.random::<f64>() < demand_per_s * STEP.as_secs_f64() {
                    self.next_id += 1;
                    let object = self.rng.random_range(0..40);
                    let request = request(now, self.next_id, object);
                    let actions = self.instances[idx].dispatcher.submit(now, request);
                    self.apply(now, idx, &actions);
                }
            }
            now = now + STEP;
        }
    }

    fn stop_one(&mut self, now: Time) {
        let idx = self.rng.random_range(0..self.instances.len());
        let is_killed = self.rng.random::<f64>() < 0.5;
        let pause = Duration::from_millis(self.rng.random_range(300..3_000));
        let seed = self.rng.random();
        let instance = &mut self.instances[idx];
        instance.stopped_until = now + pause;
        if is_killed {
            instance.life += 1;
            instance.dispatcher = dispatcher(&self.config, seed, now + pause);
        } else {
            self.freezes.push((idx, now));
        }
    }

    fn delay(&mut self) -> Duration {
        self.faults.max_delay.mul_f64(self.rng.random::<f64>())
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn apply(&mut self, now: Time, idx: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Assign(assignment) => {
                    let at = now + self.delay();
                    let key = (at, self.number());
                    let sent = Sent {
                        target: assignment.target.clone(),
                        instance: idx,
                        life: self.instances[idx].life,
                        id: assignment.id,
                        attempt: assignment.attempt,
                    };
                    self.arriving.insert(key, sent);
                }
                Action::Refuse(..) => self.refused += 1,
                Action::Recall(_)
                | Action::ReportLoss(_)
                | Action::BeginQuarantine(_)
                | Action::ReportQuarantine(_) => {}
            }
        }
    }

    /// Lets requests arrive at targets, which run them or ask for rest.
    fn arrive(&mut self, now: Time) {
        while let Some(entry) = self.arriving.first_entry().filter(|one| one.key().0 <= now) {
            let Sent {
                target,
                instance,
                life,
                id,
                attempt,
            } = entry.remove();
            let key = (target.clone(), instance, life);
            self.arrivals.entry(key).or_default().push(now);
            let fault = self.shedding.get(&target).copied();
            let sheds = fault.filter(|fault| (fault.from..fault.until).contains(&now));
            let (outcome, after) = match sheds {
                Some(_) => (Outcome::Refused, Duration::ZERO),
                None => (Outcome::Answered(RUN_TIME), RUN_TIME),
            };
            if let Some(fault) = sheds {
                self.rests.push((target, instance, life, now, fault.rest));
            }
            let answer = Answer {
                instance,
                life,
                id,
                attempt,
                outcome,
                rest: sheds.map(|fault| fault.rest),
            };
            let key = (now + after + self.delay(), self.number());
            self.answers.insert(key, answer);
        }
    }

    fn answer(&mut self, now: Time) {
        while let Some(entry) = self.answers.first_entry().filter(|one| one.key().0 <= now) {
            let answer = entry.remove();
            let instance = &mut self.instances[answer.instance];
            if answer.life != instance.life {
                continue;
            }
            if now < instance.stopped_until {
                let key = (instance.stopped_until, self.number());
                self.answers.insert(key, answer);
                continue;
            }
            if let Some(rest) = answer.rest {
                let dispatcher = &mut instance.dispatcher;
                dispatcher.record_rest(now, answer.id, answer.attempt, rest);
            }
            self.served += usize::from(matches!(answer.outcome, Outcome::Answered(_)));
            let dispatcher = &mut instance.dispatcher;
            let (_, actions) = dispatcher.finish(now, answer.id, answer.attempt, answer.outcome);
            self.apply(now, answer.instance, &actions);
        }
    }

    /// Returns the most requests that reached a target in the rest that it had asked an instance for.
    fn most_in_rest(&self) -> usize {
        let counted = self.rests.iter().map(|(target, idx, life, at, rest)| {
            let is_excused = |(frozen, since): &(usize, Time)| {
                frozen == idx && *since <= *at + *rest && *at <= *since + Duration::from_secs(4)
            };
            if self.freezes.iter().any(is_excused) {
                return 0;
            }
            let key = (target.clone(), *idx, *life);
            let arrivals = self.arrivals.get(&key).map_or(&[][..], Vec::as_slice);
            let is_counted = |one: &&Time| (*at + TOLD_AFTER..*at + *rest).contains(*one);
            arrivals.iter().filter(is_counted).count()
        });
        counted.max().unwrap_or(0)
    }
}

/// Guards against BUDGET: nothing kept the time for which a target wanted nothing from an instance.
#[rstest]
#[case::calm(1, Faults { stops: false, max_delay: Duration::from_millis(20) })]
#[case::far(3, Faults { stops: false, max_delay: Duration::from_millis(120) })]
#[case::stops(6, Faults { stops: true, max_delay: Duration::from_millis(60) })]
fn rest_is_kept_under_faults(#[case] count: usize, #[case] faults: Faults) {
    let mut rests = 0;
    for seed in 0..200 {
        let mut fleet = Fleet::new(seed, count, faults);
        fleet.run(60.0);
        rests += fleet.rests.len();
        let most = fleet.most_in_rest();
        assert!(most <= ALLOWED, "seed {seed}: {most} requests in one rest");
        assert!(fleet.served > 0, "seed {seed}");
    }
    assert!(rests > 200, "only {rests} rests");
}

/// Callers who can't be served learn at once when to retry, and nobody waits for nothing.
#[test]
fn callers_are_told_the_shortest_rest() {
    let config = config();
    let mut dispatcher = dispatcher(&config, 1, Time::ZERO);
    let now = Time::from_secs(1);
    let mut id = 0;
    for idx in 0..TARGETS {
        let target = TargetId::from(format!("t{idx}").as_str());
        // Requests for other objects until one goes to the target.
        let found = (0..1_000).find_map(|object| {
            id += 1;
            let actions = dispatcher.submit(now, request(now, id, object));
            let Some(Action::Assign(assignment)) = actions.first() else {
                return None;
            };
            let is_found = assignment.target == target;
            if !is_found {
                dispatcher.finish(now, RequestId(id), 1, Outcome::Canceled);
            }
            is_found.then_some(RequestId(id))
        });
        let found = found.unwrap();
        let rest = Duration::from_secs(3 + idx as u64);
        dispatcher.record_rest(now, found, 1, rest);
        dispatcher.finish(now, found, 1, Outcome::Canceled);
    }
    id += 1;
    let actions = dispatcher.submit(now, request(now, id, 7));
    let [Action::Refuse(_, refusal)] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert_eq!(refusal.retry_after, Duration::from_secs(3));
    // After the shortest rest one request shows whether the target takes requests again.
    let later = now + Duration::from_secs(3);
    let sent = (0..4).filter(|step| {
        let actions = dispatcher.submit(later, request(later, id + 1 + step, 7));
        matches!(&actions[..], [Action::Assign(_)])
    });
    assert_eq!(sent.count(), 1);
}

/// A rest that overlaps another one ends with the later of the two.
#[rstest]
#[case::shorter_later(3_000, 1_000, 3_000)]
#[case::longer_later(1_000, 3_000, 3_500)]
fn rest_is_never_shortened(#[case] first_ms: u64, #[case] second_ms: u64, #[case] end_ms: u64) {
    let mut gate = SendGate::default();
    let at = |ms: u64| Time::from_millis(ms);
    assert!(gate.rest(at(0), Duration::from_millis(first_ms)));
    assert!(!gate.rest(at(500), Duration::from_millis(second_ms)));
    assert!(gate.wait(at(end_ms - 1), false) > Some(Duration::ZERO));
    assert_eq!(gate.wait(at(end_ms), false), Some(Duration::ZERO));
}
