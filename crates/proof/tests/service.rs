//! Dispatch and steering against the stated objectives, at the sizes of two example deployments.

use std::time::Duration;

use proof::service::{Incident, Measures, Scenario, Strategy, TargetSelection, run};
use rstest::rstest;

/// Time at which incidents begin.
const AT: Duration = Duration::from_secs(10);
/// Duration of a flood.
const LENGTH: Duration = Duration::from_secs(20);
/// Time between two reports of a target.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the scenario of the example deployment Presa Verde.
fn presa() -> Scenario {
    Scenario::default()
}

/// Returns the scenario of the example deployment Cascade Loop.
fn cascade() -> Scenario {
    Scenario {
        slots: 4,
        region_delay: Duration::from_millis(20),
        client_delay: Duration::from_millis(8),
        ..Scenario::default()
    }
}

fn with(base: Scenario, load: f64, incidents: &[Incident]) -> Scenario {
    Scenario {
        load,
        incidents: incidents.to_vec(),
        ..base
    }
}

fn assert_no_violation(measures: &Measures) {
    assert_eq!(
        measures.run_twice, 0,
        "non-idempotent requests that ran twice"
    );
    assert_eq!(
        measures.false_not_run, 0,
        "executed requests refused as not executed"
    );
    assert_eq!(
        measures.interrupted_by_drain, 0,
        "requests interrupted by a drain"
    );
}

#[rstest]
#[case::steady(0.7, &[])]
#[case::overload(2.0, &[])]
#[case::flood(0.7, &[Incident::Flood(0, 5.0, AT, LENGTH)])]
#[case::domain_lost(0.7, &[Incident::DomainLost(0, 0, AT)])]
#[case::region_lost(0.6, &[Incident::RegionLost(0, AT)])]
#[case::liar(0.7, &[Incident::UnderreportedLoad(0, AT)])]
#[case::reports_stop(0.7, &[Incident::ReportsStop(AT)])]
#[case::drain(0.85, &[Incident::Drain(0, AT)])]
#[case::cold(0.5, &[Incident::ColdStart(AT, Duration::from_secs(5), Duration::from_millis(60))])]
#[case::poison(0.5, &[Incident::PoisonRequests(AT, Duration::from_millis(250))])]
#[case::silent(0.7, &[Incident::SilentConnections(0.33, AT)])]
#[case::two_at_once(0.7, &[Incident::DomainLost(0, 0, AT), Incident::Flood(0, 5.0, AT, LENGTH)])]
#[case::lost_region_and_silence(0.6, &[Incident::RegionLost(1, AT), Incident::SilentConnections(0.33, AT)])]
fn service_violates_nothing(#[case] load: f64, #[case] incidents: &[Incident]) {
    for base in [presa(), cascade()] {
        let measures = run(&with(base, load, incidents));
        assert_no_violation(&measures);
    }
}

#[rstest]
#[case::presa(presa())]
#[case::cascade(cascade())]
fn service_flood_harms_no_other_workspace(#[case] base: Scenario) {
    let flood = [Incident::Flood(0, 5.0, AT, LENGTH)];
    let measures = run(&with(base, 0.7, &flood));
    let worst = measures.min_answered_share(Some(0));
    assert!(
        worst >= 0.99,
        "the worst workspace's answered share is {worst}"
    );
}

#[rstest]
#[case::presa(presa(), 1)]
#[case::presa_again(presa(), 3)]
#[case::cascade(cascade(), 1)]
#[case::cascade_again(cascade(), 3)]
fn service_flood_p99_within_1_2x(#[case] base: Scenario, #[case] seed: u64) {
    let base = Scenario { seed, ..base };
    let without_flood = run(&with(base.clone(), 0.7, &[])).merged_except(Some(0));
    let flood = [Incident::Flood(0, 5.0, AT, LENGTH)];
    let with_flood = run(&with(base, 0.7, &flood)).merged_except(Some(0));
    let (without_flood, with_flood) = (without_flood.latency_ms(0.99), with_flood.latency_ms(0.99));
    assert!(
        with_flood <= 1.2 * without_flood,
        "p99 is {with_flood} ms with the flood and {without_flood} ms without"
    );
}

