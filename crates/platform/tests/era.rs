//! Eras of the platform's history: how they are learned, and what a version of an earlier one is worth.

use std::{
    cell::RefCell,
    future::{Ready, pending, ready},
    pin::pin,
    task::{Context, Waker},
    time::Duration,
};

use base::{InstanceId, Position};
use platform::{Call, Platform, PlatformError, Precondition, Reply, StoreEra, Write};
use rstest::rstest;
use tokio::time::sleep;

/// Time that a small call takes.
const CALL_TIME: Duration = Duration::from_millis(10);

/// Returns what each answer to a question reports, in turn; the later ones get none.
fn ask(answers: &[Option<&'static str>]) -> impl Fn() -> Ready<Option<String>> {
    let answers = RefCell::new(answers.iter().copied());
    move || ready(answers.borrow_mut().next().flatten().map(str::to_owned))
}

// Guards against an era that is missed, and against one that bad input makes up.
#[rstest]
#[case::none_is_reported(&[None, None], &[], &[Some(0), Some(0)])]
#[case::first_one(&[Some("7")], &[Some("7")], &[Some(7)])]
#[case::first_one_is_wrong(&[Some("8"), Some("7")], &[Some("7"), Some("7")], &[None, Some(7)])]
#[case::next_one(&[Some("7"), Some("8")], &[Some("7"), Some("8")], &[Some(7), Some(8)])]
#[case::next_one_after_a_lost_question(&[Some("8")], &[None, Some("x"), Some("8")], &[Some(8)])]
#[case::next_one_unconfirmed(&[Some("8"), Some("8")], &[], &[None, Some(8)])]
#[case::next_one_is_wrong(&[Some("7"), Some("8"), Some("7")], &[Some("7"), Some("7")], &[Some(7), None, Some(7)])]
#[case::next_one_is_wrong_again(&[Some("0"), Some("1"), Some("1")], &[Some("0"), Some("0")], &[Some(0), None, None])]
#[case::wrong_ones_beside_right_ones(&[Some("0"), Some("1"), Some("0"), Some("1")], &[], &[Some(0), None, Some(0), None])]
#[case::first_one_after_none(&[None, Some("7")], &[Some("7")], &[Some(0), Some(7)])]
#[case::late_answer(&[Some("7"), Some("8"), Some("7")], &[Some("7"), Some("8")], &[Some(7), Some(8), None])]
#[case::absent_once(&[Some("7"), None, Some("7")], &[Some("7")], &[Some(7), Some(7), Some(7)])]
#[case::no_number(&[Some("7"), Some("x7"), Some("8")], &[Some("7"), Some("8")], &[Some(7), Some(7), Some(8)])]
#[case::too_large_for_a_number(&[Some("7"), Some("99999999999"), Some("8")], &[Some("7"), Some("8")], &[Some(7), Some(7), Some(8)])]
#[case::far_beyond_once(&[Some("7"), Some("900"), Some("7"), Some("900")], &[Some("7")], &[Some(7), None, Some(7), None])]
#[case::far_beyond_twice(&[Some("7"), Some("9"), Some("9")], &[Some("7")], &[Some(7), None, Some(9)])]
#[case::two_at_once(&[Some("7"), Some("9")], &[Some("7"), Some("9")], &[Some(7), Some(9)])]
#[case::another_one_meanwhile(&[Some("7"), Some("8"), Some("9")], &[Some("7"), Some("9"), Some("9")], &[Some(7), None, Some(9)])]
#[case::far_beyond_and_another(&[Some("7"), Some("9"), Some("11"), Some("8")], &[Some("7"), None, None, None, None, None, None, Some("8")], &[Some(7), None, None, Some(8)])]
#[tokio::test]
async fn era_of_answers(
    #[case] reported: &[Option<&str>],
    #[case] asked: &[Option<&'static str>],
    #[case] expected: &[Option<u32>],
) {
    let era = StoreEra::default();
    let ask = ask(asked);
    let mut found = Vec::new();
    for text in reported {
        found.push(era.on_answer(*text, &ask).await.ok());
    }
    assert_eq!(found, expected);
}

// Guards against a return that an answer from before it, another one or another instance keeps from being known at once.
#[rstest]
#[case::late_answer(|era: &StoreEra| handle(era, "1"), Some("2"), Ok(2))]
#[case::second_answer(|era: &StoreEra| handle(era, "2"), None, Ok(2))]
#[case::other_instance(|era: &StoreEra| era.learn(2), None, Ok(2))]
#[case::other_instance_knows_a_later_one(|era: &StoreEra| era.learn(3), None, Err(PlatformError::UnusableEra))]
#[tokio::test(start_paused = true)]
async fn era_of_an_answer_beside_others(
    #[case] beside: fn(&StoreEra),
    #[case] asked: Option<&'static str>,
    #[case] expected: Result<u32, PlatformError>,
) {
    let era = StoreEra::default();
    era.learn(1);
    let ask = || async {
        sleep(CALL_TIME).await;
        if asked.is_none() {
            pending::<()>().await;
        }
        asked.map(str::to_owned)
    };
    let other = async {
        sleep(CALL_TIME / 2).await;
        beside(&era);
    };
    let (found, ()) = tokio::join!(era.on_answer(Some("2"), ask), other);
    assert_eq!(found, expected);
}

/// Handles an answer as far as it goes without an answer to a question.
fn handle(era: &StoreEra, reported: &str) {
    let answer = pin!(era.on_answer(Some(reported), pending::<Option<String>>));
    let _ = answer.poll(&mut Context::from_waker(Waker::noop()));
}

// Guards against an instance that doesn't believe others while its own platform is silent.
#[tokio::test]
async fn era_is_learned_from_others() {
    let era = StoreEra::default();
    let seen = era.subscribe();
    era.learn(4);
    era.learn(3);
    assert_eq!(*seen.borrow(), 4);
    // What one instance has taken from garbled bytes doesn't blind the others.
    era.learn(4_000_000_000);
    assert_eq!(*seen.borrow(), 4);
    let found = era.on_answer(Some("3"), ask(&[])).await;
    assert_eq!(found, Err(PlatformError::UnusableEra));
}

/// What the own platform does as others report an era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Own {
    Answers(Option<u32>),
    Refuses,
    RefusesAndNames(u32),
    Silent,
}

