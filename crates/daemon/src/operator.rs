//! The listener for operators, which serves metrics, status and explanations of routing decisions
//! and accepts the request to leave.

use std::{collections::BTreeMap, sync::Arc};

use base::{Config, DomainId, InstanceId, ServiceId, Time, WorkspaceId};
use coord::Freshness;
use dispatch::{PathState, TargetState};
use entry::{
    message::{EngineStatus, Event},
    metrics::Metrics,
    response,
    view::{Clock, View},
};
use record::Sink;
use salvo::{
    Depot, FlowCtrl, Handler, Router,
    http::{Request, ResBody, Response},
};
use serde::Serialize;
use steer::{CallerLocation, rank_candidates};
use tokio::sync::{mpsc, oneshot, watch};

use crate::fleet::Fleet;

/// Answers operators from the state of all tasks; each handler gets a copy.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// ID of this instance.
    pub own_id: InstanceId,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Active configuration and its freshness.
    pub view: watch::Receiver<Arc<View>>,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Sink for the log lines about requests, if they are written.
    pub sink: Option<Sink>,
    /// Channel for operators' requests that the instance leave.
    pub leave: mpsc::Sender<()>,
}

/// Gauges that count targets by state.
const TARGET_GAUGES: [(&str, TargetState); 4] = [
    ("targets_cold", TargetState::Cold),
    ("targets_ready", TargetState::Ready),
    ("targets_leaving", TargetState::Leaving),
    ("targets_down", TargetState::Down),
];

/// Reports the state of an instance and what it knows of others.
#[derive(Debug, Serialize)]
pub struct Status {
    /// Conditions that need attention, worst first.
    pub flags: Vec<String>,
    /// ID of the instance.
    pub instance: InstanceId,
    /// Version of the active configuration, zero if there is none.
    pub version: u64,
    /// Freshness of the active configuration: `empty`, `fresh`, `unconfirmed` or `alone`.
    pub standing: &'static str,
    /// Whether it is leaving and accepts no new callers.
    pub is_leaving: bool,
    /// Requests queued or in flight.
    pub requests: usize,
    /// The other instances.
    pub instances: BTreeMap<InstanceId, InstanceStatus>,
    /// Instances through which connections to targets can be opened.
    pub relays: Vec<InstanceId>,
    /// Targets by ID.
    pub targets: BTreeMap<String, TargetStatus>,
    /// Workspaces by ID.
    pub workspaces: BTreeMap<WorkspaceId, WorkspaceStatus>,
    /// Fingerprints of the quarantined requests, each with the milliseconds until its release.
    pub barred: Vec<(u64, u64)>,
}

/// Reports the state of another instance.
#[derive(Debug, Serialize)]
pub struct InstanceStatus {
    /// Failure domain in which it runs.
    pub domain: DomainId,
    /// Version of its active configuration, zero if unknown.
    pub version: u64,
    /// Whether a recent heartbeat shows it to be alive.
    pub is_heard: bool,
    /// Whether it is leaving and accepts no new callers.
    pub is_leaving: bool,
    /// Whether it is on the platform's list.
    pub is_listed: bool,
    /// Whether it is known for certain to have ended.
    pub is_gone: bool,
    /// Format of its messages, zero if unknown.
    pub format: u32,
    /// Version of its build, empty if unknown.
    pub build: String,
}

/// Reports a target's state as known to this instance.
#[derive(Debug, Serialize)]
pub struct TargetStatus {
    /// State of the target in lower case.
    pub state: String,
    /// Requests that this instance has in flight on it.
    pub in_flight: u32,
    /// Requests that this instance may have in flight on it.
    pub allowed: u32,
}

/// Reports a workspace's quota as known to this instance.
#[derive(Debug, Serialize)]
pub struct WorkspaceStatus {
    /// Live instance that owns it, if there is one.
    pub owner: Option<InstanceId>,
    /// Tokens that this instance can spend without requesting a grant from the owner.
    pub available: f64,
}

/// Explains how a request would be handled.
#[derive(Debug, Serialize)]
struct Explanation {
    verdict: String,
    reasons: Vec<String>,
}

impl Operator {
    /// Returns the router of the operators' listener.
    pub fn to_router(&self) -> Router {
        let page = |page| PageHandler(page, self.clone());
        Router::new()
            .push(Router::with_path("metrics").get(page(Page::Metrics)))
            .push(Router::with_path("v1/status").get(page(Page::Status)))
            .push(Router::with_path("v1/explain").get(page(Page::Explain)))
            .push(Router::with_path("v1/leave").post(page(Page::Leave)))
    }

