//! Leases have at most one holder, and each epoch one owner, while the table is restored from older copies.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Incarnation, InstanceId, Position, Time};
use coord::{
    CONFIRM_TIME, EraSettling, Lease, LeaseRow, LeaseState, LeaseTiming, LeaseWrite, WriteOutcome,
    lease_chart,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const TIMING: LeaseTiming = LeaseTiming {
    ttl: Duration::from_secs(30),
    renew_interval: Duration::from_secs(4),
    drift: 0.02,
};
/// First epochs of the eras 1 and 2.
const EARLIER_EPOCH: u64 = 1 << 32;
const FIRST_EPOCH: u64 = 2 << 32;

fn lease(me: &str, incarnation: u64) -> Lease {
    let chart = lease_chart().unwrap();
    Lease::new(chart, me.into(), Incarnation(incarnation), TIMING)
}

fn row(owner: &str, epoch: u64, era: u32) -> LeaseRow {
    LeaseRow {
        owner: owner.into(),
        incarnation: Incarnation(1),
        epoch,
        renewal: 0,
        ttl_ms: 30_000,
        is_released: false,
        era,
        since_era: 1,
    }
}

/// Returns a lease that "a" has acquired at time 0 in era 1, and that era 2 has begun at 2 s.
fn held_into_era_two() -> Lease {
    let mut lease = lease("a", 1);
    lease.on_era(Time::ZERO, 1);
    let released = LeaseRow {
        is_released: true,
        ..row("b", 3, 1)
    };
    lease.on_read(Time::ZERO, Some((7.into(), released)));
    lease.next_write(Time::ZERO, true, false).unwrap();
    lease.on_write_outcome(Time::ZERO, WriteOutcome::Applied(8.into()));
    lease.on_era(Time::from_secs(2), 2);
    lease
}

/// Guards against a holder whose row was lost and that goes on for its long horizon while another takes the free lease.
#[rstest]
#[case::row_lost(None, LeaseState::Unconfirmed, Some(EARLIER_EPOCH))]
#[case::earlier_holder(Some(row("b", 3, 1)), LeaseState::Unconfirmed, Some(EARLIER_EPOCH))]
#[case::own_row(
    Some(row("a", EARLIER_EPOCH, 1)),
    LeaseState::Unconfirmed,
    Some(EARLIER_EPOCH)
)]
#[case::taken_in_new_era(Some(row("c", FIRST_EPOCH, 2)), LeaseState::Other, None)]
#[case::taken_later(Some(row("c", EARLIER_EPOCH + 1, 1)), LeaseState::Other, None)]
fn holder_confirms_in_new_era(
    #[case] copy: Option<LeaseRow>,
    #[case] state: LeaseState,
    #[case] epoch: Option<u64>,
) {
    let mut lease = held_into_era_two();
    let learned = Time::from_secs(2);
    assert_eq!(lease.held_until(), learned + CONFIRM_TIME);
    lease.on_read(learned, copy.map(|row| (7.into(), row)));
    assert_eq!(lease.state(), state);
    let write = lease.next_write(learned, true, false);
    assert_eq!(write.as_ref().map(|write| write.row.epoch), epoch);
    assert_eq!(write.map(|write| write.row.era), epoch.map(|_| 2));
    lease.on_write_outcome(learned, WriteOutcome::Applied(8.into()));
    let confirmed = epoch.map(|_| learned + Duration::from_millis(29_400));
    assert_eq!(lease.held_until(), confirmed.unwrap_or(Time::ZERO));
}

/// Guards against an answer of the era before that counts in the new one, in which its version means another row.
#[test]
fn holder_forgets_unanswered_write_of_earlier_era() {
    let mut lease = lease("a", 1);
    lease.on_era(Time::ZERO, 1);
    lease.on_read(Time::ZERO, None);
    lease.set_settled(true, 1);
    let write = lease.next_write(Time::ZERO, true, false).unwrap();
    lease.on_write_outcome(Time::from_secs(1), WriteOutcome::Unanswered);
    lease.on_era(Time::from_secs(2), 2);
    lease.on_read(Time::from_secs(2), Some((1.into(), write.row)));
    assert!(!lease.is_held(Time::from_secs(2)));
    assert_eq!(lease.state(), LeaseState::Other);
}

