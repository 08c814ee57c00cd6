//! Parameters that all instances of a deployment share without being configured: a secret and the
//! number of slots.
//!
//! They are stored in a row of the platform. The first instances try to create the row by a write
//! that succeeds only if there is none; all others read it.

use std::time::Duration;

use eyre::Result;
use platform::{ListedMachine, MachineKind, Platform, PlatformError, Precondition, Write};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

const FACTS_TABLE: &str = "deployment";
const FACTS_ROW: &str = "facts";
/// Time for which the instances of a new deployment announce themselves before they are counted.
const ANNOUNCE_WAIT: Duration = Duration::from_millis(1_200);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const MIN_SLOTS: usize = 2;

/// Gives all instances of a deployment the parameters on which they must agree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentParameters {
    /// Secret that authenticates messages between instances.
    pub secret: String,
    /// Number of slots into which workspaces' rates are divided.
    pub slots: u32,
}

/// Reads the deployment's parameters, or creates them if there are none.
///
/// Retries without limit while the platform doesn't answer. An instance that the platform keeps from announcing itself creates
/// none until it has, and until others that were kept from it can have done so as well.
///
/// # Errors
///
/// Returns a report if the row can't be parsed.
pub async fn load_or_create(
    platform: &Platform,
    own: &ListedMachine,
) -> Result<DeploymentParameters> {
    let mut delay = MIN_RETRY_DELAY;
    let mut has_waited = false;
    let mut was_refused = false;
    loop {
        match platform.get(FACTS_TABLE, FACTS_ROW).await {
            Ok(Some(row)) => return Ok(serde_json::from_str(&row.value)?),
            Ok(None) if has_waited => {
                if !create(platform).await {
                    pause(&mut delay).await;
                }
            }
            Ok(None) => {
                let listed = own.clone();
                let announced = platform.call(platform::Call::Announce { listed }).await;
                if announced.is_err() {
                    was_refused = true;
                    pause(&mut delay).await;
                    continue;
                }
                sleep(ANNOUNCE_WAIT).await;
                if was_refused {
                    // So may others have been, which announce themselves again by then.
                    sleep(MAX_RETRY_DELAY).await;
                }
                has_waited = true;
            }
            Err(err) => {
                tracing::warn!(event = "facts_unread", reason = %err);
                pause(&mut delay).await;
            }
        }
    }
}

/// Waits for a delay, which doubles each time.
async fn pause(delay: &mut Duration) {
    sleep(*delay).await;
    *delay = (*delay * 2).min(MAX_RETRY_DELAY);
}

/// Writes new parameters unless another instance has done so, and returns whether there are some now.
async fn create(platform: &Platform) -> bool {
    let Ok(list) = platform.list().await else {
        return false;
    };
    let instances = list
        .iter()
        .filter(|listed| listed.kind == MachineKind::Instance)
        .count();
    let secret: [u64; 4] = rand::rng().random();
    let parameters = DeploymentParameters {
        secret: secret.map(|part| format!("{part:016x}")).concat(),
        slots: instances.max(MIN_SLOTS) as u32,
    };
    let text = serde_json::to_string(&parameters).unwrap_or_default();
    let write = Write::new(FACTS_TABLE, FACTS_ROW)
        .value(&text)
        .expect(Precondition::Absent);
    match platform.write(vec![write]).await {
        Ok(_) => {
            tracing::info!(event = "facts_made", slots = parameters.slots);
            true
        }
        // Another instance has created them first.
        Err(PlatformError::Conflict { .. }) => true,
        Err(err) => {
            tracing::warn!(event = "facts_unwritten", reason = %err);
            false
        }
    }
}
