//! What instances report to each other about targets that have left, and for how long it is believed.

use std::collections::BTreeSet;

use base::{Position, Time};
use coord::{Departure, Departures, ReportedDepartures, RetainedEntry, lacking, retained_in_turns};
use rstest::rstest;

/// Maximum size of what one message reports, in bytes.
const MAX_BYTES: usize = 1_024;

fn at(version: u64) -> Position {
    Position::from(version)
}

fn left(target: &str, position: u64) -> Departure {
    Departure {
        target: target.into(),
        position: at(position),
    }
}

fn believed(reported: &ReportedDepartures) -> Vec<String> {
    let targets = reported.targets().map(|(target, _)| target.to_string());
    targets.collect()
}

/// Guards against a heartbeat that grows with the fleet: many targets that leave at once are reported in turns, the newest
/// first.
#[rstest]
#[case::few(10, 1)]
#[case::many(100, 8)]
#[case::very_many(500, 42)]
fn lacking_departures_are_told_in_turns(#[case] count: u64, #[case] messages: u64) {
    let mut departures = Departures::default();
    for number in 0..count {
        let name = format!("a-target-in-the-north-{number}");
        departures.record(Time::ZERO, vec![name.as_str().into()], at(10 + number));
    }
    let newest_first = departures.newest_first();
    let mut told = BTreeSet::new();
    for number in 0..messages {
        let some = lacking(&newest_first, at(9), number);
        assert_eq!(some[0], newest_first[0]);
        let bytes: usize = some.iter().map(|one| one.target.as_str().len() + 4).sum();
        assert!(bytes <= MAX_BYTES, "{bytes}");
        told.extend(some.into_iter().map(|one| one.position));
    }
    assert_eq!(told.len() as u64, count);
}

/// Nothing is reported to an instance that has the rows, and nothing for ever.
#[test]
fn known_departures_are_not_told() {
    let mut departures = Departures::default();
    departures.record(Time::ZERO, vec!["t1".into()], at(7));
    assert!(lacking(&departures.newest_first(), at(7), 0).is_empty());
    assert!(!departures.expire(Time::from_secs(5)));
    assert!(departures.expire(Time::from_secs(20)));
    assert!(departures.newest_first().is_empty());
}

/// Guards against endless memory: only the last departures are kept.
#[test]
fn memory_is_bounded() {
    let mut departures = Departures::default();
    let mut reported = ReportedDepartures::default();
    for number in 0..10_000 {
        let one = left(&format!("t{number}"), 10 + number);
        departures.record(Time::ZERO, vec![one.target.clone()], one.position);
        reported.on_report(Time::ZERO, at(1), &[one]);
    }
    assert!(departures.newest_first().len() <= 512);
    assert!(reported.targets().count() <= 512);
    assert_eq!(departures.newest_first()[0].position, at(10_009));
}

/// Guards against targets that are out for nothing: an old report, or one that is repeated, says nothing once the own
/// rows have reached it.
#[test]
fn old_report_is_not_believed() {
    let mut reported = ReportedDepartures::default();
    let one = [left("t1", 7)];
    reported.on_report(Time::from_secs(1), at(7), &one);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(1), at(6), &one);
    assert_eq!(believed(&reported), ["t1"]);
    reported.on_position(at(8), |_| false);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(2), at(8), &one);
    assert!(believed(&reported).is_empty());
}

/// Guards against targets that are out for ever: others repeat a departure that the store has lost, and the own read after
/// the first report decides, for this target alone.
#[test]
fn report_that_an_own_read_refutes_is_not_believed_again() {
    let mut reported = ReportedDepartures::default();
    let lie = [left("t1", u64::MAX)];
    reported.on_report(Time::from_secs(2), at(6), &lie);
    reported.on_read(Time::from_secs(1), at(6));
    assert_eq!(believed(&reported), ["t1"], "that read was sent before");
    reported.on_report(Time::from_secs(4), at(6), &lie);
    reported.on_read(Time::from_secs(3), at(6));
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(5), at(6), &lie);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(5), at(6), &[left("t2", 7)]);
    assert_eq!(believed(&reported), ["t2"]);
}

