//! The rows of slots in the platform's table.

use coord::LeaseWrite;
use entry::view::Clock;
use platform::{Platform, Precondition, Write};
use tokio::sync::mpsc;

use super::PlatformAnswer;

/// Table of the platform with one row for each slot.
pub const SLOT_TABLE: &str = "slot";
/// Number of reads after which the table counts as unread if an era began in each.
const MAX_SCANS: usize = 2;

pub(super) async fn scan_slots(
    clock: Clock,
    platform: Platform,
    tx: mpsc::UnboundedSender<PlatformAnswer>,
) {
    for _ in 0..MAX_SCANS {
        let sent_at = clock.now();
        let era = platform.latest_era();
        let Ok(rows) = platform.scan(SLOT_TABLE, "").await else {
            break;
        };
        // A row that is absent has no position: it was so in one era if none began meanwhile.
        if platform.latest_era() == era {
            let _ = tx.send(PlatformAnswer::Rows(sent_at, era, rows));
            return;
        }
    }
    let _ = tx.send(PlatformAnswer::ReadFailed);
}

pub(super) fn to_write(idx: u32, write: &LeaseWrite) -> Write {
    let text = serde_json::to_string(&write.row).unwrap_or_default();
    Write::new(SLOT_TABLE, &slot_name(idx)).value(&text).expect(
        write
            .expected_version
            .map_or(Precondition::Absent, Precondition::Version),
    )
}

pub(super) fn slot_name(idx: u32) -> String {
    format!("{idx:04}")
}