    /// Sets the gauges that are computed only when the metrics are read.
    async fn update_gauges(&self) {
        let gauges = &self.metrics.gauges;
        let set = |name: &str, value: usize| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauges.with_label_values(&[name]).set(value);
        };
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        set("config_version", version_of(&view) as usize);
        set("is_fresh", usize::from(view.freshness == Freshness::Fresh));
        let fleet = self.fleet.borrow().clone();
        let alive = fleet.members.values().filter(|member| member.is_alive(now));
        set("instances_heard", alive.count());
        set("messages_unread", fleet.unread_messages as usize);
        if let Some(sink) = &self.sink {
            let counts = sink.counts();
            set("lines_taken", counts.received() as usize);
            set("lines_dropped", counts.dropped() as usize);
            set("lines_left_out", counts.suppressed() as usize);
        }
        let Some(engine) = self.engine_status().await else {
            return;
        };
        set("requests_under_way", engine.requests);
        set("requests_queued", engine.queued);
        set("retries_left", engine.retries_left as usize);
        set(
            "target_path_lost",
            usize::from(engine.path == PathState::Relayed),
        );
        set("targets_with_rate", engine.named_rates.len());
        set("barred", engine.quarantined.len());
        let owned = engine
            .owners
            .values()
            .filter(|owner| **owner == self.own_id);
        set("workspaces_owned", owned.count());
        for (name, state) in TARGET_GAUGES {
            let matching = engine
                .targets
                .iter()
                .filter(|(_, current, ..)| *current == state);
            set(name, matching.count());
        }
    }

    async fn respond_with_metrics(&self, res: &mut Response) {
        self.update_gauges().await;
        let kind = http::HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        res.replace_body(ResBody::Once(self.metrics.text().into()));
    }

    async fn engine_status(&self) -> Option<EngineStatus> {
        let (reply, answer) = oneshot::channel();
        self.engine.send(Event::Status(reply)).ok()?;
        answer.await.ok()
    }

    async fn status(&self) -> Option<Status> {
        let engine = self.engine_status().await?;
        let view = self.view.borrow().clone();
        let fleet = self.fleet.borrow().clone();
        let now = self.clock.now();
        Some(Status {
            flags: flags(now, &view, &fleet, &engine),
            instance: self.own_id.clone(),
            version: version_of(&view),
            standing: freshness_name(view.freshness),
            is_leaving: view.is_leaving,
            requests: engine.requests,
            instances: instances(now, &fleet),
            targets: targets(&engine),
            relays: engine.relays.clone(),
            workspaces: workspaces(&engine),
            barred: engine
                .quarantined
                .iter()
                .map(|(fingerprint, wait)| (*fingerprint, wait.as_millis() as u64))
                .collect(),
        })
    }

    async fn explain(&self, req: &Request) -> Option<Explanation> {
        let status = self.status().await?;
        let view = self.view.borrow().clone();
        let (_, config) = view.config.as_ref()?;
        let service: ServiceId = req.query::<String>("service")?.into();
        let workspace: WorkspaceId = req.query::<String>("workspace")?.into();
        let mut reasons = vec![format!(
            "instance {} has version {} in force, {}",
            self.own_id, status.version, status.standing
        )];
        let Some(service_config) = config.services.get(&service) else {
            reasons.push(format!("service {service} is not in the configuration"));
            return Some(Explanation::refused("unknown_service", reasons));
        };
        let Some(limits) = config.workspaces.get(&workspace) else {
            reasons.push(format!("workspace {workspace} is not in the configuration"));
            return Some(Explanation::refused("unknown_key", reasons));
        };
        reasons.push(format!(
            "workspace {workspace} may send {} requests/s with a burst of {}; {} units are here",
            limits.rate, limits.burst, status.workspaces[&workspace].available
        ));
        let keys = config
            .keys
            .values()
            .filter(|key| key.workspace == workspace)
            .count();
        reasons.push(format!("{keys} keys of the workspace are in force"));
        let usable: Vec<String> = service_config
            .targets
            .keys()
            .filter_map(|id| {
                let target = status.targets.get(id.as_str())?;
                (target.allowed > 0).then(|| {
                    format!(
                        "{id} ({}, {}/{})",
                        target.state, target.in_flight, target.allowed
                    )
                })
            })
            .collect();
        reasons.push(format!("targets that take work: {}", usable.join(", ")));
        reasons.extend(self.explain_entry_order(&view, config, req));
        let verdict = if keys == 0 {
            "refused: unknown_key"
        } else if usable.is_empty() {
            "refused: no_target"
        } else if status.standing == "alone" {
            "refused: isolated"
        } else {
            "served"
        };
        Some(Explanation {
            verdict: verdict.to_owned(),
            reasons,
        })
    }

    /// Returns the order in which callers in the queried `origin` domain try the instances; `None`
    /// without that query parameter.
    fn explain_entry_order(&self, view: &View, config: &Config, req: &Request) -> Option<String> {
        let domain = DomainId::from(req.query::<String>("origin")?);
        let candidates = view.candidates(config);
        let origin = CallerLocation {
            region: config.region_of(&domain).cloned(),
            domain: Some(domain.clone()),
        };
        let names: Vec<&str> = rank_candidates(&candidates, &origin, 0)
            .into_iter()
            .map(|idx| candidates[idx].instance.as_str())
            .collect();
        Some(format!(
            "callers near {domain} try, in order: {}",
            names.join(", ")
        ))
    }
}

