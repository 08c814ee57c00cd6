//! The quarantine of a request: its trials, and what other instances report of it.

use std::time::Duration;

use base::Time;
use dispatch::{Admission, ConnectionLoss, Hold, LossReport, Quarantine};
use rstest::rstest;

const FINGERPRINT: u64 = 7;
const PERIOD: Duration = Duration::from_secs(60);

fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::new(3, PERIOD);
    let losses = [1, 2, 3].map(loss);
    assert_eq!(quarantine.record(Time::ZERO, &losses), [FINGERPRINT]);
    quarantine
}

/// Guards against BUDGET: a report of an instance whose quarantine ended a moment later ended the trial
/// as well, and a second one began concurrently.
#[rstest]
#[case::is_over(Duration::ZERO)]
#[case::ends_later(Duration::from_millis(20))]
fn trial_is_not_ended_by_reports(#[case] remaining: Duration) {
    let mut quarantine = quarantined();
    let now = Time::ZERO + PERIOD;
    let deadline = now + Duration::from_secs(3);
    let admission = quarantine.admit(now, FINGERPRINT, deadline, true);
    assert_eq!(admission, Admission::Trial);
    let hold = Hold {
        fingerprint: FINGERPRINT,
        remaining,
        period: PERIOD,
    };
    let now = now + Duration::from_millis(500);
    assert_eq!(quarantine.merge(now, &hold), None);
    let now = now + Duration::from_millis(100);
    let admission = quarantine.admit(now, FINGERPRINT, deadline, true);
    assert_eq!(admission, Admission::Refused(deadline - now));
}

/// One instance tries a request after its quarantine; the others do once that one has let as much time
/// pass again.
#[test]
fn trial_is_one_instances() {
    let mut quarantine = quarantined();
    let deadline = Time::from_secs(500);
    let admit = |quarantine: &mut Quarantine, at_s, may_try| {
        quarantine.admit(Time::from_secs(at_s), FINGERPRINT, deadline, may_try)
    };
    let refused = |admission| matches!(admission, Admission::Refused(_));
    assert!(refused(admit(&mut quarantine, 59, true)));
    assert!(refused(admit(&mut quarantine, 61, false)));
    assert_eq!(admit(&mut quarantine.clone(), 61, true), Admission::Trial);
    assert_eq!(admit(&mut quarantine, 121, false), Admission::Trial);
}

/// Guards against BUDGET: an answer that an instance had got before a request turned deadly ended its quarantine
/// again and again, as each instance that learned of it reported it to the others as its own.
#[rstest]
#[case::own(true)]
#[case::of_another(false)]
fn answer_ends_a_quarantine_once(#[case] is_own: bool) {
    let mut quarantine = Quarantine::new(3, PERIOD);
    if is_own {
        quarantine.record_answer(Time::ZERO, FINGERPRINT);
    } else {
        quarantine.record_remote_answer(Time::ZERO, Time::ZERO, FINGERPRINT);
    }
    let hold = Hold {
        fingerprint: FINGERPRINT,
        remaining: PERIOD,
        period: PERIOD,
    };
    let now = Time::from_secs(1);
    let age = is_own.then_some(Duration::from_secs(1));
    assert_eq!(quarantine.merge(now, &hold), age);
    assert_eq!(quarantine.merge(now, &hold), None);
    assert_eq!(quarantine.remaining(now, FINGERPRINT), Some(PERIOD));
}

/// Others that got an answer report it once, at the first loss that they learn of, and when that was. Guards against BUDGET:
/// losses after the answer were forgotten as well.
#[rstest]
#[case::loss_before_it(1_100, false)]
#[case::loss_after_it(900, true)]
fn answer_is_told_once_at_a_loss(#[case] loss_age_ms: u64, #[case] is_suspected: bool) {
    let mut quarantine = Quarantine::new(3, PERIOD);
    quarantine.record_answer(Time::from_secs(1), FINGERPRINT);
    let now = Time::from_secs(2);
    let loss = LossReport {
        age: Duration::from_millis(loss_age_ms),
        ..loss(1)
    };
    assert!(quarantine.record_remote(now, loss).is_empty());
    let told = quarantine.take_untold_answer(now, FINGERPRINT);
    assert_eq!(told, Some(Duration::from_secs(1)));
    assert_eq!(quarantine.is_suspected(FINGERPRINT), is_suspected);
    assert_eq!(quarantine.take_untold_answer(now, FINGERPRINT), None);
}

/// Where there are other instances, a quarantine begins only after they could report answers. Guards against BUDGET: an
/// answer from before the losses erased them.
#[rstest]
#[case::nobody_answers(None, Some(1_300))]
#[case::another_had_an_answer_since(Some((1_100, 1_100)), None)]
#[case::another_may_have_had_an_answer_since(Some((900, 1_100)), Some(3_100))]
#[case::another_had_an_answer_before(Some((800, 900)), Some(2_900))]
fn others_are_heard_before_a_quarantine(
    #[case] answered_ms: Option<(u64, u64)>,
    #[case] begins_ms: Option<u64>,
) {
    let mut quarantine = Quarantine::new(3, PERIOD);
    quarantine.set_instances(2);
    let losses = [1, 2, 3].map(loss);
    let begun = quarantine.record(Time::from_secs(1), &losses);
    assert!(begun.is_empty());
    if let Some((earliest, latest)) = answered_ms {
        let (earliest, latest) = (Time::from_millis(earliest), Time::from_millis(latest));
        quarantine.record_remote_answer(earliest, latest, FINGERPRINT);
    }
    let mut steps = (1_100..5_000).step_by(100);
    let begins = steps.find(|ms| !quarantine.begin_due(Time::from_millis(*ms)).is_empty());
    assert_eq!(begins, begins_ms);
}

