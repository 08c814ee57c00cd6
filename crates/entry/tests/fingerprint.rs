//! Requests have equal fingerprints only if the same caller repeats the same request.

use std::sync::Arc;

use bytes::Bytes;
use entry::{dialect::Dialect, fingerprint::fingerprint, forward::RequestTemplate};
use http::{HeaderMap, Method};
use rstest::rstest;

fn template(method: &Method, path: &str, body: &'static str) -> RequestTemplate {
    RequestTemplate {
        method: method.clone(),
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body.as_bytes()),
        dialect: Arc::new(Dialect::default()),
        attempt_id: None,
    }
}

#[rstest]
#[case::same(Method::GET, "/a", "", Some("k1"), true)]
#[case::other_caller(Method::GET, "/a", "", Some("k2"), false)]
#[case::no_key(Method::GET, "/a", "", None, false)]
#[case::other_path(Method::GET, "/b", "", Some("k1"), false)]
#[case::other_method(Method::PUT, "/a", "", Some("k1"), false)]
#[case::other_body(Method::GET, "/a", "x", Some("k1"), false)]
fn fingerprint_is_the_same(
    #[case] method: Method,
    #[case] path: &str,
    #[case] body: &'static str,
    #[case] key: Option<&str>,
    #[case] is_same: bool,
) {
    let first = fingerprint(&template(&Method::GET, "/a", ""), None, Some("k1"));
    let other = fingerprint(&template(&method, path, body), None, key);
    assert_eq!(first == other, is_same);
}
