//! Malformed messages, tables and rows, drawn from valid ones: what is read reads again as the same, and harms nobody.

use std::{fmt, fs, time::Duration};

use base::{Incarnation, Position, Time, Version};
use coord::{
    EraSettling, GrantRequest, Head, Lease, LeaseRow, LeaseTiming, Quota, QuotaHolder, QuotaOwner,
    QuotaSplit, WriteOutcome, lease_chart,
    parts::{Assembly, MAX_TABLE_BYTES, PartId, TableCut, TableList},
};
use daemon::{
    facts::DeploymentParameters,
    format::{OWN_FORMAT, decode, encode},
    ledger::ClaimRow,
    message::PeerMessage,
    rpc::{Call, Opening, Reply},
};
use dispatch::{RateRank, SharedRate};
use platform::{ListedMachine, StoreEra};
use proof::mutate::Mutator;
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use wire::Packed;

use super::{path, sample};

const ROUNDS: u64 = 20_000;
const QUOTA: Quota = Quota {
    rate: 10.0,
    burst: 20.0,
};
const NOW: Time = Time::from_secs(100);
/// Era that all answers name but the malformed one.
const NAMED_ERA: u32 = 7;

/// Returns the encoded samples of this build whose names `is_wanted` selects.
fn samples<F>(is_wanted: F) -> Vec<Vec<u8>>
where
    F: Fn(&str) -> bool,
{
    let text = fs::read_to_string(path(OWN_FORMAT)).unwrap();
    let names = text.lines().filter_map(|line| line.split_once(' '));
    let wanted = names.map(|(name, _)| name).filter(|name| is_wanted(name));
    wanted.map(|name| sample(OWN_FORMAT, name)).collect()
}

fn is_message(name: &str) -> bool {
    let other_kinds = ["call", "reply", "opening", "packed", "frame"];
    !other_kinds.iter().any(|kind| name.starts_with(kind))
}

/// Guards against messages that end the process of an instance that reads them, or mean something else when they are sent on.
#[test]
fn messages_are_harmless() {
    let mut mutator = Mutator::new(31, samples(is_message));
    let mut read = 0;
    for _ in 0..Mutator::rounds(ROUNDS) {
        let content = mutator.draw();
        let Ok(message) = decode(&content, Some(OWN_FORMAT)) else {
            continue;
        };
        read += 1;
        let again = encode(&message, OWN_FORMAT).unwrap();
        let message_again = decode(&again, Some(OWN_FORMAT)).unwrap();
        assert_eq!(encode(&message_again, OWN_FORMAT), Some(again));
        take(&message);
    }
    assert!(read > ROUNDS / 20, "{read}");
}

/// Passes a message on to what decides by it.
fn take(message: &PeerMessage) {
    let split = QuotaSplit::default();
    let mut owner = QuotaOwner::initial(NOW, QUOTA, split);
    owner.set_valid_until(Time::NEVER);
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            let era = StoreEra::default();
            era.learn(3);
            era.learn(heartbeat.store_era);
            assert!(era.latest() <= 1_003);
        }
        PeerMessage::GrantRequest(_, request) => {
            let epoch = request.usage.first().map_or(0, |usage| usage.epoch);
            let mut owner = QuotaOwner::borrowing(NOW, QUOTA, split, epoch);
            owner.set_valid_until(Time::NEVER);
            let earlier = GrantRequest {
                serial: request.usage.first().map_or(0, |usage| usage.serial),
                usage: Vec::new(),
                ..request.clone()
            };
            for (ms, request) in [(0, &earlier), (50, request), (100, request)] {
                let now = NOW + Duration::from_millis(ms);
                let grant = owner.on_request(now, &"i1".into(), Incarnation(1), request);
                let tokens = grant.map_or(0, |grant| grant.tokens);
                assert!(f64::from(tokens) <= QUOTA.burst, "{request:?}");
            }
        }
        PeerMessage::Grant(_, grant) => {
            let mut holder = QuotaHolder::new(QUOTA, split);
            holder.set_owner(Some(coord::OwnerId {
                instance: "i1".into(),
                epoch: grant.epoch,
            }));
            for _ in 0..grant.serial.min(2) {
                holder.next_grant_request(NOW, 1);
            }
            holder.on_grant(NOW, grant);
            holder.retry_after(NOW);
        }
        PeerMessage::Lend { loans, .. } => {
            for loan in loans {
                owner.on_loan(NOW, Incarnation(1), loan, NOW);
            }
            assert!(owner.loan_count(NOW) <= split.reservation_count() as usize);
        }
        PeerMessage::Rates { reports, .. } => {
            let mut rate = SharedRate::default();
            for report in reports {
                rate.merge(NOW, Some(NOW), report);
                let (position, local_count) = (1, 2);
                let rank = RateRank {
                    position,
                    local_count,
                };
                rate.record_send(NOW, rank);
                rate.wait(NOW, rank, false);
            }
        }
        _ => {}
    }
}

