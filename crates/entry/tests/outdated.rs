//! What an engine does from the time on from which its configuration may decide no more.

#[path = "support/engine.rs"]
mod engine;
#[path = "support/fresh.rs"]
mod fresh;
#[path = "support/requests.rs"]
mod requests;

use std::{sync::Arc, time::Duration};

use base::{Config, ErrorKind, Refusal, Time, Workspace};
use coord::Freshness;
use dispatch::{Outcome, Policy};
use engine::engine_with;
use entry::{
    engine::Engine,
    message::{AttemptPlan, ConfigLag, Decision, Event},
    permit::SendPermit,
};
use fresh::fresh;
use requests::{arrival, dispatch, end_attempt, issue_key, submit};
use rstest::rstest;
use standin::config::{service, target};
use tokio::{
    sync::mpsc,
    task::yield_now,
    time::{advance, sleep},
};

const RETRY_AFTER: Duration = Duration::from_millis(40);
/// Time for which the follower's word counts.
const WORD_VALIDITY: Duration = Duration::from_secs(1);
/// Time between two words of the follower.
const WORD_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a configuration with a target for one request at a time, and a workspace that may run in the
/// north alone.
fn config() -> Config {
    let mut config = standin::config::config([("north", "north")]);
    let mut board = service(1, 10_000);
    board.targets = [("north".into(), target("north", None))].into();
    config.services.insert("board".into(), board);
    let workspace = Workspace {
        rate: 1_000.0,
        burst: 1_000.0,
        homes: ["north".into()].into(),
        ..Workspace::default()
    };
    config.workspaces.insert("gym".into(), workspace);
    issue_key(&mut config);
    config
}

fn engine() -> Engine {
    engine_after(fresh(None))
}

/// Returns an engine with the configuration and the follower's first word of it.
fn engine_after(word: Event) -> Engine {
    let mut engine = engine_with(Policy::default());
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config()),
        version: None,
    });
    engine.handle(word);
    engine
}

fn fall_behind(engine: &mut Engine, outdated_from: Option<Time>) {
    engine.handle(Event::ConfigBehind(ConfigLag {
        outdated_from,
        retry_after: RETRY_AFTER,
    }));
}

/// Returns the plan of an attempt that a request was given, if it was.
fn plan_of(rx: &mut mpsc::UnboundedReceiver<Decision>) -> Option<Box<AttemptPlan>> {
    while let Ok(decision) = rx.try_recv() {
        if let Decision::SendAttempt(plan) = decision {
            return Some(plan);
        }
    }
    None
}

/// Submits the first request, which gets the target's only slot, and returns the channel of its decisions.
fn run_first(engine: &mut Engine) -> mpsc::UnboundedReceiver<Decision> {
    let mut running = submit(engine, 1);
    dispatch(engine, 1);
    assert!(plan_of(&mut running).is_some());
    running
}

fn refusal(rx: &mut mpsc::UnboundedReceiver<Decision>) -> Option<Refusal> {
    while let Ok(decision) = rx.try_recv() {
        if let Decision::Refuse(refusal) = decision {
            return Some(refusal);
        }
    }
    None
}

fn expected() -> Option<Refusal> {
    Some(Refusal::new(ErrorKind::Outdated).retry_after(RETRY_AFTER))
}

/// Guards against HOME and CONFIG: arriving requests were decided by a configuration of which it was known
/// that it isn't the latest.
#[rstest]
#[case::in_force(None, None)]
#[case::behind_for_a_moment(Some(Time::NEVER), None)]
#[case::outdated(Some(Time::ZERO), expected())]
#[tokio::test]
async fn arriving_request_is_refused_while_outdated(
    #[case] outdated_from: Option<Time>,
    #[case] expected: Option<Refusal>,
) {
    let mut engine = engine();
    fall_behind(&mut engine, outdated_from);
    assert_eq!(refusal(&mut submit(&mut engine, 1)), expected);
    fall_behind(&mut engine, None);
    let mut rx = submit(&mut engine, 2);
    dispatch(&mut engine, 2);
    assert!(plan_of(&mut rx).is_some());
}

/// Guards against HOME and CONFIG: requests whose bodies were still arriving, or that waited for a target, were
/// sent by a configuration of which it was known that it isn't the latest.
#[tokio::test]
async fn waiting_requests_are_refused_once_outdated() {
    let mut engine = engine();
    assert_waiting_are_refused(&mut engine, expected(), |engine| {
        fall_behind(engine, Some(Time::ZERO));
    });
}

