//! A version that follows another one while that is still arriving, at an instance that learns of it from nobody else.

use std::{ops::Range, sync::Arc, time::Duration};

use entry::view::Clock;
use platform::{Call, Platform};
use rstest::rstest;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    is_refused,
    model::{Decided, Node, OPERATOR_TABLE, RUN_TIME, Scenario, SideCalls, run, store},
    paused::run_paused,
    transfer::Transfer,
};

const FIRST_AT: Duration = Duration::from_secs(5);

/// Returns two versions that follow each other after a gap and take as long to arrive, and when the second one was
/// acknowledged.
fn following(transfer_ms: u64, gap_ms: u64) -> (Scenario, Duration) {
    let second_at = FIRST_AT + Duration::from_millis(gap_ms);
    let transfer = Transfer::Takes(Duration::from_millis(transfer_ms));
    let scenario = Scenario {
        apply: Duration::from_secs(3),
        changes: vec![FIRST_AT, second_at],
        transfers: vec![transfer; 2],
        reporters: Vec::new(),
        ..Scenario::calm()
    };
    (scenario, second_at)
}

/// Returns a version and others that follow it after gaps, which all take as long to arrive.
fn series(transfer_ms: u64, gaps_ms: &[u64]) -> Scenario {
    let (mut scenario, _) = following(transfer_ms, 0);
    let following = gaps_ms
        .iter()
        .map(|ms| FIRST_AT + Duration::from_millis(*ms));
    scenario.changes = [FIRST_AT].into_iter().chain(following).collect();
    scenario.transfers = vec![scenario.transfers[0]; 1 + gaps_ms.len()];
    scenario
}

/// Returns these versions, and what becomes of requests.
fn follow(transfer_ms: u64, gap_ms: u64) -> (Scenario, Duration, Vec<Decided>) {
    let (scenario, second_at) = following(transfer_ms, gap_ms);
    let decided = run(&scenario);
    (scenario, second_at, decided)
}

/// Returns how long after the acknowledgement of the version that had to be in force requests ran by an older one.
fn late_runs(scenario: &Scenario) -> Vec<(usize, Duration)> {
    let decided = run(scenario).into_iter();
    let late = decided.filter_map(|one| {
        let required = scenario.required_version(one.at);
        let used = *one.outcome.as_ref().ok()?;
        (used < required).then(|| (required, one.at - scenario.changes[required - 1]))
    });
    late.collect()
}

/// Returns the times since the last acknowledgement at which requests were refused although no version that was lacking
/// had been acknowledged for half of `configApplyS`.
fn early_refusals(scenario: &Scenario) -> Vec<Duration> {
    let decided = run(scenario).into_iter();
    let early = decided.filter(|one| {
        let known = one.at.saturating_sub(scenario.apply / 2);
        is_refused(one) && one.in_force >= scenario.version_at(known)
    });
    early.map(|one| one.at - FIRST_AT).collect()
}

