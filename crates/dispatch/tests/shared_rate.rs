//! A rate that a target names holds over all instances, whatever is lost or late between them.

use std::{collections::BTreeMap, time::Duration};

use base::{Config, ErrorKind, InstanceId, RegionId, Service, TargetId, Time};
use dispatch::{
    Action, AdmittedRequest, Dispatcher, Outcome, Placement, Policy, RateRank, RateReport,
    RequestId, SharedRate,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use standin::config::{registration, service, target};

const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which all instances must keep to a rate.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which an instance that has received the rate counts as knowing it.
const TOLD_AFTER: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
const NAMED_AT: Time = Time::from_secs(4);
const LIFTED_AT: Time = Time::from_secs(24);
const END: Time = Time::from_secs(34);
/// Time without heartbeats after which the others take an instance for ended.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);
const REGIONS: [&str; 3] = ["r0", "r1", "r2"];
const RUN_TIME: Duration = Duration::from_millis(150);

/// Describes what goes wrong in a run.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Share of the messages between instances that are lost.
    loss: f64,
    /// Maximum delay of a message between instances.
    max_delay: Duration,
    /// Whether one instance is frozen for some seconds.
    freezes: bool,
    /// Whether one instance is killed and comes back.
    kills: bool,
    /// Whether the target changes the rate that it names.
    changes: bool,
}

#[derive(Debug)]
struct Instance {
    id: InstanceId,
    region: RegionId,
    dispatcher: Dispatcher,
    told_at: Option<Time>,
    /// Time until which the instance does nothing.
    stopped_until: Time,
    /// Time until which a restart or a freeze excuses it.
    excused_until: Time,
    reported_at: Time,
}

/// Describes what arrives at an instance.
#[derive(Debug, Clone)]
enum Arrival {
    Answer {
        id: RequestId,
        attempt: u32,
        named: Option<f64>,
    },
    Reports {
        sent_at: Time,
        reports: Vec<RateReport>,
    },
}

/// Simulates instances that send requests to one target and report to each other.
#[derive(Debug)]
struct Fleet {
    rng: Pcg32,
    faults: Faults,
    config: Config,
    instances: Vec<Instance>,
    /// Arrivals by time and number, with the receiving instance.
    due: BTreeMap<(Time, u64), (usize, Arrival)>,
    next_number: u64,
    /// Rate that the target names now.
    named: Option<f64>,
    /// Requests at the target: time, and whether the users count them.
    requests: Vec<(Time, bool)>,
}

fn config() -> Config {
    let mut config = standin::config::config(REGIONS.map(|region| (region, region)));
    let target = target("r0", Some(registration(40, 1)));
    let service = Service {
        targets: BTreeMap::from([("t".into(), target)]),
        ..service(1, 10_000)
    };
    config.services.insert("s".into(), service);
    config
}

fn dispatcher(config: &Config, region: &RegionId, seed: u64, now: Time) -> Dispatcher {
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        ..Policy::default()
    };
    let mut dispatcher = Dispatcher::new(region.clone(), seed, policy).unwrap();
    dispatcher.configure(now, config);
    dispatcher.tick(now + STEP);
    dispatcher
}

impl Fleet {
    fn new(seed: u64, count: usize, faults: Faults) -> Self {
        let config = config();
        let instances = (0..count).map(|idx| {
            let region = RegionId::from(REGIONS[idx % REGIONS.len()]);
            Instance {
                id: format!("i{idx}").into(),
                dispatcher: dispatcher(&config, &region, seed + idx as u64, Time::ZERO),
                region,
                told_at: None,
                stopped_until: Time::ZERO,
                excused_until: Time::ZERO,
                reported_at: Time::ZERO,
            }
        });
        Self {
            rng: Pcg32::seed_from_u64(seed),
            faults,
            instances: instances.collect(),
            config,
            due: BTreeMap::new(),
            next_number: 0,
            named: None,
            requests: Vec::new(),
        }
    }