/// Guards against LOST: a request whose body ended shortly before an instance stopped was sent to a target that couldn't
/// answer in the time that was left, and its caller got nothing.
#[rstest]
#[case::alone(false)]
#[case::before_another_configuration(true)]
#[tokio::test]
async fn waiting_requests_are_refused_once_stopping(#[case] is_configured: bool) {
    let mut engine = engine();
    let expected = Refusal::new(ErrorKind::Leaving).retry_after(Duration::from_millis(10));
    assert_waiting_are_refused(&mut engine, Some(expected), |engine| {
        engine.handle(Event::StopAccepting);
        if is_configured {
            engine.handle(Event::ConfigActivated {
                config: Arc::new(config()),
                version: None,
            });
        }
    });
}

/// Asserts that an engine refuses what hasn't been sent once `stop_sending` is over, and lets alone what has.
fn assert_waiting_are_refused<F>(engine: &mut Engine, expected: Option<Refusal>, stop_sending: F)
where
    F: FnOnce(&mut Engine),
{
    let mut running = run_first(engine);
    let mut queued = submit(engine, 2);
    dispatch(engine, 2);
    let mut arriving = submit(engine, 3);
    stop_sending(engine);
    dispatch(engine, 3);
    assert_eq!(refusal(&mut queued), expected);
    assert_eq!(refusal(&mut arriving), expected);
    assert_eq!(refusal(&mut running), None);
    // What runs goes on, and isn't tried again.
    end_attempt(engine, Outcome::Refused);
    assert_eq!(refusal(&mut running), expected);
}

/// Guards against LOST: a request that a target kept waiting was cut without an answer at the end of a stop.
#[tokio::test]
async fn unanswered_request_is_answered_at_the_end_of_a_stop() {
    let mut engine = engine();
    let mut running = run_first(&mut engine);
    engine.handle(Event::StopAccepting);
    engine.handle(Event::EndRequests);
    let kind = refusal(&mut running).map(|refusal| refusal.kind);
    assert_eq!(kind, Some(ErrorKind::TargetTimeout));
}

/// The time comes without another word of the follower.
#[tokio::test]
async fn waiting_request_is_refused_when_the_time_comes() {
    let outdated_from = Duration::from_millis(300);
    let mut engine = engine();
    fall_behind(&mut engine, Some(Time::ZERO + outdated_from));
    let mut waiting = submit(&mut engine, 1);
    assert_eq!(refusal(&mut waiting), None);
    sleep(outdated_from).await;
    dispatch(&mut engine, 1);
    assert_eq!(refusal(&mut waiting), expected());
}

/// Guards against HOME and CONFIG: a change of a target's row, or a version that isn't the latest either, let
/// running requests be tried again by a configuration of which it was known that it isn't the latest.
#[tokio::test]
async fn running_request_is_not_tried_again_after_another_configuration_that_is_outdated() {
    let mut engine = engine();
    let mut running = run_first(&mut engine);
    fall_behind(&mut engine, Some(Time::ZERO));
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config()),
        version: None,
    });
    end_attempt(&mut engine, Outcome::Refused);
    let kind = refusal(&mut running).map(|refusal| refusal.kind);
    assert_eq!(kind, Some(ErrorKind::Outdated));
}

/// What runs may be tried again once the latest configuration is there.
#[tokio::test]
async fn running_request_is_tried_again_once_caught_up() {
    let mut engine = engine();
    let mut running = run_first(&mut engine);
    fall_behind(&mut engine, Some(Time::ZERO));
    engine.handle(Event::ConfigActivated {
        config: Arc::new(config()),
        version: None,
    });
    fall_behind(&mut engine, None);
    end_attempt(&mut engine, Outcome::Refused);
    assert_eq!(refusal(&mut running), None);
}

/// Returns the follower's word at `at` in an outage of the store, in which nothing confirms the configuration.
fn word(at: Duration) -> Event {
    Event::ConfigFreshness {
        freshness: Freshness::Unconfirmed,
        valid_until: Time::ZERO + at + WORD_VALIDITY,
        confirmed_at: None,
        refuse_until: Time::ZERO,
        confirmation: None,
        targets_until: Time::NEVER,
    }
}

