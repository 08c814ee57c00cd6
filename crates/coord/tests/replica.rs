//! Replicas of tables: positions never decrease, and rows deleted after an outage are retained for
//! a while.

use std::{collections::BTreeMap, time::Duration};

use base::{Position, Time};
use coord::{Replica, ReplicaRow, RowChange, RowsReport, TableSnapshot};
use proptest::{collection::vec, option, prelude::*, sample::Index, test_runner::RngSeed};
use rstest::rstest;

const GRACE: Duration = Duration::from_secs(2);

fn at(version: u64) -> Position {
    Position::from(version)
}

fn change(name: &str, value: Option<&str>, position: u64) -> RowChange {
    RowChange {
        name: name.to_owned(),
        value: value.map(str::to_owned),
        position: at(position),
    }
}

fn snapshot(rows: &[(&str, &str, u64)], position: u64) -> TableSnapshot {
    let rows = rows
        .iter()
        .map(|(name, value, row_position)| {
            let value = (*value).into();
            (
                (*name).to_owned(),
                ReplicaRow {
                    value,
                    position: at(*row_position),
                },
            )
        })
        .collect();
    let position = at(position);
    TableSnapshot { rows, position }
}

fn names(replica: &Replica) -> Vec<&str> {
    replica.rows().map(|(name, _)| name).collect()
}

#[test]
fn replica_ignores_older_changes() {
    let mut replica = Replica::new(GRACE);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("new"), 9)], at(9));
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", Some("old"), 5)], at(6)));
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", None, 8)], at(8)));
    assert_eq!(replica.position(), at(9));
    assert_eq!(&*replica.rows().next().unwrap().1.value, "new");
}

#[test]
fn replica_ignores_older_snapshots() {
    let mut replica = Replica::new(GRACE);
    assert!(replica.replace(Time::ZERO, snapshot(&[("a", "1", 3)], 7)));
    assert!(!replica.replace(Time::ZERO, snapshot(&[], 6)));
    assert_eq!(names(&replica), ["a"]);
}

#[test]
fn replica_snapshot_removes_missing_rows() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 3), ("b", "1", 4)], 7));
    assert!(replica.replace(Time::ZERO, snapshot(&[("b", "1", 4)], 8)));
    assert_eq!(names(&replica), ["b"]);
}

#[test]
fn replica_same_content_is_no_change() {
    let mut replica = Replica::new(GRACE);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 1)], at(1));
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 2)], at(2)));
}

#[test]
fn replica_retains_deleted_rows_after_an_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1), ("b", "1", 2)], 2));
    replica.on_read_failure(Time::from_secs(10));
    replica.on_contact(Time::from_secs(11));
    replica.replace(Time::from_secs(11), snapshot(&[], 3));
    assert_eq!(names(&replica), ["a", "b"]);
    let restored = change("a", Some("1"), 4);
    replica.apply_changes(Time::from_secs(12), vec![restored], at(4));
    assert!(replica.expire(Time::from_secs(13)));
    assert_eq!(names(&replica), ["a"]);
}

/// Rows that are deleted after the outage are retained only until the same time: two seconds after
/// the table's return, not two seconds after the deletion.
#[test]
fn replica_retains_rows_until_a_time_after_the_outage_not_after_the_deletion() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1), ("b", "1", 2)], 2));
    replica.on_read_failure(Time::from_millis(10_000));
    replica.on_contact(Time::from_millis(11_000));
    replica.apply_changes(Time::from_millis(12_500), vec![change("a", None, 3)], at(3));
    assert_eq!(names(&replica), ["b", "a"]);
    assert_eq!(replica.expires_at(), Some(Time::from_millis(13_000)));
    assert!(replica.apply_changes(Time::from_millis(13_001), vec![change("b", None, 4)], at(4)));
    assert!(replica.expire(Time::from_millis(13_001)));
    assert!(names(&replica).is_empty());
}

