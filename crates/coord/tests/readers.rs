//! Who reads a table for others: agreement without a vote, and reading oneself when reports grow old.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceId, RegionId, Time};
use coord::{ReaderTiming, Readers, Reading};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const MAX_AGE: Duration = Duration::from_millis(1_200);
const HOLD: Duration = Duration::from_millis(3_600);
const TIMING: ReaderTiming = ReaderTiming {
    per_region: 2,
    max_age: MAX_AGE,
    hold: HOLD,
    own_interval: Duration::from_millis(1_400),
    others_interval: Duration::from_millis(500),
};

fn fleet(instances: usize, regions: usize) -> BTreeMap<InstanceId, RegionId> {
    let ids = (0..instances).map(|idx| {
        let region = format!("r{}", idx % regions);
        (format!("i{idx}").into(), region.as_str().into())
    });
    ids.collect()
}

fn live(fleet: &BTreeMap<InstanceId, RegionId>) -> BTreeMap<&InstanceId, Option<&RegionId>> {
    fleet
        .iter()
        .map(|(id, region)| (id, Some(region)))
        .collect()
}

#[rstest]
#[case::ten_in_three_regions(10, 3, 0)]
#[case::grown(75, 3, 6)]
#[case::large(300, 4, 8)]
#[case::two_years_out(1_700, 8, 16)]
fn few_instances_read_for_others(
    #[case] instances: usize,
    #[case] regions: usize,
    #[case] wanted: usize,
) {
    let fleet = fleet(instances, regions);
    let now = Time::from_secs(9);
    let readers = fleet.keys().filter(|id| {
        let mut readers = Readers::new(TIMING);
        readers.on_report(now);
        match readers.decide(now, id, &live(&fleet)) {
            Reading::ForOthers => true,
            reading => {
                let is_small = wanted == 0;
                assert_eq!(reading == Reading::Own, is_small, "{id}");
                false
            }
        }
    });
    assert_eq!(readers.count(), wanted);
}

#[test]
fn instance_reads_itself_when_reports_are_old() {
    let fleet = fleet(75, 3);
    let live = live(&fleet);
    let mut readers = Readers::new(TIMING);
    let own = fleet
        .keys()
        .find(|id| {
            let mut readers = Readers::new(TIMING);
            readers.decide(Time::ZERO, id, &live) == Reading::Own
        })
        .unwrap();
    assert_eq!(readers.decide(Time::from_secs(1), own, &live), Reading::Own);
    let reported_at = Time::from_secs(2);
    readers.on_report(reported_at);
    assert_eq!(readers.decide(reported_at, own, &live), Reading::Own);
    let held_until = Time::from_secs(1) + HOLD;
    readers.on_report(held_until);
    assert_eq!(readers.decide(held_until, own, &live), Reading::OnReport);
    let old_from = readers.old_from().unwrap();
    assert_eq!(old_from, held_until + MAX_AGE);
    let before = old_from.before(Duration::from_millis(1));
    assert_eq!(readers.decide(before, own, &live), Reading::OnReport);
    assert_eq!(readers.decide(old_from, own, &live), Reading::Own);
}

/// However reports come, no instance relies on one that is too old.
#[test]
fn instance_relies_on_young_reports_alone_in_drawn_histories() {
    let fleet = fleet(75, 3);
    for seed in 0..300 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let own: InstanceId = format!("i{}", rng.random_range(0..75)).into();
        let mut readers = Readers::new(TIMING);
        let mut reported_at = None;
        let mut now = Time::ZERO;
        for _ in 0..200 {
            now = now + Duration::from_millis(rng.random_range(0..700));
            if rng.random_bool(0.6) {
                let at = now.before(Duration::from_millis(rng.random_range(0..2_000)));
                readers.on_report(at);
                reported_at = reported_at.max(Some(at));
            }
            let mut live = live(&fleet);
            live.retain(|_, _| rng.random_bool(0.9));
            let reading = readers.decide(now, &own, &live);
            let is_young = reported_at.is_some_and(|at| now - at < MAX_AGE);
            assert!(is_young || reading != Reading::OnReport, "seed {seed}");
        }
    }
}
