//! The rate limit over all instances under faults drawn by seed: no window exceeds the quota.

use std::time::Duration;

use coord::{Quota, QuotaSplit};
use proof::limits::{Demand, Fault, Scenario, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const LENGTH_S: u64 = 40;
const SEED_COUNT: u64 = 250;

fn draw_scenario(seed: u64, reserved_share: f64) -> Scenario {
    let mut rng = Pcg32::seed_from_u64(seed);
    let instances = rng.random_range(2..11);
    let faults = (0..rng.random_range(0..4))
        .map(|_| draw_fault(&mut rng, instances, reserved_share))
        .collect();
    Scenario {
        split: QuotaSplit {
            reserved_share,
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
            _ => Demand::Rotating(0.6, rng.random_range(1..10)),
        },
        batches: (rng.random_range(0.0..0.5), rng.random_range(2..50)),
        length: Duration::from_secs(LENGTH_S),
        clock_drift: 0.01,
        faults,
        seed,
        ..Scenario::default()
    }
}

fn draw_fault(rng: &mut Pcg32, instances: usize, reserved_share: f64) -> Fault {
    let at = Duration::from_millis(rng.random_range(0..LENGTH_S * 1_000));
    let length = Duration::from_millis(rng.random_range(50..15_000));
    let idx = rng.random_range(0..instances);
    let is_owner = idx == instances / 2;
    match rng.random_range(0..5) {
        0 => Fault::Paused(idx, at, length),
        1 => Fault::Disconnected(idx, at, length),
        2 => Fault::MessageLoss(rng.random_range(0.0..0.3)),
        3 if !is_owner => Fault::Replaced(idx, at),
        // A leased owner is succeeded only once the platform's list proves that it has ended.
        _ if reserved_share < 1.0 => Fault::OwnerLost(at, Some(Duration::from_secs(42))),
        _ => Fault::OwnerLost(
            at,
            Some(Duration::from_millis(rng.random_range(100..5_000))),
        ),
    }
}

fn assert_no_window_exceeds_the_quota(scenario: &Scenario) {
    let outcome = run(scenario);
    assert!(
        outcome.min_remaining >= -1e-6,
        "seed {}: the worst window exceeds the quota by {} tokens: {scenario:?}",
        scenario.seed,
        -outcome.min_remaining
    );
}

#[rstest]
#[case::acting_owner(1.0)]
#[case::leased_owner(0.2)]
fn limits_hold_in_drawn_schedules(#[case] reserved_share: f64) {
    for seed in 0..SEED_COUNT {
        let scenario = draw_scenario(seed, reserved_share);
        assert_no_window_exceeds_the_quota(&scenario);
    }
}

/// Replaced instances are the main risk: their reservations that are never lent are usable at once.
#[rstest]
#[case::two_parts(2, 1_200)]
#[case::three_parts(3, 1_600)]
fn limits_hold_when_only_surplus_is_lent(#[case] reservations: u32, #[case] loan_ms: u64) {
    for seed in 0..SEED_COUNT {
        let mut scenario = draw_scenario(seed, 1.0);
        scenario.split.reservations_per_slot = reservations;
        scenario.split.lends_only_surplus = true;
        scenario.split.loan_ttl = Duration::from_millis(loan_ms);
        assert_no_window_exceeds_the_quota(&scenario);
    }
}

#[rstest]
#[case::even(Demand::Even)]
#[case::hot(Demand::Hot(0.6))]
#[case::wandering(Demand::Rotating(0.6, 20))]
fn limits_refuse_few_wrongfully_healthy(#[case] demand: Demand) {
    let outcome = run(&Scenario {
        demand,
        ..Scenario::default()
    });
    assert!(outcome.wrongly_refused_share() < 0.005, "{outcome:?}");
}

#[test]
fn limits_refuse_few_wrongfully_without_store() {
    // No message of the run depends on the store.
    let outcome = run(&Scenario {
        demand: Demand::Hot(0.6),
        length: Duration::from_secs(3_600),
        ..Scenario::default()
    });
    assert!(outcome.wrongly_refused_share() < 0.02, "{outcome:?}");
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
    assert!(outcome.wrongly_refused_share() < 0.02, "{outcome:?}");
}

#[test]
fn limits_catch_a_lender_that_does_not_wait() {
    // With a negative drift the owner uses a loan for longer than the lender waits before it spends
    // the reservation again.
    let faulty = QuotaSplit {
        reserved_share: 1.0,
        drift: -0.45,
        ..QuotaSplit::default()
    };
    let min_remaining = (0..20)
        .map(|seed| {
            run(&Scenario {
                split: faulty,
                load: 5.0,
                faults: vec![Fault::MessageLoss(0.5)],
                length: Duration::from_secs(LENGTH_S),
                seed,
                ..Scenario::default()
            })
            .min_remaining
        })
        .fold(f64::INFINITY, f64::min);
    assert!(
        min_remaining < 0.0,
        "the audit should detect the exceeded quota: {min_remaining}"
    );
}