    /// Runs the fleet; the instances of the target's region get `demand_per_s` requests each, and
    /// the others a tenth of it.
    fn run(&mut self, demand_per_s: f64, rate: f64) {
        let freeze_at = self.random_time(5, 20);
        let kill_at = self.random_time(5, 20);
        let change_at = self.random_time(9, 15);
        let changed_rate = rate * self.rng.random_range(0.3..1.0);
        let mut now = Time::ZERO;
        while now < END {
            let is_due = |at: Time| (now..now + STEP).contains(&at);
            if self.faults.freezes && is_due(freeze_at) {
                self.stop_one(now, Duration::from_secs(3));
            }
            if self.faults.kills && is_due(kill_at) {
                let idx = self.stop_one(now, Duration::from_secs(2));
                let seed = self.rng.random();
                let instance = &mut self.instances[idx];
                instance.dispatcher = dispatcher(&self.config, &instance.region, seed, now);
                instance.told_at = None;
            }
            let current = if self.faults.changes && now >= change_at {
                changed_rate
            } else {
                rate
            };
            self.named = (NAMED_AT..LIFTED_AT).contains(&now).then_some(current);
            self.update_live(now);
            self.deliver(now);
            for idx in 0..self.instances.len() {
                if now >= self.instances[idx].stopped_until {
                    self.step(now, idx, demand_per_s);
                }
            }
            now = now + STEP;
        }
    }

    fn random_time(&mut self, from_s: u64, to_s: u64) -> Time {
        Time::from_millis(self.rng.random_range(from_s * 1_000..to_s * 1_000))
    }

    fn step(&mut self, now: Time, idx: usize, demand_per_s: f64) {
        let is_local = self.instances[idx].region.as_str() == REGIONS[0];
        let demand_per_s = demand_per_s * if is_local { 1.0 } else { 0.1 };
        let mut arrivals = demand_per_s * STEP.as_secs_f64();
        while self.rng.random::<f64>() < arrivals {
            arrivals -= 1.0;
            self.submit(now, idx);
        }
        let actions = self.instances[idx].dispatcher.tick(now);
        self.send(now, idx, &actions);
        if now - self.instances[idx].reported_at >= REPORT_INTERVAL {
            self.report(now, idx);
        }
    }

    fn stop_one(&mut self, now: Time, pause: Duration) -> usize {
        let idx = self.rng.random_range(0..self.instances.len());
        self.instances[idx].stopped_until = now + pause;
        self.instances[idx].excused_until = now + pause + CONTACT_TIME;
        idx
    }

    /// Gives each instance the list of running ones, which a stopped one leaves only after the timeout.
    fn update_live(&mut self, now: Time) {
        if !now.as_micros().is_multiple_of(250_000) {
            return;
        }
        let is_live = |one: &&Instance| {
            let stopped_at = one.stopped_until;
            now >= stopped_at || stopped_at - now > HEARTBEAT_TIMEOUT
        };
        let live = self.instances.iter().filter(is_live);
        let live: Vec<(InstanceId, RegionId)> = live
            .map(|one| (one.id.clone(), one.region.clone()))
            .collect();
        for instance in &mut self.instances {
            let id = instance.id.clone();
            instance.dispatcher.set_instances(&id, live.clone());
        }
    }

    fn schedule(&mut self, at: Time, to: usize, arrival: Arrival) {
        self.next_number += 1;
        self.due.insert((at, self.next_number), (to, arrival));
    }

