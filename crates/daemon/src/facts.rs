//! Parameters that all instances of a deployment share without being configured: a secret and the
//! number of slots.
//!
//! They are stored in a row of the platform. The first instances try to create the row by a write
//! that succeeds only if there is none; all others read it.
//!
//! A platform that is restored from an older copy of its tables may lack the row. Those who have read it write it again
//! ([`keeping`]), so who finds none in a later era uses the parameters that it makes only if nobody does.

pub mod keeping;

use std::{ops::Not, time::Duration};

use base::Position;
use eyre::Result;
use platform::{ListedMachine, MachineKind, Platform, PlatformError, Precondition, Write};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::ledger::certainty;

const FACTS_TABLE: &str = "deployment";
const FACTS_ROW: &str = "facts";
/// Time for which the instances of a new deployment announce themselves before they are counted.
const ANNOUNCE_WAIT: Duration = Duration::from_millis(1_200);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const MIN_SLOTS: usize = 2;
/// Time for which new parameters are provisional in a later era than the first: those who have others replace them.
const PROVISIONAL_TIME: Duration = Duration::from_millis(1_500);
/// Time between two reads of provisional parameters.
const PROVISIONAL_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which another instance than the one that made them uses them.
const MAX_PROVISIONAL_TIME: Duration = Duration::from_millis(2_500);
/// Number of the first era of a platform that counts from one. One that counts from zero has been restored once by then.
const FIRST_COUNTED_ERA: u32 = 1;

/// Gives all instances of a deployment the parameters on which they must agree.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeploymentParameters {
    /// Secret that authenticates messages between instances.
    pub secret: String,
    /// Number of slots into which workspaces' rates are divided.
    pub slots: u32,
}

/// Tells parameters that were read from others that are found later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownParameters {
    /// Content.
    pub parameters: DeploymentParameters,
    /// Era of the platform's history in which they were made.
    pub made_in: u32,
    /// Era in which they were read.
    read_in: u32,
}

/// Content of the row. Its additional members are left out where the platform has no eras.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FactsRow {
    #[serde(flatten)]
    parameters: DeploymentParameters,
    #[serde(default, skip_serializing_if = "is_first_era")]
    made_in: u32,
    /// Whether an instance may have others that were made earlier, so that nobody uses them yet.
    #[serde(default, skip_serializing_if = "Not::not")]
    is_provisional: bool,
}

/// Provisional parameters, and since when they have been known.
#[derive(Debug)]
struct Provisional {
    row: FactsRow,
    since: Instant,
    is_own: bool,
}

/// Reads the deployment's parameters, or creates them if there are none.
///
/// Retries without limit while the platform doesn't answer. An instance that the platform keeps from announcing itself creates
/// none until it has, and until others that were kept from it can have done so as well.
///
/// # Errors
///
/// Returns a report if the row can't be parsed.
pub async fn load_or_create(platform: &Platform, own: &ListedMachine) -> Result<KnownParameters> {
    let mut delay = MIN_RETRY_DELAY;
    let mut has_waited = false;
    let mut was_refused = false;
    let mut provisional: Option<Provisional> = None;
    let mut own_secret = None;
    loop {
        match platform.get(FACTS_TABLE, FACTS_ROW).await {
            Ok(Some(stored)) => {
                let row: FactsRow = serde_json::from_str(&stored.value)?;
                if !row.is_provisional {
                    return Ok(KnownParameters {
                        parameters: row.parameters,
                        made_in: row.made_in,
                        read_in: stored.version.era,
                    });
                }
                let known = provisional.take().filter(|known| known.row == row);
                let known = known.unwrap_or_else(|| Provisional {
                    since: Instant::now(),
                    is_own: own_secret.as_ref() == Some(&row.parameters.secret),
                    row,
                });
                let expected = Precondition::Version(stored.version);
                let wait = known.remaining_time();
                if wait.is_zero() {
                    let settled = known.row.clone().settled();
                    let era = stored.version.era;
                    let mut writes = vec![to_write(&settled, expected)];
                    writes.extend(settled.is_certain_in(era).then(|| certainty(era)));
                    if platform.write(writes).await.is_err() {
                        pause(&mut delay).await;
                    }
                }
                sleep(wait.min(PROVISIONAL_POLL_INTERVAL)).await;
                provisional = Some(known);
            }
            Ok(None) if has_waited => match create(platform).await {
                Some(secret) => own_secret = Some(secret),
                None => pause(&mut delay).await,
            },
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

impl Provisional {
    /// Returns for how long to wait before the parameters can be used.
    fn remaining_time(&self) -> Duration {
        let time = if self.is_own {
            PROVISIONAL_TIME
        } else {
            MAX_PROVISIONAL_TIME
        };
        time.saturating_sub(self.since.elapsed())
    }
}

impl FactsRow {
    fn settled(self) -> Self {
        Self {
            is_provisional: false,
            ..self
        }
    }

    /// Returns whether no action can have been claimed whose row is missing in `era`, in which these parameters are about
    /// to be settled: they are the deployment's first, and the platform hasn't been restored before them.
    fn is_certain_in(&self, era: u32) -> bool {
        self.made_in == era && era == FIRST_COUNTED_ERA
    }
}

/// Waits for a delay, which doubles each time.
async fn pause(delay: &mut Duration) {
    sleep(*delay).await;
    *delay = (*delay * 2).min(MAX_RETRY_DELAY);
}

/// Writes new parameters unless another instance has done so, and returns their secret; `None` if there may be none now.
async fn create(platform: &Platform) -> Option<String> {
    let list = platform.list().await.ok()?;
    let instances = list
        .iter()
        .filter(|listed| listed.kind == MachineKind::Instance)
        .count();
    let secret: [u64; 4] = rand::rng().random();
    let era = platform.latest_era();
    let row = FactsRow {
        parameters: DeploymentParameters {
            secret: secret.map(|part| format!("{part:016x}")).concat(),
            slots: instances.max(MIN_SLOTS) as u32,
        },
        made_in: era,
        is_provisional: !is_first_era(&era),
    };
    let slots = row.parameters.slots;
    match write(platform, &row, Precondition::Absent).await {
        Ok(at) => {
            let mut is_provisional = row.is_provisional;
            let secret = row.parameters.secret.clone();
            if at.era > era {
                // The platform has been restored meanwhile.
                let (made_in, expected) = (at.era, Precondition::Version(at));
                is_provisional = true;
                let row = FactsRow {
                    made_in,
                    is_provisional,
                    ..row
                };
                write(platform, &row, expected).await.ok()?;
            }
            tracing::info!(event = "facts_made", slots, is_provisional);
            Some(secret)
        }
        // Another instance has created them first.
        Err(PlatformError::Conflict { .. }) => Some(row.parameters.secret),
        Err(err) => {
            tracing::warn!(event = "facts_unwritten", reason = %err);
            None
        }
    }
}

async fn write(
    platform: &Platform,
    row: &FactsRow,
    expected: Precondition,
) -> Result<Position, PlatformError> {
    let written = platform.write(vec![to_write(row, expected)]).await?;
    written.first().copied().ok_or(PlatformError::Unavailable)
}

fn to_write(row: &FactsRow, expected: Precondition) -> Write {
    let text = serde_json::to_string(row).unwrap_or_default();
    Write::new(FACTS_TABLE, FACTS_ROW)
        .value(&text)
        .expect(expected)
}

/// Returns whether nothing that was written can have been lost by a return of the platform.
fn is_first_era(era: &u32) -> bool {
    *era == 0
}