/// Guards against claims of two instances for one lease after two eras a second apart, or a pause.
#[rstest]
#[case::within_confirm_time(1, LeaseState::Unconfirmed)]
#[case::after_confirm_time(6, LeaseState::Free)]
#[case::after_expiry(40, LeaseState::Free)]
fn holder_keeps_claim_over_two_eras(#[case] later_s: u64, #[case] state: LeaseState) {
    let mut lease = held_into_era_two();
    let before = lease.held_until();
    let now = Time::from_secs(2 + later_s);
    lease.on_era(now, 3);
    assert_eq!(lease.held_until(), before);
    lease.on_read(now, None);
    assert_eq!(lease.state(), state);
}

/// Guards against an instance that starts in the middle of a drill, or one that sees a free copy, and takes a lease that
/// another holds by a lost row.
#[rstest]
#[case::others_know(true, 1, 8, None)]
#[case::others_knew_long_enough(true, 1, 9, Some(FIRST_EPOCH))]
#[case::one_is_silent(false, 1, 30, None)]
#[case::earlier_leases_expired(false, 1, 31, Some(FIRST_EPOCH))]
#[case::first_era(false, 2, 0, Some(FIRST_EPOCH))]
fn lease_is_taken_in_new_era(
    #[case] all_know: bool,
    #[case] since_era: u32,
    #[case] later_s: u64,
    #[case] epoch: Option<u64>,
) {
    let mut settling = EraSettling::new(TIMING);
    settling.on_era(Time::ZERO, 2);
    settling.on_others(Time::ZERO, all_know);
    settling.on_rows([since_era], true);
    let now = Time::from_secs(later_s);
    let mut lease = lease("a", 1);
    lease.on_era(Time::ZERO, 2);
    lease.on_read(Time::ZERO, None);
    lease.set_settled(settling.is_settled(now), settling.since_era());
    let write = lease.next_write(now, true, false);
    assert_eq!(write.map(|write| write.row.epoch), epoch);
}

/// Guards against a late write of an earlier era that meets a version given out again and frees a lease that is held.
#[test]
fn lease_is_not_freed_by_late_write_of_earlier_era() {
    let (mut holder, mut other) = (lease("a", 1), lease("b", 1));
    let (start, later) = (Time::ZERO, Time::from_secs(10));
    for lease in [&mut holder, &mut other] {
        lease.on_era(start, 2);
        lease.set_settled(true, 1);
        lease.on_read(start, None);
    }
    let write = holder.next_write(start, true, false).unwrap();
    holder.on_write_outcome(start, WriteOutcome::Applied(8.into()));
    other.on_read(start, Some((8.into(), write.row)));
    let late = LeaseRow {
        is_released: true,
        ..row("c", 3, 1)
    };
    other.on_read(later, Some((9.into(), late.clone())));
    assert_eq!(other.next_write(later, true, false), None);
    holder.on_read(later, Some((9.into(), late)));
    assert!(holder.is_held(later));
    let again = holder.next_write(later, true, false).unwrap();
    assert_eq!(
        (again.row.epoch, again.expected_version),
        (FIRST_EPOCH, Some(9.into()))
    );
}

/// Guards against an own write of an earlier era that is performed late, in the place of the row by which another holds
/// the lease: it isn't taken for the row of a lease that is over.
#[rstest]
#[case::open(None)]
#[case::given_up(Some(row("a", EARLIER_EPOCH, 1)))]
fn lease_is_not_taken_by_own_late_write(#[case] seen: Option<LeaseRow>) {
    let mut lease = lease("b", 1);
    lease.on_era(Time::ZERO, 1);
    lease.on_read(Time::ZERO, None);
    lease.set_settled(true, 1);
    let late = lease.next_write(Time::ZERO, true, false).unwrap();
    lease.on_write_outcome(Time::ZERO, WriteOutcome::Unanswered);
    if let Some(row) = seen {
        lease.on_read(Time::ZERO, Some((1.into(), row)));
    }
    lease.on_era(Time::ZERO, 2);
    lease.set_settled(true, 1);
    lease.on_read(Time::ZERO, Some((1.into(), late.row)));
    let (before, after) = (Time::from_secs(30), Time::from_secs(31));
    assert_eq!(lease.next_write(before, true, false), None);
    assert!(lease.next_write(after, true, false).is_some());
}

