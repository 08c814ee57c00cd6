//! The status of an instance, for operators.

use std::collections::BTreeMap;

use base::{DomainId, InstanceId, Time, WorkspaceId};
use coord::Freshness;
use dispatch::{PathState, TargetState};
use entry::{message::EngineStatus, view::View};
use serde::Serialize;

use super::Operator;
use crate::{fleet::Fleet, follower::tables::KEPT_GAUGE};

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

impl Operator {
    pub(super) async fn status(&self) -> Option<Status> {
        let engine = self.engine_status().await?;
        let view = self.view.borrow().clone();
        let fleet = self.fleet.borrow().clone();
        let now = self.clock.now();
        let mut flags = flags(now, &view, &fleet, &engine);
        let kept = self.metrics.gauges.with_label_values(&[KEPT_GAUGE]).get();
        if kept > 0 {
            flags.push(format!("{kept} rows are kept over the store's copy"));
        }
        Some(Status {
            flags,
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
}

pub(super) fn version_of(view: &View) -> u64 {
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
