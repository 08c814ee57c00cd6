//! A caller with one connection that stays open.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Holds an open connection to an instance.
#[derive(Debug)]
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

/// Holds a whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status; zero where the connection failed.
    pub status: u16,
    /// Value of `Retry-After`.
    pub retry_after: Option<String>,
    /// Body as JSON, or as text where it is none.
    pub body: Value,
}

/// Describes a request.
#[derive(Debug, Clone)]
pub struct Ask {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
}

impl Ask {
    /// Returns a request by this method for this path.
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Returns a `GET` of this path.
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Returns a `POST` to this path.
    pub fn post(path: &str) -> Self {
        Self::new(Method::POST, path)
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Shows a key.
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
    /// Panics where the instance can't be reached.
    pub async fn connect(addr: SocketAddr) -> Self {
        Self::try_connect(addr).await.expect("a connection")
    }

    /// Opens a connection, where the instance can be reached.
    pub async fn try_connect(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(addr).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a request over the open connection and returns the whole answer.
    pub async fn send(&mut self, ask: &Ask) -> Answer {
        match timeout(TIMEOUT, self.exchange(ask)).await {
            Ok(Some(answer)) => answer,
            Ok(None) => failed("connection lost"),
            Err(_) => failed("no answer in time"),
        }
    }

    async fn exchange(&mut self, ask: &Ask) -> Option<Answer> {
        let mut req = Request::builder()
            .method(ask.method.clone())
            .uri(&ask.path)
            .header("host", "godwitgauge");
        for (name, value) in &ask.headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(ask.body.clone())).ok()?;
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
        Some(Answer {
            status,
            retry_after,
            body,
        })
    }
}

impl Answer {
    /// Returns the kind of error, empty where there is none.
    pub fn kind(&self) -> &str {
        self.body["kind"].as_str().unwrap_or_default()
    }
}

fn failed(reason: &str) -> Answer {
    Answer {
        status: 0,
        retry_after: None,
        body: Value::String(reason.to_owned()),
    }
}
