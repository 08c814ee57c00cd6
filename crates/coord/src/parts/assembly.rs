//! Assembly of a table from listed parts.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use base::Position;

use super::{
    MAX_PART_BYTES, MAX_PARTS, MAX_TABLE_BYTES, Part, PartId, PartsError, RowContent, TableCut,
    TableList,
    cut::{Group, RowCut, group},
};
use crate::{ReplicaRow, TableSnapshot};

/// Assembles a table from the parts that its list names: those of an own table, and others that are
/// asked for.
///
/// Nothing that arrives is trusted: each part is checked against its hash, and what is held is bounded by
/// [`MAX_TABLE_BYTES`].
#[derive(Debug)]
pub struct Assembly {
    rows: Vec<Row>,
    position: Position,
    own: TableCut,
    /// Parts that have not arrived.
    missing: BTreeMap<PartId, u32>,
    /// Parts that have arrived.
    taken: BTreeMap<PartId, Box<[u8]>>,
    listed: usize,
    listed_bytes: usize,
}

/// Describes one row to be assembled.
#[derive(Debug)]
struct Row {
    name: String,
    position: Position,
    groups: Vec<Group>,
}

impl Assembly {
    /// Starts the assembly of the listed table, with the texts of an own one.
    ///
    /// # Errors
    ///
    /// [`PartsError`] if the list is malformed or names too much.
    pub fn start(own: &TableCut, list: &TableList) -> Result<Self, PartsError> {
        let rows = read_list(own, list)?;
        let mut wanted = BTreeMap::new();
        let changed = rows.iter().filter(|row| row.unchanged(own).is_none());
        for part in changed.flat_map(Row::parts) {
            let listed = *wanted.entry(part.id).or_insert(part.len);
            if listed != part.len {
                return Err(PartsError::ListedLength { len: part.len });
            }
        }
        let ids = wanted.keys().copied().collect();
        for (id, content) in own.find(&ids) {
            let len = wanted.remove(&id).unwrap_or_default();
            if len as usize != content.len() {
                return Err(PartsError::ListedLength { len });
            }
        }
        Ok(Self {
            listed: rows.iter().flat_map(Row::parts).count(),
            listed_bytes: rows.iter().flat_map(Row::parts).map(size).sum(),
            rows,
            position: list.position,
            own: own.clone(),
            missing: wanted,
            taken: BTreeMap::new(),
        })
    }

    /// Returns the parts that neither the own table has nor have arrived.
    pub fn missing(&self) -> impl Iterator<Item = Part> {
        let missing = self.missing.iter();
        missing.map(|(id, len)| Part { id: *id, len: *len })
    }

    /// Returns the number of parts that the list names.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// Returns the size of the texts that the list names, in bytes.
    pub fn listed_bytes(&self) -> usize {
        self.listed_bytes
    }

    /// Takes a part that has arrived.
    ///
    /// # Errors
    ///
    /// [`PartsError`] if its content doesn't match its name, or isn't missing; nothing has changed then.
    pub fn take(&mut self, id: PartId, content: &[u8]) -> Result<(), PartsError> {
        let Some(listed) = self.missing.get(&id).copied() else {
            return Err(if self.taken.contains_key(&id) {
                PartsError::PartTwice
            } else {
                PartsError::NotAskedFor
            });
        };
        if content.len() != listed as usize {
            let len = content.len();
            return Err(PartsError::PartLength { len, listed });
        }
        if PartId::of(content) != id {
            return Err(PartsError::WrongHash);
        }
        self.missing.remove(&id);
        self.taken.insert(id, content.into());
        Ok(())
    }

