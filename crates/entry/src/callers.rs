//! HTTP handler of the listener for callers: look-ups of instances, and requests to targets.

mod actions;
mod lookup;

use std::{
    ops::RangeInclusive,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{ErrorKind, Refusal, ServiceId, Time};
use bytes::Bytes;
use dispatch::{ActionKey, RequestId, RequestKind};
use http::{HeaderMap, HeaderName, HeaderValue, header};
use hyper::body::Body;
use salvo::{
    Depot, FlowCtrl, Handler, Router,
    http::{ReqBody, Request, ResBody, Response},
};
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};

use crate::{
    caller::Caller,
    dialect::Dialect,
    execute::{RequestHandle, execute},
    fingerprint::fingerprint,
    forward::{Forwarder, RequestTemplate, TargetResponse},
    head::{self, Head},
    held::{BodyError, HeldBytes},
    lag::LagMeter,
    message::{Arrival, Event, LedgerCall},
    metrics::Metrics,
    recorder::{self, Recorder, RequestLineGuard},
    request_log::RequestLog,
    response,
    serve::HEAD_LIMIT_BYTES,
    trace::{Span, Trace},
    view::{Clock, View},
};

/// Bytes of request bodies that are received at the same time.
pub const MAX_HELD_BYTES: usize = 32 * 1024 * 1024;
/// Times after which the callers of surplus connections may try again, spread out.
const SURPLUS_RETRY_AFTER: RangeInclusive<Duration> =
    Duration::from_millis(250)..=Duration::from_secs(1);
/// Path of the look-up, which returns the instances that a caller may use.
pub const LOOKUP_PATH: &str = "/v1/lookup";

/// Serves look-ups and requests of callers.
#[derive(Debug, Clone)]
pub struct CallerHandler {
    /// Clock of the process.
    pub clock: Clock,
    /// Tells how long what is read now has waited for this process.
    pub lag: LagMeter,
    /// Channel to the engine.
    pub events: mpsc::UnboundedSender<Event>,
    /// Channel to the ledger of idempotency keys.
    pub ledger: mpsc::Sender<LedgerCall>,
    /// Active configuration and instances to return from look-ups.
    pub view: watch::Receiver<Arc<View>>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Counter that request IDs are taken from.
    pub ids: Arc<AtomicU64>,
    /// Size limits, timeouts and sampling of requests.
    pub options: HandlerOptions,
    /// Header names and HTTP conventions of callers and targets.
    pub dialect: Arc<Dialect>,
    /// Writer of request log lines.
    pub recorder: Recorder,
    /// Sends requests to targets.
    pub forwarder: Forwarder,
    /// Bound on the request bodies that are received at the same time.
    pub held: HeldBytes,
}

/// Configures a [`CallerHandler`].
#[derive(Debug, Clone, Copy)]
pub struct HandlerOptions {
    /// Maximum size of a request body, unless the active configuration sets another one.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// How long callers may cache a look-up's response.
    pub lookup_ttl: Duration,
    /// Fraction of the requests without a trace context whose spans are logged.
    pub trace_sample_ratio: f64,
}

impl CallerHandler {
    /// Returns a router that passes requests on any path to this handler.
    pub fn into_router(self) -> Router {
        Router::with_path("{**path}").goal(self)
    }
}

#[salvo::async_trait]
impl Handler for CallerHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let is_look_up = self.dialect.propagates_traces && req.uri().path() == LOOKUP_PATH;
        if is_look_up && !head::asks_for_tunnel(req.method()) {
            self.look_up(req, res);
        } else {
            self.serve_request(req, res).await;
        }
    }
}

