//! A target's leaving as an event of its own does what a whole configuration without it does.

use std::time::Duration;

use base::{Config, RegionId, Registration, Service, TargetId, Time, WorkspaceId};
use dispatch::{
    Action, AdmittedRequest, Dispatcher, Outcome, Placement, Policy, RequestId, RequestKind,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use standin::config::{registration, service, target};

const SERVICES: usize = 2;
const TARGETS: usize = 5;
const STEPS: u64 = 300;

/// What the rows say of a target, and whether others have reported that it has left.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    is_gone: bool,
    is_leaving: bool,
    is_told: bool,
    incarnation: u64,
}

fn id_of(idx: usize) -> TargetId {
    format!("t{idx}").as_str().into()
}

fn rows(known: &[Known]) -> Config {
    let mut config = standin::config::config([("d", "r"), ("e", "s")]);
    for nth in 0..SERVICES {
        let own = known.iter().enumerate();
        let own = own.filter(|(idx, one)| idx % SERVICES == nth && !one.is_gone);
        let targets = own.map(|(idx, one)| {
            let registration = Registration {
                is_leaving: one.is_leaving,
                cold_ms: 200,
                ..registration(2, one.incarnation)
            };
            let domain = if idx % 3 == 0 { "e" } else { "d" };
            (id_of(idx), target(domain, Some(registration)))
        });
        let service = Service {
            targets: targets.collect(),
            ..service(2, 2_000)
        };
        config
            .services
            .insert(format!("s{nth}").as_str().into(), service);
    }
    config
}

/// Returns the rows without the targets that others have reported to have left.
fn without_told(known: &[Known]) -> Config {
    let mut config = rows(known);
    let told = known.iter().enumerate().filter(|(_, one)| one.is_told);
    config
        .drains
        .targets
        .extend(told.map(|(idx, _)| id_of(idx)));
    config
}

/// Guards against a departure that does other things as an event than in a configuration: recalls, placement, what
/// holds once the target is back.
#[test]
fn departure_does_what_a_configuration_does() {
    let (mut events, mut recalls) = (0, 0);
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let policy = Policy {
            placement: Placement::ObjectAffinity,
            ..Policy::default()
        };
        let new = || Dispatcher::new(RegionId::from("r"), seed, policy.clone()).unwrap();
        let (mut by_configs, mut by_events) = (new(), new());
        let mut known = [Known::default(); SERVICES * TARGETS];
        let mut open: Vec<(RequestId, u32)> = Vec::new();
        for step in 0..STEPS {
            let now = Time::from_millis(step * 20);
            let before = rows(&known);
            let idx = rng.random_range(0..known.len());
            let one = &mut known[idx];
            let was_told = one.is_told;
            match rng.random_range(0..8) {
                0 | 1 => one.is_told = !one.is_gone && !one.is_leaving,
                2 => (one.is_leaving, one.is_told) = (true, false),
                3 => (one.is_gone, one.is_told) = (true, false),
                4 => {
                    *one = Known {
                        incarnation: one.incarnation,
                        ..Known::default()
                    }
                }
                5 if one.is_gone => {
                    let incarnation = one.incarnation + 1;
                    *one = Known {
                        incarnation,
                        ..Known::default()
                    };
                }
                _ => {}
            }
            let is_told = one.is_told;
            let after = rows(&known);
            let whole = without_told(&known);
            let mut expected = by_configs.configure(now, &whole);
            let left = after.departures_since(&before).filter(|_| step > 0);
            let mut actions = match left {
                Some(left) if left.is_empty() && is_told => {
                    events += 1;
                    by_events.take_out(now, &[id_of(idx)])
                }
                Some(left) if !left.is_empty() => {
                    events += 1;
                    by_events.apply_departures(now, &after, &left)
                }
                Some(_) if !was_told => Vec::new(),
                _ => by_events.configure(now, &whole),
            };
            recalls += count_recalls(&actions);
            // A configuration places what waits even if it says nothing new, as the next tick does.
            expected.extend(by_configs.tick(now));
            actions.extend(by_events.tick(now));
            let mut steps = vec![(expected, actions)];
            if rng.random::<f64>() < 0.8 && !open.is_empty() {
                let (id, attempt) = open.swap_remove(rng.random_range(0..open.len()));
                if rng.random::<f64>() < 0.1 {
                    by_configs.record_leaving(now, id, attempt);
                    by_events.record_leaving(now, id, attempt);
                }
                let outcome = match rng.random_range(0..4) {
                    0 => Outcome::Unreachable,
                    1 => Outcome::Refused,
                    _ => Outcome::Answered(Duration::from_millis(50)),
                };
                let finished = by_configs.finish(now, id, attempt, outcome).1;
                steps.push((finished, by_events.finish(now, id, attempt, outcome).1));
            }
            let service = format!("s{}", rng.random_range(0..SERVICES));
            let mut request = AdmittedRequest::new(
                RequestId(step),
                WorkspaceId::from("w"),
                service.as_str().into(),
                now + Duration::from_secs(2),
            );
            request.affinity = Some(rng.random_range(0..20));
            request.kind = RequestKind::Idempotent;
            let submitted = by_configs.submit(now, request.clone());
            steps.push((submitted, by_events.submit(now, request)));
            // What the answer has left without a target is refused before the next configuration.
            steps.push((by_configs.tick(now), by_events.tick(now)));
            for (expected, actions) in steps {
                assert_eq!(
                    format!("{expected:?}"),
                    format!("{actions:?}"),
                    "seed {seed}, step {step}, {:?}",
                    known[idx]
                );
                open.extend(expected.iter().filter_map(assigned));
            }
        }
    }
    assert!(
        events > 1_000 && recalls > 100,
        "{events} events, {recalls} recalls"
    );
}

fn assigned(action: &Action) -> Option<(RequestId, u32)> {
    match action {
        Action::Assign(assignment) => Some((assignment.id, assignment.attempt)),
        _ => None,
    }
}

fn count_recalls(actions: &[Action]) -> usize {
    let recalls = actions.iter();
    let recalls = recalls.filter(|action| matches!(action, Action::Recall(_)));
    recalls.count()
}
