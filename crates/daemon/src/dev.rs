//! The development mode: one process with an instance, an in-memory platform and two echo targets.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
};

use base::{
    Config, Domain, Drains, Key, KeyDigest, Links, Service, Target, Workspace, canonical_json,
    config_digest,
};
use eyre::{Result, WrapErr};
use platform::{
    Call, ListedMachine, MachineKind, MachineState, Platform, Precondition, Write,
    layout::{CONFIG_TABLE, HEAD_ROW, object_name},
    memory,
};
use record::Sink;
use settings::{Bounds, DaemonSettings, IsolationPolicy, TakeoverPolicy};
use standin::{
    listen::listen,
    target::{TargetOptions, TargetServer},
};

use crate::{
    node::{self, Node},
    options::NodeOptions,
};

const ENTRY_PORT: u16 = 8470;
const OPERATOR_PORT: u16 = 8471;
const DOMAIN: &str = "dev";
const API_KEY: &str = "dev-key";
const TARGET_COUNT: usize = 2;

/// Starts the development instance, on the default ports or, for tests, on free ones; without a sink, no
/// log lines about requests are written.
///
/// # Errors
///
/// Returns a report that names the listener whose address could not be bound.
pub async fn start(use_free_ports: bool, sink: Option<Sink>) -> Result<Node> {
    let port = |port| if use_free_ports { 0 } else { port };
    let cfg = settings(port(ENTRY_PORT), port(OPERATOR_PORT));
    let platform = memory::spawn();
    let targets = start_targets().await.wrap_err("targets")?;
    write_config(&platform, &config(targets))
        .await
        .wrap_err("configuration")?;
    let options = NodeOptions {
        trace_sample_ratio: 1.0,
        sink,
        ..NodeOptions::default()
    };
    let node = node::start(&cfg, platform.clone(), options).await?;
    let listed = ListedMachine {
        id: cfg.instance.clone(),
        kind: MachineKind::Instance,
        domain: DOMAIN.into(),
        addr: node.peer,
        state: MachineState::Live,
    };
    platform
        .call(Call::Announce { listed })
        .await
        .wrap_err("list")?;
    node.ready().await;
    Ok(node)
}

fn settings(entry: u16, operator: u16) -> DaemonSettings {
    let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    DaemonSettings {
        instance: "dev".to_owned(),
        domain: DOMAIN.to_owned(),
        region: DOMAIN.to_owned(),
        entry: local(entry),
        operator: local(operator),
        peer: local(0),
        platform: local(0),
        secret: "only for development".to_owned(),
        slot_count: 1,
        shares_parameters: false,
        regions: BTreeMap::new(),
        ready: None,
        directory: None,
        bounds: Bounds::default(),
        body_limit_bytes: 8 * 1024 * 1024,
        body_timeout_ms: 10_000,
        lookup_ttl_ms: 1_000,
        confirm_limit_ms: 4_000,
        memory_mb: None,
        descriptors: None,
        isolation: IsolationPolicy::Refuse,
        takeover: TakeoverPolicy::Absence,
    }
}

async fn start_targets() -> Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    for idx in 1..=TARGET_COUNT {
        let options = TargetOptions {
            name: format!("echo-{idx}"),
            slots: 64,
            ..TargetOptions::default()
        };
        let router = TargetServer::spawn(options).to_router();
        let (addr, _) = listen(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), router).await?;
        addrs.push(addr);
    }
    Ok(addrs)
}

fn config(targets: Vec<SocketAddr>) -> Config {
    let targets = targets
        .into_iter()
        .enumerate()
        .map(|(idx, addr)| {
            let target = Target {
                domain: DOMAIN.into(),
                addr,
                registered: None,
            };
            (format!("echo-{}", idx + 1).into(), target)
        })
        .collect();
    let service = Service {
        slots: 64,
        connections: 300,
        deadline_ms: 10_000,
        open_routes: Vec::new(),
        targets,
        cold: None,
    };
    let workspace = Workspace {
        rate: 100_000.0,
        burst: 100_000.0,
        weight: 1,
        ..Workspace::default()
    };
    let key = Key {
        workspace: "dev".into(),
        digest: KeyDigest::of(API_KEY),
    };
    let domain = Domain {
        region: DOMAIN.into(),
    };
    Config {
        deployment: "dev".to_owned(),
        domains: BTreeMap::from([(DOMAIN.into(), domain)]),
        links: Links::default(),
        services: BTreeMap::from([("echo".into(), service)]),
        workspaces: BTreeMap::from([("dev".into(), workspace)]).into(),
        keys: BTreeMap::from([("dev".into(), key)]).into(),
        drains: Drains::default(),
        ..Config::default()
    }
}

/// Writes the first configuration to an empty platform.
async fn write_config(platform: &Platform, config: &Config) -> Result<()> {
    let text = canonical_json(config);
    let digest = config_digest(&text);
    platform.put_object(&object_name(&digest), &text).await?;
    let head = Write::new(CONFIG_TABLE, HEAD_ROW)
        .value(&digest)
        .expect(Precondition::Absent);
    platform.write(vec![head]).await?;
    Ok(())
}
