//! Versions only rise, and an instance knows how fresh its view is.

use std::time::Duration;

use base::Time;
use coord::{Head, Offer, Standing, Versioned};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

fn head(version: u64) -> Head {
    Head {
        version,
        digest: format!("d{version}"),
    }
}

fn in_force(version: u64) -> Versioned {
    let mut state = Versioned::new(Duration::from_secs(4));
    state.put_in_force(Time::from_secs(10), head(version));
    state
}

#[rstest]
#[case::newer(head(4), Offer::Fetch)]
#[case::same(head(3), Offer::InForce)]
#[case::older_from_a_relay(head(2), Offer::Older)]
#[case::forked(Head { version: 3, digest: "other".into() }, Offer::Forked)]
fn versioned_offers(#[case] offered: Head, #[case] expected: Offer) {
    assert_eq!(in_force(3).offered(&offered), expected);
}

#[test]
fn versioned_rejected_stays_out_and_counts_as_known() {
    let mut state = in_force(3);
    state.reject(head(4));
    assert_eq!(state.offered(&head(4)), Offer::Rejected);
    state.confirmed(Time::from_secs(20), 4);
    assert_eq!(state.standing(Time::from_secs(21), 2, 0), Standing::Fresh);
    assert!(state.put_in_force(Time::from_secs(22), head(5)));
    assert_eq!(state.rejected(), None);
}

#[rstest]
#[case::fresh(13, 2, 0, Standing::Fresh)]
#[case::store_gone_for_all(20, 2, 2, Standing::Unconfirmed)]
#[case::one_peer_heard(20, 2, 1, Standing::Unconfirmed)]
#[case::cut_from_all(20, 2, 0, Standing::Alone)]
#[case::only_instance(20, 0, 0, Standing::Unconfirmed)]
fn versioned_standing(
    #[case] now_s: u64,
    #[case] known: usize,
    #[case] heard: usize,
    #[case] expected: Standing,
) {
    assert_eq!(
        in_force(3).standing(Time::from_secs(now_s), known, heard),
        expected
    );
}

#[test]
fn versioned_never_falls_in_drawn_schedules() {
    for seed in 0..200 {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut state = Versioned::new(Duration::from_secs(4));
        let mut last = 0;
        for step in 0..200 {
            let offered = head(rng.random_range(1..40));
            if rng.random::<f64>() < 0.1 {
                state.reject(offered);
            } else if state.offered(&offered) == Offer::Fetch {
                state.put_in_force(Time::from_secs(step), offered);
            }
            assert!(state.version() >= last, "seed {seed}");
            last = state.version();
        }
    }
}
