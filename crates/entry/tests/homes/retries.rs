//! Requests whose first attempt ends after a change of the configuration.

use base::{ErrorKind, RouteKind};
use dispatch::Outcome;

use crate::{
    activate, config, engine, outcome,
    requests::{dispatch, end_attempt, submit},
    with_route,
};

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
