//! `status` and `explain`: the state of an instance, and how it would handle a request.

use serde_json::Value;

use super::context::{CommandContext, text_arg};
use crate::{
    error::CliError,
    instance::{self, PeerStatus, Status},
};

impl CommandContext<'_> {
    pub(super) async fn status(&self) -> Result<(), CliError> {
        let status = instance::fetch_status(self.operator).await?;
        self.print(&status, || format_status(&status));
        Ok(())
    }

    pub(super) async fn explain(&self) -> Result<(), CliError> {
        let (workspace, service) = (
            text_arg(self.args, "workspace"),
            text_arg(self.args, "service"),
        );
        let origin = self.args.get_one::<String>("origin");
        let origin = origin.map_or_else(String::new, |origin| format!("&origin={origin}"));
        let path = format!("/v1/explain?workspace={workspace}&service={service}{origin}");
        let value = instance::get_json(self.operator, &path).await?;
        self.print(&value, || format_explanation(&value));
        Ok(())
    }
}

fn format_status(status: &Status) -> String {
    let mut lines: Vec<String> = status
        .flags
        .iter()
        .map(|flag| format!("! {flag}"))
        .collect();
    lines.push(format!(
        "{}\tversion {}\t{}",
        status.instance, status.version, status.freshness
    ));
    for (id, peer) in &status.instances {
        let mut state = if peer.is_heard { "heard" } else { "not heard" }.to_owned();
        if peer.is_leaving {
            state.push_str(", leaving");
        }
        if peer.is_gone {
            state.push_str(", gone");
        }
        let build = format_build(peer);
        lines.push(format!("{id}\tversion {}\t{build}\t{state}", peer.version));
    }
    for (id, target) in &status.targets {
        let state = target["state"].as_str().unwrap_or_default();
        lines.push(format!(
            "target {id}\t{state}\t{}/{}",
            target["in_flight"], target["allowed"]
        ));
    }
    for (id, workspace) in &status.workspaces {
        let owner = workspace["owner"].as_str().unwrap_or("-");
        lines.push(format!(
            "workspace {id}\towner {owner}\t{} units here",
            workspace["available"]
        ));
    }
    lines.join("\n")
}

fn format_build(peer: &PeerStatus) -> String {
    match (peer.build.as_str(), peer.format) {
        (_, 0) => "build unknown".to_owned(),
        ("", format) => format!("build unknown, format {format}"),
        (build, format) => format!("build {build}, format {format}"),
    }
}

fn format_explanation(value: &Value) -> String {
    let verdict = value["verdict"].as_str().unwrap_or_default();
    let reasons = value["reasons"].as_array().cloned().unwrap_or_default();
    let lines = reasons
        .iter()
        .filter_map(Value::as_str)
        .map(|reason| format!("  {reason}"));
    [verdict.to_owned()]
        .into_iter()
        .chain(lines)
        .collect::<Vec<_>>()
        .join("\n")
}
