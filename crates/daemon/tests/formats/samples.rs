//! One sample of each message and row that instances of different builds exchange.

use std::time::Duration;

use base::{Incarnation, Position};
use coord::{
    Grant, GrantRequest, GrantUsage, Head, Heartbeat, Loan, ReplicaRow, TableSnapshot,
    parts::{Part, PartId, RowContent, RowList, TableList},
};
use daemon::{
    message::{PeerHeartbeat, PeerMessage},
    peers::initial_heartbeat,
    rpc::{Call, Opening, Reply},
};
use dispatch::{ActionEvent, ActionKey, ClaimOutcome, Claimer, ConnectionLoss, SavedAnswer};
use wire::Packed;

/// Returns a heartbeat with all fields that every format has.
pub(crate) fn heartbeat() -> PeerHeartbeat {
    let status = Heartbeat {
        id: "i1".into(),
        incarnation: Incarnation(7),
        domain: "d1".into(),
        is_leaving: true,
        version: 31,
        confirmation_age: Some(Duration::from_millis(1_250)),
    };
    let mut heartbeat = initial_heartbeat(status, ([10, 1, 0, 8], 8_206).into());
    heartbeat.sequence = 300;
    heartbeat.ack = 299;
    heartbeat.head = Some(Head {
        version: 31,
        digest: "abc".to_owned(),
    });
    heartbeat.owned_workspaces = vec![("gym".into(), 5)];
    heartbeat.held_slots = 2;
    heartbeat.demand = vec![("board".into(), 12.5)];
    heartbeat.pinned_demand = vec![("board".into(), "north".into(), 1.5)];
    heartbeat.table_positions = vec![Position::from(70_000), Position::from(9)];
    heartbeat
}

/// Returns the messages that every format has, by name.
pub(crate) fn messages() -> Vec<(&'static str, PeerMessage)> {
    let usage = GrantUsage {
        epoch: 3,
        serial: 4,
        unspent: 1,
        spent: 9,
    };
    let request = GrantRequest {
        serial: 8,
        waiting: 2,
        wanted: 20,
        usage: vec![usage],
    };
    let grant = Grant {
        epoch: 3,
        serial: 8,
        tokens: 12,
        retry_after: Duration::from_millis(86),
    };
    let loan = Loan {
        reservation: 1,
        serial: 6,
        tokens: 4,
    };
    let loss = ConnectionLoss {
        fingerprint: 1_234_567,
        target_digest: 89,
    };
    vec![
        ("heartbeat", PeerMessage::Heartbeat(Box::new(heartbeat()))),
        (
            "grant-request",
            PeerMessage::GrantRequest("gym".into(), request),
        ),
        ("grant", PeerMessage::Grant("gym".into(), grant)),
        (
            "lend",
            PeerMessage::Lend {
                workspace: "gym".into(),
                epoch: 5,
                loans: vec![loan],
                ack: 299,
            },
        ),
        ("connection-loss", PeerMessage::ConnectionLoss(loss)),
        (
            "loans-returned",
            PeerMessage::LoansReturned("gym".into(), 5),
        ),
    ]
}

fn action_key() -> ActionKey {
    ActionKey {
        workspace: "gym".into(),
        key: "k1".to_owned(),
    }
}

fn claimer() -> Claimer {
    Claimer {
        instance: "i1".into(),
        incarnation: Incarnation(7),
        request: 11,
    }
}

/// Returns the calls between instances, by name.
pub(crate) fn calls() -> Vec<(&'static str, Call)> {
    let answer = SavedAnswer {
        status: 200,
        headers: vec![("a".to_owned(), vec![1])],
        body: vec![2, 3],
    };
    let claim = Call::Claim {
        incarnation: Incarnation(7),
        key: action_key(),
        claimer: claimer(),
        fingerprint: 5,
    };
    let settle = Call::Settle {
        key: action_key(),
        claimer: claimer(),
        event: ActionEvent::Answered,
        answer: Some(answer),
    };
    vec![
        ("call-claim", claim),
        ("call-settle", settle),
        ("call-object", Call::Object("abc".to_owned())),
        ("call-table", Call::Table(1)),
    ]
}

