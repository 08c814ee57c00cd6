//! Compares the product with baseline strategies under the same seeded demand, at the sizes of two
//! example deployments.

use std::time::Duration;

use proof::service::{Incident, Measures, Scenario, Strategy, TargetSelection, run};

fn main() {
    let strategies = [
        ("product", Strategy::Product),
        (
            "round robin, 1 try",
            baseline(TargetSelection::RoundRobin, 1, false),
        ),
        (
            "least reported, 3 tries",
            baseline(TargetSelection::LeastReportedLoad, 3, false),
        ),
        (
            "nearest region, 3 tries",
            baseline(TargetSelection::NearestRegion, 3, false),
        ),
        (
            "first come first served",
            baseline(TargetSelection::NearestRegion, 3, true),
        ),
    ];
    println!(
        "| deployment | case | decider | p50 ms | p99 ms | answered % | worst workspace % | answered/capacity % | run twice | untrue not-run | targets ended | drain s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (deployment, base) in deployments() {
        for (case, excluded, incidents, load) in cases() {
            for (name, strategy) in strategies {
                let scenario = Scenario {
                    strategy,
                    incidents: incidents.clone(),
                    load,
                    ..base.clone()
                };
                print_row(deployment, case, name, excluded, &scenario, &run(&scenario));
            }
        }
    }
}

/// Prints refusals by kind if `GODWITGAUGE_DETAILS` is set.
fn print_details(measures: &Measures) {
    if std::env::var_os("GODWITGAUGE_DETAILS").is_some() {
        println!(
            "  refusals {:?}, attempts refused {}",
            measures.refusals, measures.attempts_refused
        );
    }
}

fn print_row(
    deployment: &str,
    case: &str,
    name: &str,
    excluded: Option<usize>,
    scenario: &Scenario,
    measures: &Measures,
) {
    let others = measures.merged_except(excluded);
    let drain_s = measures.drain_time.map_or_else(
        || "-".to_owned(),
        |time| format!("{:.2}", time.as_secs_f64()),
    );
    println!(
        "| {deployment} | {case} | {name} | {:.1} | {:.1} | {:.2} | {:.2} | {:.1} | {} | {} | {} | {drain_s} |",
        others.latency_ms(0.5),
        others.latency_ms(0.99),
        100.0 * others.answered_share(),
        100.0 * measures.min_answered_share(excluded),
        100.0 * measures.answered_per_s / scenario.capacity(),
        measures.run_twice,
        measures.false_not_run,
        measures.targets_crashed,
    );
    print_details(measures);
}

fn baseline(selection: TargetSelection, max_attempts: u32, is_queueing: bool) -> Strategy {
    Strategy::Baseline {
        selection,
        max_attempts,
        is_queueing,
    }
}

fn deployments() -> Vec<(&'static str, Scenario)> {
    let presa = Scenario::default();
    let cascade = Scenario {
        slots: 4,
        region_delay: Duration::from_millis(20),
        client_delay: Duration::from_millis(8),
        ..Scenario::default()
    };
    vec![("Presa Verde", presa), ("Cascade Loop", cascade)]
}

/// Name of a case, workspace excluded from the measurements, incidents, and load.
type Case = (&'static str, Option<usize>, Vec<Incident>, f64);

fn cases() -> Vec<Case> {
    let at = Duration::from_secs(10);
    let secs = Duration::from_secs;
    vec![
        ("steady 70%", None, vec![], 0.7),
        ("steady 90%", None, vec![], 0.9),
        ("overload 200%", None, vec![], 2.0),
        (
            "one workspace at 5x",
            Some(0),
            vec![Incident::Flood(0, 5.0, at, secs(20))],
            0.7,
        ),
        (
            "domain lost",
            None,
            vec![Incident::DomainLost(0, 0, at)],
            0.7,
        ),
        ("region lost", None, vec![Incident::RegionLost(0, at)], 0.6),
        (
            "a target lies",
            None,
            vec![Incident::UnderreportedLoad(0, at)],
            0.7,
        ),
        ("reports stop", None, vec![Incident::ReportsStop(at)], 0.7),
        ("drain at peak", None, vec![Incident::Drain(0, at)], 0.85),
        (
            "cold after a move",
            None,
            vec![Incident::ColdStart(at, secs(5), Duration::from_millis(60))],
            0.5,
        ),
        (
            "poison each 250 ms",
            None,
            vec![Incident::PoisonRequests(at, Duration::from_millis(250))],
            0.5,
        ),
        (
            "a third of connections silent",
            None,
            vec![Incident::SilentConnections(0.33, at)],
            0.7,
        ),
        (
            "domain lost and 5x",
            Some(0),
            vec![
                Incident::DomainLost(0, 0, at),
                Incident::Flood(0, 5.0, at, secs(20)),
            ],
            0.7,
        ),
    ]
}
