//! An HTTP client with one persistent connection.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends requests one after another over one persistent connection to an instance or a target.
#[derive(Debug)]
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

/// Shows a test what a caller got: a complete response, or that there is none.
#[derive(Debug, Clone, PartialEq)]
pub struct Response {
    /// HTTP status; zero if the connection failed or timed out.
    pub status: u16,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// Body parsed as JSON, or as a string if it is not JSON.
    pub body: Value,
}

/// Describes a request: its method, path, headers and body.
#[derive(Debug, Clone)]
pub struct Request {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Request {
    /// Returns a request without headers and body.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Returns a `GET` request for a path.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Returns a `POST` request to a path.
    pub fn post(path: &str) -> Self {
        Self::new(Method::POST, path)
    }

    /// Appends a header; a name that is already present is sent again.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds an API key as bearer token.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets the body.
    pub fn body(mut self, body: &str) -> Self {
        self.body = Bytes::copy_from_slice(body.as_bytes());
        self
    }
}

impl Caller {
    /// Opens a connection.
    ///
    /// # Panics
    ///
    /// Panics if the connection can't be opened.
    pub async fn connect(addr: SocketAddr) -> Self {
        Self::try_connect(addr)
            .await
            .expect("the address should accept connections")
    }

    /// Opens a connection; returns `None` if that fails.
    pub async fn try_connect(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a request over the connection and returns the complete response.
    pub async fn send(&mut self, request: &Request) -> Response {
        match timeout(RESPONSE_TIMEOUT, self.exchange(request)).await {
            Ok(Some(response)) => response,
            Ok(None) => failed_response("connection lost"),
            Err(_) => failed_response("timed out waiting for the response"),
        }
    }

    async fn exchange(&mut self, request: &Request) -> Option<Response> {
        let mut req = http::Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .header("host", "godwitgauge");
        for (name, value) in &request.headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(request.body.clone())).ok()?;
        self.sender.ready().await.ok()?;
        let res = self.sender.send_request(req).await.ok()?;
        let status = res.status().as_u16();
        let retry_after = res
            .headers()
            .get("retry-after")
            .and_then(|value| Some(value.to_str().ok()?.to_owned()));
        let body = res.into_body().collect().await.ok()?.to_bytes();
        let body = serde_json::from_slice(&body)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(&body).into_owned()));
        Some(Response {
            status,
            retry_after,
            body,
        })
    }
}

impl Response {
    /// Returns the kind of an error response; empty for other responses.
    pub fn error_kind(&self) -> &str {
        self.body["kind"].as_str().unwrap_or_default()
    }
}

fn failed_response(reason: &str) -> Response {
    Response {
        status: 0,
        retry_after: None,
        body: Value::String(reason.to_owned()),
    }
}
