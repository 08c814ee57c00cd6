//! Execution of one request: carries out the engine's decisions until the final response.

use std::sync::Arc;

use base::{ErrorKind, Refusal, Time};
use dispatch::{Outcome, RequestId};
use http::HeaderValue;
use tokio::{sync::mpsc, task::JoinSet, time::sleep_until};

use crate::{
    caller::Caller,
    dial::DialPlan,
    forward::{AttemptResult, Forwarder, RequestTemplate, TargetFeedback, TargetResponse},
    head,
    message::{Admitted, AttemptPlan, Decision, Event},
    permit::{SendNote, SendPermit},
    request_log::RequestLog,
    trace::Span,
};

/// Represents a request submitted to the engine; cancels it on drop unless it has ended.
#[derive(Debug)]
pub(crate) struct RequestHandle {
    pub(crate) id: RequestId,
    rx: mpsc::UnboundedReceiver<Decision>,
    events: mpsc::UnboundedSender<Event>,
    has_ended: bool,
    /// Collects the contents of the request's log line.
    pub(crate) log: RequestLog,
    /// Caller without whom the request is not sent on.
    pub(crate) caller: Option<Caller>,
}

impl RequestHandle {
    /// Returns the handle of the request `id`, which receives its decisions through `rx`.
    pub(crate) fn new(
        id: RequestId,
        rx: mpsc::UnboundedReceiver<Decision>,
        events: mpsc::UnboundedSender<Event>,
        log: RequestLog,
    ) -> Self {
        Self {
            log,
            id,
            rx,
            events,
            has_ended: false,
            caller: None,
        }
    }

    /// Sets the caller without whom the request is not sent on.
    pub(crate) fn of_caller(mut self, caller: Option<Caller>) -> Self {
        self.caller = caller;
        self
    }

    /// Ends the request with its connection if the caller has closed that.
    pub(crate) async fn end_if_abandoned(&self) {
        if let Some(caller) = &self.caller {
            caller.close_if_left().await;
        }
    }

    async fn decision(&mut self) -> Result<Decision, Refusal> {
        loop {
            match self.receive().await? {
                Decision::Resolved(info) => self.log.set_info(info),
                Decision::Consulted(config) => self.log.set_config(config),
                Decision::NoRoom(candidates) => self.log.set_candidates(&candidates),
                decision => return Ok(decision),
            }
        }
    }

    async fn receive(&mut self) -> Result<Decision, Refusal> {
        match self.rx.recv().await {
            Some(Decision::Refuse(refusal)) => {
                self.has_ended = true;
                Err(refusal)
            }
            Some(decision) => Ok(decision),
            None => {
                self.has_ended = true;
                Err(Refusal::new(ErrorKind::Internal))
            }
        }
    }

    pub(crate) async fn admission(&mut self) -> Result<Admitted, Refusal> {
        match self.decision().await? {
            Decision::Admitted(admitted) => Ok(admitted),
            Decision::SendAttempt(_)
            | Decision::Refuse(_)
            | Decision::Resolved(_)
            | Decision::Consulted(_)
            | Decision::NoRoom(_) => Err(Refusal::new(ErrorKind::Internal)),
        }
    }

    pub(crate) fn dispatch(&self, fingerprint: u64) {
        let _ = self.events.send(Event::Dispatch {
            id: self.id,
            fingerprint,
        });
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        self.rx.close();
        while let Ok(decision) = self.rx.try_recv() {
            if let Decision::SendAttempt(plan) = decision {
                let _ = self.events.send(Event::AttemptEnded {
                    id: self.id,
                    attempt: plan.assignment.attempt,
                    outcome: Outcome::Canceled,
                    response_bytes: None,
                    connection: plan.connection,
                    feedback: TargetFeedback::default(),
                });
            }
        }
        if !self.has_ended {
            let _ = self.events.send(Event::Cancel(self.id));
        }
    }
}

/// Reports the end of an attempt to the engine, as canceled if dropped before the end.
#[derive(Debug)]
struct AttemptGuard {
    id: RequestId,
    attempt: u32,
    events: mpsc::UnboundedSender<Event>,
    is_reported: bool,
}

impl AttemptGuard {
    fn report(mut self, result: AttemptResult) -> Option<TargetResponse> {
        self.is_reported = true;
        let _ = self.events.send(Event::AttemptEnded {
            id: self.id,
            attempt: self.attempt,
            outcome: result.outcome,
            response_bytes: result.response.as_ref().map(|response| response.body.len()),
            connection: result.connection,
            feedback: result.feedback,
        });
        result.response
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.is_reported {
            return;
        }
        let _ = self.events.send(Event::AttemptEnded {
            id: self.id,
            attempt: self.attempt,
            outcome: Outcome::Canceled,
            response_bytes: None,
            connection: None,
            feedback: TargetFeedback::default(),
        });
    }
}

