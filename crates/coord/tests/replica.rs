//! Replicas of tables: positions never decrease, and rows deleted after an outage are retained for
//! a while.

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use coord::{Replica, ReplicaRow, RowChange, TableSnapshot};
use proptest::{collection::vec, option, prelude::*, sample::Index, test_runner::RngSeed};
use rstest::rstest;

const GRACE: Duration = Duration::from_secs(2);

fn change(name: &str, value: Option<&str>, position: u64) -> RowChange {
    RowChange {
        name: name.to_owned(),
        value: value.map(str::to_owned),
        position,
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
                    position: *row_position,
                },
            )
        })
        .collect();
    TableSnapshot { rows, position }
}

fn names(replica: &Replica) -> Vec<&str> {
    replica.rows().map(|(name, _)| name).collect()
}

#[test]
fn replica_ignores_older_changes() {
    let mut replica = Replica::new(GRACE);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("new"), 9)], 9);
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", Some("old"), 5)], 6));
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", None, 8)], 8));
    assert_eq!(replica.position(), 9);
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
    replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 1)], 1);
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 2)], 2));
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
    replica.apply_changes(Time::from_secs(12), vec![restored], 4);
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
    replica.apply_changes(Time::from_millis(12_500), vec![change("a", None, 3)], 3);
    assert_eq!(names(&replica), ["b", "a"]);
    assert_eq!(replica.expires_at(), Some(Time::from_millis(13_000)));
    assert!(replica.apply_changes(Time::from_millis(13_001), vec![change("b", None, 4)], 4));
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
    assert!(replica.apply_changes(Time::from_millis(15_030), vec![change("a", None, 3)], 3));
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
    assert!(replica.apply_changes(later, vec![change("a", None, 3)], 3));
    assert!(names(&replica).is_empty());
}

/// Guards against DRAIN: an instance that stood still for seconds believed in an outage that only it knew, and kept
/// rows that were gone.
#[test]
fn own_standstill_is_no_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    replica.on_own_read_failure(Time::from_millis(12_100));
    assert!(!replica.has_outage());
    replica.on_contact(Time::from_millis(12_200));
    replica.apply_changes(Time::from_millis(12_200), vec![change("a", None, 3)], 3);
    assert!(names(&replica).is_empty());
}

/// Guards against living targets that are lost: only the standstill itself is left out of the silence.
#[test]
fn silence_beyond_a_standstill_is_an_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    replica.on_own_read_failure(Time::from_millis(13_300));
    assert!(!replica.has_outage());
    replica.on_own_read_failure(Time::from_millis(13_301));
    assert!(replica.has_outage());
}

/// Guards against living targets that are lost: an outage that others saw is one, whatever this instance missed of it.
#[test]
fn failing_reads_of_others_during_a_standstill_are_an_outage() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 1)], 2));
    replica.on_contact(Time::from_millis(9_000));
    replica.on_wake(Time::from_millis(9_200), Time::from_millis(12_000));
    replica.on_own_read_failure(Time::from_millis(12_000));
    replica.on_contact(Time::from_millis(9_300));
    replica.on_read_failure(Time::from_millis(12_000));
    assert!(replica.has_outage());
    replica.on_contact(Time::from_millis(12_100));
    replica.apply_changes(Time::from_millis(12_200), vec![change("a", None, 3)], 3);
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
    replica.apply_changes(Time::from_millis(12_000), vec![change("a", None, 3)], 3);
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
/// heard, and failures are too few to believe in it anew.
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
    replica.apply_changes(Time::from_millis(10_700), vec![change("a", None, 3)], 3);
    replica.on_contact(Time::from_millis(10_500));
    replica.apply_changes(Time::from_millis(10_700), vec![change("b", None, 4)], 4);
    assert_eq!(names(&replica), ["a", "b"]);
    assert!(!replica.expire(Time::from_millis(10_999)));
    assert!(replica.expire(Time::from_millis(11_000)));
    assert!(names(&replica).is_empty());
}

/// Guards against rows of operators that stay in force after they are taken back, since an outage was believed in.
#[test]
fn replica_without_a_grace_period_retains_nothing() {
    let mut replica = Replica::new(Duration::ZERO);
    let [read, failed, found] = [0, 2, 3].map(|secs| Time::ZERO + Duration::from_secs(secs));
    let rows = vec![change("a", Some("1"), 1), change("b", Some("1"), 2)];
    replica.apply_changes(read, rows, 2);
    replica.on_read_failure(failed);
    assert!(replica.has_outage());
    replica.apply_changes(failed, vec![change("a", None, 3)], 3);
    assert!(!replica.is_retained("a"));
    replica.on_contact(found);
    replica.apply_changes(found, vec![change("b", None, 4)], 4);
    assert_eq!(replica.retained().count(), 0);
    assert!(replica.rows().next().is_none());
}

/// A read that comes late, after a later one has brought a row's deletion, brought the row back.
#[test]
fn replica_late_read_brings_no_deleted_row_back() {
    let mut replica = Replica::new(Duration::ZERO);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("1"), 1)], 4);
    replica.replace(Time::ZERO, snapshot(&[], 9));
    assert!(!replica.apply_changes(Time::ZERO, vec![change("a", Some("2"), 5)], 6));
    assert!(names(&replica).is_empty());
    assert_eq!(replica.position(), 9);
}

/// Guards against CONFIG: writes to other tables passed for news of this one.
#[test]
fn replica_changed_at_rises_with_changes_alone() {
    let mut replica = Replica::new(GRACE);
    replica.replace(Time::ZERO, snapshot(&[("a", "1", 3)], 7));
    replica.apply_changes(Time::ZERO, Vec::new(), 50);
    assert_eq!((replica.changed_at(), replica.position()), (7, 50));
    replica.apply_changes(Time::ZERO, vec![change("a", None, 55)], 60);
    assert_eq!((replica.changed_at(), replica.position()), (55, 60));
    replica.apply_changes(Time::ZERO, vec![change("a", None, 55)], 58);
    assert_eq!((replica.changed_at(), replica.position()), (55, 60));
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
                let position = idx as u64 + 1;
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
        position,
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
                replica.replace(Time::ZERO, TableSnapshot { rows, position: to as u64 });
            } else {
                // A poll continues from a position that the replica had when it was sent.
                let after = from.index(latest + 1).min(to);
                let changes = changes_between(&history, after, to);
                replica.apply_changes(Time::ZERO, changes, to as u64);
            }
            latest = latest.max(to);
            prop_assert_eq!(&replica.snapshot().rows, &state_at(&history, latest));
            // Each position of this history is a change.
            prop_assert_eq!(replica.changed_at(), latest as u64);
        }
    }
}

/// Guards against copies of a table that cost as much as its rows are long.
#[test]
fn snapshot_copies_share_the_content_of_rows() {
    let mut replica = Replica::new(Duration::ZERO);
    replica.apply_changes(Time::ZERO, vec![change("a", Some("long"), 1)], 1);
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
