//! `history` and `revert`: the configuration's earlier versions.

use super::context::CommandContext;
use crate::{error::CliError, versions};

impl CommandContext<'_> {
    pub(super) async fn history(&self) -> Result<(), CliError> {
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

    pub(super) async fn revert(&self) -> Result<(), CliError> {
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
            versions::write_version(&self.platform, latest.head, &old, &self.author, &summary)
                .await?;
        self.report_written(version).await
    }
}
