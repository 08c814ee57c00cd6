//! A target that has said that it is leaving gets nothing more, until something later says otherwise.

use std::{collections::BTreeMap, time::Duration};

use base::{Config, RegionId, Registration, Service, TargetId, Time, WorkspaceId};
use dispatch::{Action, AdmittedRequest, Dispatcher, Outcome, Placement, Policy, RequestId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use standin::config::{registration, service, target};

const TARGETS: usize = 4;
const STEPS: u64 = 400;

/// What the platform and the targets say, as it is now.
#[derive(Debug, Clone, Default)]
struct Said {
    incarnation: u64,
    is_leaving: bool,
    /// Whether the platform lacks its entry, as after a restore; it returns as it was.
    is_missing: bool,
    /// Whether an answer has said that the target is leaving, and nothing later says otherwise.
    by_answer: bool,
}

fn id_of(idx: usize) -> TargetId {
    format!("t{idx}").as_str().into()
}

fn config(said: &[Said], is_evacuated: bool) -> Config {
    let mut config = standin::config::config([("d", "r")]);
    let present = said.iter().enumerate().filter(|(_, said)| !said.is_missing);
    let targets = present.map(|(idx, said)| {
        let registration = Registration {
            is_leaving: said.is_leaving,
            ..registration(4, said.incarnation)
        };
        (id_of(idx), target("d", Some(registration)))
    });
    let service = Service {
        targets: targets.collect(),
        ..service(4, 2_000)
    };
    config.services.insert("s".into(), service);
    if is_evacuated {
        config.drains.targets_in_domains.insert("d".into());
    }
    config
}

/// Guards against DRAIN: whatever put a target back into service, an evacuation that was taken back
/// and an entry that was missing for a while among it, also ended its own word that it is leaving.
#[test]
fn leaving_holds_in_drawn_schedules() {
    let mut said_in_all = 0;
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let policy = Policy {
            placement: Placement::ObjectAffinity,
            ..Policy::default()
        };
        let mut dispatcher = Dispatcher::new(RegionId::from("r"), seed, policy).unwrap();
        let mut said = vec![Said::default(); TARGETS];
        let mut is_evacuated = false;
        let mut open: BTreeMap<RequestId, (u32, usize)> = BTreeMap::new();
        for step in 0..STEPS {
            let now = Time::from_millis(step * 50);
            let idx = rng.random_range(0..TARGETS);
            match rng.random_range(0..12) {
                0 => is_evacuated = !is_evacuated,
                1 if !said[idx].is_missing => {
                    let is_leaving = !said[idx].is_leaving;
                    said[idx].is_leaving = is_leaving;
                    said[idx].by_answer &= is_leaving;
                }
                2 if !said[idx].is_missing => {
                    said[idx].incarnation += 1;
                    said[idx].by_answer = false;
                }
                3 => said[idx].is_missing = !said[idx].is_missing,
                _ => {}
            }
            let mut actions = dispatcher.configure(now, &config(&said, is_evacuated));
            actions.extend(dispatcher.tick(now));
            note(&actions, &said, &mut open, seed);
            if rng.random::<f64>() < 0.7
                && let Some((&id, &(attempt, target))) = open.first_key_value()
            {
                open.remove(&id);
                if rng.random::<f64>() < 0.1 {
                    dispatcher.record_leaving(now, id, attempt);
                    said[target].by_answer = true;
                    said_in_all += 1;
                }
                let outcome = match rng.random_range(0..4) {
                    0 => Outcome::Unreachable,
                    1 => Outcome::Refused,
                    _ => Outcome::Answered(Duration::from_millis(50)),
                };
                actions = dispatcher.finish(now, id, attempt, outcome).1;
                note(&actions, &said, &mut open, seed);
            }
            let mut request = AdmittedRequest::new(
                RequestId(step),
                WorkspaceId::from("w"),
                "s".into(),
                now + Duration::from_secs(2),
            );
            request.affinity = Some(rng.random_range(0..20));
            actions = dispatcher.submit(now, request);
            note(&actions, &said, &mut open, seed);
        }
    }
    assert!(said_in_all > 1_000, "only {said_in_all} times said");
}

/// Records assignments and checks that none is for a target that has said that it is leaving.
fn note(
    actions: &[Action],
    said: &[Said],
    open: &mut BTreeMap<RequestId, (u32, usize)>,
    seed: u64,
) {
    for action in actions {
        let Action::Assign(assignment) = action else {
            continue;
        };
        let found = (0..TARGETS).find(|idx| id_of(*idx) == assignment.target);
        let target = found.unwrap();
        assert!(
            !said[target].by_answer,
            "seed {seed}: {}",
            assignment.target
        );
        open.insert(assignment.id, (assignment.attempt, target));
    }
}