/// Guards against DRAIN: rows that are gone are retained after an outage of which only this instance knows, and brought
/// back what others had reported to have left.
#[test]
fn retained_row_brings_nothing_back() {
    let mut reported = ReportedDepartures::default();
    reported.on_report(Time::from_secs(1), at(6), &[left("t1", 7), left("t2", 7)]);
    reported.on_position(at(8), |target| target.as_str() == "t1");
    reported.on_read(Time::from_secs(2), at(8));
    assert_eq!(believed(&reported), ["t1"]);
    reported.on_position(at(8), |_| false);
    assert!(believed(&reported).is_empty());
}

fn retained(target: &str, position: u64, until_ms: u64) -> RetainedEntry {
    RetainedEntry {
        target: target.into(),
        position: at(position),
        until: Time::from_millis(until_ms),
    }
}

/// Guards against DRAIN: a target leaves as its entry is no longer retained elsewhere, without a word that it does; the
/// first of several such times decides.
#[test]
fn retained_entry_leaves_when_that_is_over() {
    let mut reported = ReportedDepartures::default();
    let now = Time::from_secs(1);
    let (later, earlier) = (retained("t1", 7, 3_000), retained("t1", 7, 2_800));
    for entry in [later.clone(), earlier, later] {
        reported.on_retained(now, at(6), &[entry]);
    }
    assert_eq!(reported.retention_ends_at(), Some(Time::from_millis(2_800)));
    assert!(!reported.end_retention(Time::from_millis(2_799)));
    assert!(believed(&reported).is_empty());
    assert!(reported.end_retention(Time::from_millis(2_800)));
    assert_eq!(believed(&reported), ["t1"]);
    assert_eq!(reported.retention_ends_at(), None);
}

/// Guards against DRAIN: another instance knows that the entry is gone permanently, before the first one does.
#[test]
fn departure_is_believed_at_once_although_others_retain_the_entry() {
    let mut reported = ReportedDepartures::default();
    let now = Time::from_secs(1);
    let entry = [retained("t1", 7, 3_000)];
    reported.on_retained(now, at(6), &entry);
    reported.on_report(now, at(6), &[left("t1", 7)]);
    assert_eq!(believed(&reported), ["t1"]);
    reported.on_retained(now, at(6), &entry);
    assert_eq!(believed(&reported), ["t1"]);
}

/// Guards against living targets that are out for nothing: the entry may be back by rows that are later than those that
/// said so, and who still retains it by these reports it again.
#[test]
fn retained_entry_is_forgotten_by_later_rows() {
    let mut reported = ReportedDepartures::default();
    let now = Time::from_secs(1);
    reported.on_retained(now, at(6), &[retained("t1", 7, 3_000)]);
    reported.on_later_rows(at(7));
    assert!(reported.retention_ends_at().is_some());
    reported.on_later_rows(at(8));
    assert!(!reported.end_retention(Time::from_secs(4)));
    reported.on_retained(now, at(6), &[retained("t1", 8, 3_000)]);
    assert!(reported.end_retention(Time::from_secs(4)));
    reported.on_later_rows(at(9));
    assert_eq!(believed(&reported), ["t1"], "it has left");
}

/// Guards against living targets that are out for nothing: the own rows have reached that position.
#[test]
fn retained_entry_says_nothing_to_who_has_the_rows() {
    let mut reported = ReportedDepartures::default();
    let now = Time::from_secs(1);
    let entries = [retained("t1", 7, 3_000), retained("t2", 7, 3_000)];
    let is_retained = |target: &base::TargetId| target.as_str() == "t2";
    reported.on_retained(now, at(7), &entries);
    assert_eq!(reported.retention_ends_at(), None);
    reported.on_retained(now, at(6), &entries);
    reported.on_position(at(7), is_retained);
    assert!(reported.end_retention(Time::from_secs(4)));
    assert_eq!(believed(&reported), ["t2"], "it is retained here as well");
}

/// Guards against a heartbeat that grows with the number of entries that an outage removed: they are reported in turns.
#[rstest]
#[case::few(10, 1)]
#[case::many(100, 10)]
fn retained_entries_are_told_in_turns(#[case] count: u64, #[case] messages: u64) {
    let entries: Vec<RetainedEntry> = (0..count)
        .map(|number| retained(&format!("a-target-in-the-north-{number}"), 10 + number, 1))
        .collect();
    let mut told = BTreeSet::new();
    for number in 0..messages {
        let some = retained_in_turns(&entries, number);
        assert!(some.len() <= 12, "{}", some.len());
        told.extend(some.into_iter().map(|one| one.position));
    }
    assert_eq!(told.len() as u64, count);
}
