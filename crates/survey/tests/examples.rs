//! The answers of the examples generate the configurations in the snapshots, and invalid answers
//! are reported with file, field and reason.

use std::{fs, path::Path};

use rstest::rstest;

fn read_answers(name: &str) -> (std::path::PathBuf, String) {
    let file =
        Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../../examples/{name}/answers.jsonc"));
    let text = fs::read_to_string(&file).unwrap();
    (file, text)
}

#[rstest]
#[case::presa_verde("presa-verde")]
#[case::cascade_loop("cascade-loop")]
#[case::tour("tour")]
fn examples_generate_golden_configuration(#[case] name: &str) {
    let (file, text) = read_answers(name);
    let answers = survey::parse_answers(&file, &text).unwrap();
    let config = survey::generate_config(&answers);
    let shown = serde_json::to_string_pretty(&config).unwrap();
    insta::assert_snapshot!(name, shown);
}

/// Guards against builds that can't leave out a setting which nothing reads, since those before refuse
/// answers and configurations without it.
#[test]
fn client_delay_may_be_left_out() {
    let (file, text) = read_answers("tour");
    let line = "  \"client_delay_ms\": 1,\n";
    assert!(text.contains(line));
    let answers = survey::parse_answers(&file, &text.replace(line, "")).unwrap();
    let mut written = serde_json::to_value(survey::generate_config(&answers)).unwrap();
    let links = written["links"].as_object_mut().unwrap();
    links.remove("client_delay_ms").unwrap();
    let read: base::Config = serde_json::from_value(written).unwrap();
    assert_eq!(read.links, survey::generate_config(&answers).links);
}

#[rstest]
#[case::presa_verde("presa-verde")]
#[case::cascade_loop("cascade-loop")]
fn examples_have_the_true_sizes(#[case] name: &str) {
    let (file, text) = read_answers(name);
    let config = survey::generate_config(&survey::parse_answers(&file, &text).unwrap());
    assert_eq!(config.domains.len(), 6);
    assert_eq!(config.services.len(), 3);
    assert_eq!(config.workspaces.len(), 8);
    assert!(
        config
            .services
            .values()
            .all(|service| service.targets.len() == 12)
    );
}

#[rstest]
#[case::unknown_domain(
    "\"sierra-norte\": [",
    "\"sierra\": [",
    "targets.sierra: no such domain"
)]
#[case::no_rate(
    "\"rate\": 100",
    "\"rate\": 0",
    "workspaces.gym.rate: must be more than 0"
)]
#[case::small_burst(
    "\"burst\": 100",
    "\"burst\": 0.5",
    "workspaces.gym.burst: must be at least 1"
)]
#[case::no_slots(
    "\"slots\": 8",
    "\"slots\": 0",
    "services.logbook.slots: must be at least 1"
)]
#[case::reserved_name(
    "\"logbook\"",
    "\"v1\"",
    "services.v1: is not usable as a path segment"
)]
#[case::unknown_field("\"slots\": 8", "\"slots\": 8, \"slotz\": 1", "slotz: unknown field")]
fn answers_name_fault(#[case] old: &str, #[case] new: &str, #[case] expected: &str) {
    let (_, text) = read_answers("tour");
    assert!(text.contains(old));
    let findings =
        survey::parse_answers(Path::new("a.jsonc"), &text.replace(old, new)).unwrap_err();
    let text = findings.to_string();
    assert!(
        text.starts_with("a.jsonc:") && text.contains(expected),
        "{text}"
    );
}