// Guards against one instance that has read a wrong header twice and lifts the era of the whole fleet.
#[rstest]
#[case::own_platform_contradicts(&[("a", 2)], 9, Own::Answers(Some(1)), (1, 1, 1))]
#[case::own_platform_names_none(&[("a", 2)], 9, Own::Answers(None), (1, 1, 1))]
#[case::own_platform_names_it(&[("a", 2)], 9, Own::Answers(Some(2)), (1, 2, 2))]
#[case::own_platform_names_a_later_one(&[("a", 2)], 9, Own::Answers(Some(3)), (1, 2, 2))]
#[case::own_platform_is_silent(&[("a", 2)], 9, Own::Silent, (1, 1, 2))]
#[case::own_platform_refuses(&[("a", 2)], 9, Own::Refuses, (1, 1, 2))]
#[case::own_platform_refuses_and_names_its_era(&[("a", 2)], 9, Own::RefusesAndNames(1), (1, 1, 1))]
#[case::second_instance(&[("a", 2), ("b", 2)], 9, Own::Answers(Some(1)), (2, 2, 2))]
#[case::the_same_again(&[("a", 2), ("a", 2), ("a", 3)], 9, Own::Answers(Some(1)), (1, 1, 1))]
#[case::what_both_know(&[("a", 3), ("b", 2)], 9, Own::Answers(Some(1)), (2, 2, 2))]
#[case::far_beyond(&[("a", 4_000_000_000), ("b", 4_000_000_000)], 9, Own::Silent, (1, 1, 1))]
#[case::no_second_instance(&[("a", 2)], 1, Own::Answers(Some(1)), (2, 2, 2))]
#[tokio::test(start_paused = true)]
async fn era_that_others_report(
    #[case] reports: &[(&str, u32)],
    #[case] others: usize,
    #[case] own: Own,
    #[case] expected: (u32, u32, u32),
) {
    let era = StoreEra::default();
    assert_eq!(era.on_answer(Some("1"), ask(&[Some("1")])).await, Ok(1));
    let known = era.clone();
    let platform = Platform::spawn(move || {
        let known = known.clone();
        move |_, _| answer(own, known.clone())
    });
    let check = platform.tracking(era.clone()).check_reported_eras("t");
    let check = tokio::spawn(check);
    for (by, reported) in reports {
        era.on_reported(&InstanceId::from(*by), *reported, others);
    }
    let at_once = era.latest();
    sleep(Duration::from_millis(100)).await;
    let soon = era.latest();
    sleep(Duration::from_millis(1_400)).await;
    assert_eq!((at_once, soon, era.latest()), expected);
    // Others may not count what one instance has from others.
    let is_named = matches!(own, Own::Answers(Some(named)) if named == era.latest());
    assert_eq!(era.named(), if is_named { era.latest() } else { 1 });
    check.abort();
}