/// A target that leaves 3.5 s after the store has turned this instance away, while it served
/// others, is gone at once.
#[test]
fn replica_drops_rows_at_once_after_failures_of_this_instance_alone() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    for tenths in 25..115 {
        let now = Time::from_millis(tenths * 100);
        replica.on_contact(Time::from_millis(tenths * 100 - 400));
        replica.on_read_failure(now);
    }
    assert!(replica.apply_changes(Time::from_millis(15_030), vec![change("a", None, 3)], at(3)));
    assert!(names(&replica).is_empty());
}

#[test]
fn replica_retains_rows_found_deleted_while_the_outage_lasts() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_read_failure(Time::from_secs(10));
    replica.replace(Time::from_secs(12), snapshot(&[], 3));
    assert_eq!(names(&replica), ["a"]);
}

#[test]
fn replica_drops_rows_at_once_without_an_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_read_failure(Time::from_secs(1));
    replica.on_contact(Time::from_secs(2));
    let later = Time::from_secs(60);
    assert!(replica.apply_changes(later, vec![change("a", None, 3)], at(3)));
    assert!(names(&replica).is_empty());
}

/// Lets a read of this instance fail as soon as it is sent.
fn fail_own_read(replica: &mut Replica, now: Time) {
    replica.on_own_read_failure(now, now);
}

/// Guards against DRAIN: an instance that stood still for seconds believed in an outage that only it knew, and kept
/// rows that were gone.
#[test]
fn own_standstill_is_no_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    fail_own_read(&mut replica, Time::from_millis(12_100));
    assert!(!replica.has_outage());
    replica.on_contact(Time::from_millis(12_200));
    replica.apply_changes(Time::from_millis(12_200), vec![change("a", None, 3)], at(3));
    assert!(names(&replica).is_empty());
}

/// Guards against living targets that are lost: only the standstill itself is left out of the silence.
#[test]
fn silence_beyond_a_standstill_is_an_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    fail_own_read(&mut replica, Time::from_millis(13_300));
    assert!(!replica.has_outage());
    fail_own_read(&mut replica, Time::from_millis(13_301));
    assert!(replica.has_outage());
}

/// Guards against living targets that are lost: an outage that others saw is one, whatever this instance missed of it.
#[test]
fn failing_reads_of_others_during_a_standstill_are_an_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    fail_own_read(&mut replica, Time::from_millis(12_000));
    replica.on_contact(Time::from_millis(9_300));
    replica.on_read_failure(Time::from_millis(12_000));
    assert!(replica.has_outage());
    replica.on_contact(Time::from_millis(12_100));
    replica.apply_changes(Time::from_millis(12_200), vec![change("a", None, 3)], at(3));
    assert_eq!(names(&replica), ["a"]);
    assert_eq!(replica.expires_at(), Some(Time::from_millis(14_100)));
}

/// Guards against DRAIN: of the reports that had waited during a standstill, one of failing reads came before those of
/// the others' reads, which didn't end the outage since they were older than the belief in it.
#[rstest]
#[case::while_it_is_believed_in(None)]
#[case::after_an_own_answer(Some(12_200))]
fn read_that_is_heard_of_late_shows_that_there_was_no_outage(#[case] own_answer_ms: Option<u64>) {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    replica.on_read_failure(Time::from_millis(12_000));
    replica.apply_changes(Time::from_millis(12_000), vec![change("a", None, 3)], at(3));
    assert_eq!(names(&replica), ["a"]);
    if let Some(ms) = own_answer_ms {
        replica.on_contact(Time::from_millis(ms));
    }
    replica.on_contact(Time::from_millis(10_499));
    assert!(!replica.expire(Time::from_millis(12_300)));
    replica.on_contact(Time::from_millis(10_500));
    assert!(!replica.has_outage());
    assert!(replica.expire(Time::from_millis(12_300)));
    assert!(names(&replica).is_empty());
}

