//! A lost path on which connections open is tried by requests that others may follow.

use std::{ops::Range, time::Duration};

use base::Time;
use dispatch::{
    AdmittedRequest, Assignment, Dial, Dispatcher, Outcome, PathState, RequestId, RequestKind,
    RequestProgress,
};
use rstest::rstest;

use crate::support::{assignments, config, dispatcher, request};

const TICK: Duration = Duration::from_millis(50);
/// Requests that wait as the path is lost.
const WAITING: Range<u64> = 100..112;

fn submit(dispatcher: &mut Dispatcher, now: Time, request: AdmittedRequest) -> Assignment {
    let actions = dispatcher.submit(now, request);
    assignments(&actions).first().copied().cloned().unwrap()
}

/// Returns a dispatcher whose requests were answered until none was any more, and the time.
fn silent() -> (Dispatcher, Time) {
    let config = config(8);
    let mut dispatcher = dispatcher(&config, 1);
    let mut now = Time::from_secs(10);
    dispatcher.tick(now);
    for id in 0..40 {
        let sent = submit(&mut dispatcher, now, request(now, id, id));
        now = now + Duration::from_millis(20);
        let answered = Outcome::Answered(Duration::from_millis(20));
        dispatcher.finish(now, sent.id, sent.attempt, answered);
    }
    now = now + TICK;
    for id in WAITING {
        dispatcher.submit(now, request(now, id, id));
    }
    now = now + Duration::from_millis(600);
    assert!(dispatcher.check_path(now, false));
    (dispatcher, now)
}

/// Ends the requests that were left without an answer.
fn end_waiting(dispatcher: &mut Dispatcher, now: Time, outcome: Outcome) {
    for id in WAITING {
        let (progress, _) = dispatcher.finish(now, RequestId(id), 1, outcome);
        assert_eq!(progress, RequestProgress::Ended);
    }
}

/// Lets probes open connections for some time, and returns its end.
fn open_probes(dispatcher: &mut Dispatcher, start: Time, duration: Duration) -> Time {
    let mut now = start;
    while now - start < duration {
        now = now + TICK;
        for target in dispatcher.due_probes(now) {
            dispatcher.record_probe(now, &target, Dial::direct(true));
        }
    }
    now
}

/// Guards against RECOVER: connections that opened restored a path on which answers were late or lost.
/// One request at a time tries it; only an answer that was direct and in time restores it.
#[rstest]
#[case::in_time(
    Dial::direct(true),
    Outcome::Answered(Duration::from_millis(30)),
    PathState::Direct
)]
#[case::on_a_new_connection(
    Dial::direct(true),
    Outcome::Answered(Duration::from_millis(390)),
    PathState::Direct
)]
#[case::late(
    Dial::direct(true),
    Outcome::Answered(Duration::from_millis(1_800)),
    PathState::Relayed
)]
#[case::lost(Dial::direct(true), Outcome::Canceled, PathState::Relayed)]
#[case::refused(Dial::direct(true), Outcome::Refused, PathState::Relayed)]
#[case::through_another(
    Dial::direct(false).relayed(true),
    Outcome::Answered(Duration::from_millis(30)),
    PathState::Relayed
)]
fn lost_path_is_tried_by_one_request(
    #[case] dial: Dial,
    #[case] outcome: Outcome,
    #[case] state: PathState,
) {
    let (mut dispatcher, start) = silent();
    end_waiting(&mut dispatcher, start, Outcome::Canceled);
    let before = submit(&mut dispatcher, start, request(start, 200, 200));
    assert!(before.prefers_relay && !before.is_trial);
    let now = open_probes(&mut dispatcher, start, Duration::from_millis(1_500));
    assert_eq!(dispatcher.path_state(), PathState::Relayed);
    let trial = submit(&mut dispatcher, now, request(now, 201, 201));
    assert!(trial.is_trial && !trial.prefers_relay);
    assert!(trial.hedge_delay <= Duration::from_millis(200));
    let other = submit(&mut dispatcher, now, request(now, 202, 202));
    assert!(other.prefers_relay && !other.is_trial);
    dispatcher.record_dial(now, trial.id, trial.attempt, dial);
    dispatcher.finish(now + TICK, trial.id, trial.attempt, outcome);
    assert_eq!(dispatcher.path_state(), state);
}

/// Late answers of the lost path change nothing of what counts as in time.
#[test]
fn late_answers_make_no_trial_in_time() {
    let (mut dispatcher, mut now) = silent();
    let late = Outcome::Answered(Duration::from_millis(1_800));
    end_waiting(&mut dispatcher, now, late);
    now = open_probes(&mut dispatcher, now, Duration::from_millis(1_500));
    let trial = submit(&mut dispatcher, now, request(now, 201, 201));
    assert!(trial.is_trial);
    assert!(trial.hedge_delay <= Duration::from_millis(200));
    assert!(!dispatcher.is_in_time(trial.id, late));
    dispatcher.finish(now + TICK, trial.id, trial.attempt, late);
    assert_eq!(dispatcher.path_state(), PathState::Relayed);
}

/// A request that may run once, or on one target only, is no trial: nothing could follow it.
#[rstest]
#[case::once(RequestKind::Once, 2)]
#[case::single_attempt(RequestKind::Idempotent, 1)]
fn request_that_cannot_be_repeated_is_no_trial(
    #[case] kind: RequestKind,
    #[case] max_attempts: u32,
) {
    let (mut dispatcher, start) = silent();
    end_waiting(&mut dispatcher, start, Outcome::Canceled);
    let now = open_probes(&mut dispatcher, start, Duration::from_millis(1_500));
    let request = AdmittedRequest {
        max_attempts,
        ..request(now, 201, 201)
    };
    let sent = submit(&mut dispatcher, now, request.kind(kind));
    assert!(sent.prefers_relay && !sent.is_trial);
}
