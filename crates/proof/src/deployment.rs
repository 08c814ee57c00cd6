//! A deployment of separate processes that talk over loopback.

mod commands;
mod files;
mod operator_client;
mod spec;
mod status;

pub use operator_client::OperatorClient;
pub use spec::DeploymentSpec;

use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf};

use platform::{Call, ListedMachine, MachineKind, MachineState, Platform};
use standin::{platform_server::Faults, relay::Relay};
use tempfile::TempDir;

use crate::{
    caller::{Caller, Request},
    process::{Process, parse_addr},
};

/// Runs an instance as a process of its own, until it is dropped.
#[derive(Debug)]
pub struct Instance {
    /// Handle to its process.
    pub process: Process,
    /// Failure domain of the instance; its region is the part before the first hyphen.
    pub domain: String,
    /// Listener for callers.
    pub entry: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
    /// Listener for other instances.
    pub peer: SocketAddr,
}

/// Connects an instance to the rest of the deployment, so that a test can cut its links.
#[derive(Debug)]
pub struct Relays {
    /// TCP relay from the instance to the platform.
    pub platform: Relay,
    /// UDP relay from the other instances to the instance.
    pub peer: Relay,
}

/// Runs a target as a process of its own, until it is dropped.
#[derive(Debug)]
pub struct TargetProcess {
    /// Handle to its process.
    pub process: Process,
    /// Failure domain of the target.
    pub domain: String,
    /// Address that the target listens on, behind its relay if there is one.
    pub addr: SocketAddr,
}

/// Runs a platform, targets and instances as child processes until it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// Temporary directory with the instances' settings and the answers file.
    pub dir: TempDir,
    /// Address that the platform listens on.
    pub platform_addr: SocketAddr,
    /// Client of the platform.
    pub platform: Platform,
    /// Targets by name.
    pub targets: BTreeMap<String, TargetProcess>,
    /// Instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// Relays before the targets, by target name.
    pub target_relays: BTreeMap<String, Relay>,
    /// Relays of the instances in [`DeploymentSpec::relayed_instances`], by instance name.
    pub relays: BTreeMap<String, Relays>,
    /// Keeps the platform's process running.
    _platform_process: Process,
}

impl Deployment {
    /// Starts the processes without writing a configuration to the store.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    pub async fn start(spec: &DeploymentSpec) -> Self {
        let platform_process = Process::start("godwitgauge-standin", &["platform"]);
        let platform_addr = parse_addr(&platform_process.wait_for_event("ready"), "addr");
        let mut deployment = Self {
            dir: tempfile::tempdir().expect("a temporary directory should be created"),
            platform_addr,
            platform: platform::http::connect(platform_addr),
            targets: BTreeMap::new(),
            instances: BTreeMap::new(),
            target_relays: BTreeMap::new(),
            relays: BTreeMap::new(),
            _platform_process: platform_process,
        };
        for domain in &spec.domains {
            deployment.start_target(domain, spec.slots);
            if spec.has_target_relays {
                deployment.start_target_relay(domain).await;
            }
        }
        for (idx, domain) in spec.domains.iter().enumerate() {
            let name = format!("i{}", idx + 1);
            deployment.start_instance(&name, domain, spec).await;
        }
        deployment.write_answers(spec);
        deployment
    }

    /// Starts a target of the service `logbook`, named `logbook-{domain}-1`.
    ///
    /// # Panics
    ///
    /// Panics if the target does not start.
    pub fn start_target(&mut self, domain: &str, slots: u32) {
        let name = format!("logbook-{domain}-1");
        let slots = slots.to_string();
        let args = ["target", "--name", &name, "--slots", &slots];
        let process = Process::start("godwitgauge-standin", &args);
        let addr = parse_addr(&process.wait_for_event("ready"), "addr");
        let target = TargetProcess {
            process,
            domain: domain.to_owned(),
            addr,
        };
        self.targets.insert(name, target);
    }

    /// Starts a relay before a target; the answers file names the relay's address instead.
    async fn start_target_relay(&mut self, domain: &str) {
        let name = format!("logbook-{domain}-1");
        if let Some(target) = self.targets.get(&name) {
            let relay = Relay::tcp(target.addr)
                .await
                .expect("the relay should start");
            self.target_relays.insert(name, relay);
        }
    }

    /// Starts an instance and announces it to the platform.
    ///
    /// # Panics
    ///
    /// Panics if the instance does not start or the platform does not answer.
    pub async fn start_instance(&mut self, name: &str, domain: &str, spec: &DeploymentSpec) {
        let mut platform_addr = self.platform_addr;
        let platform_relay = if spec.relayed_instances.contains(&name.to_owned()) {
            let relay = Relay::tcp(platform_addr)
                .await
                .expect("the relay should start");
            platform_addr = relay.addr;
            Some(relay)
        } else {
            None
        };
        let file = self.write_settings(name, domain, spec, platform_addr);
        let args = ["run", "--config", &file.to_string_lossy(), "--log", "warn"];
        let process = Process::start("godwitgauged", &args);
        let line = process.wait_for_event("listening");
        let instance = Instance {
            process,
            domain: domain.to_owned(),
            entry: parse_addr(&line, "entry"),
            operator: parse_addr(&line, "operator"),
            peer: parse_addr(&line, "peer"),
        };
        let mut listed_addr = instance.peer;
        if let Some(platform) = platform_relay {
            let peer = Relay::udp(instance.peer)
                .await
                .expect("the relay should start");
            listed_addr = peer.addr;
            let relays = Relays { platform, peer };
            self.relays.insert(name.to_owned(), relays);
        }
        self.announce(name, domain, listed_addr).await;
        self.instances.insert(name.to_owned(), instance);
    }

    /// Adds an instance to the platform's list, with the address for other instances.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not answer.
    pub async fn announce(&self, name: &str, domain: &str, peer: SocketAddr) {
        let listed = ListedMachine {
            id: name.to_owned(),
            kind: MachineKind::Instance,
            domain: domain.into(),
            addr: peer,
            state: MachineState::Live,
        };
        let call = Call::Announce { listed };
        self.platform
            .call(call)
            .await
            .expect("the platform should answer");
    }

    /// Replaces the faults that the platform simulates.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not answer.
    pub async fn set_faults(&self, faults: Faults) {
        let body = serde_json::to_string(&faults).expect("faults should serialize");
        let request = Request::post("/admin/faults")
            .header("content-type", "application/json")
            .body(&body);
        let response = Caller::connect(self.platform_addr)
            .await
            .send(&request)
            .await;
        assert_eq!(response.status, 200, "{response:?}");
    }

    /// Removes an instance from the platform's list.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not answer.
    pub async fn forget(&self, name: &str) {
        let id = name.to_owned();
        self.platform
            .call(Call::Forget { id })
            .await
            .expect("the platform should answer");
    }

    /// Returns how often requests with this idempotency key ran, summed over all reachable targets.
    pub async fn execution_count(&self, key: &str) -> u64 {
        let mut total = 0;
        for target in self.targets.values() {
            if let Some(mut caller) = Caller::try_connect(target.addr).await {
                let response = caller.send(&Request::get("/admin/runs")).await;
                total += response.body["by_key"][key].as_u64().unwrap_or(0);
            }
        }
        total
    }

    /// Returns the path of the answers file that `plan` and `apply` read.
    pub fn answers_path(&self) -> PathBuf {
        self.dir.path().join("answers.jsonc")
    }
}
