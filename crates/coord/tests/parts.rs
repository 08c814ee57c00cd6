//! Tables that are transferred by parts: what arrives is what was sent, whatever was edited, and bad parts and
//! lists change nothing.

use std::{collections::BTreeSet, fmt::Write};

use base::{Position, Version};
use coord::{
    ReplicaRow, TableSnapshot,
    parts::{
        Assembly, MAX_PART_BYTES, MAX_PARTS, Part, PartId, PartsError, RowContent, RowList,
        TableCut, TableList,
    },
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg32;
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 0..400;

fn table(rows: &[(&str, &str, u64)], position: u64) -> TableSnapshot {
    let rows = rows.iter().map(|(name, text, position)| {
        let row = ReplicaRow {
            value: (*text).into(),
            position: Position::from(*position),
        };
        ((*name).to_owned(), row)
    });
    TableSnapshot {
        rows: rows.collect(),
        position: Position::from(position),
    }
}

/// Returns a document with this many routes.
fn document(routes: usize) -> String {
    let mut text = String::new();
    for idx in 0..routes {
        let weight = idx * 7 % 100;
        writeln!(
            text,
            r#"{{"path":"/service-{idx}/é","methods":["GET","POST"],"service":"s{}","weight":{weight}}},"#,
            idx * 31 % 97
        )
        .unwrap();
    }
    text
}

fn cut(table: &TableSnapshot) -> TableCut {
    TableCut::default().update(table)
}

fn list(sender: &TableCut, receiver: &TableCut) -> TableList {
    sender.list(&receiver.groups().collect())
}

/// Transfers the sender's table and returns it with the number of parts that were sent.
fn transfer(sender: &TableCut, own: &TableCut) -> (TableSnapshot, TableCut, usize) {
    let mut assembly = Assembly::start(own, &list(sender, own)).unwrap();
    let ids: BTreeSet<PartId> = assembly.missing().map(|part| part.id).collect();
    // The order of the hashes is none of the text.
    for (id, content) in sender.find(&ids).into_iter().rev() {
        assembly.take(id, content).unwrap();
    }
    let (table, cut) = assembly.finish().unwrap();
    (table, cut, ids.len())
}

/// Changes a text at a drawn place, as operators do: a value, rows more, rows less, all of it.
fn edit(rng: &mut Pcg32, text: &str) -> String {
    let lines: Vec<&str> = text.lines().collect();
    let at = rng.random_range(0..=lines.len());
    let mut edited = lines.clone();
    match rng.random_range(0..7) {
        0 => edited.clear(),
        1 => edited.truncate(at),
        2 => drop(edited.drain(..at)),
        3 => edited.splice(at..at, ["{\"new\":1}"; 40]).for_each(drop),
        4 => edited.rotate_left(at),
        5 => return document(rng.random_range(0..300)),
        _ if at < edited.len() => edited[at] = "{\"weight\":\"changed\"},",
        _ => {}
    }
    edited.join("\n")
}

/// Guards against a table that isn't the sender's: edits of all kinds, with rows that come, go and shrink.
#[test]
fn transfer_drawn_edits_is_exact() {
    for seed in SEEDS {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut texts = vec![document(rng.random_range(0..600)), String::new()];
        let mut receiver = TableCut::default();
        let mut known = TableCut::default();
        for position in 1..8 {
            let mut sent = TableSnapshot {
                position: Position::from(position),
                ..Default::default()
            };
            for (idx, text) in texts.iter().enumerate() {
                let row = ReplicaRow {
                    value: text.as_str().into(),
                    position: Position::from(position),
                };
                sent.rows.insert(format!("r{idx}"), row);
            }
            known = known.update(&sent);
            let (found, cut, _) = transfer(&known, &receiver);
            assert_eq!(found, sent, "seed {seed}, position {position}");
            // What was assembled serves as what was cut does.
            if rng.random() {
                receiver = cut;
            } else {
                receiver = receiver.update(&found);
            }
            let idx = rng.random_range(0..texts.len());
            texts[idx] = edit(&mut rng, &texts[idx]);
            if rng.random_ratio(1, 4) {
                texts.push(texts.choose(&mut rng).unwrap().clone());
            }
            if texts.len() > 2 && rng.random_ratio(1, 4) {
                texts.pop();
            }
        }
    }
}

/// Guards against a change that costs the document: a value in it, a row inserted before all others, or
/// many documents in a table.
#[rstest]
#[case::few_routes(10)]
#[case::routes_of_the_incident(4_200)]
#[case::four_times_as_many(16_800)]
fn one_change_costs_few_parts(#[case] routes: usize) {
    let before = document(routes);
    let receiver = cut(&table(&[("op", &before, 3), ("other", "x", 1)], 3));
    let weight = before.replacen("\"weight\":35", "\"weight\":36", 1);
    for after in [weight, format!("{{\"path\":\"/new\"}},\n{before}")] {
        let sender = cut(&table(&[("op", &after, 4), ("other", "x", 1)], 4));
        let (found, _, parts) = transfer(&sender, &receiver);
        assert_eq!(&*found.rows["op"].value, after);
        assert!(parts <= 2, "{parts} parts");
        let groups = list(&sender, &receiver).groups.len();
        assert!(groups <= 3, "{groups} groups");
    }
}

/// A row whose text hasn't changed is not copied, and asks for nothing.
#[test]
fn unchanged_text_is_shared() {
    let text = document(500);
    let own = table(&[("op", &text, 3)], 3);
    let receiver = cut(&own);
    let sender = cut(&table(&[("op", &text, 9), ("b", "", 8)], 9));
    let (found, _, parts) = transfer(&sender, &receiver);
    assert_eq!(parts, 0);
    assert_eq!(found.rows["op"].position, Position::from(9));
    assert_eq!(&*found.rows["b"].value, "");
    let shared = (&found.rows["op"].value, &own.rows["op"].value);
    assert!(std::sync::Arc::ptr_eq(shared.0, shared.1));
}

/// Returns an assembly that lacks parts, with their names and contents.
fn lacking() -> (Assembly, Vec<(PartId, Vec<u8>)>) {
    let sender = cut(&table(&[("op", &document(100), 3)], 3));
    let own = TableCut::default();
    let assembly = Assembly::start(&own, &list(&sender, &own)).unwrap();
    let ids = assembly.missing().map(|part| part.id).collect();
    let parts = sender.find(&ids).into_iter();
    (
        assembly,
        parts.map(|(id, part)| (id, part.to_vec())).collect(),
    )
}

/// Guards against parts that are believed: none of these is taken, and the right ones still are.
#[test]
fn bad_parts_are_refused() {
    let (mut assembly, parts) = lacking();
    let (id, content) = &parts[0];
    let listed = content.len() as u32;
    let mut changed = content.clone();
    changed[7] ^= 1;
    assert_eq!(assembly.take(*id, &changed), Err(PartsError::WrongHash));
    let long = vec![b'x'; MAX_PART_BYTES as usize + 1];
    let len = long.len();
    let refused = Err(PartsError::PartLength { len, listed });
    assert_eq!(assembly.take(*id, &long), refused);
    assert_eq!(
        assembly.take(PartId::of(b"other"), b"other"),
        Err(PartsError::NotAskedFor)
    );
    assert_eq!(assembly.take(*id, content), Ok(()));
    assert_eq!(assembly.take(*id, content), Err(PartsError::PartTwice));
    let count = parts.len() - 1;
    assert_eq!(assembly.missing().count(), count);
    for (id, content) in &parts[1..] {
        assembly.take(*id, content).unwrap();
    }
    let (found, _) = assembly.finish().unwrap();
    assert_eq!(&*found.rows["op"].value, document(100));
}

#[test]
fn missing_parts_are_no_table() {
    let (assembly, parts) = lacking();
    let count = parts.len();
    assert_eq!(assembly.finish().err(), Some(PartsError::Missing { count }));
}

fn row(name: &str, content: RowContent) -> RowList {
    RowList {
        name: name.to_owned(),
        position: Position::from(4),
        content,
    }
}

fn start(rows: Vec<RowList>, groups: Vec<Vec<Part>>) -> Option<PartsError> {
    let list = TableList {
        position: Position::from(4),
        rows,
        groups,
    };
    Assembly::start(&TableCut::default(), &list).err()
}

fn part(content: &[u8]) -> Part {
    Part {
        id: PartId::of(content),
        len: content.len() as u32,
    }
}

/// Returns a list that names one group this many times.
fn repeated(times: usize) -> (Vec<RowList>, Vec<Vec<Part>>) {
    let sender = cut(&table(&[("op", &"x".repeat(100_000), 3)], 3));
    let list = list(&sender, &TableCut::default());
    let RowContent::Groups(ids) = &list.rows[0].content else {
        panic!("{list:?}");
    };
    let ids = vec![ids[0]; times];
    (vec![row("op", RowContent::Groups(ids))], list.groups)
}

/// Guards against memory that a list takes by its own word: ten million parts, texts beyond the bound, and lengths
/// that no part has.
#[test]
fn list_beyond_bounds_is_refused() {
    let small = part(b"x");
    let many = vec![small; MAX_PARTS + 1];
    let rows = vec![row("op", RowContent::Parts(many))];
    assert_eq!(start(rows, Vec::new()), Some(PartsError::TooManyParts));
    let (rows, groups) = repeated(10_000_000);
    let found = start(rows, groups);
    let bounds = [PartsError::TooManyParts, PartsError::TableTooLong];
    assert!(
        found.is_some_and(|found| bounds.contains(&found)),
        "{found:?}"
    );
    for len in [0, MAX_PART_BYTES + 1, u32::MAX] {
        let rows = vec![row("op", RowContent::Parts(vec![Part { len, ..small }]))];
        let refused = Some(PartsError::ListedLength { len });
        assert_eq!(start(rows, Vec::new()), refused);
    }
    let two = vec![small, Part { len: 2, ..small }];
    let refused = Some(PartsError::ListedLength { len: 2 });
    assert_eq!(
        start(vec![row("op", RowContent::Parts(two))], Vec::new()),
        refused
    );
}

#[test]
fn malformed_list_is_refused() {
    let twice = vec![row("op", RowContent::Parts(Vec::new())); 2];
    assert_eq!(start(twice, Vec::new()), Some(PartsError::RowTwice));
    let sender = cut(&table(&[("op", &document(900), 3)], 3));
    let mut list = list(&sender, &TableCut::default());
    list.groups.pop();
    assert_eq!(
        start(list.rows, list.groups),
        Some(PartsError::GroupNotListed)
    );
}

/// Parts of different texts may be listed together; what they make need not be text.
#[test]
fn row_that_is_no_text_is_refused() {
    let content = [0xff, 0xfe];
    let list = TableList {
        position: Position::from(4),
        rows: vec![row("op", RowContent::Parts(vec![part(&content)]))],
        groups: Vec::new(),
    };
    let mut assembly = Assembly::start(&TableCut::default(), &list).unwrap();
    assembly.take(PartId::of(&content), &content).unwrap();
    assert_eq!(assembly.finish().err(), Some(PartsError::NotText));
}

/// Drawn liars: whatever they list and send, the result is the table that they have, or an error.
#[test]
fn drawn_lies_are_found() {
    for seed in SEEDS {
        let mut rng = Pcg32::seed_from_u64(seed);
        let before = document(rng.random_range(0..300));
        let after = edit(&mut rng, &before);
        let own = cut(&table(&[("op", &before, 3)], 3));
        let sent = table(&[("op", &after, 4)], 4);
        let sender = cut(&sent);
        let mut bytes = postcard::to_stdvec(&list(&sender, &own)).unwrap();
        let is_changed = rng.random();
        if is_changed {
            let idx = rng.random_range(0..bytes.len());
            bytes[idx] = rng.random();
        }
        let Ok(list) = postcard::from_bytes::<TableList<Version>>(&bytes) else {
            continue;
        };
        let Ok(mut assembly) = Assembly::start(&own, &list.in_era(0)) else {
            continue;
        };
        let ids: BTreeSet<PartId> = assembly.missing().map(|part| part.id).collect();
        for (id, content) in sender.find(&ids) {
            let mut content = content.to_vec();
            if rng.random_ratio(1, 3) {
                let idx = rng.random_range(0..content.len());
                content[idx] ^= 1;
                assert!(assembly.take(id, &content).is_err());
                content[idx] ^= 1;
            }
            // Only a length that the list has wrong is refused.
            assert!(assembly.take(id, &content).is_ok() || is_changed);
        }
        match assembly.finish() {
            Ok((found, _)) if !is_changed => assert_eq!(found, sent, "seed {seed}"),
            Ok(_) | Err(_) => assert!(is_changed, "seed {seed}"),
        }
    }
}