/// Guards against living targets that are lost: an instance that ran all the time believes in an outage by what it has
/// received, and failures are too few to believe in it again.
#[test]
fn outage_without_a_standstill_is_not_taken_back() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_read_failure(Time::from_millis(10_600));
    replica.on_contact(Time::from_millis(9_500));
    assert!(replica.has_outage());
}

/// Guards against living targets that are lost: an outage that wasn't one says nothing of the one before it.
#[test]
fn outage_before_one_that_was_none_still_counts() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1), ("b", "1", 2)], 2));
    replica.on_read_failure(Time::from_millis(8_000));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_100), Time::from_millis(10_600));
    replica.on_read_failure(Time::from_millis(10_600));
    replica.apply_changes(Time::from_millis(10_700), vec![change("a", None, 3)], at(3));
    replica.on_contact(Time::from_millis(10_500));
    replica.apply_changes(Time::from_millis(10_700), vec![change("b", None, 4)], at(4));
    assert_eq!(names(&replica), ["a", "b"]);
    assert!(!replica.expire(Time::from_millis(10_999)));
    assert!(replica.expire(Time::from_millis(11_000)));
    assert!(names(&replica).is_empty());
}

/// Guards against DRAIN: what others had read since the store's return was received late, and didn't count where it was from
/// before this instance's own first read, or before a failure was noticed.
#[rstest]
#[case::before_the_own_read(&[13_000, 12_200], 14_200)]
#[case::before_the_failure_was_noticed(&[11_700], 13_700)]
#[case::before_the_outage(&[13_000, 10_900], 15_000)]
fn earliest_read_that_is_known_ends_an_outage(#[case] reads_ms: &[u64], #[case] until_ms: u64) {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_own_read_failure(Time::from_millis(11_000), Time::from_millis(12_000));
    replica.apply_changes(Time::from_millis(13_000), vec![change("a", None, 3)], at(3));
    for ms in reads_ms {
        replica.on_contact(Time::from_millis(*ms));
    }
    assert_eq!(replica.expires_at(), Some(Time::from_millis(until_ms)));
}

/// Guards against rows of operators that stay in force after they are taken back, since an outage was believed in.
#[test]
fn replica_without_a_grace_period_retains_nothing() {
    let mut replica = Replica::new(Duration::ZERO);
    let [read, failed, found] = [0, 2, 3].map(|secs| Time::ZERO + Duration::from_secs(secs));
    let rows = vec![change("a", Some("1"), 1), change("b", Some("1"), 2)];
    replica.apply_changes(read, rows, at(2));
    replica.on_read_failure(failed);
    assert!(replica.has_outage());
    replica.apply_changes(failed, vec![change("a", None, 3)], at(3));
    assert!(!replica.is_retained("a"));
    replica.on_contact(found);
    replica.apply_changes(found, vec![change("b", None, 4)], at(4));
    assert_eq!(replica.retained().count(), 0);
    assert!(replica.rows().next().is_none());
}

/// A read that comes late, after a later one has brought a row's deletion, brought the row back.
#[test]
fn replica_late_read_brings_no_deleted_row_back() {
    let mut replica = Replica::new(Duration::ZERO);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 1)], at(4));
    replica.replace(Time::ZERO, snapshot(&[], 9));
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", Some("2"), 5)], at(6)));
    assert!(names(&replica).is_empty());
    assert_eq!(replica.position(), at(9));
}

/// Guards against CONFIG: writes to other tables passed for updates of this one.
#[test]
fn replica_changed_at_rises_with_changes_alone() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 3)], 7));
    replica.apply_changes(Time::ZERO, Vec::new(), at(50));
    assert_eq!((replica.changed_at(), replica.position()), (at(7), at(50)));
    replica.apply_changes(Time::ZERO, vec![change("a", None, 55)], at(60));
    assert_eq!((replica.changed_at(), replica.position()), (at(55), at(60)));
    replica.apply_changes(Time::ZERO, vec![change("a", None, 55)], at(58));
    assert_eq!((replica.changed_at(), replica.position()), (at(55), at(60)));
}