/// Guards against CONFIG: a version that followed between the answer that was arriving and the small call during it had
/// no date, although the poll after that answer brought it.
#[rstest]
fn version_just_after_an_answer_decides_in_time(
    #[values(1_200, 1_800, 2_200, 2_600)] transfer_ms: u64,
    #[values(20, 30, 60, 90, 110, 120, 150, 250)] gap_ms: u64,
    #[values(10, 100, 400)] side_ms: u64,
) {
    let (mut scenario, _) = following(transfer_ms, gap_ms);
    scenario.side_calls = SideCalls::Take(Duration::from_millis(side_ms));
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against CONFIG: of several versions behind one transfer, the first one's date counts, and the next transfer has
/// reads of its own during it. One just after an answer counts too, and rows of other tables that change all the time make
/// nothing be refused that early.
#[rstest]
#[case::two(2_200, &[500, 1_500])]
#[case::two_soon(2_200, &[300, 400])]
#[case::one_behind_each(2_200, &[500, 3_000])]
#[case::four(1_800, &[300, 900, 1_700, 2_500])]
#[case::soon_before_a_later_one(2_200, &[30, 500])]
#[case::soon_before_a_late_one(2_200, &[30, 1_500])]
fn versions_beside_transfers_decide_in_time(
    #[case] transfer_ms: u64,
    #[case] gaps_ms: &[u64],
    #[values(None, Some(20))] others_ms: Option<u64>,
) {
    let mut scenario = series(transfer_ms, gaps_ms);
    scenario.others_change_each = others_ms.map(Duration::from_millis);
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against CONFIG: a version whose transfer breaks off on a connection that was kept is dated by the one that failed,
/// not by the next, also where no call during it is answered.
#[rstest]
#[case::soon(1_000)]
#[case::late(2_000)]
fn version_whose_transfer_breaks_off_decides_in_time(#[case] broken_ms: u64) {
    let mut scenario = series(2_400, &[]);
    scenario.side_calls = SideCalls::Refused;
    let broken = Transfer::BreaksOff(Duration::from_millis(broken_ms));
    scenario.transfers.insert(0, broken);
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against CONFIG: a version had no date where a call during the transfer, or the prompt read after it, failed once, or
/// where that read failed permanently.
#[rstest]
#[case::small_call_refused(2_200, 500, SideCalls::Refused, 1)]
#[case::small_call_lost(2_200, 500, SideCalls::Lost, 1)]
#[case::small_call_lost_before(2_600, 1_500, SideCalls::Lost, 1)]
#[case::poll_refused(2_200, 500, SideCalls::PollsRefused, 1)]
#[case::poll_gone(2_200, 500, SideCalls::PollsGone, 1)]
#[case::check_refused(2_200, 30, SideCalls::PollsRefused, usize::MAX)]
#[case::check_lost(2_200, 30, SideCalls::PollsLost, usize::MAX)]
fn version_beside_a_transfer_decides_in_time_though_calls_fail(
    #[case] transfer_ms: u64,
    #[case] gap_ms: u64,
    #[case] side_calls: SideCalls,
    #[case] max_failures: usize,
) {
    let (mut scenario, _) = following(transfer_ms, gap_ms);
    scenario.side_calls = side_calls;
    scenario.max_failures = max_failures;
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against refusals for nothing: a change of another table just after an answer isn't taken for an earlier date of
/// a version that comes as the transfer ends or after it.
#[rstest]
fn change_of_another_table_dates_no_version(
    #[values(1_200, 2_200, 2_600)] transfer_ms: u64,
    #[values(5, 20, 50, 110, 500, 2_500)] after_ms: u64,
    #[values(10, 400)] side_ms: u64,
) {
    let (mut scenario, _) = following(transfer_ms, transfer_ms + after_ms);
    scenario.others_start = Some(FIRST_AT + Duration::from_millis(50));
    scenario.side_calls = SideCalls::Take(Duration::from_millis(side_ms));
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against CONFIG: the first version comes by a whole read, since the store has dropped its history.
#[rstest]
#[case::long(1_800, 500)]
#[case::longest(2_200, 500)]
#[case::longest_late(2_200, 1_200)]
fn version_beside_a_whole_read_decides_in_time(#[case] transfer_ms: u64, #[case] gap_ms: u64) {
    let (mut scenario, _) = following(transfer_ms, gap_ms);
    scenario.dropped_to = 1;
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against failed reads during a transfer that count as failed reads of the store, or as updates: each version comes
/// as early as it does where they are answered, and nothing is refused early.
#[rstest]
fn failed_reads_beside_a_transfer_have_no_effect(
    #[values(SideCalls::Refused, SideCalls::Lost, SideCalls::PollsLost)] side_calls: SideCalls,
    #[values(30, 500, 1_200, 2_150)] gap_ms: u64,
) {
    let in_force = |side_calls| {
        let (mut scenario, _) = following(2_200, gap_ms);
        scenario.side_calls = side_calls;
        assert_eq!(early_refusals(&scenario), []);
        let decided = run(&scenario);
        let versions = [1, 2].map(|version| {
            let first = decided.iter().find(|one| one.in_force >= version);
            first.map(|one| one.at)
        });
        assert!(versions.iter().all(Option::is_some), "{versions:?}");
        versions
    };
    assert_eq!(in_force(side_calls), in_force(SideCalls::QUICK));
}

/// Guards against CONFIG: a version that followed while the one before it arrived was dated by the poll after that, and so
/// the older one decided later than `configApplyS` after the acknowledgement.
#[rstest]
#[case::short(1_200, 500)]
#[case::longer(1_500, 500)]
#[case::long(1_800, 500)]
#[case::longest(2_200, 500)]
#[case::longest_soon(2_200, 100)]
#[case::longest_late(2_200, 1_200)]
#[case::longest_at_its_end(2_200, 2_000)]
fn version_beside_a_transfer_decides_in_time(#[case] transfer_ms: u64, #[case] gap_ms: u64) {
    let (scenario, second_at, decided) = follow(transfer_ms, gap_ms);
    let bound = second_at + scenario.apply;
    let late = decided.iter().filter(|one| one.at > bound);
    let late = late.filter(|one| one.outcome.as_ref().is_ok_and(|version| *version < 2));
    let late: Vec<Duration> = late.map(|one| one.at - second_at).collect();
    let span = late.first().zip(late.last());
    assert!(late.is_empty(), "{} late: {span:?}", late.len());
}

/// Guards against HOME and CONFIG: an overloaded instance dates an answer by when it reads its first bytes, and so the older
/// version decides for longer by as much as it is late.
#[rstest]
fn version_that_is_read_late_decides_in_time(
    #[values(100, 2_000, 2_600)] transfer_ms: u64,
    #[values(0, 300, 700, 1_000)] late_ms: u64,
) {
    let (mut scenario, _) = following(transfer_ms, 0);
    scenario.apply = Scenario::calm().apply;
    scenario.changes.truncate(1);
    scenario.read_late = Duration::from_millis(late_ms);
    assert_eq!(late_runs(&scenario), []);
    assert_eq!(early_refusals(&scenario), []);
}

/// Guards against refusals for nothing: an instance that knows of no date of a version takes it for older than it is.
#[rstest]
#[case::short(1_200, 500)]
#[case::long(1_800, 500)]
#[case::long_at_its_end(1_800, 1_750)]
#[case::longest(2_200, 500)]
#[case::longest_late(2_200, 1_200)]
#[case::longest_at_its_end(2_200, 2_150)]
fn version_beside_a_transfer_is_not_refused_early(#[case] transfer_ms: u64, #[case] gap_ms: u64) {
    let (scenario, second_at, decided) = follow(transfer_ms, gap_ms);
    let refused = decided.iter().filter(|one| is_refused(one));
    let early = refused.filter(|one| one.at < second_at + scenario.apply / 2);
    let early: Vec<Duration> = early.map(|one| one.at - FIRST_AT).collect();
    let span = early.first().zip(early.last());
    assert!(early.is_empty(), "{} early: {span:?}", early.len());
}

/// Guards against refusals for nothing: half of the time in which the small call's connection opened was taken off the date.
#[test]
fn connecting_takes_no_time_from_a_version() {
    let (mut scenario, second_at) = following(2_200, 1_000);
    scenario.side_calls = SideCalls::Connect(Duration::from_millis(400));
    let decided = run(&scenario);
    let refused = decided.iter().find(|one| is_refused(one));
    let known = refused.unwrap().at - second_at;
    let limit = scenario.apply.mul_f64(0.75);
    assert!(known + Duration::from_millis(50) > limit, "{known:?}");
    assert_eq!(late_runs(&scenario), []);
}

/// Counts what the operators' table is asked for while versions come: small calls, polls that wait, and prompt ones.
#[derive(Debug, Default, PartialEq, Eq)]
struct Asked {
    positions: usize,
    waiting: usize,
    prompt: usize,
}

/// Returns what an instance asks of a store between two times.
fn asked(scenario: &Scenario, times: Range<Duration>) -> Asked {
    let scenario = Arc::new(scenario.clone());
    run_paused(async move {
        let (started, clock) = (Instant::now(), Clock::start());
        let store = store(started, &scenario, scenario.transfers.clone());
        let (tx, mut calls) = mpsc::unbounded_channel();
        let counting = Platform::spawn(move || {
            let (store, tx) = (store.clone(), tx.clone());
            move |call: Call, progress| {
                let _ = tx.send((started.elapsed(), call.clone()));
                let store = store.clone().progress(progress);
                async move { store.call(call).await }
            }
        });
        let node = Node::start(&scenario, clock, counting, [], RUN_TIME);
        node.decide(started).await;
        let mut asked = Asked::default();
        while let Ok((at, call)) = calls.try_recv() {
            let is_prompt = matches!(call, Call::Changes { wait_ms: 0, .. });
            match call {
                _ if !times.contains(&at) => {}
                Call::Position { .. } => asked.positions += 1,
                Call::Changes { table, .. } if table != OPERATOR_TABLE => {}
                Call::Changes { .. } if is_prompt => asked.prompt += 1,
                Call::Changes { .. } => asked.waiting += 1,
                _ => {}
            }
        }
        asked
    })
}

/// Guards against needless calls: an instance that starts has no version to decide by, and needs no date of a later one.
#[test]
fn first_read_has_no_calls_beside_it() {
    let (mut scenario, _) = following(1_400, 0);
    scenario.changes = vec![Duration::ZERO];
    scenario.dropped_to = 1;
    let asked = asked(&scenario, Duration::ZERO..Duration::from_millis(1_400));
    assert_eq!(asked, Asked::default());
}

/// Guards against needless calls, all of which are priced: none during a short answer, and one small call and one poll during
/// a long one, with one more try for a small call that fails.
#[rstest]
#[case::short(80, SideCalls::QUICK, 0, 0)]
#[case::long(1_400, SideCalls::QUICK, 1, 1)]
#[case::long_slow(1_400, SideCalls::Take(Duration::from_millis(400)), 1, 1)]
#[case::long_polls_lost(1_400, SideCalls::PollsLost, 1, 1)]
#[case::longest_in_parts(3_000, SideCalls::ComeApart(Duration::from_millis(300)), 1, 2)]
#[case::long_refused(1_400, SideCalls::Refused, 2, 0)]
#[case::long_lost(1_400, SideCalls::Lost, 2, 0)]
fn reads_beside_a_transfer_are_few(
    #[case] transfer_ms: u64,
    #[case] side_calls: SideCalls,
    #[case] positions: usize,
    #[case] waiting: usize,
) {
    let (mut scenario, _) = following(transfer_ms, 0);
    scenario.changes.truncate(1);
    scenario.side_calls = side_calls;
    let transfer = FIRST_AT..FIRST_AT + Duration::from_millis(transfer_ms);
    let expected = Asked {
        positions,
        waiting,
        prompt: 0,
    };
    assert_eq!(asked(&scenario, transfer), expected);
}
