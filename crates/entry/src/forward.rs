//! Attempts: a request sent to one target over one HTTP/1.1 connection.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{InstanceId, Time};
use bytes::Bytes;
use dispatch::{Dial, Outcome};
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, response::Parts,
};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    connection::Connection,
    dial::{ConnectError, DialPlan, Dialed, Dialer, MAX_READ_BYTES},
    dialect::Dialect,
    head,
    held::HeldBytes,
    permit::SendPermit,
    view::Clock,
    write_latch::WriteTerms,
};

/// Fraction of a target's `Keep-Alive` timeout after which an idle connection is closed, so that
/// no request is sent on a connection that the target is closing.
const IDLE_TIMEOUT_FRACTION: f64 = 0.7;
/// Fraction of a target's `Keep-Alive` timeout during which a connection counts as fresh. Lower
/// than [`IDLE_TIMEOUT_FRACTION`], since a request that must not be sent twice can't be retried if
/// the target closes the connection.
const FRESH_TIMEOUT_FRACTION: f64 = 0.4;
/// Time until the next attempt of a request for which no descriptor was left.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of response bodies that are held at the same time, since each is received whole before it
/// is sent to the caller.
const MAX_HELD_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that are read until the head of a response is complete; interim responses come before it.
const MAX_HEAD_BYTES: usize = 2 * MAX_READ_BYTES;

/// Describes a request as forwarded to targets; it can be sent several times.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    /// HTTP method.
    pub method: Method,
    /// Path and query, without the API key.
    pub path: String,
    /// Headers to forward, without the API key.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Header names in use.
    pub dialect: Arc<Dialect>,
    /// ID of the caller's attempt, which the response must repeat.
    pub attempt_id: Option<HeaderValue>,
}

/// Passes the complete response of a target on to the caller.
#[derive(Debug, Clone)]
pub struct TargetResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to return to the caller.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Describes how an attempt ended and what it returned.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Response for the caller; `None` if the target refused the request or the attempt failed.
    pub response: Option<TargetResponse>,
    /// Connection that can be reused.
    pub connection: Option<Connection>,
    /// What the attempt revealed about the target.
    pub feedback: TargetFeedback,
    /// Whether the attempt opened a new connection.
    pub is_new_connection: bool,
    /// Why no connection could be opened, if that is how the attempt ended.
    pub connect_error: Option<ConnectError>,
    /// Instance that carried the connection, if any.
    pub relay: Option<InstanceId>,
}

/// Reports what an attempt revealed about its target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetFeedback {
    /// Running plus queued requests, as reported by the target.
    pub load: Option<u32>,
    /// Requests per second that the target takes from all instances together, as it reports itself.
    pub rate_limit: Option<f64>,
    /// Whether the target reports that it is leaving.
    pub is_leaving: bool,
    /// Time for which the target wants nothing more from this instance, as it says itself when it
    /// refuses a request.
    pub rest: Option<Duration>,
    /// Time to open a direct connection; `None` where an idle or a relayed one was used.
    pub connect_time: Option<Duration>,
    /// How a new connection was opened.
    pub dial: Dial,
}

impl AttemptResult {
    fn failed(outcome: Outcome) -> Self {
        Self {
            outcome,
            response: None,
            connection: None,
            feedback: TargetFeedback::default(),
            is_new_connection: false,
            connect_error: None,
            relay: None,
        }
    }

    fn with_new_connection(mut self, is_new_connection: bool) -> Self {
        self.is_new_connection = is_new_connection;
        self
    }
}

/// Sends requests to targets and receives their responses.
#[derive(Debug, Clone)]
pub struct Forwarder {
    dialer: Dialer,
    held: HeldBytes,
}

impl Forwarder {
    /// Returns a forwarder that opens connections by `dialer`.
    pub fn new(dialer: Dialer) -> Self {
        Self {
            dialer,
            held: HeldBytes::new(MAX_HELD_BYTES),
        }
    }

    /// Sets the bound on the bytes of answers.
    pub fn held(mut self, held: HeldBytes) -> Self {
        self.held = held;
        self
    }

    /// Returns the clock of the process.
    pub(crate) fn clock(&self) -> Clock {
        self.dialer.clock()
    }

