//! Ledger: at most one claim is granted, repeats get the stored outcome, and actions of lost
//! claimers become unknown; covers each transition of an action's state chart.

use std::time::Duration;

use base::{Incarnation, Time};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, Ledger, SavedAnswer};
use rstest::rstest;

fn ledger() -> Ledger {
    Ledger::new(Duration::from_secs(600), Duration::from_secs(30)).unwrap()
}

fn key() -> ActionKey {
    ActionKey {
        workspace: "w".into(),
        key: "k".into(),
    }
}

fn claimer(request: u64) -> Claimer {
    Claimer {
        instance: "i1".into(),
        incarnation: Incarnation(1),
        request,
    }
}

fn answer() -> SavedAnswer {
    SavedAnswer {
        status: 201,
        headers: Vec::new(),
        body: b"done".to_vec(),
    }
}

#[rstest]
#[case::claimed(&[], ClaimOutcome::InProgress)]
#[case::running(&[ActionEvent::Sent], ClaimOutcome::InProgress)]
#[case::not_run(&[ActionEvent::NotRun], ClaimOutcome::Granted)]
#[case::sent_and_not_run(&[ActionEvent::Sent, ActionEvent::NotRun], ClaimOutcome::Granted)]
#[case::answered(&[ActionEvent::Answered], ClaimOutcome::Done(answer()))]
#[case::lost(&[ActionEvent::Sent, ActionEvent::Lost], ClaimOutcome::Unknown)]
#[case::late_answer(&[ActionEvent::Sent, ActionEvent::Lost, ActionEvent::Answered], ClaimOutcome::Done(answer()))]
#[case::not_run_after_lost_is_ignored(&[ActionEvent::Lost, ActionEvent::NotRun], ClaimOutcome::Unknown)]
#[case::lost_after_answer_is_ignored(&[ActionEvent::Answered, ActionEvent::Lost], ClaimOutcome::Done(answer()))]
fn ledger_answers_repeat(#[case] events: &[ActionEvent], #[case] expected: ClaimOutcome) {
    let mut ledger = ledger();
    assert_eq!(
        ledger.claim(Time::ZERO, &key(), &claimer(1), 7),
        ClaimOutcome::Granted
    );
    for event in events {
        let saved = (*event == ActionEvent::Answered).then(answer);
        ledger.apply_event(Time::ZERO, &key(), &claimer(1), *event, saved);
    }
    assert_eq!(
        ledger.claim(Time::from_secs(1), &key(), &claimer(2), 7),
        expected
    );
}

#[test]
fn ledger_same_claimer_may_ask_again() {
    let mut ledger = ledger();
    for _ in 0..3 {
        assert_eq!(
            ledger.claim(Time::ZERO, &key(), &claimer(1), 7),
            ClaimOutcome::Granted
        );
    }
}

#[test]
fn ledger_delayed_claim_after_release_is_stale() {
    let mut ledger = ledger();
    ledger.claim(Time::ZERO, &key(), &claimer(1), 7);
    ledger.apply_event(Time::ZERO, &key(), &claimer(1), ActionEvent::NotRun, None);
    assert_eq!(
        ledger.claim(Time::ZERO, &key(), &claimer(1), 7),
        ClaimOutcome::Stale
    );
}

#[test]
fn ledger_other_request_under_the_same_key_is_refused() {
    let mut ledger = ledger();
    ledger.claim(Time::ZERO, &key(), &claimer(1), 7);
    assert_eq!(
        ledger.claim(Time::ZERO, &key(), &claimer(2), 8),
        ClaimOutcome::Reused
    );
}

#[test]
fn ledger_silent_claimer_becomes_unknown_never_free() {
    let mut ledger = ledger();
    ledger.claim(Time::ZERO, &key(), &claimer(1), 7);
    let later = Time::from_secs(31);
    assert_eq!(
        ledger.claim(later, &key(), &claimer(2), 7),
        ClaimOutcome::Unknown
    );
}

#[test]
fn ledger_ended_incarnation_becomes_unknown() {
    let mut ledger = ledger();
    ledger.claim(Time::ZERO, &key(), &claimer(1), 7);
    ledger.instance_ended(Time::ZERO, &"i1".into(), Incarnation(1));
    assert_eq!(
        ledger.claim(Time::ZERO, &key(), &claimer(2), 7),
        ClaimOutcome::Unknown
    );
}

#[test]
fn ledger_forgets_after_retention() {
    let mut ledger = ledger();
    ledger.claim(Time::ZERO, &key(), &claimer(1), 7);
    ledger.apply_event(
        Time::ZERO,
        &key(),
        &claimer(1),
        ActionEvent::Answered,
        Some(answer()),
    );
    ledger.expire(Time::from_secs(601));
    assert!(ledger.is_empty());
}