impl Explanation {
    fn refused(kind: &str, reasons: Vec<String>) -> Self {
        Self {
            verdict: format!("refused: {kind}"),
            reasons,
        }
    }
}

fn version_of(view: &View) -> u64 {
    view.config.as_ref().map_or(0, |(version, _)| *version)
}

fn flags(now: Time, view: &View, fleet: &Fleet, engine: &EngineStatus) -> Vec<String> {
    let mut flags = Vec::new();
    match view.freshness {
        Freshness::Empty => flags.push("no configuration is in force".to_owned()),
        Freshness::Isolated => flags.push("cut off from the store and all instances".to_owned()),
        Freshness::Unconfirmed => {
            flags.push("the store can't confirm the configuration".to_owned());
        }
        Freshness::Fresh => {}
    }
    for (id, member) in &fleet.members {
        if member.is_listed && !member.is_alive(now) && !member.is_gone {
            flags.push(format!("instance {id} is listed but not heard"));
        }
    }
    for (id, state, _, _) in &engine.targets {
        if *state == TargetState::Down {
            flags.push(format!("target {id} is down"));
        }
    }
    if engine.path == PathState::Relayed {
        flags.push("targets are reached only through other instances".to_owned());
    }
    for (id, per_s) in &engine.named_rates {
        flags.push(format!(
            "target {id} takes only {per_s} requests per second"
        ));
    }
    if !engine.quarantined.is_empty() {
        flags.push(format!("{} requests are barred", engine.quarantined.len()));
    }
    flags
}

fn instances(now: Time, fleet: &Fleet) -> BTreeMap<InstanceId, InstanceStatus> {
    fleet
        .members
        .iter()
        .map(|(id, member)| {
            let status = InstanceStatus {
                domain: member.domain.clone(),
                version: member.version,
                is_heard: member.is_alive(now),
                is_leaving: member.is_leaving,
                is_listed: member.is_listed,
                is_gone: member.is_gone,
                format: member.format,
                build: member.build.clone(),
            };
            (id.clone(), status)
        })
        .collect()
}

fn workspaces(engine: &EngineStatus) -> BTreeMap<WorkspaceId, WorkspaceStatus> {
    engine
        .available
        .iter()
        .map(|(workspace, available)| {
            let status = WorkspaceStatus {
                owner: engine.owners.get(workspace).cloned(),
                available: (available * 10.0).round() / 10.0,
            };
            (workspace.clone(), status)
        })
        .collect()
}

fn targets(engine: &EngineStatus) -> BTreeMap<String, TargetStatus> {
    engine
        .targets
        .iter()
        .map(|(id, state, in_flight, allowed)| {
            let status = TargetStatus {
                state: format!("{state:?}").to_lowercase(),
                in_flight: *in_flight,
                allowed: *allowed,
            };
            (id.to_string(), status)
        })
        .collect()
}

fn freshness_name(freshness: Freshness) -> &'static str {
    match freshness {
        Freshness::Empty => "empty",
        Freshness::Fresh => "fresh",
        Freshness::Unconfirmed => "unconfirmed",
        Freshness::Isolated => "alone",
    }
}

/// Identifies a page of the operators' listener.
#[derive(Debug, Clone, Copy)]
enum Page {
    Metrics,
    Status,
    Explain,
    Leave,
}

/// Serves one page.
struct PageHandler(Page, Operator);

#[salvo::async_trait]
impl Handler for PageHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Self(page, operator) = self;
        match page {
            Page::Metrics => operator.respond_with_metrics(res).await,
            Page::Status => match operator.status().await {
                Some(status) => response::write_json(res, 200, &status),
                None => response::write_json(res, 503, &"the instance is ending"),
            },
            Page::Explain => match operator.explain(req).await {
                Some(explanation) => response::write_json(res, 200, &explanation),
                None => response::write_json(res, 400, &EXPLAIN_REQUIREMENTS),
            },
            Page::Leave => {
                let _ = operator.leave.try_send(());
                response::write_json(res, 202, &"leaving");
            }
        }
    }
}

const EXPLAIN_REQUIREMENTS: &str = "service and workspace are needed, and a configuration in force";
