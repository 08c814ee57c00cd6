//! Requests that arrive between changes of the configuration and of targets' rows.

use base::{Config, ErrorKind, KeyDigest};
use entry::{engine::Engine, message::Decision};
use rstest::rstest;
use standin::config::registration;

use crate::{
    activate, config, engine,
    requests::{dispatch, submit},
    with_route,
};

/// Returns an equal configuration that shares nothing with this one.
fn apart(config: &Config) -> Config {
    serde_json::from_str(&base::canonical_json(config)).unwrap()
}

fn with_slots(mut config: Config, slots: u32) -> Config {
    let service = config.services.get_mut("board").unwrap();
    let target = service.targets.get_mut("north").unwrap();
    target.registered = Some(registration(slots, 1));
    config
}

/// Guards against routes, keys or workspaces of an earlier version where targets' rows change before,
/// with and after the version, whether or not configurations share what is equal.
#[rstest]
#[case::same(|_: &mut Config| {}, Ok("gym"))]
#[case::prefix(|config: &mut Config| config.routes[0].prefix = "/other/".to_owned(), Err(ErrorKind::UnknownService))]
#[case::host(|config: &mut Config| config.routes[0].host = "other".to_owned(), Err(ErrorKind::UnknownService))]
#[case::no_routes(|config: &mut Config| config.routes.clear(), Ok("gym"))]
#[case::open_route(|config: &mut Config| config.routes[0].is_open = true, Ok("(open)"))]
#[case::longer_prefix(
    |config: &mut Config| {
        let mut route = config.routes[0].clone();
        route.prefix = "/board/x".to_owned();
        route.is_open = true;
        config.routes.push(route);
    },
    Ok("(open)")
)]
#[case::service(|config: &mut Config| config.routes[0].services[0].service = "none".into(), Err(ErrorKind::UnknownService))]
#[case::key_withdrawn(|config: &mut Config| config.keys.clear(), Err(ErrorKind::UnknownKey))]
#[case::key_replaced(
    |config: &mut Config| config.keys.get_mut("k").unwrap().digest = KeyDigest::of("other"),
    Err(ErrorKind::UnknownKey)
)]
#[case::key_moved(|config: &mut Config| config.keys.get_mut("k").unwrap().workspace = "other".into(), Ok("other"))]
#[case::workspace_removed(
    |config: &mut Config| { config.workspaces.remove("gym"); },
    Err(ErrorKind::UnknownKey)
)]
#[tokio::test]
async fn requests_follow_the_latest_version_between_changes_of_targets(
    #[case] change: fn(&mut Config),
    #[case] expected: Result<&str, ErrorKind>,
    #[values(Config::clone, apart)] copy: fn(&Config) -> Config,
) {
    let first = with_route(config(), 2);
    let mut second = copy(&first);
    change(&mut second);
    let is_kept = second.workspaces == first.workspaces;
    for slots in 8..10 {
        let mut engine = engine();
        activate(&mut engine, &first);
        activate(&mut engine, &with_slots(copy(&first), 8));
        assert_eq!(workspace_of(&mut engine, 1), Ok("gym".to_owned()));
        activate(&mut engine, &with_slots(copy(&second), slots));
        let expected = expected.map(ToOwned::to_owned);
        assert_eq!(workspace_of(&mut engine, 2), expected);
        activate(&mut engine, &with_slots(copy(&second), 9));
        assert_eq!(workspace_of(&mut engine, 3), expected);
        activate(&mut engine, &with_slots(copy(&first), 9));
        let back = is_kept.then(|| "gym".to_owned());
        // A workspace that was away has spent its quota.
        let back = back.ok_or(ErrorKind::RateLimited);
        assert_eq!(workspace_of(&mut engine, 4), back);
    }
}

/// Guards against a key that stays unknown once the workspace that it belongs to is there.
#[tokio::test]
async fn key_is_known_once_its_workspace_is() {
    let whole = with_route(config(), 2);
    let mut without = whole.clone();
    without.workspaces.remove("gym");
    let mut engine = engine();
    activate(&mut engine, &without);
    assert_eq!(workspace_of(&mut engine, 1), Err(ErrorKind::UnknownKey));
    activate(&mut engine, &whole);
    assert_eq!(workspace_of(&mut engine, 2), Ok("gym".to_owned()));
}

/// Returns the workspace by which a request runs, or why it is refused.
fn workspace_of(engine: &mut Engine, id: u64) -> Result<String, ErrorKind> {
    let mut rx = submit(engine, id);
    dispatch(engine, id);
    let mut workspace = None;
    loop {
        match rx.try_recv() {
            Ok(Decision::Admitted(admitted)) => workspace = Some(admitted.workspace.to_string()),
            Ok(Decision::SendAttempt(_)) => return Ok(workspace.unwrap()),
            Ok(Decision::Refuse(refusal)) => return Err(refusal.kind),
            Ok(_) => {}
            Err(err) => panic!("{err}"),
        }
    }
}
