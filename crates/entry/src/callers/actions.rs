//! Requests with an idempotency key, which run at most once.

use std::time::Duration;

use base::{ErrorKind, Executed, Refusal, Time};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, RequestId, SavedAnswer};
use http::{HeaderValue, StatusCode};
use tokio::{sync::oneshot, time::timeout};

use super::CallerHandler;
use crate::{
    execute::{RequestHandle, execute},
    forward::{RequestTemplate, TargetResponse},
    head,
    message::LedgerCall,
    trace::Span,
};

/// Maximum time for which an answer waits until it is recorded for repeats of the request.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

impl CallerHandler {
    /// Runs a request with an idempotency key at most once: claims the key, executes the request
    /// and records the outcome, even if the caller disconnects meanwhile.
    pub(super) async fn run_once(
        &self,
        request: RequestHandle,
        key: ActionKey,
        fingerprint: u64,
        template: RequestTemplate,
        (deadline, span): (Time, Span),
    ) -> Result<TargetResponse, Refusal> {
        match self.claim(&key, request.id, fingerprint).await? {
            ClaimOutcome::Granted => {}
            ClaimOutcome::Done(answer) => return replay(answer),
            other => return Err(Refusal::new(claim_error(&other))),
        }
        request.dispatch(fingerprint);
        let handler = self.clone();
        let run = async move {
            let request_id = request.id;
            let result = execute(&handler.forwarder, request, || template, &span).await;
            let (event, answer) = outcome_of(&result);
            let (recorded, record) = oneshot::channel();
            let call = LedgerCall::Settle {
                key,
                request: request_id,
                event,
                answer,
                recorded,
            };
            let _ = handler.ledger.send(call).await;
            if result.is_ok() {
                // A repeat after the answer, through any instance, gets the same one.
                let _ = timeout(RECORD_TIMEOUT.min(deadline - handler.clock.now()), record).await;
            }
            result
        };
        tokio::spawn(run)
            .await
            .unwrap_or_else(|_| Err(Refusal::new(ErrorKind::Internal)))
    }

    async fn claim(
        &self,
        key: &ActionKey,
        request: RequestId,
        fingerprint: u64,
    ) -> Result<ClaimOutcome, Refusal> {
        let (reply, answer) = oneshot::channel();
        let call = LedgerCall::Claim {
            key: key.clone(),
            request,
            fingerprint,
            reply,
        };
        let unavailable = || Refusal::new(ErrorKind::ClaimUnavailable);
        self.ledger.send(call).await.map_err(|_| unavailable())?;
        answer
            .await
            .map_err(|_| unavailable())?
            .map_err(Refusal::new)
    }
}

fn claim_error(claim: &ClaimOutcome) -> ErrorKind {
    match claim {
        ClaimOutcome::InProgress => ErrorKind::InProgress,
        ClaimOutcome::Reused => ErrorKind::KeyReused,
        ClaimOutcome::Stale => ErrorKind::ClaimUnavailable,
        ClaimOutcome::Unknown | ClaimOutcome::Done(_) | ClaimOutcome::Granted => {
            ErrorKind::OutcomeUnknown
        }
    }
}

fn outcome_of(result: &Result<TargetResponse, Refusal>) -> (ActionEvent, Option<SavedAnswer>) {
    match result {
        Ok(response) => {
            let headers = response
                .headers
                .iter()
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect();
            let answer = SavedAnswer {
                status: response.status.as_u16(),
                headers,
                body: response.body.to_vec(),
            };
            (ActionEvent::Answered, Some(answer))
        }
        Err(refusal) if refusal.kind.response().executed == Executed::No => {
            (ActionEvent::NotRun, None)
        }
        Err(_) => (ActionEvent::Lost, None),
    }
}

fn replay(answer: SavedAnswer) -> Result<TargetResponse, Refusal> {
    let status = StatusCode::from_u16(answer.status)
        .ok()
        .filter(|status| head::is_final(*status))
        .ok_or(Refusal::new(ErrorKind::OutcomeUnknown))?;
    let headers = answer
        .headers
        .iter()
        .filter_map(|(name, value)| {
            Some((name.parse().ok()?, HeaderValue::from_bytes(value).ok()?))
        })
        .collect();
    Ok(TargetResponse {
        status,
        headers,
        body: answer.body.into(),
    })
}
