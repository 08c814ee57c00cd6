//! Fetching later state from other instances: a slow source does not hold up updates.

use std::{collections::BTreeMap, time::Duration};

use base::{InstanceId, Position, Time};
use coord::{CatchUp, FetchDelays};
use rstest::rstest;

const DELAY: Duration = Duration::from_millis(100);
const DELAYS: FetchDelays = FetchDelays {
    min: DELAY,
    max: Duration::from_millis(400),
    retry: Duration::from_millis(300),
};
/// Half of the shortest time within which a target that has left may get no more requests.
const HALF_OF_DRAIN_BOUND: Duration = Duration::from_secs(1);

/// The first instance with the update is slow but alive, and its answer never comes.
#[test]
fn catch_up_asks_the_next_source_while_the_first_is_silent() {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.on_report(Time::ZERO, "slow".into(), Position::from(5), 1);
    catch_up.on_report(Time::from_millis(20), "other".into(), Position::from(5), 2);
    let mut asked = Vec::new();
    for ms in (0..1_000).step_by(10) {
        let now = Time::from_millis(ms);
        if let Some(source) = catch_up.next_source(now) {
            asked.push((source.to_string(), now));
        }
    }
    let second = asked.iter().find(|(source, _)| source == "other");
    let (_, at) = second.expect("the second source is asked");
    assert!(*at - Time::ZERO < HALF_OF_DRAIN_BOUND);
    assert_eq!(asked[0], ("slow".to_owned(), Time::ZERO + DELAY));
}

#[test]
fn catch_up_asks_nobody_once_it_is_up_to_date() {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.on_report(Time::ZERO, "i1".into(), Position::from(5), 1);
    catch_up.on_position(Time::from_millis(50), Position::from(5));
    assert_eq!(catch_up.next_source(Time::from_secs(1)), None);
    catch_up.on_report(Time::from_secs(1), "i1".into(), Position::from(4), 1);
    assert_eq!(catch_up.next_source(Time::from_secs(2)), None);
}

/// While own reads make progress, others are always a little ahead, and nothing is fetched.
#[test]
fn catch_up_asks_nobody_while_own_reads_make_progress() {
    let mut catch_up = CatchUp::new(DELAYS);
    for step in 0..100 {
        let now = Time::from_millis(step * 50);
        catch_up.on_report(now, "i1".into(), Position::from(step + 2), 1);
        catch_up.on_position(now, Position::from(step + 1));
        assert_eq!(catch_up.next_source(now), None);
    }
}

/// Guards against CONFIG: while a large table was arriving over a narrow link, it was fetched from one
/// instance after the other, which shared the link until none of it was ever complete.
#[rstest]
#[case::arriving(100, 2_000, None)]
#[case::cut_off(100, 700, Some(1_100))]
fn catch_up_asks_nobody_while_the_state_is_arriving(
    #[case] report_interval_ms: u64,
    #[case] arriving_until_ms: u64,
    #[case] first_fetch_ms: Option<u64>,
) {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.on_report(Time::ZERO, "i1".into(), Position::from(5), 1);
    let mut asked_at = None;
    for ms in (0..2_000).step_by(50) {
        let now = Time::from_millis(ms);
        if ms <= arriving_until_ms && ms % report_interval_ms == 0 {
            catch_up.postpone(now);
        }
        let asks = catch_up.next_source(now).is_some();
        asked_at = asked_at.or(asks.then_some(ms));
    }
    assert_eq!(asked_at, first_fetch_ms);
}

/// Guards against CONFIG: the first report of a state that was arriving already made it be fetched concurrently.
#[test]
fn catch_up_asks_nobody_for_what_is_reported_while_it_arrives() {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.postpone(Time::ZERO);
    catch_up.on_report(Time::from_millis(10), "i1".into(), Position::from(5), 1);
    assert_eq!(catch_up.next_source(Time::from_millis(399)), None);
    assert_eq!(
        catch_up.next_source(Time::from_millis(400)),
        Some("i1".into())
    );
}

/// Guards against CONFIG: what had been put off while a version was arriving was so for up to 0.4 s after it had
/// come, though a later one was known.
#[test]
fn catch_up_asks_for_a_later_state_once_the_arriving_one_has_come() {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.on_report(Time::ZERO, "i1".into(), Position::from(5), 1);
    let come_at = Time::from_millis(1_000);
    catch_up.postpone(come_at);
    catch_up.on_report(come_at, "i1".into(), Position::from(6), 1);
    catch_up.on_position(come_at, Position::from(5));
    let due_at = come_at + DELAY;
    assert_eq!(catch_up.next_at(), Some(due_at));
    assert_eq!(catch_up.next_source(due_at), Some("i1".into()));
}

