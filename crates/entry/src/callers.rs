//! The listener for callers: look-ups, and requests that are carried out.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base::{DomainId, ErrorKind, Ran, Refusal, RegionId, ServiceId, Time};
use bytes::Bytes;
use dispatch::{ActionEvent, ActionKey, Claim, RequestId, SavedAnswer, WorkKind};
use http::{HeaderName, HeaderValue, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use salvo::{
    Depot, FlowCtrl, Handler, Router,
    http::{ReqBody, Request, ResBody, Response},
};
use serde::Serialize;
use steer::{Origin, order};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout,
};

use crate::{
    answer,
    dialect::Dialect,
    drive::{Caller, drive},
    fingerprint::fingerprint,
    forward::{RequestTemplate, TargetResponse},
    head::{self, Head},
    message::{Arrival, Event, LedgerCall},
    metrics::Metrics,
    recorder::{Recorder, Unfinished},
    request_log::RequestLog,
    serve::HEAD_LIMIT_BYTES,
    trace::{Span, Trace},
    view::{Clock, View},
};

/// Path at which callers ask which instances to use.
pub const LOOKUP_PATH: &str = "/v1/lookup";

/// Holds what all handlers of callers' requests share.
#[derive(Debug, Clone)]
pub struct CallerHandler {
    /// Clock of the process.
    pub clock: Clock,
    /// Where the engine's events go.
    pub events: mpsc::UnboundedSender<Event>,
    /// Where the ledger's calls go.
    pub ledger: mpsc::Sender<LedgerCall>,
    /// What is in force.
    pub view: watch::Receiver<Arc<View>>,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Source of request names.
    pub ids: Arc<AtomicU64>,
    /// Limits on requests.
    pub options: HandlerOptions,
    /// Names that heads carry.
    pub dialect: Arc<Dialect>,
    /// Where lines about requests go.
    pub recorder: Recorder,
}

/// Holds the limits on callers' requests.
#[derive(Debug, Clone, Copy)]
pub struct HandlerOptions {
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// Time in which a body must arrive.
    pub body_timeout: Duration,
    /// How long look-up answers may be kept.
    pub lookup_ttl: Duration,
    /// Share of the requests without a trace of their own whose spans are logged.
    pub trace_sample_ratio: f64,
}

impl CallerHandler {
    /// Returns the router of the listener for callers.
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
        if self.dialect.propagates_traces && req.uri().path() == LOOKUP_PATH {
            self.look_up(req, res);
        } else {
            self.serve(req, res).await;
        }
    }
}

/// Holds a look-up's answer.
#[derive(Debug, Serialize)]
struct LookupAnswer<'a> {
    service: &'a str,
    ttl_ms: u64,
    entries: Vec<LookupEntry<'a>>,
}

#[derive(Debug, Serialize)]
struct LookupEntry<'a> {
    instance: &'a str,
    addr: std::net::SocketAddr,
    domain: &'a str,
    region: &'a str,
    home: String,
}

impl CallerHandler {
    fn look_up(&self, req: &Request, res: &mut Response) {
        let trace = Trace::accept(req.headers(), self.options.trace_sample_ratio);
        let _span = trace.span("look-up", self.clock);
        let view = self.view.borrow().clone();
        let Some((_, config)) = &view.config else {
            answer::write_refusal(&self.dialect, res, &Refusal::new(ErrorKind::NotReady));
            return;
        };
        let service = req.query::<String>("service").unwrap_or_default();
        if !config.services.contains_key(service.as_str()) {
            answer::write_refusal(&self.dialect, res, &Refusal::new(ErrorKind::UnknownService));
            return;
        }
        let origin = Origin {
            domain: req.query::<String>("domain").map(DomainId::from),
            region: req.query::<String>("region").map(RegionId::from),
        };
        let candidates = view.candidates(config);
        let entries = order(&candidates, &origin, rand::random())
            .into_iter()
            .map(|idx| LookupEntry {
                instance: candidates[idx].instance.as_str(),
                addr: view.entries[idx].addr,
                domain: candidates[idx].domain.as_str(),
                region: candidates[idx].region.as_str(),
                home: format!(
                    "{}.{:x}.",
                    view.entries[idx].instance, view.entries[idx].incarnation.0
                ),
            })
            .collect();
        let body = LookupAnswer {
            service: &service,
            ttl_ms: self.options.lookup_ttl.as_millis() as u64,
            entries,
        };
        answer::write_json(res, StatusCode::OK.as_u16(), &body);
    }

