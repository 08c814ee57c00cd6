//! The times that requests take in each region, as measured from here.

use std::{collections::BTreeMap, time::Duration};

use base::{RegionId, Time};
use dispatch::{Outcome, RegionShares};

use crate::support::{assignments, config, dispatcher, request};

/// Requests take 300 ms here and 50 ms in the other region, which is 110 ms away.
#[test]
fn stats_tell_the_time_of_each_region_without_the_way() {
    let mut dispatcher = dispatcher(&config(4), 1);
    let shares = BTreeMap::from([("r0".into(), 0.5), ("r1".into(), 0.5)]);
    dispatcher.set_region_shares(&"s".into(), RegionShares { shares });
    for target in ["t1", "t3"] {
        let way = Duration::from_millis(110);
        dispatcher.record_connect_time(&"s".into(), &target.into(), way);
    }
    for id in 0..100 {
        let now = Time::from_secs(1 + id);
        let object = id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let actions = dispatcher.submit(now, request(now, id, object));
        for assignment in assignments(&actions) {
            let is_here = assignment.region.as_str() == "r0";
            let latency = Duration::from_millis(if is_here { 300 } else { 160 });
            let outcome = Outcome::Answered(latency);
            dispatcher.finish(now + latency, assignment.id, assignment.attempt, outcome);
        }
    }
    let stats = dispatcher.pool_stats().remove(0);
    let time = |region: &str| stats.region_service_times[&RegionId::from(region)].as_millis();
    assert_eq!((time("r0"), time("r1")), (300, 50));
}
