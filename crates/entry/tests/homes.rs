//! Requests and connections that wait while a configuration moves the regions in which they may run.

#[path = "support/engine.rs"]
mod engine;
#[path = "support/fresh.rs"]
mod fresh;
#[path = "support/template.rs"]
mod template;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use base::{
    AllowedRegions, Config, ErrorKind, Key, KeyDigest, RegionId, Route, RouteKind, Service,
    TargetId, WeightedService, Workspace,
};
use dispatch::{Outcome, Placement, Policy, RequestId, RequestKind};
use engine::engine_with;
use entry::{
    connection::Relay,
    dial::{DialPlan, Dialer},
    engine::Engine,
    forward::Forwarder,
    message::{Arrival, AttemptPlan, Decision, Event},
    permit::{SendNote, SendPermit},
    view::Clock,
};
use fresh::fresh;
use rstest::rstest;
use standin::config::{registration, service, target};
use template::template;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::timeout,
};
use wire::marked::MarkedStream;

const KEY: &str = "key";

/// Returns a configuration with a target in each of two regions, and two workspaces, one of
/// them with a key.
fn config() -> Config {
    let regions = ["north", "south"];
    let mut config = standin::config::config(regions.map(|region| (region, region)));
    let targets = regions.map(|region| (region.into(), target(region, None)));
    let service = Service {
        targets: targets.into(),
        ..service(4, 10_000)
    };
    config.services.insert("board".into(), service);
    let workspace = Workspace {
        rate: 1_000.0,
        burst: 1_000.0,
        ..Workspace::default()
    };
    config.workspaces.insert("other".into(), workspace.clone());
    config.workspaces.insert("gym".into(), workspace);
    let key = Key {
        workspace: "gym".into(),
        digest: KeyDigest::of(KEY),
    };
    config.keys.insert("k".into(), key);
    config
}

fn with_route(mut config: Config, attempts: u32) -> Config {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/board/".to_owned(),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService {
            service: "board".into(),
            weight: 1,
        }],
        timeout_ms: 10_000,
        objective_ms: 500,
        attempts,
        priority: 0,
        is_open: false,
        is_sticky: false,
        homes: Default::default(),
    };
    config.routes = vec![route].into();
    config
}

fn homes(regions: &[&str]) -> BTreeSet<RegionId> {
    regions.iter().map(|region| (*region).into()).collect()
}

fn engine() -> Engine {
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        ..Policy::default()
    };
    engine_with(policy)
}

fn activate(engine: &mut Engine, config: &Config) {
    engine.handle(Event::ConfigActivated(Arc::new(config.clone())));
    engine.handle(fresh(None));
}

/// Submits a request whose body hasn't arrived yet, and returns the channel of its decisions.
fn submit(engine: &mut Engine, id: u64) -> mpsc::UnboundedReceiver<Decision> {
    let (tx, rx) = mpsc::unbounded_channel();
    engine.handle(Event::RequestArrived(Arrival {
        id: RequestId(id),
        api_key: Some(KEY.to_owned()),
        service: "board".into(),
        path: "/x".to_owned(),
        host: "h".to_owned(),
        full_path: "/board/x".to_owned(),
        affinity: None,
        kind: RequestKind::Idempotent,
        fingerprint: id,
        timeout: None,
        awaits_dispatch: true,
        tx,
    }));
    rx
}

/// Releases a request after its body has arrived.
fn dispatch(engine: &mut Engine, id: u64) {
    engine.handle(Event::Dispatch {
        id: RequestId(id),
        fingerprint: id,
    });
}

/// Submits and dispatches a request, and returns the plan of its attempt and the channel of its later
/// decisions.
fn plan_attempt(engine: &mut Engine) -> (Box<AttemptPlan>, mpsc::UnboundedReceiver<Decision>) {
    let mut rx = submit(engine, 1);
    dispatch(engine, 1);
    loop {
        if let Decision::SendAttempt(plan) = rx.try_recv().unwrap() {
            return (plan, rx);
        }
    }
}

/// Ends the first attempt of the first request.
fn end_attempt(engine: &mut Engine, outcome: Outcome) {
    engine.handle(Event::AttemptEnded {
        id: RequestId(1),
        attempt: 1,
        outcome,
        response_bytes: None,
        connection: None,
        feedback: Default::default(),
    });
}

