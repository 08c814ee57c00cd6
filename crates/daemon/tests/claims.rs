//! Claims of actions as rows of the platform's table, within its limit on names.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{ErrorKind, Incarnation};
use daemon::{
    fleet::Fleet,
    ledger::{LedgerTask, LedgerTaskOptions},
};
use dispatch::{ActionKey, ClaimOutcome, Ledger, RequestId};
use entry::{
    message::LedgerCall,
    view::{Clock, View},
};
use platform::{Call, Platform, PlatformError, Store, Write, layout::MAX_NAME_BYTES};
use rstest::rstest;
use tokio::sync::{mpsc, oneshot, watch};
use wire::Secret;

const FINGERPRINT: u64 = 7;
/// Maximum size of an idempotency key, in bytes.
const KEY_BYTES: usize = 200;

fn is_too_large(write: &Write) -> bool {
    write.row.len() > MAX_NAME_BYTES
}

/// Returns a platform that refuses names beyond its limit.
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

/// A ledger without other instances, which records all actions in the table.
struct Claims {
    calls: mpsc::Sender<LedgerCall>,
}

impl Claims {
    fn start() -> Self {
        let (_, fleet) = watch::channel(Arc::new(Fleet::default()));
        let (_, view) = watch::channel(Arc::new(View::default()));
        let (tables, _) = mpsc::channel(1);
        let (calls, rx) = mpsc::channel(8);
        let (incoming, incoming_rx) = mpsc::channel(1);
        let ledger = LedgerTask::new(LedgerTaskOptions {
            clock: Clock::start(),
            own_id: "own".into(),
            incarnation: Incarnation(1),
            ledger: Ledger::new(Duration::from_secs(60), Duration::from_secs(60)).unwrap(),
            platform: limited_platform(),
            secret: Secret::derive("a secret for tests only"),
            fleet,
            view,
            tables,
        });
        tokio::spawn(async move {
            let _kept = incoming;
            ledger.run(rx, incoming_rx).await;
        });
        Self { calls }
    }

    async fn claim(&self, key: &ActionKey, request: u64) -> Result<ClaimOutcome, ErrorKind> {
        let (reply, answer) = oneshot::channel();
        let call = LedgerCall::Claim {
            key: key.clone(),
            request: RequestId(request),
            fingerprint: FINGERPRINT,
            reply,
        };
        self.calls.send(call).await.unwrap();
        answer.await.unwrap()
    }
}

fn key(bytes: usize, end: &str) -> ActionKey {
    ActionKey {
        workspace: "large".into(),
        key: "k".repeat(bytes - end.len()) + end,
    }
}

/// Guards against requests that are refused for good: a row's name was the workspace's and the key's, and longer than the
/// store takes.
#[rstest]
#[case::short(20)]
#[case::of_full_length(KEY_BYTES)]
#[tokio::test(start_paused = true)]
async fn action_is_claimed_by_a_key_of_any_length(#[case] bytes: usize) {
    let claims = Claims::start();
    let (first, other) = (key(bytes, "a"), key(bytes, "b"));
    assert_eq!(claims.claim(&first, 1).await, Ok(ClaimOutcome::Granted));
    assert_eq!(claims.claim(&first, 2).await, Ok(ClaimOutcome::InProgress));
    assert_eq!(claims.claim(&other, 3).await, Ok(ClaimOutcome::Granted));
}