    fn deliver(&mut self, now: Time) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let (idx, arrival) = entry.remove();
            let instance = &mut self.instances[idx];
            let is_stopped = now < instance.stopped_until;
            match arrival {
                Arrival::Answer { .. } if is_stopped => {
                    let resumed_at = instance.stopped_until;
                    self.schedule(resumed_at, idx, arrival);
                }
                Arrival::Answer { id, attempt, named } => {
                    if named.is_some() {
                        instance.told_at = instance.told_at.or(Some(now));
                    }
                    let dispatcher = &mut instance.dispatcher;
                    let changed = dispatcher.record_named_rate(now, id, attempt, named);
                    let outcome = Outcome::Answered(RUN_TIME);
                    let (_, actions) = dispatcher.finish(now, id, attempt, outcome);
                    self.send(now, idx, &actions);
                    if changed.is_some() {
                        self.report(now, idx);
                    }
                }
                Arrival::Reports { .. } if is_stopped => {}
                Arrival::Reports { sent_at, reports } => {
                    let dispatcher = &mut instance.dispatcher;
                    dispatcher.merge_rate_reports(now, Some(sent_at), &reports);
                }
            }
        }
    }

    fn submit(&mut self, now: Time, idx: usize) {
        self.next_number += 1;
        let request = request(now, self.next_number);
        let actions = self.instances[idx].dispatcher.submit(now, request);
        self.send(now, idx, &actions);
    }

    /// Carries assignments to the target, which answers after its run time.
    fn send(&mut self, now: Time, idx: usize, actions: &[Action]) {
        for action in actions {
            let Action::Assign(assignment) = action else {
                continue;
            };
            let instance = &self.instances[idx];
            let is_told = instance.told_at.is_some_and(|at| at + TOLD_AFTER <= now);
            let is_counted = is_told && now >= instance.excused_until;
            self.requests.push((now, is_counted));
            let answer = Arrival::Answer {
                id: assignment.id,
                attempt: assignment.attempt,
                named: self.named,
            };
            let took = RUN_TIME.mul_f64(self.rng.random_range(0.5..2.0));
            self.schedule(now + took, idx, answer);
        }
    }

    fn report(&mut self, now: Time, idx: usize) {
        self.instances[idx].reported_at = now;
        let reports = self.instances[idx].dispatcher.rate_reports(now);
        if reports.is_empty() {
            return;
        }
        for to in 0..self.instances.len() {
            if to == idx || self.rng.random::<f64>() < self.faults.loss {
                continue;
            }
            let delay = self.faults.max_delay.mul_f64(self.rng.random());
            let reports = Arrival::Reports {
                sent_at: now,
                reports: reports.clone(),
            };
            self.schedule(now + delay, to, reports);
        }
    }

    /// Returns the most requests that the users count in any window from `from` to `to`.
    fn max_in_window(&self, from: Time, to: Time) -> usize {
        let is_counted = |(at, is_counted): &&(Time, bool)| *is_counted && *at >= from && *at < to;
        let counted: Vec<Time> = self
            .requests
            .iter()
            .filter(is_counted)
            .map(|(at, _)| *at)
            .collect();
        let in_window = |first: usize| {
            let end = counted[first] + WINDOW;
            counted[first..].iter().filter(|at| **at < end).count()
        };
        (0..counted.len()).map(in_window).max().unwrap_or(0)
    }

    fn count(&self, from: Time, to: Time) -> usize {
        let in_time = |(at, _): &&(Time, bool)| *at >= from && *at < to;
        self.requests.iter().filter(in_time).count()
    }
}

fn request(now: Time, number: u64) -> AdmittedRequest {
    AdmittedRequest {
        objective_deadline: now + Duration::from_millis(300),
        affinity: Some(number),
        ..AdmittedRequest::new(
            RequestId(number),
            "w".into(),
            "s".into(),
            now + Duration::from_secs(1),
        )
    }
}

/// Returns how many requests the users allow in [`WINDOW`].
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

const NO_FAULTS: Faults = Faults {
    loss: 0.0,
    max_delay: Duration::from_millis(60),
    freezes: false,
    kills: false,
    changes: false,
};

const ALL_FAULTS: Faults = Faults {
    loss: 0.3,
    max_delay: Duration::from_millis(400),
    freezes: true,
    kills: true,
    changes: true,
};

/// Over drawn schedules a target never gets more than the users allow, gets at least half of its
/// rate while there is demand, and gets all again within seconds of naming none.
#[rstest]
#[case::no_faults(NO_FAULTS, 9, 100)]
#[case::lost_reports(Faults { loss: 0.5, ..NO_FAULTS }, 9, 100)]
#[case::changed_rate(Faults { changes: true, ..NO_FAULTS }, 9, 100)]
#[case::frozen_instance(Faults { freezes: true, ..NO_FAULTS }, 9, 100)]
#[case::killed_instance(Faults { kills: true, ..NO_FAULTS }, 9, 100)]
#[case::all_faults(ALL_FAULTS, 9, 200)]
#[case::all_faults_alone_in_region(ALL_FAULTS, 3, 100)]
#[case::all_faults_many_instances(ALL_FAULTS, 60, 30)]
fn named_rate_holds_over_fleet(#[case] faults: Faults, #[case] count: usize, #[case] seeds: u64) {
    for seed in 0..seeds {
        let mut fleet = Fleet::new(seed, count, faults);
        let rate = 0.3 * 100.0_f64.powf(fleet.rng.random());
        let demand_per_s = 40.0 / (count as f64 / 3.0);
        fleet.run(demand_per_s, rate);
        let context = format!("seed {seed}, rate {rate:.2}");

        let most = fleet.max_in_window(NAMED_AT + CONTACT_TIME, LIFTED_AT) as f64;
        assert!(most <= allowed(rate), "{context}: {most} in 4 s");

        let calm = NAMED_AT + CONTACT_TIME;
        let got = fleet.count(calm, LIFTED_AT) as f64 / (LIFTED_AT - calm).as_secs_f64();
        let least_rate = rate * if faults.changes { 0.3 } else { 1.0 };
        assert!(
            got >= least_rate * 0.5 - 0.2,
            "{context}: {got:.2} a second"
        );

        let after = LIFTED_AT + Duration::from_secs(6);
        let got = fleet.count(after, END) as f64 / (END - after).as_secs_f64();
        assert!(got >= 20.0, "{context}: {got:.2} a second after the end");
    }
}

