//! Leases have at most one holder under delays, lost answers, pauses, restarts and clock drift.

use std::{collections::BTreeMap, time::Duration};

use base::{Incarnation, InstanceId, Position, Time};
use coord::{Lease, LeaseRow, LeaseState, LeaseTiming, WriteOutcome, lease_chart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(10),
    renew_interval: Duration::from_secs(2),
    drift: 0.02,
};

fn lease(me: &str, incarnation: u64) -> Lease {
    Lease::new(
        lease_chart().unwrap(),
        me.into(),
        Incarnation(incarnation),
        TIMING,
    )
}

fn row(owner: &str, incarnation: u64) -> LeaseRow {
    LeaseRow {
        owner: owner.into(),
        incarnation: Incarnation(incarnation),
        epoch: 3,
        renewal: 0,
        ttl_ms: 10_000,
        is_released: false,
        era: 0,
        since_era: 0,
    }
}

#[test]
fn lease_chart_reaches_all_states() {
    let chart = lease_chart().unwrap();
    let reachable: Vec<LeaseState> = chart.reachable().into_iter().copied().collect();
    assert_eq!(
        reachable,
        [
            LeaseState::Unread,
            LeaseState::Free,
            LeaseState::Other,
            LeaseState::Unconfirmed,
            LeaseState::Writing,
            LeaseState::Held
        ]
    );
}

#[rstest]
#[case::other_alive(row("b", 1), false, 0, None)]
#[case::other_ended(row("b", 1), true, 0, Some(4))]
#[case::other_expired(row("b", 1), false, 10_300, Some(4))]
#[case::other_not_yet_expired(row("b", 1), false, 10_100, None)]
#[case::own_earlier_incarnation(row("a", 1), false, 0, Some(4))]
#[case::released(LeaseRow { is_released: true, ..row("b", 1) }, false, 0, Some(4))]
fn lease_takes_over(
    #[case] row: LeaseRow,
    #[case] is_owner_gone: bool,
    #[case] later_ms: u64,
    #[case] epoch: Option<u64>,
) {
    let mut lease = lease("a", 2);
    lease.on_read(Time::from_secs(1), Some((Position::from(5), row)));
    let now = Time::from_secs(1) + Duration::from_millis(later_ms);
    let write = lease.next_write(now, true, is_owner_gone);
    assert_eq!(write.map(|write| write.row.epoch), epoch);
}

#[test]
fn lease_ttl_counts_from_before_the_write() {
    let mut lease = lease("a", 1);
    lease.on_read(Time::ZERO, None);
    lease.next_write(Time::from_secs(1), true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(6), WriteOutcome::Applied(Position::from(1)));
    assert_eq!(
        lease.held_until(),
        Time::from_secs(1) + Duration::from_millis(9_800)
    );
}

#[test]
fn lease_lost_answer_is_resolved_by_reading() {
    let mut lease = lease("a", 1);
    lease.on_read(Time::ZERO, None);
    let write = lease.next_write(Time::from_secs(1), true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(3), WriteOutcome::Unanswered);
    assert!(!lease.is_held(Time::from_secs(3)));
    lease.on_read(Time::from_secs(4), Some((Position::from(1), write.row)));
    assert!(lease.is_held(Time::from_secs(4)));
    assert_eq!(
        lease.held_until(),
        Time::from_secs(1) + Duration::from_millis(9_800)
    );
}

#[test]
fn lease_conflict_ends_the_lease() {
    let mut lease = lease("a", 1);
    lease.on_read(Time::ZERO, None);
    lease.next_write(Time::ZERO, true, false).unwrap();
    lease.on_write_outcome(Time::ZERO, WriteOutcome::Applied(Position::from(1)));
    lease.next_write(Time::from_secs(3), true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(3), WriteOutcome::Conflict);
    assert!(!lease.is_held(Time::from_secs(3)));
}

/// An instance that competes for the lease, with its own clock.
struct Contender {
    lease: Lease,
    clock_rate: f64,
    paused_until: Time,
}

impl Contender {
    fn local_time(&self, now: Time) -> Time {
        Time::from_micros((now.as_micros() as f64 * self.clock_rate) as u64)
    }
}

/// Runs contenders that read, write, lose answers, pause and restart, and returns the number of
/// steps at which more than one held the lease.
fn count_overlaps(seed: u64) -> u64 {
    let mut rng = Pcg32::seed_from_u64(seed);
    let names: Vec<InstanceId> = ["a", "b", "c"].map(Into::into).to_vec();
    let mut contenders: BTreeMap<&InstanceId, Contender> = names
        .iter()
        .map(|name| {
            let contender = Contender {
                lease: lease(name.as_str(), 1),
                clock_rate: 1.0 + (rng.random::<f64>() - 0.5) * 0.02,
                paused_until: Time::ZERO,
            };
            (name, contender)
        })
        .collect();
    let mut table: Option<(Position, LeaseRow)> = None;
    let mut overlaps = 0;
    for step in 0..4_000u64 {
        let now = Time::from_millis(step * 50);
        let name = &names[rng.random_range(0..names.len())];
        let contender = contenders.get_mut(name).unwrap();
        if now >= contender.paused_until {
            step_contender(contender, now, &mut table, &mut rng);
        }
        if rng.random::<f64>() < 0.005 {
            contender.paused_until = now + Duration::from_millis(rng.random_range(0..30_000));
        }
        if rng.random::<f64>() < 0.002 {
            contender.lease = lease(name.as_str(), step + 2);
        }
        let holders = contenders
            .values()
            .filter(|contender| contender.lease.is_held(contender.local_time(now)))
            .count();
        overlaps += u64::from(holders > 1);
    }
    overlaps
}

fn step_contender(
    contender: &mut Contender,
    now: Time,
    table: &mut Option<(Position, LeaseRow)>,
    rng: &mut Pcg32,
) {
    let local = contender.local_time(now);
    if rng.random::<f64>() < 0.7 {
        contender.lease.on_read(local, table.clone());
    }
    let Some(write) = contender.lease.next_write(local, true, false) else {
        return;
    };
    let version = table.as_ref().map(|(version, _)| *version);
    let is_expected = version == write.expected_version;
    let next = Position::from(version.map_or(0, |version| version.version) + 1);
    if is_expected {
        *table = Some((next, write.row));
    }
    let answered_at = local + Duration::from_millis(rng.random_range(0..2_000));
    let outcome = match (rng.random::<f64>() < 0.2, is_expected) {
        (true, _) => WriteOutcome::Unanswered,
        (false, true) => WriteOutcome::Applied(next),
        (false, false) => WriteOutcome::Conflict,
    };
    contender.lease.on_write_outcome(answered_at, outcome);
}

#[test]
fn lease_has_one_holder_in_random_schedules() {
    for seed in 0..300 {
        assert_eq!(count_overlaps(seed), 0, "seed {seed}");
    }
}
