//! The platform's state and calls without I/O, for in-process and test platforms.

use std::collections::BTreeMap;

use base::Position;

use crate::{Call, Change, ListedMachine, PlatformError, Precondition, Reply, Row, Write};

/// Applies calls to tables, objects and the list of machines, as the platform does, in memory.
///
/// # Examples
///
/// ```
/// use platform::{Call, Reply, Store};
///
/// let mut store = Store::default();
/// let call = Call::PutObject { name: "a".into(), text: "b".into() };
/// assert_eq!(store.apply(call), Ok(Reply::Done));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Store {
    rows: BTreeMap<(String, String), Row>,
    /// Position of each row's last change, including deletions.
    changed_at: BTreeMap<(String, String), Position>,
    position: Position,
    objects: BTreeMap<String, String>,
    list: BTreeMap<String, ListedMachine>,
}

impl Store {
    /// Executes one call.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] if a row does not meet its precondition.
    pub fn apply(&mut self, call: Call) -> Result<Reply, PlatformError> {
        match call {
            Call::Get { table, row } => Ok(Reply::Row(self.rows.get(&(table, row)).cloned())),
            Call::Scan { table, prefix } => Ok(Reply::Rows(self.scan(&table, &prefix))),
            Call::Write { writes } => self.write(&writes),
            Call::PutObject { name, text } => {
                self.objects.insert(name, text);
                Ok(Reply::Done)
            }
            Call::GetObject { name } => Ok(Reply::Object(self.objects.get(&name).cloned())),
            Call::Snapshot { table } => Ok(self.changes(&table, Position::ZERO, false)),
            // Returns at once instead of waiting for a change: a follower polls again.
            Call::Changes { table, after, .. } => Ok(self.changes(&table, after, true)),
            Call::Position { .. } => Ok(Reply::Position(self.position)),
            Call::List => Ok(Reply::List(self.list.values().cloned().collect())),
            Call::Announce { listed } => {
                self.list.insert(listed.id.clone(), listed);
                Ok(Reply::Done)
            }
            Call::Forget { id } => {
                self.list.remove(&id);
                Ok(Reply::Done)
            }
        }
    }

    fn scan(&self, table: &str, prefix: &str) -> Vec<(String, Row)> {
        let first = (table.to_owned(), prefix.to_owned());
        self.rows
            .range(first..)
            .take_while(|((tab, row), _)| tab == table && row.starts_with(prefix))
            .map(|((_, name), row)| (name.clone(), row.clone()))
            .collect()
    }

    fn changes(&self, table: &str, after: Position, includes_deleted: bool) -> Reply {
        let mut changes: Vec<Change> = self
            .changed_at
            .iter()
            .filter(|((tab, _), at)| tab == table && **at > after)
            .map(|(key, at)| Change {
                row: key.1.clone(),
                value: self.rows.get(key).map(|row| row.value.clone()),
                at: *at,
            })
            .filter(|change| includes_deleted || change.value.is_some())
            .collect();
        changes.sort_by_key(|change| change.at);
        Reply::Changes(changes, self.position)
    }

    fn write(&mut self, writes: &[Write]) -> Result<Reply, PlatformError> {
        for write in writes {
            self.check_precondition(write)?;
        }
        Ok(Reply::Written(
            writes.iter().map(|write| self.put(write)).collect(),
        ))
    }

    fn check_precondition(&self, write: &Write) -> Result<(), PlatformError> {
        let key = (write.table.clone(), write.row.clone());
        let version = self
            .rows
            .get(&key)
            .map_or(Position::ZERO, |row| row.version);
        let is_met = match write.expect {
            Precondition::Any => true,
            Precondition::Absent => version == Position::ZERO,
            Precondition::Version(expected) => version == expected,
        };
        if is_met {
            return Ok(());
        }
        Err(PlatformError::Conflict {
            row: write.row.clone(),
            version,
        })
    }

    fn put(&mut self, write: &Write) -> Position {
        let key = (write.table.clone(), write.row.clone());
        self.position.version += 1;
        self.changed_at.insert(key.clone(), self.position);
        let Some(value) = write.value.clone() else {
            self.rows.remove(&key);
            return Position::ZERO;
        };
        let mut version = self
            .rows
            .get(&key)
            .map_or(Position::ZERO, |row| row.version);
        version.version += 1;
        self.rows.insert(key, Row { version, value });
        version
    }
}
