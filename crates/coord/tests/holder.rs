//! What a floor begins with, by who has held it before.

use std::time::Duration;

use base::Time;
use coord::{AdmissionDecision, Quota, QuotaHolder, QuotaSplit, SlotHistory};
use rstest::rstest;

/// Requests admitted at once by a holder of one slot that is taken up at `now`.
fn admitted(now: Time, before: SlotHistory) -> u32 {
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
    holder.hold_slot(now, 0, Time::from_secs(600), before);
    (0..50)
        .take_while(|_| holder.admit(now) == AdmissionDecision::Admit)
        .count() as u32
}

/// Of 10 a second with a burst of 10 one half is kept and one half may have been lent.
#[rstest]
#[case::nobody(SlotHistory::NeverHeld, 0, 10)]
#[case::just_ended(SlotHistory::EndedBy(Time::from_millis(60_000)), 60_000, 0)]
#[case::ended_before_this_start(SlotHistory::EndedBy(Time::ZERO), 700, 3)]
#[case::kept_half_refilled(SlotHistory::EndedBy(Time::ZERO), 1_400, 5)]
#[case::long_ago(SlotHistory::EndedBy(Time::ZERO), 60_000, 10)]
fn holder_floor_begins_with_what_nobody_spent(
    #[case] before: SlotHistory,
    #[case] now_ms: u64,
    #[case] expected: u32,
) {
    assert_eq!(admitted(Time::from_millis(now_ms), before), expected);
}