/// Guards against reservations that start full again, in addition to their loans, as an expired lease is renewed in its first epoch.
#[test]
fn lease_is_held_first_only_once() {
    let mut lease = lease("a", 1);
    let mut is_first = Vec::new();
    let mut row = None;
    for (at_s, version) in [(0, 1), (31, 2)] {
        let now = Time::from_secs(at_s);
        lease.on_read(now, row);
        let write = lease.next_write(now, true, false).unwrap();
        lease.on_write_outcome(now, WriteOutcome::Applied(version.into()));
        assert!(lease.is_held(now));
        is_first.push(lease.is_first_ownership());
        row = Some((version.into(), write.row));
    }
    assert_eq!(is_first, [true, false]);
}

/// A row, if there is one, with its version.
type Standing = Option<(Position, LeaseRow)>;

/// The table, which goes back to copies of itself and performs unanswered writes later.
#[derive(Default)]
struct Table {
    era: u32,
    version: Position,
    row: Standing,
    copies: VecDeque<(Time, Position, Standing)>,
    in_flight: Vec<(Time, LeaseWrite)>,
}

impl Table {
    fn perform(&mut self, write: &LeaseWrite) -> Option<Position> {
        let standing = self.row.as_ref().map(|(version, _)| *version);
        if standing != write.expected_version {
            return None;
        }
        self.version.version += 1;
        self.row = Some((self.version, write.row.clone()));
        Some(self.version)
    }

    fn advance(&mut self, now: Time) {
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, write) in due {
            self.perform(&write);
        }
        self.copies.push_back((now, self.version, self.row.clone()));
        self.copies
            .retain(|(at, ..)| now - *at <= Duration::from_secs(5));
    }

    fn restore(&mut self, rng: &mut Pcg32) {
        let drawn = rng.random_range(0..self.copies.len());
        self.copies.truncate(drawn + 1);
        let (_, version, row) = self.copies[drawn].clone();
        (self.version, self.row) = (version, row);
        self.era += 1;
    }
}

/// An instance with its own clock, which may stand still, or be cut off from the table or from the others.
struct Contender {
    lease: Lease,
    settling: EraSettling,
    clock_rate: f64,
    paused_until: Time,
    without_table_until: Time,
    without_others_until: Time,
}

impl Contender {
    fn new(name: &InstanceId, incarnation: u64, clock_rate: f64) -> Self {
        Self {
            lease: lease(name.as_str(), incarnation),
            settling: EraSettling::new(TIMING),
            clock_rate,
            paused_until: Time::ZERO,
            without_table_until: Time::ZERO,
            without_others_until: Time::ZERO,
        }
    }

    fn local_time(&self, now: Time) -> Time {
        Time::from_micros((now.as_micros() as f64 * self.clock_rate) as u64)
    }

    fn is_reachable(&self, now: Time) -> bool {
        now >= self.paused_until && now >= self.without_others_until
    }

    fn learn(&mut self, local: Time, era: u32) {
        self.lease.on_era(local, era);
        self.settling.on_era(local, era);
    }

    /// Reads the table and writes the lease, which may be answered later or not at all.
    fn call(&mut self, local: Time, now: Time, table: &mut Table, rng: &mut Pcg32) {
        self.learn(local, table.era);
        if rng.random::<f64>() < 0.7 {
            self.settling
                .on_rows(table.row.as_ref().map(|(_, row)| row.since_era), true);
            let (is_settled, since) = (self.settling.is_settled(local), self.settling.since_era());
            self.lease.set_settled(is_settled, since);
            self.lease.on_read(local, table.row.clone());
        }
        let Some(write) = self.lease.next_write(local, true, false) else {
            return;
        };
        if rng.random::<f64>() < 0.3 {
            let performed_at = now + Duration::from_millis(rng.random_range(0..6_000));
            table.in_flight.push((performed_at, write));
            self.lease.on_write_outcome(local, WriteOutcome::Unanswered);
            return;
        }
        let outcome = table.perform(&write).map(WriteOutcome::Applied);
        self.lease
            .on_write_outcome(local, outcome.unwrap_or(WriteOutcome::Conflict));
    }
}

