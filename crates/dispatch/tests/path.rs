//! A lost path to the targets is distinguished from lost targets.

use std::time::Duration;

use base::{TargetId, Time};
use dispatch::{Dial, PathMonitor, PathState, path_chart};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

fn monitor() -> PathMonitor {
    PathMonitor::new(path_chart().unwrap())
}

fn target(idx: usize) -> TargetId {
    format!("t{idx}").into()
}

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

/// What opening connections to two targets shows: only what another instance reaches, and this one
/// does not, speaks against the path.
#[rstest]
#[case::only_others_reach_them(Dial::direct(false).relayed(true), PathState::Relayed)]
#[case::nobody_reaches_them(Dial::direct(false).relayed(false), PathState::Direct)]
#[case::no_other_instance_answers(Dial::direct(false), PathState::Direct)]
#[case::both_reach_them(Dial::direct(true).relayed(true), PathState::Direct)]
fn path_by_connections(#[case] dial: Dial, #[case] state: PathState) {
    let mut path = monitor();
    path.record_dial(at(0), &target(0), dial);
    assert_eq!(path.state(), PathState::Direct);
    path.record_dial(at(10), &target(1), dial);
    assert_eq!(path.state(), state);
}

/// One target that only others reach is reached through them for a while; it does not make the path
/// count as lost.
#[test]
fn path_to_single_target() {
    let mut path = monitor();
    for step in 0..50 {
        let now = at(step * 100);
        path.record_dial(now, &target(0), Dial::direct(false).relayed(true));
        assert!(path.prefers_relay(now, &target(0)) && !path.prefers_relay(now, &target(1)));
    }
    assert_eq!(path.state(), PathState::Direct);
    assert!(!path.prefers_relay(at(8_000), &target(0)));
}

/// Two targets that fail long after one another don't make the path count as lost, and neither do
/// they if a third one is reached directly in between.
#[rstest]
#[case::long_after(2_500, false)]
#[case::with_success_between(500, true)]
fn path_needs_failures_together(#[case] gap_ms: u64, #[case] has_success: bool) {
    let mut path = monitor();
    path.record_dial(at(0), &target(0), Dial::direct(false).relayed(true));
    if has_success {
        path.record_dial(at(100), &target(2), Dial::direct(true));
    }
    path.record_dial(at(gap_ms), &target(1), Dial::direct(false).relayed(true));
    assert_eq!(path.state(), PathState::Direct);
}

/// Requests that are left waiting make the path count as lost only if several targets have them,
/// and none has answered since they were sent.
#[rstest]
#[case::all_silent(&[(0, 100), (1, 110), (2, 120)], 50, PathState::Relayed)]
#[case::two_targets_alone(&[(0, 100), (1, 110), (1, 120)], 50, PathState::Direct)]
#[case::others_answer(&[(0, 100), (1, 110), (2, 120)], 115, PathState::Direct)]
#[case::sent_before_last_answer(&[(0, 10), (1, 20), (2, 120), (3, 130)], 50, PathState::Direct)]
fn path_by_silence(
    #[case] overdue: &[(usize, u64)],
    #[case] answered_ms: u64,
    #[case] state: PathState,
) {
    let mut path = monitor();
    path.record_response(at(answered_ms));
    let targets: Vec<TargetId> = overdue.iter().map(|(idx, _)| target(*idx)).collect();
    let overdue: Vec<(&TargetId, Time)> = targets
        .iter()
        .zip(overdue)
        .map(|(target, (_, sent_ms))| (target, at(*sent_ms)))
        .collect();
    path.record_overdue(&overdue);
    assert_eq!(path.state(), state);
    if state == PathState::Relayed {
        // A direct connection whose last answer came before is not used again.
        assert_eq!(path.lost_since(), at(answered_ms));
    }
}

/// When answers stop, the path is checked after eight times the usual gap between them, at least
/// 200 ms, and once a second, as long as a request waits.
#[rstest]
#[case::many_answers(10, 200)]
#[case::few_answers(100, 800)]
fn path_is_checked_when_answers_stop(#[case] gap_ms: u64, #[case] due_ms: u64) {
    let mut path = monitor();
    for count in 0..200 {
        path.record_response(at(count * gap_ms));
    }
    let last = at(199 * gap_ms);
    assert!(!path.take_check(last + Duration::from_millis(due_ms - 5), last));
    let due = last + Duration::from_millis(due_ms + 5);
    assert!(!path.take_check(due, due), "no request waits");
    assert!(path.take_check(due, last));
    assert!(!path.take_check(due + Duration::from_millis(990), last));
    assert!(path.take_check(due + Duration::from_millis(1_010), last));
}

/// The path is used again after two probes in a row could open a connection.
#[test]
fn path_is_restored_by_probes() {
    let mut path = monitor();
    assert!(!path.take_probe(at(0)));
    for idx in 0..2 {
        path.record_dial(at(0), &target(idx), Dial::direct(false).relayed(true));
    }
    assert!(path.take_probe(at(0)) && !path.take_probe(at(499)) && path.take_probe(at(500)));
    assert!(!path.record_probe(at(500), true));
    assert!(!path.record_probe(at(600), false));
    assert!(!path.record_probe(at(1_000), true));
    assert!(path.record_probe(at(1_500), true));
    assert_eq!(path.state(), PathState::Direct);
    assert!(!path.prefers_relay(at(1_500), &target(0)));
}

