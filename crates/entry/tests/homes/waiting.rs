//! Requests that wait for their bodies while a configuration changes.

use std::collections::BTreeSet;

use base::{Config, ErrorKind, RegionId};
use rstest::rstest;

use crate::{
    activate, config, engine, homes, outcome,
    requests::{dispatch, submit},
    with_route,
};

/// Guards against HOME: a request whose body was still arriving when its homes moved was sent to where
/// they had been.
#[rstest]
#[case::route(true, homes(&["south"]), homes(&[]), Ok("south".to_owned()))]
#[case::workspace(true, homes(&[]), homes(&["south"]), Ok("south".to_owned()))]
#[case::nowhere(true, homes(&["north"]), homes(&["south"]), Err(ErrorKind::NoTarget))]
#[case::by_service(false, homes(&[]), homes(&["south"]), Ok("south".to_owned()))]
#[tokio::test]
async fn waiting_request_follows_its_homes(
    #[case] has_routes: bool,
    #[case] route_homes: BTreeSet<RegionId>,
    #[case] workspace_homes: BTreeSet<RegionId>,
    #[case] expected: Result<String, ErrorKind>,
) {
    let first = if has_routes {
        with_route(config(), 2)
    } else {
        config()
    };
    let mut second = first.clone();
    if let Some(route) = second.routes.first_mut() {
        route.homes = route_homes;
    }
    let workspace = second.workspaces.get_mut("gym").unwrap();
    workspace.homes = workspace_homes;
    let mut engine = engine();
    activate(&mut engine, &first);
    let mut rx = submit(&mut engine, 1);
    activate(&mut engine, &second);
    dispatch(&mut engine, 1);
    assert_eq!(outcome(&mut rx), expected);
}

/// Guards against HOME: homes of workspaces bound nothing where the path names the service.
#[tokio::test]
async fn workspace_homes_bind_without_routes() {
    let mut config = config();
    config.workspaces.get_mut("gym").unwrap().homes = homes(&["south"]);
    let mut engine = engine();
    activate(&mut engine, &config);
    let mut rx = submit(&mut engine, 1);
    dispatch(&mut engine, 1);
    assert_eq!(outcome(&mut rx), Ok("south".to_owned()));
}

/// Guards against a withdrawn key, or a route that was taken away, that still lets a waiting request run.
#[rstest]
#[case::key(|config: &mut Config| config.keys.clear(), ErrorKind::UnknownKey)]
#[case::route(|config: &mut Config| config.routes[0].prefix = "/other/".to_owned(), ErrorKind::UnknownService)]
#[case::key_of_another_workspace(
    |config: &mut Config| config.keys.get_mut("k").unwrap().workspace = "other".into(),
    ErrorKind::NotReady
)]
#[tokio::test]
async fn waiting_request_is_refused_once_it_is_not_allowed(
    #[case] change: fn(&mut Config),
    #[case] expected: ErrorKind,
) {
    let mut config = with_route(config(), 2);
    let mut engine = engine();
    activate(&mut engine, &config);
    let mut rx = submit(&mut engine, 1);
    change(&mut config);
    activate(&mut engine, &config);
    dispatch(&mut engine, 1);
    assert_eq!(outcome(&mut rx), Err(expected));
}

/// Guards against needless refusals: a request that waited while its route was opened to everybody was
/// refused.
#[tokio::test]
async fn waiting_request_outlives_the_opening_of_its_route() {
    let mut config = with_route(config(), 2);
    let mut engine = engine();
    activate(&mut engine, &config);
    let mut rx = submit(&mut engine, 1);
    config.routes[0].is_open = true;
    activate(&mut engine, &config);
    dispatch(&mut engine, 1);
    assert!(outcome(&mut rx).is_ok());
}
