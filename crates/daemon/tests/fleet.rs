//! Snapshots of the other instances' state that are read after the reader was paused.

use std::collections::BTreeMap;

use base::Time;
use daemon::fleet::{Fleet, FleetMember};

fn member(alive_until: Time) -> FleetMember {
    FleetMember {
        domain: "d".into(),
        addr: None,
        entry: None,
        incarnation: None,
        version: 1,
        alive_until,
        is_leaving: false,
        is_listed: true,
        is_gone: false,
        owned_workspaces: vec![("club".into(), 7)],
        held_slots: Some(0),
        heartbeat_sequence: 1,
        demand: Vec::new(),
        pinned_demand: Vec::new(),
    }
}

fn fleet() -> Fleet {
    Fleet {
        members: BTreeMap::from([("i1".into(), member(Time::from_secs(10)))]),
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
    assert_eq!(fleet().owner(Time::from_secs(9), &club), Some((&owner, 7)));
    assert_eq!(fleet().owner(Time::from_secs(60), &club), None);
}
