//! Measures how state, messages, CPU time and memory grow with the size of a deployment, and prints
//! the results as the rows of the capacity page.

use std::{
    collections::{BTreeMap, VecDeque},
    hint::black_box,
    time::Duration,
};

use base::{
    Config, Domain, Incarnation, InstanceId, Key, KeyDigest, RegionId, Service, Target, Time,
    Workspace, canonical_json,
};
use coord::{
    FanOut, GrantRequest, Head, Heartbeat, Loan, Membership, Quota, QuotaOwner, QuotaSplit,
};
use daemon::message::{PeerHeartbeat, PeerMessage};
use dispatch::{AdmittedRequest, Dispatcher, Outcome, Policy, RequestId};
use proof::rollout::{Rollout, roll_out};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use steer::{
    BlockTable, CallerLocation, Candidate, Measurements, PlanPolicy, plan, rank_candidates,
};
use tokio::time::Instant;
use wire::{Secret, Sessions};

fn main() {
    println!("| row | size | value | unit |");
    println!("|---|---|---|---|");
    measure_block_table();
    measure_lookups();
    measure_configuration();
    measure_heartbeats();
    measure_membership();
    measure_quota_owner();
    measure_planner();
    measure_decisions();
    measure_rollouts();
}

fn print_row(name: &str, size: usize, value: f64, unit: &str) {
    println!("| {name} | {size} | {value:.3} | {unit} |");
}

/// Returns the mean time of one call in nanoseconds.
fn mean_ns<F>(iterations: u32, mut call: F) -> f64
where
    F: FnMut(u32),
{
    let start = Instant::now();
    for idx in 0..iterations {
        call(idx);
    }
    start.elapsed().as_nanos() as f64 / f64::from(iterations)
}

fn measure_block_table() {
    let mut rng = Pcg32::seed_from_u64(1);
    for size in [250_000usize, 1_000_000, 4_000_000] {
        let pairs: Vec<(u32, u16)> = (0..size)
            .map(|_| (rng.random::<u32>() & !0xff, rng.random_range(0..280)))
            .collect();
        let start = Instant::now();
        let table = BlockTable::new(pairs.clone());
        print_row(
            "block table build",
            table.len(),
            start.elapsed().as_secs_f64() * 1e3,
            "ms",
        );
        print_row(
            "block table memory",
            table.len(),
            table.memory_bytes() as f64 / table.len() as f64,
            "bytes/block",
        );
        let clients: Vec<u32> = (0..1 << 16).map(|_| rng.random()).collect();
        let lookup_ns = mean_ns(1_000_000, |idx| {
            black_box(table.site(clients[idx as usize & 0xffff].into()));
        });
        print_row("block table look-up", table.len(), lookup_ns, "ns");
        let start = Instant::now();
        let map: BTreeMap<u32, u16> = pairs.into_iter().collect();
        print_row(
            "ordered map build",
            map.len(),
            start.elapsed().as_secs_f64() * 1e3,
            "ms",
        );
        let lookup_ns = mean_ns(1_000_000, |idx| {
            let client = clients[idx as usize & 0xffff];
            black_box(map.range(..=client).next_back());
        });
        print_row("ordered map look-up", map.len(), lookup_ns, "ns");
    }
}

fn measure_lookups() {
    for size in [10usize, 80, 280] {
        let instances: Vec<InstanceId> = (0..size).map(|idx| format!("i{idx}").into()).collect();
        let domains: Vec<base::DomainId> = (0..21).map(|idx| format!("d{idx}").into()).collect();
        let regions: Vec<RegionId> = (0..8).map(|idx| format!("r{idx}").into()).collect();
        let candidates: Vec<Candidate<'_>> = instances
            .iter()
            .enumerate()
            .map(|(idx, instance)| Candidate {
                instance,
                domain: &domains[idx % 21],
                region: &regions[idx % 21 % 8],
            })
            .collect();
        let origin = CallerLocation {
            domain: Some("d3".into()),
            region: None,
        };
        let cost_ns = mean_ns(20_000, |idx| {
            black_box(rank_candidates(&candidates, &origin, u64::from(idx)));
        });
        print_row("look-up order", size, cost_ns, "ns");
    }
}