#[test]
fn catch_up_skips_a_source_that_is_removed() {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.on_report(Time::ZERO, "i1".into(), Position::from(5), 1);
    catch_up.on_report(Time::ZERO, "i2".into(), Position::from(5), 2);
    catch_up.remove_source(&"i1".into());
    assert_eq!(catch_up.next_source(Time::ZERO + DELAY), Some("i2".into()));
}

/// Guards against CONFIG: in a region far from the platform, each change of a table made every
/// instance fetch it whole from another one, while its own read was on the way.
#[test]
fn catch_up_waits_for_reads_that_lag() {
    const CHANGE_INTERVAL_MS: u64 = 500;
    const OTHERS_REPORT_AFTER_MS: u64 = 60;
    const OWN_READ_AFTER_MS: u64 = 210;
    const CHANGES: u64 = 20;
    const MAX_FETCHES: usize = 2;
    let mut catch_up = CatchUp::new(DELAYS);
    let mut fetches = 0;
    for ms in (0..CHANGES * CHANGE_INTERVAL_MS).step_by(10) {
        let now = Time::from_millis(ms);
        let position = ms / CHANGE_INTERVAL_MS + 1;
        match ms % CHANGE_INTERVAL_MS {
            OTHERS_REPORT_AFTER_MS => {
                catch_up.on_report(now, "i1".into(), Position::from(position), 1);
            }
            OWN_READ_AFTER_MS => catch_up.on_read(now, Position::from(position)),
            _ => {}
        }
        fetches += usize::from(catch_up.next_source(now).is_some());
    }
    assert!(fetches <= MAX_FETCHES, "{fetches} fetches");
}

/// Own reads lagged, and then the platform stops answering this instance, with or without a word.
#[rstest]
#[case::silent(false)]
#[case::refused(true)]
fn catch_up_does_not_wait_for_reads_that_never_come(#[case] is_failing: bool) {
    let mut catch_up = CatchUp::new(DELAYS);
    catch_up.on_report(Time::ZERO, "i1".into(), Position::from(1), 1);
    catch_up.on_read(Time::from_secs(3), Position::from(1));
    if is_failing {
        catch_up.on_read_failure();
    }
    let reported_at = Time::from_secs(4);
    catch_up.on_report(reported_at, "i1".into(), Position::from(2), 1);
    let limit = if is_failing {
        DELAY
    } else {
        HALF_OF_DRAIN_BOUND / 2
    };
    assert_eq!(catch_up.next_source(reported_at + limit), Some("i1".into()));
}

/// Guards against CONFIG: all instances that had missed a change asked the one that reported it
/// first, which answered none of them in time.
#[test]
fn catch_up_spreads_fetches_over_sources() {
    const READERS: u64 = 40;
    const SOURCES: u64 = 8;
    const MAX_AT_ONE: usize = 15;
    let mut asked = BTreeMap::<InstanceId, usize>::new();
    for reader in 0..READERS {
        let mut catch_up = CatchUp::new(DELAYS);
        for source in 0..SOURCES {
            // All readers learn of the sources in the same order.
            let id = InstanceId::from(format!("i{source}").as_str());
            let rank = (reader * 31 + source * 17) % 37;
            catch_up.on_report(Time::from_millis(source), id, Position::from(5), rank);
        }
        let first = catch_up.next_source(Time::from_secs(1)).unwrap();
        *asked.entry(first).or_default() += 1;
    }
    let most = asked.values().max().copied().unwrap_or(0);
    assert!(most <= MAX_AT_ONE, "{asked:?}");
}

#[test]
fn catch_up_prefers_low_ranks_among_many() {
    let mut catch_up = CatchUp::new(DELAYS);
    for idx in (0..20).rev() {
        let id = InstanceId::from(format!("i{idx}").as_str());
        catch_up.on_report(Time::ZERO, id, Position::from(5), idx);
    }
    let later = Time::from_secs(1);
    assert_eq!(catch_up.next_source(later), Some("i0".into()));
    assert_eq!(
        catch_up.next_source(later + DELAYS.retry),
        Some("i1".into())
    );
}
