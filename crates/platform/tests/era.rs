//! Eras of the platform's history: how they are learned, and what a version of an earlier one is worth.

use base::Position;
use platform::{Call, Platform, PlatformError, Precondition, Reply, StoreEra, Write};
use rstest::rstest;

// Guards against an era that is missed, and against one that bad input makes up.
#[rstest]
#[case::none_is_reported(&[None, None], &[Some(0), Some(0)])]
#[case::first_one(&[Some("7")], &[Some(7)])]
#[case::next_one(&[Some("7"), Some("8")], &[Some(7), Some(8)])]
#[case::first_one_after_none(&[None, Some("7")], &[Some(0), Some(7)])]
#[case::late_answer(&[Some("7"), Some("8"), Some("7")], &[Some(7), Some(8), None])]
#[case::absent_once(&[Some("7"), None, Some("7")], &[Some(7), Some(7), Some(7)])]
#[case::no_number(&[Some("7"), Some("x7"), Some("8")], &[Some(7), Some(7), Some(8)])]
#[case::too_large_for_a_number(&[Some("7"), Some("99999999999"), Some("8")], &[Some(7), Some(7), Some(8)])]
#[case::far_beyond_once(&[Some("7"), Some("900"), Some("7"), Some("900")], &[Some(7), None, Some(7), None])]
#[case::far_beyond_twice(&[Some("7"), Some("9"), Some("9")], &[Some(7), None, Some(9)])]
#[case::far_beyond_and_another(&[Some("7"), Some("9"), Some("11"), Some("8")], &[Some(7), None, None, Some(8)])]
fn era_of_answers(#[case] reported: &[Option<&str>], #[case] expected: &[Option<u32>]) {
    let era = StoreEra::default();
    let found: Vec<Option<u32>> = reported
        .iter()
        .map(|text| era.on_answer(*text).ok())
        .collect();
    assert_eq!(found, expected);
}

// Guards against an instance that doesn't believe others while its own platform is silent.
#[test]
fn era_is_learned_from_others() {
    let era = StoreEra::default();
    let seen = era.subscribe();
    era.learn(4);
    era.learn(3);
    assert_eq!(*seen.borrow(), 4);
    // What one instance has taken from garbled bytes doesn't blind the others.
    era.learn(4_000_000_000);
    assert_eq!(*seen.borrow(), 4);
    assert_eq!(era.on_answer(Some("3")), Err(PlatformError::Unavailable));
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
    let wait = std::time::Duration::ZERO;
    let after = Position::new(1, 5);
    let changes = platform(1, 1).changes("t", after, wait).await;
    assert_eq!(changes, Ok((Vec::new(), Position::new(1, 9))));
    let changes = platform(1, 2).changes("t", after, wait).await;
    assert_eq!(changes, Err(PlatformError::HistoryGone));
}
