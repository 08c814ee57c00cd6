//! Loans that an owner returns before it ends, when some lenders don't learn of it: no token of theirs is
//! counted twice.

use std::time::Duration;

use base::{Incarnation, InstanceId, Time};
use coord::{
    AdmissionDecision, OwnerId, Quota, QuotaAudit, QuotaHolder, QuotaOwner, QuotaSplit, SlotHistory,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;

const SEEDS: u64 = 300;
const STEP: Duration = Duration::from_millis(5);
const END: Time = Time::from_secs(16);
/// Requests that wait at each instance for tokens.
const WAITING: u32 = 5;
const QUOTA: Quota = Quota {
    rate: 60.0,
    burst: 30.0,
};

/// Instances that ask for more than the quota allows. The one that owns the workspace leaves, another
/// one follows it, and so on.
struct Fleet {
    rng: Pcg32,
    split: QuotaSplit,
    holders: Vec<(InstanceId, QuotaHolder)>,
    /// Lenders that don't understand that loans are returned.
    older: Vec<bool>,
    owner: (OwnerId, QuotaOwner),
    audit: QuotaAudit,
    admitted: u64,
}

impl Fleet {
    fn start(seed: u64, older_share: f64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let slots = rng.random_range(2..8);
        let split = QuotaSplit {
            reserved_share: 1.0,
            slots,
            reservations_per_slot: rng.random_range(1..3),
            lends_only_surplus: rng.random(),
            loan_ttl: Duration::from_millis(rng.random_range(800..3_000)),
            ..QuotaSplit::default()
        };
        let mut holders = Vec::new();
        for slot in 0..slots {
            let mut holder = QuotaHolder::new(QUOTA, split);
            holder.hold_slot(Time::ZERO, slot, END, SlotHistory::NeverHeld);
            holders.push((format!("i{slot}").as_str().into(), holder));
        }
        let older = holders.iter().map(|_| rng.random_bool(older_share));
        let older = older.collect();
        let owner = new_owner(Time::ZERO, &holders[0].0, split, 1);
        let mut fleet = Self {
            rng,
            split,
            holders,
            older,
            owner,
            audit: QuotaAudit::new(QUOTA),
            admitted: 0,
        };
        fleet.announce_owner();
        fleet
    }

    fn announce_owner(&mut self) {
        for (_, holder) in &mut self.holders {
            holder.set_owner(Some(self.owner.0.clone()));
        }
    }

    /// Lets instances lend and ask, in a drawn order; in a rush they admit all they can, else what they
    /// have got stays unspent.
    fn step(&mut self, now: Time, is_rush: bool) {
        for _ in 0..self.holders.len() {
            let idx = self.rng.random_range(0..self.holders.len());
            let (id, holder) = &mut self.holders[idx];
            let owner = &mut self.owner.1;
            if self.rng.random_bool(0.1) {
                for loan in holder.lend(now) {
                    owner.on_loan(now, Incarnation(1), &loan, now);
                }
            }
            while is_rush && holder.admit(now) == AdmissionDecision::Admit {
                self.audit.record(now);
                self.admitted += 1;
            }
            if let Some(request) = holder.next_grant_request(now, WAITING)
                && let Some(grant) = owner.on_request(now, id, Incarnation(1), &request)
            {
                holder.on_grant(now, &grant);
            }
        }
    }

    /// The owner leaves; the lenders that understand it learn that their loans are returned.
    fn pass_on(&mut self, now: Time, epoch: u64) {
        self.owner.1.return_loans();
        for ((_, holder), is_older) in self.holders.iter_mut().zip(&self.older) {
            if !is_older {
                holder.on_loans_returned(now, &self.owner.0);
            }
        }
        let next = self.rng.random_range(0..self.holders.len());
        self.owner = new_owner(now, &self.holders[next].0, self.split, epoch);
        self.announce_owner();
    }
}

fn new_owner(now: Time, id: &InstanceId, split: QuotaSplit, epoch: u64) -> (OwnerId, QuotaOwner) {
    let instance = id.clone();
    let mut owner = QuotaOwner::borrowing(now, QUOTA, split, epoch);
    owner.set_valid_until(Time::NEVER);
    (OwnerId { instance, epoch }, owner)
}

/// Returns whether the quota was kept, and how many requests were admitted.
fn play(seed: u64, older_share: f64) -> (bool, u64) {
    let mut fleet = Fleet::start(seed, older_share);
    let mut next_pass = Time::from_millis(fleet.rng.random_range(500..4_000));
    let mut epoch = 1;
    let mut now = Time::ZERO;
    let mut rush = Time::ZERO..Time::ZERO;
    while now < END {
        if now >= next_pass {
            epoch += 1;
            fleet.pass_on(now, epoch);
            next_pass = now + Duration::from_millis(fleet.rng.random_range(100..4_000));
        }
        if now >= rush.end {
            let from = now + Duration::from_millis(fleet.rng.random_range(50..1_500));
            rush = from..from + Duration::from_millis(fleet.rng.random_range(5..100));
        }
        fleet.step(now, rush.contains(&now));
        now = now + STEP;
    }
    (fleet.audit.is_within_quota(), fleet.admitted)
}

/// QUOTA in an upgrade: what an older build lent is out until the loan is over, as if the owner had been
/// killed; what others lent comes back at once.
#[rstest]
#[case::no_older(0.0)]
#[case::half_older(0.5)]
#[case::all_older(1.0)]
fn returned_loans_are_not_counted_twice(#[case] older_share: f64) {
    let (mut broken, mut admitted) = (Vec::new(), 0);
    for seed in 0..SEEDS {
        let (is_kept, count) = play(seed, older_share);
        admitted += count;
        if !is_kept {
            broken.push(seed);
        }
    }
    assert!(broken.is_empty(), "{older_share}: {broken:?}");
    // A quarter of what the rate gives in that time.
    assert!(admitted > SEEDS * 240, "only {admitted}");
}