/// Returns the replies to calls, by name.
pub(crate) fn replies() -> Vec<(&'static str, Reply)> {
    vec![
        ("reply-claim", Reply::Claim(ClaimOutcome::InProgress)),
        ("reply-settled", Reply::Settled),
        ("reply-object", Reply::Object(Some("{}".to_owned()))),
        ("reply-table", Reply::Table(Some(table()))),
    ]
}

/// Returns a table with one row.
pub(crate) fn table() -> TableSnapshot {
    let row = ReplicaRow {
        value: "{}".into(),
        position: Position::from(69),
    };
    TableSnapshot {
        rows: [("t1".to_owned(), row)].into(),
        position: Position::from(70),
    }
}

/// Returns the calls for parts of tables and for compressed ones, by name.
pub(crate) fn part_calls() -> Vec<(&'static str, Call)> {
    let (index, id) = (1, PartId::of(b"a part"));
    let known = vec![id];
    let ids = vec![id, PartId::of(b"another part")];
    vec![
        ("call-table-list", Call::TableList { index, known }),
        ("call-parts", Call::Parts { index, ids }),
        ("call-packed-table", Call::PackedTable(index)),
    ]
}

/// Returns the replies to [`part_calls`], by name. Their contents are what [`packed`] returns.
pub(crate) fn part_replies() -> Vec<(&'static str, Reply)> {
    let [list, parts, table] = packed().map(|(_, content)| Some(Packed::new(&content)));
    vec![
        ("reply-table-list", Reply::TableList(list)),
        ("reply-parts", Reply::Parts(parts)),
        ("reply-packed-table", Reply::PackedTable(table)),
    ]
}

/// Returns the contents that are sent compressed, by name.
pub(crate) fn packed() -> [(&'static str, Vec<u8>); 3] {
    let (list, parts, table) = (table_list(), parts(), table());
    [
        ("packed-list", postcard::to_stdvec(&list).unwrap()),
        ("packed-parts", postcard::to_stdvec(&parts).unwrap()),
        ("packed-table", postcard::to_stdvec(&table).unwrap()),
    ]
}

/// Returns a list with a short row and a long one.
pub(crate) fn table_list() -> TableList {
    let part = Part {
        id: PartId::of(b"a part"),
        len: 6,
    };
    let rows = [
        ("t1", RowContent::Parts(vec![part])),
        ("t2", RowContent::Groups(vec![PartId::of(b"a group")])),
    ];
    let rows = rows.map(|(name, content)| RowList {
        name: name.to_owned(),
        position: Position::from(69),
        content,
    });
    TableList {
        position: Position::from(70),
        rows: rows.into(),
        groups: vec![vec![part, part]],
    }
}

/// Returns parts with their contents.
pub(crate) fn parts() -> Vec<(PartId, Vec<u8>)> {
    vec![(PartId::of(b"a part"), b"a part".to_vec())]
}

/// Returns what opens a connection between instances, by name.
pub(crate) fn openings() -> Vec<(&'static str, Opening)> {
    vec![
        ("opening-call", Opening::Call(Call::Table(1))),
        ("opening-relay", Opening::Relay("t1".into())),
        ("opening-marked-relay", Opening::MarkedRelay("t1".into())),
    ]
}

/// Returns all samples encoded, one line each.
pub(crate) fn encoded() -> Vec<String> {
    fn line<T>(name: &str, value: &T) -> String
    where
        T: serde::Serialize,
    {
        let bytes = postcard::to_stdvec(value).unwrap();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name} {hex}")
    }
    let messages = messages().into_iter().map(|(name, one)| line(name, &one));
    let calls = calls().into_iter().map(|(name, one)| line(name, &one));
    let replies = replies().into_iter().map(|(name, one)| line(name, &one));
    let openings = openings().into_iter().map(|(name, one)| line(name, &one));
    let all = messages.chain(calls).chain(replies).chain(openings);
    let mut all: Vec<String> = all.collect();
    let calls = part_calls().into_iter();
    all.extend(calls.map(|(name, one)| line(name, &one)));
    let replies = part_replies().into_iter();
    all.extend(replies.map(|(name, one)| line(name, &one)));
    for (name, content) in packed() {
        let hex: String = content.iter().map(|byte| format!("{byte:02x}")).collect();
        all.push(format!("{name} {hex}"));
    }
    all
}
