//! Probes: reads that notice soon that the platform answers again.

use std::{sync::Arc, time::Duration};

use base::{InstanceId, Time};
use coord::rendezvous_draw;
use tokio::{sync::watch, time::Instant};

use super::{MIN_RETRY_DELAY, TableReader, open_polls::OpenPoll, timing::MAX_RETRY_DELAY};
use crate::fleet::{Fleet, HEARTBEAT_TIMEOUT};

/// Mean time between two probes of all instances.
const PROBE_SPACING: Duration = Duration::from_millis(10);
/// Least part of the time between two probes of an instance that passes before the next one; the rest is drawn, so that
/// instances whose reads failed together don't probe in step.
const LEAST_PART: f64 = 0.6;

/// Sets how often an instance asks for a table while the platform doesn't answer.
///
/// Entries of targets that expired in an outage are kept for a time from its end on, and those that are removed after it are
/// in no way different from them. So the end must be known more closely than the time that is left of the drain time. Where few
/// instances are alive, each one asks often; where there are many, it learns from heartbeats when the first one was answered.
#[derive(Debug)]
pub(crate) struct ProbePace {
    pub(crate) own: InstanceId,
    pub(crate) fleet: watch::Receiver<Arc<Fleet>>,
}

impl ProbePace {
    /// Returns the time until the next probe, drawn by the number of the poll that is sent next.
    fn delay(&self, number: u64) -> Duration {
        let count = self.fleet.borrow().members.len();
        let mean = PROBE_SPACING * count.try_into().unwrap_or(u32::MAX);
        let drawn = rendezvous_draw(&number.to_string(), &self.own) as f64 / u64::MAX as f64;
        let part = LEAST_PART + (1.0 - LEAST_PART) * drawn;
        mean.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY).mul_f64(part)
    }
}

impl TableReader {
    /// Returns the time from a read that has failed, or isn't answered, to the next one, if this table is probed. An instance
    /// that has just started doesn't probe, since it doesn't know yet how many others there are.
    pub(super) fn probe_delay(&self) -> Option<Duration> {
        let knows_others = self.options.clock.now() >= Time::ZERO + HEARTBEAT_TIMEOUT;
        let pace = self.options.probes.as_ref().filter(|_| knows_others)?;
        Some(pace.delay(self.next_number))
    }

    /// Returns when the next probe is to be sent: the newest poll was to be answered at once, over a new connection.
    pub(super) fn next_probe_at(&self) -> Option<Instant> {
        let newest = self.open.back()?;
        let is_probed = newest.after.is_some()
            && newest.wait.is_zero()
            && !newest.is_on_kept_connection
            && !self.open.iter().any(OpenPoll::is_arriving);
        Some(newest.sent + self.probe_delay()?).filter(|_| is_probed)
    }

    /// Returns whether a probe is to be sent now.
    pub(super) fn is_probe_due(&self) -> bool {
        let next_at = self.next_probe_at();
        next_at.is_some_and(|at| at <= Instant::now())
    }

    /// Sends a poll that is answered at once in addition to the one whose answer is waited for. It is given up once it has
    /// waited for as long as that one.
    pub(super) fn send_probe(&mut self) {
        self.send_waiting_poll(self.options.clock.now(), Duration::ZERO);
        let max_age = self.options.timing.first_answer_time();
        let now = Instant::now();
        self.open.on_probe(now.checked_sub(max_age).unwrap_or(now));
    }
}
