//! Requests as their handlers carry them out, with drawn times instead of sockets.

use std::{net::SocketAddr, time::Duration};

use base::{TargetId, Time};
use dispatch::{Dial, Outcome, RequestId, RequestKind};
use entry::{
    forward::TargetFeedback,
    message::{Arrival, AttemptPlan, Decision, Event},
    permit::SendPermit,
    view::Clock,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{sleep, sleep_until},
};

use crate::world::KEY;

/// What became of one attempt.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) target: TargetId,
    pub(crate) addr: SocketAddr,
    /// Number of the attempt, counted from one.
    pub(crate) number: u32,
    pub(crate) planned_at: Time,
    /// When it was sent; `None` if it was withheld or no connection could be opened.
    pub(crate) sent_at: Option<Time>,
    pub(crate) is_withheld: bool,
    pub(crate) is_hedge: bool,
}

/// Passes to requests what they need to run.
#[derive(Debug, Clone)]
pub(crate) struct Caller {
    pub(crate) clock: Clock,
    pub(crate) events: mpsc::UnboundedSender<Event>,
    pub(crate) reports: mpsc::UnboundedSender<Report>,
}

impl Caller {
    /// Sends one request: its body may take long to arrive, and its caller may leave early.
    pub(crate) async fn request(self, id: u64) {
        let mut rng = Pcg32::seed_from_u64(id);
        let (tx, mut rx) = mpsc::unbounded_channel();
        let id = RequestId(id);
        let arrival = Arrival {
            id,
            api_key: Some(KEY.to_owned()),
            service: "board".into(),
            path: "/x".to_owned(),
            host: "h".to_owned(),
            full_path: "/board/x".to_owned(),
            affinity: rng.random::<bool>().then(|| rng.random_range(0..20)),
            kind: RequestKind::Idempotent,
            fingerprint: id.0,
            timeout: None,
            awaits_dispatch: true,
            tx,
        };
        let _ = self.events.send(Event::RequestArrived(arrival));
        let left_at = self.clock.now()
            + if rng.random_range(0..10) == 0 {
                draw(&mut rng, 0..2_000)
            } else {
                Duration::from_secs(10)
            };
        let mut attempts = JoinSet::new();
        let mut open: Vec<u32> = Vec::new();
        let mut hedge_at = Time::NEVER;
        let mut body_at = Time::NEVER;
        loop {
            let next = hedge_at.min(body_at).min(left_at);
            tokio::select! {
                biased;
                decision = rx.recv() => match decision {
                    Some(Decision::Admitted(_)) => {
                        let wait = if rng.random() { Duration::ZERO } else { draw(&mut rng, 0..1_500) };
                        body_at = self.clock.now() + wait;
                    }
                    Some(Decision::SendAttempt(plan)) => {
                        let number = plan.assignment.attempt;
                        if number == 1 {
                            hedge_at = self.clock.now() + plan.assignment.hedge_delay;
                        }
                        let is_hedge = !open.is_empty();
                        open.push(number);
                        let seed = rng.random();
                        attempts.spawn(self.clone().attempt(*plan, is_hedge, seed));
                    }
                    Some(Decision::Refuse(_)) | None => return,
                    Some(_) => {}
                },
                Some(ended) = attempts.join_next() => {
                    let (number, outcome, feedback) = ended.unwrap();
                    open.retain(|one| *one != number);
                    self.end(id, number, outcome, feedback);
                    if matches!(outcome, Outcome::Answered(_)) {
                        open.into_iter().for_each(|twin| self.cancel(id, twin));
                        return;
                    }
                }
                () = sleep_until(self.clock.instant(next)) => {
                    if next == left_at {
                        open.into_iter().for_each(|one| self.cancel(id, one));
                        let _ = self.events.send(Event::Cancel(id));
                        return;
                    }
                    let event = if next == body_at {
                        body_at = Time::NEVER;
                        Event::Dispatch { id, fingerprint: id.0 }
                    } else {
                        hedge_at = Time::NEVER;
                        Event::HedgeDelayElapsed(id)
                    };
                    let _ = self.events.send(event);
                }
            }
        }
    }

    /// Opens a connection, directly or through others, and sends the request if it may be sent by then.
    async fn attempt(
        self,
        plan: AttemptPlan,
        is_hedge: bool,
        seed: u64,
    ) -> (u32, Outcome, TargetFeedback) {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut report = Report {
            target: plan.assignment.target,
            addr: plan.addr,
            number: plan.assignment.attempt,
            planned_at: self.clock.now(),
            sent_at: None,
            is_withheld: false,
            is_hedge,
        };
        let number = report.number;
        let relay = plan.relays.first().filter(|_| rng.random());
        // Three instances may be asked one after the other.
        let longest = if relay.is_some() { 2_900 } else { 500 };
        if rng.random() {
            sleep(draw(&mut rng, 0..longest)).await;
        }
        let mut feedback = TargetFeedback {
            dial: Dial::direct(relay.is_none()),
            ..TargetFeedback::default()
        };
        if relay.is_some() {
            feedback.dial = feedback.dial.relayed(true);
        }
        if rng.random_range(0..12) == 0 {
            let _ = self.reports.send(report);
            feedback.dial = Dial::direct(false);
            return (number, Outcome::Unreachable, feedback);
        }
        let permit = SendPermit::new(plan.assignment.region, plan.allowed_regions);
        if !permit.covers(relay) {
            report.is_withheld = true;
            let _ = self.reports.send(report);
            return (number, Outcome::Withheld, feedback);
        }
        report.sent_at = Some(self.clock.now());
        let _ = self.reports.send(report);
        let latency = draw(&mut rng, 5..1_400);
        sleep(latency).await;
        let outcome = match rng.random_range(0..10) {
            0 | 1 => Outcome::Refused,
            2 => Outcome::Lost,
            _ => Outcome::Answered(latency),
        };
        feedback.is_leaving = rng.random_range(0..40) == 0;
        feedback.rest = (rng.random_range(0..40) == 0).then(|| draw(&mut rng, 0..500));
        (number, outcome, feedback)
    }

    fn cancel(&self, id: RequestId, attempt: u32) {
        self.end(id, attempt, Outcome::Canceled, TargetFeedback::default());
    }

    fn end(&self, id: RequestId, attempt: u32, outcome: Outcome, feedback: TargetFeedback) {
        let _ = self.events.send(Event::AttemptEnded {
            id,
            attempt,
            outcome,
            response_bytes: None,
            connection: None,
            feedback,
        });
    }
}

/// Draws a time, in milliseconds.
fn draw(rng: &mut Pcg32, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}
