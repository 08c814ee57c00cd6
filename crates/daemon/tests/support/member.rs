//! Other instances, as an instance knows them.

use coord::{Member, Presence};
use daemon::fleet::FleetMember;

/// Returns an instance that is listed, at no address, and hasn't sent a heartbeat.
pub(crate) fn listed_member() -> FleetMember {
    let member = Member {
        domain: "d".into(),
        presence: Presence::Listed,
        is_leaving: false,
        last_heartbeat_at: None,
        heartbeat: None,
    };
    FleetMember::new(&member, None)
}
