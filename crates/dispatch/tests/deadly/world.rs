//! A fleet of instances, targets and callers in virtual time, which knows what crashed each target.

mod instances;
mod targets;

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceId, TargetId, Time};
use dispatch::{Dispatcher, LossReport, Placement, Policy, QuarantineReport, RequestId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::plan::Plan;

const RUN_MS: u64 = 200_000;
const TICK_MS: u64 = 50;
const ROUND_TRIP_MS: u64 = 2;
/// Maximum time in which a message between instances arrives.
const MAX_WAY_MS: u64 = 60;
const SERVICE: &str = "s";
/// Time for which an instance that starts again takes no requests.
const RESTART_MS: u64 = 300;
/// Pages that many callers ask for.
const PAGES: u64 = 4;
const FIRST_PAGE: u64 = 1_000;

/// What a played plan showed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    /// Crashes caused by deadly requests.
    pub(crate) crashes: usize,
    /// Runs of the worst deadly request that were too late.
    pub(crate) late_runs: usize,
    /// Times of these, in milliseconds, with the instance that sent each.
    late: Vec<(u64, usize)>,
    pub(crate) innocent: usize,
    /// Ordinary requests that were turned away as quarantined.
    pub(crate) wronged: usize,
    /// Longest time from the first to the last time that one of them was.
    pub(crate) wronged_for: Duration,
}

#[derive(Debug)]
enum Event {
    Tick,
    Arrive {
        is_innocent: bool,
        visit: Visit,
    },
    Ordinary,
    Visit(u64),
    End {
        instance: usize,
        life: u64,
        id: u64,
        attempt: u32,
        end: End,
    },
    HedgeDue {
        instance: usize,
        life: u64,
        id: u64,
    },
    Crash {
        target: usize,
        incarnation: u64,
    },
    CrashAny,
    Release,
    TargetBack(usize),
    Register,
    Deliver {
        to: usize,
        sent_ms: u64,
        report: Report,
    },
    Restart(usize),
    Cut,
}

#[derive(Debug, Clone, Copy)]
enum End {
    Answered(u64),
    Unreachable,
}

/// What instances report to each other.
#[derive(Debug, Clone)]
enum Report {
    Loss(LossReport),
    Quarantine(QuarantineReport),
}

/// A request as its caller sends it, perhaps again.
#[derive(Debug, Clone, Copy)]
struct Visit {
    fingerprint: u64,
    is_once: bool,
    retries_left: u32,
}

#[derive(Debug)]
struct Instance {
    dispatcher: Dispatcher,
    /// Rises with each start.
    life: u64,
    is_up: bool,
    /// Time of the last start or cut.
    disturbed_ms: Option<u64>,
    requests: BTreeMap<u64, Visit>,
}

#[derive(Debug, Clone)]
struct TargetState {
    incarnation: u64,
    is_up: bool,
}

/// An attempt that runs on a target.
#[derive(Debug, Clone, Copy)]
struct Running {
    instance: usize,
    life: u64,
    id: u64,
    attempt: u32,
    target: usize,
}

struct World<'a> {
    plan: &'a Plan,
    rng: Pcg32,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    instances: Vec<Instance>,
    targets: Vec<TargetState>,
    running: Vec<Running>,
    next_id: u64,
    contact_ms: u64,
    /// Times at which each deadly request crashed a target.
    crashed_ms: BTreeMap<u64, Vec<u64>>,
    /// Time at which each ordinary request was first turned away as quarantined.
    wronged_ms: BTreeMap<u64, u64>,
    /// Runs of each deadly request: their times and whether the sender was in touch.
    runs: BTreeMap<u64, Vec<(u64, usize, bool)>>,
    outcome: Outcome,
}

/// Plays a plan to its end.
pub(crate) fn play(seed: u64, plan: &Plan, contact: Duration) -> Outcome {
    let mut world = World::new(seed, plan, contact);
    while let Some((&(at, sequence), _)) = world.events.first_key_value() {
        if at >= RUN_MS {
            break;
        }
        let event = world.events.remove(&(at, sequence));
        world.now_ms = at;
        if let Some(event) = event {
            world.handle(event);
        }
    }
    world.judge()
}

