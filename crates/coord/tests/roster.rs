//! Who is there: a lagging list, heartbeats, and what proves that an instance has ended.

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

fn beat(id: &str) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        incarnation: Incarnation(1),
        domain: "d".into(),
        is_leaving: false,
        version: 1,
        confirmation_age: None,
    }
}

fn roster() -> Membership {
    Membership::new(Duration::from_secs(40), Duration::from_secs(2))
}

#[test]
fn roster_newcomer_missing_from_a_stale_list_is_not_gone() {
    let mut roster = roster();
    roster.on_heartbeat(Time::from_secs(1), &beat("new"));
    for second in 2..100 {
        roster.on_list(Time::from_secs(second), &[entry("old")]);
    }
    assert!(!roster.is_gone(Time::from_secs(100), &"new".into()));
}

#[test]
fn roster_short_absence_by_a_stale_list_is_no_proof() {
    let mut roster = roster();
    roster.on_list(Time::from_secs(1), &[entry("a")]);
    roster.on_list(Time::from_secs(2), &[]);
    roster.on_list(Time::from_secs(32), &[entry("a")]);
    roster.on_list(Time::from_secs(33), &[]);
    assert!(!roster.is_gone(Time::from_secs(60), &"a".into()));
    assert!(roster.is_gone(Time::from_secs(73), &"a".into()));
}

#[test]
fn roster_heartbeat_after_absence_takes_the_proof_back() {
    let mut roster = roster();
    roster.on_list(Time::from_secs(1), &[entry("a")]);
    roster.on_list(Time::from_secs(2), &[]);
    roster.on_heartbeat(Time::from_secs(30), &beat("a"));
    assert!(!roster.is_gone(Time::from_secs(100), &"a".into()));
}

#[test]
fn roster_undated_heartbeat_shows_no_life() {
    let mut roster = roster();
    roster.on_undated_heartbeat(&beat("a"));
    assert!(!roster.has_recent_heartbeat(Time::ZERO, &"a".into()));
    assert!(roster.serving(Time::ZERO).is_empty());
}

#[test]
fn rank_spreads_names_and_moves_few() {
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
    let roster: Vec<InstanceId> = (0..50).map(|idx| format!("i{idx:02}").into()).collect();
    let root = &roster[17];
    let mut reached = vec![root.clone()];
    let mut at = 0;
    while at < reached.len() {
        reached.extend(children(&roster, root, &reached[at], FanOut { degree: 3 }));
        at += 1;
    }
    reached.sort();
    assert_eq!(reached, roster);
}
