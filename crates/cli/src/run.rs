//! Implementation of each command.

use std::{
    fs,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use base::{Config, Key, KeyDigest, KeyId};
use clap::ArgMatches;
use platform::Platform;
use serde::Serialize;
use serde_json::{Value, json};
use survey::Answers;
use tokio::time::{Instant, sleep};

use crate::{
    change::diff_configs,
    command::command,
    error::CliError,
    instance::{self, Status},
    questionnaire, report, versions, why,
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_EDIT_ATTEMPTS: u32 = 20;
const KEY_SECRET_BYTES: usize = 24;

/// Holds the arguments of a command and the values that most commands need.
struct CommandContext<'a> {
    args: &'a ArgMatches,
    platform: Platform,
    operator: SocketAddr,
    author: String,
    is_json: bool,
}

/// Runs the command that `matches` describe.
///
/// # Errors
///
/// [`CliError`], which gives the exit code of the process.
pub async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    let context = CommandContext::new(args);
    match name {
        "init" => init(args),
        "plan" => context.plan().await,
        "apply" => context.apply().await,
        "key" => context.key().await,
        "drain" => context.drain().await,
        "status" => context.status().await,
        "history" => context.history().await,
        "revert" => context.revert().await,
        "explain" => context.explain().await,
        "why" => why::run(args),
        "report" => report::run(args),
        "completions" => completions(args),
        _ => man(),
    }
}

