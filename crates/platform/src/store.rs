//! The platform's state as a pure value, for stand-ins.

use std::collections::BTreeMap;

use crate::{Call, Expect, Fault, Listed, Reply, Row, Write};

/// Holds tables, objects and the list, and applies calls to them.
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
    objects: BTreeMap<String, String>,
    list: BTreeMap<String, Listed>,
}

impl Store {
    /// Carries out one call.
    ///
    /// # Errors
    ///
    /// [`Fault::Conflict`] where a row was not as expected.
    pub fn apply(&mut self, call: Call) -> Result<Reply, Fault> {
        match call {
            Call::Get { table, row } => Ok(Reply::Row(self.rows.get(&(table, row)).cloned())),
            Call::Scan { table, prefix } => Ok(Reply::Rows(self.scan(&table, &prefix))),
            Call::Write { writes } => self.write(&writes),
            Call::PutObject { name, text } => {
                self.objects.insert(name, text);
                Ok(Reply::Done)
            }
            Call::GetObject { name } => Ok(Reply::Object(self.objects.get(&name).cloned())),
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

    fn write(&mut self, writes: &[Write]) -> Result<Reply, Fault> {
        for write in writes {
            self.check(write)?;
        }
        Ok(Reply::Written(
            writes.iter().map(|write| self.put(write)).collect(),
        ))
    }

    fn check(&self, write: &Write) -> Result<(), Fault> {
        let key = (write.table.clone(), write.row.clone());
        let version = self.rows.get(&key).map_or(0, |row| row.version);
        let is_met = match write.expect {
            Expect::Any => true,
            Expect::Absent => version == 0,
            Expect::Version(wanted) => version == wanted,
        };
        if is_met {
            return Ok(());
        }
        Err(Fault::Conflict {
            row: write.row.clone(),
            version,
        })
    }

    fn put(&mut self, write: &Write) -> u64 {
        let key = (write.table.clone(), write.row.clone());
        let Some(value) = write.value.clone() else {
            self.rows.remove(&key);
            return 0;
        };
        let version = self.rows.get(&key).map_or(0, |row| row.version) + 1;
        self.rows.insert(key, Row { version, value });
        version
    }
}
