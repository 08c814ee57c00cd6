//! A platform reached over HTTP: each call is one `POST /v1/call` with JSON in and out.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request as HttpRequest, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::sync::mpsc;

use crate::{CALL_QUEUE, Call, Platform, PlatformError, Reply, Request};

const REPLY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Starts a task that sends calls to the platform at `addr` and returns a handle on it.
pub fn connect(addr: SocketAddr) -> Platform {
    let (tx, mut rx) = mpsc::channel::<Request>(CALL_QUEUE);
    tokio::spawn(async move {
        let client = Client::builder(TokioExecutor::new()).build_http();
        while let Some(req) = rx.recv().await {
            tokio::spawn(answer(client.clone(), addr, req));
        }
    });
    Platform::new(tx)
}

/// Answers one request, and drops its connection once the requester has stopped waiting.
async fn answer(client: HttpClient, addr: SocketAddr, req: Request) {
    let Request { call, mut reply } = req;
    let result = tokio::select! {
        result = exchange(&client, addr, &call) => result,
        () = reply.closed() => return,
    };
    let _ = reply.send(result);
}

async fn exchange(
    client: &HttpClient,
    addr: SocketAddr,
    call: &Call,
) -> Result<Reply, PlatformError> {
    let body = serde_json::to_vec(call).map_err(|_| PlatformError::Unavailable)?;
    let req = HttpRequest::post(format!("http://{addr}/v1/call"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| PlatformError::Unavailable)?;
    let res = client
        .request(req)
        .await
        .map_err(|_| PlatformError::Unavailable)?;
    let is_ok = res.status().is_success();
    let body = Limited::new(res.into_body(), REPLY_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|_| PlatformError::Unavailable)?
        .to_bytes();
    if !is_ok {
        return Err(PlatformError::Unavailable);
    }
    serde_json::from_slice(&body).map_err(|_| PlatformError::Unavailable)?
}