async fn answer(own: Own, known: StoreEra) -> Result<Reply, PlatformError> {
    sleep(CALL_TIME).await;
    let named = match own {
        Own::Answers(named) => named.map(|era| era.to_string()),
        Own::Refuses => return Err(PlatformError::Unavailable),
        Own::RefusesAndNames(era) => {
            let era = era.to_string();
            known.on_answer(Some(&era), || ready(None)).await?;
            return Err(PlatformError::Unavailable);
        }
        Own::Silent => pending().await,
    };
    let era = known.on_answer(named.as_deref(), || ready(None)).await?;
    Ok(Reply::Position(Position::new(era, 9)))
}

// Guards against a word that outlives its instance: the platform falls silent once that has ended.
#[tokio::test(start_paused = true)]
async fn report_of_an_instance_expires() {
    let era = StoreEra::default();
    assert_eq!(era.on_answer(Some("1"), ask(&[Some("1")])).await, Ok(1));
    era.on_reported(&InstanceId::from("a"), 2, 9);
    sleep(Duration::from_secs(3)).await;
    era.on_reported(&InstanceId::from("b"), 2, 9);
    assert_eq!(era.latest(), 1);
}

/// Returns a handle to a platform that answers in `answered`, where `known` is known before.
fn platform(known: u32, answered: u32) -> Platform {
    let era = StoreEra::default();
    era.learn(known);
    let platform = Platform::spawn(move || {
        move |call: Call, _| async move {
            let at = Position::new(answered, 9);
            match call {
                Call::Write { writes } => Ok(Reply::Written(vec![at; writes.len()])),
                _ => Ok(Reply::Changes(Vec::new(), at)),
            }
        }
    });
    platform.tracking(era)
}

// Guards against a conditional write that meets a version which was given out again.
#[rstest]
#[case::same_era(1, 1, Precondition::Version(Position::new(1, 5)), Ok(1))]
#[case::known_to_be_earlier(2, 2, Precondition::Version(Position::new(1, 5)), Err(true))]
#[case::answered_later(1, 2, Precondition::Version(Position::new(1, 5)), Err(false))]
#[case::absent(1, 2, Precondition::Absent, Ok(2))]
#[tokio::test]
async fn write_that_expects_a_version(
    #[case] known: u32,
    #[case] answered: u32,
    #[case] expected: Precondition,
    #[case] outcome: Result<u32, bool>,
) {
    let write = Write::new("t", "r").value("v").expect(expected);
    let written = platform(known, answered).write(vec![write]).await;
    let found = written.map(|versions| versions[0].era);
    assert_eq!(
        found.map_err(|err| matches!(err, PlatformError::Conflict { .. })),
        outcome
    );
}

// Guards against changes that are taken for those after a position of another era.
#[tokio::test]
async fn changes_of_another_era_are_none() {
    let wait = Duration::ZERO;
    let after = Position::new(1, 5);
    let changes = platform(1, 1).changes("t", after, wait).await;
    assert_eq!(changes, Ok((Vec::new(), Position::new(1, 9))));
    let changes = platform(1, 2).changes("t", after, wait).await;
    assert_eq!(changes, Err(PlatformError::HistoryGone));
}
