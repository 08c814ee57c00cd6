//! Request heads: parses what callers send, and selects the headers to forward.

use base::{ErrorKind, ServiceId};
use dispatch::RequestKind;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header};

use crate::dialect::{Dialect, KeyLocation};

/// Header with which a caller identifies a non-idempotent action across retries.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header that carries the W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Query parameter in which a caller may send its API key.
pub const KEY_PARAM: &str = "api_key";

const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const BEARER: &str = "Bearer ";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 200;

const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers that are not forwarded because the instance consumes them or sets its own.
const STRIPPED: &[&str] = &[
    "authorization",
    "x-api-key",
    "content-length",
    "expect",
    "traceparent",
];

/// Describes a caller's request as its head is parsed.
#[derive(Debug, Clone)]
pub struct Head {
    /// Service that the first path segment names.
    pub service: ServiceId,
    /// Path below the service, with its slash and without the query.
    pub path: String,
    /// Host that the caller addressed.
    pub host: String,
    /// Full path, without the query.
    pub full_path: String,
    /// ID of the caller's attempt.
    pub attempt_id: Option<HeaderValue>,
    /// Digest of the affinity cookie's value.
    pub affinity: Option<u64>,
    /// API key from a header or the query.
    pub api_key: Option<String>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// Whether the request may run more than once, by its method.
    pub kind: RequestKind,
    /// Timeout that the caller asks for, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// Parses a request's head.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] if a key, an idempotency key or a timeout is malformed, if a header
/// that must be unique is repeated, or if the request asks for a tunnel.
pub fn read(
    dialect: &Dialect,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<Head, ErrorKind> {
    if asks_for_tunnel(method) {
        return Err(ErrorKind::BadRequest);
    }
    reject_duplicates(dialect, headers)?;
    let path = uri.path();
    let rest = path.strip_prefix('/').unwrap_or(path);
    let (service, path_below) = rest.find('/').map_or((rest, "/"), |at| rest.split_at(at));
    let timeout_ms = header_text(headers, &dialect.timeout_ms)?
        .map(|text| text.parse().map_err(|_| ErrorKind::BadRequest))
        .transpose()?;
    Ok(Head {
        service: ServiceId::from(service),
        path: path_below.to_owned(),
        host: host(uri, headers).to_owned(),
        full_path: path.to_owned(),
        attempt_id: dialect
            .attempt_id
            .as_ref()
            .and_then(|name| headers.get(name).cloned()),
        affinity: affinity(dialect, headers),
        api_key: api_key(dialect, uri, headers)?,
        idempotency_key: idempotency_key(headers)?,
        kind: request_kind(method),
        timeout_ms,
    })
}

/// Returns the headers to forward to a target, without any that exposes the API key, is specific
/// to the connection or is set by the instance itself.
pub fn forwarded_headers(dialect: &Dialect, headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, value)| {
            !HOP_BY_HOP.contains(&name.as_str())
                && !STRIPPED.contains(&name.as_str())
                && !dialect.is_replaced(name)
                && (dialect.preserves_host || **name != header::HOST)
                && !listed.contains(name)
                && !exposes_key(value.as_bytes(), key)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the path and query to forward, without any parameter that exposes the API key.
pub fn forwarded_path(dialect: &Dialect, uri: &Uri, key: Option<&str>) -> String {
    let path = uri.path();
    if dialect.key != KeyLocation::Standard {
        return uri
            .path_and_query()
            .map_or(path, |full| full.as_str())
            .to_owned();
    }
    let Some(query) = uri.query() else {
        return path.to_owned();
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            let name = pair.split('=').next().unwrap_or_default();
            name != KEY_PARAM && !exposes_key(pair.as_bytes(), key)
        })
        .collect();
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", kept.join("&"))
}

/// Returns the headers of a target's response to return to the caller, without those specific to
/// the connection.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(&name.as_str())
                && !listed.contains(name)
                && **name != header::CONTENT_LENGTH
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns whether a successful answer to this method would open a tunnel, which has no body and ends HTTP on the
/// connection.
///
/// No instance opens tunnels.
pub fn asks_for_tunnel(method: &Method) -> bool {
    *method == Method::CONNECT
}

/// Returns whether a status can be that of a target's final answer.
///
/// The protocol has none above 599, and a 101 answers a request for an upgrade, which no request to a target is;
/// what follows it on the connection is no HTTP any more.
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

fn exposes_key(value: &[u8], key: Option<&str>) -> bool {
    key.is_some_and(|key| {
        !key.is_empty()
            && value
                .windows(key.len())
                .any(|window| window == key.as_bytes())
    })
}

fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let from_header = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    from_header.or_else(|| uri.host()).unwrap_or_default()
}

/// Rejects heads that repeat a header which must be unique, since two parsers could read such a head
/// differently.
fn reject_duplicates(dialect: &Dialect, headers: &HeaderMap) -> Result<(), ErrorKind> {
    let key = match &dialect.key {
        KeyLocation::Standard => &header::AUTHORIZATION,
        KeyLocation::Header(name) => name,
    };
    let names = [
        Some(key),
        Some(&dialect.timeout_ms),
        Some(&header::HOST),
        dialect.attempt_id.as_ref(),
    ];
    let is_duplicate = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if names.into_iter().flatten().any(is_duplicate) {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

fn affinity(dialect: &Dialect, headers: &HeaderMap) -> Option<u64> {
    let name = dialect.affinity_cookie.as_deref()?;
    let value = headers
        .get_all(header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(';'))
        .find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))?;
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&blake3::hash(value.as_bytes()).as_bytes()[..8]);
    Some(u64::from_le_bytes(prefix))
}

/// Returns the API key that a request carries, if any.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] if the header can't be read as a key.
pub(crate) fn api_key(
    dialect: &Dialect,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<Option<String>, ErrorKind> {
    if let KeyLocation::Header(name) = &dialect.key {
        return Ok(header_text(headers, name)?.map(str::to_owned));
    }
    if let Some(value) = header_text(headers, &header::AUTHORIZATION)? {
        let key = value.strip_prefix(BEARER).ok_or(ErrorKind::BadRequest)?;
        return Ok(Some(key.trim().to_owned()));
    }
    if let Some(value) = header_text(headers, &API_KEY)? {
        return Ok(Some(value.trim().to_owned()));
    }
    let param = uri.query().and_then(|query| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(KEY_PARAM)?.strip_prefix('='))
    });
    Ok(param.map(str::to_owned))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, ErrorKind> {
    let Some(value) = header_text(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let is_valid = !value.is_empty()
        && value.len() <= MAX_IDEMPOTENCY_KEY_BYTES
        && value.bytes().all(|byte| byte.is_ascii_graphic());
    if is_valid {
        Ok(Some(value.to_owned()))
    } else {
        Err(ErrorKind::BadRequest)
    }
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, ErrorKind> {
    headers
        .get(name)
        .map(HeaderValue::to_str)
        .transpose()
        .map_err(|_| ErrorKind::BadRequest)
}

fn request_kind(method: &Method) -> RequestKind {
    if method.is_idempotent() {
        RequestKind::Idempotent
    } else {
        RequestKind::Once
    }
}
