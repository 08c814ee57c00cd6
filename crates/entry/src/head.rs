//! Request heads: the caller's key, what is forwarded and what is not.

use base::{ErrorKind, ServiceId};
use dispatch::WorkKind;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};

use crate::dialect::{Dialect, KeyLocation};

/// Header in which a caller names a non-idempotent action.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Header with the trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");
/// Query parameter in which a caller may show its key.
pub const KEY_PARAM: &str = "api_key";

const API_KEY: HeaderName = HeaderName::from_static("x-api-key");
const BEARER: &str = "Bearer ";
const MOST_IDEMPOTENCY_KEY_BYTES: usize = 200;

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

const REPLACED: &[&str] = &[
    "authorization",
    "x-api-key",
    "content-length",
    "expect",
    "traceparent",
];

/// Holds what a request's head says.
#[derive(Debug, Clone)]
pub struct Head {
    /// Service that the first path segment names.
    pub service: ServiceId,
    /// Path below the service, with its slash and without the query.
    pub path: String,
    /// Host that the caller named.
    pub host: String,
    /// Whole path, without the query.
    pub whole_path: String,
    /// Name of the caller's attempt.
    pub attempt_id: Option<HeaderValue>,
    /// Digest of the name of the object that the request is about.
    pub affinity: Option<u64>,
    /// Key that came with the request.
    pub key: Option<String>,
    /// Idempotency key.
    pub action: Option<String>,
    /// Whether the request may run more than once.
    pub kind: WorkKind,
    /// How long the caller waits, in milliseconds.
    pub timeout_ms: Option<u64>,
}

/// Reads a request's head.
///
/// # Errors
///
/// [`ErrorKind::BadRequest`] where a key, an idempotency key or a timeout can't be read.
pub fn read(
    dialect: &Dialect,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<Head, ErrorKind> {
    check_single(dialect, headers)?;
    let path = uri.path();
    let rest = path.strip_prefix('/').unwrap_or(path);
    let (service, below) = rest.find('/').map_or((rest, "/"), |at| rest.split_at(at));
    let timeout_ms = text(headers, &dialect.timeout_ms)?
        .map(|text| text.parse().map_err(|_| ErrorKind::BadRequest))
        .transpose()?;
    Ok(Head {
        service: ServiceId::from(service),
        path: below.to_owned(),
        host: host(uri, headers).to_owned(),
        whole_path: path.to_owned(),
        attempt_id: dialect
            .attempt_id
            .as_ref()
            .and_then(|name| headers.get(name).cloned()),
        affinity: affinity(dialect, headers),
        key: key(dialect, uri, headers)?,
        action: action(headers)?,
        kind: kind(method),
        timeout_ms,
    })
}

/// Returns the headers to forward: none that shows the key or belongs to the connection.
pub fn forwarded_headers(dialect: &Dialect, headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, value)| {
            !HOP_BY_HOP.contains(&name.as_str())
                && !REPLACED.contains(&name.as_str())
                && !dialect.is_replaced(name)
                && (dialect.preserves_host || **name != header::HOST)
                && !named.contains(name)
                && !shows(value.as_bytes(), key)
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns the path and query to forward, without a parameter that shows the key.
pub fn forwarded_path(dialect: &Dialect, uri: &Uri, key: Option<&str>) -> String {
    let path = uri.path();
    if dialect.key != KeyLocation::Standard {
        return uri
            .path_and_query()
            .map_or(path, |whole| whole.as_str())
            .to_owned();
    }
    let Some(query) = uri.query() else {
        return path.to_owned();
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| {
            let name = pair.split('=').next().unwrap_or_default();
            name != KEY_PARAM && !shows(pair.as_bytes(), key)
        })
        .collect();
    if kept.is_empty() {
        return path.to_owned();
    }
    format!("{path}?{}", kept.join("&"))
}

/// Returns the headers of a target's answer that reach the caller.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(&name.as_str())
                && !named.contains(name)
                && **name != header::CONTENT_LENGTH
        })
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn shows(value: &[u8], key: Option<&str>) -> bool {
    key.is_some_and(|key| {
        !key.is_empty()
            && value
                .windows(key.len())
                .any(|window| window == key.as_bytes())
    })
}

fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> &'a str {
    let named = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    named.or_else(|| uri.host()).unwrap_or_default()
}

/// Refuses heads in which what decides stands twice.
fn check_single(dialect: &Dialect, headers: &HeaderMap) -> Result<(), ErrorKind> {
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
    let is_twice = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    let is_framed_twice = headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING);
    if is_framed_twice || names.into_iter().flatten().any(is_twice) {
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
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(value.as_bytes()).as_bytes()[..8]);
    Some(u64::from_le_bytes(first))
}

fn key(dialect: &Dialect, uri: &Uri, headers: &HeaderMap) -> Result<Option<String>, ErrorKind> {
    if let KeyLocation::Header(name) = &dialect.key {
        return Ok(text(headers, name)?.map(str::to_owned));
    }
    if let Some(value) = text(headers, &header::AUTHORIZATION)? {
        let key = value.strip_prefix(BEARER).ok_or(ErrorKind::BadRequest)?;
        return Ok(Some(key.trim().to_owned()));
    }
    if let Some(value) = text(headers, &API_KEY)? {
        return Ok(Some(value.trim().to_owned()));
    }
    let param = uri.query().and_then(|query| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(KEY_PARAM)?.strip_prefix('='))
    });
    Ok(param.map(str::to_owned))
}

fn action(headers: &HeaderMap) -> Result<Option<String>, ErrorKind> {
    let Some(value) = text(headers, &IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    let is_usable = !value.is_empty()
        && value.len() <= MOST_IDEMPOTENCY_KEY_BYTES
        && value.bytes().all(|byte| byte.is_ascii_graphic());
    if is_usable {
        Ok(Some(value.to_owned()))
    } else {
        Err(ErrorKind::BadRequest)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ErrorKind> {
    headers
        .get(name)
        .map(HeaderValue::to_str)
        .transpose()
        .map_err(|_| ErrorKind::BadRequest)
}

fn kind(method: &Method) -> WorkKind {
    if method.is_idempotent() {
        WorkKind::Idempotent
    } else {
        WorkKind::Once
    }
}
