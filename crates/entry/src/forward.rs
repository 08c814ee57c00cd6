//! Attempts: one request sent to one target over one connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::Time;
use bytes::Bytes;
use dispatch::Outcome;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{timeout, timeout_at},
};

use crate::{dialect::Dialect, head, message::TargetFeedback, view::Clock};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept where the target does not say how long it keeps it.
const IDLE_LIFE: Duration = Duration::from_secs(5);
/// Time after an answer for which a connection counts as proven where the target does not say how
/// long it keeps it.
const PROVEN_LIFE: Duration = Duration::from_secs(1);
/// Part of the time for which a target keeps an idle connection after which it is not used again.
const IDLE_PART: f64 = 0.7;
/// The same for requests that must not be sent twice.
const PROVEN_PART: f64 = 0.4;
/// Longest answer that is held whole before it goes to the caller.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Holds a connection to a target.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Address of the target.
    pub addr: SocketAddr,
    /// Time at which the last answer came over it.
    pub proven_at: Time,
    /// How long it may be used after the last answer.
    pub idle_life: Duration,
    /// How long it may be used for what must not be sent twice.
    pub proven_life: Duration,
}

/// Holds a request that can be sent several times.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    /// Method.
    pub method: Method,
    /// Path and query, without the key.
    pub path: String,
    /// Headers, without the key.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// Names that heads carry.
    pub dialect: Arc<Dialect>,
    /// Name of the caller's attempt, which an answer must repeat.
    pub attempt_id: Option<HeaderValue>,
}

/// Holds a target's whole answer.
#[derive(Debug, Clone)]
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Holds the end of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The answer, where one came whole.
    pub answer: Option<TargetResponse>,
    /// The connection, where it can be used again.
    pub connection: Option<Connection>,
    /// What the answer told of the target.
    pub feedback: TargetFeedback,
    /// Whether a new connection was opened.
    pub is_new: bool,
}

impl AttemptResult {
    fn failed(outcome: Outcome) -> Self {
        Self {
            outcome,
            answer: None,
            connection: None,
            feedback: TargetFeedback::default(),
            is_new: false,
        }
    }

    fn on_new(mut self, is_new: bool) -> Self {
        self.is_new = is_new;
        self
    }
}