/// Counts the steps in which more than one instance held the lease, the ownerships that shared an epoch, and the steps in
/// which one held it.
#[derive(Debug, Default)]
struct Counts {
    overlaps: u64,
    shared_epochs: u64,
    held: u64,
}

fn play(seed: u64) -> Counts {
    let mut rng = Pcg32::seed_from_u64(seed);
    let names: Vec<InstanceId> = ["a", "b", "c"].map(Into::into).to_vec();
    let mut contenders: Vec<Contender> = names
        .iter()
        .map(|name| Contender::new(name, 1, 1.0 + (rng.random::<f64>() - 0.5) * 0.04))
        .collect();
    let mut table = Table {
        era: 1,
        ..Table::default()
    };
    let mut owners: BTreeMap<u64, (usize, u64)> = BTreeMap::new();
    let mut incarnations = vec![1; names.len()];
    let mut counts = Counts::default();
    for step in 0..6_000u64 {
        let now = Time::from_millis(step * 50);
        table.advance(now);
        let is_settled_down = step > 400;
        if is_settled_down && rng.random::<f64>() < 0.002 {
            table.restore(&mut rng);
            if rng.random::<bool>() {
                table.advance(now);
                table.restore(&mut rng);
            }
        }
        let idx = rng.random_range(0..names.len());
        let length = Duration::from_millis(rng.random_range(0..45_000));
        match rng.random_range(0..600) {
            0 => contenders[idx].paused_until = now + length,
            1 => contenders[idx].without_table_until = now + length,
            2 => {
                contenders[idx].without_table_until = now + length;
                contenders[idx].without_others_until = now + length;
            }
            3 if is_settled_down => {
                incarnations[idx] = step + 2;
                let rate = contenders[idx].clock_rate;
                contenders[idx] = Contender::new(&names[idx], step + 2, rate);
            }
            _ => {}
        }
        step_contender(&mut contenders, idx, now, &mut table, &mut rng);
        let holders: Vec<usize> = (0..names.len())
            .filter(|idx| {
                let contender = &contenders[*idx];
                contender.lease.is_held(contender.local_time(now))
            })
            .collect();
        counts.overlaps += u64::from(holders.len() > 1);
        counts.held += u64::from(holders.len() == 1);
        for idx in holders {
            let owner = (idx, incarnations[idx]);
            let first = *owners
                .entry(contenders[idx].lease.held_epoch())
                .or_insert(owner);
            counts.shared_epochs += u64::from(first != owner);
        }
    }
    counts
}

fn step_contender(
    contenders: &mut [Contender],
    idx: usize,
    now: Time,
    table: &mut Table,
    rng: &mut Pcg32,
) {
    if now < contenders[idx].paused_until {
        return;
    }
    let others = contenders
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != idx);
    let (mut known, mut all_know) = (contenders[idx].lease.era(), true);
    let has_contact = contenders[idx].is_reachable(now);
    for (_, other) in others {
        let is_heard = has_contact && other.is_reachable(now);
        all_know &= is_heard && other.lease.era() >= known;
        known = known.max(if is_heard { other.lease.era() } else { 0 });
    }
    let contender = &mut contenders[idx];
    let local = contender.local_time(now);
    contender.learn(local, known);
    contender.settling.on_others(local, all_know);
    if now >= contender.without_table_until {
        contender.call(local, now, table, rng);
    }
}

/// Guards against two holders, and against an epoch for two ownerships, whatever a table loses and performs late, while
/// instances stand still, start, or are cut off from it or from the others.
#[test]
fn lease_has_one_holder_over_eras() {
    let mut held = 0;
    for seed in 0..300 {
        let counts = play(seed);
        assert_eq!(
            (counts.overlaps, counts.shared_epochs),
            (0, 0),
            "seed {seed}"
        );
        held += counts.held;
    }
    assert!(held > 300 * 2_000, "{held}");
}
