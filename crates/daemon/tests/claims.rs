//! Claims of actions as rows of the platform's table, within its limits on names and values.

#[path = "support/claims.rs"]
mod claims;

use std::sync::{Arc, Mutex};

use daemon::fleet::Fleet;
use dispatch::{ActionKey, ClaimOutcome, SavedAnswer};
use platform::{
    Call, Platform, PlatformError, Store, Write,
    layout::{MAX_NAME_BYTES, MAX_VALUE_BYTES},
};
use rstest::rstest;

use crate::claims::Claims;

/// Maximum size of an idempotency key, in bytes.
const KEY_BYTES: usize = 200;

fn is_too_large(write: &Write) -> bool {
    let value = write.value.as_deref().unwrap_or_default();
    write.row.len() > MAX_NAME_BYTES || value.len() > MAX_VALUE_BYTES
}

/// Returns a platform that refuses names and values beyond its limits.
fn limited_platform() -> Platform {
    let store = Arc::new(Mutex::new(Store::default()));
    Platform::spawn(move || {
        let store = store.clone();
        move |call, _| {
            let store = store.clone();
            async move {
                match &call {
                    Call::Write { writes } if writes.iter().any(is_too_large) => {
                        Err(PlatformError::Unavailable)
                    }
                    _ => store.lock().unwrap().apply(call),
                }
            }
        }
    })
}

fn key(bytes: usize, end: &str) -> ActionKey {
    ActionKey {
        workspace: "large".into(),
        key: "k".repeat(bytes - end.len()) + end,
    }
}

/// Guards against requests that are refused permanently: a row's name was the workspace's and the key's, and longer than the
/// store takes.
#[rstest]
#[case::short(20)]
#[case::of_full_length(KEY_BYTES)]
#[tokio::test(start_paused = true)]
async fn action_is_claimed_by_a_key_of_any_length(#[case] bytes: usize) {
    let claims = Claims::start("own", limited_platform(), Fleet::default());
    let (first, other) = (key(bytes, "a"), key(bytes, "b"));
    assert_eq!(claims.claim(&first, 1).await, Ok(ClaimOutcome::Granted));
    assert_eq!(claims.claim(&first, 2).await, Ok(ClaimOutcome::InProgress));
    assert_eq!(claims.claim(&other, 3).await, Ok(ClaimOutcome::Granted));
}

/// Guards against actions that count as running permanently: the row of a long answer was larger than the store takes.
#[rstest]
#[case::short(1_000, true)]
#[case::long(100_000, false)]
#[case::longer_than_a_transaction(1_500_000, false)]
#[tokio::test(start_paused = true)]
async fn answer_of_any_size_ends_its_action(#[case] bytes: usize, #[case] is_kept: bool) {
    let claims = Claims::start("own", limited_platform(), Fleet::default());
    let key = key(20, "");
    let answer = SavedAnswer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; bytes],
    };
    assert_eq!(claims.claim(&key, 1).await, Ok(ClaimOutcome::Granted));
    let is_recorded = claims.settle(&key, 1, Some(answer.clone())).await;
    let expected = if is_kept {
        ClaimOutcome::Done(answer)
    } else {
        ClaimOutcome::Unknown
    };
    let repeated = claims.claim(&key, 2).await;
    assert!(repeated == Ok(expected), "{is_recorded}");
    assert!(is_recorded);
}
