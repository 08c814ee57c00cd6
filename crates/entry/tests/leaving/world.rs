//! What is true of the targets, and the configurations that say so.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{
    ColdStart, Config, Key, KeyDigest, Registration, Route, RouteKind, Service, Target, TargetId,
    Time, WeightedService, Workspace,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use standin::config::{registration, service, target};

pub(crate) const KEY: &str = "key";
const TARGETS: u16 = 6;
const REGIONS: [&str; 2] = ["north", "south"];
const COLD_TIME_MS: u32 = 400;

/// What is true of one target.
#[derive(Debug, Clone)]
struct Truth {
    domain: usize,
    port: u16,
    incarnation: u64,
    has_entry: bool,
    is_leaving: bool,
    is_disabled: bool,
}

/// What is true of the deployment.
#[derive(Debug)]
pub(crate) struct World {
    rng: Pcg32,
    targets: Vec<Truth>,
    evacuated: BTreeSet<usize>,
    has_key: bool,
    kind: RouteKind,
    cold: Option<ColdStart>,
}

/// The configurations in force, each from its time on.
#[derive(Debug, Default)]
pub(crate) struct History(Vec<(Time, Arc<Config>)>);

pub(crate) fn id_of(idx: u16) -> TargetId {
    format!("t{idx}").as_str().into()
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        let truth = |idx| Truth {
            domain: usize::from(idx) % REGIONS.len(),
            port: idx + 1,
            incarnation: 1,
            has_entry: true,
            is_leaving: false,
            is_disabled: false,
        };
        let mut rng = Pcg32::seed_from_u64(seed);
        let is_cold_kind = rng.random::<bool>();
        Self {
            targets: (0..TARGETS).map(truth).collect(),
            evacuated: BTreeSet::new(),
            has_key: true,
            kind: if rng.random() {
                RouteKind::Idempotent
            } else {
                RouteKind::Once
            },
            cold: is_cold_kind.then_some(ColdStart {
                max_per_s: 10.0,
                duration_ms: COLD_TIME_MS,
            }),
            rng,
        }
    }

    /// Changes one thing and returns whether it did.
    pub(crate) fn change(&mut self) -> bool {
        let domain = self.rng.random_range(0..REGIONS.len());
        let next_port = self.rng.random_range(1..TARGETS * 2);
        let idx = self.rng.random_range(0..self.targets.len());
        let target = &mut self.targets[idx];
        match self.rng.random_range(0..20) {
            0 | 1 => target.is_leaving = !target.is_leaving,
            2 | 3 => target.has_entry = !target.has_entry,
            4 => target.is_disabled = !target.is_disabled,
            5 => target.domain = domain,
            // It starts again under the same id, mostly at another address.
            6 | 7 => {
                target.incarnation += 1;
                target.port = next_port;
                target.is_leaving = false;
                target.has_entry = true;
            }
            8 if !self.evacuated.remove(&domain) => {
                self.evacuated.insert(domain);
            }
            9 => self.has_key = !self.has_key,
            // What has left comes back.
            10..13 => {
                target.is_leaving = false;
                target.has_entry = true;
                target.is_disabled = false;
                self.has_key = true;
                self.evacuated.clear();
            }
            _ => return false,
        }
        true
    }

    pub(crate) fn config(&self) -> Config {
        let mut config = standin::config::config(REGIONS.map(|region| (region, region)));
        let entries = self.targets.iter().zip(0..);
        let entries = entries.filter(|(truth, _)| truth.has_entry);
        let targets: BTreeMap<TargetId, Target> = entries
            .map(|(truth, idx)| {
                let registration = Registration {
                    is_leaving: truth.is_leaving,
                    cold_ms: self.cold.map_or(0, |cold| cold.duration_ms),
                    ..registration(4, truth.incarnation)
                };
                let target = Target {
                    addr: addr_of(truth.port),
                    ..target(REGIONS[truth.domain], Some(registration))
                };
                (id_of(idx), target)
            })
            .collect();
        let service = Service {
            targets,
            cold: self.cold,
            ..service(4, 4_000)
        };
        config.services.insert("board".into(), service);
        let workspace = Workspace {
            rate: 1_000.0,
            burst: 1_000.0,
            ..Workspace::default()
        };
        config.workspaces.insert("gym".into(), workspace);
        let key = Key {
            workspace: "gym".into(),
            digest: KeyDigest::of(KEY),
        };
        if self.has_key {
            config.keys.insert("k".into(), key);
        }
        config.routes = vec![self.route()].into();
        for domain in &self.evacuated {
            let domain = REGIONS[*domain].into();
            config.drains.targets_in_domains.insert(domain);
        }
        let disabled = self.targets.iter().zip(0..);
        let disabled = disabled.filter(|(truth, _)| truth.is_disabled);
        config
            .drains
            .targets
            .extend(disabled.map(|(_, idx)| id_of(idx)));
        config
    }

    fn route(&self) -> Route {
        Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/board/".to_owned(),
            kind: self.kind,
            services: vec![WeightedService {
                service: "board".into(),
                weight: 1,
            }],
            timeout_ms: 4_000,
            objective_ms: 2_000,
            attempts: 3,
            priority: 0,
            is_open: false,
            is_sticky: true,
            homes: Default::default(),
        }
    }
}

fn addr_of(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

impl History {
    pub(crate) fn push(&mut self, now: Time, config: Arc<Config>) {
        self.0.push((now, config));
    }

    /// Returns whether a target was in service at an address at any moment in the `slack` before `at`.
    pub(crate) fn was_in_service(
        &self,
        at: Time,
        slack: Duration,
        id: &TargetId,
        addr: SocketAddr,
    ) -> bool {
        let ends = self.0.iter().skip(1).map(|(from, _)| *from);
        let spans = self.0.iter().zip(ends.chain([Time::NEVER]));
        let mut near = spans.filter(|((from, _), until)| *from <= at && *until + slack > at);
        near.any(|((_, config), _)| {
            let target = config.services["board"].targets.get(id);
            config.is_target_in_service(&"board".into(), id)
                && target.is_some_and(|target| target.addr == addr)
        })
    }
}
