//! A stand-in for a target: slots, health, drain, refusals, cold start and a request that ends it.

use std::{collections::BTreeMap, time::Duration};

use http::{HeaderValue, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, writing::Json};
use serde::Serialize;
use serde_json::{Map, Value};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, sleep},
};

/// Holds a target's settings.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Name that it echoes.
    pub name: String,
    /// Requests that it runs at the same time; more are refused without being run.
    pub slots: u32,
    /// Time that a request takes where it does not say so itself.
    pub work: Duration,
    /// Time from the start during which requests take longer.
    pub cold_for: Duration,
    /// What a request takes more while the target is cold.
    pub cold_extra: Duration,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            name: "target".to_owned(),
            slots: 8,
            work: Duration::ZERO,
            cold_for: Duration::ZERO,
            cold_extra: Duration::ZERO,
        }
    }
}

/// Shows a target's load, as its health endpoint answers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Health {
    /// Requests that run now.
    pub in_flight: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// Holds what a target has run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Runs {
    /// All requests run.
    pub total: u64,
    /// Requests run by idempotency key.
    pub by_key: BTreeMap<String, u64>,
}

#[derive(Debug)]
enum Message {
    Begin(oneshot::Sender<Option<Duration>>),
    Ran(Option<String>),
    End,
    Leave(bool),
    Health(oneshot::Sender<Health>),
    Runs(oneshot::Sender<Runs>),
}

/// Handles a target's requests; one task owns its state.
#[derive(Debug, Clone)]
pub struct TargetServer {
    name: String,
    tx: mpsc::UnboundedSender<Message>,
}

impl TargetServer {
    /// Starts the task that owns the target's state.
    pub fn spawn(options: TargetOptions) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let name = options.name.clone();
        tokio::spawn(own(options, rx));
        Self { name, tx }
    }

    /// Makes the target say that it is leaving, or that it no longer is.
    pub fn set_leaving(&self, is_leaving: bool) {
        let _ = self.tx.send(Message::Leave(is_leaving));
    }

    /// Returns what the target has run.
    pub async fn runs(&self) -> Runs {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Runs(reply));
        answer.await.unwrap_or_default()
    }

    /// Returns the router: `/health`, `/admin/leave`, `/admin/runs`, and an echo for all else.
    pub fn to_router(&self) -> Router {
        let page = |page| PageHandler(page, self.clone());
        Router::new()
            .push(Router::with_path("health").get(page(Page::Health)))
            .push(Router::with_path("admin/leave").post(page(Page::Leave)))
            .push(Router::with_path("admin/runs").get(page(Page::Runs)))
            .push(Router::with_path("{**path}").goal(page(Page::Echo)))
    }
}

async fn own(options: TargetOptions, mut rx: mpsc::UnboundedReceiver<Message>) {
    let started = Instant::now();
    let mut in_flight = 0;
    let mut is_leaving = false;
    let mut runs = Runs::default();
    while let Some(message) = rx.recv().await {
        match message {
            Message::Begin(reply) => {
                let is_cold = started.elapsed() < options.cold_for;
                let extra = if is_cold {
                    options.cold_extra
                } else {
                    Duration::ZERO
                };
                let has_room = in_flight < options.slots;
                if reply.send(has_room.then_some(options.work + extra)).is_ok() && has_room {
                    in_flight += 1;
                }
            }
            Message::Ran(key) => {
                runs.total += 1;
                if let Some(key) = key {
                    *runs.by_key.entry(key).or_default() += 1;
                }
            }
            Message::End => in_flight -= 1,
            Message::Leave(leaves) => is_leaving = leaves,
            Message::Health(reply) => {
                let _ = reply.send(Health {
                    in_flight,
                    slots: options.slots,
                    is_leaving,
                });
            }
            Message::Runs(reply) => {
                let _ = reply.send(runs.clone());
            }
        }
    }
}

/// Frees a slot when dropped, also where the caller has left.
struct Slot(mpsc::UnboundedSender<Message>);

impl Drop for Slot {
    fn drop(&mut self) {
        let _ = self.0.send(Message::End);
    }
}

/// Header that sets how long a request takes, in milliseconds.
const WORK_MS: &str = "work-ms";
/// Header that makes the target end its process without an answer.
const CRASH: &str = "crash";

/// Lists the pages of a target.
#[derive(Debug, Clone, Copy)]
enum Page {
    Health,
    Leave,
    Runs,
    Echo,
}

/// Answers one page.
struct PageHandler(Page, TargetServer);

#[salvo::async_trait]
impl Handler for PageHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Self(page, server) = self;
        match page {
            Page::Health => {
                if let Some(health) = server.health().await {
                    res.render(Json(health));
                }
            }
            Page::Leave => {
                server.set_leaving(true);
                res.status_code(StatusCode::NO_CONTENT);
            }
            Page::Runs => res.render(Json(server.runs().await)),
            Page::Echo => server.serve(req, res).await,
        }
    }
}

impl TargetServer {
    async fn health(&self) -> Option<Health> {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Health(reply));
        answer.await.ok()
    }

    async fn serve(&self, req: &mut Request, res: &mut Response) {
        if req.headers().contains_key(CRASH) {
            std::process::abort();
        }
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Begin(reply));
        let Ok(Some(work)) = answer.await else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            let ran = HeaderValue::from_static("no");
            res.headers_mut().insert("request-ran", ran);
            return;
        };
        let _slot = Slot(self.tx.clone());
        let _ = self.tx.send(Message::Ran(text(req, "idempotency-key")));
        let work = text(req, WORK_MS)
            .and_then(|text| text.parse().ok())
            .map_or(work, Duration::from_millis);
        if !work.is_zero() {
            sleep(work).await;
        }
        let body = req.payload().await.map_or(0, bytes::Bytes::len);
        res.render(Json(echo(&self.name, req, body)));
    }
}

fn echo(name: &str, req: &Request, body_bytes: usize) -> Value {
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

fn text(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    Some(value.to_str().ok()?.to_owned())
}
