//! Reservations of a newly acquired slot: how many tokens they start with.

use std::time::Duration;

use base::{Time, UNLIMITED_RATE};
use coord::{AdmissionDecision, OwnerId, Quota, QuotaHolder, QuotaSplit, SlotHistory};
use rstest::rstest;

/// Returns how many requests are admitted at once after a slot is acquired at `now`.
fn admitted(now: Time, history: SlotHistory) -> u32 {
    let split = QuotaSplit {
        reserved_share: 1.0,
        slots: 1,
        reservations_per_slot: 2,
        lends_only_surplus: true,
        loan_ttl: Duration::from_millis(1_200),
        ..QuotaSplit::default()
    };
    let quota = Quota {
        rate: 10.0,
        burst: 10.0,
    };
    let mut holder = QuotaHolder::new(quota, split);
    holder.hold_slot(now, 0, Time::from_secs(600), history);
    (0..50)
        .take_while(|_| holder.admit(now) == AdmissionDecision::Admit)
        .count() as u32
}

/// One of the two reservations is never lent; the previous holder may have lent the other one.
/// Each has half of the rate and the burst.
#[rstest]
#[case::never_held(SlotHistory::NeverHeld, 0, 10)]
#[case::just_ended(SlotHistory::EndedBy(Time::from_millis(60_000)), 60_000, 0)]
#[case::ended_before_this_start(SlotHistory::EndedBy(Time::ZERO), 700, 3)]
#[case::unlent_half_refilled(SlotHistory::EndedBy(Time::ZERO), 1_400, 5)]
#[case::long_ago(SlotHistory::EndedBy(Time::ZERO), 60_000, 10)]
fn holder_reservation_starts_with_unspent_tokens(
    #[case] history: SlotHistory,
    #[case] now_ms: u64,
    #[case] expected: u32,
) {
    assert_eq!(admitted(Time::from_millis(now_ms), history), expected);
}

/// Guards against requests of a workspace without a limit that were refused as over its rate: the instance held no slot, or
/// received nothing from another instance after it had lent what it held.
#[rstest]
#[case::without_slot(false)]
#[case::lent_to_a_lost_owner(true)]
fn holder_admits_without_limit(#[case] has_lent: bool) {
    let now = Time::from_secs(1);
    let quota = Quota {
        rate: UNLIMITED_RATE,
        burst: UNLIMITED_RATE,
    };
    let mut holder = QuotaHolder::new(quota, QuotaSplit::default());
    if has_lent {
        holder.hold_slot(now, 0, Time::NEVER, SlotHistory::NeverHeld);
        let owner = OwnerId {
            instance: "other".into(),
            epoch: 1,
        };
        holder.set_owner(Some(owner));
        assert!(!holder.lend(now).is_empty());
        holder.set_owner(None);
    }
    assert_eq!(holder.admit(now), AdmissionDecision::Admit);
    assert!(holder.try_take(now));
}