#[rstest]
#[case::presa(presa())]
#[case::cascade(cascade())]
fn service_overload_useful_work_at_least_95(#[case] base: Scenario) {
    let scenario = with(base, 2.0, &[]);
    let useful = run(&scenario).answered_per_s / scenario.capacity();
    assert!(useful >= 0.95, "useful work is {useful} of the capacity");
}

#[rstest]
#[case::presa(presa())]
#[case::cascade(cascade())]
fn service_overload_worst_workspace_at_least_90_of_fair_share(#[case] base: Scenario) {
    let scenario = with(base, 2.0, &[]);
    let measures = run(&scenario);
    let secs = (scenario.length - scenario.measured_from).as_secs_f64();
    let fair_share = scenario.capacity() / scenario.workspaces.len() as f64;
    for workspace in &measures.workspaces {
        let answered = workspace.answered as f64 / secs;
        assert!(
            answered >= 0.9 * fair_share,
            "{answered} answered per second, the fair share is {fair_share}"
        );
    }
}

#[rstest]
#[case::steady(0.7, &[])]
#[case::flood(0.7, &[Incident::Flood(0, 5.0, AT, LENGTH)])]
#[case::domain_lost(0.7, &[Incident::DomainLost(0, 0, AT)])]
#[case::region_lost(0.6, &[Incident::RegionLost(0, AT)])]
#[case::liar(0.7, &[Incident::UnderreportedLoad(0, AT)])]
#[case::poison(0.5, &[Incident::PoisonRequests(AT, Duration::from_millis(250))])]
fn service_answers_more_than_every_baseline(#[case] load: f64, #[case] incidents: &[Incident]) {
    let scenario = with(presa(), load, incidents);
    let product = run(&scenario).merged_except(Some(0)).answered_share();
    for (selection, max_attempts, is_queueing) in [
        (TargetSelection::RoundRobin, 1, false),
        (TargetSelection::LeastReportedLoad, 3, false),
        (TargetSelection::NearestRegion, 3, false),
        (TargetSelection::NearestRegion, 3, true),
    ] {
        let strategy = Strategy::Baseline {
            selection,
            max_attempts,
            is_queueing,
        };
        let baseline = Scenario {
            strategy,
            ..scenario.clone()
        };
        let share = run(&baseline).merged_except(Some(0)).answered_share();
        assert!(
            product > share,
            "the product answers {product}, {selection:?} answers {share}"
        );
    }
}

#[test]
fn service_poison_ends_two_targets() {
    let poison = [Incident::PoisonRequests(AT, Duration::from_millis(250))];
    let measures = run(&with(presa(), 0.5, &poison));
    assert!(
        measures.targets_crashed <= 2,
        "{} targets crashed",
        measures.targets_crashed
    );
}

/// Guards against work for a target that leaves once its report has said so, at most an interval later.
#[rstest]
#[case::with_a_report(AT)]
#[case::just_after_one(AT + Duration::from_millis(20))]
#[case::between_two(AT + Duration::from_millis(250))]
fn service_leaving_target_gets_no_work_after_a_report(#[case] at: Duration) {
    let measures = run(&with(presa(), 0.85, &[Incident::Drain(0, at)]));
    let last = measures.last_execution_after_drain;
    assert!(last <= REPORT_INTERVAL, "{last:?}");
    // The longest request of the run plus one report interval.
    let drain_time = measures.drain_time.expect("the target gets idle");
    assert!(drain_time <= Duration::from_millis(1_500), "{drain_time:?}");
    assert_eq!(measures.interrupted_by_drain, 0);
}

/// The checks above can fail: a target whose leaving nobody learns of never gets idle, and its end
/// interrupts requests.
#[test]
fn service_target_that_leaves_unheard_is_interrupted() {
    let incidents = [Incident::ReportsStop(AT), Incident::Drain(0, AT)];
    let measures = run(&with(presa(), 0.85, &incidents));
    assert_eq!(measures.drain_time, None);
    assert!(measures.interrupted_by_drain > 0);
    let last = measures.last_execution_after_drain;
    assert!(last > REPORT_INTERVAL, "{last:?}");
}
