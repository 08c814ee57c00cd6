//! A deployment of separate processes over loopback.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, time::Duration};

use platform::{Call, ListedMachine, MachineKind, MachineState, Platform};
use serde_json::{Value, json};
use standin::{platform_server::Faults, relay::Relay};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::{
    caller::{Caller, Request},
    process::{Process, addr, run},
};

const PATIENCE: Duration = Duration::from_secs(20);
const SECRET: &str = "a secret for tests only";

/// Holds one instance's process and addresses.
#[derive(Debug)]
pub struct Instance {
    /// Its process.
    pub process: Process,
    /// Failure domain, which is its region too.
    pub domain: String,
    /// Address for callers.
    pub entry: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
}

/// Holds relays between an instance and the rest.
#[derive(Debug)]
pub struct Relays {
    /// Between the instance and the platform.
    pub platform: Relay,
    /// Between the other instances and the instance, over UDP.
    pub peer: Relay,
}

/// Holds one target's process and address.
#[derive(Debug)]
pub struct TargetProcess {
    /// Its process.
    pub process: Process,
    /// Failure domain.
    pub domain: String,
    /// Address.
    pub addr: SocketAddr,
}

/// Holds a platform, targets and instances.
#[derive(Debug)]
pub struct Deployment {
    /// Folder with settings and answers.
    pub folder: TempDir,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Handle on the platform.
    pub platform: Platform,
    /// Targets by name.
    pub targets: BTreeMap<String, TargetProcess>,
    /// Instances by name.
    pub instances: BTreeMap<String, Instance>,
    /// Relays of the targets, where the plan wants some.
    pub target_relays: BTreeMap<String, Relay>,
    /// Relays of the instances that have some.
    pub relays: BTreeMap<String, Relays>,
    _platform: Process,
}

/// Reaches a deployment as operators do.
#[derive(Debug, Clone, Copy)]
pub struct Operators {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of an instance for operators.
    pub operator: SocketAddr,
}

impl Operators {
    /// Runs the operators' program and returns its output and exit code.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be started.
    pub fn operate(&self, args: &[&str]) -> (String, i32) {
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
pub struct Plan {
    /// Failure domains, each a region of its own, with one instance and one target each.
    pub domains: Vec<String>,
    /// Slots of each target.
    pub slots: u32,
    /// Requests per second of the workspace `club`.
    pub rate: f64,
    /// Burst of the workspace `club`.
    pub burst: f64,
    /// Instances that reach the rest, and are reached, through relays.
    pub relayed: Vec<String>,
    /// Whether instances reach targets through relays.
    pub has_target_relays: bool,
    /// Settings added to those of each instance.
    pub settings: BTreeMap<String, Value>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            domains: ["sierra-norte", "costa-norte", "oriente-norte"]
                .map(str::to_owned)
                .to_vec(),
            slots: 4,
            rate: 1_000.0,
            burst: 1_000.0,
            relayed: Vec::new(),
            has_target_relays: false,
            settings: BTreeMap::from([("lookup_ttl_ms".to_owned(), json!(500))]),
        }
    }
}

impl Deployment {
    /// Starts the processes; no configuration is written yet.
    ///
    /// # Panics
    ///
    /// Panics where a process does not start.
    pub async fn start(plan: &Plan) -> Self {
        let platform_process = Process::start("godwitgauge-standin", &["platform"]);
        let platform_addr = addr(&platform_process.event("ready"), "addr");
        let mut deployment = Self {
            folder: tempfile::tempdir().expect("a folder"),
            platform_addr,
            platform: platform::http::connect(platform_addr),
            targets: BTreeMap::new(),
            instances: BTreeMap::new(),
            target_relays: BTreeMap::new(),
            relays: BTreeMap::new(),
            _platform: platform_process,
        };
        for domain in &plan.domains {
            deployment.start_target(domain, plan.slots);
            if plan.has_target_relays {
                deployment.relay_target(domain).await;
            }
        }
        for (idx, domain) in plan.domains.iter().enumerate() {
            let name = format!("i{}", idx + 1);
            deployment.start_instance(&name, domain, plan).await;
        }
        deployment.write_answers(plan);
        deployment
    }

