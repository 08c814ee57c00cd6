//! The listener for operators, which serves metrics, status and explanations of routing decisions
//! and accepts the request to leave.

mod explanation;
mod status;

use std::sync::Arc;

use base::InstanceId;
use coord::Freshness;
use dispatch::{PathState, TargetState};
use entry::{
    message::{EngineStatus, Event},
    metrics::Metrics,
    open::OpenConnections,
    response,
    view::{Clock, View},
};
use record::Sink;
use salvo::{
    Depot, FlowCtrl, Handler, Router,
    http::{Request, ResBody, Response},
};
use tokio::sync::{mpsc, oneshot, watch};

use self::status::version_of;
pub use self::status::{InstanceStatus, Status, TargetStatus, WorkspaceStatus};
use crate::fleet::Fleet;

/// Answers operators from the state of all tasks; each handler gets a copy.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// ID of this instance.
    pub own_id: InstanceId,
    /// Metrics of the instance.
    pub metrics: Metrics,
    /// Active configuration and its freshness.
    pub view: watch::Receiver<Arc<View>>,
    /// Last known state of the other instances.
    pub fleet: watch::Receiver<Arc<Fleet>>,
    /// Channel to the engine.
    pub engine: mpsc::UnboundedSender<Event>,
    /// Sink for the log lines about requests, if they are written.
    pub sink: Option<Sink>,
    /// Connections of callers.
    pub connections: OpenConnections,
    /// Channel for operators' requests that the instance leave.
    pub leave: mpsc::Sender<()>,
}

/// Gauges that count targets by state.
const TARGET_GAUGES: [(&str, TargetState); 4] = [
    ("targets_cold", TargetState::Cold),
    ("targets_ready", TargetState::Ready),
    ("targets_leaving", TargetState::Leaving),
    ("targets_down", TargetState::Down),
];

impl Operator {
    /// Returns the router of the operators' listener.
    pub fn to_router(&self) -> Router {
        let page = |page| PageHandler(page, self.clone());
        Router::new()
            .push(Router::with_path("metrics").get(page(Page::Metrics)))
            .push(Router::with_path("v1/status").get(page(Page::Status)))
            .push(Router::with_path("v1/explain").get(page(Page::Explain)))
            .push(Router::with_path("v1/leave").post(page(Page::Leave)))
    }

    /// Sets the gauges that are computed only when the metrics are read.
    async fn update_gauges(&self) {
        let gauges = &self.metrics.gauges;
        let set = |name: &str, value: usize| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauges.with_label_values(&[name]).set(value);
        };
        let view = self.view.borrow().clone();
        let now = self.clock.now();
        set("config_version", version_of(&view) as usize);
        set("is_fresh", usize::from(view.freshness == Freshness::Fresh));
        let fleet = self.fleet.borrow().clone();
        let alive = fleet.members.values().filter(|member| member.is_alive(now));
        set("instances_heard", alive.count());
        set("messages_unread", fleet.unread_messages as usize);
        if let Some(sink) = &self.sink {
            let counts = sink.counts();
            set("lines_taken", counts.received() as usize);
            set("lines_dropped", counts.dropped() as usize);
            set("lines_left_out", counts.suppressed() as usize);
        }
        let connections = self.connections.counts();
        set("callers_open", connections.served);
        set("callers_idle", connections.idle);
        set("callers_surplus", connections.surplus);
        set("callers_evicted", connections.evicted as usize);
        set("callers_refused", connections.refused as usize);
        let Some(engine) = self.engine_status().await else {
            return;
        };
        set("requests_under_way", engine.requests);
        set("requests_queued", engine.queued);
        set("retries_left", engine.retries_left as usize);
        set(
            "target_path_lost",
            usize::from(engine.path == PathState::Relayed),
        );
        set("targets_with_rate", engine.named_rates.len());
        set("barred", engine.quarantined.len());
        let owned = engine
            .owners
            .values()
            .filter(|owner| **owner == self.own_id);
        set("workspaces_owned", owned.count());
        for (name, state) in TARGET_GAUGES {
            let matching = engine
                .targets
                .iter()
                .filter(|(_, current, ..)| *current == state);
            set(name, matching.count());
        }
    }

    async fn respond_with_metrics(&self, res: &mut Response) {
        self.update_gauges().await;
        let kind = http::HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        res.replace_body(ResBody::Once(self.metrics.text().into()));
    }

    async fn engine_status(&self) -> Option<EngineStatus> {
        let (reply, answer) = oneshot::channel();
        self.engine.send(Event::Status(reply)).ok()?;
        answer.await.ok()
    }
}

/// Identifies a page of the operators' listener.
#[derive(Debug, Clone, Copy)]
enum Page {
    Metrics,
    Status,
    Explain,
    Leave,
}

/// Serves one page.
struct PageHandler(Page, Operator);

#[salvo::async_trait]
impl Handler for PageHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Self(page, operator) = self;
        match page {
            Page::Metrics => operator.respond_with_metrics(res).await,
            Page::Status => match operator.status().await {
                Some(status) => response::write_json(res, 200, &status),
                None => response::write_json(res, 503, &"the instance is ending"),
            },
            Page::Explain => match operator.explain(req).await {
                Some(explanation) => response::write_json(res, 200, &explanation),
                None => response::write_json(res, 400, &EXPLAIN_REQUIREMENTS),
            },
            Page::Leave => {
                let _ = operator.leave.try_send(());
                response::write_json(res, 202, &"leaving");
            }
        }
    }
}

const EXPLAIN_REQUIREMENTS: &str = "service and workspace are needed, and a configuration in force";