/// Builds a configuration with this many workspaces, API keys and services of 12 targets each.
fn sized_config(workspaces: usize, keys: usize, services: usize) -> Config {
    let mut config = Config::default();
    for idx in 0..6 {
        let domain = Domain {
            region: format!("region-{}", idx / 2).into(),
        };
        config
            .domains
            .insert(format!("domain-{idx}").into(), domain);
    }
    for idx in 0..workspaces {
        let workspace = Workspace {
            rate: 100.0,
            burst: 200.0,
            weight: 1,
            ..Workspace::default()
        };
        config
            .workspaces
            .insert(format!("workspace-{idx}").into(), workspace);
    }
    for idx in 0..keys {
        let key = Key {
            workspace: format!("workspace-{}", idx % workspaces).into(),
            digest: KeyDigest::of(&idx.to_string()),
        };
        config.keys.insert(format!("key-{idx}").into(), key);
    }
    for idx in 0..services {
        let targets = (0..12)
            .map(|number| {
                let target = Target {
                    domain: format!("domain-{}", number % 6).into(),
                    addr: ([10, 0, 0, 1], 9000).into(),
                    registered: None,
                };
                (format!("service-{idx}-{number}").into(), target)
            })
            .collect();
        let service = Service {
            slots: 5,
            connections: 350,
            deadline_ms: 1_000,
            open_routes: Vec::new(),
            targets,
            cold: None,
        };
        config
            .services
            .insert(format!("service-{idx}").into(), service);
    }
    config
}

fn measure_configuration() {
    let empty = canonical_json(&sized_config(1, 0, 0)).len();
    let bytes_per_item = |config: &Config, count: usize| {
        (canonical_json(config).len() - empty) as f64 / count as f64
    };
    print_row(
        "configuration, a workspace",
        1_001,
        bytes_per_item(&sized_config(1_001, 0, 0), 1_000),
        "bytes",
    );
    print_row(
        "configuration, a key",
        1_000,
        bytes_per_item(&sized_config(1, 1_000, 0), 1_000),
        "bytes",
    );
    print_row(
        "configuration, a service of 12 targets",
        100,
        bytes_per_item(&sized_config(1, 0, 100), 100),
        "bytes",
    );
    for keys in [100usize, 1_000, 10_000] {
        let text = canonical_json(&sized_config(keys / 2, keys, 3));
        let cost_ns = mean_ns(20, |_| {
            black_box(serde_json::from_str::<Config>(&text).is_ok());
        });
        print_row("configuration, read", keys, cost_ns / 1e3, "us");
    }
}

/// Returns a heartbeat of an instance that owns the quotas of this many workspaces.
fn peer_heartbeat(owned: usize) -> PeerHeartbeat {
    PeerHeartbeat {
        status: Heartbeat {
            id: "instance-0001".into(),
            incarnation: Incarnation(u64::MAX),
            domain: "sierra-norte".into(),
            is_leaving: false,
            version: 3_400,
            confirmation_age: Some(Duration::from_millis(300)),
        },
        sequence: 100_000,
        ack: 100_000,
        entry: ([10, 0, 0, 1], 8470).into(),
        head: Some(Head {
            version: 3_400,
            digest: "0".repeat(64),
        }),
        owned_workspaces: (0..owned)
            .map(|idx| (format!("workspace-{idx}").into(), u64::MAX))
            .collect(),
        held_slots: 1,
        demand: Vec::new(),
        pinned_demand: Vec::new(),
        change: None,
        ack_age: Duration::ZERO,
        reads: None,
        rows: Vec::new(),
        retained: Vec::new(),
        has_target_path: true,
        store_era: 0,
        table_eras: Vec::new(),
        format: 3,
        build: "0.1.0".to_owned(),
        departures: Vec::new(),
        table_positions: Vec::new(),
    }
}