/// Guards against DENIED: where targets died all the time, an innocent request was quarantined after three losses.
#[rstest]
#[case::targets_are_sound(0, true, 3)]
#[case::one_dies(1, true, 4)]
#[case::a_fifth_is_lost(20, true, 9)]
#[case::never_answered(20, false, 3)]
fn more_losses_are_needed_where_targets_die(
    #[case] deaths: u64,
    #[case] was_answered: bool,
    #[case] needed: u64,
) {
    let mut quarantine = Quarantine::new(3, PERIOD);
    for fingerprint in u64::from(was_answered)..80 {
        quarantine.record_answer(Time::ZERO, 1_000 + fingerprint);
    }
    if was_answered {
        quarantine.record_answer(Time::ZERO, FINGERPRINT);
    }
    lose_targets(&mut quarantine, deaths);
    let now = Time::from_secs(5);
    let begins = (1..=32).find(|digest| !quarantine.record(now, &[loss(*digest)]).is_empty());
    assert_eq!(begins, Some(needed));
}

/// Guards against DENIED: the answer to a request that nobody asks for again took the place of a page's, which
/// then was quarantined after three losses though targets died all the time.
#[rstest]
#[case::beside_one_other(79, 1, 9)]
#[case::beside_fewer_others_than_answers(50, 30, 9)]
#[case::long_ago(20, 300, 3)]
fn page_that_was_answered_often_is_remembered(
    #[case] answers: u64,
    #[case] others: u64,
    #[case] needed: u64,
) {
    const SLOTS: u64 = 1024;
    let mut quarantine = Quarantine::new(3, PERIOD);
    for _ in 0..answers {
        quarantine.record_answer(Time::ZERO, FINGERPRINT);
    }
    for other in 1..=others {
        quarantine.record_answer(Time::from_secs(1), FINGERPRINT + other * SLOTS);
    }
    lose_targets(&mut quarantine, 20);
    let now = Time::from_secs(5);
    let begins = (1..=32).find(|digest| !quarantine.record(now, &[loss(*digest)]).is_empty());
    assert_eq!(begins, Some(needed));
}

/// Guards against targets that a deadly request crashes while the others are asked about it.
#[test]
fn request_is_not_sent_while_others_are_heard() {
    let mut quarantine = Quarantine::new(2, PERIOD);
    quarantine.set_instances(2);
    let losses = [1, 2].map(loss);
    quarantine.record(Time::ZERO, &losses);
    let left = |quarantine: &Quarantine, at| quarantine.hearing_left(at, FINGERPRINT);
    assert!(left(&quarantine, Time::from_millis(100)).is_some());
    assert_eq!(left(&quarantine, Time::from_secs(1)), None);
    let answered_at = Time::from_millis(100);
    quarantine.record_remote_answer(answered_at, answered_at, FINGERPRINT);
    assert_eq!(left(&quarantine, answered_at), None);
}

/// Guards against DENIED: where targets died all the time, a page was refused while the others were asked
/// it, though for its quarantine it hadn't been lost often enough.
#[rstest]
#[case::too_few_losses(8, false)]
#[case::enough_losses(9, true)]
fn page_is_sent_while_it_has_too_few_losses(#[case] losses: u64, #[case] is_refused: bool) {
    let mut quarantine = Quarantine::new(3, PERIOD);
    quarantine.set_instances(2);
    for _ in 0..80 {
        quarantine.record_answer(Time::ZERO, FINGERPRINT);
    }
    lose_targets(&mut quarantine, 20);
    let now = Time::from_secs(5);
    for target_digest in 1..=losses {
        quarantine.record(now, &[loss(target_digest)]);
    }
    assert_eq!(
        quarantine.hearing_left(now, FINGERPRINT).is_some(),
        is_refused
    );
}

/// Guards against DENIED: a page that had just turned deadly explained no losses for 2 s after its last answer, so
/// another page that was lost with it was quarantined.
#[test]
fn page_that_turns_deadly_explains_what_is_lost_with_it() {
    const OTHER: u64 = 500;
    let mut quarantine = Quarantine::new(3, PERIOD);
    quarantine.record_answer(Time::ZERO, FINGERPRINT);
    let now = Time::from_secs(1);
    let deadly = [1, 2, 3, 4].map(loss);
    let other = [1, 2, 3].map(|target_digest| {
        let fingerprint = OTHER;
        LossReport::from(ConnectionLoss {
            fingerprint,
            target_digest,
        })
    });
    assert!(quarantine.record(now, &deadly).is_empty());
    assert!(quarantine.record(now, &other).is_empty());
    assert_eq!(
        quarantine.begin_due(Time::from_millis(2_500)),
        [FINGERPRINT]
    );
}

fn loss(target_digest: u64) -> LossReport {
    LossReport::from(ConnectionLoss {
        fingerprint: FINGERPRINT,
        target_digest,
    })
}

/// Targets die with other requests.
fn lose_targets(quarantine: &mut Quarantine, deaths: u64) {
    for target_digest in 100..100 + deaths {
        let loss = ConnectionLoss {
            fingerprint: 2_000 + target_digest,
            target_digest,
        };
        quarantine.count_own(Time::ZERO, &[loss.into()]);
    }
}
