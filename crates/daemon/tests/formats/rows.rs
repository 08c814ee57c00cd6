//! Rows that instances leave in the platform's tables, as all landed formats write them.

use std::{fmt::Debug, fs, path::PathBuf};

use base::Incarnation;
use coord::{Head, LeaseRow};
use daemon::{
    facts::DeploymentParameters,
    ledger::{ClaimRow, RowState},
};
use dispatch::{Claimer, SavedAnswer};
use platform::{ListedMachine, MachineKind, MachineState};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

/// Members that each row has had since the first format, none of which older builds can do without, with
/// the types that they read.
const MEMBERS: [(&str, &[(&str, Type)]); 6] = [
    (
        "slot",
        &[
            ("owner", Value::is_string),
            ("incarnation", Value::is_u64),
            ("epoch", Value::is_u64),
            ("renewal", Value::is_u64),
            ("horizon_ms", Value::is_u64),
            ("is_released", Value::is_boolean),
        ],
    ),
    (
        "facts",
        &[("secret", Value::is_string), ("slots", Value::is_u64)],
    ),
    (
        "listed",
        &[
            ("id", Value::is_string),
            ("kind", Value::is_string),
            ("domain", Value::is_string),
            ("addr", Value::is_string),
            ("state", Value::is_string),
        ],
    ),
    ("claim-open", CLAIM),
    ("claim-done", CLAIM),
    (
        "head",
        &[("version", Value::is_u64), ("digest", Value::is_string)],
    ),
];
const CLAIM: &[(&str, Type)] = &[
    ("claimer", Value::is_object),
    ("fingerprint", Value::is_u64),
    ("state", |state| state.is_string() || state.is_object()),
];
type Type = fn(&Value) -> bool;

fn slot() -> LeaseRow {
    LeaseRow {
        owner: "i1".into(),
        incarnation: Incarnation(7),
        epoch: 3,
        renewal: 12,
        ttl_ms: 7_200_000,
        is_released: false,
        era: 0,
        since_era: 0,
    }
}

fn facts() -> DeploymentParameters {
    DeploymentParameters {
        secret: "0123456789abcdef".to_owned(),
        slots: 9,
    }
}

fn listed() -> ListedMachine {
    ListedMachine {
        id: "i1".to_owned(),
        kind: MachineKind::Instance,
        domain: "d1".into(),
        addr: ([10, 1, 0, 8], 8_206).into(),
        state: MachineState::Leaving,
    }
}

fn claim(state: RowState) -> ClaimRow {
    ClaimRow {
        claimer: Claimer {
            instance: "i1".into(),
            incarnation: Incarnation(7),
            request: 11,
        },
        fingerprint: 5,
        state,
    }
}

fn done() -> RowState {
    RowState::Done(SavedAnswer {
        status: 200,
        headers: vec![("a".to_owned(), vec![1])],
        body: vec![2, 3],
    })
}

fn head() -> Head {
    Head {
        version: 31,
        digest: "abc".to_owned(),
    }
}

fn path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/formats/rows.txt")
}

/// Returns the row of this name as it was landed.
fn landed(name: &str) -> String {
    let text = fs::read_to_string(path()).unwrap();
    let lines = text.lines().filter_map(|line| line.split_once(' '));
    let (_, row) = lines.into_iter().find(|(found, _)| *found == name).unwrap();
    row.to_owned()
}

fn line<T>(name: &str, row: &T) -> String
where
    T: Serialize,
{
    format!("{name} {}\n", serde_json::to_string(row).unwrap())
}

/// A row may only be changed together with its sample, and then [`rows_have_what_older_builds_need`]
/// shows whether an older build can read it.
#[test]
fn rows_have_samples() {
    let text = [
        line("slot", &slot()),
        line("facts", &facts()),
        line("listed", &listed()),
        line("claim-open", &claim(RowState::Open)),
        line("claim-done", &claim(done())),
        line("head", &head()),
    ];
    let text = text.concat();
    if std::env::var_os("UPDATE_FORMATS").is_some() {
        fs::write(path(), &text).unwrap();
    }
    assert_eq!(fs::read_to_string(path()).unwrap(), text);
}

/// The way back: rows that this build wrote have all that older ones need.
#[test]
fn rows_have_what_older_builds_need() {
    for (name, members) in MEMBERS {
        let row: Value = serde_json::from_str(&landed(name)).unwrap();
        for (member, is_type) in members {
            assert!(is_type(&row[member]), "{name}: {member} in {row}");
        }
    }
}

/// Rows of older builds have only these members, and rows of later ones have more.
#[test]
fn rows_of_other_builds_are_read() {
    fn is_read<T>(name: &str, expected: &T)
    where
        T: DeserializeOwned + PartialEq + Debug,
    {
        let (_, members) = MEMBERS.iter().find(|(found, _)| *found == name).unwrap();
        let whole: Value = serde_json::from_str(&landed(name)).unwrap();
        let kept = members.iter().map(|(member, _)| {
            let member = (*member).to_owned();
            (member.clone(), whole[&member].clone())
        });
        let older: Value = kept.collect::<serde_json::Map<_, _>>().into();
        let mut later = whole.clone();
        later["later"] = json!({ "than": ["this", 1] });
        for row in [older, later] {
            let read: T = serde_json::from_str(&row.to_string()).unwrap();
            assert_eq!(read, *expected, "{row}");
        }
    }
    is_read("slot", &slot());
    is_read("facts", &facts());
    is_read("listed", &listed());
    is_read("claim-open", &claim(RowState::Open));
    is_read("claim-done", &claim(done()));
    is_read("head", &head());
}

/// An action whose row a later build left in a state that this one lacks is not taken for one that may
/// run.
#[test]
fn unknown_state_of_a_claim_is_not_read() {
    let mut row: Value = serde_json::from_str(&landed("claim-open")).unwrap();
    row["state"] = "later".into();
    assert!(serde_json::from_str::<ClaimRow>(&row.to_string()).is_err());
}
