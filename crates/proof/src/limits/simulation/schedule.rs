//! What a run is to meet: requests as its demand asks for them, messages at intervals, faults.

use std::time::Duration;

use base::Time;
use rand::RngExt;
use rand_pcg::Pcg32;

use super::{Event, HEARTBEAT_INTERVAL, Run, TICK_INTERVAL};
use crate::limits::scenario::{Demand, Fault};

impl Run<'_> {
    /// Queues all requests, the first of what comes at intervals, and the faults.
    pub(super) fn schedule(&mut self) {
        let end = Time::ZERO + self.scenario.length;
        let (share, size) = self.scenario.batches;
        let per_s = self.scenario.quota.rate * self.scenario.load;
        let mut id = 0;
        for (rate, batch) in [
            (per_s * (1.0 - share), 1),
            (per_s * share / f64::from(size), size),
        ] {
            if rate <= 0.0 {
                continue;
            }
            let mut at = Time::ZERO;
            loop {
                at = at + draw_interval(&mut self.rng, rate);
                if at >= end {
                    break;
                }
                let instance = self.pick_instance(at);
                for _ in 0..batch {
                    id += 1;
                    self.push(at, Event::RequestArrives(instance, id));
                }
            }
        }
        for idx in 0..self.instances.len() {
            self.push(Time::ZERO + TICK_INTERVAL, Event::Tick(idx));
            let offset = HEARTBEAT_INTERVAL * u32::try_from(idx).unwrap_or(0) / 16;
            self.push(Time::ZERO + offset, Event::SendLoan(idx));
        }
        self.push(Time::ZERO, Event::SendHeartbeats);
        for fault in self.scenario.faults.clone() {
            match fault {
                Fault::OwnerLost(at, takeover_delay) => {
                    self.push(Time::ZERO + at, Event::OwnerFails);
                    if let Some(delay) = takeover_delay {
                        self.push(Time::ZERO + at + delay, Event::SuccessorTakesOver);
                    }
                }
                Fault::Replaced(idx, at) => self.push(Time::ZERO + at, Event::Replace(idx)),
                Fault::Paused(..) | Fault::Disconnected(..) | Fault::MessageLoss(_) => {}
            }
        }
    }

    fn pick_instance(&mut self, at: Time) -> usize {
        let count = self.instances.len();
        let (hot, share) = match self.scenario.demand {
            Demand::Even => return self.rng.random_range(0..count),
            Demand::Hot(share) => (0, share),
            Demand::Rotating(share, secs) => {
                let period = at.as_micros() / 1_000_000 / secs.max(1);
                ((period as usize * 7) % count, share)
            }
        };
        if count == 1 || self.rng.random::<f64>() < share {
            return hot;
        }
        (hot + self.rng.random_range(1..count)) % count
    }
}

/// Draws an exponentially distributed time between two events of this rate per second.
fn draw_interval(rng: &mut Pcg32, rate: f64) -> Duration {
    let draw: f64 = rng.random();
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}
