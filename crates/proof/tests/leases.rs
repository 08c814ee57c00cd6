//! Exhaustive search of a small model of a slot's lease, over a store that is restored from copies.

use std::{env, time::Duration};

use coord::{LeaseTiming, lease_chart};
use proof::{
    explore::{Exploration, explore, key_of},
    lease_model::{Action, Faults, Flaw, LeaseModel, World},
};
use rstest::rstest;

const TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(120),
    renew_interval: Duration::from_secs(15),
    drift: 0.02,
};
/// Settles within 4 s, before the holder's 5 s are over.
const HASTY_TIMING: LeaseTiming = LeaseTiming {
    drift: -0.4,
    ..TIMING
};
/// Settles before the leases of an earlier era have expired.
const SHORT_TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(100),
    ..TIMING
};
/// Rates of clocks that are wrong by the drift, and of a third one, in thousandths.
const SLOW: u64 = 980;
const FAST: u64 = 1_020;
const EXACT: u64 = 1_000;
/// Maximum number of states of a search in CI.
const MAX_STATES: usize = 1_000_000;
/// Share of the states from which recovery is tried: one of so many.
const RECOVERY_SHARE: u64 = 64;
/// Time within which the lease is held again: the TTL with the drift by a slow clock, and two reads.
const RECOVERY_LIMIT: Duration = Duration::from_secs(127);
/// What a search needs to end soon.
const ONE_RESTORE: Faults = Faults {
    restores: 1,
    late_writes: 0,
    late_reads: 0,
    restarts: 0,
    releases: 0,
};

fn model(clock_rates: &[u64], faults: Faults, steps_ms: &[u64]) -> LeaseModel {
    let steps = steps_ms.iter().copied().map(Duration::from_millis);
    LeaseModel {
        chart: lease_chart().unwrap(),
        clock_rates: clock_rates.to_vec(),
        timing: TIMING,
        settling_timing: TIMING,
        begun_in: Some(1),
        faults,
        steps: steps.collect(),
        late_limit: Duration::from_secs(8),
        flaw: None,
    }
}

fn search(model: &LeaseModel, max_states: usize) -> Exploration<Action> {
    let recovers = |world: &World| {
        let is_tried = key_of(world).is_multiple_of(RECOVERY_SHARE);
        !is_tried || model.recovery_time(world, RECOVERY_LIMIT).is_some()
    };
    let check = |world: &World| {
        let broken = model.broken_rule(world);
        broken.or_else(|| (!recovers(world)).then(|| "the lease stays unused".to_owned()))
    };
    let next = |world: &World| model.next(world);
    let found = explore(vec![model.start()], max_states, next, key_of, check);
    let (states, actions, depth) = (found.states, found.actions, found.depth);
    let (faults, steps) = (model.faults, &model.steps);
    println!("{states} states, {actions} actions, {depth} deep: {faults:?} {steps:?}");
    found
}

/// Guards against two holders, an epoch for two, reservations that start full twice and a lease that stays unused, in all
/// schedules of these faults at these moments.
#[rstest]
#[case::two_restores(&[SLOW, FAST], Faults { restores: 2, ..ONE_RESTORE }, &[1_000, 5_000, 8_100])]
#[case::two_restores_fast(&[FAST, SLOW], Faults { restores: 2, ..ONE_RESTORE }, &[5_000, 8_100, 119_900])]
#[case::late_write(&[SLOW, FAST], Faults { late_writes: 1, ..ONE_RESTORE }, &[5_000, 8_100, 119_900])]
#[case::late_write_fast(&[FAST, SLOW], Faults { late_writes: 1, ..ONE_RESTORE }, &[1_000, 5_000, 8_100])]
#[case::late_write_two_restores(&[SLOW, FAST], Faults { restores: 2, late_writes: 1, ..ONE_RESTORE }, &[5_000, 8_100])]
#[case::late_release(&[SLOW, FAST], Faults { releases: 1, late_writes: 1, ..ONE_RESTORE }, &[8_100])]
#[case::late_read(&[SLOW, FAST], Faults { late_reads: 1, late_writes: 1, ..ONE_RESTORE }, &[5_000, 8_100])]
#[case::restart(&[SLOW, FAST], Faults { restarts: 1, ..ONE_RESTORE }, &[5_000, 8_100, 119_900])]
#[case::restart_late_write(&[SLOW, FAST], Faults { restarts: 1, late_writes: 1, ..ONE_RESTORE }, &[5_000, 3_100])]
#[case::three(&[SLOW, FAST, EXACT], ONE_RESTORE, &[5_000, 8_100])]
fn lease_has_one_holder_in_all_schedules(
    #[case] clock_rates: &[u64],
    #[case] faults: Faults,
    #[case] steps_ms: &[u64],
) {
    let found = search(&model(clock_rates, faults, steps_ms), MAX_STATES);
    assert_eq!(found.broken, None);
    assert!(found.is_complete, "{} states", found.states);
}

