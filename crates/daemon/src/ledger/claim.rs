//! The content of a claim's row, and what is reported of it.

use base::KeyDigest;
use dispatch::{ActionKey, Claimer, SavedAnswer};
use platform::layout::{MAX_NAME_BYTES, MAX_VALUE_BYTES};
use serde::{Deserialize, Serialize};

pub(super) const CLAIM_TABLE: &str = "claim";

/// Records in the table the claim of an action whose key names no instance that stores it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that claims the action.
    pub claimer: Claimer,
    /// Digest of the request.
    pub fingerprint: u64,
    /// What is known of the action's run.
    pub state: RowState,
}

/// Lists the states of an action that a claim's row records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowState {
    /// It may be running.
    Open,
    /// It did not run, and may be claimed again.
    Released,
    /// It may have run, or it ran with a response that is too long for a row.
    Unknown,
    /// It ran with this response.
    Done(SavedAnswer),
}

/// Reports what has been written to or read from a claim's row.
#[derive(Debug)]
pub(super) enum ClaimNote {
    /// A row with this content existed in this era.
    Stood(String, ClaimRow, u32),
    /// A claim has this outcome, which is about to be written.
    Settled(String, Claimer, RowState),
    /// A claim's row is missing.
    Lost(String),
}

/// Returns a claim and its row's text. A response that is too long for a row counts as unknown.
pub(super) fn text_within_limit(claim: ClaimRow) -> (ClaimRow, String) {
    let text_of = |claim: &ClaimRow| serde_json::to_string(claim).unwrap_or_default();
    let text = text_of(&claim);
    if text.len() <= MAX_VALUE_BYTES {
        return (claim, text);
    }
    let state = RowState::Unknown;
    let claim = ClaimRow { state, ..claim };
    let text = text_of(&claim);
    (claim, text)
}

/// Returns the name of an action's row: its workspace and key, or their digest where that would be too long.
pub(super) fn row_name(key: &ActionKey) -> String {
    let name = format!("{}/{}", key.workspace, key.key);
    if name.len() <= MAX_NAME_BYTES {
        name
    } else {
        KeyDigest::of(&name).into()
    }
}
