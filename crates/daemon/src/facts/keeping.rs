//! Keeps the deployment's parameters when the platform is restored from an older copy of its tables.

use std::{cmp::Ordering, time::Duration};

use platform::{Platform, PlatformError, Precondition};
use tokio::time::{Instant, sleep, timeout_at};

use super::{FACTS_ROW, FACTS_TABLE, FactsRow, KnownParameters, MIN_RETRY_DELAY, pause, write};

/// Time over which the instances spread their reads in a new era.
const READ_SPREAD: Duration = Duration::from_millis(300);
/// Time after the start at which the row is read again: others may have replaced it when the instance read it.
const REREAD_AFTER: Duration = Duration::from_secs(10);

/// What was found in the place of the parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// They are written.
    Same,
    /// None; they have been written again.
    Missing,
    /// Others that were made later; they have been replaced.
    Later,
    /// Others that were made earlier.
    Earlier,
}

/// Writes the parameters again in each era in which the row is missing or has been made again, until other parameters
/// are found that were made before them: instances with those don't understand this one, which has to start again.
pub async fn keep(platform: Platform, known: KnownParameters) {
    let mut eras = platform.era();
    let mut checked_in = known.read_in;
    let mut reread_at = Some(Instant::now() + REREAD_AFTER);
    loop {
        let latest = *eras.borrow_and_update();
        if latest == checked_in {
            let change = eras.changed();
            let changed = match reread_at {
                Some(at) => timeout_at(at, change).await,
                None => Ok(change.await),
            };
            match changed {
                Ok(Ok(())) => continue,
                Ok(Err(_)) => return,
                Err(_) => reread_at = None,
            }
            if latest == 0 {
                continue;
            }
        } else {
            sleep(rand::random_range(Duration::ZERO..READ_SPREAD)).await;
        }
        match check(&platform, &known).await {
            Found::Same => {}
            Found::Earlier => {
                tracing::error!(event = "facts_outdated", era = latest);
                return;
            }
            found => {
                let was_missing = found == Found::Missing;
                tracing::warn!(event = "facts_rewritten", era = latest, was_missing);
            }
        }
        checked_in = latest;
    }
}

/// Checks the row until the platform has answered.
async fn check(platform: &Platform, known: &KnownParameters) -> Found {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        match try_check(platform, known).await {
            Ok(found) => return found,
            // Others have written it at the same time.
            Err(PlatformError::Conflict { .. }) => delay = MIN_RETRY_DELAY,
            Err(err) => tracing::warn!(event = "facts_unread", reason = %err),
        }
        pause(&mut delay).await;
    }
}

async fn try_check(platform: &Platform, known: &KnownParameters) -> Result<Found, PlatformError> {
    let own = FactsRow {
        parameters: known.parameters.clone(),
        made_in: known.made_in,
        is_provisional: false,
    };
    let stored = platform.get(FACTS_TABLE, FACTS_ROW).await?;
    let Some(stored) = stored else {
        write(platform, &own, Precondition::Absent).await?;
        return Ok(Found::Missing);
    };
    let row = serde_json::from_str::<FactsRow>(&stored.value);
    let found = match &row {
        Ok(row) if *row == own => return Ok(Found::Same),
        Ok(row) if row.parameters == own.parameters => Found::Same,
        Ok(row) if !row.is_provisional && !known.is_earlier_than(row, stored.version.era) => {
            return Ok(Found::Earlier);
        }
        Ok(_) => Found::Later,
        // A later build's, or damaged: those that start can't read it either.
        Err(err) => {
            tracing::error!(event = "facts_unreadable", reason = %err);
            return Ok(Found::Same);
        }
    };
    write(platform, &own, Precondition::Version(stored.version)).await?;
    Ok(found)
}

impl KnownParameters {
    /// Returns whether they were made before those of a row that exists in `era`.
    ///
    /// Builds that know no eras make all in the first one: then those are older that were read before the present era.
    fn is_earlier_than(&self, row: &FactsRow, era: u32) -> bool {
        match self.made_in.cmp(&row.made_in) {
            Ordering::Less => true,
            Ordering::Equal => self.read_in < era,
            Ordering::Greater => false,
        }
    }
}
