//! Attempts: one request sent to one target over one connection.

use std::{net::SocketAddr, time::Duration};

use base::Time;
use bytes::Bytes;
use dispatch::Outcome;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{timeout, timeout_at},
};

use crate::{head, view::Clock};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest answer that is held whole before it goes to the caller.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Holds a connection to a target.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Time at which the last answer came over it.
    pub proven_at: Time,
}

/// Holds a request that can be sent several times.
#[derive(Debug, Clone)]
pub struct Template {
    /// Method.
    pub method: Method,
    /// Path and query, without the key.
    pub path: String,
    /// Headers, without the key.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Holds a target's whole answer.
#[derive(Debug, Clone)]
pub struct Whole {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Holds the end of an attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: Outcome,
    /// The answer, where one came whole.
    pub answer: Option<Whole>,
    /// The connection, where it can be used again.
    pub connection: Option<Connection>,
}

impl AttemptEnd {
    fn failed(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
            connection: None,
        }
    }
}

impl Connection {
    /// Returns whether a request can be sent over it now.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Sends a request to the target at `addr` and awaits its whole answer.
pub async fn attempt(
    clock: Clock,
    addr: SocketAddr,
    connection: Option<Connection>,
    template: &Template,
    deadline: Time,
) -> AttemptEnd {
    let exchange = exchange(clock, addr, connection, template, deadline);
    match timeout_at(clock.instant(deadline), exchange).await {
        Ok(end) => end,
        Err(_) => AttemptEnd::failed(Outcome::TimedOut),
    }
}

async fn exchange(
    clock: Clock,
    addr: SocketAddr,
    connection: Option<Connection>,
    template: &Template,
    deadline: Time,
) -> AttemptEnd {
    let started = clock.now();
    let sender = match connection {
        Some(connection) if connection.is_open() => Some(connection.sender),
        _ => connect(addr).await,
    };
    let Some(mut sender) = sender else {
        return AttemptEnd::failed(Outcome::Unreachable);
    };
    let Some(req) = build(template, addr, deadline - clock.now()) else {
        return AttemptEnd::failed(Outcome::Unreachable);
    };
    let res = match sender.try_send_request(req).await {
        Ok(res) => res,
        Err(mut err) => {
            // The request comes back only where nothing of it was sent.
            let is_unsent = err.take_message().is_some();
            let outcome = if is_unsent {
                Outcome::Unreachable
            } else {
                Outcome::Lost
            };
            return AttemptEnd::failed(outcome);
        }
    };
    let is_refused = is_not_run(&res);
    let Some(answer) = collect(res).await else {
        return AttemptEnd::failed(Outcome::Lost);
    };
    let now = clock.now();
    let connection = Some(Connection {
        sender,
        proven_at: now,
    });
    if is_refused {
        return AttemptEnd {
            outcome: Outcome::Refused,
            answer: None,
            connection,
        };
    }
    AttemptEnd {
        outcome: Outcome::Answered(now - started),
        answer: Some(answer),
        connection,
    }
}

/// Opens a connection to a target; its task ends with the connection.
async fn connect(addr: SocketAddr) -> Option<http1::SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

fn build(template: &Template, addr: SocketAddr, left: Duration) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(template.method.clone())
        .uri(template.path.as_str())
        .body(Full::new(template.body.clone()))
        .ok()?;
    *req.headers_mut() = template.headers.clone();
    let host = addr.to_string().parse().ok()?;
    req.headers_mut().insert(header::HOST, host);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    req.headers_mut().insert(head::DEADLINE_MS, left_ms.into());
    Some(req)
}

fn is_not_run(res: &Response<Incoming>) -> bool {
    let is_refusal = matches!(
        res.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    is_refusal && res.headers().get(head::RAN).is_some_and(|ran| ran == "no")
}

async fn collect(res: Response<Incoming>) -> Option<Whole> {
    let (parts, body) = res.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT_BYTES)
        .collect()
        .await
        .ok()?;
    Some(Whole {
        status: parts.status,
        headers: head::answered(&parts.headers),
        body: body.to_bytes(),
    })
}