/// Returns a monitor of a path that was lost because three targets left requests unanswered.
fn silent_monitor() -> PathMonitor {
    let mut path = monitor();
    path.record_response(at(0));
    let targets: Vec<TargetId> = (0..3).map(target).collect();
    let overdue: Vec<(&TargetId, Time)> = targets.iter().map(|id| (id, at(10))).collect();
    assert!(path.record_overdue(&overdue));
    path
}

/// Guards against RECOVER: a path on which connections opened and no bytes came back was used again after
/// two probes, lost again and so on.
#[test]
fn path_without_answers_is_not_restored_by_connections() {
    let mut path = silent_monitor();
    for step in 0..80 {
        let now = at(500 + step * 50);
        if path.take_probe(now) {
            path.record_probe(now, true);
        }
        assert_eq!(path.state(), PathState::Relayed, "step {step}");
    }
}

/// A request tries the path after two probes that opened, one at a time and each after two more; an answer
/// in time restores the path.
#[test]
fn path_without_answers_is_restored_by_one() {
    let mut path = silent_monitor();
    let mut tried_at = Vec::new();
    for step in 0..120 {
        let ms = 500 + step * 50;
        if path.take_probe(at(ms)) {
            path.record_probe(at(ms), true);
        }
        if path.take_trial(at(ms)) {
            assert!(!path.take_trial(at(ms)));
            tried_at.push(ms);
        }
        if tried_at.last().is_some_and(|tried| tried + 300 == ms) {
            assert!(!path.record_trial(at(ms), false));
        }
    }
    assert_eq!(path.state(), PathState::Relayed);
    let gaps = tried_at.windows(2).map(|pair| pair[1] - pair[0]);
    let gaps: Vec<u64> = gaps.collect();
    assert!(
        gaps.iter().all(|gap| (1_000..=1_600).contains(gap)),
        "{gaps:?}"
    );
    assert!(path.record_trial(at(7_000), true));
    assert_eq!(path.state(), PathState::Direct);
}

/// Where no request can try it, the path is used again after connections have opened for 6 s.
#[test]
fn path_without_answers_is_restored_where_nothing_can_try_it() {
    let mut path = silent_monitor();
    for step in 0..12 {
        assert_eq!(path.state(), PathState::Relayed);
        assert!(path.take_probe(at(500 + step * 500)));
        path.record_probe(at(500 + step * 500), true);
    }
    assert_eq!(path.state(), PathState::Direct);
}

/// Guards against RECOVER: connections to many targets that were down, opened at the same time, restored a
/// path on which nothing was answered.
#[test]
fn path_without_answers_is_not_restored_by_connections_at_once() {
    let mut path = silent_monitor();
    for _ in 0..12 {
        path.record_probe(at(1_000), true);
    }
    assert_eq!(path.state(), PathState::Relayed);
}

/// A path that was lost as no connection could be opened takes no trial.
#[test]
fn path_without_connections_takes_no_trial() {
    let mut path = monitor();
    for idx in 0..2 {
        path.record_dial(at(0), &target(idx), Dial::direct(false).relayed(true));
    }
    assert!(!path.take_trial(at(0)));
    path.record_probe(at(500), true);
    assert!(path.record_probe(at(1_000), true));
    assert!(!path.take_trial(at(1_000)));
}

/// Over drawn patterns of targets that have ended and paths that are cut, an instance whose path
/// works goes on connecting directly, and one whose path is cut connects through others within half
/// a second and directly again within two seconds of the end of the cut.
#[test]
fn path_state_follows_drawn_cuts() {
    const TARGETS: usize = 12;
    const STEP_MS: u64 = 20;
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut path = monitor();
        let ended: Vec<bool> = (0..TARGETS).map(|_| rng.random::<f64>() < 0.4).collect();
        let is_helper_cut = rng.random::<f64>() < 0.2;
        let cut_ms = rng.random_range(1_000..3_000);
        let healed_ms = cut_ms + rng.random_range(2_000..9_000);
        let has_cut = rng.random::<f64>() < 0.7;
        for step in 0..700 {
            let ms = step * STEP_MS;
            let now = at(ms);
            let is_cut = has_cut && (cut_ms..healed_ms).contains(&ms);
            if path.take_probe(now) {
                path.record_probe(now, !is_cut);
            }
            let idx = rng.random_range(0..TARGETS);
            let is_direct_open = !is_cut && !ended[idx];
            let dial = if path.prefers_relay(now, &target(idx)) {
                Dial::default().relayed(!ended[idx])
            } else if is_direct_open {
                Dial::direct(true)
            } else if is_helper_cut {
                Dial::direct(false)
            } else {
                Dial::direct(false).relayed(!ended[idx])
            };
            path.record_dial(now, &target(idx), dial);
            let is_settled_cut = is_cut && ms >= cut_ms + 500 && !is_helper_cut;
            let is_settled_up = !is_cut && (ms < cut_ms || !has_cut || ms >= healed_ms + 2_000);
            if is_settled_cut {
                assert_eq!(path.state(), PathState::Relayed, "seed {seed} at {ms}");
            }
            if is_settled_up {
                assert_eq!(path.state(), PathState::Direct, "seed {seed} at {ms}");
            }
        }
    }
}