fn measure_heartbeats() {
    let secret = Secret::derive("a secret for benchmarks");
    let mut sender = Sessions::new(secret.clone(), "instance-0001".into(), Incarnation(1));
    let mut receiver = Sessions::new(secret, "instance-0002".into(), Incarnation(2));
    for owned in [0usize, 1, 8] {
        let message = PeerMessage::Heartbeat(Box::new(peer_heartbeat(owned)));
        let frame = sender
            .seal(&"instance-0002".into(), &message)
            .expect("the heartbeat should be sealed");
        print_row(
            "heartbeat, sealed",
            owned,
            frame.len() as f64,
            "bytes by owned workspaces",
        );
        let cost_ns = mean_ns(50_000, |_| {
            let frame = sender.seal(&"instance-0002".into(), &message);
            black_box(
                receiver
                    .open::<PeerMessage>(&frame.expect("the heartbeat should be sealed"))
                    .is_ok(),
            );
        });
        print_row(
            "heartbeat, seal and open",
            owned,
            cost_ns,
            "ns by owned workspaces",
        );
    }
}

fn measure_membership() {
    for size in [10usize, 100, 1_700] {
        let mut membership = Membership::new(Duration::from_secs(40), Duration::from_secs(2));
        let heartbeats: Vec<Heartbeat> = (0..size)
            .map(|idx| Heartbeat {
                id: format!("instance-{idx:04}").into(),
                ..peer_heartbeat(0).status
            })
            .collect();
        let cost_ns = mean_ns(20_000, |idx| {
            membership.on_heartbeat(
                Time::from_millis(u64::from(idx)),
                &heartbeats[idx as usize % size],
            );
        });
        print_row("roster, a heartbeat", size, cost_ns, "ns");
        let cost_ns = mean_ns(200, |_| {
            black_box(membership.serving(Time::from_secs(1)).len());
        });
        print_row("roster, list", size, cost_ns / 1e3, "us");
    }
}

fn measure_quota_owner() {
    let quota = Quota {
        rate: 1e9,
        burst: 1e9,
    };
    for holders in [3usize, 10, 100, 300] {
        let split = QuotaSplit {
            reserved_share: 1.0,
            slots: holders as u32,
            ..QuotaSplit::default()
        };
        let mut owner = QuotaOwner::borrowing(Time::ZERO, quota, split, 1);
        owner.set_valid_until(Time::NEVER);
        let names: Vec<InstanceId> = (0..holders).map(|idx| format!("i{idx}").into()).collect();
        let mut serial = VecDeque::from(vec![0u64; holders]);
        let mut now = Time::ZERO;
        let cost_ns = mean_ns(30_000, |idx| {
            let holder = idx as usize % holders;
            now = now + Duration::from_micros(200);
            serial[holder] += 1;
            if idx % 16 == 0 {
                let loan = Loan {
                    reservation: holder as u32,
                    serial: serial[holder],
                    tokens: 0,
                };
                owner.on_loan(now, Incarnation(1), &loan, now);
            }
            let request = GrantRequest {
                serial: serial[holder],
                waiting: 2,
                wanted: 4,
                usage: Vec::new(),
            };
            black_box(owner.on_request(now, &names[holder], Incarnation(1), &request));
        });
        print_row("owner, a grant", holders, cost_ns, "ns by holders");
    }
}

fn measure_planner() {
    for regions in [3usize, 8, 21] {
        let mut measurements = Measurements::default();
        for idx in 0..regions {
            let region: RegionId = format!("r{idx}").into();
            measurements
                .demand
                .insert(region.clone(), 100.0 * idx as f64);
            measurements
                .capacity
                .insert(region.clone(), 120.0 * (regions - idx) as f64);
            measurements.egress_capacity.insert(region, 1e6);
        }
        let cost_ns = mean_ns(500, |_| {
            black_box(plan(&measurements, PlanPolicy::default()));
        });
        print_row(
            "plan of a service with contingencies",
            regions,
            cost_ns / 1e3,
            "us by regions",
        );
    }
}

