//! What differs between two configurations, as lines for people.

use std::collections::BTreeMap;

use base::Config;
use serde_json::Value;

/// Describes one difference.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Change {
    /// Path of the field, with dots.
    pub field: String,
    /// Old value; `None` where there was none.
    pub old: Option<String>,
    /// New value; `None` where there is none any more.
    pub new: Option<String>,
}

/// Returns the differences between two configurations, by field.
pub fn changes(old: &Config, new: &Config) -> Vec<Change> {
    let (old, new) = (leaves(old), leaves(new));
    let fields: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    fields
        .into_iter()
        .filter(|field| old.get(*field) != new.get(*field))
        .map(|field| Change {
            field: field.clone(),
            old: old.get(field).cloned(),
            new: new.get(field).cloned(),
        })
        .collect()
}

impl Change {
    /// Returns the change as one line.
    pub fn to_line(&self) -> String {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => format!("~ {}: {old} -> {new}", self.field),
            (None, Some(new)) => format!("+ {}: {new}", self.field),
            (Some(old), None) => format!("- {}: {old}", self.field),
            (None, None) => self.field.clone(),
        }
    }
}

fn leaves(config: &Config) -> BTreeMap<String, String> {
    let mut found = BTreeMap::new();
    let value = serde_json::to_value(config).unwrap_or_default();
    collect("", &value, &mut found);
    found
}

fn collect(path: &str, value: &Value, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect(&path, value, found);
            }
        }
        Value::Array(items) => {
            for item in items {
                let name = item.to_string();
                found.insert(format!("{path}[{name}]"), "yes".to_owned());
            }
        }
        // Digests say nothing to people.
        _ if path.ends_with(".digest") => {
            found.insert(path.to_owned(), "(digest)".to_owned());
        }
        other => {
            found.insert(path.to_owned(), other.to_string());
        }
    }
}
