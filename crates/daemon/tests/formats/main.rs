//! What one build sends, another one reads: samples of every landed format, and malformed ones.
//!
//! `UPDATE_FORMATS=1 cargo test -p godwitgauge-daemon --test formats` writes the samples of the
//! newest format; those of earlier ones never change.

mod malformed;
mod rows;
mod samples;

use std::{fs, path::PathBuf, time::Duration};

use base::{Incarnation, Position, Time, Version};
use coord::{Departure, Replica, RetainedEntry, RowsReport, TableSnapshot, parts::TableList};
use daemon::{
    format::{OWN_FORMAT, UnreadMessage, decode, encode},
    message::{ChangeReport, PeerHeartbeat, PeerMessage, ReadsReport, RetainedReport},
    rpc::{Call, Opening, Reply},
};
use dispatch::{ConnectionLoss, Hold, LossReport, QuarantineReport, RateReport};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rstest::rstest;
use wire::{Secret, Sessions};

fn path(format: u32) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/formats");
    folder.join(format!("{format}.txt"))
}

/// Returns the encoded sample of this name in a landed format.
fn sample(format: u32, name: &str) -> Vec<u8> {
    let text = fs::read_to_string(path(format)).unwrap();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    let (_, hex) = lines.into_iter().find(|(found, _)| *found == name).unwrap();
    let digits: Vec<char> = hex.chars().collect();
    let bytes = digits.chunks(2).map(|pair| {
        let pair: String = pair.iter().collect();
        u8::from_str_radix(&pair, 16).unwrap()
    });
    bytes.collect()
}

/// First format whose heartbeats name the build.
const FORMAT_WITH_BUILD: u32 = 3;
/// First format in which quarantines are reported.
const FORMAT_WITH_QUARANTINE: u32 = 4;
/// First format with calls for parts of tables.
const FORMAT_WITH_PARTS: u32 = 5;
/// First format whose heartbeats report departures.
const FORMAT_WITH_DEPARTURES: u32 = 6;
/// First format whose heartbeats report changes that are known.
const FORMAT_WITH_CHANGES: u32 = 7;
/// First format whose heartbeats report the sender's own reads.
const FORMAT_WITH_READS: u32 = 8;
/// First format whose heartbeats report the sender's rows.
const FORMAT_WITH_ROWS: u32 = 9;
/// First format whose heartbeats report retained entries.
const FORMAT_WITH_RETAINED: u32 = 10;
/// First format whose reports of losses and answers say how long ago these were.
const FORMAT_WITH_AGES: u32 = 11;
/// First format whose heartbeats report the eras of positions.
const FORMAT_WITH_ERAS: u32 = 12;

