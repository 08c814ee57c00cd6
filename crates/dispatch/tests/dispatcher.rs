//! Dispatcher: every request ends exactly once, no slot leaks, and refusals that say "not run" are
//! true; fair queueing by weight.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use base::{Config, ErrorKind, Executed, Service, Time};
use dispatch::{
    Action, AdmittedRequest, Dispatcher, FairQueue, HealthReport, Outcome, Policy, RequestId,
    RequestKind, TargetState,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use standin::config::{service, target};

fn config(targets: usize) -> Config {
    let mut config = standin::config::config([("d0", "r0"), ("d1", "r1")]);
    let targets = (0..targets).map(|idx| {
        let target = target(&format!("d{}", idx % 2), None);
        (format!("t{idx}").into(), target)
    });
    let service = Service {
        connections: 10,
        targets: targets.collect(),
        ..service(2, 1_000)
    };
    config.services.insert("s".into(), service);
    config
}

fn dispatcher(targets: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("r0".into(), 1, Policy::default()).unwrap();
    dispatcher.configure(Time::ZERO, &config(targets));
    dispatcher.tick(Time::from_secs(10));
    dispatcher
}

fn request(id: u64, kind: RequestKind, deadline: Time) -> AdmittedRequest {
    let workspace = format!("w{}", id % 3).into();
    AdmittedRequest::new(RequestId(id), workspace, "s".into(), deadline).kind(kind)
}

/// Checks the actions of a dispatcher for random requests whose attempts end with random outcomes.
struct RequestTracker {
    in_flight: BTreeMap<(RequestId, u32), RequestKind>,
    runs: BTreeMap<RequestId, u32>,
    pending: BTreeSet<RequestId>,
    kinds: BTreeMap<RequestId, RequestKind>,
}

impl RequestTracker {
    fn record(&mut self, actions: Vec<Action>, seed: u64) {
        for action in actions {
            match action {
                Action::Assign(assignment) => {
                    let kind = self.kinds[&assignment.id];
                    self.in_flight
                        .insert((assignment.id, assignment.attempt), kind);
                    assert!(kind == RequestKind::Idempotent || assignment.needs_fresh_connection);
                }
                Action::Refuse(id, refusal) => {
                    assert!(self.pending.remove(&id), "seed {seed}: {id:?} ended twice");
                    let runs = self.runs.get(&id).copied().unwrap_or(0);
                    let contradicts_runs =
                        refusal.kind.response().executed == Executed::No && runs > 0;
                    assert!(
                        !contradicts_runs,
                        "seed {seed}: {refusal:?} after {runs} runs"
                    );
                }
                Action::Recall(_)
                | Action::ReportLoss(_)
                | Action::BeginQuarantine(_)
                | Action::ReportQuarantine(_) => {}
            }
        }
    }
}

fn run_random_schedule(seed: u64) {
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut dispatcher = dispatcher(4);
    let mut tracker = RequestTracker {
        in_flight: BTreeMap::new(),
        runs: BTreeMap::new(),
        pending: BTreeSet::new(),
        kinds: BTreeMap::new(),
    };
    let mut now = Time::from_secs(10);
    for id in 0..400 {
        now = now + Duration::from_millis(rng.random_range(0..30));
        let kind = if rng.random::<bool>() {
            RequestKind::Once
        } else {
            RequestKind::Idempotent
        };
        tracker.pending.insert(RequestId(id));
        tracker.kinds.insert(RequestId(id), kind);
        let actions = dispatcher.submit(now, request(id, kind, now + Duration::from_secs(1)));
        tracker.record(actions, seed);
        finish_some(&mut dispatcher, &mut tracker, now, &mut rng, 0.5, seed);
        let actions = dispatcher.tick(now);
        tracker.record(actions, seed);
    }
    for _ in 0..2_000 {
        now = now + Duration::from_millis(10);
        finish_some(&mut dispatcher, &mut tracker, now, &mut rng, 1.0, seed);
        let actions = dispatcher.tick(now);
        tracker.record(actions, seed);
    }
    assert!(
        tracker.pending.is_empty(),
        "seed {seed}: requests that did not end: {:?}",
        tracker.pending
    );
    assert!(dispatcher.is_empty(), "seed {seed}");
    let leaked: u32 = dispatcher
        .targets(now)
        .iter()
        .map(|(_, _, in_flight, _)| in_flight)
        .sum();
    assert_eq!(leaked, 0, "seed {seed}");
    for (id, runs) in tracker.runs {
        assert!(
            runs <= 1 || tracker.kinds[&id] == RequestKind::Idempotent,
            "seed {seed}: {id:?}"
        );
    }
}

fn finish_some(
    dispatcher: &mut Dispatcher,
    tracker: &mut RequestTracker,
    now: Time,
    rng: &mut Pcg32,
    share: f64,
    seed: u64,
) {
    let chosen: Vec<(RequestId, u32)> = tracker
        .in_flight
        .keys()
        .filter(|_| rng.random::<f64>() < share)
        .copied()
        .collect();
    for (id, attempt) in chosen {
        tracker.in_flight.remove(&(id, attempt));
        let outcome = match rng.random_range(0..11) {
            0 => Outcome::Lost,
            1 => Outcome::Unreachable,
            2 | 3 => Outcome::Refused,
            4 => Outcome::TimedOut,
            5 => Outcome::Expired,
            _ => Outcome::Answered(Duration::from_millis(20)),
        };
        if matches!(
            outcome,
            Outcome::Lost | Outcome::TimedOut | Outcome::Answered(_)
        ) {
            *tracker.runs.entry(id).or_default() += 1;
        }
        if matches!(outcome, Outcome::Answered(_)) {
            tracker.pending.remove(&id);
        }
        let (_, actions) = dispatcher.finish(now, id, attempt, outcome);
        tracker.record(actions, seed);
        // Failed targets recover, so that the schedule can go on.
        let report = HealthReport {
            in_flight: 0,
            is_leaving: false,
        };
        for target in 0..4 {
            let name = format!("t{target}").into();
            let actions = dispatcher.report_health(now, &"s".into(), &name, Some(report));
            tracker.record(actions, seed);
        }
    }
}

#[test]
fn dispatcher_ends_every_request_in_random_schedules() {
    for seed in 0..300 {
        run_random_schedule(seed);
    }
}

#[rstest]
#[case::refused(Outcome::Refused, true)]
#[case::unreachable(Outcome::Unreachable, true)]
#[case::lost(Outcome::Lost, false)]
#[case::invalid(Outcome::Invalid, false)]
#[case::timed_out(Outcome::TimedOut, false)]
#[case::expired(Outcome::Expired, false)]
fn dispatcher_retries_once_requests_only_when_not_run(
    #[case] outcome: Outcome,
    #[case] is_retried: bool,
) {
    let mut dispatcher = dispatcher(4);
    let now = Time::from_secs(11);
    let submitted = dispatcher.submit(
        now,
        request(1, RequestKind::Once, now + Duration::from_secs(1)),
    );
    assert!(matches!(submitted[0], Action::Assign(_)));
    let (_, actions) = dispatcher.finish(now, RequestId(1), 1, outcome);
    let has_retry = actions
        .iter()
        .any(|action| matches!(action, Action::Assign(_)));
    assert_eq!(has_retry, is_retried, "{actions:?}");
}

/// Guards against requests that have reached no target and end as if they could have run, and against REFUSED:
/// what an earlier attempt may have run is never said not to have run.
#[rstest]
#[case::nothing_sent(&[Outcome::Expired], ErrorKind::Expired)]
#[case::nothing_answered(&[Outcome::TimedOut], ErrorKind::TargetTimeout)]
#[case::lost(&[Outcome::Lost, Outcome::Lost], ErrorKind::TargetLost)]
#[case::invalid(&[Outcome::Invalid, Outcome::Invalid], ErrorKind::TargetLost)]
#[case::invalid_and_lost(&[Outcome::Invalid, Outcome::Lost], ErrorKind::TargetLost)]
#[case::refused_before(&[Outcome::Refused, Outcome::Expired], ErrorKind::Expired)]
#[case::unreachable_before(&[Outcome::Unreachable, Outcome::Expired], ErrorKind::Expired)]
#[case::withheld_before(&[Outcome::Withheld, Outcome::Expired], ErrorKind::Expired)]
#[case::lost_before(&[Outcome::Lost, Outcome::Expired], ErrorKind::TargetLost)]
#[case::invalid_before(&[Outcome::Invalid, Outcome::Expired], ErrorKind::TargetLost)]
fn dispatcher_says_whether_a_request_ran(
    #[case] outcomes: &[Outcome],
    #[case] expected: ErrorKind,
) {
    let mut dispatcher = dispatcher(4);
    let now = Time::from_secs(11);
    let mut actions = dispatcher.submit(
        now,
        request(1, RequestKind::Idempotent, now + Duration::from_secs(1)),
    );
    for (outcome, number) in outcomes.iter().zip(1..) {
        assert!(matches!(actions[0], Action::Assign(_)), "{actions:?}");
        (_, actions) = dispatcher.finish(now, RequestId(1), number, *outcome);
    }
    let refused = actions.iter().find_map(|action| match action {
        Action::Refuse(_, refusal) => Some(refusal.kind),
        _ => None,
    });
    assert_eq!(refused, Some(expected));
}

/// Guards against the wrong reason: a hedged request of which one attempt was not answered in time, and the other
/// one not sent, lost no connection.
#[rstest]
#[case::sent_first([(1, Outcome::TimedOut), (2, Outcome::Expired)])]
#[case::sent_last([(2, Outcome::Expired), (1, Outcome::TimedOut)])]
fn dispatcher_hedged_request_ends_by_its_sent_attempt(#[case] ends: [(u32, Outcome); 2]) {
    let mut dispatcher = dispatcher(4);
    let now = Time::from_secs(11);
    let deadline = now + Duration::from_secs(1);
    dispatcher.submit(now, request(1, RequestKind::Idempotent, deadline));
    assert!(dispatcher.hedge(now, RequestId(1)).is_some());
    let mut refused = None;
    for (attempt, outcome) in ends {
        let (_, actions) = dispatcher.finish(deadline, RequestId(1), attempt, outcome);
        refused = actions.iter().find_map(|action| match action {
            Action::Refuse(_, refusal) => Some(refusal.kind),
            _ => None,
        });
    }
    assert_eq!(refused, Some(ErrorKind::TargetTimeout));
}

#[test]
fn dispatcher_gives_leaving_target_no_work() {
    let mut dispatcher = dispatcher(1);
    let now = Time::from_secs(11);
    let leaving = HealthReport {
        in_flight: 0,
        is_leaving: true,
    };
    dispatcher.report_health(now, &"s".into(), &"t0".into(), Some(leaving));
    let actions = dispatcher.submit(
        now,
        request(1, RequestKind::Once, now + Duration::from_secs(1)),
    );
    assert!(
        matches!(&actions[..], [Action::Refuse(_, refusal)] if refusal.kind == ErrorKind::NoTarget)
    );
}

#[test]
fn dispatcher_drained_target_takes_no_work_until_undrained() {
    let mut dispatcher = dispatcher(1);
    let now = Time::from_secs(11);
    let mut drained = config(1);
    drained.drains.targets.insert("t0".into());
    dispatcher.configure(now, &drained);
    let report = HealthReport {
        in_flight: 0,
        is_leaving: false,
    };
    dispatcher.report_health(now, &"s".into(), &"t0".into(), Some(report));
    assert_eq!(dispatcher.targets(now)[0].1, TargetState::Leaving);
    dispatcher.configure(now, &config(1));
    assert_eq!(dispatcher.targets(now)[0].1, TargetState::Cold);
}

#[test]
fn dispatcher_cold_target_starts_slowly() {
    let mut dispatcher = Dispatcher::new("r0".into(), 1, Policy::default()).unwrap();
    dispatcher.configure(Time::ZERO, &config(1));
    assert_eq!(dispatcher.targets(Time::from_millis(1))[0].3, 1);
    assert_eq!(dispatcher.targets(Time::from_secs(5))[0].3, 2);
}

#[test]
fn fair_queue_serves_in_proportion_to_weights() {
    let mut queue = FairQueue::default();
    for item in 0..100 {
        queue.push(&"heavy".into(), 3, ("heavy", item));
        queue.push(&"light".into(), 1, ("light", item));
    }
    let first: Vec<&str> = std::iter::from_fn(|| queue.pop())
        .take(40)
        .map(|(name, _)| name)
        .collect();
    let heavy = first.iter().filter(|name| **name == "heavy").count();
    assert!((28..=32).contains(&heavy), "{heavy}");
}

#[test]
fn fair_queue_removed_items_cost_their_workspace_nothing() {
    let mut queue = FairQueue::default();
    queue.push(&"b".into(), 1, 1_000);
    for item in 0..100 {
        queue.push(&"a".into(), 1, item);
    }
    queue.remove_if(|item| *item < 100);
    queue.push(&"a".into(), 1, 2_000);
    queue.push(&"b".into(), 1, 1_001);
    let order: Vec<i32> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order, [1_000, 2_000, 1_001]);
}

#[test]
fn fair_queue_item_put_back_goes_first_and_gives_no_advantage() {
    let mut queue = FairQueue::default();
    for item in 0..3 {
        queue.push(&"a".into(), 1, item);
        queue.push(&"b".into(), 1, item + 10);
    }
    let first = queue.pop().unwrap();
    queue.push_front(&"a".into(), first);
    queue.remove_if(|_| false);
    let order: Vec<i32> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order.len(), 6);
    let of_a = order[..4].iter().filter(|item| **item < 10).count();
    assert_eq!(of_a, 2, "{order:?}");
}
