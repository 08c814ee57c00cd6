//! A deployment of separate processes that talk over loopback.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, time::Duration};

use platform::{Call, ListedMachine, MachineKind, MachineState, Platform};
use serde_json::{Value, json};
use standin::{platform_server::Faults, relay::Relay};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::{
    caller::{Caller, Request},
    process::{Process, parse_addr, run},
};

const STATUS_TIMEOUT: Duration = Duration::from_secs(20);
const SECRET: &str = "a secret for tests only";

/// Holds a running instance's process and the addresses that it listens on.
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

/// Holds the relays through which an instance is connected to the rest of the deployment.
#[derive(Debug)]
pub struct Relays {
    /// TCP relay from the instance to the platform.
    pub platform: Relay,
    /// UDP relay from the other instances to the instance.
    pub peer: Relay,
}

/// Holds a running target's process and the address that it listens on.
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

/// Runs the command-line program against a deployment.
#[derive(Debug, Clone, Copy)]
pub struct OperatorClient {
    /// Address that the platform listens on.
    pub platform: SocketAddr,
    /// Operator listener of an instance.
    pub operator: SocketAddr,
}

impl OperatorClient {
    /// Runs `godwitgauge` with these arguments and returns its output and exit code.
    ///
    /// Standard error follows standard output. The code is -1 if a signal ended the program.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn run_cli(&self, args: &[&str]) -> (String, i32) {
        let (platform, operator) = (self.platform.to_string(), self.operator.to_string());
        let mut all = vec!["--platform", &platform, "--operator", &operator];
        all.extend(args);
        let output = run("godwitgauge", &all);
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (text, output.status.code().unwrap_or(-1))
    }
}

/// Describes a deployment to start.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Failure domains, each in a region of its own, with one instance and one target each.
    pub domains: Vec<String>,
    /// Number of slots of each target.
    pub slots: u32,
    /// Rate of the workspace `club`, in requests per second.
    pub rate: f64,
    /// Burst of the workspace `club`, in requests.
    pub burst: f64,
    /// Names of the instances that get [`Relays`].
    pub relayed_instances: Vec<String>,
    /// Whether instances connect to targets through relays.
    pub has_target_relays: bool,
    /// Settings that override or extend those of every instance.
    pub settings: BTreeMap<String, Value>,
}

impl Default for DeploymentSpec {
    fn default() -> Self {
        Self {
            domains: ["sierra-norte", "costa-norte", "oriente-norte"]
                .map(str::to_owned)
                .to_vec(),
            slots: 4,
            rate: 1_000.0,
            burst: 1_000.0,
            relayed_instances: Vec::new(),
            has_target_relays: false,
            settings: BTreeMap::from([("lookup_ttl_ms".to_owned(), json!(500))]),
        }
    }
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

    /// Runs [`OperatorClient::run_cli`] against this deployment.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started or there is no instance.
    pub fn run_cli(&self, args: &[&str]) -> (String, i32) {
        self.operator_client().run_cli(args)
    }

    /// Returns a client that uses the operator listener of the first instance.
    ///
    /// # Panics
    ///
    /// Panics if there is no instance.
    pub fn operator_client(&self) -> OperatorClient {
        let first = self
            .instances
            .values()
            .next()
            .expect("the deployment should have an instance");
        OperatorClient {
            platform: self.platform_addr,
            operator: first.operator,
        }
    }

    /// Applies the answers file, then issues an API key for `club` and returns it.
    ///
    /// # Panics
    ///
    /// Panics if either command fails.
    pub fn apply_and_issue_key(&self) -> String {
        let (text, code) = self.run_cli(&["apply", &self.answers_path().to_string_lossy()]);
        assert_eq!(code, 0, "{text}");
        self.issue_key("k1", "club")
    }

    /// Issues an API key with this id for a workspace and returns the key.
    ///
    /// # Panics
    ///
    /// Panics if the command fails.
    pub fn issue_key(&self, id: &str, workspace: &str) -> String {
        let args = [
            "--output",
            "json",
            "key",
            "issue",
            id,
            "--workspace",
            workspace,
        ];
        let (text, code) = self.run_cli(&args);
        assert_eq!(code, 0, "{text}");
        let issued: Value = text
            .lines()
            .find_map(|line| serde_json::from_str(line).ok())
            .expect("the output should contain a JSON line");
        issued["key"]
            .as_str()
            .expect("the JSON line should contain the key")
            .to_owned()
    }