/// One write to a row of a table's history; `None` deletes it.
type HistoryEntry = (u8, Option<u8>);

fn state_at(history: &[HistoryEntry], position: usize) -> BTreeMap<String, ReplicaRow> {
    let mut rows = BTreeMap::new();
    for (idx, (row, value)) in history[..position].iter().enumerate() {
        let name = row.to_string();
        match value {
            Some(value) => {
                let value = value.to_string().into();
                let position = at(idx as u64 + 1);
                rows.insert(name, ReplicaRow { value, position });
            }
            None => {
                rows.remove(&name);
            }
        }
    }
    rows
}

/// Returns the last change of each row after a position, as the platform's feed does.
fn changes_between(history: &[HistoryEntry], after: usize, to: usize) -> Vec<RowChange> {
    let mut last = BTreeMap::new();
    for (idx, (row, value)) in history[..to].iter().enumerate().skip(after) {
        let value = value.map(|value| value.to_string());
        last.insert(row.to_string(), (idx as u64 + 1, value));
    }
    let changes = last.into_iter().map(|(name, (position, value))| RowChange {
        name,
        value,
        position: at(position),
    });
    changes.collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    /// Reads of a table that overlap and come in any order, its own and those of other instances' copies,
    /// leave the replica with the table's content at the latest position that any of them had.
    #[test]
    fn replica_reads_in_any_order_give_the_latest_content(
        history in vec((0..4_u8, option::of(0..3_u8)), 1..20),
        reads in vec((any::<Index>(), any::<Index>(), any::<bool>()), 1..12),
    ) {
        let mut replica = Replica::new(Duration::ZERO);
        let mut latest = 0;
        for (from, to, is_snapshot) in reads {
            let to = to.index(history.len() + 1);
            if is_snapshot || !replica.is_initialized() {
                let rows = state_at(&history, to);
                replica.replace(Time::ZERO, TableSnapshot { rows, position: at(to as u64) });
            } else {
                // A poll continues from a position that the replica had when it was sent.
                let after = from.index(latest + 1).min(to);
                let changes = changes_between(&history, after, to);
                replica.apply_changes(Time::ZERO, changes, at(to as u64));
            }
            latest = latest.max(to);
            prop_assert_eq!(&replica.snapshot().rows, &state_at(&history, latest));
            // Each position of this history is a change.
            prop_assert_eq!(replica.changed_at(), at(latest as u64));
        }
    }
}

/// Names of the rows of a drawn history; a page holds one half of them.
const NAMES: [&str; 4] = ["0", "1", "2", "3"];

/// What happens next to a table and its replicas.
#[derive(Debug, Clone)]
enum Step {
    /// Writes a row or deletes it.
    Write(HistoryEntry),
    /// Reads the whole table in two pages, with this number of writes before the second one.
    Pages(Index, usize),
    /// Does so as an instance reads the platform, also at its own position.
    Restore(Index, usize),
    /// Reads what has changed since the replica's position.
    Feed(Index),
    /// Fetches the table of another replica.
    Fetch(Index, Index),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4_u8, option::of(0..3_u8)).prop_map(Step::Write),
        2 => (any::<Index>(), 0..4_usize).prop_map(|(one, writes)| Step::Pages(one, writes)),
        2 => (any::<Index>(), 0..4_usize).prop_map(|(one, writes)| Step::Restore(one, writes)),
        2 => any::<Index>().prop_map(Step::Feed),
        3 => (any::<Index>(), any::<Index>()).prop_map(|(one, from)| Step::Fetch(one, from)),
    ];
    vec(step, 1..40)
}