impl CallerHandler {
    async fn serve_request(&self, req: &mut Request, res: &mut Response) {
        let started = self.clock.now();
        let trace = Trace::accept(req.headers(), self.options.trace_sample_ratio);
        let mut span = trace.span("request", self.clock);
        let log = RequestLog::new(started, self.lag.of_handed_on());
        let log_for_metrics = log.clone();
        // Writes the log line even if the caller disconnects and this future is dropped.
        let mut line_guard = RequestLineGuard::new(
            self.recorder.clone(),
            self.dialect.clone(),
            self.clock,
            recorder::request_id(&self.dialect, req.headers(), &trace),
            log.clone(),
        );
        let head = self
            .check_head_size(req)
            .and_then(|()| head::read(&self.dialect, req.method(), req.uri(), req.headers()));
        let (service, result) = match head {
            Ok(head) => (
                head.service.clone(),
                self.handle_request(req, head, &span, log).await,
            ),
            Err(kind) => (ServiceId::from(""), Err(Refusal::new(kind))),
        };
        let end = match &result {
            Ok(_) => "ok".to_owned(),
            Err(refusal) => refusal.kind.to_string(),
        };
        span.note(&end);
        self.record_metrics(&service, &end, started, &log_for_metrics);
        if let Err(refusal) = &result {
            let status = self.dialect.status(refusal.kind);
            let age = log_for_metrics.with(|state| state.config_age()).flatten();
            self.metrics.record_refusal(&end, status, age);
        }
        line_guard.finish(&end, &result);
        match result {
            Ok(response) => write_response(res, response),
            Err(refusal) => response::write_error(&self.dialect, res, &refusal),
        }
        if self.view.borrow().is_leaving || head::asks_for_tunnel(req.method()) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(header::CONNECTION, close);
        }
        if !self.dialect.propagates_traces {
            return;
        }
        if let Ok(id) = HeaderValue::from_str(&trace.id()) {
            let name = HeaderName::from_static("trace-id");
            res.headers_mut().insert(name, id);
        }
    }

    fn record_metrics(&self, requested: &ServiceId, end: &str, started: Time, log: &RequestLog) {
        let routed = log.with(|state| Some(state.info.as_ref()?.service.clone()));
        let service = &routed.flatten().unwrap_or_else(|| requested.clone());
        let is_known = self
            .view
            .borrow()
            .config
            .as_ref()
            .is_some_and(|(_, config)| config.services.contains_key(service));
        // Unknown names are chosen by callers and must not create new time series.
        let label = if is_known { service.as_str() } else { "" };
        self.metrics.requests.with_label_values(&[label, end]).inc();
        let elapsed = (self.clock.now() - started).as_secs_f64();
        self.metrics
            .request_seconds
            .with_label_values(&[label])
            .observe(elapsed);
        log.with(|state| {
            for attempt in &state.attempts {
                self.metrics.count_attempt(label, attempt);
            }
        });
    }

    async fn handle_request(
        &self,
        req: &mut Request,
        head: Head,
        span: &Span,
        log: RequestLog,
    ) -> Result<TargetResponse, Refusal> {
        let caller = req.extensions().get::<Caller>().cloned();
        if caller.as_ref().is_some_and(|caller| caller.is_surplus) {
            let wait = rand::random_range(SURPLUS_RETRY_AFTER);
            return Err(Refusal::new(ErrorKind::Overloaded).retry_after(wait));
        }
        let body = req.take_body();
        let headers = req.headers();
        let has_body = !matches!(body, ReqBody::None) && !body.is_end_stream();
        let needs_claim = head.kind == RequestKind::Once && head.idempotency_key.is_some();
        let mut template = self.template(req, &head);
        let forwarded = || head::forwarded_headers(&self.dialect, headers, head.api_key.as_deref());
        let admission_span = span.child("admission");
        if let Some(caller) = &caller {
            caller.close_if_left().await;
        }
        let request = self.submit(&head, &template, has_body || needs_claim, log);
        let mut request = request.of_caller(caller);
        if !(has_body || needs_claim) {
            drop(admission_span);
            let template = || RequestTemplate {
                headers: forwarded(),
                ..template
            };
            return execute(&self.forwarder, request, template, span).await;
        }
        let admitted = request.admission().await?;
        drop(admission_span);
        template.headers = forwarded();
        if has_body {
            template.body = self.read_body(body, admitted.deadline).await?;
            request.end_if_abandoned().await;
        }
        let fingerprint = fingerprint(
            &template,
            head.idempotency_key.as_deref(),
            head.api_key.as_deref(),
        );
        let Some(key) = head.idempotency_key.filter(|_| needs_claim) else {
            request.dispatch(fingerprint);
            return execute(&self.forwarder, request, || template, span).await;
        };
        // From the claim on, the action goes on without its caller.
        request.caller = None;
        let key = ActionKey {
            workspace: admitted.workspace,
            key,
        };
        let action = (admitted.deadline, span.child("action"));
        self.run_once(request, key, fingerprint, template, action)
            .await
    }

    fn submit(
        &self,
        head: &Head,
        template: &RequestTemplate,
        awaits_dispatch: bool,
        log: RequestLog,
    ) -> RequestHandle {
        let id = RequestId(self.ids.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        let arrival = Arrival {
            id,
            api_key: head.api_key.clone(),
            service: head.service.clone(),
            path: head.path.clone(),
            host: head.host.clone(),
            full_path: head.full_path.clone(),
            affinity: head.affinity,
            kind: head.kind,
            fingerprint: fingerprint(
                template,
                head.idempotency_key.as_deref(),
                head.api_key.as_deref(),
            ),
            timeout: head.timeout_ms.map(Duration::from_millis),
            awaits_dispatch,
            tx,
        };
        let _ = self.events.send(Event::RequestArrived(arrival));
        RequestHandle::new(id, rx, self.events.clone(), log)
    }

    /// Returns what is sent to targets, without headers, which few refused requests need.
    fn template(&self, req: &Request, head: &Head) -> RequestTemplate {
        RequestTemplate {
            method: req.method().clone(),
            path: head::forwarded_path(&self.dialect, req.uri(), head.api_key.as_deref()),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            dialect: self.dialect.clone(),
            attempt_id: head.attempt_id.clone(),
        }
    }

    /// Returns the limits that the active configuration sets, if any.
    fn configured_limits(&self) -> Option<base::CallerLimits> {
        let view = self.view.borrow();
        let (_, config) = view.config.as_ref()?;
        config.caller_limits
    }

    /// Checks the size of a request's head: the path with its query, and the header lines.
    fn check_head_size(&self, req: &Request) -> Result<(), ErrorKind> {
        let configured = self
            .configured_limits()
            .map(|limits| limits.head_bytes as usize);
        let headers = req.headers().iter();
        // Besides name and value, each line has a colon, a space and CRLF.
        let line_bytes = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
        let path = req.uri().path_and_query();
        let path_bytes = path.map_or(0, |path| path.as_str().len());
        if path_bytes + line_bytes.sum::<usize>() > configured.unwrap_or(HEAD_LIMIT_BYTES) {
            return Err(ErrorKind::HeadTooLarge);
        }
        Ok(())
    }

    async fn read_body(&self, body: ReqBody, deadline: Time) -> Result<Bytes, Refusal> {
        let remaining = deadline - self.clock.now();
        let body_timeout = self.options.body_timeout.min(remaining);
        let configured = self
            .configured_limits()
            .map(|limits| limits.body_bytes as usize);
        let limit = configured.unwrap_or(self.options.max_body_bytes);
        let read = self.held.collect(body, limit);
        let kind = match timeout(body_timeout, read).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(BodyError::TooLarge)) => ErrorKind::BodyTooLarge,
            Ok(Err(BodyError::NoRoom)) => ErrorKind::Overloaded,
            Ok(Err(BodyError::Failed)) => ErrorKind::BadRequest,
            Err(_) => ErrorKind::SlowSender,
        };
        Err(Refusal::new(kind))
    }
}

fn write_response(res: &mut Response, response: TargetResponse) {
    res.status_code(response.status);
    res.headers_mut().extend(response.headers);
    res.replace_body(ResBody::Once(response.body));
}
