//! A stand-in for the platform's HTTP service, with fault injection.

use std::time::Duration;

use http::StatusCode;
use platform::{Call, PlatformError, Reply, Store};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, writing::Json};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

/// Selects the faults to inject; the default injects none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers every call with status 503.
    pub is_down: bool,
    /// Applies writes but withholds the responses, so that callers don't learn the outcome.
    pub loses_answers: bool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Keeps answering [`Call::List`] with the list as of when this fault was switched on.
    pub is_list_frozen: bool,
}

/// A message to the task that owns the store.
#[derive(Debug)]
enum Message {
    /// Apply a call; the reply is `None` while the platform is down.
    Call(Call, oneshot::Sender<Option<Result<Reply, PlatformError>>>),
    Faults(Faults),
}

/// Handle to the task that owns the store and applies the platform's calls to it.
#[derive(Debug, Clone)]
pub struct PlatformServer {
    tx: mpsc::Sender<Message>,
}

impl PlatformServer {
    /// Spawns the task that owns `store`, with no fault switched on.
    pub fn spawn(store: Store) -> Self {
        let (tx, rx) = mpsc::channel(1024);
        tokio::spawn(run_store(store, rx));
        Self { tx }
    }

    /// Replaces the set of injected faults.
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

async fn run_store(mut store: Store, mut rx: mpsc::Receiver<Message>) {
    let mut faults = Faults::default();
    let mut frozen_list = Vec::new();
    while let Some(message) = rx.recv().await {
        match message {
            Message::Faults(new) => {
                if new.is_list_frozen && !faults.is_list_frozen {
                    frozen_list = read_list(&mut store);
                }
                faults = new;
            }
            Message::Call(_, reply) if faults.is_down => {
                let _ = reply.send(None);
            }
            Message::Call(call, reply) => {
                let is_write = matches!(call, Call::Write { .. } | Call::PutObject { .. });
                let result = match call {
                    Call::List if faults.is_list_frozen => Ok(Reply::List(frozen_list.clone())),
                    call => store.apply(call),
                };
                let is_response_lost = is_write && faults.loses_answers;
                send_response(reply, result, faults.delay_ms, is_response_lost);
            }
        }
    }
}

fn read_list(store: &mut Store) -> Vec<platform::ListedMachine> {
    match store.apply(Call::List) {
        Ok(Reply::List(list)) => list,
        _ => Vec::new(),
    }
}

/// Sends the response after the injected delay; a lost one long after the caller's timeout.
fn send_response(
    reply: oneshot::Sender<Option<Result<Reply, PlatformError>>>,
    result: Result<Reply, PlatformError>,
    delay_ms: u64,
    is_response_lost: bool,
) {
    if delay_ms == 0 && !is_response_lost {
        let _ = reply.send(Some(result));
        return;
    }
    tokio::spawn(async move {
        if is_response_lost {
            // Outlasts the caller's timeout.
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
        let (reply, response) = oneshot::channel();
        let _ = self.0.tx.send(Message::Call(call, reply)).await;
        match response.await {
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
