//! How late this process is with what it reads.

use std::time::Duration;

use coord::TurnLag;
use tokio::{sync::watch, time::sleep_until};

use crate::{metrics::Metrics, view::Clock};

/// Tells how long what is read now has waited for this process at most, by the turns of [`measure`].
///
/// Without a measurement nothing is late.
#[derive(Debug, Clone)]
pub struct LagMeter {
    clock: Clock,
    turns: watch::Receiver<TurnLag>,
}

impl LagMeter {
    /// Returns a meter that goes by measured turns.
    pub fn new(clock: Clock, turns: watch::Receiver<TurnLag>) -> Self {
        Self { clock, turns }
    }

    /// Returns a meter by which nothing is late.
    pub fn unmeasured(clock: Clock) -> Self {
        let (_, turns) = watch::channel(TurnLag::default());
        Self { clock, turns }
    }

    /// Returns how long what the calling task has just read has waited.
    pub fn of_read(&self) -> Duration {
        self.turns.borrow().of_read(self.clock.now())
    }

    /// Returns how long what the calling task has just got from the task that read it has waited.
    pub fn of_handed_on(&self) -> Duration {
        self.turns.borrow().of_handed_on(self.clock.now())
    }
}

/// Records the turns of this task until nobody goes by them.
pub async fn measure(clock: Clock, metrics: Metrics, turns: watch::Sender<TurnLag>) {
    let late_seconds = metrics.late_seconds.with_label_values(&["runtime"]);
    while !turns.is_closed() {
        let mut due = clock.now();
        turns.send_modify(|turns| {
            due = turns.on_turn(clock.now());
            late_seconds.observe(turns.of_turn().as_secs_f64());
        });
        sleep_until(clock.instant(due)).await;
    }
}
