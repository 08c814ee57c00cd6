//! Parsing of request heads, and that no API key is forwarded to a target.

use base::ErrorKind;
use dispatch::RequestKind;
use entry::{dialect::Dialect, head};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use rstest::rstest;

const KEY: &str = "gw_secret";

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            let name: HeaderName = name.parse().unwrap();
            (name, HeaderValue::from_str(value).unwrap())
        })
        .collect()
}

#[rstest]
#[case::bearer("/s/x", &[("authorization", "Bearer gw_secret")])]
#[case::header("/s/x", &[("x-api-key", "gw_secret")])]
#[case::query("/s/x?api_key=gw_secret&a=1", &[])]
#[case::also_elsewhere("/s/x?note=gw_secret&a=1", &[("authorization", "Bearer gw_secret"), ("cookie", "k=gw_secret"), ("baggage", "key=gw_secret"), ("tracestate", "v=gw_secret")])]
#[case::named_by_connection("/s/x", &[("authorization", "Bearer gw_secret"), ("connection", "x-hop"), ("x-hop", "1")])]
fn head_forwards_no_key(#[case] uri: &str, #[case] pairs: &[(&str, &str)]) {
    let (uri, headers): (Uri, HeaderMap) = (uri.parse().unwrap(), headers(pairs));
    let read = head::read(&Dialect::default(), &Method::GET, &uri, &headers).unwrap();
    assert_eq!(read.api_key.as_deref(), Some(KEY));
    let path = head::forwarded_path(&Dialect::default(), &uri, read.api_key.as_deref());
    assert!(!path.contains(KEY), "{path}");
    let forwarded = head::forwarded_headers(&Dialect::default(), &headers, read.api_key.as_deref());
    assert!(forwarded.is_empty(), "{forwarded:?}");
}

#[rstest]
#[case::basic_auth(&[("authorization", "Basic abc")])]
#[case::empty_idempotency_key(&[("idempotency-key", "")])]
#[case::spaced_idempotency_key(&[("idempotency-key", "a b")])]
#[case::bad_timeout(&[("request-timeout-ms", "soon")])]
fn head_refuses_malformed(#[case] pairs: &[(&str, &str)]) {
    let read = head::read(
        &Dialect::default(),
        &Method::POST,
        &"/s/x".parse().unwrap(),
        &headers(pairs),
    );
    assert_eq!(read.unwrap_err(), ErrorKind::BadRequest);
}

#[rstest]
#[case::get(Method::GET, RequestKind::Idempotent)]
#[case::put(Method::PUT, RequestKind::Idempotent)]
#[case::delete(Method::DELETE, RequestKind::Idempotent)]
#[case::post(Method::POST, RequestKind::Once)]
#[case::patch(Method::PATCH, RequestKind::Once)]
fn head_tells_kind_by_method(#[case] method: Method, #[case] kind: RequestKind) {
    let read = head::read(
        &Dialect::default(),
        &method,
        &"/s/x".parse().unwrap(),
        &HeaderMap::new(),
    )
    .unwrap();
    assert_eq!(read.kind, kind);
}

#[rstest]
#[case::plain("/logbook/a/b", "logbook", "/a/b")]
#[case::bare("/logbook", "logbook", "/")]
#[case::root("/", "", "/")]
#[case::double_slash("//x", "", "/x")]
fn head_splits_path(#[case] uri: &str, #[case] service: &str, #[case] path: &str) {
    let read = head::read(
        &Dialect::default(),
        &Method::GET,
        &uri.parse().unwrap(),
        &HeaderMap::new(),
    )
    .unwrap();
    assert_eq!((read.service.as_str(), read.path.as_str()), (service, path));
}
