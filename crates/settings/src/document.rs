//! Parsing with positions.

use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use jsonc_parser::{
    ast::Value,
    common::Ranged,
    parse_to_ast, {CollectOptions, ParseOptions},
};
use serde::de::DeserializeOwned;

/// Describes one fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{}:{line}: {field}: {reason}", file.display())]
pub struct Finding {
    /// File that was read.
    pub file: PathBuf,
    /// Line of the field, counted from one.
    pub line: usize,
    /// Path of the field, with dots; a single dot for the whole file.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

/// Lists the faults of one settings file, at least one.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Findings(#[error(not(source))] pub Vec<Finding>);

/// Holds a file's name and text, to report findings by field.
#[derive(Debug, Clone, Copy)]
pub struct Document<'a> {
    file: &'a Path,
    text: &'a str,
}

/// Reads a value from the text of `file` and runs `check` on it.
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
/// [`Findings`] where the text can't be parsed, a field is unknown or of the wrong type, or
/// `check` finds something.
pub fn parse<T, F>(file: &Path, text: &str, check: F) -> Result<T, Findings>
where
    T: DeserializeOwned,
    F: FnOnce(&Document<'_>, &T) -> Vec<Finding>,
{
    let doc = Document { file, text };
    let json = doc.parse()?;
    let mut findings = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let value = {
        let de = serde_path_to_error::Deserializer::new(json, &mut track);
        serde_ignored::deserialize::<_, _, T>(de, |path| {
            findings.push(doc.finding(&path.to_string(), "unknown field"));
        })
    };
    match value {
        Ok(value) => {
            findings.extend(check(&doc, &value));
            if findings.is_empty() {
                return Ok(value);
            }
        }
        Err(err) => findings.push(doc.finding(&track.path().to_string(), &err.to_string())),
    }
    Err(Findings(findings))
}

impl Document<'_> {
    /// Returns a finding on the field at `path`, with its line.
    pub fn finding(&self, path: &str, reason: &str) -> Finding {
        Finding {
            file: self.file.to_owned(),
            line: self.line_of(path),
            field: path.to_owned(),
            reason: reason.to_owned(),
        }
    }

    fn parse(&self) -> Result<serde_json::Value, Findings> {
        let fault = |line: usize, reason: String| {
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
        .map_err(|err| fault(err.line_display(), err.kind().to_string()))?;
        parsed
            .value
            .map(serde_json::Value::from)
            .ok_or_else(|| fault(1, "the file is empty".to_owned()))
    }

    /// Finds the line of the deepest part of `path` that the text has.
    fn line_of(&self, path: &str) -> usize {
        let parsed = parse_to_ast(
            self.text,
            &CollectOptions::default(),
            &ParseOptions::default(),
        );
        let Ok(Some(root)) = parsed.map(|found| found.value) else {
            return 1;
        };
        let mut node = &root;
        let mut start = node.range().start;
        for part in path.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
            let Some((next, at)) = step(node, part) else {
                break;
            };
            (node, start) = (next, at);
        }
        self.text[..start].matches('\n').count() + 1
    }
}

fn step<'a, 'b>(node: &'b Value<'a>, part: &str) -> Option<(&'b Value<'a>, usize)> {
    match node {
        Value::Object(object) => object.get(part).map(|prop| (&prop.value, prop.range.start)),
        Value::Array(array) => {
            let value = array.elements.get(part.parse::<usize>().ok()?)?;
            Some((value, value.range().start))
        }
        _ => None,
    }
}