/// Guards against refusals without need: in an outage of the store, an engine whose turn had taken over a second took its
/// own delay for the follower's silence, though the follower's words waited behind the requests.
#[rstest]
#[case::short(700, None)]
#[case::long(1_600, None)]
#[case::outdated(1_600, Some(Time::ZERO))]
#[tokio::test(start_paused = true)]
async fn request_behind_a_long_turn_is_decided_by_the_latest_word(
    #[case] turn_ms: u64,
    #[case] outdated_from: Option<Time>,
) {
    let turn = Duration::from_millis(turn_ms);
    let mut engine = engine_after(word(Duration::ZERO));
    let mut waiting = submit(&mut engine, 1);
    let (events, rx) = mpsc::unbounded_channel();
    tokio::spawn(engine.run(rx));
    yield_now().await;
    let (arrived, mut arriving) = arrival(2);
    events.send(arrived).unwrap();
    let count = turn.div_duration_f64(WORD_INTERVAL) as u32;
    for number in 1..=count {
        events.send(word(WORD_INTERVAL * number)).unwrap();
    }
    events
        .send(Event::ConfigBehind(ConfigLag {
            outdated_from,
            retry_after: RETRY_AFTER,
        }))
        .unwrap();
    advance(turn).await;
    sleep(Duration::from_millis(1)).await;
    let expected = outdated_from.and(expected());
    assert_eq!(refusal(&mut waiting), expected);
    assert_eq!(refusal(&mut arriving), expected);
}

/// Guards against a false reason: an engine that had stood still said of requests that a later configuration was known,
/// though it had only not learned yet whether its own may decide.
#[tokio::test(start_paused = true)]
async fn request_after_a_standstill_is_refused_as_isolated_until_the_next_word() {
    let mut engine = engine_after(word(Duration::ZERO));
    fall_behind(&mut engine, None);
    let mut waiting = submit(&mut engine, 1);
    advance(WORD_VALIDITY + WORD_INTERVAL).await;
    let expected = Some(Refusal::new(ErrorKind::Isolated).retry_after(Duration::ZERO));
    assert_eq!(refusal(&mut submit(&mut engine, 2)), expected);
    assert_eq!(refusal(&mut waiting), expected);
    engine.handle(word(WORD_VALIDITY + WORD_INTERVAL));
    let mut rx = submit(&mut engine, 3);
    dispatch(&mut engine, 3);
    assert!(plan_of(&mut rx).is_some());
}

/// Returns a word by which the configuration may decide until `refuse_until`, and requests go by the rows of targets
/// until `targets_until`.
fn word_until(refuse_until: Duration, targets_until: Duration) -> Event {
    Event::ConfigFreshness {
        freshness: Freshness::Fresh,
        valid_until: Time::ZERO + WORD_VALIDITY,
        confirmed_at: Some(Time::ZERO),
        refuse_until: Time::ZERO + refuse_until,
        confirmation: None,
        targets_until: Time::ZERO + targets_until,
    }
}

/// What an engine had done with a request before a standstill.
#[derive(Debug, Clone, Copy)]
enum Progress {
    /// Its body hadn't arrived.
    Waiting,
    /// Its attempt was handed over, and not sent yet.
    HandedOver,
}

/// Guards against DRAIN, HOME and CONFIG: an engine that had stood still sent requests by rows of targets that were too
/// old, since the operators' rows were still to be gone by; an attempt that it had handed over before was sent by such
/// rows before it noticed. And against refusals while both kinds of rows hold.
#[rstest]
#[case::both_hold(9_500, 9_500, 5_000, true)]
#[case::targets_are_over(9_500, 2_300, 5_000, false)]
#[case::operators_are_over(2_300, 9_500, 5_000, false)]
#[case::no_standstill(9_500, 100, 900, true)]
#[tokio::test(start_paused = true)]
async fn request_after_a_standstill_goes_by_rows_that_hold(
    #[case] refuse_until_ms: u64,
    #[case] targets_until_ms: u64,
    #[case] stands_ms: u64,
    #[case] is_sent: bool,
    #[values(Progress::Waiting, Progress::HandedOver)] progress: Progress,
) {
    let [refuse_until, targets_until, stands] =
        [refuse_until_ms, targets_until_ms, stands_ms].map(Duration::from_millis);
    let mut engine = engine_after(word_until(refuse_until, targets_until));
    let mut rx = submit(&mut engine, 1);
    match progress {
        Progress::Waiting => {
            advance(stands).await;
            dispatch(&mut engine, 1);
            if is_sent {
                assert!(plan_of(&mut rx).is_some());
            } else {
                let expected = Refusal::new(ErrorKind::Isolated).retry_after(Duration::ZERO);
                assert_eq!(refusal(&mut rx), Some(expected));
            }
        }
        Progress::HandedOver => {
            dispatch(&mut engine, 1);
            let plan = plan_of(&mut rx).unwrap();
            let permit = SendPermit::new(plan.assignment.region, plan.allowed_regions)
                .until(plan.sends_until);
            let woken_at = Time::ZERO + stands;
            assert_eq!(permit.is_valid(woken_at), is_sent);
            engine.handle(word(stands));
            assert!(permit.is_valid(woken_at));
        }
    }
}
