//! The task that answers other instances' calls for the followed tables, whole or by parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use base::Position;
use coord::{
    TableSnapshot,
    parts::{PartId, TableCut},
};
use serde::Serialize;
use tokio::sync::{mpsc, watch};
use wire::Packed;

use crate::rpc::{Call, IncomingCall, MAX_BATCH_BYTES, Reply};

/// Answers calls for tables; a version is cut and compressed once, when it is first asked for.
#[derive(Debug)]
pub struct TableServer {
    snapshots: watch::Receiver<Arc<Vec<TableSnapshot>>>,
    tables: BTreeMap<u32, ServedTable>,
}

/// Caches a table in the forms in which other instances fetch it.
#[derive(Debug, Default)]
struct ServedTable {
    current: TableCut,
    /// The version before, whose list a caller may just have got.
    previous: TableCut,
    /// The whole table of a position.
    packed: Option<(Position, Packed)>,
}

impl TableServer {
    /// Creates the task's state; `snapshots` publishes the tables.
    pub fn new(snapshots: watch::Receiver<Arc<Vec<TableSnapshot>>>) -> Self {
        Self {
            snapshots,
            tables: BTreeMap::new(),
        }
    }

    /// Answers calls until all their senders are dropped. Calls for anything but tables stay unanswered.
    pub async fn run(mut self, mut calls: mpsc::Receiver<IncomingCall>) {
        while let Some(IncomingCall { call, reply }) = calls.recv().await {
            if let Some(answer) = self.answer(&call) {
                let _ = reply.send(answer);
            }
        }
    }

    fn answer(&mut self, call: &Call) -> Option<Reply> {
        let snapshots = self.snapshots.borrow().clone();
        let find = |index: u32| snapshots.get(index as usize);
        match call {
            Call::Table(index) => Some(Reply::Table(find(*index).cloned())),
            Call::PackedTable(index) => {
                let packed = find(*index).and_then(|table| self.served(*index).pack(table));
                Some(Reply::PackedTable(packed))
            }
            Call::TableList { index, known } => {
                let known = known.iter().copied().collect();
                let list = find(*index).map(|table| self.served(*index).update(table).list(&known));
                let packed = list.and_then(|list| pack_with_era(&list, list.position));
                Some(Reply::TableList(packed))
            }
            Call::Parts { index, ids } => {
                let ids = ids.iter().copied().collect();
                let parts = self.tables.get(index).and_then(|table| table.find(&ids));
                Some(Reply::Parts(parts.and_then(|parts| pack(&parts))))
            }
            Call::Claim { .. } | Call::Settle { .. } | Call::Object(_) => None,
        }
    }

    fn served(&mut self, index: u32) -> &mut ServedTable {
        self.tables.entry(index).or_default()
    }
}

impl ServedTable {
    /// Returns the cut of the table as it is now.
    fn update(&mut self, table: &TableSnapshot) -> &TableCut {
        if self.current.position() != table.position {
            let cut = self.current.update(table);
            self.previous = std::mem::replace(&mut self.current, cut);
        }
        &self.current
    }

    fn pack(&mut self, table: &TableSnapshot) -> Option<Packed> {
        let is_current = |(position, _): &(Position, Packed)| *position == table.position;
        if !self.packed.as_ref().is_some_and(is_current) {
            let packed = pack_with_era(table, table.position)?;
            self.packed = Some((table.position, packed));
        }
        self.packed.as_ref().map(|(_, packed)| packed.clone())
    }

    /// Returns all of these parts, or `None` if one isn't there or they are too much for one reply.
    fn find<'a>(&'a self, ids: &'a BTreeSet<PartId>) -> Option<Vec<(PartId, &'a [u8])>> {
        let mut found = self.current.find(ids);
        if found.len() < ids.len() {
            found.extend(self.previous.find(ids));
        }
        let bytes: usize = found.values().map(|content| content.len()).sum();
        let is_complete = found.len() == ids.len() && bytes <= MAX_BATCH_BYTES;
        is_complete.then(|| found.into_iter().collect())
    }
}

/// Packs a content with the era of its positions behind it, which earlier formats don't read.
fn pack_with_era<T>(content: &T, position: Position) -> Option<Packed>
where
    T: Serialize,
{
    pack(&(content, position.era))
}

fn pack<T>(content: &T) -> Option<Packed>
where
    T: Serialize,
{
    let encoded = postcard::to_stdvec(content).ok()?;
    Some(Packed::new(&encoded))
}
