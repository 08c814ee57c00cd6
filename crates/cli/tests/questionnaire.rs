//! Answers given interactively are the same as those read from a file.

use std::path::Path;

const TOUR_INPUT: &str = "tour\nsierra-norte sierra\nsierra-sur\n\n55\n1\nmany\n4000\n0.1\nlogbook\n8\n300\n5000\n\n127.0.0.1:9001\n\ngym\n100\n100\n1\n0\n\n\n\n";

#[test]
fn questionnaire_gives_the_same_as_the_file() {
    let mut output = Vec::new();
    let answers = cli::questionnaire::ask(&mut TOUR_INPUT.as_bytes(), &mut output).unwrap();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tour/answers.jsonc");
    let from_file = survey::parse_answers(&file, &std::fs::read_to_string(&file).unwrap()).unwrap();
    assert_eq!(answers, from_file);
    insta::assert_snapshot!(String::from_utf8(output).unwrap().replace(": ", ":\n"));
}

const ROUTES_INPUT: &str = "presa-verde\nsierra-norte sierra\ncosta-norte costa\noriente-norte oriente\n\n55\n1\n4000\n0.1\n\
board\n5\n360\n10000\n\n\n\n\nmaybe\nyes\n3000\n4.2\nlogbook\n6\n360\n10000\n\n\n\n\nyes\n0\n\n\
archive\n40\n40\n1\n2\nsierra\ngym\n100\n100\n1\n1\n\n\n\
read\nboard.example\n/board/\nyes\nboard\nboard=1\n2500\n600\n2\n2\nno\nyes\n\n\
send\nboard.example\n/log/\nno\nlogbook=90 board=10\n2000\n500\n2\n0\nno\nyes\nsierra costa\n\n";

/// The questionnaire also asks for routes, priorities, home regions and self-registering targets,
/// but not for limits on callers.
#[test]
fn questionnaire_asks_for_routes() {
    let mut output = Vec::new();
    let answers = cli::questionnaire::ask(&mut ROUTES_INPUT.as_bytes(), &mut output).unwrap();
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/platform/answers.jsonc");
    let from_file = survey::parse_answers(&file, &std::fs::read_to_string(&file).unwrap()).unwrap();
    let expected = survey::Answers {
        limits: None,
        ..from_file
    };
    assert_eq!(answers, expected);
    let output = String::from_utf8(output).unwrap();
    assert_eq!(output.matches("please answer again").count(), 2, "{output}");
}

#[test]
fn questionnaire_ends_early() {
    let mut output = Vec::new();
    assert!(cli::questionnaire::ask(&mut "tour\n".as_bytes(), &mut output).is_err());
}