/// Returns the region to which a request was sent, or why it was refused.
fn outcome(rx: &mut mpsc::UnboundedReceiver<Decision>) -> Result<String, ErrorKind> {
    loop {
        match rx.try_recv() {
            Ok(Decision::SendAttempt(plan)) => return Ok(plan.assignment.region.to_string()),
            Ok(Decision::Refuse(refusal)) => return Err(refusal.kind),
            Ok(_) => {}
            Err(err) => panic!("{err}"),
        }
    }
}

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

/// Guards against a lowered number of attempts that a request which is under way didn't heed.
#[tokio::test]
async fn attempts_are_those_of_the_latest_configuration() {
    let mut engine = engine();
    activate(&mut engine, &with_route(config(), 2));
    let mut rx = submit(&mut engine, 1);
    dispatch(&mut engine, 1);
    outcome(&mut rx).unwrap();
    activate(&mut engine, &with_route(config(), 1));
    end_attempt(&mut engine, Outcome::Refused);
    assert_eq!(outcome(&mut rx), Err(ErrorKind::TargetRefused));
}

/// Guards against HOME: a connection that took long to open, through another instance, carried its
/// request to where the homes had been meanwhile, or past an instance outside of them.
#[rstest]
#[case::homes_stay(&["north", "south"], false)]
#[case::target_is_outside(&["south"], true)]
#[case::carrier_is_outside(&["north"], true)]
#[case::not_allowed_any_more(&[], true)]
#[tokio::test]
async fn request_is_withheld_if_its_homes_moved_while_it_was_dialed(
    #[case] moved_to: &[&str],
    #[case] is_withheld: bool,
) {
    let clock = Clock::start();
    let (tx, mut rx) = mpsc::unbounded_channel();
    let forwarder = Forwarder::new(Dialer::new(clock, tx));
    let allowed = watch::Sender::new(AllowedRegions::All);
    let (note, in_force) = (SendNote::default(), watch::Sender::new(1));
    let permit = SendPermit::new("north".into(), allowed.subscribe())
        .noted(note.clone(), in_force.subscribe());
    let plan = DialPlan {
        target: "t".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        relays: vec![Relay {
            instance: "i2".into(),
            region: "south".into(),
            addr: ([127, 0, 0, 1], 2).into(),
        }],
        prefers_relay: true,
        relay_delay: Duration::from_secs(1),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await;
    let (mut far, _) = listener.accept().await.unwrap();
    let carry = async {
        let request = rx.recv().await.unwrap();
        let moved = AllowedRegions::only(&homes(moved_to));
        allowed.send_replace(moved);
        in_force.send_replace(2);
        let carried = MarkedStream::new(stream.unwrap());
        request.reply.send(Ok(carried)).unwrap();
        let read = timeout(Duration::from_millis(200), far.read_u8()).await;
        read.is_ok()
    };
    let deadline = clock.now() + Duration::from_millis(400);
    let template = template();
    let send = forwarder.send_attempt(&plan, None, &template, &permit, deadline);
    let (result, is_sent) = tokio::join!(send, carry);
    assert_eq!(
        result.outcome == Outcome::Withheld,
        is_withheld,
        "{result:?}"
    );
    assert_eq!(is_sent, !is_withheld);
    // The line tells by which configuration it was sent, and that it was not.
    let sent_by = note.sent().map(|sent| sent.revision);
    assert_eq!(sent_by, (!is_withheld).then_some(2));
    assert_eq!(result.connection.is_some(), is_withheld);
}

/// Guards against HOME: a target moved to another region while its connection was opened, and got the
/// request that is bound to the region where it had been; also if it was taken away in between.
#[rstest]
#[case::at_once(false)]
#[case::taken_away_in_between(true)]
#[tokio::test]
async fn request_is_withheld_if_its_target_moved_while_it_was_dialed(#[case] is_taken_away: bool) {
    let mut config = with_route(config(), 2);
    config.routes[0].homes = homes(&["north"]);
    let mut engine = engine();
    activate(&mut engine, &config);
    let (plan, _decisions) = plan_attempt(&mut engine);
    if is_taken_away {
        let mut without = config.clone();
        let service = without.services.get_mut("board").unwrap();
        service.targets.remove(&plan.assignment.target);
        activate(&mut engine, &without);
    }
    let service = config.services.get_mut("board").unwrap();
    let target = service.targets.get_mut(&plan.assignment.target).unwrap();
    target.domain = "south".into();
    activate(&mut engine, &config);
    let permit = SendPermit::new(plan.assignment.region, plan.allowed_regions);
    assert!(!permit.covers(None));
}

/// Guards against DRAIN and EVAC: a target left while a connection to it was opened, and got the request
/// that had been meant for it before.
#[rstest]
#[case::drained(|config: &mut Config, target: &TargetId| {
    config.drains.targets.insert(target.clone());
})]
#[case::evacuated(|config: &mut Config, target: &TargetId| {
    let domain = config.services["board"].targets[target].domain.clone();
    config.drains.targets_in_domains.insert(domain);
})]
#[case::gone(|config: &mut Config, target: &TargetId| {
    config.services.get_mut("board").unwrap().targets.remove(target);
})]
#[tokio::test]
async fn request_is_withheld_if_its_target_left_while_it_was_dialed(
    #[case] leave: fn(&mut Config, &TargetId),
) {
    let mut config = with_route(config(), 2);
    let mut engine = engine();
    activate(&mut engine, &config);
    let (plan, mut rx) = plan_attempt(&mut engine);
    let target = plan.assignment.target.clone();
    leave(&mut config, &target);
    activate(&mut engine, &config);
    let permit = SendPermit::new(plan.assignment.region, plan.allowed_regions);
    assert!(!permit.covers(None));
    end_attempt(&mut engine, Outcome::Withheld);
    assert_eq!(outcome(&mut rx), Ok("south".to_owned()));
}

