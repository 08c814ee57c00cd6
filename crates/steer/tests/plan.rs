//! Plans keep regions within their planned utilization and shifts within the cap.

use std::collections::BTreeMap;

use base::RegionId;
use proptest::{collection::vec, prelude::*};
use steer::{
    BlockTable, Measurements, PlanPolicy, Shares, ShiftLimiter, desired_shares, moved_share, plan,
    without_region,
};

fn region(idx: usize) -> RegionId {
    format!("r{idx}").into()
}

fn measurements(demand: &[f64], capacity: &[f64]) -> Measurements {
    let map = |values: &[f64]| {
        values
            .iter()
            .enumerate()
            .map(|(idx, value)| (region(idx), *value))
            .collect()
    };
    Measurements {
        demand: map(demand),
        capacity: map(capacity),
        egress_capacity: map(&vec![1e9; demand.len()]),
        ..Measurements::default()
    }
}

/// Returns the load of each region under the given shares, in requests per second.
fn loads(
    measurements: &Measurements,
    shares: &BTreeMap<RegionId, Shares>,
) -> BTreeMap<RegionId, f64> {
    let mut loads = BTreeMap::new();
    for (origin, shares) in shares {
        for (to, share) in shares {
            *loads.entry(to.clone()).or_insert(0.0) += share * measurements.demand[origin];
        }
    }
    loads
}

fn assert_no_overload(
    measurements: &Measurements,
    policy: PlanPolicy,
) -> Result<(), TestCaseError> {
    let shares = desired_shares(measurements, policy);
    let capacity: f64 = measurements.capacity.values().sum();
    let demand: f64 = measurements.demand.values().sum();
    // The target utilization, or more where the total demand needs it, never over capacity.
    let utilization = (demand / capacity).clamp(policy.target_utilization, 1.0);
    for (region, load) in loads(measurements, &shares) {
        let cap = measurements.capacity[&region] * utilization;
        if demand <= capacity {
            prop_assert!(load <= cap + 1e-6, "{region}: {load} of {cap}");
        } else {
            // Demand that fits nowhere stays in its own region, where it is refused.
            let own = measurements.demand.get(&region).copied().unwrap_or(0.0);
            prop_assert!(
                load <= cap.max(own) + 1e-6,
                "{region}: {load} of {cap}, own {own}"
            );
        }
    }
    for shares in shares.values() {
        prop_assert!((shares.values().sum::<f64>() - 1.0).abs() < 1e-6);
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn plan_overloads_no_region(
        demand in vec(0.0..1000.0f64, 3..8),
        capacity in vec(1.0..1000.0f64, 8),
    ) {
        let measurements = measurements(&demand, &capacity[..demand.len()]);
        assert_no_overload(&measurements, PlanPolicy::default())?;
    }

    #[test]
    fn plan_contingencies_overload_no_region(
        demand in vec(0.0..1000.0f64, 3..8),
        capacity in vec(1.0..1000.0f64, 8),
        lost in 0usize..3,
    ) {
        let measurements = measurements(&demand, &capacity[..demand.len()]);
        let remaining = without_region(&measurements, &region(lost));
        assert_no_overload(&remaining, PlanPolicy::default())?;
        let planned = plan(&measurements, PlanPolicy::default());
        let contingency = &planned.contingencies[&region(lost)];
        prop_assert!(contingency.values().all(|shares| !shares.contains_key(&region(lost))));
    }

    #[test]
    fn shift_limiter_keeps_to_the_cap_in_every_minute(
        targets in vec(0.0..1.0f64, 5..40),
        step_s in 0.5..20.0f64,
        cap in 0.01..0.5f64,
    ) {
        let mut limiter = ShiftLimiter::default();
        let mut shares = Shares::from([(region(0), 1.0)]);
        let mut moves: Vec<(f64, f64)> = Vec::new();
        for (idx, target) in targets.iter().enumerate() {
            let now_s = idx as f64 * step_s;
            let new = Shares::from([(region(0), 1.0 - target), (region(1), *target)]);
            let policy = PlanPolicy { shift_cap: cap, ..PlanPolicy::default() };
            let next = limiter.step(now_s, &shares, &new, policy);
            moves.push((now_s, moved_share(&shares, &next)));
            shares = next;
            let in_minute: f64 = moves
                .iter()
                .filter(|(at, _)| now_s - at < 60.0)
                .map(|(_, moved)| moved)
                .sum();
            prop_assert!(in_minute <= cap + 1e-6, "{in_minute} of {cap}");
        }
    }

    #[test]
    fn blocks_agree_with_an_ordered_map(
        blocks in vec((any::<u32>(), any::<u16>()), 0..200),
        clients in vec(any::<u32>(), 50),
    ) {
        let mut map = BTreeMap::new();
        for (start, site) in &blocks {
            map.entry(*start).or_insert(*site);
        }
        let unique: Vec<(u32, u16)> = map.iter().map(|(start, site)| (*start, *site)).collect();
        let table = BlockTable::new(unique);
        for client in clients {
            let expected = map.range(..=client).next_back().map(|(_, site)| *site);
            prop_assert_eq!(table.site(client.into()), expected);
        }
    }
}

/// Guards against planning other traffic into capacity that is needed for pinned demand.
#[test]
fn plan_reserves_capacity_for_pinned_demand() {
    let regions = ["a", "b"];
    let mut measurements = Measurements::default();
    for region in regions {
        measurements.demand.insert(region.into(), 50.0);
        measurements.capacity.insert(region.into(), 100.0);
        measurements.egress_capacity.insert(region.into(), 1_000.0);
    }
    let policy = PlanPolicy {
        target_utilization: 0.6,
        ..PlanPolicy::default()
    };
    let free = desired_shares(&measurements, policy);
    assert_eq!(free["a"].len(), 1);
    measurements.pinned_demand.insert("a".into(), 80.0);
    let shares = desired_shares(&measurements, policy);
    let local_share = shares["a"].get("a").copied().unwrap_or(0.0);
    assert!(local_share * 50.0 <= 20.0, "{shares:?}");
    assert!(shares["a"]["b"] >= 0.6, "{shares:?}");
}
