//! Nothing is sent to a target that has left by the configuration in force, however long it waited.

mod caller;
#[path = "../support/fresh.rs"]
mod fresh;
mod world;

use std::{sync::Arc, time::Duration};

use base::{Config, Time};
use coord::{QuotaSplit, SlotHistory};
use dispatch::{Dial, HealthReport, Placement, Policy};
use entry::{
    dial::Dialer,
    engine::{Engine, EngineOptions},
    message::{ConfigLag, Event, LiveInstance},
    view::Clock,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until},
};

use caller::{Caller, Report};
use fresh::fresh;
use world::{History, World, id_of};

const SEEDS: u64 = 300;
const STEPS: u64 = 120;
const STEP: Duration = Duration::from_millis(50);
/// Time after which nothing may be sent to a target that has left.
const SLACK: Duration = Duration::from_millis(100);

/// How the engine is informed of a configuration.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// As a whole, whatever has changed.
    Whole,
    /// By the targets that have left, where nothing else has changed.
    ByDepartures,
}

impl Way {
    /// Returns what the engine is informed of `config`, which follows `before`.
    fn event(self, before: Option<&Config>, config: &Arc<Config>) -> Event {
        let whole = Event::ConfigActivated {
            config: config.clone(),
            version: None,
        };
        let (Self::ByDepartures, Some(before)) = (self, before) else {
            return whole;
        };
        if let Some(left) = config.departures_since(before) {
            return Event::EntriesLeft(config.clone(), left);
        }
        let mut others = before.clone();
        others.drains.targets.clone_from(&config.drains.targets);
        let drained = &config.drains.targets;
        if others == **config && drained.is_superset(&before.drains.targets) {
            let added = drained.difference(&before.drains.targets);
            return Event::TargetsLeft(added.cloned().collect());
        }
        whole
    }
}

/// What the schedules brought about, so that none of the ways to wait goes missing.
#[derive(Debug, Default)]
struct Seen {
    sent: usize,
    /// Sent over 0.5 s after they were planned.
    sent_late: usize,
    /// Sent again after another attempt.
    repeated: usize,
    hedged: usize,
    withheld: usize,
    /// Sent to a target that left within a second before or after.
    near_leaving: usize,
}

/// Starts an engine and returns the channel to it.
fn start(seed: u64, clock: Clock) -> mpsc::UnboundedSender<Event> {
    let (relays, _) = mpsc::unbounded_channel();
    let (outgoing, _) = mpsc::unbounded_channel();
    // Nothing is probed: no connection is opened here.
    let (unused, _) = mpsc::unbounded_channel::<Event>();
    let placements = [Placement::ObjectAffinity, Placement::TwoChoices];
    let options = EngineOptions {
        region: "north".into(),
        seed,
        split: QuotaSplit::default(),
        policy: Policy {
            placement: placements[seed as usize % 2],
            retry_fraction: 1.0,
            retry_cap: 1_000.0,
            ..Policy::default()
        },
        refuses_when_isolated: false,
    };
    let dialer = Dialer::new(clock, relays);
    let engine = Engine::new(dialer, options, outgoing, unused.downgrade()).unwrap();
    let (events, rx) = mpsc::unbounded_channel();
    tokio::spawn(engine.run(rx));
    events
}

/// Returns other instances that can carry connections.
fn instances() -> Event {
    let regions = ["north", "north", "south", "south"];
    let instances = regions.iter().zip(1..).map(|(region, port)| LiveInstance {
        id: format!("i{port}").as_str().into(),
        region: (*region).into(),
        relay_addr: Some(([127, 0, 0, 2], port).into()),
    });
    Event::LiveInstances {
        own_id: "i1".into(),
        instances: instances.collect(),
    }
}