fn quarantines() -> [(&'static str, PeerMessage); 2] {
    let hold = Hold {
        fingerprint: 1_234_567,
        remaining: Duration::from_millis(59_200),
        period: Duration::from_secs(60),
    };
    let held = QuarantineReport::Held(vec![hold]);
    let answered = QuarantineReport::Answered(1_234_567);
    [
        ("quarantine-held", PeerMessage::Quarantine(held)),
        ("quarantine-answered", PeerMessage::Quarantine(answered)),
    ]
}

/// Returns reports with times, and what earlier formats say instead, by name.
fn dated() -> [(&'static str, PeerMessage, &'static str); 3] {
    let age = Duration::from_millis(460);
    let dated = |report| PeerMessage::DatedQuarantine {
        report,
        ack: 299,
        ack_age: Duration::from_millis(120),
    };
    let [(_, PeerMessage::Quarantine(held)), _] = quarantines() else {
        panic!();
    };
    let answered = QuarantineReport::AnsweredAgo {
        fingerprint: 1_234_567,
        age,
    };
    let loss = ConnectionLoss {
        fingerprint: 1_234_567,
        target_digest: 89,
    };
    let lost = PeerMessage::DatedLoss(LossReport { loss, age });
    [
        ("dated-held", dated(held), "quarantine-held"),
        ("dated-answered", dated(answered), "quarantine-answered"),
        ("dated-loss", lost, "connection-loss"),
    ]
}

fn rates() -> PeerMessage {
    let report = RateReport {
        target_digest: 89,
        per_s: Some(6.5),
        age: Duration::from_millis(300),
    };
    PeerMessage::Rates {
        reports: vec![report],
        ack: 299,
    }
}

/// Returns a heartbeat that reports a target that has left.
fn departure() -> PeerMessage {
    let mut heartbeat = samples::heartbeat();
    heartbeat.departures = vec![Departure {
        target: "t1".into(),
        position: Position::from(70_001),
    }];
    PeerMessage::Heartbeat(Box::new(heartbeat))
}

/// Returns a heartbeat that reports a change whose rows are still arriving.
fn change() -> PeerMessage {
    let mut heartbeat = samples::heartbeat();
    heartbeat.change = Some(ChangeReport {
        position: Position::from(70_000),
        is_arriving: true,
        age: Duration::from_millis(1_310),
    });
    heartbeat.ack_age = Duration::from_millis(480);
    PeerMessage::Heartbeat(Box::new(heartbeat))
}

/// Returns a heartbeat of an instance that can't read the platform any more.
fn reads() -> PeerMessage {
    let mut heartbeat = samples::heartbeat();
    heartbeat.reads = Some(ReadsReport {
        contact_age: Duration::from_millis(2_140),
        is_failing: true,
    });
    PeerMessage::Heartbeat(Box::new(heartbeat))
}

/// Returns the report of a table with one row, for other positions than its own.
fn rows_report(changed_at: u64, span: u64) -> RowsReport {
    let mut replica = Replica::new(Duration::ZERO);
    replica.replace(Time::ZERO, samples::table());
    replica.settle();
    RowsReport {
        changed_at: Position::from(changed_at),
        span,
        ..replica.rows_report().unwrap()
    }
}

/// Returns a heartbeat of an instance that knows the rows of both tables to be exact.
fn rows_of_tables() -> PeerMessage {
    let mut heartbeat = samples::heartbeat();
    heartbeat.rows = vec![Some(rows_report(70_000, 300)), Some(rows_report(9, 70_291))];
    PeerMessage::Heartbeat(Box::new(heartbeat))
}

/// Returns a heartbeat of an instance that retains an entry after an outage.
fn retained() -> PeerMessage {
    let mut heartbeat = samples::heartbeat();
    heartbeat.retained = vec![RetainedReport {
        departure: Departure {
            target: "t1".into(),
            position: Position::from(70_001),
        },
        remaining: Duration::from_millis(1_790),
    }];
    PeerMessage::Heartbeat(Box::new(heartbeat))
}

/// Returns a heartbeat of an instance that follows a platform which has been restored from copies.
fn eras() -> PeerMessage {
    let mut heartbeat = samples::heartbeat();
    heartbeat.store_era = 5;
    heartbeat.set_positions(vec![Position::new(4, 70_000), Position::new(5, 9)]);
    heartbeat.departures = vec![Departure {
        target: "t1".into(),
        position: Position::new(5, 9),
    }];
    heartbeat.rows = vec![None, rows_report(9, 3).into()];
    heartbeat.rows[1].as_mut().unwrap().changed_at = Position::new(5, 9);
    PeerMessage::Heartbeat(Box::new(heartbeat))
}

const FRAME_CONTENT: [u8; 2] = [4, 1];

fn secret() -> Secret {
    Secret::derive("sixteen characters")
}

/// Returns the first frame of an instance.
fn frame() -> Vec<u8> {
    let mut sender = Sessions::new(secret(), "a".into(), Incarnation(1));
    sender.seal_encoded(&"b".into(), &FRAME_CONTENT).unwrap()
}

/// A format may only be changed together with its number and a new file of samples.
#[test]
fn format_has_samples() {
    let mut lines = samples::encoded();
    let others = quarantines().into_iter().chain([("rates", rates())]);
    let heartbeats = [
        ("heartbeat-departure", departure()),
        ("heartbeat-change", change()),
        ("heartbeat-reads", reads()),
        ("heartbeat-rows", rows_of_tables()),
        ("heartbeat-retained", retained()),
        ("heartbeat-eras", eras()),
    ];
    let dated = dated().map(|(name, message, _)| (name, message));
    let others = others.chain(heartbeats).chain(dated);
    let others = others.map(|(name, message)| (name, postcard::to_stdvec(&message).unwrap()));
    for (name, bytes) in others.chain([("frame", frame())]) {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        lines.push(format!("{name} {hex}"));
    }
    let text = lines.join("\n") + "\n";
    let path = path(OWN_FORMAT);
    if std::env::var_os("UPDATE_FORMATS").is_some() {
        fs::write(&path, &text).unwrap();
    }
    assert_eq!(fs::read_to_string(&path).unwrap(), text);
}

/// Guards against an upgrade in which heartbeats of the build before were not read, or a message was
/// taken for another one.
#[rstest]
#[case::without_rates(1)]
#[case::without_number(2)]
#[case::without_quarantine(3)]
#[case::without_parts(4)]
#[case::without_departures(5)]
#[case::without_changes(6)]
#[case::without_reads(7)]
#[case::without_rows(8)]
#[case::without_retained(9)]
#[case::without_ages(10)]
#[case::without_eras(11)]
#[case::own(OWN_FORMAT)]
fn landed_formats_are_read(#[case] format: u32) {
    for (name, expected) in samples::messages() {
        let read = decode(&sample(format, name), Some(format));
        let expected = match expected {
            PeerMessage::Heartbeat(heartbeat) => {
                let build = if format < FORMAT_WITH_BUILD {
                    String::new()
                } else {
                    heartbeat.build.clone()
                };
                PeerMessage::Heartbeat(Box::new(PeerHeartbeat {
                    format,
                    build,
                    ..*heartbeat
                }))
            }
            other => other,
        };
        assert_eq!(read, Ok(expected), "{name}");
    }
    if format > 1 {
        assert_eq!(decode(&sample(format, "rates"), Some(format)), Ok(rates()));
    }
    if format >= FORMAT_WITH_QUARANTINE {
        for (name, message) in quarantines() {
            assert_eq!(decode(&sample(format, name), Some(format)), Ok(message));
        }
    }
    if format >= FORMAT_WITH_DEPARTURES {
        let read = decode(&sample(format, "heartbeat-departure"), None);
        let PeerMessage::Heartbeat(mut expected) = departure() else {
            panic!();
        };
        expected.format = format;
        assert_eq!(read, Ok(PeerMessage::Heartbeat(expected)));
    }
    if format >= FORMAT_WITH_CHANGES {
        let read = decode(&sample(format, "heartbeat-change"), None);
        let PeerMessage::Heartbeat(mut expected) = change() else {
            panic!();
        };
        expected.format = format;
        assert_eq!(read, Ok(PeerMessage::Heartbeat(expected)));
    }
    if format >= FORMAT_WITH_READS {
        let read = decode(&sample(format, "heartbeat-reads"), None);
        let PeerMessage::Heartbeat(mut expected) = reads() else {
            panic!();
        };
        expected.format = format;
        assert_eq!(read, Ok(PeerMessage::Heartbeat(expected)));
    }
    if format >= FORMAT_WITH_ROWS {
        let read = decode(&sample(format, "heartbeat-rows"), None);
        let PeerMessage::Heartbeat(mut expected) = rows_of_tables() else {
            panic!();
        };
        expected.format = format;
        assert_eq!(read, Ok(PeerMessage::Heartbeat(expected)));
    }
    if format >= FORMAT_WITH_RETAINED {
        let read = decode(&sample(format, "heartbeat-retained"), None);
        let PeerMessage::Heartbeat(mut expected) = retained() else {
            panic!();
        };
        expected.format = format;
        assert_eq!(read, Ok(PeerMessage::Heartbeat(expected)));
    }
    if format >= FORMAT_WITH_ERAS {
        let read = decode(&sample(format, "heartbeat-eras"), None);
        assert_eq!(read, Ok(eras()));
    }
    if format >= FORMAT_WITH_AGES {
        for (name, message, _) in dated() {
            assert_eq!(decode(&sample(format, name), Some(format)), Ok(message));
        }
    }
}

/// A build that doesn't know of departures reads a heartbeat that reports some, as far as it goes.
#[rstest]
#[case::without_quarantine(3)]
#[case::without_parts(4)]
#[case::without_departures(5)]
fn departures_are_behind_what_older_read(#[case] format: u32) {
    let PeerMessage::Heartbeat(mut heartbeat) = departure() else {
        panic!();
    };
    heartbeat.format = format;
    let sent = encode(&PeerMessage::Heartbeat(heartbeat), format).unwrap();
    assert!(sent.starts_with(&sample(format, "heartbeat")));
}

/// As above, for a build that doesn't know of reported changes.
#[test]
fn changes_are_behind_what_older_read() {
    let PeerMessage::Heartbeat(mut heartbeat) = change() else {
        panic!();
    };
    heartbeat.format = 6;
    let sent = encode(&PeerMessage::Heartbeat(heartbeat), 6).unwrap();
    assert!(sent.starts_with(&sample(6, "heartbeat")));
}

/// As above, for a build that doesn't know of reported reads.
#[test]
fn reads_are_behind_what_older_read() {
    let PeerMessage::Heartbeat(mut heartbeat) = reads() else {
        panic!();
    };
    heartbeat.format = 7;
    let sent = encode(&PeerMessage::Heartbeat(heartbeat), 7).unwrap();
    assert!(sent.starts_with(&sample(7, "heartbeat")));
}

/// As above, for a build that doesn't know of reported rows.
#[test]
fn rows_are_behind_what_older_read() {
    let PeerMessage::Heartbeat(mut heartbeat) = rows_of_tables() else {
        panic!();
    };
    heartbeat.format = 8;
    let sent = encode(&PeerMessage::Heartbeat(heartbeat), 8).unwrap();
    assert!(sent.starts_with(&sample(8, "heartbeat")));
}

/// As above, for a build that doesn't know of retained entries.
#[test]
fn retained_are_behind_what_older_read() {
    let PeerMessage::Heartbeat(mut heartbeat) = retained() else {
        panic!();
    };
    heartbeat.format = 9;
    let sent = encode(&PeerMessage::Heartbeat(heartbeat), 9).unwrap();
    assert!(sent.starts_with(&sample(9, "heartbeat")));
}

/// Guards against a heartbeat of which a part is cut off: such a heartbeat is none of an earlier format. A plain one has
/// `plain_bytes` for the field and those behind it.
#[rstest]
#[case::eras("heartbeat-eras", 2)]
#[case::retained("heartbeat-retained", 3)]
#[case::rows("heartbeat-rows", 4)]
#[case::reads("heartbeat-reads", 5)]
#[case::change("heartbeat-change", 8)]
#[case::departures("heartbeat-departure", 9)]
fn cut_field_is_not_read(#[case] name: &str, #[case] plain_bytes: usize) {
    let whole = sample(OWN_FORMAT, name);
    let reported = whole.len() - sample(OWN_FORMAT, "heartbeat").len() + plain_bytes;
    for lacking in 1..=reported {
        let read = decode(&whole[..whole.len() - lacking], None);
        assert!(read.is_err(), "{lacking}: {read:?}");
    }
}

/// Guards against an older instance that counts as silent: its heartbeats lack fields.
#[rstest]
#[case::without_rates(1)]
#[case::without_number(2)]
fn older_heartbeat_is_read(#[case] format: u32) {
    let read = decode(&sample(format, "heartbeat"), None);
    let Ok(PeerMessage::Heartbeat(heartbeat)) = read else {
        panic!("{read:?}");
    };
    assert_eq!((heartbeat.format, heartbeat.held_slots), (format, 2));
}

/// Guards against heartbeats that grow by more than is stated: eras of the store take some bytes of each.
#[rstest]
#[case::without_eras(0, 2)]
#[case::first_return(1, 4)]
#[case::returned_often(127, 4)]
#[case::returned_very_often(128, 7)]
fn eras_take_few_bytes_of_a_heartbeat(#[case] era: u32, #[case] expected: usize) {
    let mut heartbeat = samples::heartbeat();
    heartbeat.store_era = era;
    heartbeat.set_positions(vec![Position::new(era, 70_000), Position::new(era, 9)]);
    let length = |heartbeat: PeerHeartbeat| {
        let message = PeerMessage::Heartbeat(Box::new(heartbeat));
        encode(&message, OWN_FORMAT).unwrap().len()
    };
    let mut before = heartbeat.clone();
    (before.store_era, before.table_eras) = (0, Vec::new());
    // The era and the empty list that earlier formats lack.
    let grown = length(heartbeat) - (length(before) - 2);
    assert_eq!(grown, expected);
}

/// Guards against a heartbeat that older instances read otherwise: new fields are behind theirs.
#[rstest]
#[case::without_rates(1)]
#[case::without_number(2)]
fn heartbeat_is_read_by_older(#[case] format: u32) {
    let mut heartbeat = samples::heartbeat();
    heartbeat.format = format;
    let sent = encode(&PeerMessage::Heartbeat(Box::new(heartbeat)), format).unwrap();
    assert!(sent.starts_with(&sample(format, "heartbeat")));
}

/// Guards against QUOTA and BUDGET: returned loans of an older instance were read as a lost connection.
#[test]
fn older_returned_loans_are_no_other_message() {
    let returned = PeerMessage::LoansReturned("gym".into(), 5);
    assert_eq!(decode(&sample(1, "loans-returned"), Some(1)), Ok(returned));
}

/// Guards against loans that an older instance takes for lent: their return was refused.
#[test]
fn returned_loans_are_read_by_older() {
    let returned = PeerMessage::LoansReturned("gym".into(), 5);
    assert_eq!(encode(&returned, 1), Some(sample(1, "loans-returned")));
}

/// What this build sends is what an earlier one can read, or nothing.
#[rstest]
#[case::without_rates(1)]
#[case::without_number(2)]
#[case::without_quarantine(3)]
#[case::without_parts(4)]
#[case::without_departures(5)]
#[case::without_changes(6)]
#[case::without_reads(7)]
#[case::without_rows(8)]
#[case::without_retained(9)]
#[case::without_ages(10)]
fn earlier_formats_are_sent(#[case] format: u32) {
    for (name, mut message) in samples::messages() {
        let known = sample(format, name);
        // The sender's own format is the one thing that must differ.
        if let PeerMessage::Heartbeat(heartbeat) = &mut message {
            heartbeat.format = format;
        }
        let sent = encode(&message, format).unwrap();
        // What comes behind the fields that the receiver knows is ignored by it.
        assert_eq!(sent[..known.len()], known, "{name}");
    }
    assert_eq!(encode(&rates(), format).is_some(), format > 1);
    for (name, message) in quarantines() {
        let known = (format >= FORMAT_WITH_QUARANTINE).then(|| sample(format, name));
        assert_eq!(encode(&message, format), known, "{name}");
    }
    for (name, message, undated) in dated() {
        let has_kind = format >= FORMAT_WITH_QUARANTINE || undated == "connection-loss";
        let known = has_kind.then(|| sample(format, undated));
        assert_eq!(encode(&message, format), known, "{name}");
    }
}

/// Calls and their replies are the same in all formats that have them.
#[rstest]
#[case::without_rates(1)]
#[case::without_number(2)]
#[case::without_quarantine(3)]
#[case::without_parts(4)]
#[case::without_departures(5)]
#[case::without_changes(6)]
#[case::without_reads(7)]
#[case::without_rows(8)]
#[case::without_retained(9)]
#[case::without_ages(10)]
#[case::without_eras(11)]
#[case::own(OWN_FORMAT)]
fn calls_are_read(#[case] format: u32) {
    for (name, call) in samples::calls() {
        let read: Call = postcard::from_bytes(&sample(format, name)).unwrap();
        assert_eq!(format!("{read:?}"), format!("{call:?}"), "{name}");
    }
    for (name, reply) in samples::replies() {
        let read: Reply = postcard::from_bytes(&sample(format, name)).unwrap();
        assert_eq!(format!("{read:?}"), format!("{reply:?}"), "{name}");
    }
}

/// Calls for parts of tables and what they bring are read in every format that has them.
#[rstest]
#[case::without_departures(5)]
#[case::without_changes(6)]
#[case::without_reads(7)]
#[case::without_rows(8)]
#[case::without_retained(9)]
#[case::without_ages(10)]
#[case::without_eras(11)]
#[case::own(OWN_FORMAT)]
fn calls_for_parts_are_read(#[case] format: u32) {
    assert!(format >= FORMAT_WITH_PARTS);
    for (name, call) in samples::part_calls() {
        let read: Call = postcard::from_bytes(&sample(format, name)).unwrap();
        assert_eq!(format!("{read:?}"), format!("{call:?}"), "{name}");
    }
    for ((name, _), (packed, content)) in samples::part_replies().iter().zip(samples::packed()) {
        assert_eq!(sample(format, packed), content, "{packed}");
        // Compressed bytes may differ between builds; what they hold may not.
        let read: Reply = postcard::from_bytes(&sample(format, name)).unwrap();
        let (Reply::TableList(Some(held))
        | Reply::Parts(Some(held))
        | Reply::PackedTable(Some(held))) = read
        else {
            panic!("{name}: {read:?}");
        };
        assert_eq!(held.unpack(content.len()), Ok(content), "{name}");
    }
    let list = postcard::from_bytes::<TableList<Version>>(&sample(format, "packed-list"));
    assert_eq!(list.map(|list| list.in_era(0)), Ok(samples::table_list()));
    let parts = postcard::from_bytes(&sample(format, "packed-parts"));
    assert_eq!(parts, Ok(samples::parts()));
    let table = postcard::from_bytes::<TableSnapshot<Version>>(&sample(format, "packed-table"));
    assert_eq!(table.map(|table| table.in_era(0)), Ok(samples::table()));
}

/// Guards against an earlier build that is asked for what it can't read: its calls end before these.
#[rstest]
#[case::without_rates(1)]
#[case::without_number(2)]
#[case::without_quarantine(3)]
#[case::without_parts(4)]
fn earlier_formats_have_no_calls_for_parts(#[case] format: u32) {
    let last = sample(format, "call-table")[0];
    for (name, call) in samples::part_calls() {
        assert!(postcard::to_stdvec(&call).unwrap()[0] > last, "{name}");
    }
    let last = sample(format, "reply-table")[0];
    for (name, reply) in samples::part_replies() {
        assert!(postcard::to_stdvec(&reply).unwrap()[0] > last, "{name}");
    }
}

/// What opens a connection is read from every format that has it: earlier builds ask for connections
/// whose end is not marked.
#[rstest]
#[case::without_number(2, 2)]
#[case::without_quarantine(3, 2)]
#[case::without_parts(4, 3)]
#[case::without_departures(5, 3)]
#[case::without_changes(6, 3)]
#[case::without_reads(7, 3)]
#[case::without_rows(8, 3)]
#[case::without_retained(9, 3)]
#[case::without_ages(10, 3)]
#[case::without_eras(11, 3)]
#[case::own(OWN_FORMAT, 3)]
fn openings_are_read(#[case] format: u32, #[case] known: usize) {
    for (name, opening) in samples::openings().into_iter().take(known) {
        let read: Opening = postcard::from_bytes(&sample(format, name)).unwrap();
        assert_eq!(format!("{read:?}"), format!("{opening:?}"), "{name}");
    }
}

/// A frame's head and tag are the same in all formats.
#[rstest]
#[case::without_number(2)]
#[case::without_quarantine(3)]
#[case::without_parts(4)]
#[case::without_departures(5)]
#[case::without_changes(6)]
#[case::without_reads(7)]
#[case::without_rows(8)]
#[case::without_retained(9)]
#[case::without_ages(10)]
#[case::without_eras(11)]
#[case::own(OWN_FORMAT)]
fn frame_is_read(#[case] format: u32) {
    let mut receiver = Sessions::new(secret(), "b".into(), Incarnation(2));
    let frame = sample(format, "frame");
    let opened = receiver.open_encoded(&frame).unwrap();
    assert_eq!(
        (opened.from, opened.incarnation),
        ("a".into(), Incarnation(1))
    );
    assert_eq!(opened.message, FRAME_CONTENT);
}

/// A message of a sender whose format is not known yet is not guessed at; its heartbeat is read.
#[test]
fn unknown_sender_is_not_guessed_at() {
    let unread = UnreadMessage { kind: 5, format: 0 };
    assert_eq!(decode(&sample(1, "loans-returned"), None), Err(unread));
    assert!(decode(&sample(1, "heartbeat"), None).is_ok());
}

/// A later build's heartbeat has more fields, and it sends kinds of messages that this one lacks.
#[test]
fn later_format_is_read_as_far_as_known() {
    let mut later = samples::heartbeat();
    later.format = OWN_FORMAT + 1;
    let mut content =
        postcard::to_stdvec(&PeerMessage::Heartbeat(Box::new(later.clone()))).unwrap();
    content.extend([9; 40]);
    let read = decode(&content, None);
    assert_eq!(read, Ok(PeerMessage::Heartbeat(Box::new(later))));
    let unread = UnreadMessage {
        kind: 77,
        format: OWN_FORMAT + 1,
    };
    assert_eq!(decode(&[77, 1, 2, 3], Some(OWN_FORMAT + 1)), Err(unread));
    assert_eq!(
        unread.to_string(),
        "a message of kind 77 in format 13 can't be read by format 12"
    );
}

/// Cut, lengthened and changed messages of all formats, in thousands: none ends the process, and a
/// heartbeat that lacks more than an earlier format does is not read.
#[test]
fn malformed_messages_are_harmless() {
    let mut rng = Pcg32::seed_from_u64(28);
    let mut sessions = Sessions::new(secret(), "a".into(), Incarnation(1));
    let names = samples::messages().into_iter().map(|(name, _)| name);
    for name in names {
        for format in 1..=OWN_FORMAT {
            let whole = sample(format, name);
            for _ in 0..500 {
                let mut content = whole.clone();
                match rng.random_range(0..4) {
                    0 => content.truncate(rng.random_range(0..whole.len())),
                    1 => content.extend((0..rng.random_range(1..64)).map(|_| 0xff)),
                    2 => {
                        let idx = rng.random_range(0..content.len());
                        content[idx] = rng.random();
                    }
                    _ => {
                        content = (0..rng.random_range(0..200))
                            .map(|_| rng.random())
                            .collect();
                    }
                }
                let sender = rng.random_range(0..OWN_FORMAT + 3);
                let _ = decode(&content, Some(sender));
                assert!(sessions.open_encoded(&content).is_err());
            }
        }
    }
}

/// Guards against a heartbeat that is cut off within its last fields: it was taken for one of an
/// earlier format. Where all fields of a later format are cut off, it is one of an earlier.
#[rstest]
#[case::without_rates(1, &[])]
#[case::without_number(2, &[1])]
#[case::without_quarantine(3, &[7, 8])]
#[case::without_parts(4, &[7, 8])]
#[case::without_departures(5, &[7, 8])]
#[case::without_changes(6, &[8, 9])]
#[case::without_reads(7, &[11, 12])]
#[case::without_rows(8, &[12, 13])]
#[case::without_retained(9, &[13, 14])]
#[case::without_ages(10, &[14, 15])]
#[case::without_eras(11, &[14, 15])]
#[case::own(OWN_FORMAT, &[16, 17])]
fn cut_heartbeat_is_not_read(#[case] format: u32, #[case] whole_without: &[usize]) {
    let whole = sample(format, "heartbeat");
    for lacking in 1..=whole.len() {
        let read = decode(&whole[..whole.len() - lacking], None);
        assert_eq!(
            read.is_ok(),
            whole_without.contains(&lacking),
            "{lacking}: {read:?}"
        );
    }
}

/// Guards against heartbeats that no longer fit into a datagram, so that their sender counts as gone: what a large site's
/// instance reports leaves room for departures.
#[rstest]
#[case::large(75, 24, 3, 32)]
#[case::larger(300, 60, 4, 32)]
fn heartbeat_with_departures_fits_into_a_datagram(
    #[case] workspaces: usize,
    #[case] services: usize,
    #[case] regions: usize,
    #[case] name_bytes: usize,
) {
    let name = |number: usize| format!("{number:0name_bytes$}");
    let mut heartbeat = samples::heartbeat();
    heartbeat.owned_workspaces = (0..workspaces)
        .map(|number| (name(number).as_str().into(), u64::MAX))
        .collect();
    heartbeat.demand = (0..services)
        .map(|number| (name(number).as_str().into(), 12.5))
        .collect();
    let pinned = (0..services * regions).map(|number| {
        let service = name(number / regions).as_str().into();
        (service, name(number % regions).as_str().into(), 12.5)
    });
    heartbeat.pinned_demand = pinned.collect();
    let mut departures = coord::Departures::default();
    let left = (0..512).map(|number| name(number).as_str().into());
    departures.record(Time::ZERO, left.collect(), Position::from(u64::MAX));
    heartbeat.departures = coord::lacking(&departures.newest_first(), Position::from(1), 7);
    assert!(!heartbeat.departures.is_empty());
    heartbeat.rows = vec![Some(rows_report(u64::MAX, u64::MAX)); 2];
    let entries = (0..512).map(|number| RetainedEntry {
        target: name(number).as_str().into(),
        position: Position::from(u64::MAX),
        until: Time::from_secs(1),
    });
    let entries = coord::retained_in_turns(&entries.collect::<Vec<_>>(), 7);
    assert!(!entries.is_empty());
    let reports = entries.into_iter().map(|entry| RetainedReport {
        departure: Departure {
            target: entry.target,
            position: entry.position,
        },
        remaining: Duration::MAX,
    });
    heartbeat.retained = reports.collect();
    let message = PeerMessage::Heartbeat(Box::new(heartbeat));
    let content = encode(&message, OWN_FORMAT).unwrap();
    let mut sender = Sessions::new(secret(), "i1".into(), Incarnation(7));
    let frame = sender.seal_encoded(&"i2".into(), &content).unwrap();
    assert!(frame.len() <= wire::MAX_DATAGRAM_BYTES, "{}", frame.len());
}

/// Guards against slots that are free for 122 s: an instance that had rows of an era, but that the platform turned away, counted
/// as one that doesn't know it.
#[rstest]
#[case::named(OWN_FORMAT, 5, &[4, 4], 5)]
#[case::has_rows(OWN_FORMAT, 4, &[5, 4], 5)]
#[case::earlier_format(11, 0, &[5, 5], 0)]
fn sender_knows_the_eras_of_its_rows(
    #[case] format: u32,
    #[case] store_era: u32,
    #[case] table_eras: &[u32],
    #[case] expected: u32,
) {
    let heartbeat = PeerHeartbeat {
        format,
        store_era,
        table_eras: table_eras.to_vec(),
        ..samples::heartbeat()
    };
    assert_eq!(heartbeat.known_era(), expected);
}
