//! Compares latency and throughput through an instance with direct calls to its target, and
//! measures how long a change takes until all instances apply it. Run `cargo build --release`
//! first, because the benchmark starts the programs.

use std::{fs, net::SocketAddr, time::Duration};

use base::{Key, KeyDigest};
use hdrhistogram::Histogram;
use proof::{
    caller::{Caller, Request},
    deployment::{Deployment, DeploymentSpec},
};
use tokio::{task::JoinSet, time::Instant};

const LOAD_DURATION: Duration = Duration::from_secs(4);
/// Number of API keys that are issued and revoked.
const ROUNDS: usize = 30;
/// Kernel clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime should start");
    runtime.block_on(run_benchmark());
}

async fn run_benchmark() {
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
    println!("| idle | 0 | 0 | 0 | 0 | 0 | {:.1} |", rss_mib(pid));
    let request = Request::get("/logbook/climbs").key(&key);
    for connections in [1usize, 64, 256] {
        for (path, addr) in [("direct", target), ("entry", instance.entry)] {
            print_load(path, addr, connections, &request, pid).await;
        }
    }
    let lookup = Request::get("/v1/lookup?service=logbook");
    print_load("look-up", instance.entry, 64, &lookup, pid).await;
    drop(deployment);
    measure_configuration_changes().await;
}

async fn print_load(path: &str, addr: SocketAddr, connections: usize, request: &Request, pid: u32) {
    let (cpu_before, start) = (cpu_time_s(pid), Instant::now());
    let histogram = run_load(addr, connections, request).await;
    let secs = start.elapsed().as_secs_f64();
    println!(
        "| {path} | {connections} | {:.0} | {} | {} | {:.2} | {:.1} |",
        histogram.len() as f64 / secs,
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        (cpu_time_s(pid) - cpu_before) / secs,
        rss_mib(pid),
    );
}

/// Sends requests over this many connections and returns their latencies in microseconds.
async fn run_load(addr: SocketAddr, connections: usize, request: &Request) -> Histogram<u64> {
    let mut tasks = JoinSet::new();
    for _ in 0..connections {
        let request = request.clone();
        tasks.spawn(async move {
            let mut histogram = Histogram::<u64>::new(3).expect("three digits should be valid");
            let mut caller = Caller::connect(addr).await;
            let end = Instant::now() + LOAD_DURATION;
            while Instant::now() < end {
                let start = Instant::now();
                let response = caller.send(&request).await;
                assert_eq!(response.status, 200, "{response:?}");
                let _ = histogram.record(start.elapsed().as_micros() as u64);
            }
            histogram
        });
    }
    let mut all = Histogram::<u64>::new(3).expect("three digits should be valid");
    while let Some(histogram) = tasks.join_next().await {
        let _ = all.add(histogram.expect("the task should not panic"));
    }
    all
}

/// Measures the time from writing a change until all three instances apply it to requests.
async fn measure_configuration_changes() {
    let deployment = Deployment::start(&DeploymentSpec::default()).await;
    deployment.wait_for_heartbeats().await;
    deployment.apply_and_issue_key();
    deployment.wait_until_confirmed().await;
    let entries: Vec<SocketAddr> = deployment
        .instances
        .values()
        .map(|instance| instance.entry)
        .collect();
    println!();
    println!("| change | rounds | p50 ms | p99 ms | max ms |");
    println!("|---|---|---|---|---|");
    let (mut issued, mut revoked) = (new_histogram(), new_histogram());
    for round in 0..ROUNDS {
        let key = format!("bench-key-{round}");
        for is_issued in [true, false] {
            let elapsed = apply_change(&deployment, &entries, &key, is_issued).await;
            let histogram = if is_issued { &mut issued } else { &mut revoked };
            let _ = histogram.record(elapsed.as_millis() as u64);
        }
    }
    for (name, histogram) in [("key issued", issued), ("key withdrawn", revoked)] {
        println!(
            "| {name} | {ROUNDS} | {} | {} | {} |",
            histogram.value_at_quantile(0.5),
            histogram.value_at_quantile(0.99),
            histogram.max(),
        );
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits should be valid")
}

/// Issues or revokes an API key and returns the time until all instances accept or refuse it.
async fn apply_change(
    deployment: &Deployment,
    entries: &[SocketAddr],
    key: &str,
    is_issued: bool,
) -> Duration {
    let mut latest = cli::versions::read_latest(&deployment.platform)
        .await
        .expect("the store should have a version");
    if is_issued {
        let api_key = Key {
            workspace: "club".into(),
            digest: KeyDigest::of(key),
        };
        latest.config.keys.insert(key.into(), api_key);
    } else {
        latest.config.keys.remove(key);
    }
    let start = Instant::now();
    cli::versions::write_version(
        &deployment.platform,
        latest.head,
        &latest.config,
        "bench",
        key,
    )
    .await
    .expect("the new version should be written");
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

/// Returns the CPU time that a process has used, in seconds.
fn cpu_time_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |idx: usize| {
        fields
            .get(idx)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the resident memory of a process, in mebibytes.
fn rss_mib(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}
