//! Attempts whose connections are opened while a configuration changes.

#[path = "../support/template.rs"]
mod template;

use std::{future::poll_fn, pin::pin, time::Duration};

use base::{AllowedRegions, Config, TargetId, Time};
use dispatch::Outcome;
use entry::{
    dial::{DialPlan, Dialer},
    engine::Engine,
    forward::Forwarder,
    message::{AttemptPlan, Decision},
    permit::{SendNote, SendPermit},
    relay::Relay,
    view::Clock,
};
use rstest::rstest;
use standin::config::registration;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::{mpsc, watch},
    time::timeout,
};
use wire::marked::MarkedStream;

use crate::{
    activate, config, engine, homes, outcome,
    requests::{dispatch, end_attempt, submit},
    with_route,
};
use template::template;

/// Returns a plan of a direct connection to a listener.
fn direct_plan(listener: &TcpListener) -> DialPlan {
    DialPlan {
        target: "t".into(),
        addr: listener.local_addr().unwrap(),
        relays: Vec::new(),
        prefers_relay: false,
        relay_delay: Duration::from_secs(1),
    }
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
    // The line shows by which configuration it was sent and who carries it, before it has ended, and that it was not.
    let sent = note.sent();
    let sent = sent.map(|sent| (sent.revision, sent.relay, sent.is_new));
    let expected = (2, Some("i2".into()), true);
    assert_eq!(sent, (!is_withheld).then_some(expected));
    assert_eq!(result.connection.is_some(), is_withheld);
}

/// Guards against DRAIN, HOME and CONFIG: an instance stood still while a connection was opened, and its request was sent
/// by rows of before that were too old.
#[rstest]
#[case::word_holds(Time::NEVER, false)]
#[case::word_is_over(Time::ZERO, true)]
#[tokio::test]
async fn request_is_withheld_if_the_last_word_is_over_once_it_is_dialed(
    #[case] until: Time,
    #[case] is_withheld: bool,
) {
    let clock = Clock::start();
    let (tx, _) = mpsc::unbounded_channel();
    let forwarder = Forwarder::new(Dialer::new(clock, tx));
    let allowed = watch::Sender::new(AllowedRegions::All);
    let sends_until = watch::Sender::new(until);
    let permit =
        SendPermit::new("north".into(), allowed.subscribe()).until(sends_until.subscribe());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let plan = direct_plan(&listener);
    let accept = async {
        let (mut far, _) = listener.accept().await.unwrap();
        let read = timeout(Duration::from_millis(200), far.read_u8()).await;
        matches!(read, Ok(Ok(_)))
    };
    let deadline = clock.now() + Duration::from_millis(400);
    let template = template();
    let send = forwarder.send_attempt(&plan, None, &template, &permit, deadline);
    let (result, is_sent) = tokio::join!(send, accept);
    assert_eq!(
        result.outcome == Outcome::Withheld,
        is_withheld,
        "{result:?}"
    );
    assert_eq!(is_sent, !is_withheld);
}

/// Guards against HOME, CONFIG and DRAIN: a request that had been handed to an open connection was written after its homes
/// had moved, or after the last report was over, by as much as an overloaded instance is late with its tasks.
#[rstest]
#[case::homes_stay(&["north"], Time::NEVER, false)]
#[case::homes_moved(&["south"], Time::NEVER, true)]
#[case::word_is_over(&["north"], Time::ZERO, true)]
#[tokio::test]
async fn request_is_withheld_if_its_homes_moved_before_its_first_byte(
    #[case] moved_to: &[&str],
    #[case] until: Time,
    #[case] is_withheld: bool,
) {
    let clock = Clock::start();
    let (tx, _) = mpsc::unbounded_channel();
    let forwarder = Forwarder::new(Dialer::new(clock, tx));
    let (allowed, in_force) = (
        watch::Sender::new(AllowedRegions::All),
        watch::Sender::new(1),
    );
    let (note, sends_until) = (SendNote::default(), watch::Sender::new(Time::NEVER));
    let permit = SendPermit::new("north".into(), allowed.subscribe())
        .noted(note.clone(), in_force.subscribe())
        .until(sends_until.subscribe());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let plan = direct_plan(&listener);
    let is_read = tokio::spawn(async move {
        let (mut far, _) = listener.accept().await.unwrap();
        let read = timeout(Duration::from_millis(200), far.read_u8()).await;
        matches!(read, Ok(Ok(_)))
    });
    let deadline = clock.now() + Duration::from_millis(400);
    let template = template();
    let mut send = pin!(forwarder.send_attempt(&plan, None, &template, &permit, deadline));
    // The only thread writes nothing before the attempt's turn is over.
    let result = poll_fn(|cx| {
        let polled = send.as_mut().poll(cx);
        if note.sent().is_some() {
            allowed.send_replace(AllowedRegions::only(&homes(moved_to)));
            sends_until.send_replace(until);
        }
        polled
    });
    let result = result.await;
    assert_eq!(
        result.outcome == Outcome::Withheld,
        is_withheld,
        "{result:?}"
    );
    assert_eq!(is_read.await.unwrap(), !is_withheld);
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
