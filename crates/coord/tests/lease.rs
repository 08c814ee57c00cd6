//! Leases: one holder at a time, whatever is delayed, lost, paused or fast.

use std::{collections::BTreeMap, time::Duration};

use base::{Incarnation, InstanceId, Time};
use coord::{Lease, LeaseRow, LeaseState, LeaseTiming, WriteOutcome, lease_chart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const TERMS: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(10),
    renew_interval: Duration::from_secs(2),
    drift: 0.02,
};

fn lease(me: &str, life: u64) -> Lease {
    Lease::new(lease_chart().unwrap(), me.into(), Incarnation(life), TERMS)
}

fn row(owner: &str, life: u64) -> LeaseRow {
    LeaseRow {
        owner: owner.into(),
        incarnation: Incarnation(life),
        epoch: 3,
        renewal: 0,
        ttl_ms: 10_000,
        is_released: false,
    }
}

#[test]
fn lease_chart_is_whole() {
    let chart = lease_chart().unwrap();
    let reachable: Vec<LeaseState> = chart.reachable().into_iter().copied().collect();
    assert_eq!(
        reachable,
        [
            LeaseState::Unread,
            LeaseState::Free,
            LeaseState::Other,
            LeaseState::Writing,
            LeaseState::Held
        ]
    );
}

#[rstest]
#[case::others_live(row("b", 1), false, 0, None)]
#[case::others_gone(row("b", 1), true, 0, Some(4))]
#[case::others_lapsed(row("b", 1), false, 10_300, Some(4))]
#[case::others_not_quite_lapsed(row("b", 1), false, 10_100, None)]
#[case::own_earlier_life(row("a", 1), false, 0, Some(4))]
#[case::released(LeaseRow { is_released: true, ..row("b", 1) }, false, 0, Some(4))]
fn lease_takes_over(
    #[case] row: LeaseRow,
    #[case] is_gone: bool,
    #[case] later_ms: u64,
    #[case] epoch: Option<u64>,
) {
    let mut lease = lease("a", 2);
    lease.on_read(Time::from_secs(1), Some((5, row)));
    let now = Time::from_secs(1) + Duration::from_millis(later_ms);
    let write = lease.next_write(now, true, is_gone);
    assert_eq!(write.map(|write| write.row.epoch), epoch);
}

#[test]
fn lease_right_counts_from_before_the_write() {
    let mut lease = lease("a", 1);
    lease.on_read(Time::ZERO, None);
    lease.next_write(Time::from_secs(1), true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(6), WriteOutcome::Applied(1));
    assert_eq!(
        lease.held_until(),
        Time::from_secs(1) + Duration::from_millis(9_800)
    );
}

#[test]
fn lease_lost_answer_is_settled_by_reading() {
    let mut lease = lease("a", 1);
    lease.on_read(Time::ZERO, None);
    let write = lease.next_write(Time::from_secs(1), true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(3), WriteOutcome::Unanswered);
    assert!(!lease.is_held(Time::from_secs(3)));
    lease.on_read(Time::from_secs(4), Some((1, write.row)));
    assert!(lease.is_held(Time::from_secs(4)));
    assert_eq!(
        lease.held_until(),
        Time::from_secs(1) + Duration::from_millis(9_800)
    );
}

#[test]
fn lease_conflict_ends_the_right() {
    let mut lease = lease("a", 1);
    lease.on_read(Time::ZERO, None);
    lease.next_write(Time::ZERO, true, false).unwrap();
    lease.on_write_outcome(Time::ZERO, WriteOutcome::Applied(1));
    lease.next_write(Time::from_secs(3), true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(3), WriteOutcome::Conflict);
    assert!(!lease.is_held(Time::from_secs(3)));
}

/// One contender with a clock of its own.
struct Contender {
    lease: Lease,
    rate: f64,
    paused_until: Time,
}

impl Contender {
    fn local(&self, now: Time) -> Time {
        Time::from_micros((now.as_micros() as f64 * self.rate) as u64)
    }
}

/// Lets contenders read, write, lose answers, pause and restart, and returns how often two held the
/// lease at the same moment.
fn overlaps(seed: u64) -> u64 {
    let mut rng = Pcg32::seed_from_u64(seed);
    let names: Vec<InstanceId> = ["a", "b", "c"].map(Into::into).to_vec();
    let mut contenders: BTreeMap<&InstanceId, Contender> = names
        .iter()
        .map(|name| {
            let contender = Contender {
                lease: lease(name.as_str(), 1),
                rate: 1.0 + (rng.random::<f64>() - 0.5) * 0.02,
                paused_until: Time::ZERO,
            };
            (name, contender)
        })
        .collect();
    let mut table: Option<(u64, LeaseRow)> = None;
    let mut overlaps = 0;
    for step in 0..4_000u64 {
        let now = Time::from_millis(step * 50);
        let name = &names[rng.random_range(0..names.len())];
        let contender = contenders.get_mut(name).unwrap();
        if now >= contender.paused_until {
            act(contender, now, &mut table, &mut rng);
        }
        if rng.random::<f64>() < 0.005 {
            contender.paused_until = now + Duration::from_millis(rng.random_range(0..30_000));
        }
        if rng.random::<f64>() < 0.002 {
            contender.lease = lease(name.as_str(), step + 2);
        }
        let holders = contenders
            .values()
            .filter(|contender| contender.lease.is_held(contender.local(now)))
            .count();
        overlaps += u64::from(holders > 1);
    }
    overlaps
}

fn act(contender: &mut Contender, now: Time, table: &mut Option<(u64, LeaseRow)>, rng: &mut Pcg32) {
    let local = contender.local(now);
    if rng.random::<f64>() < 0.7 {
        contender.lease.on_read(local, table.clone());
    }
    let Some(write) = contender.lease.next_write(local, true, false) else {
        return;
    };
    let version = table.as_ref().map(|(version, _)| *version);
    let is_met = version == write.expected_version;
    if is_met {
        *table = Some((version.unwrap_or(0) + 1, write.row));
    }
    let answered = local + Duration::from_millis(rng.random_range(0..2_000));
    let result = match (rng.random::<f64>() < 0.2, is_met) {
        (true, _) => WriteOutcome::Unanswered,
        (false, true) => WriteOutcome::Applied(version.unwrap_or(0) + 1),
        (false, false) => WriteOutcome::Conflict,
    };
    contender.lease.on_write_outcome(answered, result);
}

#[test]
fn lease_is_held_once_in_drawn_schedules() {
    for seed in 0..300 {
        assert_eq!(overlaps(seed), 0, "seed {seed}");
    }
}
