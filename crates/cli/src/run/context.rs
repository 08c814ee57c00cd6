//! What the commands that reach a deployment share.

use std::{
    io::{self, Write},
    net::SocketAddr,
    time::Duration,
};

use base::Config;
use clap::ArgMatches;
use platform::Platform;
use serde::Serialize;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{error::CliError, instance, versions};

const POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_EDIT_ATTEMPTS: u32 = 20;

/// Gives the commands that reach a deployment their arguments, and writes their changes and results.
pub(super) struct CommandContext<'a> {
    pub(super) args: &'a ArgMatches,
    pub(super) platform: Platform,
    pub(super) operator: SocketAddr,
    pub(super) author: String,
    is_json: bool,
}

impl<'a> CommandContext<'a> {
    pub(super) fn new(args: &'a ArgMatches) -> Self {
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
    pub(super) fn print<T, F>(&self, value: &T, to_text: F)
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

    /// Applies `edit` to the latest configuration and writes the result as a new version.
    ///
    /// After a conflict, applies `edit` again to the version that came first, so `edit` must be
    /// correct on any version.
    pub(super) async fn edit_config<F>(&self, summary: &str, edit: F) -> Result<u64, CliError>
    where
        F: Fn(&mut Config) -> Result<(), String>,
    {
        for _ in 0..MAX_EDIT_ATTEMPTS {
            let mut latest = versions::read_latest(&self.platform).await?;
            edit(&mut latest.config).map_err(CliError::InvalidRequest)?;
            let result = versions::write_version(
                &self.platform,
                latest.head,
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

    /// Reports that `version` is written, then waits until all running instances have activated it and
    /// reports that too.
    pub(super) async fn report_written(&self, version: u64) -> Result<(), CliError> {
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

/// Returns a text among a command's arguments; empty if there is none.
pub(super) fn text_arg(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}
