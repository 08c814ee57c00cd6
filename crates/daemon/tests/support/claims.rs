//! A ledger that asks no other instances, and records actions without a home in the platform's table.

use std::{sync::Arc, time::Duration};

use base::{ErrorKind, Incarnation};
use daemon::{
    fleet::Fleet,
    ledger::{LedgerTask, LedgerTaskOptions},
};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Ledger, RequestId, SavedAnswer};
use entry::{
    message::LedgerCall,
    view::{Clock, View},
};
use platform::Platform;
use tokio::sync::{mpsc, oneshot, watch};
use wire::Secret;

const FINGERPRINT: u64 = 7;

/// The ledger of an instance.
pub(crate) struct Claims {
    calls: mpsc::Sender<LedgerCall>,
}

impl Claims {
    pub(crate) fn start(own_id: &str, platform: Platform, fleet: Fleet) -> Self {
        let (_, fleet) = watch::channel(Arc::new(fleet));
        let (_, view) = watch::channel(Arc::new(View::default()));
        let (tables, _) = mpsc::channel(1);
        let (calls, rx) = mpsc::channel(8);
        let (incoming, incoming_rx) = mpsc::channel(1);
        let ledger = LedgerTask::new(LedgerTaskOptions {
            clock: Clock::start(),
            own_id: own_id.into(),
            incarnation: Incarnation(1),
            ledger: Ledger::new(Duration::from_secs(60), Duration::from_secs(60)).unwrap(),
            platform,
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

    pub(crate) async fn claim(
        &self,
        key: &ActionKey,
        request: u64,
    ) -> Result<ClaimOutcome, ErrorKind> {
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

    /// Records an answer or, without one, that the action did not run, and returns whether that succeeded.
    pub(crate) async fn settle(
        &self,
        key: &ActionKey,
        request: u64,
        answer: Option<SavedAnswer>,
    ) -> bool {
        let (recorded, record) = oneshot::channel();
        let event = match answer {
            Some(_) => ActionEvent::Answered,
            None => ActionEvent::NotRun,
        };
        let call = LedgerCall::Settle {
            key: key.clone(),
            request: RequestId(request),
            event,
            answer,
            recorded,
        };
        self.calls.send(call).await.unwrap();
        record.await.is_ok()
    }
}
