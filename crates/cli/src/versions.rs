//! The configuration's versions in the platform's table and object store.

use base::{Config, canonical_json, config_digest};
use platform::{
    Platform, PlatformError, Precondition, Write,
    layout::{CONFIG_TABLE, HEAD_ROW, VERSION_PREFIX, object_name, version_row},
};
use serde::{Deserialize, Serialize};

use crate::fault::CliFault;

const SETTLE_TRIES: u32 = 3;

/// Holds the latest version and its content.
#[derive(Debug, Clone)]
pub struct Latest {
    /// Number of the version, zero where there is none.
    pub version: u64,
    /// Its content.
    pub config: Config,
}

/// Describes one version in the history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the version.
    pub version: u64,
    /// Digest of the object that holds it.
    pub digest: String,
    /// Who made it.
    pub by: String,
    /// What was done.
    pub what: String,
    /// Number that tells two writers of one version apart.
    pub nonce: u64,
}

/// Reads the latest version.
///
/// # Errors
///
/// [`CliFault::Platform`] where the platform does not answer or its object is unusable.
pub async fn read_latest(platform: &Platform) -> Result<Latest, CliFault> {
    let head = platform
        .get(CONFIG_TABLE, HEAD_ROW)
        .await
        .map_err(|_| CliFault::Platform("nothing was written"))?;
    let Some(head) = head else {
        return Ok(Latest {
            version: 0,
            config: Config::default(),
        });
    };
    Ok(Latest {
        version: head.version,
        config: content(platform, &head.value).await?,
    })
}

/// Reads the content of the version whose object has this digest.
///
/// # Errors
///
/// [`CliFault::Platform`] where the platform does not answer, [`CliFault::Refused`] where the
/// object is missing or is not what its digest says.
pub async fn content(platform: &Platform, digest: &str) -> Result<Config, CliFault> {
    let text = platform
        .get_object(&object_name(digest))
        .await
        .map_err(|_| CliFault::Platform("nothing was written"))?;
    let unusable = || CliFault::Refused(format!("the object {digest} is missing or damaged"));
    let text = text.filter(|text| config_digest(text) == digest);
    serde_json::from_str(&text.ok_or_else(unusable)?).map_err(|_| unusable())
}

/// Writes `config` as the version after `base` and returns its number.
///
/// The object is written first, then the head row and the history in one transaction. Where the
/// answer is lost, the history tells whether the write took effect.
///
/// # Errors
///
/// [`CliFault::Conflict`] where `base` is not the latest version: nothing was written.
/// [`CliFault::Platform`] where the platform does not answer.
pub async fn write_version(
    platform: &Platform,
    base: u64,
    config: &Config,
    by: &str,
    what: &str,
) -> Result<u64, CliFault> {
    let text = canonical_json(config);
    let digest = config_digest(&text);
    platform
        .put_object(&object_name(&digest), &text)
        .await
        .map_err(|_| CliFault::Platform("nothing was written"))?;
    let record = Record {
        version: base + 1,
        digest: digest.clone(),
        by: by.to_owned(),
        what: what.to_owned(),
        nonce: rand::random(),
    };
    let expect = if base == 0 {
        Precondition::Absent
    } else {
        Precondition::Version(base)
    };
    let head = Write::new(CONFIG_TABLE, HEAD_ROW)
        .value(&digest)
        .expect(expect);
    let row = serde_json::to_string(&record).unwrap_or_default();
    let history = Write::new(CONFIG_TABLE, &version_row(base + 1))
        .value(&row)
        .expect(Precondition::Absent);
    match platform.write(vec![head, history]).await {
        Ok(_) => Ok(base + 1),
        Err(PlatformError::Conflict { .. }) => Err(conflict(platform, base).await),
        Err(PlatformError::Unavailable | PlatformError::HistoryGone) => {
            settle(platform, &record).await
        }
    }
}

/// Returns the history, oldest first.
///
/// # Errors
///
/// [`CliFault::Platform`] where the platform does not answer.
pub async fn history(platform: &Platform) -> Result<Vec<Record>, CliFault> {
    let rows = platform
        .scan(CONFIG_TABLE, VERSION_PREFIX)
        .await
        .map_err(|_| CliFault::Platform("try again"))?;
    Ok(rows
        .iter()
        .filter_map(|(_, row)| serde_json::from_str(&row.value).ok())
        .collect())
}

/// Finds out whether a write whose answer was lost took effect.
async fn settle(platform: &Platform, record: &Record) -> Result<u64, CliFault> {
    for _ in 0..SETTLE_TRIES {
        let row = platform
            .get(CONFIG_TABLE, &version_row(record.version))
            .await;
        if let Ok(Some(row)) = row {
            let found: Option<Record> = serde_json::from_str(&row.value).ok();
            if found.is_some_and(|found| found.nonce == record.nonce) {
                return Ok(record.version);
            }
            return Err(conflict(platform, record.version - 1).await);
        }
    }
    Err(CliFault::Platform(
        "whether the change was written is unknown: see `godwitgauge history`",
    ))
}

async fn conflict(platform: &Platform, base: u64) -> CliFault {
    let head = platform.get(CONFIG_TABLE, HEAD_ROW).await;
    let current = head.ok().flatten().map_or(0, |row| row.version);
    CliFault::Conflict { base, current }
}