/// A target that no longer gets anything from those that share its rate, because their callers are
/// gone, is found without a rate by the others.
#[test]
fn silent_target_is_tried_by_others() {
    let rank = |position| RateRank {
        position,
        local_count: 1,
    };
    let mut rate = SharedRate::default();
    let named_at = Time::from_secs(10);
    rate.observe(named_at, Time::ZERO, Some(2.0));
    let is_turn = |position, after_ms| {
        let now = named_at + Duration::from_millis(after_ms);
        rate.wait(now, rank(position), false) == Some(Duration::ZERO)
    };
    assert!(is_turn(0, 600) && !is_turn(1, 600));
    assert!(!is_turn(1, 1_900) && is_turn(1, 2_000));
    assert!(!is_turn(2, 2_400) && is_turn(2, 2_500));
}

/// An answer to a request that was under way when the rate was named does not end it; neither does
/// a report that may be older.
#[test]
fn older_answer_does_not_lift_rate() {
    let mut rate = SharedRate::default();
    let named_at = Time::from_secs(10);
    assert!(rate.observe(named_at, Time::from_secs(9), Some(2.0)));
    let later = Time::from_secs(11);
    assert!(!rate.observe(later, Time::from_secs(9), None));
    let report = RateReport {
        target_digest: 1,
        per_s: None,
        age: Duration::from_secs(2),
    };
    assert!(!rate.merge(later, Some(later), &report));
    assert!(!rate.merge(later, None, &report));
    assert_eq!(rate.per_s(), Some(2.0));
    assert!(rate.observe(later, Time::from_millis(10_500), None));
    assert_eq!(rate.per_s(), None);
}

/// A report of the rate that was made before the target named none does not bring it back.
#[test]
fn older_report_does_not_name_rate_again() {
    let mut rate = SharedRate::default();
    rate.observe(Time::from_secs(10), Time::from_secs(9), Some(2.0));
    rate.observe(Time::from_secs(12), Time::from_secs(11), None);
    let report = |age| RateReport {
        target_digest: 1,
        per_s: Some(2.0),
        age,
    };
    let now = Time::from_secs(12);
    assert!(!rate.merge(now, Some(now), &report(Duration::from_millis(1_500))));
    assert!(rate.merge(now, Some(now), &report(Duration::from_millis(500))));
}

/// A request that no target can take within its rates is refused at once, and its caller learns when
/// one can.
#[test]
fn request_beyond_all_rates_is_refused_at_once() {
    let now = Time::from_secs(1);
    let mut dispatcher = dispatcher(&config(), &REGIONS[0].into(), 1, Time::ZERO);
    let sent = dispatcher.submit(now, request(now, 1));
    assert!(matches!(&sent[..], [Action::Assign(_)]), "{sent:?}");
    let changed = dispatcher.record_named_rate(now, RequestId(1), 1, Some(2.0));
    assert_eq!(changed, Some(TargetId::from("t")));
    let refused = dispatcher.submit(now, request(now, 2));
    let [Action::Refuse(_, refusal)] = &refused[..] else {
        panic!("{refused:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::Overloaded);
    assert_eq!(refusal.retry_after, Duration::from_millis(500));
    let later = now + refusal.retry_after;
    let sent = dispatcher.submit(later, request(later, 3));
    assert!(matches!(&sent[..], [Action::Assign(_)]), "{sent:?}");
}