fn target_id(idx: usize) -> TargetId {
    format!("t{idx}").as_str().into()
}

fn instance_id(idx: usize) -> InstanceId {
    format!("i{idx}").as_str().into()
}

fn dispatcher(instances: usize, seed: u64, is_older: bool) -> Dispatcher {
    let policy = Policy {
        placement: Placement::ObjectAffinity,
        retry_fraction: 0.12,
        retry_cap: 36.0 / instances as f64,
        max_refusals: 4,
        max_losses: if is_older { u32::MAX } else { 3 },
        instance_count: instances as u32,
        instance_seed: seed,
        ..Policy::default()
    };
    Dispatcher::new("r".into(), seed, policy).unwrap()
}

impl<'a> World<'a> {
    fn new(seed: u64, plan: &'a Plan, contact: Duration) -> Self {
        let target = TargetState {
            incarnation: 1,
            is_up: true,
        };
        let instances = (0..plan.instances).map(|idx| Instance {
            dispatcher: dispatcher(plan.instances, seed * 100 + idx as u64, idx < plan.older),
            life: 0,
            is_up: true,
            disturbed_ms: None,
            requests: BTreeMap::new(),
        });
        let mut world = Self {
            plan,
            rng: Pcg32::seed_from_u64(seed),
            now_ms: 0,
            events: BTreeMap::new(),
            sequence: 0,
            instances: instances.collect(),
            targets: vec![target; plan.targets],
            running: Vec::new(),
            next_id: 0,
            contact_ms: contact.as_millis() as u64,
            crashed_ms: BTreeMap::new(),
            wronged_ms: BTreeMap::new(),
            runs: BTreeMap::new(),
            outcome: Outcome::default(),
        };
        world.register();
        world.begin();
        world
    }

