//! Measures what instances ask of their store as it is restored from an older copy, in virtual time with their own tasks and
//! a modelled store, and what they ask of it in calm.
//!
//! Arguments: numbers of instances separated by commas, size of the operators' document in bytes, and read and write calls
//! in a second that the store takes, separated by a comma (0 for no limit). What passes between instances but the report of an
//! era is left out: each instance reads for itself.

#[path = "../../tests/support/options.rs"]
mod options;
#[path = "../../tests/support/paused.rs"]
mod paused;

mod fleet;
mod store;

use std::{collections::BTreeMap, env, ops::Range, time::Duration};

use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::{
    fleet::{InForce, Instance},
    paused::run_paused,
    store::{Asked, Copy, DOCUMENT, Kind, Limits, ModelStore},
};

const SECOND: Duration = Duration::from_secs(1);
/// Targets of the users' largest site with 8,400 routes.
const TARGETS: usize = 332;
/// Bytes of a target's entry.
const ENTRY_BYTES: usize = 200;
/// Document of 8,400 routes.
const DOCUMENT_BYTES: usize = 2_030_000;
/// Time over which the instances start.
const START_TIME: Duration = Duration::from_secs(20);
/// Time from their start to the measure: slots are held, and nothing else is under way.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const CALM_TIME: Duration = Duration::from_secs(20);
/// Actions without a home that the instances run before the return, and before the copy is made; time between two.
const ACTIONS: u64 = 1_000;
const ACTIONS_IN_COPY: u64 = 800;
const ACTION_INTERVAL: Duration = Duration::from_millis(10);
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Time from the return to the operator's next version, and until targets have written their entries again.
const WRITE_AFTER: Duration = Duration::from_millis(100);
const TARGETS_WITHIN: Duration = Duration::from_secs(1);
/// Share of the targets whose entries the copy lacks.
const LOST_SHARE: usize = 10;
const WATCH_TIME: Duration = Duration::from_secs(10);

/// How old the copy is.
#[derive(Debug, Clone, Copy)]
enum Age {
    /// Some seconds: it has the instances' rows, and lacks the last version of the document.
    Seconds,
    /// It lacks all that the instances have written.
    Everything,
}

fn main() {
    let given: Vec<String> = env::args().filter(|arg| !arg.starts_with("--")).collect();
    let numbers = |idx: usize, usual: &str| {
        let text = given.get(idx).map_or(usual, String::as_str).to_owned();
        let numbers = text.split(',').filter_map(|number| number.parse().ok());
        numbers.collect::<Vec<usize>>()
    };
    let document_bytes = numbers(2, "").first().copied().unwrap_or(DOCUMENT_BYTES);
    let limits = match numbers(3, "0,0")[..] {
        [reads, writes] if reads > 0 => Some(Limits { reads, writes }),
        _ => None,
    };
    println!(
        "| instances | copy | calm, a second: polls, other reads, writes, MB | first second: whole pages, polls, other reads, writes, MB | most in 0.1 s: reads, writes | in 10 s: whole pages, polls, other reads, writes, MB | writes in 10 s by table | refused | in force, ms: middle, last |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for count in numbers(1, "10,20,40,80") {
        for age in [Age::Seconds, Age::Everything] {
            let row = run_paused(play(count, age, document_bytes, limits));
            println!("{row}");
        }
    }
}

async fn play(count: usize, age: Age, document_bytes: usize, limits: Option<Limits>) -> String {
    let store = ModelStore::start(document_bytes, limits);
    let entry = "x".repeat(ENTRY_BYTES);
    store.put("op", DOCUMENT, "1");
    store.put("op", "evacuate/zone", "{}");
    for target in 0..TARGETS {
        store.put("servers", &target_name(target), &format!("1 {entry}"));
    }
    let empty = store.copy();
    let in_force = InForce::default();
    for idx in 0..count {
        store.list(fleet::listed(idx));
    }
    let instances = start_all(&store, count, &in_force).await;
    sleep(SETTLE_TIME).await;
    store.take_asked();
    sleep(CALM_TIME).await;
    let calm = Sums::of(&store.take_asked(), |_| true);
    run_actions(&instances, 0..ACTIONS_IN_COPY).await;
    let recent = store.copy();
    for target in (0..TARGETS).step_by(LOST_SHARE) {
        store.put("servers", &target_name(target), &format!("2 {entry}"));
    }
    store.put("op", DOCUMENT, "2");
    run_actions(&instances, ACTIONS_IN_COPY..ACTIONS).await;
    let copy: Copy = match age {
        Age::Seconds => recent,
        Age::Everything => empty,
    };
    store.drill(copy, AWAY_TIME).await;
    let back_at = Instant::now();
    store.take_asked();
    sleep(WRITE_AFTER).await;
    store.put("op", DOCUMENT, "3");
    let written_at = Instant::now();
    let lost: Vec<usize> = (0..TARGETS).step_by(LOST_SHARE).collect();
    for target in &lost {
        sleep(TARGETS_WITHIN / lost.len() as u32).await;
        store.put("servers", &target_name(*target), &format!("3 {entry}"));
    }
    sleep(WATCH_TIME - back_at.elapsed()).await;
    let asked = store.take_asked();
    let first = Sums::of(&asked, |one| one.at - back_at < SECOND);
    let all = Sums::of(&asked, |_| true);
    let mut took: Vec<u128> = {
        let in_force = in_force.lock().unwrap();
        let of_last = in_force.iter().filter(|((version, _), _)| *version == 3);
        of_last
            .map(|(_, at)| (*at - written_at).as_millis())
            .collect()
    };
    took.sort_unstable();
    assert_eq!(took.len(), count, "the last version is in force everywhere");
    let calm_s = CALM_TIME.as_secs_f64();
    format!(
        "| {count} | {age:?} | {} | {} | {} | {} | {} | {} | {}, {} |",
        calm.a_second(calm_s),
        first.text(),
        busiest(&asked),
        all.text(),
        all.writes_by_table(),
        all.refused,
        took[took.len() / 2],
        took[took.len() - 1],
    )
}

