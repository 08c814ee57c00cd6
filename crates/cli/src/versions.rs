//! Versions of the configuration, stored in the platform's tables and object store.

use base::{Config, Position, canonical_json, config_digest};
use platform::{
    Platform, PlatformError, Precondition, Write,
    layout::{CONFIG_TABLE, HEAD_ROW, VERSION_PREFIX, object_name, version_row},
};
use serde::{Deserialize, Serialize};

use crate::error::CliError;

const MAX_RESOLVE_ATTEMPTS: u32 = 3;

/// Gives a change the version that it starts from.
#[derive(Debug, Clone)]
pub struct LatestVersion {
    /// Version number; 0 if none has been written yet.
    pub version: u64,
    /// Position of the row that points to it, whose version may be given out again in a later era of the platform.
    pub head: Position,
    /// Content of the version.
    pub config: Config,
}

/// Records one version in the history, as JSON in the platform's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Version number.
    pub version: u64,
    /// Digest of the object that holds the content.
    pub digest: String,
    /// Name of the operator who wrote it.
    #[serde(rename = "by")]
    pub author: String,
    /// Summary of the change.
    #[serde(rename = "what")]
    pub summary: String,
    /// Random number that distinguishes writers who wrote the same version number.
    pub nonce: u64,
}

/// Reads the latest version.
///
/// # Errors
///
/// [`CliError::PlatformUnreachable`] if the platform does not answer, [`CliError::InvalidRequest`]
/// if the object that holds the content is missing or damaged.
pub async fn read_latest(platform: &Platform) -> Result<LatestVersion, CliError> {
    let head = platform
        .get(CONFIG_TABLE, HEAD_ROW)
        .await
        .map_err(|_| CliError::PlatformUnreachable("nothing was written"))?;
    let Some(head) = head else {
        return Ok(LatestVersion {
            version: 0,
            head: Position::ZERO,
            config: Config::default(),
        });
    };
    Ok(LatestVersion {
        version: head.version.version,
        head: head.version,
        config: read_config(platform, &head.value).await?,
    })
}

/// Reads the configuration from the object with this digest.
///
/// # Errors
///
/// [`CliError::PlatformUnreachable`] if the platform does not answer, [`CliError::InvalidRequest`]
/// if the object is missing or does not match its digest.
pub async fn read_config(platform: &Platform, digest: &str) -> Result<Config, CliError> {
    let text = platform
        .get_object(&object_name(digest))
        .await
        .map_err(|_| CliError::PlatformUnreachable("nothing was written"))?;
    let damaged = || CliError::InvalidRequest(format!("the object {digest} is missing or damaged"));
    let text = text.filter(|text| config_digest(text) == digest);
    serde_json::from_str(&text.ok_or_else(damaged)?).map_err(|_| damaged())
}

/// Writes `config` as the version after the one at `head` and returns its number.
///
/// Writes the object first, then the head row and the history row in one transaction. If the
/// response is lost, the history row shows whether the write took effect.
///
/// # Errors
///
/// [`CliError::Conflict`] if that is not the latest version, also since the platform was restored from an older copy of its
/// tables; nothing was written.
/// [`CliError::PlatformUnreachable`] if the platform does not answer.
pub async fn write_version(
    platform: &Platform,
    head: Position,
    config: &Config,
    author: &str,
    summary: &str,
) -> Result<u64, CliError> {
    let base = head.version;
    let text = canonical_json(config);
    let digest = config_digest(&text);
    platform
        .put_object(&object_name(&digest), &text)
        .await
        .map_err(|_| CliError::PlatformUnreachable("nothing was written"))?;
    let record = VersionRecord {
        version: base + 1,
        digest: digest.clone(),
        author: author.to_owned(),
        summary: summary.to_owned(),
        nonce: rand::random(),
    };
    let precondition = if base == 0 {
        Precondition::Absent
    } else {
        Precondition::Version(head)
    };
    let head_row = Write::new(CONFIG_TABLE, HEAD_ROW)
        .value(&digest)
        .expect(precondition);
    let row = serde_json::to_string(&record).unwrap_or_default();
    let history = Write::new(CONFIG_TABLE, &version_row(base + 1))
        .value(&row)
        .expect(Precondition::Absent);
    match platform.write(vec![head_row, history]).await {
        Ok(_) => Ok(base + 1),
        Err(PlatformError::Conflict { .. }) => Err(conflict_error(platform, base).await),
        Err(
            PlatformError::Unavailable | PlatformError::UnusableEra | PlatformError::HistoryGone,
        ) => resolve_unknown_outcome(platform, &record).await,
    }
}

/// Returns the records of all versions, oldest first.
///
/// # Errors
///
/// [`CliError::PlatformUnreachable`] if the platform does not answer.
pub async fn read_history(platform: &Platform) -> Result<Vec<VersionRecord>, CliError> {
    let rows = platform
        .scan(CONFIG_TABLE, VERSION_PREFIX)
        .await
        .map_err(|_| CliError::PlatformUnreachable("try again"))?;
    Ok(rows
        .iter()
        .filter_map(|(_, row)| serde_json::from_str(&row.value).ok())
        .collect())
}

/// Determines from the history row whether a write whose response was lost took effect.
async fn resolve_unknown_outcome(
    platform: &Platform,
    record: &VersionRecord,
) -> Result<u64, CliError> {
    for _ in 0..MAX_RESOLVE_ATTEMPTS {
        let row = platform
            .get(CONFIG_TABLE, &version_row(record.version))
            .await;
        if let Ok(Some(row)) = row {
            let found: Option<VersionRecord> = serde_json::from_str(&row.value).ok();
            if found.is_some_and(|found| found.nonce == record.nonce) {
                return Ok(record.version);
            }
            return Err(conflict_error(platform, record.version - 1).await);
        }
    }
    Err(CliError::PlatformUnreachable(
        "whether the change was written is unknown: see `godwitgauge history`",
    ))
}

async fn conflict_error(platform: &Platform, base: u64) -> CliError {
    let head = platform.get(CONFIG_TABLE, HEAD_ROW).await;
    let current = head.ok().flatten().map_or(0, |row| row.version.version);
    CliError::Conflict { base, current }
}
