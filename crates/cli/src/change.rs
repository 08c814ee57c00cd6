//! Differences between two configurations, as text for operators.

use std::collections::BTreeMap;

use base::Config;
use serde_json::Value;

/// Describes the difference in one field.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct FieldChange {
    /// Path of the field, with dots between the names.
    pub field: String,
    /// Old value; `None` if the field is added.
    pub old: Option<String>,
    /// New value; `None` if the field is removed.
    pub new: Option<String>,
}

/// Returns the fields that differ between two configurations, sorted by path.
pub fn diff_configs(old: &Config, new: &Config) -> Vec<FieldChange> {
    let (old, new) = (flatten(old), flatten(new));
    let fields: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    fields
        .into_iter()
        .filter(|field| old.get(*field) != new.get(*field))
        .map(|field| FieldChange {
            field: field.clone(),
            old: old.get(field).cloned(),
            new: new.get(field).cloned(),
        })
        .collect()
}

impl FieldChange {
    /// Returns the change as one line that starts with `+`, `-` or `~`.
    pub fn to_line(&self) -> String {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => format!("~ {}: {old} -> {new}", self.field),
            (None, Some(new)) => format!("+ {}: {new}", self.field),
            (Some(old), None) => format!("- {}: {old}", self.field),
            (None, None) => self.field.clone(),
        }
    }
}

/// Returns the values of all scalar fields and array items, by path.
fn flatten(config: &Config) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(config).unwrap_or_default();
    flatten_value("", &value, &mut fields);
    fields
}

fn flatten_value(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten_value(&path, value, fields);
            }
        }
        Value::Array(items) => {
            for item in items {
                let item = item.to_string();
                fields.insert(format!("{path}[{item}]"), "yes".to_owned());
            }
        }
        // The value of a digest means nothing to an operator.
        _ if path.ends_with(".digest") => {
            fields.insert(path.to_owned(), "(digest)".to_owned());
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}