/// Guards against a search that finds nothing because it looks at nothing: it finds what is done wrongly, and the two
/// exceptions that DESIGN.md names.
#[rstest]
#[case::eras_unknown(LeaseModel { flaw: Some(Flaw::ErasUnknown), ..restarting() }, "an epoch is used by two")]
#[case::silence_counts(LeaseModel { flaw: Some(Flaw::SilenceCounts), ..isolated() }, "the lease is held by two")]
#[case::settled_before_confirmed(LeaseModel { settling_timing: HASTY_TIMING, ..restored() }, "the lease is held by two")]
#[case::settled_before_expired(LeaseModel { settling_timing: SHORT_TIMING, ..isolated() }, "the lease is held by two")]
#[case::begin_unknown(LeaseModel { begun_in: None, ..restarting() }, "reservations start full twice")]
#[case::performed_very_late(LeaseModel { late_limit: Duration::MAX, ..releasing() }, "the lease is held by two")]
fn flaw_is_found(#[case] model: LeaseModel, #[case] rule: &str) {
    let broken = search(&model, MAX_STATES).broken.unwrap();
    assert!(broken.rule.starts_with(rule), "{broken:?}");
}

fn restored() -> LeaseModel {
    model(&[SLOW, FAST], ONE_RESTORE, &[4_500])
}

fn isolated() -> LeaseModel {
    model(&[SLOW, FAST], ONE_RESTORE, &[105_000])
}

fn restarting() -> LeaseModel {
    let restarts = 1;
    let faults = Faults {
        restarts,
        ..ONE_RESTORE
    };
    model(&[SLOW, FAST], faults, &[4_500])
}

fn releasing() -> LeaseModel {
    let (releases, late_writes) = (1, 1);
    let faults = Faults {
        releases,
        late_writes,
        ..ONE_RESTORE
    };
    model(&[SLOW, FAST], faults, &[8_100, 119_900])
}

/// Searches within other bounds by hand: `LEASE_FAULTS` counts restores, late writes, late reads, restarts and releases,
/// `LEASE_STEPS_MS` lists the steps, `LEASE_CLOCKS` the clocks' rates.
#[test]
fn lease_has_one_holder_within_bounds_by_hand() {
    let faults = numbers("LEASE_FAULTS", "1 0 0 0 1");
    let count = |idx: usize| u8::try_from(faults[idx]).unwrap();
    let faults = Faults {
        restores: count(0),
        late_writes: count(1),
        late_reads: count(2),
        restarts: count(3),
        releases: count(4),
    };
    let clock_rates = numbers("LEASE_CLOCKS", "980 1020");
    let steps_ms = numbers("LEASE_STEPS_MS", "1000 8100");
    let found = search(&model(&clock_rates, faults, &steps_ms), usize::MAX);
    assert_eq!(found.broken, None);
}

fn numbers(variable: &str, default: &str) -> Vec<u64> {
    let text = env::var(variable).unwrap_or_else(|_| default.to_owned());
    text.split_whitespace()
        .map(|number| number.parse().unwrap())
        .collect()
}
