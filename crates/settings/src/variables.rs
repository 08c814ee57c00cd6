//! Environment variables that go before the settings in a file.
//!
//! A platform may fill in a settings file for an earlier build, and knows nothing of the fields that
//! came later. Those are given by variables, which another build ignores.

use serde_json::{Map, Value};

use crate::document::{Document, Findings};

/// Variables, each with the path of its setting.
const VARIABLES: [(&str, &[&str]); 5] = [
    ("MEMORY_MB", &["memory_mb"]),
    ("DESCRIPTORS", &["descriptors"]),
    ("CONTACT_S", &["bounds", "contact_s"]),
    ("APPLY_S", &["bounds", "apply_s"]),
    ("DRAIN_S", &["bounds", "drain_s"]),
];

/// Sets in `json` what `variable` gives; an empty variable gives nothing.
pub(crate) fn complete<F>(doc: &Document<'_>, json: &mut Value, variable: F) -> Result<(), Findings>
where
    F: Fn(&str) -> Option<String>,
{
    let mut findings = Vec::new();
    for (name, path) in VARIABLES {
        let Some(text) = variable(name).filter(|text| !text.is_empty()) else {
            continue;
        };
        match text.parse::<serde_json::Number>() {
            Ok(number) => insert(json, path, Value::Number(number)),
            Err(_) => findings.push(doc.finding(&path.join("."), &format!("{name} is no number"))),
        }
    }
    if findings.is_empty() {
        Ok(())
    } else {
        Err(Findings(findings))
    }
}

/// Sets the field at `path`.
fn insert(json: &mut Value, path: &[&str], value: Value) {
    let Some((name, folders)) = path.split_last() else {
        return;
    };
    let mut object = json;
    for folder in folders {
        let Some(fields) = object.as_object_mut() else {
            return;
        };
        object = fields
            .entry(*folder)
            .or_insert_with(|| Value::Object(Map::new()));
    }
    if let Some(fields) = object.as_object_mut() {
        fields.insert((*name).to_owned(), value);
    }
}
