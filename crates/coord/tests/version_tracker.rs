//! Active versions never decrease, and their freshness is known.

use std::time::Duration;

use base::Time;
use coord::{Freshness, Head, OfferOutcome, VersionTracker};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

fn head(version: u64) -> Head {
    Head {
        version,
        digest: format!("d{version}"),
    }
}

fn active(version: u64) -> VersionTracker {
    let mut tracker = VersionTracker::new(Duration::from_secs(4));
    tracker.activate(Time::from_secs(10), head(version));
    tracker
}

#[rstest]
#[case::newer(head(4), OfferOutcome::Fetch)]
#[case::same(head(3), OfferOutcome::Active)]
#[case::older_from_a_relay(head(2), OfferOutcome::Older)]
#[case::forked(Head { version: 3, digest: "other".into() }, OfferOutcome::Forked)]
fn version_tracker_classifies_offers(#[case] offered: Head, #[case] expected: OfferOutcome) {
    assert_eq!(active(3).classify_offer(&offered), expected);
}

#[test]
fn version_tracker_rejected_stays_out_and_counts_as_known() {
    let mut tracker = active(3);
    tracker.reject(head(4));
    assert_eq!(tracker.classify_offer(&head(4)), OfferOutcome::Rejected);
    tracker.on_confirmation(Time::from_secs(20), 4);
    assert_eq!(
        tracker.freshness(Time::from_secs(21), 2, 0),
        Freshness::Fresh
    );
    assert!(tracker.activate(Time::from_secs(22), head(5)));
    assert_eq!(tracker.rejected(), None);
}

#[rstest]
#[case::fresh(13, 2, 0, Freshness::Fresh)]
#[case::store_unreachable_for_all(20, 2, 2, Freshness::Unconfirmed)]
#[case::one_peer_reachable(20, 2, 1, Freshness::Unconfirmed)]
#[case::isolated(20, 2, 0, Freshness::Isolated)]
#[case::only_instance(20, 0, 0, Freshness::Unconfirmed)]
fn version_tracker_freshness(
    #[case] now_s: u64,
    #[case] peers_known: usize,
    #[case] peers_reachable: usize,
    #[case] expected: Freshness,
) {
    assert_eq!(
        active(3).freshness(Time::from_secs(now_s), peers_known, peers_reachable),
        expected
    );
}

#[test]
fn version_tracker_never_decreases_in_random_schedules() {
    for seed in 0..200 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut tracker = VersionTracker::new(Duration::from_secs(4));
        let mut last = 0;
        for step in 0..200 {
            let offered = head(rng.random_range(1..40));
            if rng.random::<f64>() < 0.1 {
                tracker.reject(offered);
            } else if tracker.classify_offer(&offered) == OfferOutcome::Fetch {
                tracker.activate(Time::from_secs(step), offered);
            }
            assert!(tracker.version() >= last, "seed {seed}");
            last = tracker.version();
        }
    }
}
