//! The fleet-wide limit under faults drawn by seed: no window passes the quota.

use std::time::Duration;

use coord::{Quota, QuotaSplit};
use proof::limits::{Demand, Fault, Scenario, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const LENGTH_S: u64 = 40;
const SEEDS: u64 = 250;

fn drawn(seed: u64, floor_share: f64) -> Scenario {
    let mut rng = Pcg32::seed_from_u64(seed);
    let instances = rng.random_range(2..11);
    let faults = (0..rng.random_range(0..4))
        .map(|_| drawn_fault(&mut rng, instances, floor_share))
        .collect();
    Scenario {
        split: QuotaSplit {
            reserved_share: floor_share,
            slots: 10,
            ..QuotaSplit::default()
        },
        instances,
        quota: Quota {
            rate: rng.random_range(5.0..300.0),
            burst: rng.random_range(1.0..200.0),
        },
        load: rng.random_range(0.3..6.0),
        demand: match rng.random_range(0..3) {
            0 => Demand::Even,
            1 => Demand::Hot(0.6),
            _ => Demand::Wandering(0.6, rng.random_range(1..10)),
        },
        batches: (rng.random_range(0.0..0.5), rng.random_range(2..50)),
        length: Duration::from_secs(LENGTH_S),
        drift: 0.01,
        faults,
        seed,
        ..Scenario::default()
    }
}

fn drawn_fault(rng: &mut Pcg32, instances: usize, floor_share: f64) -> Fault {
    let at = Duration::from_millis(rng.random_range(0..LENGTH_S * 1_000));
    let length = Duration::from_millis(rng.random_range(50..15_000));
    let idx = rng.random_range(0..instances);
    let is_owner = idx == instances / 2;
    match rng.random_range(0..5) {
        0 => Fault::Paused(idx, at, length),
        1 => Fault::Cut(idx, at, length),
        2 => Fault::Loss(rng.random_range(0.0..0.3)),
        3 if !is_owner => Fault::Replaced(idx, at),
        // An owner's own part passes on only once the list proves that its holder has ended.
        _ if floor_share < 1.0 => Fault::OwnerLost(at, Some(Duration::from_secs(42))),
        _ => Fault::OwnerLost(
            at,
            Some(Duration::from_millis(rng.random_range(100..5_000))),
        ),
    }
}

#[rstest]
#[case::acting_owner(1.0)]
#[case::leased_owner(0.2)]
fn limits_hold_in_drawn_schedules(#[case] floor_share: f64) {
    for seed in 0..SEEDS {
        let scenario = drawn(seed, floor_share);
        let outcome = run(&scenario);
        assert!(
            outcome.least_left >= -1e-6,
            "seed {seed}: {} units over in the worst window: {scenario:?}",
            -outcome.least_left
        );
    }
}

/// Replaced instances matter most here: the floors that are never lent begin at once.
#[rstest]
#[case::two_parts(2, 1_200)]
#[case::three_parts(3, 1_600)]
fn limits_hold_with_thrifty_floors(#[case] parts: u32, #[case] loan_ms: u64) {
    for seed in 0..SEEDS {
        let mut scenario = drawn(seed, 1.0);
        scenario.split.reservations_per_slot = parts;
        scenario.split.lends_only_surplus = true;
        scenario.split.loan_ttl = Duration::from_millis(loan_ms);
        let outcome = run(&scenario);
        assert!(
            outcome.least_left >= -1e-6,
            "seed {seed}: {} units over in the worst window: {scenario:?}",
            -outcome.least_left
        );
    }
}

#[rstest]
#[case::even(Demand::Even)]
#[case::hot(Demand::Hot(0.6))]
#[case::wandering(Demand::Wandering(0.6, 20))]
fn limits_refuse_few_wrongfully_healthy(#[case] demand: Demand) {
    let outcome = run(&Scenario {
        demand,
        ..Scenario::default()
    });
    assert!(outcome.wrongful_share() < 0.005, "{outcome:?}");
}

#[test]
fn limits_refuse_few_wrongfully_without_store() {
    // The store takes no part in any message of the run.
    let outcome = run(&Scenario {
        demand: Demand::Hot(0.6),
        length: Duration::from_secs(3_600),
        ..Scenario::default()
    });
    assert!(outcome.wrongful_share() < 0.02, "{outcome:?}");
}

#[test]
fn limits_survive_owner_lost_without_store() {
    let outcome = run(&Scenario {
        demand: Demand::Hot(0.6),
        length: Duration::from_secs(3_600),
        faults: vec![Fault::OwnerLost(
            Duration::from_secs(10),
            Some(Duration::from_millis(2_500)),
        )],
        ..Scenario::default()
    });
    assert!(outcome.wrongful_share() < 0.02, "{outcome:?}");
}

#[test]
fn limits_catch_a_lender_that_does_not_wait() {
    // A loan that the owner counts longer than its lender leaves the floor alone.
    let faulty = QuotaSplit {
        reserved_share: 1.0,
        drift: -0.45,
        ..QuotaSplit::default()
    };
    let worst = (0..20)
        .map(|seed| {
            run(&Scenario {
                split: faulty,
                load: 5.0,
                faults: vec![Fault::Loss(0.5)],
                length: Duration::from_secs(LENGTH_S),
                seed,
                ..Scenario::default()
            })
            .least_left
        })
        .fold(f64::INFINITY, f64::min);
    assert!(worst < 0.0, "the check finds no fault: {worst}");
}