    fn begin(&mut self) {
        self.push(0, Event::Tick);
        self.push(0, Event::Ordinary);
        for fingerprint in 1..=self.plan.deadly {
            self.push(2_000 * fingerprint, Event::Visit(fingerprint));
        }
        let gaps = [
            (self.plan.restart_gap_s, Event::Restart(0)),
            (self.plan.cut_gap_s, Event::Cut),
            (self.plan.crash_gap_s, Event::CrashAny),
            (self.plan.release_gap_s, Event::Release),
        ];
        for (gap_s, event) in gaps {
            if let Some(gap_s) = gap_s {
                self.push((gap_s * 1_000.0) as u64, event);
            }
        }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now_ms + after_ms, self.sequence), event);
    }

    /// Draws the time until the next event of a kind whose mean gap is given.
    fn gap_ms(&mut self, mean_s: f64) -> u64 {
        (self.rng.random_range(0.2..1.8) * mean_s * 1_000.0) as u64
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => {
                self.push(TICK_MS, Event::Tick);
                for idx in 0..self.instances.len() {
                    let now = self.now();
                    let actions = self.instances[idx].dispatcher.tick(now);
                    self.apply(idx, actions);
                }
            }
            Event::Ordinary => {
                let gap = self.gap_ms(1.0 / self.plan.rate);
                self.push(gap.max(1), Event::Ordinary);
                let visit = Visit {
                    fingerprint: self.ordinary_fingerprint(),
                    is_once: self.rng.random(),
                    retries_left: 1,
                };
                self.outcome.innocent += 1;
                self.push(
                    0,
                    Event::Arrive {
                        is_innocent: true,
                        visit,
                    },
                );
            }
            Event::Visit(fingerprint) => {
                let gap = self.gap_ms(self.plan.visit_gap_s);
                self.push(gap, Event::Visit(fingerprint));
                let visit = Visit {
                    fingerprint,
                    is_once: self.plan.is_once,
                    retries_left: self.plan.caller_retries,
                };
                self.push(
                    0,
                    Event::Arrive {
                        is_innocent: false,
                        visit,
                    },
                );
            }
            Event::Arrive { is_innocent, visit } => self.arrive(is_innocent, visit),
            Event::End {
                instance,
                life,
                id,
                attempt,
                end,
            } => {
                let running = self.running.len();
                self.running.retain(|one| {
                    (one.instance, one.life, one.id, one.attempt) != (instance, life, id, attempt)
                });
                let was_lost = matches!(end, End::Answered(_)) && running == self.running.len();
                if was_lost || self.instances[instance].life != life {
                    return;
                }
                let outcome = match end {
                    End::Answered(ms) => dispatch::Outcome::Answered(Duration::from_millis(ms)),
                    End::Unreachable => dispatch::Outcome::Unreachable,
                };
                self.finish(instance, id, attempt, outcome);
            }
            Event::HedgeDue { instance, life, id } => {
                if self.instances[instance].life != life {
                    return;
                }
                let now = self.now();
                let hedge = self.instances[instance]
                    .dispatcher
                    .hedge(now, RequestId(id));
                if let Some(assignment) = hedge {
                    self.send(instance, &assignment);
                }
            }
            Event::Crash {
                target,
                incarnation,
            } => {
                if self.targets[target].is_up && self.targets[target].incarnation == incarnation {
                    self.crash(target);
                }
            }
            Event::CrashAny => {
                let gap = self.plan.crash_gap_s.unwrap_or(1.0);
                let gap = self.gap_ms(gap);
                self.push(gap, Event::CrashAny);
                let target = self.rng.random_range(0..self.targets.len());
                if self.targets[target].is_up {
                    self.crash(target);
                }
            }
            Event::Release => {
                let gap = self.plan.release_gap_s.unwrap_or(1.0);
                let gap = self.gap_ms(gap);
                self.push(gap, Event::Release);
                let step = self.rng.random_range(1..400);
                for target in 0..self.targets.len() * 9 / 10 {
                    let incarnation = self.targets[target].incarnation;
                    let end = Event::Crash {
                        target,
                        incarnation,
                    };
                    self.push(step * target as u64, end);
                }
            }
            Event::TargetBack(target) => {
                self.targets[target].is_up = true;
                self.targets[target].incarnation += 1;
                let lag = self.rng.random_range(20..400);
                self.push(lag, Event::Register);
            }
            Event::Register => self.register(),
            Event::Deliver {
                to,
                sent_ms,
                report,
            } => self.deliver(to, sent_ms, report),
            Event::Restart(idx) => self.restart(idx),
            Event::Cut => {
                let gap = self.plan.cut_gap_s.unwrap_or(1.0);
                let gap = self.gap_ms(gap);
                self.push(gap, Event::Cut);
                let cut = self.rng.random_range(0..self.instances.len());
                let reach = self
                    .rng
                    .random_range(self.targets.len() / 2..=self.targets.len());
                self.instances[cut].disturbed_ms = Some(self.now_ms);
                self.lose(|one| one.instance == cut && one.target < reach);
            }
        }
    }

    /// Returns whether a request crashes the targets that begin to run it now.
    fn is_deadly(&self, fingerprint: u64) -> bool {
        let turns_deadly_s = self.plan.turns_deadly_s;
        let has_turned = turns_deadly_s.is_some_and(|at| self.now_ms >= at * 1_000);
        fingerprint <= self.plan.deadly || (has_turned && fingerprint == FIRST_PAGE)
    }

    fn ordinary_fingerprint(&mut self) -> u64 {
        if self.rng.random::<f64>() < self.plan.page_share {
            FIRST_PAGE + self.rng.random_range(0..PAGES)
        } else {
            self.next_id + 1_000_000
        }
    }

    fn judge(mut self) -> Outcome {
        for (fingerprint, runs) in &self.runs {
            let crashed = self.crashed_ms.get(fingerprint);
            let Some(&third) = crashed.and_then(|crashed| crashed.get(2)) else {
                continue;
            };
            let late: Vec<(u64, usize)> = runs
                .iter()
                .filter(|(_, instance, _)| *instance >= self.plan.older)
                .filter(|(at, _, is_in_touch)| *at > third + self.contact_ms && *is_in_touch)
                .map(|(at, instance, _)| (*at, *instance))
                .collect();
            if late.len() > self.outcome.late_runs {
                self.outcome.late_runs = late.len();
                self.outcome.late = late;
            }
        }
        self.outcome
    }
}