    async fn serve(&self, req: &mut Request, res: &mut Response) {
        let started = self.clock.now();
        let trace = Trace::accept(req.headers(), self.options.trace_sample_ratio);
        let mut span = trace.span("request", self.clock);
        let story = RequestLog::new(started);
        // Written also where the caller leaves and this future is dropped.
        let told = story.clone();
        let mut unfinished = Unfinished::new(self, req, story.clone());
        let head = self
            .check_size(req)
            .and_then(|()| head::read(&self.dialect, req.method(), req.uri(), req.headers()));
        let (service, result) = match head {
            Ok(head) => (
                head.service.clone(),
                self.carry_out(req, head, &span, story).await,
            ),
            Err(kind) => (ServiceId::from(""), Err(Refusal::new(kind))),
        };
        let end = match &result {
            Ok(_) => "ok".to_owned(),
            Err(refusal) => refusal.kind.to_string(),
        };
        span.note(&end);
        self.count(&service, &end, started, &told);
        unfinished.end(&end, &result);
        match result {
            Ok(whole) => write(res, whole),
            Err(refusal) => answer::write_refusal(&self.dialect, res, &refusal),
        }
        if self.view.borrow().is_leaving {
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

    fn count(&self, named: &ServiceId, end: &str, started: Time, story: &RequestLog) {
        let routed = story.with(|told| Some(told.about.as_ref()?.service.clone()));
        let service = &routed.flatten().unwrap_or_else(|| named.clone());
        let is_known = self
            .view
            .borrow()
            .config
            .as_ref()
            .is_some_and(|(_, config)| config.services.contains_key(service));
        // Unknown names come from callers and must not make new series.
        let label = if is_known { service.as_str() } else { "" };
        self.metrics.requests.with_label_values(&[label, end]).inc();
        let passed = (self.clock.now() - started).as_secs_f64();
        self.metrics
            .latency
            .with_label_values(&[label])
            .observe(passed);
        story.with(|told| {
            for attempt in &told.attempts {
                self.metrics.count_attempt(label, attempt);
            }
        });
    }

    async fn carry_out(
        &self,
        req: &mut Request,
        head: Head,
        span: &Span,
        story: RequestLog,
    ) -> Result<TargetResponse, Refusal> {
        let body = req.take_body();
        let has_body = !matches!(body, ReqBody::None) && !body.is_end_stream();
        let is_claimed = head.kind == WorkKind::Once && head.action.is_some();
        let mut template = self.template(req, &head);
        let admission = span.child("admission");
        let mut caller = self.arrive(&head, &template, has_body || is_claimed, story);
        if !(has_body || is_claimed) {
            drop(admission);
            return drive(self, caller, template, span).await;
        }
        let admitted = caller.admission().await?;
        drop(admission);
        if has_body {
            template.body = self.read_body(body, admitted.deadline).await?;
        }
        let fingerprint = fingerprint(&template, head.action.as_deref(), head.key.as_deref());
        let Some(key) = head.action.filter(|_| is_claimed) else {
            caller.dispatch(fingerprint);
            return drive(self, caller, template, span).await;
        };
        let key = ActionKey {
            workspace: admitted.workspace,
            key,
        };
        self.run_once(caller, key, fingerprint, template, span.child("action"))
            .await
    }

    fn arrive(
        &self,
        head: &Head,
        template: &RequestTemplate,
        is_held: bool,
        story: RequestLog,
    ) -> Caller {
        let id = RequestId(self.ids.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        let arrival = Arrival {
            id,
            key: head.key.clone(),
            service: head.service.clone(),
            path: head.path.clone(),
            host: head.host.clone(),
            whole_path: head.whole_path.clone(),
            affinity: head.affinity,
            kind: head.kind,
            fingerprint: fingerprint(template, head.action.as_deref(), head.key.as_deref()),
            timeout: head.timeout_ms.map(Duration::from_millis),
            is_held,
            tx,
        };
        let _ = self.events.send(Event::Arrive(arrival));
        Caller::new(id, rx, self.events.clone(), story)
    }

    fn template(&self, req: &Request, head: &Head) -> RequestTemplate {
        let key = head.key.as_deref();
        RequestTemplate {
            method: req.method().clone(),
            path: head::forwarded_path(&self.dialect, req.uri(), key),
            headers: head::forwarded_headers(&self.dialect, req.headers(), key),
            body: Bytes::new(),
            dialect: self.dialect.clone(),
            attempt_id: head.attempt_id.clone(),
        }
    }

    /// Returns the limits of the configuration in force, where it has some.
    fn told_limits(&self) -> Option<base::CallerLimits> {
        let view = self.view.borrow();
        let (_, config) = view.config.as_ref()?;
        config.caller_limits
    }

    /// Checks the size of a request's head.
    fn check_size(&self, req: &Request) -> Result<(), ErrorKind> {
        let most = self.told_limits().map(|limits| limits.head_bytes as usize);
        let headers = req.headers().iter();
        // Each line has a colon, a space and its end beside name and value.
        let lines = headers.map(|(name, value)| name.as_str().len() + value.len() + 4);
        let target = req.uri().path_and_query();
        let first = target.map_or(0, |target| target.as_str().len());
        if first + lines.sum::<usize>() > most.unwrap_or(HEAD_LIMIT_BYTES) {
            return Err(ErrorKind::HeadTooLarge);
        }
        Ok(())
    }

    async fn read_body(&self, body: ReqBody, deadline: Time) -> Result<Bytes, Refusal> {
        let left = deadline - self.clock.now();
        let longest = self.options.body_timeout.min(left);
        let told = self.told_limits().map(|limits| limits.body_bytes as usize);
        let most = told.unwrap_or(self.options.max_body_bytes);
        let read = Limited::new(body, most).collect();
        match timeout(longest, read).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => {
                Err(Refusal::new(ErrorKind::BodyTooLarge))
            }
            Ok(Err(_)) => Err(Refusal::new(ErrorKind::BadRequest)),
            Err(_) => Err(Refusal::new(ErrorKind::SlowSender)),
        }
    }

    /// Claims an action, runs it, and records its outcome even where the caller has left.
    async fn run_once(
        &self,
        caller: Caller,
        key: ActionKey,
        fingerprint: u64,
        template: RequestTemplate,
        span: Span,
    ) -> Result<TargetResponse, Refusal> {
        match self.claim(&key, caller.id, fingerprint).await? {
            Claim::Granted => {}
            Claim::Done(answer) => return replay(answer),
            other => return Err(Refusal::new(claim_kind(&other))),
        }
        caller.dispatch(fingerprint);
        let shared = self.clone();
        let run = async move {
            let request = caller.id;
            let result = drive(&shared, caller, template, &span).await;
            let (event, answer) = settlement(&result);
            let call = LedgerCall::Settle {
                key,
                request,
                event,
                answer,
            };
            let _ = shared.ledger.send(call).await;
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
    ) -> Result<Claim, Refusal> {
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

fn claim_kind(claim: &Claim) -> ErrorKind {
    match claim {
        Claim::InProgress => ErrorKind::InProgress,
        Claim::Reused => ErrorKind::KeyReused,
        Claim::Stale => ErrorKind::ClaimUnavailable,
        Claim::Unknown | Claim::Done(_) | Claim::Granted => ErrorKind::OutcomeUnknown,
    }
}

fn settlement(result: &Result<TargetResponse, Refusal>) -> (ActionEvent, Option<SavedAnswer>) {
    match result {
        Ok(whole) => {
            let headers = whole
                .headers
                .iter()
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect();
            let answer = SavedAnswer {
                status: whole.status.as_u16(),
                headers,
                body: whole.body.to_vec(),
            };
            (ActionEvent::Answered, Some(answer))
        }
        Err(refusal) if refusal.kind.answer().ran == Ran::No => (ActionEvent::NotRun, None),
        Err(_) => (ActionEvent::Lost, None),
    }
}

fn replay(answer: SavedAnswer) -> Result<TargetResponse, Refusal> {
    let status =
        StatusCode::from_u16(answer.status).map_err(|_| Refusal::new(ErrorKind::OutcomeUnknown))?;
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

fn write(res: &mut Response, whole: TargetResponse) {
    res.status_code(whole.status);
    res.headers_mut().extend(whole.headers);
    res.replace_body(ResBody::Once(whole.body));
}
