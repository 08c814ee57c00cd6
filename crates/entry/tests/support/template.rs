//! A request as it is sent to targets.

use std::sync::Arc;

use bytes::Bytes;
use entry::{dialect::Dialect, forward::RequestTemplate};
use http::{HeaderMap, Method};

/// Returns a request without headers or body.
pub(crate) fn template() -> RequestTemplate {
    RequestTemplate {
        method: Method::GET,
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        dialect: Arc::new(Dialect::default()),
        attempt_id: None,
    }
}
