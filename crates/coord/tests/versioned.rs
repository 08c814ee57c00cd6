//! Versions only rise, and an instance knows how fresh its view is.

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

fn in_force(version: u64) -> VersionTracker {
    let mut state = VersionTracker::new(Duration::from_secs(4));
    state.activate(Time::from_secs(10), head(version));
    state
}

#[rstest]
#[case::newer(head(4), OfferOutcome::Fetch)]
#[case::same(head(3), OfferOutcome::Active)]
#[case::older_from_a_relay(head(2), OfferOutcome::Older)]
#[case::forked(Head { version: 3, digest: "other".into() }, OfferOutcome::Forked)]
fn versioned_offers(#[case] offered: Head, #[case] expected: OfferOutcome) {
    assert_eq!(in_force(3).classify_offer(&offered), expected);
}

#[test]
fn versioned_rejected_stays_out_and_counts_as_known() {
    let mut state = in_force(3);
    state.reject(head(4));
    assert_eq!(state.classify_offer(&head(4)), OfferOutcome::Rejected);
    state.on_confirmation(Time::from_secs(20), 4);
    assert_eq!(state.freshness(Time::from_secs(21), 2, 0), Freshness::Fresh);
    assert!(state.activate(Time::from_secs(22), head(5)));
    assert_eq!(state.rejected(), None);
}

#[rstest]
#[case::fresh(13, 2, 0, Freshness::Fresh)]
#[case::store_gone_for_all(20, 2, 2, Freshness::Unconfirmed)]
#[case::one_peer_heard(20, 2, 1, Freshness::Unconfirmed)]
#[case::cut_from_all(20, 2, 0, Freshness::Isolated)]
#[case::only_instance(20, 0, 0, Freshness::Unconfirmed)]
fn versioned_standing(
    #[case] now_s: u64,
    #[case] known: usize,
    #[case] heard: usize,
    #[case] expected: Freshness,
) {
    assert_eq!(
        in_force(3).freshness(Time::from_secs(now_s), known, heard),
        expected
    );
}

#[test]
fn versioned_never_falls_in_drawn_schedules() {
    for seed in 0..200 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut state = VersionTracker::new(Duration::from_secs(4));
        let mut last = 0;
        for step in 0..200 {
            let offered = head(rng.random_range(1..40));
            if rng.random::<f64>() < 0.1 {
                state.reject(offered);
            } else if state.classify_offer(&offered) == OfferOutcome::Fetch {
                state.activate(Time::from_secs(step), offered);
            }
            assert!(state.version() >= last, "seed {seed}");
            last = state.version();
        }
    }
}