fn measure_decisions() {
    for (targets, workspaces) in [
        (12usize, 8usize),
        (120, 8),
        (1_200, 8),
        (12, 100),
        (12, 1_000),
    ] {
        let cost_ns = decision_cost_ns(targets, workspaces);
        let name = format!("decision, {workspaces} workspaces");
        print_row(&name, targets, cost_ns, "ns a request by targets");
    }
}

/// Returns the mean time to dispatch and finish a request, with 32 requests in flight.
fn decision_cost_ns(targets: usize, workspaces: usize) -> f64 {
    let mut config = sized_config(1, 0, 1);
    let service = config
        .services
        .values_mut()
        .next()
        .expect("the configuration should have a service");
    service.slots = 64;
    service.targets = (0..targets)
        .map(|idx| {
            let target = Target {
                domain: format!("domain-{}", idx % 6).into(),
                addr: ([10, 0, 0, 1], 9000).into(),
                registered: None,
            };
            (format!("t{idx}").into(), target)
        })
        .collect();
    let mut dispatcher = Dispatcher::new("region-0".into(), 1, Policy::default())
        .expect("the state chart should be valid");
    dispatcher.configure(Time::ZERO, &config);
    let names: Vec<base::WorkspaceId> = (0..workspaces)
        .map(|idx| format!("w{idx}").into())
        .collect();
    let mut in_flight = VecDeque::new();
    let mut now = Time::from_secs(60);
    dispatcher.tick(now);
    mean_ns(100_000, |idx| {
        now = now + Duration::from_micros(50);
        let id = RequestId(u64::from(idx) + 1);
        let work = AdmittedRequest::new(
            id,
            names[idx as usize % workspaces].clone(),
            "service-0".into(),
            now + Duration::from_secs(1),
        );
        black_box(dispatcher.submit(now, work));
        in_flight.push_back(id);
        if in_flight.len() > 32
            && let Some(done) = in_flight.pop_front()
        {
            let answered = Outcome::Answered(Duration::from_millis(2));
            black_box(dispatcher.finish(now, done, 1, answered));
        }
    })
}

fn measure_rollouts() {
    let base = Rollout {
        per_domain: 81,
        domains: 21,
        tree: FanOut { degree: 4 },
        message_loss: 0.01,
        dead_per_domain: 1,
        poll_interval: Duration::from_millis(500),
        heartbeat_interval: Duration::from_millis(1_000),
        hop_time: Duration::from_millis(60),
        seed: 1,
    };
    for degree in [2usize, 4, 8] {
        let outcome = roll_out(&Rollout {
            tree: FanOut { degree },
            ..base.clone()
        });
        print_row(
            "roll-out, 1 % loss, a dead relay a domain, p50",
            degree,
            outcome.p50.as_secs_f64(),
            "s by degree",
        );
        print_row(
            "roll-out, p99",
            degree,
            outcome.p99.as_secs_f64(),
            "s by degree",
        );
        print_row(
            "roll-out, all",
            degree,
            outcome.max.as_secs_f64(),
            "s by degree",
        );
        print_row(
            "roll-out, messages",
            degree,
            outcome.messages as f64,
            "by degree",
        );
    }
    let worst = (0..50)
        .map(|seed| {
            roll_out(&Rollout {
                seed,
                message_loss: 0.1,
                dead_per_domain: 8,
                ..base.clone()
            })
            .max
        })
        .max()
        .unwrap_or_default();
    print_row(
        "roll-out, 10 % loss, 8 dead a domain, worst of 50",
        4,
        worst.as_secs_f64(),
        "s",
    );
}