/// Returns a whole read whose position is that of its first page, and whose second page is as later as `writes` say.
fn read_pages(history: &[HistoryEntry], writes: usize) -> TableSnapshot {
    let first = history.len().saturating_sub(writes);
    let mut rows = state_at(history, first);
    rows.retain(|name, _| *name.as_str() < *NAMES[2]);
    let second = state_at(history, history.len());
    let second = second
        .into_iter()
        .filter(|(name, _)| *name.as_str() >= *NAMES[2]);
    rows.extend(second);
    TableSnapshot {
        rows,
        position: at(first as u64),
    }
}

/// Returns whether a replica shows each row as it is at the replica's position, or as it became later.
fn is_sound(replica: &Replica, history: &[HistoryEntry]) -> bool {
    let rows = &replica.snapshot().rows;
    let mut states = Vec::new();
    for position in replica.position().version as usize..=history.len() {
        states.push(state_at(history, position));
    }
    let is_right = |name: &str| states.iter().any(|state| state.get(name) == rows.get(name));
    NAMES.iter().all(|name| is_right(name))
}

/// Returns whether a replica that reports its rows has those of each position that it reports.
fn is_exact(replica: &Replica, history: &[HistoryEntry]) -> bool {
    replica.rows_report().is_none_or(|report| {
        let mut positions = report.changed_at.version..=report.position().version;
        positions.all(|position| state_at(history, position as usize) == replica.snapshot().rows)
    })
}

/// Returns whether each row that a replica no longer shows has changed since.
fn has_lost_none(before: &Replica, after: &Replica, history: &[HistoryEntry]) -> bool {
    let kept = &after.snapshot().rows;
    before.snapshot().rows.iter().all(|(name, row)| {
        let is_later = kept
            .get(name)
            .is_some_and(|one| one.position >= row.position);
        let mut later = history.iter().skip(row.position.version as usize);
        is_later || later.any(|(changed, _)| changed.to_string() == *name)
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(12),
        ..ProptestConfig::default()
    })]

    /// Guards against rows that vanish though nobody has deleted them: one from a later page of a whole read is later than
    /// the read's position, and was missing in another instance's table of a position between.
    #[test]
    fn replica_shows_no_older_row_than_its_position_or_itself_before(steps in steps()) {
        let mut history: Vec<HistoryEntry> = Vec::new();
        let mut replicas = [const { Duration::ZERO }; 3].map(Replica::new);
        for step in steps {
            let before = replicas.clone();
            match step {
                Step::Write(entry) => history.push(entry),
                Step::Pages(one, writes) => {
                    let read = read_pages(&history, writes);
                    one.get_mut(&mut replicas).replace(Time::ZERO, read);
                }
                Step::Restore(one, writes) => {
                    let read = read_pages(&history, writes);
                    one.get_mut(&mut replicas).restore(Time::ZERO, read);
                }
                Step::Feed(one) => {
                    let replica = one.get_mut(&mut replicas);
                    if replica.is_initialized() {
                        let after = replica.position().version as usize;
                        let changes = changes_between(&history, after, history.len());
                        replica.apply_changes(Time::ZERO, changes, at(history.len() as u64));
                        replica.settle();
                    }
                }
                Step::Fetch(one, from) => {
                    let from = from.get(&replicas);
                    let found = from.is_initialized().then(|| from.snapshot().clone());
                    if let Some(found) = found {
                        one.get_mut(&mut replicas).replace(Time::ZERO, found);
                    }
                }
            }
            let reports: Vec<RowsReport> = replicas.iter().filter_map(Replica::rows_report).collect();
            for (idx, one) in reports.iter().enumerate() {
                prop_assert!(!reports[..idx].iter().any(|other| other.contradicts(one)));
            }
            for (before, replica) in before.iter().zip(&replicas) {
                prop_assert!(is_exact(replica, &history), "{:?}", replica);
                prop_assert!(!replica.is_initialized() || is_sound(replica, &history), "{:?}", replica);
                prop_assert!(has_lost_none(before, replica, &history), "{:?}, {:?}", before, replica);
            }
        }
    }
}

