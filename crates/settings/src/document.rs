//! JSON parsing that reports errors with the line of the field.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use jsonc_parser::{
    ast::Value,
    common::Ranged,
    parse_to_ast, {CollectOptions, ParseOptions},
};
use serde::de::DeserializeOwned;

/// Describes one error in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}:{line}: {field}: {reason}", file.display())]
pub struct Finding {
    /// File that the text comes from.
    pub file: PathBuf,
    /// Line of the field, counted from one.
    pub line: usize,
    /// Path of the field, separated by dots; a single dot represents the whole file.
    pub field: String,
    /// Reason why the field is invalid.
    pub reason: String,
}

/// Lists all errors in one settings file; never empty.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Findings(#[error(not(source))] pub Vec<Finding>);

/// Locates fields in a file, so that findings name their lines.
#[derive(Debug, Clone, Copy)]
pub struct Document<'a> {
    file: &'a Path,
    text: &'a str,
}

/// A value read from a settings file, and the fields of the file that the value doesn't know.
#[derive(Debug, Clone, PartialEq)]
pub struct Parsed<T> {
    /// Value read.
    pub value: T,
    /// Unknown fields, which were passed over.
    pub unknown: Vec<Finding>,
}

/// Deserializes the text of `file` and validates the value with `check`.
///
/// # Examples
///
/// ```
/// use settings::parse;
/// use std::{collections::BTreeMap, path::Path};
///
/// let text = "{ // a comment\n  \"a\": 1 }";
/// let value: BTreeMap<String, u32> = parse(Path::new("f.jsonc"), text, |_, _| Vec::new()).unwrap();
/// assert_eq!(value["a"], 1);
/// ```
///
/// # Errors
///
/// [`Findings`] if the text can't be parsed, a field is unknown or of the wrong type, or `check`
/// returns findings.
pub fn parse<T, F>(file: &Path, text: &str, check: F) -> Result<T, Findings>
where
    T: DeserializeOwned,
    F: FnOnce(&Document<'_>, &T) -> Vec<Finding>,
{
    let parsed = parse_known(file, text, |_, _| Ok(()), check)?;
    if parsed.unknown.is_empty() {
        Ok(parsed.value)
    } else {
        Err(Findings(parsed.unknown))
    }
}

/// Deserializes the text of `file` after `complete` has added to it, passes over unknown fields and
/// validates the value with `check`.
///
/// # Errors
///
/// [`Findings`] if the text can't be parsed, a field is of the wrong type, or `complete` or `check`
/// returns findings; unknown fields are among them.
pub(crate) fn parse_known<T, C, F>(
    file: &Path,
    text: &str,
    complete: C,
    check: F,
) -> Result<Parsed<T>, Findings>
where
    T: DeserializeOwned,
    C: FnOnce(&Document<'_>, &mut serde_json::Value) -> Result<(), Findings>,
    F: FnOnce(&Document<'_>, &T) -> Vec<Finding>,
{
    let doc = Document { file, text };
    let mut json = doc.parse()?;
    complete(&doc, &mut json)?;
    let mut findings = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let result = {
        let de = serde_path_to_error::Deserializer::new(json, &mut track);
        serde_ignored::deserialize::<_, _, T>(de, |path| {
            findings.push(doc.finding(&path.to_string(), "unknown field"));
        })
    };
    match result {
        Ok(value) => {
            let faults = check(&doc, &value);
            if faults.is_empty() {
                let unknown = findings;
                return Ok(Parsed { value, unknown });
            }
            findings.extend(faults);
        }
        Err(err) => findings.push(doc.finding(&track.path().to_string(), &err.to_string())),
    }
    Err(Findings(findings))
}

impl Document<'_> {
    /// Returns a finding for the field at `path`, with its line.
    pub fn finding(&self, path: &str, reason: &str) -> Finding {
        Finding {
            file: self.file.to_owned(),
            line: self.line_of(path),
            field: path.to_owned(),
            reason: reason.to_owned(),
        }
    }

    fn parse(&self) -> Result<serde_json::Value, Findings> {
        let finding = |line: usize, reason: String| {
            Findings(vec![Finding {
                file: self.file.to_owned(),
                line,
                field: ".".to_owned(),
                reason,
            }])
        };
        let parsed = parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        )
        .map_err(|err| finding(err.line_display(), err.kind().to_string()))?;
        parsed
            .value
            .map(serde_json::Value::from)
            .ok_or_else(|| finding(1, "the file is empty".to_owned()))
    }

    /// Returns the line of the deepest part of `path` that exists in the text.
    fn line_of(&self, path: &str) -> usize {
        let parsed = parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let Ok(Some(root)) = parsed.map(|parsed| parsed.value) else {
            return 1;
        };
        let mut node = &root;
        let mut start = node.range().start;
        for part in path.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
            let Some((child, child_start)) = child_of(node, part) else {
                break;
            };
            (node, start) = (child, child_start);
        }
        self.text[..start].matches('\n').count() + 1
    }
}

/// Returns the member or element of `node` named `part`, and where it starts in the text.
fn child_of<'a, 'b>(node: &'b Value<'a>, part: &str) -> Option<(&'b Value<'a>, usize)> {
    match node {
        Value::Object(object) => object.get(part).map(|prop| (&prop.value, prop.range.start)),
        Value::Array(array) => {
            let value = array.elements.get(part.parse::<usize>().ok()?)?;
            Some((value, value.range().start))
        }
        _ => None,
    }
}