    /// Returns the status that an instance reports to operators; null if it can't be reached.
    pub async fn status(&self, name: &str) -> Value {
        let Some(instance) = self.instances.get(name) else {
            return Value::Null;
        };
        match Caller::try_connect(instance.operator).await {
            Some(mut caller) => caller.send(&Request::get("/v1/status")).await.body,
            None => Value::Null,
        }
    }

    /// Polls an instance's status until it meets a condition.
    ///
    /// # Panics
    ///
    /// Panics after 20 seconds; the message contains `condition` and the last status.
    pub async fn wait_for_status<F>(&self, name: &str, condition: &str, is_met: F)
    where
        F: Fn(&Value) -> bool,
    {
        let deadline = Instant::now() + STATUS_TIMEOUT;
        loop {
            let status = self.status(name).await;
            if is_met(&status) {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "{name}: timed out waiting for {condition}: {status}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until each instance receives heartbeats from all others.
    ///
    /// # Panics
    ///
    /// Panics if one instance takes more than 20 seconds.
    pub async fn wait_for_heartbeats(&self) {
        let others = self.instances.len() - 1;
        for name in self.instances.keys() {
            self.wait_for_status(name, "heartbeats from all instances", |status| {
                live_peer_count(status) >= others
            })
            .await;
        }
    }

    /// Waits until each instance also has a configuration that is confirmed to be current.
    ///
    /// # Panics
    ///
    /// Panics if one instance takes more than 20 seconds.
    pub async fn wait_until_confirmed(&self) {
        self.wait_for_heartbeats().await;
        for name in self.instances.keys() {
            self.wait_for_status(name, "confirmed configuration", |status| {
                status["standing"] == "fresh"
            })
            .await;
        }
    }

    fn write_answers(&self, spec: &DeploymentSpec) {
        let domains: Vec<Value> = spec
            .domains
            .iter()
            .map(|domain| json!({ "name": domain, "region": region(domain) }))
            .collect();
        let targets: BTreeMap<&str, Vec<SocketAddr>> = self
            .targets
            .iter()
            .map(|(name, target)| {
                let relay = self.target_relays.get(name).map(|relay| relay.addr);
                let addr = relay.unwrap_or(target.addr);
                (target.domain.as_str(), vec![addr])
            })
            .collect();
        let answers = json!({
            "deployment": "trial",
            "domains": domains,
            "region_delay_ms": 55,
            "client_delay_ms": 1,
            "region_mbit_per_s": 4_000,
            "services": { "logbook": {
                "slots": spec.slots, "deadline_ms": 5_000, "open_routes": ["/notice"],
                "targets": targets,
            } },
            "workspaces": {
                "club": { "rate": spec.rate, "burst": spec.burst },
                "gym": { "rate": 1_000.0, "burst": 1_000.0 },
            },
        });
        let text = format!("// Answers of a test deployment.\n{answers:#}\n");
        fs::write(self.answers_path(), text).expect("the answers file should be written");
    }

    fn write_settings(
        &self,
        name: &str,
        domain: &str,
        spec: &DeploymentSpec,
        platform_addr: SocketAddr,
    ) -> PathBuf {
        let mut settings = json!({
            "instance": name,
            "domain": domain,
            "region": region(domain),
            "entry": "127.0.0.1:0",
            "operator": "127.0.0.1:0",
            "peer": "127.0.0.1:0",
            "platform": platform_addr,
            "secret": SECRET,
            "slot_count": spec.domains.len() + 1,
        });
        for (field, value) in &spec.settings {
            settings[field] = value.clone();
        }
        let file = self.dir.path().join(format!("{name}.jsonc"));
        fs::write(&file, format!("// Settings of {name}.\n{settings:#}\n"))
            .expect("the settings file should be written");
        file
    }
}

fn live_peer_count(status: &Value) -> usize {
    let instances = status["instances"].as_object();
    instances.map_or(0, |instances| {
        instances
            .values()
            .filter(|other| other["is_heard"] == true)
            .count()
    })
}

fn region(domain: &str) -> &str {
    domain.split('-').next().unwrap_or(domain)
}
