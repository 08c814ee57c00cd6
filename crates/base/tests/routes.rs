//! Look-ups of routes by host and path.

use base::{Config, Route, RouteKind, RouteTable};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

fn route(idx: usize, host: &str, prefix: &str) -> Route {
    Route {
        name: format!("r{idx}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        services: Vec::new(),
        timeout_ms: 1_000,
        objective_ms: 500,
        attempts: 1,
        priority: 0,
        is_open: true,
        is_sticky: false,
        homes: Default::default(),
    }
}

fn config(routes: &[(String, String)]) -> Config {
    let routes = routes.iter().enumerate();
    let routes: Vec<Route> = routes
        .map(|(idx, (host, prefix))| route(idx, host, prefix))
        .collect();
    Config {
        routes: routes.into(),
        ..Config::default()
    }
}

/// Returns the first of the routes with the longest prefix, by comparing all of them.
fn find_among_all<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a Route> {
    let name = host.split(':').next().unwrap_or(host);
    let mut found: Option<&Route> = None;
    for route in &config.routes {
        let is_match = route.host.eq_ignore_ascii_case(name) && path.starts_with(&route.prefix);
        let is_longer = found.is_none_or(|found| found.prefix.len() < route.prefix.len());
        if is_match && is_longer {
            found = Some(route);
        }
    }
    found
}

fn host() -> impl Strategy<Value = String> {
    "a|A|b|a\\.b"
}

/// Draws segments of few characters, so that prefixes meet; some characters have several bytes and share
/// the first one, and some come before and after a slash in the order of bytes.
fn path() -> impl Strategy<Value = String> {
    "(/?[ab.0éè]{0,2}){0,5}/?"
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    /// Guards against an index that finds another route than a comparison with each of them does.
    #[test]
    fn routes_found_are_those_of_a_search_of_all(
        routes in vec((host(), path()), 0..40),
        hosts in vec((host(), "|:80|:8080"), 1..6),
        paths in vec((path(), path()), 1..10),
    ) {
        let config = config(&routes);
        let table = RouteTable::new(&config);
        prop_assert_eq!(table.is_empty(), routes.is_empty());
        for (host, port) in &hosts {
            let host = format!("{host}{port}");
            let drawn = paths.iter().map(|(path, rest)| format!("{path}{rest}"));
            let prefixes = routes.iter().zip(&paths);
            let below = prefixes.map(|((_, prefix), (path, _))| format!("{prefix}{path}"));
            for path in drawn.chain(below) {
                let found = table.find(&host, &path).map(|route| &**route);
                prop_assert_eq!(found, find_among_all(&config, &host, &path), "{} {}", host, path);
            }
        }
    }
}