    /// Sends a request to a target and awaits its complete response until `deadline`.
    ///
    /// The request goes over `connection` if it is still open, and else over a new one. It isn't sent if
    /// `permit` has ended by the time of its first byte, or its caller has left or the deadline has passed by the time the
    /// connection is there.
    pub async fn send_attempt(
        &self,
        plan: &DialPlan,
        connection: Option<Connection>,
        template: &RequestTemplate,
        permit: &SendPermit,
        deadline: Time,
    ) -> AttemptResult {
        let clock = self.clock();
        let started = clock.now();
        let ends_at = clock.instant(deadline);
        let reusable = connection.filter(Connection::is_open);
        let is_new_connection = reusable.is_none();
        let dialed = match reusable {
            Some(connection) => Dialed::reused(connection),
            None => match timeout_at(ends_at, self.dialer.open(plan)).await {
                Ok(dialed) => dialed,
                Err(_) => return AttemptResult::failed(Outcome::Expired),
            },
        };
        let mut connection = match dialed.connection {
            Ok(connection) => connection,
            Err(err) => {
                let outcome = if err == ConnectError::NoDescriptor {
                    // Says nothing about the target; another connection may end meanwhile.
                    sleep_until(ends_at.min(Instant::now() + DESCRIPTOR_RETRY_DELAY)).await;
                    Outcome::Withheld
                } else {
                    Outcome::Unreachable
                };
                let mut result = AttemptResult::failed(outcome).with_new_connection(true);
                result.connect_error = Some(err);
                result.feedback.dial = dialed.dial;
                return result;
            }
        };
        let terms = WriteTerms {
            permit: permit.clone(),
            relay: connection.relay.clone(),
            clock,
        };
        let unsent = if !terms.hold() {
            Some(Outcome::Withheld)
        } else if permit.is_abandoned() {
            Some(Outcome::Canceled)
        } else {
            (clock.now() >= deadline).then_some(Outcome::Expired)
        };
        if let Some(outcome) = unsent {
            let mut result = AttemptResult::failed(outcome);
            result.feedback.dial = dialed.dial;
            result.connection = Some(connection);
            return result.with_new_connection(is_new_connection);
        }
        let Some(req) = build_request(template, plan.addr, deadline - clock.now()) else {
            return AttemptResult::failed(Outcome::Unreachable);
        };
        let relay = connection.relay.clone();
        permit.note_sending(clock.now(), relay.as_ref(), is_new_connection);
        connection.last_response_at = started;
        let is_direct_and_new = is_new_connection && relay.is_none();
        let connect_time = is_direct_and_new.then(|| clock.now() - started);
        connection.latch.reset(terms);
        let opened = (connection, started);
        let answer = self
            .send_request(opened, template, req, plan, ends_at)
            .await;
        let Some(result) = answer else {
            return AttemptResult::failed(Outcome::TimedOut);
        };
        let mut result = result.with_new_connection(is_new_connection);
        result.relay = relay.map(|relay| relay.instance);
        result.feedback.connect_time = connect_time;
        result.feedback.dial = dialed.dial;
        result
    }

    /// Sends a request on an open connection and awaits its answer; returns `None` if the answer isn't there at
    /// `ends_at`.
    async fn send_request(
        &self,
        (mut connection, started): (Connection, Time),
        template: &RequestTemplate,
        req: Request<Full<Bytes>>,
        plan: &DialPlan,
        ends_at: Instant,
    ) -> Option<AttemptResult> {
        connection.allowance.set(MAX_HEAD_BYTES);
        let sent = connection.sender.try_send_request(req);
        let Ok(answer) = timeout_at(ends_at, sent).await else {
            if connection.latch.is_withheld() {
                return Some(AttemptResult::failed(Outcome::Withheld));
            }
            let is_unsent = connection.latch.close();
            return is_unsent.then(|| AttemptResult::failed(Outcome::Expired));
        };
        let res = match answer {
            Ok(res) => res,
            Err(_) if connection.latch.is_withheld() => {
                return Some(AttemptResult::failed(Outcome::Withheld));
            }
            Err(mut err) => {
                // `hyper` returns the request only if it has sent nothing of it.
                let is_unsent = err.take_message().is_some() || connection.latch.close();
                let outcome = match err.error() {
                    _ if is_unsent => Outcome::Unreachable,
                    err if err.is_parse() && !err.is_parse_too_large() => Outcome::Invalid,
                    _ => Outcome::Lost,
                };
                return Some(AttemptResult::failed(outcome));
            }
        };
        connection.allowance.lift();
        if !head::is_final(res.status()) || !matches_request(template, &res) {
            return Some(AttemptResult::failed(Outcome::Invalid));
        }
        let is_refused = was_not_run(&template.dialect, &res);
        let feedback = read_feedback(&template.dialect, &res);
        apply_keep_alive(&mut connection, res.headers());
        let (parts, body) = res.into_parts();
        let received = timeout_at(ends_at, self.held.collect(body, MAX_HELD_BYTES)).await;
        connection.last_response_at = self.clock().now();
        if is_refused {
            // The head says so, whatever becomes of the rest.
            let is_whole = matches!(received, Ok(Ok(_)));
            return Some(AttemptResult {
                connection: is_whole.then_some(connection),
                feedback,
                ..AttemptResult::failed(Outcome::Refused)
            });
        }
        let Ok(body) = received.ok()? else {
            return Some(AttemptResult::failed(Outcome::Lost));
        };
        let is_whole = if ends_with_connection(&parts) {
            let reachable = self.dialer.is_reachable(plan, connection.relay.as_ref());
            timeout_at(ends_at, reachable).await.ok()?
        } else {
            true
        };
        if !is_whole {
            return Some(AttemptResult::failed(Outcome::Lost));
        }
        let response = TargetResponse {
            status: parts.status,
            headers: head::response_headers(&parts.headers),
            body,
        };
        let now = self.clock().now();
        connection.last_response_at = now;
        Some(AttemptResult {
            response: Some(response),
            connection: Some(connection),
            feedback,
            ..AttemptResult::failed(Outcome::Answered(now - started))
        })
    }
}