/// Draws an event other than a configuration that reports a target's state or the engine's own lag.
fn beside(rng: &mut Pcg32, now: Time) -> Option<Event> {
    let target = id_of(rng.random_range(0..6));
    match rng.random_range(0..8) {
        0 => {
            let report = HealthReport {
                in_flight: 0,
                is_leaving: rng.random_range(0..4) == 0,
            };
            Some(Event::TargetHealth("board".into(), target, Some(report)))
        }
        1 => Some(Event::ProbeEnded {
            target,
            connection: None,
            dial: Dial::direct(true),
        }),
        2 => Some(Event::ConfigBehind(ConfigLag {
            outdated_from: (rng.random_range(0..3) == 0).then_some(now),
            retry_after: STEP,
        })),
        3 => Some(Event::ConfigBehind(ConfigLag {
            outdated_from: None,
            retry_after: STEP,
        })),
        _ => None,
    }
}

/// Plays one schedule and returns its reports with the configurations in force.
async fn play(seed: u64, way: Way) -> (History, Vec<Report>) {
    let clock = Clock::start();
    let events = start(seed, clock);
    let (reports, mut rx) = mpsc::unbounded_channel();
    let caller = Caller {
        clock,
        events: events.clone(),
        reports,
    };
    let mut rng = Pcg32::seed_from_u64(seed);
    let mut world = World::new(seed);
    let mut history = History::default();
    let mut before: Option<Arc<Config>> = None;
    let _ = events.send(Event::HoldQuotaSlot {
        slot: 0,
        until: Time::NEVER,
        previous_holder: SlotHistory::NeverHeld,
    });
    let _ = events.send(instances());
    let started = Instant::now();
    for step in 0..STEPS {
        sleep_until(started + STEP * step as u32).await;
        let now = clock.now();
        if step == 0 || world.change() {
            let config = Arc::new(world.config());
            let _ = events.send(way.event(before.as_deref(), &config));
            history.push(now, config.clone());
            before = Some(config);
        }
        let _ = events.send(fresh(None));
        if let Some(event) = beside(&mut rng, now) {
            let _ = events.send(event);
        }
        for nth in 0..rng.random_range(0..8) {
            let id = (seed * STEPS + step) * 8 + nth;
            tokio::spawn(caller.clone().request(id));
        }
    }
    drop((caller, events));
    let mut all = Vec::new();
    while let Some(report) = rx.recv().await {
        all.push(report);
    }
    (history, all)
}

/// Guards against DRAIN and EVAC: a request that had waited for its body, a slot, a connection, a turn or
/// another attempt reached a target that had left by then.
#[tokio::test(start_paused = true)]
async fn requests_to_targets_that_left_are_not_sent_in_drawn_schedules() {
    check(Way::Whole).await;
}

/// Guards against DRAIN: the same where the engine is informed of the targets that left instead of a configuration without
/// them.
#[tokio::test(start_paused = true)]
async fn requests_are_not_sent_to_targets_that_are_told_to_have_left() {
    check(Way::ByDepartures).await;
}

async fn check(way: Way) {
    let mut seen = Seen::default();
    let mut late: Vec<String> = Vec::new();
    for seed in 0..SEEDS {
        let (history, reports) = play(seed, way).await;
        for report in reports {
            seen.withheld += usize::from(report.is_withheld);
            let Some(at) = report.sent_at else {
                continue;
            };
            seen.sent += 1;
            seen.sent_late += usize::from(at - report.planned_at > Duration::from_millis(500));
            seen.repeated += usize::from(report.number > 1 && !report.is_hedge);
            seen.hedged += usize::from(report.is_hedge);
            let (target, addr) = (&report.target, report.addr);
            let soon = at + Duration::from_secs(1);
            let stays = history.was_in_service(soon, Duration::ZERO, target, addr);
            seen.near_leaving += usize::from(!stays);
            if !history.was_in_service(at, SLACK, target, addr) {
                late.push(format!("seed {seed}: {report:?}"));
            }
        }
    }
    assert!(
        late.is_empty(),
        "{} of {seen:?}: {:#?}",
        late.len(),
        &late[..late.len().min(3)]
    );
    let counts = [
        seen.sent_late,
        seen.repeated,
        seen.hedged,
        seen.withheld,
        seen.near_leaving,
    ];
    assert!(counts.iter().all(|count| *count > 500), "{seen:?}");
}