async fn start_all(store: &ModelStore, count: usize, in_force: &InForce) -> Vec<Instance> {
    let mut instances = Vec::new();
    for idx in 0..count {
        sleep(START_TIME / count as u32).await;
        instances.push(fleet::start(store, idx, count, in_force).await);
    }
    instances
}

/// Lets the instances run actions in turn, and waits until their outcomes are written.
async fn run_actions(instances: &[Instance], numbers: Range<u64>) {
    let mut running = JoinSet::new();
    for number in numbers {
        let instance = instances[number as usize % instances.len()].clone();
        running.spawn(async move { instance.run_action(number).await });
        sleep(ACTION_INTERVAL).await;
    }
    running.join_all().await;
}

fn target_name(target: usize) -> String {
    format!("i-{target:03}")
}

/// Numbers of calls by kind.
#[derive(Debug, Default)]
struct Sums {
    calls: BTreeMap<Kind, usize>,
    writes: BTreeMap<String, usize>,
    bytes: usize,
    refused: usize,
}

impl Sums {
    fn of<F>(asked: &[Asked], is_counted: F) -> Self
    where
        F: Fn(&Asked) -> bool,
    {
        let mut sums = Self::default();
        for one in asked.iter().filter(|one| is_counted(one)) {
            sums.bytes += one.bytes;
            sums.refused += usize::from(one.is_refused);
            // What has no table is an answer.
            if !one.table.is_empty() {
                *sums.calls.entry(one.kind).or_default() += 1;
            }
            if one.kind == Kind::Write {
                *sums.writes.entry(one.table.clone()).or_default() += 1;
            }
        }
        sums
    }

    fn count(&self, kind: Kind) -> usize {
        self.calls.get(&kind).copied().unwrap_or_default()
    }

    fn text(&self) -> String {
        let kinds = [Kind::Whole, Kind::Poll, Kind::Other, Kind::Write];
        let calls = kinds.map(|kind| self.count(kind).to_string());
        format!("{}, {:.1}", calls.join(", "), self.bytes as f64 / 1e6)
    }

    fn a_second(&self, seconds: f64) -> String {
        let kinds = [Kind::Poll, Kind::Other, Kind::Write];
        let calls = kinds.map(|kind| format!("{:.1}", self.count(kind) as f64 / seconds));
        format!(
            "{}, {:.2}",
            calls.join(", "),
            self.bytes as f64 / 1e6 / seconds
        )
    }

    fn writes_by_table(&self) -> String {
        let writes = self.writes.iter();
        let writes: Vec<_> = writes
            .map(|(table, count)| format!("{table} {count}"))
            .collect();
        writes.join(", ")
    }
}

/// Returns the highest numbers of reads and writes in a tenth of a second.
fn busiest(asked: &[Asked]) -> String {
    let most = |is_write: bool| {
        let calls = asked.iter().filter(|one| !one.table.is_empty());
        let calls = calls.filter(|one| (one.kind == Kind::Write) == is_write);
        let at: Vec<Instant> = calls.map(|one| one.at).collect();
        let in_window = |idx: usize| {
            let recent = at[..=idx].iter().rev();
            recent
                .take_while(|one| at[idx] - **one < SECOND / 10)
                .count()
        };
        (0..at.len()).map(in_window).max().unwrap_or_default()
    };
    format!("{}, {}", most(false), most(true))
}