/// Returns whether only the end of its connection ends a response, which a link that is cut on the way
/// gives as well.
fn ends_with_connection(parts: &Parts) -> bool {
    let has_body = !matches!(
        parts.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    has_body
        && !parts.headers.contains_key(header::CONTENT_LENGTH)
        && !parts.headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a response belongs to the request: it must repeat the attempt's ID and, if
/// successful, carry the required header.
fn matches_request(template: &RequestTemplate, res: &Response<Incoming>) -> bool {
    let dialect = &template.dialect;
    let has_attempt_id = match (&dialect.attempt_id, &template.attempt_id) {
        (Some(name), Some(attempt_id)) => res.headers().get(name) == Some(attempt_id),
        _ => true,
    };
    let required = dialect.required_on_success.as_ref();
    let has_required = required.is_none_or(|name| res.headers().contains_key(name));
    has_attempt_id && (has_required || !res.status().is_success())
}

fn read_feedback(dialect: &Dialect, res: &Response<Incoming>) -> TargetFeedback {
    let load = dialect.load.as_ref().and_then(|name| {
        let text = res.headers().get(name)?.to_str().ok()?;
        let mut parts = text.split(',').map(|part| part.trim().parse::<u32>());
        let running = parts.next()?.ok()?;
        Some(running.saturating_add(parts.next()?.ok()?))
    });
    TargetFeedback {
        load,
        rate_limit: read_rate_limit(dialect, res.headers()),
        is_leaving: reports_leaving(dialect, res.headers()),
        rest: read_rest(dialect, res),
        connect_time: None,
        dial: Dial::default(),
    }
}

/// Returns the rate that a target names; a text that is no rate counts as none.
fn read_rate_limit(dialect: &Dialect, headers: &HeaderMap) -> Option<f64> {
    let text = headers.get(dialect.rate_limit.as_ref()?)?.to_str().ok()?;
    let per_s = text.trim().parse::<f64>().ok()?;
    (per_s.is_finite() && per_s >= 0.0).then_some(per_s)
}

fn reports_leaving(dialect: &Dialect, headers: &HeaderMap) -> bool {
    let value = dialect.leaving.as_ref().and_then(|name| headers.get(name));
    value.is_some_and(|value| value.as_bytes().trim_ascii() == b"1")
}

/// Returns the rest that a target asks for; a text that is no number of seconds counts as none.
fn read_rest(dialect: &Dialect, res: &Response<Incoming>) -> Option<Duration> {
    if res.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = res.headers().get(dialect.rest.as_ref()?)?.to_str().ok()?;
    let secs = text.trim().parse::<f64>().ok()?;
    Duration::try_from_secs_f64(secs).ok()
}

/// Sets the timeouts of a connection from the target's `Keep-Alive` header.
fn apply_keep_alive(connection: &mut Connection, headers: &HeaderMap) {
    let keep_alive = headers.get("keep-alive").and_then(|value| {
        let text = value.to_str().ok()?;
        text.split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))?
            .parse::<u64>()
            .ok()
    });
    if let Some(keep_alive) = keep_alive.map(Duration::from_secs) {
        connection.idle_timeout = keep_alive.mul_f64(IDLE_TIMEOUT_FRACTION);
        connection.fresh_timeout = keep_alive.mul_f64(FRESH_TIMEOUT_FRACTION);
    }
}

fn build_request(
    template: &RequestTemplate,
    addr: SocketAddr,
    remaining: Duration,
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
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let name = template.dialect.remaining_ms.clone();
    req.headers_mut().insert(name, remaining_ms.into());
    Some(req)
}

fn was_not_run(dialect: &Dialect, res: &Response<Incoming>) -> bool {
    let (name, value) = &dialect.not_run;
    let has_header = res
        .headers()
        .get(name)
        .is_some_and(|found| value.as_ref().is_none_or(|value| found == value));
    let is_refusal_status = value.is_none()
        || matches!(
            res.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
    (has_header && is_refusal_status) || dialect.not_run_statuses.contains(&res.status().as_u16())
}
