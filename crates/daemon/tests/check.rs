//! `godwitgauged check` reports each error in a settings file with file, line, field and reason.

use std::fs;

use proof::process::run;
use rstest::rstest;

const GOOD: &str = r#"// Settings.
{
  "instance": "i1",
  "domain": "d",
  "region": "r",
  "entry": "127.0.0.1:0",
  "operator": "127.0.0.1:0",
  "peer": "127.0.0.1:0",
  "platform": "127.0.0.1:1",
  "secret": "sixteen characters and more",
  "slot_count": 2
}
"#;

fn check(text: &str) -> (String, i32) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("i.jsonc");
    fs::write(&file, text).unwrap();
    let output = run(
        "godwitgauged",
        &["check", "--config", file.to_str().unwrap()],
    );
    let shown = String::from_utf8_lossy(&output.stderr)
        .replace(folder.path().to_str().unwrap(), "(folder)");
    (shown, output.status.code().unwrap())
}

#[test]
fn check_accepts_good_file() {
    assert_eq!(check(GOOD), (String::new(), 0));
}

#[rstest]
#[case::unknown_field(
    "\"slot_count\": 2",
    "\"slot_count\": 2,\n  \"slots\": 3",
    "(folder)/i.jsonc:12: slots: unknown field\n"
)]
#[case::wrong_type(
    "\"slot_count\": 2",
    "\"slot_count\": \"two\"",
    "(folder)/i.jsonc:11: slot_count: invalid type: string \"two\", expected u32\n"
)]
#[case::missing_field(
    "  \"domain\": \"d\",\n",
    "",
    "(folder)/i.jsonc:2: .: missing field `domain`\n"
)]
#[case::short_secret(
    "sixteen characters and more",
    "short",
    "(folder)/i.jsonc:10: secret: must have at least 16 characters\n"
)]
#[case::broken_json("\"region\"", "region\"", "(folder)/i.jsonc:5: .: ")]
fn check_names_fault(#[case] old: &str, #[case] new: &str, #[case] shown: &str) {
    let (text, code) = check(&GOOD.replace(old, new));
    assert_eq!(code, 2);
    assert!(text.starts_with(shown), "{text}");
}

#[test]
fn check_names_every_fault() {
    let text = GOOD
        .replace("sixteen characters and more", "short")
        .replace("\"slot_count\": 2", "\"slot_count\": 0");
    let (shown, _) = check(&text);
    assert_eq!(shown.lines().count(), 2, "{shown}");
}

#[test]
fn check_unreadable_file() {
    let output = run("godwitgauged", &["check", "--config", "/nowhere/i.jsonc"]);
    assert_ne!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("/nowhere/i.jsonc"));
}