    /// Starts a target of the service `logbook`.
    ///
    /// # Panics
    ///
    /// Panics where it does not start.
    pub fn start_target(&mut self, domain: &str, slots: u32) {
        let name = format!("logbook-{domain}-1");
        let slots = slots.to_string();
        let args = ["target", "--name", &name, "--slots", &slots];
        let process = Process::start("godwitgauge-standin", &args);
        let addr = addr(&process.event("ready"), "addr");
        let target = TargetProcess {
            process,
            domain: domain.to_owned(),
            addr,
        };
        self.targets.insert(name, target);
    }

    /// Puts a relay before a target; the answers name the relay in the target's place.
    async fn relay_target(&mut self, domain: &str) {
        let name = format!("logbook-{domain}-1");
        if let Some(target) = self.targets.get(&name) {
            let relay = Relay::tcp(target.addr).await.expect("a relay");
            self.target_relays.insert(name, relay);
        }
    }

    /// Starts an instance and has the platform list it.
    ///
    /// # Panics
    ///
    /// Panics where it does not start.
    pub async fn start_instance(&mut self, name: &str, domain: &str, plan: &Plan) {
        let mut platform_addr = self.platform_addr;
        let platform_relay = if plan.relayed.contains(&name.to_owned()) {
            let relay = Relay::tcp(platform_addr).await.expect("a relay");
            platform_addr = relay.addr;
            Some(relay)
        } else {
            None
        };
        let file = self.settings_file(name, domain, plan, platform_addr);
        let args = ["run", "--config", &file.to_string_lossy(), "--log", "warn"];
        let process = Process::start("godwitgauged", &args);
        let line = process.event("listening");
        let instance = Instance {
            process,
            domain: domain.to_owned(),
            entry: addr(&line, "entry"),
            operator: addr(&line, "operator"),
            peer: addr(&line, "peer"),
        };
        let mut listed = instance.peer;
        if let Some(platform) = platform_relay {
            let peer = Relay::udp(instance.peer).await.expect("a relay");
            listed = peer.addr;
            let relays = Relays { platform, peer };
            self.relays.insert(name.to_owned(), relays);
        }
        self.list(name, domain, listed).await;
        self.instances.insert(name.to_owned(), instance);
    }

    /// Has the platform list an instance.
    ///
    /// # Panics
    ///
    /// Panics where the platform does not answer.
    pub async fn list(&self, name: &str, domain: &str, peer: SocketAddr) {
        let listed = ListedMachine {
            id: name.to_owned(),
            kind: MachineKind::Instance,
            domain: domain.into(),
            addr: peer,
            state: MachineState::Live,
        };
        let call = Call::Announce { listed };
        self.platform.call(call).await.expect("the list");
    }

    /// Switches the platform's faults.
    ///
    /// # Panics
    ///
    /// Panics where the platform does not answer.
    pub async fn set_faults(&self, faults: Faults) {
        let body = serde_json::to_string(&faults).expect("faults");
        let ask = Request::post("/admin/faults")
            .header("content-type", "application/json")
            .body(&body);
        let answer = Caller::connect(self.platform_addr).await.send(&ask).await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }

    /// Takes an instance off the platform's list.
    ///
    /// # Panics
    ///
    /// Panics where the platform does not answer.
    pub async fn unlist(&self, name: &str) {
        let id = name.to_owned();
        self.platform
            .call(Call::Forget { id })
            .await
            .expect("the list");
    }

    /// Returns how often an action ran on all targets together.
    pub async fn runs(&self, action: &str) -> u64 {
        let mut total = 0;
        for target in self.targets.values() {
            if let Some(mut caller) = Caller::try_connect(target.addr).await {
                let answer = caller.send(&Request::get("/admin/runs")).await;
                total += answer.body["by_key"][action].as_u64().unwrap_or(0);
            }
        }
        total
    }

