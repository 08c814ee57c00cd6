//! What instances tell each other of targets that have left, and for how long it is believed.

use std::collections::BTreeSet;

use base::Time;
use coord::{Departure, Departures, ReportedDepartures, lacking};
use rstest::rstest;

/// Maximum size of what one message tells, in bytes.
const MAX_BYTES: usize = 1_024;

fn left(target: &str, position: u64) -> Departure {
    Departure {
        target: target.into(),
        position,
    }
}

fn believed(reported: &ReportedDepartures) -> Vec<String> {
    let targets = reported.targets().map(|(target, _)| target.to_string());
    targets.collect()
}

/// Guards against a heartbeat that grows with the fleet: many targets that leave at once are told in turns, the newest
/// first.
#[rstest]
#[case::few(10, 1)]
#[case::many(100, 8)]
#[case::very_many(500, 42)]
fn lacking_departures_are_told_in_turns(#[case] count: u64, #[case] messages: u64) {
    let mut departures = Departures::default();
    for number in 0..count {
        let name = format!("a-target-in-the-north-{number}");
        departures.record(Time::ZERO, vec![name.as_str().into()], 10 + number);
    }
    let newest_first = departures.newest_first();
    let mut told = BTreeSet::new();
    for number in 0..messages {
        let some = lacking(&newest_first, 9, number);
        assert_eq!(some[0], newest_first[0]);
        let bytes: usize = some.iter().map(|one| one.target.as_str().len() + 4).sum();
        assert!(bytes <= MAX_BYTES, "{bytes}");
        told.extend(some.into_iter().map(|one| one.position));
    }
    assert_eq!(told.len() as u64, count);
}

/// Nothing is told to who has the rows, and nothing for ever.
#[test]
fn known_departures_are_not_told() {
    let mut departures = Departures::default();
    departures.record(Time::ZERO, vec!["t1".into()], 7);
    assert!(lacking(&departures.newest_first(), 7, 0).is_empty());
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
        reported.on_report(Time::ZERO, 1, &[one]);
    }
    assert!(departures.newest_first().len() <= 512);
    assert!(reported.targets().count() <= 512);
    assert_eq!(departures.newest_first()[0].position, 10_009);
}

/// Guards against targets that are out for nothing: an old report, or one that is repeated, says nothing once the own
/// rows have reached it.
#[test]
fn old_report_is_not_believed() {
    let mut reported = ReportedDepartures::default();
    let one = [left("t1", 7)];
    reported.on_report(Time::from_secs(1), 7, &one);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(1), 6, &one);
    assert_eq!(believed(&reported), ["t1"]);
    reported.on_position(8, |_| false);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(2), 8, &one);
    assert!(believed(&reported).is_empty());
}

/// Guards against targets that are out for ever: others repeat a departure that the store has lost, and the own read after
/// the first report decides, for this target alone.
#[test]
fn report_that_an_own_read_refutes_is_not_believed_again() {
    let mut reported = ReportedDepartures::default();
    let lie = [left("t1", u64::MAX)];
    reported.on_report(Time::from_secs(2), 6, &lie);
    reported.on_read(Time::from_secs(1), 6);
    assert_eq!(believed(&reported), ["t1"], "that read was sent before");
    reported.on_report(Time::from_secs(4), 6, &lie);
    reported.on_read(Time::from_secs(3), 6);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(5), 6, &lie);
    assert!(believed(&reported).is_empty());
    reported.on_report(Time::from_secs(5), 6, &[left("t2", 7)]);
    assert_eq!(believed(&reported), ["t2"]);
}

/// Guards against DRAIN: rows that are gone are retained after an outage of which only this instance knows, and brought
/// back what others had told to have left.
#[test]
fn retained_row_brings_nothing_back() {
    let mut reported = ReportedDepartures::default();
    reported.on_report(Time::from_secs(1), 6, &[left("t1", 7), left("t2", 7)]);
    reported.on_position(8, |target| target.as_str() == "t1");
    reported.on_read(Time::from_secs(2), 8);
    assert_eq!(believed(&reported), ["t1"]);
    reported.on_position(8, |_| false);
    assert!(believed(&reported).is_empty());
}
