//! A stand-in for the platform's service, with faults that tests switch on.

use std::time::Duration;

use http::StatusCode;
use platform::{Call, PlatformError, Reply, Store};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, writing::Json};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

/// Lists the faults that can be switched on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Refuses every call.
    pub is_down: bool,
    /// Carries writes out but never answers them.
    pub loses_answers: bool,
    /// Answers every call this much later, in milliseconds.
    pub delay_ms: u64,
    /// Shows the list as it was when the fault was switched on.
    pub is_list_frozen: bool,
}

#[derive(Debug)]
enum Message {
    Call(Call, oneshot::Sender<Option<Result<Reply, PlatformError>>>),
    Faults(Faults),
}

/// Serves the platform's calls from a store that one task owns.
#[derive(Debug, Clone)]
pub struct PlatformServer {
    tx: mpsc::Sender<Message>,
}

impl PlatformServer {
    /// Starts the task that owns the store.
    pub fn spawn(store: Store) -> Self {
        let (tx, rx) = mpsc::channel(1024);
        tokio::spawn(own(store, rx));
        Self { tx }
    }

    /// Switches faults on and off.
    pub async fn set_faults(&self, faults: Faults) {
        let _ = self.tx.send(Message::Faults(faults)).await;
    }

    /// Returns the router: `POST /v1/call`, and `POST /admin/faults` for tests.
    pub fn into_router(self) -> Router {
        Router::new()
            .push(Router::with_path("v1/call").post(CallHandler(self.clone())))
            .push(Router::with_path("admin/faults").post(FaultsHandler(self)))
    }
}

async fn own(mut store: Store, mut rx: mpsc::Receiver<Message>) {
    let mut faults = Faults::default();
    let mut frozen = Vec::new();
    while let Some(message) = rx.recv().await {
        match message {
            Message::Faults(new) => {
                if new.is_list_frozen && !faults.is_list_frozen {
                    frozen = listed(&mut store);
                }
                faults = new;
            }
            Message::Call(_, reply) if faults.is_down => {
                let _ = reply.send(None);
            }
            Message::Call(call, reply) => {
                let is_write = matches!(call, Call::Write { .. } | Call::PutObject { .. });
                let result = match call {
                    Call::List if faults.is_list_frozen => Ok(Reply::List(frozen.clone())),
                    call => store.apply(call),
                };
                let is_lost = is_write && faults.loses_answers;
                answer_later(reply, result, faults.delay_ms, is_lost);
            }
        }
    }
}

fn listed(store: &mut Store) -> Vec<platform::ListedMachine> {
    match store.apply(Call::List) {
        Ok(Reply::List(list)) => list,
        _ => Vec::new(),
    }
}

fn answer_later(
    reply: oneshot::Sender<Option<Result<Reply, PlatformError>>>,
    result: Result<Reply, PlatformError>,
    delay_ms: u64,
    is_lost: bool,
) {
    if delay_ms == 0 && !is_lost {
        let _ = reply.send(Some(result));
        return;
    }
    tokio::spawn(async move {
        if is_lost {
            // The caller gives up on its own.
            sleep(Duration::from_secs(60)).await;
        }
        sleep(Duration::from_millis(delay_ms)).await;
        let _ = reply.send(Some(result));
    });
}

struct CallHandler(PlatformServer);

#[salvo::async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        req.set_secure_max_size(64 * 1024 * 1024);
        let Ok(call) = req.parse_json::<Call>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let (reply, answer) = oneshot::channel();
        let _ = self.0.tx.send(Message::Call(call, reply)).await;
        match answer.await {
            Ok(Some(result)) => res.render(Json(result)),
            Ok(None) | Err(_) => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}

struct FaultsHandler(PlatformServer);

#[salvo::async_trait]
impl Handler for FaultsHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match req.parse_json::<Faults>().await {
            Ok(faults) => self.0.set_faults(faults).await,
            Err(_) => {
                res.status_code(StatusCode::BAD_REQUEST);
            }
        }
    }
}
