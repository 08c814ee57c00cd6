//! Prints what the options for the fleet-wide limit cost, on the same seeded demand.

use std::time::Duration;

use coord::QuotaSplit;
use proof::limits::{Demand, Fault, Outcome, Scenario, run};

/// Time after which the list proves that an instance has ended, with its lag.
const FENCE: Duration = Duration::from_secs(42);
/// Time after which a silent instance's place as acting owner is taken.
const SILENCE: Duration = Duration::from_millis(2_500);

/// One way to divide a quota.
#[derive(Debug, Clone, Copy)]
struct Choice {
    name: &'static str,
    floor_share: f64,
    has_owner: bool,
    lends: bool,
}

const CHOICES: &[Choice] = &[
    Choice {
        name: "static split",
        floor_share: 1.0,
        has_owner: false,
        lends: false,
    },
    Choice {
        name: "leased owner",
        floor_share: 0.0,
        has_owner: true,
        lends: false,
    },
    Choice {
        name: "floor 0.2 + leased owner",
        floor_share: 0.2,
        has_owner: true,
        lends: false,
    },
    Choice {
        name: "lent floor 0.5 + leased owner",
        floor_share: 0.5,
        has_owner: true,
        lends: true,
    },
    Choice {
        name: "lent floors, acting owner",
        floor_share: 1.0,
        has_owner: true,
        lends: true,
    },
];

fn main() {
    println!(
        "| case | option | wrongful % | shortfall % | least left | messages/s | longest wait ms |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (case, scenario) in cases() {
        for choice in CHOICES {
            let scenario = chosen(&scenario, *choice);
            print_row(case, choice.name, &scenario, &run(&scenario));
        }
    }
    print_traffic();
}

/// Prints the messages for one workspace against the number of instances.
fn print_traffic() {
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
        let asks = outcome.messages as f64 / scenario.length.as_secs_f64();
        // Each instance lends twice a second.
        let all = asks + 2.0 * instances as f64;
        println!(
            "| {instances} | {all:.0} | {:.1} | {:.3} |",
            all / instances as f64,
            100.0 * outcome.wrongful_share(),
        );
    }
}

fn print_row(case: &str, name: &str, scenario: &Scenario, outcome: &Outcome) {
    println!(
        "| {case} | {name} | {:.3} | {:.3} | {:.2} | {:.0} | {} |",
        100.0 * outcome.wrongful_share(),
        100.0 * outcome.shortfall(),
        outcome.least_left,
        outcome.messages as f64 / scenario.length.as_secs_f64(),
        outcome.longest_wait.as_millis(),
    );
}

fn chosen(scenario: &Scenario, choice: Choice) -> Scenario {
    let split = QuotaSplit {
        reserved_share: choice.floor_share,
        ..scenario.split
    };
    let faults = scenario
        .faults
        .iter()
        .map(|fault| followed(*fault, choice.floor_share))
        .collect();
    Scenario {
        split,
        has_owner: choice.has_owner,
        lends: choice.lends,
        faults,
        ..scenario.clone()
    }
}

/// Lets an acting owner be followed once it is silent, with or without the store.
fn followed(fault: Fault, floor_share: f64) -> Fault {
    match fault {
        Fault::OwnerLost(at, _) if floor_share >= 1.0 => Fault::OwnerLost(at, Some(SILENCE)),
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
    let batches = |burst_share: f64| Scenario {
        batches: (0.3, 20),
        load: burst_share,
        ..hot.clone()
    };
    let replaced = [1, 2, 3, 4, 6, 7, 8, 9]
        .map(|idx| Fault::Replaced(idx, secs(30 * idx as u64)))
        .to_vec();
    let wandering = Scenario {
        demand: Demand::Wandering(0.6, 20),
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
        ("hot, 1% loss", with(vec![Fault::Loss(0.01)])),
        ("hot, 8 replaced", with(replaced)),
        (
            "hot, owner lost at 100 s",
            with(vec![Fault::OwnerLost(secs(100), Some(FENCE))]),
        ),
        (
            "hot, store down, owner lost at 1 s",
            with(vec![Fault::OwnerLost(secs(1), None)]),
        ),
        ("hot, store down for 1 h", long),
    ]
}