impl Connection {
    /// Returns whether a request can be sent over it now.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Sends a request to the target at `addr` and awaits its whole answer.
pub async fn send_attempt(
    clock: Clock,
    addr: SocketAddr,
    connection: Option<Connection>,
    template: &RequestTemplate,
    deadline: Time,
) -> AttemptResult {
    let exchange = exchange(clock, addr, connection, template, deadline);
    match timeout_at(clock.instant(deadline), exchange).await {
        Ok(end) => end,
        Err(_) => AttemptResult::failed(Outcome::TimedOut),
    }
}

async fn exchange(
    clock: Clock,
    addr: SocketAddr,
    connection: Option<Connection>,
    template: &RequestTemplate,
    deadline: Time,
) -> AttemptResult {
    let started = clock.now();
    let kept = connection.filter(Connection::is_open);
    let is_new = kept.is_none();
    let sender = match kept {
        Some(connection) => Some(connection.sender),
        None => connect(addr).await,
    };
    let Some(sender) = sender else {
        return AttemptResult::failed(Outcome::Unreachable).on_new(true);
    };
    let Some(req) = build(template, addr, deadline - clock.now()) else {
        return AttemptResult::failed(Outcome::Unreachable);
    };
    let connection = Connection {
        sender,
        addr,
        proven_at: started,
        idle_life: IDLE_LIFE,
        proven_life: PROVEN_LIFE,
    };
    let connected = is_new.then(|| clock.now() - started);
    let mut end = send_request(clock, started, connection, template, req)
        .await
        .on_new(is_new);
    end.feedback.connect_time = connected;
    end
}

async fn send_request(
    clock: Clock,
    started: Time,
    mut connection: Connection,
    template: &RequestTemplate,
    req: Request<Full<Bytes>>,
) -> AttemptResult {
    let res = match connection.sender.try_send_request(req).await {
        Ok(res) => res,
        Err(mut err) => {
            // The request comes back only where nothing of it was sent.
            let is_unsent = err.take_message().is_some();
            let outcome = if is_unsent {
                Outcome::Unreachable
            } else {
                Outcome::Lost
            };
            return AttemptResult::failed(outcome);
        }
    };
    if !is_for(template, &res) {
        return AttemptResult::failed(Outcome::Lost);
    }
    let is_refused = is_not_run(&template.dialect, &res);
    let feedback = feedback(&template.dialect, &res);
    set_lives(&mut connection, res.headers());
    let Some(answer) = collect(res).await else {
        return AttemptResult::failed(Outcome::Lost);
    };
    let now = clock.now();
    connection.proven_at = now;
    let (outcome, answer) = if is_refused {
        (Outcome::Refused, None)
    } else {
        (Outcome::Answered(now - started), Some(answer))
    };
    AttemptResult {
        outcome,
        answer,
        connection: Some(connection),
        feedback,
        is_new: false,
    }
}

/// Returns whether an answer belongs to the request: it repeats its name, and a success is proved.
fn is_for(template: &RequestTemplate, res: &Response<Incoming>) -> bool {
    let dialect = &template.dialect;
    let is_named = match (&dialect.attempt_id, &template.attempt_id) {
        (Some(name), Some(attempt_id)) => res.headers().get(name) == Some(attempt_id),
        _ => true,
    };
    let proof = dialect.required_on_success.as_ref();
    let is_proved = proof.is_none_or(|name| res.headers().contains_key(name));
    is_named && (is_proved || !res.status().is_success())
}

fn feedback(dialect: &Dialect, res: &Response<Incoming>) -> TargetFeedback {
    let load = dialect.load.as_ref().and_then(|name| {
        let text = res.headers().get(name)?.to_str().ok()?;
        let mut parts = text.split(',').map(|part| part.trim().parse::<u32>());
        let running = parts.next()?.ok()?;
        Some(running.saturating_add(parts.next()?.ok()?))
    });
    TargetFeedback {
        load,
        connect_time: None,
    }
}

/// Takes over how long the target keeps an idle connection.
fn set_lives(connection: &mut Connection, headers: &HeaderMap) {
    let kept = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        text.split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?
            .parse::<u64>()
            .ok()
    });
    if let Some(kept) = kept.map(Duration::from_secs) {
        connection.idle_life = kept.mul_f64(IDLE_PART);
        connection.proven_life = kept.mul_f64(PROVEN_PART);
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

fn build(
    template: &RequestTemplate,
    addr: SocketAddr,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut req = Request::builder()
        .method(template.method.clone())
        .uri(template.path.as_str())
        .body(Full::new(template.body.clone()))
        .ok()?;
    *req.headers_mut() = template.headers.clone();
    if !req.headers().contains_key(header::HOST) {
        let host = addr.to_string().parse().ok()?;
        req.headers_mut().insert(header::HOST, host);
    }
    let remaining_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    let name = template.dialect.remaining_ms.clone();
    req.headers_mut().insert(name, remaining_ms.into());
    Some(req)
}

fn is_not_run(dialect: &Dialect, res: &Response<Incoming>) -> bool {
    let (name, value) = &dialect.not_run;
    let is_told = res
        .headers()
        .get(name)
        .is_some_and(|found| value.as_ref().is_none_or(|value| found == value));
    let is_refusal = value.is_none()
        || matches!(
            res.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
    (is_told && is_refusal) || dialect.not_run_statuses.contains(&res.status().as_u16())
}

async fn collect(res: Response<Incoming>) -> Option<TargetResponse> {
    let (parts, body) = res.into_parts();
    let body = Limited::new(body, ANSWER_LIMIT_BYTES)
        .collect()
        .await
        .ok()?;
    Some(TargetResponse {
        status: parts.status,
        headers: head::response_headers(&parts.headers),
        body: body.to_bytes(),
    })
}
