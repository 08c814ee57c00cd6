//! The rows of slots in the platform's table.

use coord::LeaseWrite;
use entry::view::Clock;
use platform::{Platform, Precondition, Write};
use tokio::sync::mpsc;

use super::PlatformAnswer;

/// Table of the platform with one row for each slot.
pub const SLOT_TABLE: &str = "slot";

pub(super) async fn scan_slots(
    clock: Clock,
    platform: Platform,
    tx: mpsc::UnboundedSender<PlatformAnswer>,
) {
    let sent_at = clock.now();
    let answer = match platform.scan(SLOT_TABLE, "").await {
        Ok(rows) => PlatformAnswer::Rows(sent_at, rows),
        Err(_) => PlatformAnswer::ReadFailed,
    };
    let _ = tx.send(answer);
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
