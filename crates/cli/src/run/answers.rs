//! `init`, `plan` and `apply`: from an operator's answers to a configuration.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use base::Config;
use clap::ArgMatches;
use serde_json::json;
use survey::Answers;

use super::context::CommandContext;
use crate::{change::diff_configs, error::CliError, questionnaire, versions};

pub(super) fn init(args: &ArgMatches) -> Result<(), CliError> {
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

impl CommandContext<'_> {
    pub(super) async fn plan(&self) -> Result<(), CliError> {
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

    pub(super) async fn apply(&self) -> Result<(), CliError> {
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
            versions::write_version(&self.platform, latest.head, &new, &self.author, "apply")
                .await?;
        self.report_written(version).await
    }
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
