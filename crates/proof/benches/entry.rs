//! Prints latency and throughput through one entry instance next to direct calls to its target,
//! and how long changes take to be in force. Needs the programs: `cargo build --release` first.

use std::{fs, net::SocketAddr, time::Duration};

use base::{Key, KeyDigest};
use hdrhistogram::Histogram;
use proof::{
    caller::{Caller, Request},
    deployment::{Deployment, DeploymentSpec},
};
use tokio::{task::JoinSet, time::Instant};

const LENGTH: Duration = Duration::from_secs(4);
const ROUNDS: usize = 30;
/// Kernel clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(measure());
}

async fn measure() {
    let spec = DeploymentSpec {
        domains: vec!["sierra-norte".to_owned()],
        slots: 1_024,
        rate: 1e6,
        burst: 1e6,
        ..DeploymentSpec::default()
    };
    let deployment = Deployment::start(&spec).await;
    deployment.wait_for_heartbeats().await;
    let key = deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let instance = &deployment.instances["i1"];
    let target = deployment.targets["logbook-sierra-norte-1"].addr;
    let pid = instance.process.id();
    println!(
        "| path | connections | requests/s | p50 us | p99 us | daemon cores | daemon RSS MB |"
    );
    println!("|---|---|---|---|---|---|---|");
    println!("| idle | 0 | 0 | 0 | 0 | 0 | {:.1} |", rss_mb(pid));
    let request = Request::get("/logbook/climbs").key(&key);
    for connections in [1usize, 64, 256] {
        for (path, addr) in [("direct", target), ("entry", instance.entry)] {
            print_load(path, addr, connections, &request, pid).await;
        }
    }
    let lookup = Request::get("/v1/lookup?service=logbook");
    print_load("look-up", instance.entry, 64, &lookup, pid).await;
    drop(deployment);
    in_force().await;
}

async fn print_load(path: &str, addr: SocketAddr, connections: usize, request: &Request, pid: u32) {
    let (cpu, start) = (cpu_s(pid), Instant::now());
    let histogram = load(addr, connections, request).await;
    let secs = start.elapsed().as_secs_f64();
    println!(
        "| {path} | {connections} | {:.0} | {} | {} | {:.2} | {:.1} |",
        histogram.len() as f64 / secs,
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        (cpu_s(pid) - cpu) / secs,
        rss_mb(pid),
    );
}

async fn load(addr: SocketAddr, connections: usize, request: &Request) -> Histogram<u64> {
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        let request = request.clone();
        tasks.spawn(async move {
            let mut histogram = Histogram::<u64>::new(3).expect("a histogram");
            let mut caller = Caller::connect(addr).await;
            let end = Instant::now() + LENGTH;
            while Instant::now() < end {
                let start = Instant::now();
                let response = caller.send(&request).await;
                assert_eq!(response.status, 200, "{response:?}");
                let _ = histogram.record(start.elapsed().as_micros() as u64);
            }
            histogram
        });
    }
    let mut all = Histogram::<u64>::new(3).expect("a histogram");
    while let Some(histogram) = tasks.join_next().await {
        let _ = all.add(histogram.expect("a histogram"));
    }
    all
}

/// Measures from the write of a change to the moment at which all three instances act on it.
async fn in_force() {
    let deployment = Deployment::start(&DeploymentSpec::default()).await;
    deployment.wait_for_heartbeats().await;
    deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    let entries: Vec<SocketAddr> = deployment.instances.values().map(|one| one.entry).collect();
    println!();
    println!("| change | rounds | p50 ms | p99 ms | max ms |");
    println!("|---|---|---|---|---|");
    let (mut issued, mut withdrawn) = (times(), times());
    for round in 0..ROUNDS {
        let key = format!("bench-key-{round}");
        for is_issued in [true, false] {
            let took = change(&deployment, &entries, &key, is_issued).await;
            let histogram = if is_issued {
                &mut issued
            } else {
                &mut withdrawn
            };
            let _ = histogram.record(took.as_millis() as u64);
        }
    }
    for (name, histogram) in [("key issued", issued), ("key withdrawn", withdrawn)] {
        println!(
            "| {name} | {ROUNDS} | {} | {} | {} |",
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
            histogram.max(),
        );
    }
}

fn times() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram")
}

async fn change(
    deployment: &Deployment,
    entries: &[SocketAddr],
    key: &str,
    is_issued: bool,
) -> Duration {
    let mut latest = cli::versions::read_latest(&deployment.platform)
        .await
        .expect("a version");
    if is_issued {
        let found = Key {
            workspace: "club".into(),
            digest: KeyDigest::of(key),
        };
        latest.config.keys.insert(key.into(), found);
    } else {
        latest.config.keys.remove(key);
    }
    let start = Instant::now();
    cli::versions::write_version(
        &deployment.platform,
        latest.version,
        &latest.config,
        "bench",
        key,
    )
    .await
    .expect("a new version");
    let mut tasks = JoinSet::new();
    for entry in entries {
        let (entry, request) = (*entry, Request::get("/logbook/climbs").key(key));
        tasks.spawn(async move {
            let mut caller = Caller::connect(entry).await;
            while (caller.send(&request).await.status == 200) != is_issued {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    start.elapsed()
}

fn cpu_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |idx: usize| {
        fields
            .get(idx)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

fn rss_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}
