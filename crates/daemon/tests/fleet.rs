//! Snapshots of the other instances' state that are read after the reader was paused.

#[path = "support/member.rs"]
mod member;

use std::{collections::BTreeMap, time::Duration};

use base::Time;
use daemon::fleet::{Fleet, FleetMember};
use rstest::rstest;

use crate::member::listed_member;

fn member(alive_until: Time) -> FleetMember {
    FleetMember {
        version: 1,
        alive_until,
        owned_workspaces: vec![("club".into(), 7)],
        held_slots: Some(0),
        heartbeat_sequence: 1,
        format: 3,
        ..listed_member()
    }
}

fn fleet() -> Fleet {
    Fleet {
        members: BTreeMap::from([("i1".into(), member(Time::from_secs(10)))]),
        ..Fleet::default()
    }
}

#[test]
fn fleet_counts_by_the_readers_clock() {
    // A snapshot published before a pause must not make the others count as alive after it.
    assert_eq!(fleet().count_listed_and_alive(Time::from_secs(9)), (1, 1));
    assert_eq!(fleet().count_listed_and_alive(Time::from_secs(60)), (1, 0));
}

#[test]
fn fleet_owner_is_alive() {
    let (club, owner) = ("club".into(), "i1".into());
    let fleet = fleet();
    let owner_at = |secs: u64| fleet.acting_owners(Time::from_secs(secs)).first(&club);
    assert_eq!(owner_at(9), Some((&owner, 7)));
    assert_eq!(owner_at(60), None);
}

/// A silent instance may be cut off from this one alone and go on sending, so its shares are kept
/// for a while, as are those of one that this instance has not received a heartbeat from after its own start.
#[rstest]
#[case::alive(10, true, 9, true)]
#[case::silent(10, true, 17, true)]
#[case::silent_for_long(10, true, 19, false)]
#[case::silent_and_not_listed(10, false, 17, false)]
#[case::not_heard_yet(0, true, 5, true)]
#[case::never_heard(0, true, 9, false)]
fn fleet_keeps_shares(
    #[case] alive_until_s: u64,
    #[case] is_listed: bool,
    #[case] now_s: u64,
    #[case] is_kept: bool,
) {
    let member = FleetMember {
        is_listed,
        ..member(Time::from_secs(alive_until_s))
    };
    assert_eq!(member.may_send(Time::from_secs(now_s)), is_kept);
}

/// Guards against CONFIG: an instance whose heartbeats take long counts as alive until the next one has come, but not for
/// the time that a heartbeat waited while this instance stood still.
#[rstest]
#[case::prompt(0, 10_000)]
#[case::slow(1_500, 11_500)]
#[case::waited_here(60_000, 12_000)]
fn instance_is_heard_while_its_next_heartbeat_is_on_its_way(
    #[case] way_ms: u64,
    #[case] until_ms: u64,
) {
    let one = FleetMember {
        heartbeat_way: Duration::from_millis(way_ms),
        ..member(Time::from_secs(10))
    };
    assert!(one.is_heard(Time::from_millis(until_ms)));
    assert!(!one.is_heard(Time::from_millis(until_ms + 1)));
}

/// Guards against a quota slot that is taken in a new era of the store while an instance that doesn't know of it goes on
/// holding it: one that is silent here, has left the list of a copy, or is of an earlier build.
#[rstest]
#[case::alive_and_knows(5, 9, true, true)]
#[case::alive_in_earlier_era(4, 9, true, false)]
#[case::silent(5, 60, true, false)]
#[case::absent_from_the_list(5, 60, false, false)]
#[case::absent_beyond_its_lease(5, 131, false, true)]
fn fleet_knows_era(
    #[case] store_era: u32,
    #[case] now_s: u64,
    #[case] is_listed: bool,
    #[case] expected: bool,
) {
    let member = FleetMember {
        store_era,
        is_listed,
        ..member(Time::from_secs(10))
    };
    let fleet = Fleet {
        members: BTreeMap::from([("i1".into(), member)]),
        ..Fleet::default()
    };
    let lease = Duration::from_secs(120);
    assert_eq!(
        fleet.all_know_era(Time::from_secs(now_s), 5, lease),
        expected
    );
}