/// Guards against DRAIN: a target started again at another address while a connection to the old one was
/// opened, and what it had left behind there got the request.
#[rstest]
#[case::elsewhere(2, true)]
#[case::at_its_address(1, false)]
#[tokio::test]
async fn request_is_withheld_if_its_target_restarted_elsewhere_while_it_was_dialed(
    #[case] port: u16,
    #[case] is_withheld: bool,
) {
    let mut config = with_route(config(), 2);
    let mut engine = engine();
    activate(&mut engine, &config);
    let (plan, _decisions) = plan_attempt(&mut engine);
    let service = config.services.get_mut("board").unwrap();
    let target = service.targets.get_mut(&plan.assignment.target).unwrap();
    target.addr.set_port(port);
    target.registered = Some(registration(4, 2));
    activate(&mut engine, &config);
    let permit = SendPermit::new(plan.assignment.region, plan.allowed_regions);
    assert_eq!(permit.covers(None), !is_withheld);
}

/// Guards against TWICE: a request whose route may run it once by now was tried again after a loss.
#[tokio::test]
async fn lost_request_of_a_route_that_became_once_is_not_tried_again() {
    let mut config = with_route(config(), 2);
    let mut engine = engine();
    activate(&mut engine, &config);
    let mut rx = submit(&mut engine, 1);
    dispatch(&mut engine, 1);
    outcome(&mut rx).unwrap();
    config.routes[0].kind = RouteKind::Once;
    activate(&mut engine, &config);
    end_attempt(&mut engine, Outcome::Lost);
    assert_eq!(outcome(&mut rx), Err(ErrorKind::TargetLost));
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

/// Guards against needless refusals: a key that was withdrawn and given back left its running requests
/// without a second attempt.
#[tokio::test]
async fn request_is_tried_again_once_its_key_is_back() {
    let config = with_route(config(), 2);
    let mut without_key = config.clone();
    without_key.keys.clear();
    let mut engine = engine();
    activate(&mut engine, &config);
    let mut rx = submit(&mut engine, 1);
    dispatch(&mut engine, 1);
    outcome(&mut rx).unwrap();
    activate(&mut engine, &without_key);
    activate(&mut engine, &config);
    end_attempt(&mut engine, Outcome::Refused);
    assert!(outcome(&mut rx).is_ok());
}
