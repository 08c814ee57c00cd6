//! What each command does.

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
    change::changes,
    command::command,
    fault::CliFault,
    instance::{self, Status},
    questionnaire, versions, why,
};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const COMMUTING_TRIES: u32 = 20;
const KEY_BYTES: usize = 24;

/// Holds what all commands share.
struct Session<'a> {
    args: &'a ArgMatches,
    platform: Platform,
    operator: SocketAddr,
    by: String,
    is_json: bool,
}

/// Carries out the command that `matches` describe.
///
/// # Errors
///
/// [`CliFault`] with the program's exit code.
pub async fn run(matches: &ArgMatches) -> Result<(), CliFault> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    let session = Session::new(args);
    match name {
        "init" => init(args),
        "plan" => session.plan().await,
        "apply" => session.apply().await,
        "key" => session.key().await,
        "drain" => session.drain().await,
        "status" => session.status().await,
        "history" => session.history().await,
        "revert" => session.revert().await,
        "explain" => session.explain().await,
        "why" => why::run(args),
        "completions" => completions(args),
        _ => man(),
    }
}

impl<'a> Session<'a> {
    fn new(args: &'a ArgMatches) -> Self {
        let addr = |name: &str| args.get_one::<SocketAddr>(name).copied();
        let text = |name: &str| args.get_one::<String>(name).cloned().unwrap_or_default();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            args,
            platform: platform::http::connect(addr("platform").unwrap_or(nowhere)),
            operator: addr("operator").unwrap_or(nowhere),
            by: text("by"),
            is_json: text("output") == "json",
        }
    }

    fn print<T, F>(&self, value: &T, text: F)
    where
        T: Serialize,
        F: FnOnce() -> String,
    {
        let text = if self.is_json {
            serde_json::to_string(value).unwrap_or_default()
        } else {
            text()
        };
        // A reader that has gone away is no fault of the command.
        let _ = writeln!(io::stdout(), "{text}");
    }

    async fn plan(&self) -> Result<(), CliFault> {
        let answers = read_answers(path(self.args, "answers"))?;
        let latest = versions::read_latest(&self.platform).await?;
        let new = with_answers(&latest.config, &answers);
        let changes = changes(&latest.config, &new);
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

    async fn apply(&self) -> Result<(), CliFault> {
        let answers = read_answers(path(self.args, "answers"))?;
        let latest = versions::read_latest(&self.platform).await?;
        let base = self.args.get_one::<u64>("base").copied();
        if let Some(base) = base.filter(|base| *base != latest.version) {
            let current = latest.version;
            return Err(CliFault::Conflict { base, current });
        }
        let new = with_answers(&latest.config, &answers);
        if new == latest.config && latest.version > 0 {
            let value = json!({ "event": "unchanged", "version": latest.version });
            self.print(&value, || format!("unchanged: version {}", latest.version));
            return Ok(());
        }
        let version =
            versions::write_version(&self.platform, latest.version, &new, &self.by, "apply")
                .await?;
        self.report_written(version).await
    }

    async fn key(&self) -> Result<(), CliFault> {
        let Some((name, args)) = self.args.subcommand() else {
            return Ok(());
        };
        let session = Session::new(args);
        match name {
            "issue" => session.issue_key().await,
            "withdraw" => session.withdraw_key().await,
            _ => session.list_keys().await,
        }
    }

    async fn issue_key(&self) -> Result<(), CliFault> {
        let id = KeyId::from(text(self.args, "id"));
        let workspace = text(self.args, "workspace").into();
        let secret = new_key();
        let key = Key {
            workspace,
            digest: KeyDigest::of(&secret),
        };
        let version = self
            .change(&format!("issue key {id}"), |config| {
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

    async fn withdraw_key(&self) -> Result<(), CliFault> {
        let id = KeyId::from(text(self.args, "id"));
        let version = self
            .change(&format!("withdraw key {id}"), |config| {
                let removed = config.keys.remove(&id);
                removed
                    .map(|_| ())
                    .ok_or_else(|| format!("key {id} does not exist"))
            })
            .await?;
        self.report_written(version).await
    }

    async fn list_keys(&self) -> Result<(), CliFault> {
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

    async fn drain(&self) -> Result<(), CliFault> {
        let (kind, name) = (text(self.args, "kind"), text(self.args, "name"));
        let is_undone = self.args.get_flag("undo");
        let what = if is_undone {
            format!("undrain {kind} {name}")
        } else {
            format!("drain {kind} {name}")
        };
        let version = self
            .change(&what, |config| set_drain(config, &kind, &name, !is_undone))
            .await?;
        self.report_written(version).await
    }

    async fn status(&self) -> Result<(), CliFault> {
        let status = instance::status(self.operator).await?;
        self.print(&status, || status_text(&status));
        Ok(())
    }

    async fn history(&self) -> Result<(), CliFault> {
        let records = versions::history(&self.platform).await?;
        self.print(&records, || {
            records
                .iter()
                .map(|record| format!("{}\t{}\t{}", record.version, record.by, record.what))
                .collect::<Vec<_>>()
                .join("\n")
        });
        Ok(())
    }

    async fn revert(&self) -> Result<(), CliFault> {
        let wanted = self.args.get_one::<u64>("version").copied().unwrap_or(0);
        let records = versions::history(&self.platform).await?;
        let record = records
            .iter()
            .find(|record| record.version == wanted)
            .ok_or_else(|| CliFault::Refused(format!("version {wanted} does not exist")))?;
        let mut old = versions::content(&self.platform, &record.digest).await?;
        let latest = versions::read_latest(&self.platform).await?;
        if !self.args.get_flag("with-keys") {
            old.keys = latest.config.keys;
        }
        let what = format!("revert to {wanted}");
        let version =
            versions::write_version(&self.platform, latest.version, &old, &self.by, &what).await?;
        self.report_written(version).await
    }

    async fn explain(&self) -> Result<(), CliFault> {
        let (workspace, service) = (text(self.args, "workspace"), text(self.args, "service"));
        let origin = self.args.get_one::<String>("origin");
        let origin = origin.map_or_else(String::new, |origin| format!("&origin={origin}"));
        let path = format!("/v1/explain?workspace={workspace}&service={service}{origin}");
        let value = instance::get(self.operator, &path).await?;
        self.print(&value, || explanation_text(&value));
        Ok(())
    }

    /// Makes a change that does not depend on others' changes, again where one came first.
    async fn change<F>(&self, what: &str, edit: F) -> Result<u64, CliFault>
    where
        F: Fn(&mut Config) -> Result<(), String>,
    {
        for _ in 0..COMMUTING_TRIES {
            let mut latest = versions::read_latest(&self.platform).await?;
            edit(&mut latest.config).map_err(CliFault::Refused)?;
            let result = versions::write_version(
                &self.platform,
                latest.version,
                &latest.config,
                &self.by,
                what,
            )
            .await;
            match result {
                Err(CliFault::Conflict { .. }) => {}
                other => return other,
            }
        }
        let current = versions::read_latest(&self.platform).await?.version;
        let base = current.saturating_sub(1);
        Err(CliFault::Conflict { base, current })
    }

    /// Prints *written*, then *in force* once every live instance has acknowledged.
    async fn report_written(&self, version: u64) -> Result<(), CliFault> {
        let value = json!({ "event": "written", "version": version });
        self.print(&value, || format!("written: version {version}"));
        let secs = self.args.get_one::<u64>("wait").copied().unwrap_or(0);
        if secs == 0 {
            return Ok(());
        }
        let until = Instant::now() + Duration::from_secs(secs);
        let mut told = Vec::new();
        loop {
            let waiting = match instance::status(self.operator).await {
                Ok(status) => status.waiting_for(version),
                Err(_) => vec![self.operator.to_string()],
            };
            if waiting.is_empty() {
                let value = json!({ "event": "in_force", "version": version });
                self.print(&value, || format!("in force: version {version}"));
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(CliFault::NotInForce { version, waiting });
            }
            if waiting != told && !told.is_empty() {
                let value = json!({ "event": "waiting", "for": waiting });
                self.print(&value, || format!("waiting for: {}", waiting.join(", ")));
            }
            told = waiting;
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn init(args: &ArgMatches) -> Result<(), CliFault> {
    let answers = match args.get_one::<PathBuf>("from") {
        Some(file) => read_answers(file)?,
        None => {
            let (mut input, mut out) = (io::stdin().lock(), io::stderr().lock());
            questionnaire::ask(&mut input, &mut out).map_err(|err| CliFault::File {
                file: "standard input".to_owned(),
                reason: err.to_string(),
            })?
        }
    };
    let out = path(args, "out");
    let text = serde_json::to_string_pretty(&answers).unwrap_or_default() + "\n";
    survey::parse_answers(out, &text)?;
    fs::write(out, text).map_err(|err| file_fault(out, &err))?;
    println!("answers written to {}", out.display());
    Ok(())
}

fn completions(args: &ArgMatches) -> Result<(), CliFault> {
    if let Some(shell) = args.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "godwitgauge", &mut io::stdout());
    }
    Ok(())
}

fn man() -> Result<(), CliFault> {
    clap_mangen::Man::new(command())
        .render(&mut io::stdout())
        .map_err(|err| CliFault::File {
            file: "standard output".to_owned(),
            reason: err.to_string(),
        })
}

/// Returns the configuration that the answers describe, with the present keys and drains.
///
/// Keys of workspaces that no longer exist are dropped.
fn with_answers(current: &Config, answers: &Answers) -> Config {
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
        Err(format!("{kind} {name} is so already"))
    }
}

fn status_text(status: &Status) -> String {
    let mut lines: Vec<String> = status
        .flags
        .iter()
        .map(|flag| format!("! {flag}"))
        .collect();
    lines.push(format!(
        "{}\tversion {}\t{}",
        status.instance, status.version, status.standing
    ));
    for (id, other) in &status.instances {
        let mut state = if other.is_heard { "heard" } else { "not heard" }.to_owned();
        if other.is_leaving {
            state.push_str(", leaving");
        }
        if other.is_gone {
            state.push_str(", gone");
        }
        lines.push(format!("{id}\tversion {}\t{state}", other.version));
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

fn explanation_text(value: &Value) -> String {
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

fn read_answers(file: &Path) -> Result<Answers, CliFault> {
    let text = fs::read_to_string(file).map_err(|err| file_fault(file, &err))?;
    Ok(survey::parse_answers(file, &text)?)
}

fn file_fault(file: &Path, err: &io::Error) -> CliFault {
    CliFault::File {
        file: file.display().to_string(),
        reason: err.to_string(),
    }
}

fn path<'a>(args: &'a ArgMatches, name: &str) -> &'a Path {
    args.get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}

fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

fn new_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    bytes.iter().fold(String::from("gw_"), |mut text, byte| {
        text.push_str(&format!("{byte:02x}"));
        text
    })
}
