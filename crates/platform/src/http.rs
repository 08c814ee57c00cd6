//! HTTP client: each call is one `POST /v1/call` with a JSON request and response.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request as HttpRequest, header};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{Call, Platform, PlatformError, Progress, Reply, receive_body};

const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Starts a task that sends calls to the platform at `addr`, and returns a handle to it.
pub fn connect(addr: SocketAddr) -> Platform {
    Platform::spawn(move || {
        let client = Client::builder(TokioExecutor::new()).build_http();
        move |call, progress| exchange(client.clone(), addr, call, progress)
    })
}

async fn exchange(
    client: HttpClient,
    addr: SocketAddr,
    call: Call,
    progress: Progress,
) -> Result<Reply, PlatformError> {
    let body = serde_json::to_vec(&call).map_err(|_| PlatformError::Unavailable)?;
    let req = HttpRequest::post(format!("http://{addr}/v1/call"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|_| PlatformError::Unavailable)?;
    let res = client
        .request(req)
        .await
        .map_err(|_| PlatformError::Unavailable)?;
    let is_success = res.status().is_success();
    let body = receive_body(res.into_body(), MAX_REPLY_BYTES, &progress).await?;
    if !is_success {
        return Err(PlatformError::Unavailable);
    }
    serde_json::from_slice(&body).map_err(|_| PlatformError::Unavailable)?
}
