//! Checks that docs show the state charts that the code uses, and that every state is reachable.

use std::{fmt::Debug, fs, path::Path};

use chart::Chart;
use serde::de::DeserializeOwned;

fn assert_drawn<S, E>(name: &str, chart: &Chart<S, E>, states: usize)
where
    S: Clone + Ord + Debug + DeserializeOwned,
    E: Clone + Ord + Debug + DeserializeOwned,
{
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CHARTS.md");
    let page = fs::read_to_string(file).unwrap_or_default();
    let diagram = chart.to_mermaid();
    assert!(
        page.contains(&diagram),
        "the chart {name} in docs/CHARTS.md should be:\n{diagram}"
    );
    assert_eq!(chart.reachable().len(), states, "{name}");
}

#[test]
fn charts_target_is_drawn() {
    assert_drawn("target", &dispatch::target_chart().unwrap(), 3);
}

#[test]
fn charts_action_is_drawn() {
    assert_drawn("action", &dispatch::action_chart().unwrap(), 5);
}

#[test]
fn charts_lease_is_drawn() {
    assert_drawn("lease", &coord::lease_chart().unwrap(), 6);
}

#[test]
fn charts_path_is_drawn() {
    assert_drawn("path", &dispatch::path_chart().unwrap(), 2);
}
