//! The turns of a process that reads late, as its meter records them.

use std::time::Duration;

use coord::TurnLag;
use entry::{lag::LagMeter, view::Clock};
use tokio::{sync::watch, time::sleep};

/// Tasks that what the store sends passes: the connection's and the read's.
const TASKS: u32 = 2;

/// Returns the meter of a process in which each of the [`TASKS`] waits for its turn, so that answers are read late by
/// `read_late`.
pub(crate) fn meter(clock: Clock, read_late: Duration) -> LagMeter {
    let (tx, turns) = watch::channel(TurnLag::default());
    tokio::spawn(async move {
        while !tx.is_closed() {
            let mut due = clock.now();
            tx.send_modify(|turns| due = turns.on_turn(clock.now()));
            sleep(due - clock.now() + read_late / TASKS).await;
        }
    });
    LagMeter::new(clock, turns)
}
