//! Formats error responses and JSON responses.

use base::{ErrorKind, Executed, Refusal};
use http::{HeaderValue, StatusCode, header};
use salvo::http::{ResBody, Response};
use serde::Serialize;

use crate::dialect::Dialect;

/// Serializes the JSON body of an error response.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    kind: ErrorKind,
    message: &'a str,
    ran: Executed,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Writes the error response for a refusal: status, JSON body and, if retrying helps,
/// `Retry-After`.
pub fn write_error(dialect: &Dialect, res: &mut Response, refusal: &Refusal) {
    let error = refusal.kind.response();
    let retry_after_ms = error
        .is_retryable
        .then_some(refusal.retry_after.as_millis() as u64);
    let body = ErrorBody {
        kind: refusal.kind,
        message: error.message,
        ran: error.executed,
        retry_after_ms,
    };
    if error.is_retryable {
        let retry_after = if dialect.has_fractional_retry_after {
            let text = format!("{:.3}", refusal.retry_after.as_secs_f64());
            HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
        } else {
            HeaderValue::from(refusal.retry_after_secs())
        };
        res.headers_mut().insert(header::RETRY_AFTER, retry_after);
    }
    write_json(res, dialect.status(refusal.kind), &body);
}

/// Writes a status and a value as JSON to a response.
pub fn write_json<T>(res: &mut Response, status: u16, value: &T)
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    res.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    res.replace_body(ResBody::Once(body.into()));
}
