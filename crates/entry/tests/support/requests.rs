//! Requests that the tests submit to an engine.

use base::{Config, Key, KeyDigest};
use dispatch::{Outcome, RequestId, RequestKind};
use entry::{
    engine::Engine,
    message::{Arrival, Decision, Event},
};
use tokio::sync::mpsc;

/// Key with which the requests come.
const KEY: &str = "key";

/// Adds the requests' key, `k`, of the workspace `gym`.
pub(crate) fn issue_key(config: &mut Config) {
    let key = Key {
        workspace: "gym".into(),
        digest: KeyDigest::of(KEY),
    };
    config.keys.insert("k".into(), key);
}

/// Submits a request whose body hasn't arrived yet, and returns the channel of its decisions.
pub(crate) fn submit(engine: &mut Engine, id: u64) -> mpsc::UnboundedReceiver<Decision> {
    let (arrival, rx) = arrival(id);
    engine.handle(arrival);
    rx
}

/// Returns the arrival of a request whose body hasn't arrived yet, and the channel of its decisions.
pub(crate) fn arrival(id: u64) -> (Event, mpsc::UnboundedReceiver<Decision>) {
    let (tx, rx) = mpsc::unbounded_channel();
    let arrival = Event::RequestArrived(Arrival {
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
    });
    (arrival, rx)
}

/// Releases a request after its body has arrived.
pub(crate) fn dispatch(engine: &mut Engine, id: u64) {
    engine.handle(Event::Dispatch {
        id: RequestId(id),
        fingerprint: id,
    });
}

/// Ends the first attempt of the first request.
pub(crate) fn end_attempt(engine: &mut Engine, outcome: Outcome) {
    engine.handle(Event::AttemptEnded {
        id: RequestId(1),
        attempt: 1,
        outcome,
        response_bytes: None,
        connection: None,
        feedback: Default::default(),
    });
}