impl<'a> CommandContext<'a> {
    fn new(args: &'a ArgMatches) -> Self {
        let addr = |name: &str| args.get_one::<SocketAddr>(name).copied();
        let text = |name: &str| args.get_one::<String>(name).cloned().unwrap_or_default();
        let fallback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            args,
            platform: platform::http::connect(addr("platform").unwrap_or(fallback)),
            operator: addr("operator").unwrap_or(fallback),
            author: text("by"),
            is_json: text("output") == "json",
        }
    }

    /// Prints `value` as JSON or the result of `to_text`, according to the output format.
    fn print<T, F>(&self, value: &T, to_text: F)
    where
        T: Serialize,
        F: FnOnce() -> String,
    {
        let text = if self.is_json {
            serde_json::to_string(value).unwrap_or_default()
        } else {
            to_text()
        };
        // A reader that closes the pipe early isn't an error of the command.
        let _ = writeln!(io::stdout(), "{text}");
    }

    async fn plan(&self) -> Result<(), CliError> {
        let answers = read_answers(path_arg(self.args, "answers"))?;
        let latest = versions::read_latest(&self.platform).await?;
        let new = merge_answers(&latest.config, &answers);
        let changes = diff_configs(&latest.config, &new);
        let value = json!({ "base": latest.version, "changes": changes });
        self.print(&value, || {
            let mut lines = vec![format!(
                "{} changes on version {}",
                changes.len(),
                latest.version
            )];
            lines.extend(
                changes
                    .iter()
                    .map(|change| format!("  {}", change.to_line())),
            );
            lines.join("\n")
        });
        Ok(())
    }

    async fn apply(&self) -> Result<(), CliError> {
        let answers = read_answers(path_arg(self.args, "answers"))?;
        let latest = versions::read_latest(&self.platform).await?;
        let base = self.args.get_one::<u64>("base").copied();
        if let Some(base) = base.filter(|base| *base != latest.version) {
            let current = latest.version;
            return Err(CliError::Conflict { base, current });
        }
        let new = merge_answers(&latest.config, &answers);
        if new == latest.config && latest.version > 0 {
            let value = json!({ "event": "unchanged", "version": latest.version });
            self.print(&value, || format!("unchanged: version {}", latest.version));
            return Ok(());
        }
        let version =
            versions::write_version(&self.platform, latest.version, &new, &self.author, "apply")
                .await?;
        self.report_written(version).await
    }

    async fn key(&self) -> Result<(), CliError> {
        let Some((name, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let context = CommandContext::new(args);
        match name {
            "issue" => context.issue_key().await,
            "withdraw" => context.revoke_key().await,
            _ => context.list_keys().await,
        }
    }

    async fn issue_key(&self) -> Result<(), CliError> {
        let id = KeyId::from(text_arg(self.args, "id"));
        let workspace = text_arg(self.args, "workspace").into();
        let secret = generate_key_secret();
        let key = Key {
            workspace,
            digest: KeyDigest::of(&secret),
        };
        let version = self
            .edit_config(&format!("issue key {id}"), |config| {
                if !config.workspaces.contains_key(&key.workspace) {
                    return Err(format!("workspace {} does not exist", key.workspace));
                }
                if config.keys.contains_key(&id) {
                    return Err(format!("key {id} exists already"));
                }
                config.keys.insert(id.clone(), key.clone());
                Ok(())
            })
            .await?;
        let value = json!({ "event": "issued", "id": id, "key": secret });
        self.print(&value, || {
            format!("key {id}: {secret}\n(it is shown only now)")
        });
        self.report_written(version).await
    }

    async fn revoke_key(&self) -> Result<(), CliError> {
        let id = KeyId::from(text_arg(self.args, "id"));
        let version = self
            .edit_config(&format!("withdraw key {id}"), |config| {
                let removed = config.keys.remove(&id);
                removed
                    .map(|_| ())
                    .ok_or_else(|| format!("key {id} does not exist"))
            })
            .await?;
        self.report_written(version).await
    }

    async fn list_keys(&self) -> Result<(), CliError> {
        let latest = versions::read_latest(&self.platform).await?;
        let keys: Vec<Value> = latest
            .config
            .keys
            .iter()
            .map(|(id, key)| json!({ "id": id, "workspace": key.workspace }))
            .collect();
        self.print(&keys, || {
            latest
                .config
                .keys
                .iter()
                .map(|(id, key)| format!("{id}\t{}", key.workspace))
                .collect::<Vec<_>>()
                .join("\n")
        });
        Ok(())
    }

    async fn drain(&self) -> Result<(), CliError> {
        let (kind, name) = (text_arg(self.args, "kind"), text_arg(self.args, "name"));
        let is_undo = self.args.get_flag("undo");
        let summary = if is_undo {
            format!("undrain {kind} {name}")
        } else {
            format!("drain {kind} {name}")
        };
        let version = self
            .edit_config(&summary, |config| set_drain(config, &kind, &name, !is_undo))
            .await?;
        self.report_written(version).await
    }

    async fn status(&self) -> Result<(), CliError> {
        let status = instance::fetch_status(self.operator).await?;
        self.print(&status, || format_status(&status));
        Ok(())
    }

    async fn history(&self) -> Result<(), CliError> {
        let records = versions::read_history(&self.platform).await?;
        self.print(&records, || {
            records
                .iter()
                .map(|record| format!("{}\t{}\t{}", record.version, record.author, record.summary))
                .collect::<Vec<_>>()
                .join("\n")
        });
        Ok(())
    }

    async fn revert(&self) -> Result<(), CliError> {
        let wanted = self.args.get_one::<u64>("version").copied().unwrap_or(0);
        let records = versions::read_history(&self.platform).await?;
        let record = records
            .iter()
            .find(|record| record.version == wanted)
            .ok_or_else(|| CliError::InvalidRequest(format!("version {wanted} does not exist")))?;
        let mut old = versions::read_config(&self.platform, &record.digest).await?;
        let latest = versions::read_latest(&self.platform).await?;
        if !self.args.get_flag("with-keys") {
            old.keys = latest.config.keys;
        }
        let summary = format!("revert to {wanted}");
        let version =
            versions::write_version(&self.platform, latest.version, &old, &self.author, &summary)
                .await?;
        self.report_written(version).await
    }

    async fn explain(&self) -> Result<(), CliError> {
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

    /// Applies `edit` to the latest configuration and writes the result as a new version.
    ///
    /// After a conflict, applies `edit` again to the version that came first, so `edit` must be
    /// correct on any version.
    async fn edit_config<F>(&self, summary: &str, edit: F) -> Result<u64, CliError>
    where
        F: Fn(&mut Config) -> Result<(), String>,
    {
        for _ in 0..MAX_EDIT_ATTEMPTS {
            let mut latest = versions::read_latest(&self.platform).await?;
            edit(&mut latest.config).map_err(CliError::InvalidRequest)?;
            let result = versions::write_version(
                &self.platform,
                latest.version,
                &latest.config,
                &self.author,
                summary,
            )
            .await;
            match result {
                Err(CliError::Conflict { .. }) => {}
                other => return other,
            }
        }
        let current = versions::read_latest(&self.platform).await?.version;
        let base = current.saturating_sub(1);
        Err(CliError::Conflict { base, current })
    }

    /// Reports that `version` is written, then waits until all live instances have activated it and
    /// reports that too.
    async fn report_written(&self, version: u64) -> Result<(), CliError> {
        let value = json!({ "event": "written", "version": version });
        self.print(&value, || format!("written: version {version}"));
        let secs = self.args.get_one::<u64>("wait").copied().unwrap_or(0);
        if secs == 0 {
            return Ok(());
        }
        let deadline = Instant::now() + Duration::from_secs(secs);
        let mut last_pending = Vec::new();
        loop {
            let pending = match instance::fetch_status(self.operator).await {
                Ok(status) => status.pending_instances(version),
                Err(_) => vec![self.operator.to_string()],
            };
            if pending.is_empty() {
                let value = json!({ "event": "in_force", "version": version });
                self.print(&value, || format!("in force: version {version}"));
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(CliError::NotActive { version, pending });
            }
            if pending != last_pending && !last_pending.is_empty() {
                let value = json!({ "event": "waiting", "for": pending });
                self.print(&value, || format!("waiting for: {}", pending.join(", ")));
            }
            last_pending = pending;
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn init(args: &ArgMatches) -> Result<(), CliError> {
    let answers = match args.get_one::<PathBuf>("from") {
        Some(file) => read_answers(file)?,
        None => {
            let (mut input, mut out) = (io::stdin().lock(), io::stderr().lock());
            questionnaire::ask(&mut input, &mut out).map_err(|err| CliError::File {
                file: "standard input".to_owned(),
                reason: err.to_string(),
            })?
        }
    };
    let out = path_arg(args, "out");
    let text = serde_json::to_string_pretty(&answers).unwrap_or_default() + "\n";
    survey::parse_answers(out, &text)?;
    fs::write(out, text).map_err(|err| file_error(out, &err))?;
    println!("answers written to {}", out.display());
    Ok(())
}

fn completions(args: &ArgMatches) -> Result<(), CliError> {
    if let Some(shell) = args.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "godwitgauge", &mut io::stdout());
    }
    Ok(())
}

fn man() -> Result<(), CliError> {
    clap_mangen::Man::new(command())
        .render(&mut io::stdout())
        .map_err(|err| CliError::File {
            file: "standard output".to_owned(),
            reason: err.to_string(),
        })
}

/// Returns the configuration that the answers describe, with the current API keys and drains.
///
/// Drops the keys of workspaces that no longer exist.
fn merge_answers(current: &Config, answers: &Answers) -> Config {
    let mut config = survey::generate_config(answers);
    config.keys = current
        .keys
        .iter()
        .filter(|(_, key)| config.workspaces.contains_key(&key.workspace))
        .map(|(id, key)| (id.clone(), key.clone()))
        .collect();
    config.drains = current.drains.clone();
    config
}

/// Adds a drain to the configuration or removes it.
///
/// Fails if the target, domain or region does not exist, or if nothing would change. Does not check
/// the names of instances, since the configuration does not list them.
fn set_drain(config: &mut Config, kind: &str, name: &str, is_drained: bool) -> Result<(), String> {
    let is_known = match kind {
        "target" => config
            .services
            .values()
            .any(|service| service.targets.contains_key(name)),
        "domain" => config.domains.contains_key(name),
        "region" => config
            .domains
            .values()
            .any(|domain| domain.region.as_str() == name),
        _ => true,
    };
    if !is_known {
        return Err(format!("{kind} {name} does not exist"));
    }
    let drains = &mut config.drains;
    let is_changed = match (kind, is_drained) {
        ("target", true) => drains.targets.insert(name.into()),
        ("target", false) => drains.targets.remove(name),
        ("domain", true) => drains.domains.insert(name.into()),
        ("domain", false) => drains.domains.remove(name),
        ("region", true) => drains.regions.insert(name.into()),
        ("region", false) => drains.regions.remove(name),
        (_, true) => drains.instances.insert(name.into()),
        (_, false) => drains.instances.remove(name),
    };
    if is_changed {
        Ok(())
    } else {
        Err(format!("{kind} {name} is already in that state"))
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
        lines.push(format!("{id}\tversion {}\t{state}", peer.version));
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

fn read_answers(file: &Path) -> Result<Answers, CliError> {
    let text = fs::read_to_string(file).map_err(|err| file_error(file, &err))?;
    Ok(survey::parse_answers(file, &text)?)
}

fn file_error(file: &Path, err: &io::Error) -> CliError {
    CliError::File {
        file: file.display().to_string(),
        reason: err.to_string(),
    }
}

fn path_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a Path {
    args.get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}

fn text_arg(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

/// Returns a new random API key, in hexadecimal with a prefix.
fn generate_key_secret() -> String {
    let bytes: [u8; KEY_SECRET_BYTES] = rand::random();
    bytes.iter().fold(String::from("gw_"), |mut text, byte| {
        text.push_str(&format!("{byte:02x}"));
        text
    })
}