/// Guards against calls, answers and tables that end the process, or of which more is held than is allowed.
#[test]
fn calls_and_tables_are_harmless() {
    let mut mutator = Mutator::new(32, samples(|name| !is_message(name)));
    let mut assembled = 0;
    for _ in 0..Mutator::rounds(ROUNDS) {
        let content = mutator.draw();
        reads_again::<Call>(&content);
        reads_again::<Reply>(&content);
        reads_again::<Opening>(&content);
        if let Ok(packed) = postcard::from_bytes::<Packed>(&content) {
            let unpacked = packed.unpack(1_000);
            assert!(unpacked.is_err() || unpacked.unwrap().len() <= 1_000);
        }
        if let Ok((list, _)) = postcard::take_from_bytes::<TableList<Version>>(&content) {
            assembled += u32::from(assemble(&list.in_era(0)));
        }
    }
    assert!(assembled > 0);
}

fn reads_again<T>(content: &[u8])
where
    T: Serialize + DeserializeOwned,
{
    if let Ok(read) = postcard::from_bytes::<T>(content) {
        let again = postcard::to_stdvec(&read).unwrap();
        let read_again = postcard::from_bytes::<T>(&again).unwrap();
        assert_eq!(postcard::to_stdvec(&read_again).unwrap(), again);
    }
}

/// Starts the assembly of a listed table, which takes nothing that the list doesn't name, and returns whether it
/// could be started.
fn assemble(list: &TableList) -> bool {
    let Ok(mut assembly) = Assembly::start(&TableCut::default(), list) else {
        return false;
    };
    assert!(assembly.listed_bytes() <= MAX_TABLE_BYTES);
    let missing: Vec<_> = assembly.missing().collect();
    for part in &missing {
        let content = vec![b'a'; part.len as usize + 1];
        assert!(assembly.take(part.id, &content).is_err());
        assert!(assembly.take(PartId::of(&content), &content).is_err());
    }
    assert_eq!(assembly.missing().count(), missing.len());
    assert_eq!(assembly.finish().is_err(), !missing.is_empty());
    true
}

/// Guards against rows that end the process of each instance that reads them, of which numbers are too large to count on.
#[test]
fn rows_are_harmless() {
    let folder = path(OWN_FORMAT);
    let text = fs::read_to_string(folder.with_file_name("rows.txt")).unwrap();
    let rows = text.lines().filter_map(|line| line.split_once(' '));
    let rows = rows.map(|(_, row)| row.as_bytes().to_vec()).collect();
    let mut mutator = Mutator::new(33, rows);
    let mut slots = 0;
    for _ in 0..Mutator::rounds(ROUNDS) {
        let text = mutator.draw_text();
        parses_again::<ClaimRow>(&text);
        parses_again::<DeploymentParameters>(&text);
        parses_again::<ListedMachine>(&text);
        parses_again::<Head>(&text);
        if let Some(row) = parses_again::<LeaseRow>(&text) {
            slots += 1;
            hold_slot(&row);
        }
    }
    assert!(slots > 0);
}

fn parses_again<T>(text: &str) -> Option<T>
where
    T: Serialize + DeserializeOwned + PartialEq + fmt::Debug,
{
    let parsed: T = serde_json::from_str(text).ok()?;
    let again = serde_json::to_string(&parsed).unwrap();
    assert_eq!(serde_json::from_str::<T>(&again).unwrap(), parsed);
    Some(parsed)
}

/// Lets the instance that the row names, and another one, read it, take the lease and renew it.
fn hold_slot(row: &LeaseRow) {
    let chart = lease_chart().unwrap();
    for me in [row.owner.clone(), "other".into()] {
        let timing = LeaseTiming::default();
        let (mut lease, mut settling) = (
            Lease::new(chart.clone(), me, row.incarnation, timing),
            EraSettling::new(timing),
        );
        settling.on_rows([row.since_era], true);
        for (at, version) in [(NOW, 1), (Time::NEVER, 2)] {
            lease.set_settled(settling.is_settled(at), settling.since_era());
            lease.on_read(at, Some((Position::from(version), row.clone())));
            if let Some(write) = lease.next_write(at, true, true) {
                assert!(write.row.epoch >= row.epoch);
                lease.on_write_outcome(at, WriteOutcome::Applied((version + 2).into()));
            }
        }
        lease.on_era(Time::NEVER, row.era.saturating_add(1));
        lease.release(Time::NEVER);
    }
}

/// Guards against one garbled header that lifts the era of an instance, and against an era that goes down.
#[rstest]
#[case::first(false)]
#[case::known(true)]
#[tokio::test]
async fn headers_are_harmless(#[case] is_known: bool) {
    let samples = ["7", "8", " 9 ", "4294967295", "+7", "0x7"];
    let samples = samples.map(|text| text.as_bytes().to_vec()).to_vec();
    let mut mutator = Mutator::new(34, samples);
    for _ in 0..Mutator::rounds(ROUNDS) {
        let era = StoreEra::default();
        let ask = || async { Some(NAMED_ERA.to_string()) };
        let named = NAMED_ERA.to_string();
        let before = match is_known {
            true => era.on_answer(Some(&named), ask).await.unwrap(),
            false => 0,
        };
        let text = mutator.draw_text();
        let answered = era.on_answer(Some(&text), ask).await;
        let latest = era.latest();
        assert!(latest == before || latest == NAMED_ERA, "{text:?}");
        assert!(answered.is_err() || answered == Ok(latest), "{text:?}");
    }
}