/// Sends the attempts that the engine decides on until the request has a final response.
pub(crate) async fn execute<F>(
    forwarder: &Forwarder,
    mut request: RequestHandle,
    template: F,
    span: &Span,
) -> Result<TargetResponse, Refusal>
where
    F: FnOnce() -> RequestTemplate,
{
    let queue_span = span.child("queue");
    let first = request.decision().await?;
    drop(queue_span);
    let template = Arc::new(template());
    run_attempts(forwarder, request, first, &template, span).await
}

/// Carries out the first decision and all that follow it.
async fn run_attempts(
    forwarder: &Forwarder,
    mut request: RequestHandle,
    first: Decision,
    template: &Arc<RequestTemplate>,
    span: &Span,
) -> Result<TargetResponse, Refusal> {
    let clock = forwarder.clock();
    let mut attempts = JoinSet::new();
    let mut hedge_at: Option<Time> = None;
    let mut decided = Some(first);
    loop {
        if let Some(Decision::SendAttempt(plan)) = decided.take() {
            let note = request.log.attempt_started(clock.now(), &plan);
            let is_first = plan.assignment.attempt == 1;
            hedge_at = is_first.then(|| clock.now() + plan.assignment.hedge_delay);
            let plan = (*plan, note);
            let attempt = prepare_attempt(forwarder, &request, plan, template.clone(), span);
            attempts.spawn(attempt);
        }
        let hedge = sleep_until(clock.instant(hedge_at.unwrap_or(Time::ZERO)));
        tokio::select! {
            decision = request.decision() => decided = Some(decision?),
            Some(joined) = attempts.join_next() => {
                // Reported by this task and not by the attempt's, so that the engine can't end the
                // request before this loop has seen the response.
                if let Ok((guard, result)) = &joined {
                    request.log.attempt_ended(clock.now(), guard.attempt, result);
                }
                if let Ok((guard, result)) = joined {
                    let is_canceled = result.outcome == Outcome::Canceled;
                    if let Some(response) = guard.report(result) {
                        request.has_ended = true;
                        return Ok(response);
                    }
                    if is_canceled {
                        request.end_if_abandoned().await;
                    }
                }
            }
            () = hedge, if hedge_at.is_some() => {
                hedge_at = None;
                let _ = request.events.send(Event::HedgeDelayElapsed(request.id));
            }
        }
    }
}

/// Returns the future that sends one attempt, and notes when.
fn prepare_attempt(
    forwarder: &Forwarder,
    request: &RequestHandle,
    (plan, note): (AttemptPlan, SendNote),
    template: Arc<RequestTemplate>,
    span: &Span,
) -> impl Future<Output = (AttemptGuard, AttemptResult)> + Send + 'static {
    let guard = AttemptGuard {
        id: request.id,
        attempt: plan.assignment.attempt,
        events: request.events.clone(),
        is_reported: false,
    };
    let mut span = span.child("attempt");
    span.note(plan.assignment.target.as_str());
    let forwarder = forwarder.clone();
    let caller = request.caller.clone();
    async move {
        let mut template = RequestTemplate::clone(&template);
        add_attempt_headers(&mut template, &span, &plan);
        let dial = DialPlan {
            target: plan.assignment.target.clone(),
            addr: plan.addr,
            relays: plan.relays,
            prefers_relay: plan.assignment.prefers_relay,
            relay_delay: plan.assignment.relay_delay,
        };
        let permit = SendPermit::new(plan.assignment.region, plan.allowed_regions)
            .noted(note, plan.in_force)
            .until(plan.sends_until)
            .while_waiting(caller);
        let target_span = span.child("target");
        let result = forwarder
            .send_attempt(&dial, plan.connection, &template, &permit, plan.deadline)
            .await;
        drop(target_span);
        (guard, result)
    }
}

fn add_attempt_headers(template: &mut RequestTemplate, span: &Span, plan: &AttemptPlan) {
    let dialect = template.dialect.clone();
    if dialect.propagates_traces
        && let Some(value) = span.header()
    {
        template.headers.insert(head::TRACEPARENT, value);
    }
    // An open route needs no key, so its workspace is only a placeholder.
    let has_workspace = !plan.is_open || dialect.propagates_traces;
    if has_workspace && let Ok(value) = HeaderValue::from_str(plan.workspace.as_str()) {
        template.headers.insert(dialect.workspace.clone(), value);
    }
    if let Some(name) = &dialect.target
        && let Ok(value) = HeaderValue::from_str(plan.assignment.target.as_str())
    {
        template.headers.insert(name.clone(), value);
    }
}
