//! Instances that send no heartbeats are removed from a list that instances maintain.

use base::Time;
use daemon::lister::{SILENCE_TIMEOUT, SilenceTracker};
use rstest::rstest;

/// An instance is alive at some of twelve reads, one minute apart. At the last read it is due for
/// removal only after ten minutes without heartbeats.
#[rstest]
#[case::never_heard(&[], true)]
#[case::heard_at_first(&[0], true)]
#[case::heard_late(&[0, 5], false)]
#[case::heard_now(&[11], false)]
fn silence_of_ten_minutes_is_due(#[case] alive_at: &[u64], #[case] expected: bool) {
    let mut silence = SilenceTracker::default();
    let listed = ["a".to_owned(), "b".to_owned()];
    let mut due = Vec::new();
    for minute in 0..12 {
        let is_alive = |id: &str| id == "b" || alive_at.contains(&minute);
        due = silence.expired(Time::from_secs(minute * 60), &listed, is_alive);
    }
    assert_eq!(due == ["a"], expected, "{due:?}");
}

#[test]
fn silence_begins_anew_for_a_new_entry() {
    let mut silence = SilenceTracker::default();
    let listed = ["a".to_owned()];
    silence.expired(Time::ZERO, &listed, |_| false);
    silence.expired(Time::from_secs(60), &[], |_| false);
    let later = Time::ZERO + SILENCE_TIMEOUT;
    assert!(silence.expired(later, &listed, |_| false).is_empty());
}
