//! What an owner can grant after its quota is set: the same as before, and a changed one.

use base::{Incarnation, InstanceId, Time};
use coord::{GrantRequest, Loan, Quota, QuotaOwner, QuotaSplit};
use rstest::rstest;

const SLOTS: u32 = 10;
const QUOTA: Quota = Quota {
    rate: 100.0,
    burst: 100.0,
};

/// Returns a split of which `reserved_share` is lent by others, without allowances for drift.
fn split(reserved_share: f64) -> QuotaSplit {
    QuotaSplit {
        reserved_share,
        slots: SLOTS,
        drift: 0.0,
        ..QuotaSplit::default()
    }
}

/// Returns an owner to which all reservations are lent, with `tokens` each.
fn owner(split: QuotaSplit, tokens: u32) -> QuotaOwner {
    let mut owner = QuotaOwner::borrowing(Time::ZERO, QUOTA, split, 1);
    owner.set_valid_until(Time::NEVER);
    for reservation in 0..SLOTS {
        let loan = Loan {
            reservation,
            serial: 1,
            tokens,
        };
        owner.on_loan(Time::ZERO, Incarnation(1), &loan, Time::ZERO);
    }
    owner
}

/// Returns the number of tokens that the owner grants of `waiting` ones, all spent at once.
fn grant(owner: &mut QuotaOwner, now: Time, serial: u64, waiting: u32) -> u32 {
    let request = GrantRequest {
        serial,
        waiting,
        wanted: waiting,
        usage: Vec::new(),
    };
    let from = InstanceId::from("i1");
    let grant = owner.on_request(now, &from, Incarnation(1), &request);
    grant.unwrap().tokens
}

/// Guards against lent tokens that were lost each time a configuration was applied, although it changed
/// nothing of the quota.
#[rstest]
#[case::all_lent(1.0)]
#[case::a_fifth_lent(0.2)]
#[case::none_lent(0.0)]
fn set_quota_keeps_tokens_of_unchanged_quota(#[case] reserved_share: f64) {
    let split = split(reserved_share);
    let tokens = split.reservation(QUOTA).burst as u32;
    let mut untouched = owner(split, tokens);
    let mut set = owner(split, tokens);
    let mut granted = (0, 0);
    for step in 1..=250 {
        let now = Time::from_millis(step * 10);
        set.set_quota(now, QUOTA);
        // One request every 50 ms, of less than the rate.
        if step % 5 == 0 {
            granted.0 += grant(&mut untouched, now, step, 4);
            granted.1 += grant(&mut set, now, step, 4);
        }
    }
    assert_eq!(granted, (200, 200), "of 200 wanted at 0.8 of the rate");
}

/// Guards against lent tokens that were lost as a quota changed: what the new one allows stays.
#[rstest]
#[case::raised(200.0, 100)]
#[case::same(100.0, 100)]
#[case::halved(50.0, 50)]
#[case::none(0.0, 0)]
fn set_quota_keeps_lent_tokens_within_new_burst(#[case] new: f64, #[case] expected: u32) {
    let mut owner = owner(split(1.0), 10);
    let whole = Quota {
        rate: new,
        burst: new,
    };
    owner.set_quota(Time::ZERO, whole);
    assert_eq!(grant(&mut owner, Time::ZERO, 1, 1_000), expected);
}

/// Tokens that are granted and may still be spent count against a changed quota's burst, too.
#[test]
fn set_quota_counts_outstanding_tokens() {
    let mut owner = owner(split(1.0), 10);
    assert_eq!(grant(&mut owner, Time::ZERO, 1, 30), 30);
    let whole = Quota {
        rate: 50.0,
        burst: 50.0,
    };
    owner.set_quota(Time::ZERO, whole);
    assert_eq!(grant(&mut owner, Time::ZERO, 2, 1_000), 20);
}