    /// Returns the path of the answers.
    pub fn answers(&self) -> PathBuf {
        self.folder.path().join("answers.jsonc")
    }

    /// Runs the operators' program and returns its output and exit code.
    ///
    /// # Panics
    ///
    /// Panics where the program can't be started.
    pub fn operate(&self, args: &[&str]) -> (String, i32) {
        self.operators().operate(args)
    }

    /// Returns what operators need to reach the deployment.
    ///
    /// # Panics
    ///
    /// Panics where there is no instance.
    pub fn operators(&self) -> Operators {
        let first = self.instances.values().next().expect("an instance");
        Operators {
            platform: self.platform_addr,
            operator: first.operator,
        }
    }

    /// Applies the answers, issues a key for `club` and returns it.
    ///
    /// # Panics
    ///
    /// Panics where either fails.
    pub fn set_up(&self) -> String {
        let (text, code) = self.operate(&["apply", &self.answers().to_string_lossy()]);
        assert_eq!(code, 0, "{text}");
        self.issue_key("k1", "club")
    }

    /// Issues a key and returns it.
    ///
    /// # Panics
    ///
    /// Panics where that fails.
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
        let (text, code) = self.operate(&args);
        assert_eq!(code, 0, "{text}");
        let issued: Value = text
            .lines()
            .find_map(|line| serde_json::from_str(line).ok())
            .expect("an issued key");
        issued["key"].as_str().expect("a key").to_owned()
    }

    /// Returns the status that an instance shows.
    pub async fn status(&self, name: &str) -> Value {
        let Some(instance) = self.instances.get(name) else {
            return Value::Null;
        };
        match Caller::try_connect(instance.operator).await {
            Some(mut caller) => caller.send(&Request::get("/v1/status")).await.body,
            None => Value::Null,
        }
    }

    /// Waits until an instance's status meets a condition.
    ///
    /// # Panics
    ///
    /// Panics where that does not come about in time.
    pub async fn wait_for<F>(&self, name: &str, what: &str, is_met: F)
    where
        F: Fn(&Value) -> bool,
    {
        let until = Instant::now() + PATIENCE;
        loop {
            let status = self.status(name).await;
            if is_met(&status) {
                return;
            }
            assert!(Instant::now() < until, "{name}: no {what}: {status}");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until each instance hears all others.
    pub async fn settle_unconfigured(&self) {
        let others = self.instances.len() - 1;
        for name in self.instances.keys() {
            self.wait_for(name, "settled fleet", |status| heard(status) >= others)
                .await;
        }
    }

    /// Waits until each instance hears all others and has a confirmed configuration.
    pub async fn settle(&self) {
        self.settle_unconfigured().await;
        for name in self.instances.keys() {
            self.wait_for(name, "confirmed configuration", |status| {
                status["standing"] == "fresh"
            })
            .await;
        }
    }

    fn write_answers(&self, plan: &Plan) {
        let domains: Vec<Value> = plan
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
                "slots": plan.slots, "deadline_ms": 5_000, "open_routes": ["/notice"],
                "targets": targets,
            } },
            "workspaces": {
                "club": { "rate": plan.rate, "burst": plan.burst },
                "gym": { "rate": 1_000.0, "burst": 1_000.0 },
            },
        });
        let text = format!("// Answers of a trial.\n{answers:#}\n");
        fs::write(self.answers(), text).expect("the answers");
    }

    fn settings_file(
        &self,
        name: &str,
        domain: &str,
        plan: &Plan,
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
            "slot_count": plan.domains.len() + 1,
        });
        for (field, value) in &plan.settings {
            settings[field] = value.clone();
        }
        let file = self.folder.path().join(format!("{name}.jsonc"));
        fs::write(&file, format!("// Settings of {name}.\n{settings:#}\n")).expect("the settings");
        file
    }
}

fn heard(status: &Value) -> usize {
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
