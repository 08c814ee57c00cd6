//! A stand-in for a target, with a concurrency limit, a health endpoint, draining, a cold start and
//! a header that crashes the process.

use std::{collections::BTreeMap, time::Duration};

use http::{HeaderValue, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, writing::Json};
use serde::Serialize;
use serde_json::{Map, Value};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

/// Configures a stand-in target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Name that the target returns in each response.
    pub name: String,
    /// Maximum number of concurrent requests; more are refused with status 503 and not executed.
    pub slots: u32,
    /// Processing time of a request without a `work-ms` header.
    pub processing_time: Duration,
    /// Duration of the cold start, counted from the spawn.
    pub cold_duration: Duration,
    /// Time added to the default processing time during the cold start.
    pub cold_extra_time: Duration,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            slots: 8,
            processing_time: Duration::ZERO,
            cold_duration: Duration::ZERO,
            cold_extra_time: Duration::ZERO,
        }
    }
}

/// Reports a target's load; the body of its health endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Requests being processed.
    pub in_flight: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the target is draining and should get no new requests.
    pub is_leaving: bool,
}

/// Counts the requests that a target has executed, refused ones excluded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct RunCounts {
    /// Number of executed requests.
    pub total: u64,
    /// Number of executions of each idempotency key.
    pub by_key: BTreeMap<String, u64>,
}

/// A message to the task that owns the target's state.
#[derive(Debug)]
enum Message {
    /// Take a slot; the reply is the default processing time, or `None` if no slot is free.
    AcquireSlot(oneshot::Sender<Option<Duration>>),
    /// Count an execution, with its idempotency key if it has one.
    CountRun(Option<String>),
    ReleaseSlot,
    SetLeaving(bool),
    GetHealth(oneshot::Sender<Health>),
    GetRunCounts(oneshot::Sender<RunCounts>),
}

/// Handle to a stand-in target, whose state is owned by one task.
#[derive(Debug, Clone)]
pub struct TargetServer {
    name: String,
    tx: mpsc::UnboundedSender<Message>,
}

impl TargetServer {
    /// Spawns the task that owns the target's state; the cold start begins now.
    pub fn spawn(options: TargetOptions) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let name = options.name.clone();
        tokio::spawn(run_state(options, rx));
        Self { name, tx }
    }

    /// Sets whether the health endpoint reports that the target is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        let _ = self.tx.send(Message::SetLeaving(is_leaving));
    }

    /// Returns the counts of executed requests.
    pub async fn run_counts(&self) -> RunCounts {
        let (reply, response) = oneshot::channel();
        let _ = self.tx.send(Message::GetRunCounts(reply));
        response.await.unwrap_or_default()
    }

    /// Returns the router: `/health`, `/admin/leave`, `/admin/runs`, and an echo for the rest.
    pub fn to_router(&self) -> Router {
        let handler = |endpoint| EndpointHandler(endpoint, self.clone());
        Router::new()
            .push(Router::with_path("health").get(handler(Endpoint::Health)))
            .push(Router::with_path("admin/leave").post(handler(Endpoint::Leave)))
            .push(Router::with_path("admin/runs").get(handler(Endpoint::Runs)))
            .push(Router::with_path("{**path}").goal(handler(Endpoint::Echo)))
    }
}

async fn run_state(options: TargetOptions, mut rx: mpsc::UnboundedReceiver<Message>) {
    let started = Instant::now();
    let mut in_flight = 0;
    let mut is_leaving = false;
    let mut counts = RunCounts::default();
    while let Some(message) = rx.recv().await {
        match message {
            Message::AcquireSlot(reply) => {
                let is_cold = started.elapsed() < options.cold_duration;
                let extra_time = if is_cold {
                    options.cold_extra_time
                } else {
                    Duration::ZERO
                };
                let has_free_slot = in_flight < options.slots;
                if reply
                    .send(has_free_slot.then_some(options.processing_time + extra_time))
                    .is_ok()
                    && has_free_slot
                {
                    in_flight += 1;
                }
            }
            Message::CountRun(key) => {
                counts.total += 1;
                if let Some(key) = key {
                    *counts.by_key.entry(key).or_default() += 1;
                }
            }
            Message::ReleaseSlot => in_flight -= 1,
            Message::SetLeaving(value) => is_leaving = value,
            Message::GetHealth(reply) => {
                let _ = reply.send(Health {
                    in_flight,
                    slots: options.slots,
                    is_leaving,
                });
            }
            Message::GetRunCounts(reply) => {
                let _ = reply.send(counts.clone());
            }
        }
    }
}

/// Releases its slot when dropped, also when the request is cancelled because the caller has
/// disconnected.
struct SlotGuard(mpsc::UnboundedSender<Message>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let _ = self.0.send(Message::ReleaseSlot);
    }
}

/// Request header that overrides the processing time, in milliseconds.
const PROCESSING_TIME_HEADER: &str = "work-ms";
/// Request header that makes the target abort its process without a response.
const CRASH_HEADER: &str = "crash";

/// The endpoints of a target.
#[derive(Debug, Clone, Copy)]
enum Endpoint {
    Health,
    Leave,
    Runs,
    Echo,
}

/// Handles the requests of one endpoint.
struct EndpointHandler(Endpoint, TargetServer);

#[salvo::async_trait]
impl Handler for EndpointHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Self(endpoint, server) = self;
        match endpoint {
            Endpoint::Health => {
                if let Some(health) = server.health().await {
                    res.render(Json(health));
                }
            }
            Endpoint::Leave => {
                server.set_leaving(true);
                res.status_code(StatusCode::NO_CONTENT);
            }
            Endpoint::Runs => res.render(Json(server.run_counts().await)),
            Endpoint::Echo => server.serve_echo(req, res).await,
        }
    }
}

impl TargetServer {
    async fn health(&self) -> Option<Health> {
        let (reply, response) = oneshot::channel();
        let _ = self.tx.send(Message::GetHealth(reply));
        response.await.ok()
    }

    async fn serve_echo(&self, req: &mut Request, res: &mut Response) {
        if req.headers().contains_key(CRASH_HEADER) {
            std::process::abort();
        }
        let (reply, slot) = oneshot::channel();
        let _ = self.tx.send(Message::AcquireSlot(reply));
        let Ok(Some(processing_time)) = slot.await else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let ran = HeaderValue::from_static("no");
            res.headers_mut().insert("request-ran", ran);
            return;
        };
        let _slot = SlotGuard(self.tx.clone());
        let _ = self
            .tx
            .send(Message::CountRun(header_text(req, "idempotency-key")));
        let processing_time = header_text(req, PROCESSING_TIME_HEADER)
            .and_then(|text| text.parse().ok())
            .map_or(processing_time, Duration::from_millis);
        if !processing_time.is_zero() {
            sleep(processing_time).await;
        }
        let body_bytes = req.payload().await.map_or(0, bytes::Bytes::len);
        res.render(Json(echo_body(&self.name, req, body_bytes)));
    }
}

/// Returns the echo of a request: its method, path, headers and body size.
fn echo_body(name: &str, req: &Request, body_bytes: usize) -> Value {
    let headers: Map<String, Value> = req
        .headers()
        .iter()
        .map(|(name, value)| {
            let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.to_string(), Value::String(text))
        })
        .collect();
    let path = req
        .uri()
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str);
    serde_json::json!({
        "target": name,
        "method": req.method().as_str(),
        "path": path,
        "headers": headers,
        "body_bytes": body_bytes,
    })
}

fn header_text(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    Some(value.to_str().ok()?.to_owned())
}
