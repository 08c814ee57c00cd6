//! The task that probes the health endpoints of targets.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{Config, ServiceId, TargetId};
use bytes::Bytes;
use dispatch::HealthReport;
use entry::{head, message::Event, view::View};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::Deserialize;
use tokio::{
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, timeout},
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_TIMEOUT: Duration = Duration::from_millis(450);
/// Number of consecutive failed probes after which a target is reported as unresponsive.
const MAX_MISSED_PROBES: u32 = 3;
const MAX_HEALTH_BYTES: usize = 16 * 1024;

type ProbeClient = Client<HttpConnector, Empty<Bytes>>;
type TargetKey = (ServiceId, TargetId);

/// Reports the load of a target by its health endpoint, and whether the target is leaving.
#[derive(Debug, Deserialize)]
struct Health {
    in_flight: u32,
    #[serde(default)]
    is_leaving: bool,
}

/// Probes every target's health endpoint twice a second until the engine has ended.
pub async fn run(view: watch::Receiver<Arc<View>>, engine: mpsc::UnboundedSender<Event>) {
    let mut tick = interval(PROBE_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let client = Client::builder(TokioExecutor::new())
        .pool_idle_timeout(PROBE_INTERVAL * 4)
        .build_http();
    let (tx, mut rx) = mpsc::unbounded_channel::<(TargetKey, Option<HealthReport>)>();
    let mut missed_probes: BTreeMap<TargetKey, u32> = BTreeMap::new();
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let config = view.borrow().config.clone();
                if let Some((_, config)) = config {
                    probe_all(&client, &config, &tx);
                }
            }
            Some((key, report)) = rx.recv() => {
                let missed = missed_probes.entry(key.clone()).or_default();
                *missed = if report.is_some() { 0 } else { *missed + 1 };
                if report.is_some() || *missed >= MAX_MISSED_PROBES {
                    let _ = engine.send(Event::TargetHealth(key.0, key.1, report));
                }
            }
        }
        if engine.is_closed() {
            return;
        }
    }
}

fn probe_all(
    client: &ProbeClient,
    config: &Config,
    tx: &mpsc::UnboundedSender<(TargetKey, Option<HealthReport>)>,
) {
    for (service, service_config) in &config.services {
        for (target, target_config) in &service_config.targets {
            let (client, addr, tx) = (client.clone(), target_config.addr, tx.clone());
            let key = (service.clone(), target.clone());
            tokio::spawn(async move {
                let report = timeout(PROBE_TIMEOUT, probe(&client, addr)).await;
                let _ = tx.send((key, report.ok().flatten()));
            });
        }
    }
}

async fn probe(client: &ProbeClient, addr: SocketAddr) -> Option<HealthReport> {
    let uri = format!("http://{addr}/health").parse().ok()?;
    let res = client.get(uri).await.ok()?;
    if !head::is_final(res.status()) {
        return None;
    }
    let body = Limited::new(res.into_body(), MAX_HEALTH_BYTES)
        .collect()
        .await
        .ok()?;
    let health: Health = serde_json::from_slice(&body.to_bytes()).ok()?;
    Some(HealthReport {
        in_flight: health.in_flight,
        is_leaving: health.is_leaving,
    })
}
