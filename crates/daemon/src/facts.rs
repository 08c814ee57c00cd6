//! What all instances of a deployment share and nobody configures: a secret and a number of slots.
//!
//! The first instances agree on it by a write that expects no row; later ones read it.

use std::time::Duration;

use eyre::Result;
use platform::{ListedMachine, MachineKind, Platform, PlatformError, Precondition, Write};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

const FACTS_TABLE: &str = "deployment";
const FACTS_ROW: &str = "facts";
/// Time in which the instances of a new deployment announce themselves before they are counted.
const COUNT_AFTER: Duration = Duration::from_millis(1_200);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
const FEWEST_SLOTS: usize = 2;

/// Holds what all instances of a deployment share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentParameters {
    /// Secret that authenticates messages between instances.
    pub secret: String,
    /// Number of slots that workspaces' rates are divided into.
    pub slots: u32,
}

/// Reads the deployment's facts, or makes them where there are none; waits for the platform as
/// long as it takes.
///
/// # Errors
///
/// A report where the row holds something else.
pub async fn load_or_create(
    platform: &Platform,
    own: &ListedMachine,
) -> Result<DeploymentParameters> {
    let mut pause = RETRY_PAUSE;
    let mut has_waited = false;
    loop {
        match platform.get(FACTS_TABLE, FACTS_ROW).await {
            Ok(Some(row)) => return Ok(serde_json::from_str(&row.value)?),
            Ok(None) if has_waited => make(platform).await,
            Ok(None) => {
                let listed = own.clone();
                let _ = platform.call(platform::Call::Announce { listed }).await;
                sleep(COUNT_AFTER).await;
                has_waited = true;
                continue;
            }
            Err(fault) => {
                tracing::warn!(event = "facts_unread", reason = %fault);
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

/// Writes the facts unless another instance has done so.
async fn make(platform: &Platform) {
    let Ok(list) = platform.list().await else {
        return;
    };
    let instances = list
        .iter()
        .filter(|listed| listed.kind == MachineKind::Instance)
        .count();
    let secret: [u64; 4] = rand::rng().random();
    let facts = DeploymentParameters {
        secret: secret.map(|part| format!("{part:016x}")).concat(),
        slots: instances.max(FEWEST_SLOTS) as u32,
    };
    let text = serde_json::to_string(&facts).unwrap_or_default();
    let write = Write::new(FACTS_TABLE, FACTS_ROW)
        .value(&text)
        .expect(Precondition::Absent);
    match platform.write(vec![write]).await {
        Ok(_) => tracing::info!(event = "facts_made", slots = facts.slots),
        // Whoever was first has made them.
        Err(PlatformError::Conflict { .. }) => {}
        Err(fault) => tracing::warn!(event = "facts_unwritten", reason = %fault),
    }
}
