//! Exhaustive search of a small model of a quota: a reservation, its loans, owners that follow each other, and grants.

use std::time::Duration;

use coord::{Quota, QuotaSplit};
use proof::{
    explore::{Exploration, explore, key_of_description},
    quota_model::{QuotaAction, QuotaEvents, QuotaFlaw, QuotaModel, QuotaWorld},
};
use rstest::rstest;

const QUOTA: Quota = Quota {
    rate: 1.0,
    burst: 2.0,
};
const SLOW: u64 = 980;
const FAST: u64 = 1_020;
/// Maximum number of states of a search in CI.
const MAX_STATES: usize = 200_000;
const NONE: QuotaEvents = QuotaEvents {
    loans: 0,
    requests: 1,
    owner_changes: 0,
    slot_changes: 0,
    restarts: 0,
};

fn model(clock_rates: [u64; 3], events: QuotaEvents, steps_ms: &[u64]) -> QuotaModel {
    let steps = steps_ms.iter().copied().map(Duration::from_millis);
    QuotaModel {
        clock_rates,
        quota: QUOTA,
        split: QuotaSplit {
            reserved_share: 1.0,
            slots: 1,
            drift: 0.02,
            ..QuotaSplit::default()
        },
        events,
        steps: steps.collect(),
        flaw: None,
    }
}

fn search(model: &QuotaModel) -> Exploration<QuotaAction> {
    let next = |world: &QuotaWorld| model.next(world);
    let check = |world: &QuotaWorld| model.broken_rule(world);
    let start = vec![model.start()];
    let found = explore(start, MAX_STATES, next, key_of_description, check);
    let (states, actions, depth) = (found.states, found.actions, found.depth);
    let (events, steps) = (model.events, &model.steps);
    println!("{states} states, {actions} actions, {depth} deep: {events:?} {steps:?}");
    found
}

/// Guards against tokens of a reservation, a loan or a grant that are counted twice, in all schedules of these events.
#[rstest]
#[case::loans([SLOW, FAST, FAST], QuotaEvents { loans: 2, ..NONE }, &[5_300])]
#[case::owners([SLOW, FAST, FAST], QuotaEvents { loans: 1, owner_changes: 1, ..NONE }, &[1_050])]
#[case::slots([SLOW, FAST, SLOW], QuotaEvents { loans: 1, slot_changes: 1, ..NONE }, &[1_050, 5_300])]
#[case::restarts([FAST, FAST, SLOW], QuotaEvents { loans: 1, restarts: 1, ..NONE }, &[5_300])]
fn tokens_are_counted_once_in_all_schedules(
    #[case] clock_rates: [u64; 3],
    #[case] events: QuotaEvents,
    #[case] steps_ms: &[u64],
) {
    let found = search(&model(clock_rates, events, steps_ms));
    assert_eq!(found.broken, None);
    assert!(found.is_complete, "{} states", found.states);
}

/// Guards against a search that finds nothing because it looks at nothing.
#[rstest]
#[case::history_forgotten(QuotaFlaw::HistoryForgotten, QuotaEvents { slot_changes: 1, ..NONE })]
#[case::loans_dated_by_arrival(QuotaFlaw::LoansDatedByArrival, QuotaEvents { loans: 1, ..NONE })]
fn flaw_is_found(#[case] flaw: QuotaFlaw, #[case] events: QuotaEvents) {
    let steps = [6_400];
    let model = QuotaModel {
        flaw: Some(flaw),
        ..model([SLOW, FAST, FAST], events, &steps)
    };
    assert!(search(&model).broken.is_some());
}
