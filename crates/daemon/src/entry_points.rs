//! The entry points that look-ups may return.

use std::collections::BTreeSet;

use base::{Config, Time};
use entry::view::EntryPoint;

use crate::fleet::Fleet;

/// Returns the entry points that look-ups may return, including `own`: instances that are alive,
/// not leaving and not drained.
///
/// Instances without a path to the targets are left out if others in their region have one.
pub(crate) fn entry_points(
    now: Time,
    fleet: &Fleet,
    config: Option<&Config>,
    own: Option<&EntryPoint>,
) -> Vec<EntryPoint> {
    let is_drained = |entry: &EntryPoint| {
        config.is_some_and(|config| {
            config.drains.instances.contains(&entry.instance)
                || config.is_domain_drained(&entry.domain)
        })
    };
    let others = fleet.members.iter().filter_map(|(id, member)| {
        let is_available = member.is_alive(now) && !member.is_leaving;
        is_available.then_some(EntryPoint {
            instance: id.clone(),
            incarnation: member.incarnation?,
            domain: member.domain.clone(),
            addr: member.entry?,
        })
    });
    let entries: Vec<EntryPoint> = others
        .chain(own.cloned())
        .filter(|entry| !is_drained(entry))
        .collect();
    preferred(entries, config, |entry| {
        fleet.has_target_path(&entry.instance)
    })
}

/// Returns the entry points that `is_of_use` accepts, and those of regions in which it accepts none.
pub(crate) fn preferred<P>(
    mut entries: Vec<EntryPoint>,
    config: Option<&Config>,
    is_of_use: P,
) -> Vec<EntryPoint>
where
    P: Fn(&EntryPoint) -> bool,
{
    let region_of = |entry: &EntryPoint| config.and_then(|config| config.region_of(&entry.domain));
    let useful = entries.iter().filter(|entry| is_of_use(entry));
    let regions: BTreeSet<_> = useful.map(region_of).collect();
    entries.retain(|entry| is_of_use(entry) || !regions.contains(&region_of(entry)));
    entries
}
