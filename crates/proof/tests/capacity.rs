//! Checks the arithmetic and the verdicts of the capacity page.

use std::{collections::BTreeMap, fs, path::Path};

/// Maximum relative difference between a computed value and the rounded one on the page.
const TOLERANCE: f64 = 0.006;

fn read_page() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    fs::read_to_string(file).unwrap()
}

/// Returns the cells of the table below a heading, row by row, without the table's header.
fn table(page: &str, heading: &str) -> Vec<Vec<String>> {
    let after = page.split(heading).nth(1).unwrap();
    after
        .lines()
        .skip_while(|line| !line.starts_with('|'))
        .take_while(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| {
            let line = line.trim_matches('|');
            line.split('|').map(|cell| cell.trim().to_owned()).collect()
        })
        .collect()
}

/// Evaluates a sum of products and quotients of numbers and named values.
fn evaluate(text: &str, names: &BTreeMap<String, f64>) -> f64 {
    text.split(" + ")
        .map(|term| evaluate_term(term, names))
        .sum()
}

fn evaluate_term(term: &str, names: &BTreeMap<String, f64>) -> f64 {
    let mut value = 1.0;
    let mut is_divided = false;
    for word in term.split_whitespace() {
        match word {
            "*" => is_divided = false,
            "/" => is_divided = true,
            word => {
                let operand = word.parse().unwrap_or_else(|_| {
                    *names
                        .get(word)
                        .unwrap_or_else(|| panic!("no value for {word}"))
                });
                value = if is_divided {
                    value / operand
                } else {
                    value * operand
                };
            }
        }
    }
    value
}

#[test]
fn capacity_arithmetic_follows_from_slopes() {
    let page = read_page();
    let mut names = BTreeMap::new();
    for heading in ["## Sizes", "## Slopes"] {
        for row in table(&page, heading) {
            names.insert(row[0].clone(), row[1].parse::<f64>().unwrap());
        }
    }
    let rows = table(&page, "## Arithmetic");
    assert!(rows.len() >= 12, "{} rows", rows.len());
    for row in rows {
        let stated: f64 = row[2].parse().unwrap();
        let computed = evaluate(&row[1], &names);
        let difference = (computed - stated).abs() / computed.abs().max(1e-9);
        assert!(
            difference < TOLERANCE,
            "{}: {computed}, the page says {stated}",
            row[0]
        );
        names.insert(row[0].clone(), stated);
    }
}

#[test]
fn capacity_verdicts_agree_with_limits() {
    let page = read_page();
    let mut names: BTreeMap<String, f64> = BTreeMap::new();
    for (heading, cell) in [("## Slopes", 1), ("## Arithmetic", 2)] {
        for row in table(&page, heading) {
            names.insert(row[0].clone(), row[cell].parse().unwrap());
        }
    }
    for row in table(&page, "## Verdicts") {
        let (figure, limit) = (names[&row[1]], row[2].parse::<f64>().unwrap());
        let expected = if figure <= limit {
            "fits"
        } else {
            "does not fit"
        };
        assert_eq!(row[3], expected, "{}: {figure} against {limit}", row[0]);
    }
}
