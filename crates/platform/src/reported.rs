//! Eras that a single other instance reports.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::{Platform, PlatformError};

/// Time within which most instances report an era if one of them does, since they learn it at the same time.
const SECOND_REPORT_TIME: Duration = Duration::from_millis(20);
/// Time without an answer after which the platform counts as silent, so that one instance's report suffices.
const SILENT_TIME: Duration = Duration::from_secs(1);
/// Time between two questions to a platform that refuses them.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time after an answer that contradicts a report, until the platform is asked again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(5);

impl Platform {
    /// Determines forever whether a later era counts that a single other instance reports, by small calls that bring no rows of
    /// `table`.
    ///
    /// It counts if the platform names it as well, or answers nothing for a second. As long as the platform answers in the known
    /// era, it doesn't.
    pub async fn check_reported_eras(self, table: &str) {
        let mut latest = self.era();
        loop {
            self.era.await_reported().await;
            sleep(SECOND_REPORT_TIME).await;
            let Some(reported) = self.era.reported() else {
                continue;
            };
            let asked_at = Instant::now();
            let is_answered = tokio::select! {
                biased;
                _ = latest.wait_for(|latest| *latest >= reported) => continue,
                answered = timeout(SILENT_TIME, self.await_answer(table)) => answered.is_ok(),
            };
            // One that refuses this instance may name its era all the same.
            let is_contradicted = is_answered || self.era.is_named_since(asked_at);
            match self.era.reported() {
                Some(_) if is_contradicted => {
                    let text = reported.to_string();
                    self.era
                        .log_bad("contradicted", self.latest_era(), Some(&text));
                    sleep(RECHECK_INTERVAL).await;
                }
                Some(reported) => self.learn_era(reported),
                None => {}
            }
        }
    }

    /// Waits until a small call is answered, in whatever era.
    async fn await_answer(&self, table: &str) {
        while let Err(PlatformError::Unavailable) = self.position(table).await {
            sleep(RETRY_PAUSE).await;
        }
    }
}
