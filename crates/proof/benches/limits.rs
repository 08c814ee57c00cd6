//! Compares ways to divide a workspace's quota between instances, under the same seeded demand.

use std::time::Duration;

use coord::QuotaSplit;
use proof::limits::{Demand, Fault, Outcome, Scenario, run};

/// Time after which the platform's list proves that an instance has ended, including its lag.
const LEASED_OWNER_TAKEOVER: Duration = Duration::from_secs(42);
/// Time without heartbeats after which an acting owner is replaced.
const ACTING_OWNER_TAKEOVER: Duration = Duration::from_millis(2_500);

/// Describes one way to divide a quota.
#[derive(Debug, Clone, Copy)]
struct QuotaOption {
    name: &'static str,
    reserved_share: f64,
    has_owner: bool,
    lends_reservations: bool,
}

const OPTIONS: &[QuotaOption] = &[
    QuotaOption {
        name: "static split",
        reserved_share: 1.0,
        has_owner: false,
        lends_reservations: false,
    },
    QuotaOption {
        name: "leased owner",
        reserved_share: 0.0,
        has_owner: true,
        lends_reservations: false,
    },
    QuotaOption {
        name: "reservations of 0.2 + leased owner",
        reserved_share: 0.2,
        has_owner: true,
        lends_reservations: false,
    },
    QuotaOption {
        name: "lent reservations of 0.5 + leased owner",
        reserved_share: 0.5,
        has_owner: true,
        lends_reservations: true,
    },
    QuotaOption {
        name: "lent reservations, acting owner",
        reserved_share: 1.0,
        has_owner: true,
        lends_reservations: true,
    },
];

fn main() {
    println!(
        "| case | option | wrongful % | shortfall % | least left | messages/s | longest wait ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (case, scenario) in cases() {
        for option in OPTIONS {
            let scenario = with_option(&scenario, *option);
            print_row(case, option.name, &scenario, &run(&scenario));
        }
    }
    print_message_rates();
    print_refusals();
}

/// Prints how often callers beyond the quota are refused, when they come back as they are told.
fn print_refusals() {
    println!();
    println!(
        "| load | batches | tries | admitted, % of the quota | refusals a request | late refusals % |"
    );
    println!("|---|---|---|---|---|---|");
    for (load, batches) in [(0.9, 0.5), (1.2, 0.0), (1.2, 0.5), (2.0, 0.0), (5.0, 0.0)] {
        for max_tries in [1, 4] {
            let scenario = Scenario {
                demand: Demand::Hot(0.4),
                instances: 9,
                length: Duration::from_secs(60),
                batches: (batches, 40),
                load,
                max_tries,
                ..Scenario::default()
            };
            let outcome = run(&scenario);
            println!(
                "| {load} | {batches} | {max_tries} | {:.1} | {:.2} | {:.1} |",
                100.0 * outcome.admitted as f64 / (scenario.quota.rate * 60.0),
                outcome.refusals as f64 / outcome.arrived as f64,
                100.0 * outcome.late_refusals as f64 / (outcome.refusals as f64).max(1.0),
            );
        }
    }
}

/// Prints the message rate for one workspace by number of instances.
fn print_message_rates() {
    println!();
    println!("| instances | messages/s, one workspace | a second and instance | wrongful % |");
    println!("|---|---|---|---|");
    for instances in [3usize, 10, 30, 100, 300] {
        let split = QuotaSplit {
            reserved_share: 1.0,
            slots: instances as u32,
            ..QuotaSplit::default()
        };
        let scenario = Scenario {
            split,
            instances,
            demand: Demand::Hot(0.6),
            length: Duration::from_secs(60),
            ..Scenario::default()
        };
        let outcome = run(&scenario);
        let grant_messages_per_s = outcome.messages as f64 / scenario.length.as_secs_f64();
        // The outcome does not count loans, which each instance sends twice a second.
        let messages_per_s = grant_messages_per_s + 2.0 * instances as f64;
        println!(
            "| {instances} | {messages_per_s:.0} | {:.1} | {:.3} |",
            messages_per_s / instances as f64,
            100.0 * outcome.wrongly_refused_share(),
        );
    }
}

fn print_row(case: &str, name: &str, scenario: &Scenario, outcome: &Outcome) {
    println!(
        "| {case} | {name} | {:.3} | {:.3} | {:.2} | {:.0} | {} |",
        100.0 * outcome.wrongly_refused_share(),
        100.0 * outcome.shortfall(),
        outcome.min_remaining,
        outcome.messages as f64 / scenario.length.as_secs_f64(),
        outcome.max_wait.as_millis(),
    );
}

fn with_option(scenario: &Scenario, option: QuotaOption) -> Scenario {
    let split = QuotaSplit {
        reserved_share: option.reserved_share,
        ..scenario.split
    };
    let faults = scenario
        .faults
        .iter()
        .map(|fault| with_takeover(*fault, option.reserved_share))
        .collect();
    Scenario {
        split,
        has_owner: option.has_owner,
        lends_reservations: option.lends_reservations,
        faults,
        ..scenario.clone()
    }
}

/// Sets the takeover delay of an acting owner, which does not depend on the store.
fn with_takeover(fault: Fault, reserved_share: f64) -> Fault {
    match fault {
        Fault::OwnerLost(at, _) if reserved_share >= 1.0 => {
            Fault::OwnerLost(at, Some(ACTING_OWNER_TAKEOVER))
        }
        other => other,
    }
}

fn cases() -> Vec<(&'static str, Scenario)> {
    let secs = Duration::from_secs;
    let base = Scenario {
        length: secs(300),
        ..Scenario::default()
    };
    let hot = Scenario {
        demand: Demand::Hot(0.6),
        ..base.clone()
    };
    let with = |faults: Vec<Fault>| Scenario {
        faults,
        ..hot.clone()
    };
    let batches = |load: f64| Scenario {
        batches: (0.3, 20),
        load,
        ..hot.clone()
    };
    let replaced = [1, 2, 3, 4, 6, 7, 8, 9]
        .map(|idx| Fault::Replaced(idx, secs(30 * idx as u64)))
        .to_vec();
    let wandering = Scenario {
        demand: Demand::Rotating(0.6, 20),
        ..base.clone()
    };
    let flood = Scenario {
        load: 5.0,
        ..hot.clone()
    };
    let long = Scenario {
        length: secs(3_600),
        ..hot.clone()
    };
    vec![
        ("even", base),
        ("hot 60%", hot.clone()),
        ("hot 60%, batches of 20, load 0.8", batches(0.8)),
        ("hot 60%, batches of 20, load 0.5", batches(0.5)),
        ("wandering 60%", wandering),
        ("5x rate", flood),
        ("hot, 1% loss", with(vec![Fault::MessageLoss(0.01)])),
        ("hot, 8 replaced", with(replaced)),
        (
            "hot, owner lost at 100 s",
            with(vec![Fault::OwnerLost(
                secs(100),
                Some(LEASED_OWNER_TAKEOVER),
            )]),
        ),
        (
            "hot, store down, owner lost at 1 s",
            with(vec![Fault::OwnerLost(secs(1), None)]),
        ),
        ("hot, store down for 1 h", long),
    ]
}
