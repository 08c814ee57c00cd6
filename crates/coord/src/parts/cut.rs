//! Cutting of a table's texts into parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use base::Position;
use fastcdc::v2020::FastCDC;

use super::{MAX_PART_BYTES, Part, PartId, RowContent, RowList, TableList};
use crate::{ReplicaRow, TableSnapshot};

/// Minimum size of a part but for a text's last one, in bytes.
const MIN_PART_BYTES: usize = 512;
/// Size of a part that is aimed at, in bytes.
const AVERAGE_PART_BYTES: usize = 2 * 1024;
/// Number of parts of a group that is aimed at.
const AVERAGE_GROUP_PARTS: u8 = 32;
const MAX_GROUP_PARTS: usize = 128;
/// Maximum number of parts of a text that are listed without groups.
const MAX_UNGROUPED_PARTS: usize = 4;

/// Cuts the texts of a table into parts, so that a receiver fetches only those that it lacks.
///
/// # Examples
///
/// ```
/// use base::Position;
/// use coord::{ReplicaRow, TableSnapshot, parts::{Assembly, TableCut}};
/// use std::collections::BTreeSet;
///
/// let row = ReplicaRow { value: "a text".into(), position: Position::from(3) };
/// let table = TableSnapshot { rows: [("r".to_owned(), row)].into(), position: Position::from(7) };
/// let sender = TableCut::default().update(&table);
/// let receiver = TableCut::default();
///
/// let known: BTreeSet<_> = receiver.groups().collect();
/// let mut assembly = Assembly::start(&receiver, &sender.list(&known)).unwrap();
/// let missing = assembly.missing().map(|part| part.id).collect();
/// for (id, content) in sender.find(&missing) {
///     assembly.take(id, content).unwrap();
/// }
/// assert_eq!(assembly.finish().unwrap().0, table);
/// ```
#[derive(Debug, Clone, Default)]
pub struct TableCut {
    pub(super) rows: BTreeMap<String, (Arc<RowCut>, Position)>,
    pub(super) position: Position,
}

/// Describes a row's text by the groups of parts that make it up.
#[derive(Debug)]
pub(super) struct RowCut {
    pub(super) text: Arc<str>,
    pub(super) groups: Vec<Group>,
}

/// Names consecutive parts by one identifier, so that the list of a long text stays short.
#[derive(Debug, Clone)]
pub(super) struct Group {
    pub(super) id: PartId,
    pub(super) parts: Arc<[Part]>,
}

impl Group {
    pub(super) fn new(parts: &[Part]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&part.id.0).update(&part.len.to_le_bytes());
        }
        Self {
            id: PartId::from_hash(hasher.finalize()),
            parts: parts.into(),
        }
    }
}

impl TableCut {
    /// Returns the cut of this table; texts that it shares with this one aren't cut again.
    pub fn update(&self, table: &TableSnapshot) -> Self {
        let rows = table.rows.iter().map(|(name, row)| {
            let known = self.rows.get(name).map(|(known, _)| known);
            let known = known.filter(|known| is_same(&known.text, &row.value));
            let cut = known.cloned().unwrap_or_else(|| Arc::new(cut(row)));
            (name.clone(), (cut, row.position))
        });
        Self {
            rows: rows.collect(),
            position: table.position,
        }
    }

    /// Returns the position of the table.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the names of the groups that it lists, for a sender to leave out.
    pub fn groups(&self) -> impl Iterator<Item = PartId> {
        let rows = self.rows.values().filter(|(row, _)| row.is_grouped());
        rows.flat_map(|(row, _)| row.groups.iter().map(|group| group.id))
    }

    /// Lists the parts for a receiver that knows these groups.
    pub fn list(&self, known: &BTreeSet<PartId>) -> TableList {
        let mut listed = BTreeSet::new();
        let mut groups = Vec::new();
        let mut rows = Vec::new();
        for (name, (row, position)) in &self.rows {
            if row.is_grouped() {
                let lacking = row.groups.iter();
                for group in lacking.filter(|group| !known.contains(&group.id)) {
                    if listed.insert(group.id) {
                        groups.push(group.parts.to_vec());
                    }
                }
            }
            rows.push(RowList {
                name: name.clone(),
                position: *position,
                content: row.content(),
            });
        }
        TableList {
            position: self.position,
            rows,
            groups,
        }
    }

    /// Returns those of these parts that it has, each once.
    pub fn find<'a>(&'a self, ids: &'a BTreeSet<PartId>) -> BTreeMap<PartId, &'a [u8]> {
        let parts = self.rows.values().flat_map(|(row, _)| row.parts());
        let wanted = parts.filter(|(part, _)| ids.contains(&part.id));
        wanted.map(|(part, content)| (part.id, content)).collect()
    }
}

impl RowCut {
    /// Returns the parts with their content.
    pub(super) fn parts(&self) -> impl Iterator<Item = (Part, &[u8])> {
        let mut rest = self.text.as_bytes();
        let parts = self.groups.iter().flat_map(|group| group.parts.iter());
        parts.map(move |part| {
            let (content, others) = rest.split_at(part.len as usize);
            rest = others;
            (*part, content)
        })
    }

    /// Returns whether the parts are listed by groups.
    fn is_grouped(&self) -> bool {
        let parts = self.groups.iter().map(|group| group.parts.len());
        parts.sum::<usize>() > MAX_UNGROUPED_PARTS
    }

    fn content(&self) -> RowContent {
        if self.is_grouped() {
            return RowContent::Groups(self.groups.iter().map(|group| group.id).collect());
        }
        let parts = self.groups.iter().flat_map(|group| group.parts.iter());
        RowContent::Parts(parts.copied().collect())
    }
}

fn is_same(known: &Arc<str>, text: &Arc<str>) -> bool {
    Arc::ptr_eq(known, text) || known == text
}

fn cut(row: &ReplicaRow) -> RowCut {
    RowCut {
        text: row.value.clone(),
        groups: group(&cut_text(row.value.as_bytes())),
    }
}

/// Cuts a text at the boundaries that its content defines.
fn cut_text(text: &[u8]) -> Vec<Part> {
    let max = MAX_PART_BYTES as usize;
    let chunks = FastCDC::new(text, MIN_PART_BYTES, AVERAGE_PART_BYTES, max);
    let parts = chunks.map(|chunk| {
        let content = &text[chunk.offset..][..chunk.length];
        Part {
            id: PartId::of(content),
            len: chunk.length as u32,
        }
    });
    parts.collect()
}

/// Groups parts; a part's hash determines whether its group ends with it.
pub(super) fn group(parts: &[Part]) -> Vec<Group> {
    let mut groups = Vec::new();
    let mut start = 0;
    for (idx, part) in parts.iter().enumerate() {
        let end = idx + 1;
        let is_end = part.id.0[0].is_multiple_of(AVERAGE_GROUP_PARTS);
        if is_end || end - start == MAX_GROUP_PARTS {
            groups.push(Group::new(&parts[start..end]));
            start = end;
        }
    }
    if start < parts.len() {
        groups.push(Group::new(&parts[start..]));
    }
    groups
}
