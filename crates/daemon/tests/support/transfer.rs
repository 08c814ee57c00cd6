//! What becomes of the answers of a modelled store.

use std::{future::pending, ops::Range, time::Duration};

use platform::{PlatformError, Progress};
use tokio::time::{Instant, sleep};

/// What becomes of the answer to a read that brings an update.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Transfer {
    /// It is complete after this time.
    Takes(Duration),
    /// It breaks off after this time.
    BreaksOff(Duration),
    /// It never begins.
    Lost,
}

impl Transfer {
    /// Draws what becomes of the answers of a run.
    pub(crate) fn draw<F>(ms: &mut F) -> Vec<Self>
    where
        F: FnMut(Range<u64>) -> Duration,
    {
        let transfers = (0..40).map(|_| match ms(0..5).as_millis() {
            0 => Self::Takes(ms(10..400)),
            1 | 2 => Self::Takes(ms(400..8_000)),
            3 => Self::BreaksOff(ms(200..3_000)),
            _ => Self::Lost,
        });
        transfers.collect()
    }

    /// Waits for what becomes of an answer, of which parts arrive meanwhile.
    pub(crate) async fn transmit(self, progress: &Progress) -> Result<(), PlatformError> {
        const STEP: Duration = Duration::from_millis(10);
        let (time, result) = match self {
            Self::Takes(time) => (time, Ok(())),
            Self::BreaksOff(time) => (time, Err(PlatformError::Unavailable)),
            Self::Lost => pending().await,
        };
        let end = Instant::now() + time;
        while Instant::now() < end {
            sleep(STEP).await;
            progress.add(1);
        }
        result
    }
}