/// Guards against a row that vanishes because an instance fetches a table from before it.
#[test]
fn replica_snapshot_keeps_rows_that_are_later_than_itself() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 3), ("b", "1", 12)], 7));
    replica.replace(Time::ZERO, snapshot(&[], 10));
    assert_eq!(names(&replica), ["b"]);
    assert_eq!((replica.changed_at(), replica.position()), (at(10), at(10)));
    assert_eq!(replica.last_change(), at(12));
    replica.replace(Time::ZERO, snapshot(&[], 13));
    assert!(names(&replica).is_empty());
}

/// Guards against copies of a table that cost as much as its rows are long.
#[test]
fn snapshot_copies_share_the_content_of_rows() {
    let mut replica = Replica::new(Duration::ZERO);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("long"), 1)], at(1));
    let [first, second] = [replica.snapshot().clone(), replica.snapshot().clone()];
    assert_eq!(
        first.rows["a"].value.as_ptr(),
        second.rows["a"].value.as_ptr()
    );
    let mut other = Replica::new(Duration::ZERO);
    other.replace(Time::ZERO, first.clone());
    let copied = &other.snapshot().rows["a"].value;
    assert_eq!(copied.as_ptr(), first.rows["a"].value.as_ptr());
}

/// Guards against rows that stay wrong at a right position, whatever made them so.
#[rstest]
#[case::row_is_missing(&[("a", "1", 3)], 9)]
#[case::row_was_deleted(&[("a", "1", 3), ("b", "1", 4), ("c", "1", 5)], 9)]
#[case::content_differs(&[("a", "1", 3), ("b", "2", 4)], 9)]
#[case::row_is_of_another_history(&[("a", "1", 3), ("b", "2", 6)], 9)]
#[case::at_an_earlier_position(&[("a", "1", 3)], 7)]
fn replica_is_restored_by_a_whole_read(#[case] rows: &[(&str, &str, u64)], #[case] position: u64) {
    let read = snapshot(&[("a", "1", 3), ("b", "1", 4)], 9);
    let mut right = Replica::new(GRACE);
    right.restore(Time::ZERO, read.clone());
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(rows, position));
    assert!(replica.restore(Time::ZERO, read.clone()));
    assert_eq!(*replica.snapshot(), read);
    for one in [&mut right, &mut replica] {
        one.apply_changes(Time::ZERO, Vec::new(), at(12));
        one.settle();
    }
    let [right, report] = [&right, &replica].map(|one| one.rows_report().unwrap());
    assert!(report.overlaps(&right) && !report.contradicts(&right));
    assert!(!replica.restore(Time::ZERO, snapshot(&[], 11)));
}

/// Guards against instances that keep the wrong rows that they fetched: these are at the position of the right ones.
#[test]
fn replica_that_was_corrected_reports_a_later_change() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[], 9));
    replica.restore(Time::ZERO, snapshot(&[("a", "1", 3)], 9));
    assert_eq!(replica.changed_at(), at(9));
    replica.apply_changes(Time::ZERO, Vec::new(), at(10));
    assert_eq!(replica.changed_at(), at(10));
    replica.apply_changes(Time::ZERO, Vec::new(), at(11));
    replica.restore(Time::ZERO, snapshot(&[("a", "1", 3)], 11));
    assert_eq!((replica.changed_at(), replica.position()), (at(10), at(11)));
}

/// Guards against false alarms: the rows of a whole read may be later than its position.
#[test]
fn replica_reports_no_rows_that_may_be_later_than_its_position() {
    let mut replica = Replica::new(GRACE);
    assert_eq!(replica.rows_report(), None);
    replica.restore(Time::ZERO, snapshot(&[("a", "1", 8)], 7));
    assert_eq!(replica.rows_report(), None);
    replica.settle();
    assert_eq!(replica.rows_report(), None);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 8)], at(20));
    let report = replica.rows_report().unwrap();
    assert_eq!((report.changed_at, report.position()), (at(8), at(20)));
}
