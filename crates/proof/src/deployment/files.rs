//! Files that a deployment's programs read: the operators' answers and each instance's settings.

use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf};

use serde_json::{Value, json};

use super::{Deployment, DeploymentSpec};

const SECRET: &str = "a secret for tests only";

impl Deployment {
    pub(super) fn write_answers(&self, spec: &DeploymentSpec) {
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

    pub(super) fn write_settings(
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

fn region(domain: &str) -> &str {
    domain.split('-').next().unwrap_or(domain)
}
