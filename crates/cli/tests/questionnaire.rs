//! The questionnaire asked line by line gives the same answers as a file.

use std::path::Path;

const LINES: &str = "tour\nsierra-norte sierra\nsierra-sur\n\n55\n1\nmany\n4000\n0.1\nlogbook\n8\n300\n5000\n\n127.0.0.1:9001\n\ngym\n100\n100\n1\n\n";

#[test]
fn questionnaire_gives_the_same_as_the_file() {
    let mut asked = Vec::new();
    let answers = cli::questionnaire::ask(&mut LINES.as_bytes(), &mut asked).unwrap();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tour/answers.jsonc");
    let from_file = survey::check(&file, &std::fs::read_to_string(&file).unwrap()).unwrap();
    assert_eq!(answers, from_file);
    insta::assert_snapshot!(String::from_utf8(asked).unwrap().replace(": ", ":\n"));
}

#[test]
fn questionnaire_ends_early() {
    let mut asked = Vec::new();
    assert!(cli::questionnaire::ask(&mut "tour\n".as_bytes(), &mut asked).is_err());
}
