//! Membership: a list that lags, heartbeats, and when an instance counts as ended; rendezvous ranks
//! and the fan-out tree.

use std::time::Duration;

use base::{Incarnation, InstanceId, Time};
use coord::{FanOut, Heartbeat, ListEntry, Membership, children, rendezvous_rank};

fn entry(id: &str) -> ListEntry {
    ListEntry {
        id: id.into(),
        domain: "d".into(),
        is_leaving: false,
    }
}

fn heartbeat(id: &str) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        incarnation: Incarnation(1),
        domain: "d".into(),
        is_leaving: false,
        version: 1,
        confirmation_age: None,
    }
}

fn membership() -> Membership {
    Membership::new(Duration::from_secs(40), Duration::from_secs(2))
}

#[test]
fn membership_newcomer_missing_from_a_stale_list_is_not_gone() {
    let mut membership = membership();
    membership.on_heartbeat(Time::from_secs(1), &heartbeat("new"));
    for second in 2..100 {
        membership.on_list(Time::from_secs(second), &[entry("old")]);
    }
    assert!(!membership.is_gone(Time::from_secs(100), &"new".into()));
}

#[test]
fn membership_short_absence_from_a_stale_list_is_not_gone() {
    let mut membership = membership();
    membership.on_list(Time::from_secs(1), &[entry("a")]);
    membership.on_list(Time::from_secs(2), &[]);
    membership.on_list(Time::from_secs(32), &[entry("a")]);
    membership.on_list(Time::from_secs(33), &[]);
    assert!(!membership.is_gone(Time::from_secs(60), &"a".into()));
    assert!(membership.is_gone(Time::from_secs(73), &"a".into()));
}

#[test]
fn membership_heartbeat_after_absence_counts_as_alive() {
    let mut membership = membership();
    membership.on_list(Time::from_secs(1), &[entry("a")]);
    membership.on_list(Time::from_secs(2), &[]);
    membership.on_heartbeat(Time::from_secs(30), &heartbeat("a"));
    assert!(!membership.is_gone(Time::from_secs(100), &"a".into()));
}

#[test]
fn membership_undated_heartbeat_does_not_count_as_alive() {
    let mut membership = membership();
    membership.on_undated_heartbeat(&heartbeat("a"));
    assert!(!membership.has_recent_heartbeat(Time::ZERO, &"a".into()));
    assert!(membership.serving(Time::ZERO).is_empty());
}

#[test]
fn rendezvous_rank_spreads_names_and_moves_few() {
    let members: Vec<InstanceId> = (0..10).map(|idx| format!("i{idx}").into()).collect();
    let first = |name: &str, members: &[InstanceId]| {
        members
            .iter()
            .find(|id| rendezvous_rank(name, members, id) == Some(0))
            .cloned()
            .unwrap()
    };
    let names: Vec<String> = (0..200).map(|idx| format!("w{idx}")).collect();
    let moved = names
        .iter()
        .filter(|name| first(name, &members) != first(name, &members[..9]))
        .count();
    let of_last = names
        .iter()
        .filter(|name| first(name, &members) == members[9])
        .count();
    assert_eq!(moved, of_last);
    assert!((5..50).contains(&of_last), "{of_last}");
}

#[test]
fn fanout_reaches_every_member_once() {
    let members: Vec<InstanceId> = (0..50).map(|idx| format!("i{idx:02}").into()).collect();
    let root = &members[17];
    let mut reached = vec![root.clone()];
    let mut next = 0;
    while next < reached.len() {
        reached.extend(children(
            &members,
            root,
            &reached[next],
            FanOut { degree: 3 },
        ));
        next += 1;
    }
    reached.sort();
    assert_eq!(reached, members);
}