    /// Returns the table and its cut. Texts that haven't changed are shared with the own table.
    ///
    /// # Errors
    ///
    /// [`PartsError`] if parts are missing or a row is no text.
    pub fn finish(self) -> Result<(TableSnapshot, TableCut), PartsError> {
        if !self.missing.is_empty() {
            let count = self.missing.len();
            return Err(PartsError::Missing { count });
        }
        let changed = self.rows.iter();
        let changed = changed.filter(|row| row.unchanged(&self.own).is_none());
        let ids = changed.flat_map(Row::parts).map(|part| part.id).collect();
        let known = self.own.find(&ids);
        let mut table = TableSnapshot {
            rows: BTreeMap::new(),
            position: self.position,
        };
        let mut cut = TableCut {
            rows: BTreeMap::new(),
            position: self.position,
        };
        for row in &self.rows {
            let row_cut = match row.unchanged(&self.own) {
                Some(known) => known.clone(),
                None => Arc::new(RowCut {
                    text: self.text(row, &known)?,
                    groups: row.groups.clone(),
                }),
            };
            let found = ReplicaRow {
                value: row_cut.text.clone(),
                position: row.position,
            };
            table.rows.insert(row.name.clone(), found);
            cut.rows.insert(row.name.clone(), (row_cut, row.position));
        }
        Ok((table, cut))
    }

    fn text(&self, row: &Row, known: &BTreeMap<PartId, &[u8]>) -> Result<Arc<str>, PartsError> {
        let mut text = Vec::with_capacity(row.parts().map(size).sum());
        for part in row.parts() {
            let taken = self.taken.get(&part.id).map(Box::as_ref);
            let content = taken.or(known.get(&part.id).copied());
            text.extend_from_slice(content.ok_or(PartsError::Missing { count: 1 })?);
        }
        let text = String::from_utf8(text).map_err(|_| PartsError::NotText)?;
        Ok(text.into())
    }
}

impl Row {
    fn parts(&self) -> impl Iterator<Item = Part> {
        self.groups
            .iter()
            .flat_map(|group| group.parts.iter().copied())
    }

    /// Returns the own row of this name if it has the same text.
    fn unchanged<'a>(&self, own: &'a TableCut) -> Option<&'a Arc<RowCut>> {
        let (known, _) = own.rows.get(&self.name)?;
        let ids = known.groups.iter().map(|group| group.id);
        ids.eq(self.groups.iter().map(|group| group.id))
            .then_some(known)
    }
}

fn size(part: Part) -> usize {
    part.len as usize
}

/// Returns the rows of a list with all their parts.
fn read_list(own: &TableCut, list: &TableList) -> Result<Vec<Row>, PartsError> {
    let listed = list.groups.iter().map(|parts| Group::new(parts));
    let own_groups = own
        .rows
        .values()
        .flat_map(|(row, _)| row.groups.iter().cloned());
    let known: BTreeMap<PartId, Group> = own_groups
        .chain(listed)
        .map(|group| (group.id, group))
        .collect();
    let mut names = BTreeSet::new();
    let mut rows = Vec::new();
    let mut total = Total::default();
    for row in &list.rows {
        if !names.insert(row.name.as_str()) {
            return Err(PartsError::RowTwice);
        }
        let mut groups = Vec::new();
        match &row.content {
            RowContent::Parts(parts) => {
                total.add(parts)?;
                groups = group(parts);
            }
            RowContent::Groups(ids) => {
                for id in ids {
                    let group = known.get(id).ok_or(PartsError::GroupNotListed)?;
                    total.add(&group.parts)?;
                    groups.push(group.clone());
                }
            }
        }
        rows.push(Row {
            name: row.name.clone(),
            position: row.position,
            groups,
        });
    }
    Ok(rows)
}

/// Counts what a list names, so that a bad one ends before anything of its size is held.
#[derive(Debug, Default)]
struct Total {
    parts: usize,
    bytes: usize,
}

impl Total {
    fn add(&mut self, parts: &[Part]) -> Result<(), PartsError> {
        self.parts += parts.len().max(1);
        if self.parts > MAX_PARTS {
            return Err(PartsError::TooManyParts);
        }
        for part in parts {
            if part.len == 0 || part.len > MAX_PART_BYTES {
                return Err(PartsError::ListedLength { len: part.len });
            }
            self.bytes += part.len as usize;
        }
        if self.bytes > MAX_TABLE_BYTES {
            return Err(PartsError::TableTooLong);
        }
        Ok(())
    }
}
