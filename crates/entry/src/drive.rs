//! The engine's decisions on one request, carried out until it has its final answer.

use std::sync::Arc;

use base::{ErrorKind, Refusal, Time};
use dispatch::{Outcome, RequestId};
use http::HeaderValue;
use tokio::{sync::mpsc, task::JoinSet, time::sleep_until};

use crate::{
    callers::CallerHandler,
    forward::{self, AttemptResult, RequestTemplate, TargetResponse},
    head,
    message::{Admitted, AttemptPlan, Decision, Event, TargetFeedback},
    request_log::RequestLog,
    trace::Span,
};

/// Holds a request's place in the engine and gives it up when dropped.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) id: RequestId,
    rx: mpsc::UnboundedReceiver<Decision>,
    events: mpsc::UnboundedSender<Event>,
    is_ended: bool,
    /// Where the story of the request is kept.
    pub(crate) story: RequestLog,
}

impl Caller {
    /// Returns a place for the request `id`, whose decisions come through `rx`.
    pub(crate) fn new(
        id: RequestId,
        rx: mpsc::UnboundedReceiver<Decision>,
        events: mpsc::UnboundedSender<Event>,
        story: RequestLog,
    ) -> Self {
        Self {
            story,
            id,
            rx,
            events,
            is_ended: false,
        }
    }

    async fn next(&mut self) -> Result<Decision, Refusal> {
        loop {
            match self.next_told().await? {
                Decision::Accepted(about) => self.story.accepted(about),
                decision => return Ok(decision),
            }
        }
    }

    async fn next_told(&mut self) -> Result<Decision, Refusal> {
        match self.rx.recv().await {
            Some(Decision::Refuse(refusal)) => {
                self.is_ended = true;
                Err(refusal)
            }
            Some(decision) => Ok(decision),
            None => {
                self.is_ended = true;
                Err(Refusal::new(ErrorKind::Internal))
            }
        }
    }

    pub(crate) async fn admission(&mut self) -> Result<Admitted, Refusal> {
        match self.next().await? {
            Decision::Admitted(admitted) => Ok(admitted),
            Decision::SendAttempt(_) | Decision::Refuse(_) | Decision::Accepted(_) => {
                Err(Refusal::new(ErrorKind::Internal))
            }
        }
    }

    pub(crate) fn dispatch(&self, fingerprint: u64) {
        let _ = self.events.send(Event::Dispatch {
            id: self.id,
            fingerprint,
        });
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.rx.close();
        while let Ok(decision) = self.rx.try_recv() {
            if let Decision::SendAttempt(go) = decision {
                let _ = self.events.send(Event::Finish {
                    id: self.id,
                    attempt: go.assignment.attempt,
                    outcome: Outcome::Canceled,
                    answer_bytes: None,
                    connection: go.connection,
                    feedback: TargetFeedback::default(),
                });
            }
        }
        if !self.is_ended {
            let _ = self.events.send(Event::Cancel(self.id));
        }
    }
}

/// Reports the end of an attempt, also where its task is dropped.
#[derive(Debug)]
struct AttemptGuard {
    id: RequestId,
    attempt: u32,
    events: mpsc::UnboundedSender<Event>,
    is_reported: bool,
}

impl AttemptGuard {
    fn report(mut self, end: AttemptResult) -> Option<TargetResponse> {
        self.is_reported = true;
        let _ = self.events.send(Event::Finish {
            id: self.id,
            attempt: self.attempt,
            outcome: end.outcome,
            answer_bytes: end.answer.as_ref().map(|answer| answer.body.len()),
            connection: end.connection,
            feedback: end.feedback,
        });
        end.answer
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.is_reported {
            return;
        }
        let _ = self.events.send(Event::Finish {
            id: self.id,
            attempt: self.attempt,
            outcome: Outcome::Canceled,
            answer_bytes: None,
            connection: None,
            feedback: TargetFeedback::default(),
        });
    }
}

/// Carries out the engine's decisions on one request until it has its final answer.
pub(crate) async fn drive(
    shared: &CallerHandler,
    mut caller: Caller,
    template: RequestTemplate,
    span: &Span,
) -> Result<TargetResponse, Refusal> {
    let template = Arc::new(template);
    let mut attempts = JoinSet::new();
    let mut hedge_at: Option<Time> = None;
    let mut queue = Some(span.child("queue"));
    loop {
        let hedge = sleep_until(shared.clock.instant(hedge_at.unwrap_or(Time::ZERO)));
        tokio::select! {
            decision = caller.next() => {
                drop(queue.take());
                if let Decision::SendAttempt(go) = decision? {
                    caller.story.begin(shared.clock.now(), &go.assignment);
                    let is_first = go.assignment.attempt == 1;
                    hedge_at = is_first.then(|| shared.clock.now() + go.assignment.hedge_after);
                    let attempt = start(shared, caller.id, *go, template.clone(), span);
                    attempts.spawn(attempt);
                }
            }
            Some(end) = attempts.join_next() => {
                // Reported here, so that the engine can't end the request before its answer is seen.
                if let Ok((guard, end)) = &end {
                    caller.story.end(shared.clock.now(), guard.attempt, end);
                }
                if let Ok((guard, end)) = end
                    && let Some(whole) = guard.report(end)
                {
                    caller.is_ended = true;
                    return Ok(whole);
                }
            }
            () = hedge, if hedge_at.is_some() => {
                hedge_at = None;
                let _ = shared.events.send(Event::Hedge(caller.id));
            }
        }
    }
}

/// Returns the future that sends one attempt.
fn start(
    shared: &CallerHandler,
    id: RequestId,
    go: AttemptPlan,
    template: Arc<RequestTemplate>,
    span: &Span,
) -> impl Future<Output = (AttemptGuard, AttemptResult)> + Send + 'static {
    let clock = shared.clock;
    let guard = AttemptGuard {
        id,
        attempt: go.assignment.attempt,
        events: shared.events.clone(),
        is_reported: false,
    };
    let mut span = span.child("attempt");
    span.note(go.assignment.target.as_str());
    async move {
        let mut template = RequestTemplate::clone(&template);
        add_hop_headers(&mut template, &span, &go);
        let target = span.child("target");
        let end =
            forward::send_attempt(clock, go.addr, go.connection, &template, go.deadline).await;
        drop(target);
        (guard, end)
    }
}

fn add_hop_headers(template: &mut RequestTemplate, span: &Span, go: &AttemptPlan) {
    let dialect = template.dialect.clone();
    if dialect.propagates_traces
        && let Some(value) = span.header()
    {
        template.headers.insert(head::TRACEPARENT, value);
    }
    // Nobody has shown a key on an open route.
    let has_workspace = !go.is_open || dialect.propagates_traces;
    if has_workspace && let Ok(value) = HeaderValue::from_str(go.workspace.as_str()) {
        template.headers.insert(dialect.workspace.clone(), value);
    }
    if let Some(name) = &dialect.target
        && let Ok(value) = HeaderValue::from_str(go.assignment.target.as_str())
    {
        template.headers.insert(name.clone(), value);
    }
}
