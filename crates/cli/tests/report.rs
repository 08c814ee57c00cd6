//! `report` sums up log lines: shares by route and region, causes of late requests, and bad input.

use std::{
    fs,
    process::{Command, Output},
};

use rstest::rstest;

const LINES: &str = r#"{"event":"plan","service":"s"}
  21.5 front-1 {"event":"request","at_ms":1100,"id":"a1","instance":"i1","region":"north","route":"r-1","service":"s","workspace":"gym","revision":3,"deadline_ms":2500,"objective_ms":100,"attempts":[{"target":"t1","region":"north","reason":"first","load":0,"start_ms":0,"took_ms":40,"is_new":false,"end":"answered"}],"end":"ok","status":200,"took_ms":40}
{"event":"request","at_ms":1200,"id":"a2","instance":"i1","region":"north","route":"r-1","service":"s","workspace":"gym","revision":3,"deadline_ms":2500,"objective_ms":100,"attempts":[{"target":"t1","region":"north","reason":"first","load":0,"start_ms":0,"took_ms":41,"is_new":false,"end":"answered"}],"end":"ok","status":200,"took_ms":42}
{"event":"request","at_ms":2200,"id":"a3","instance":"i1","region":"north","route":"r-1","service":"s","workspace":"gym","revision":3,"deadline_ms":2500,"objective_ms":100,"attempts":[{"target":"t2","region":"north","reason":"next","load":0,"start_ms":0,"took_ms":130,"is_new":false,"end":"answered"}],"end":"ok","status":200,"took_ms":131}
{"event":"request","at_ms":2300,"id":"a4","instance":"i1","region":"north","route":"r-1","service":"s","workspace":"gym","revision":3,"deadline_ms":2500,"objective_ms":100,"attempts":[{"target":"t9","region":"south","reason":"other_region","load":0,"start_ms":0,"took_ms":75,"is_new":false,"end":"answered"}],"end":"ok","status":200,"took_ms":104}
{"event":"request","at_ms":3300,"id":"a5","instance":"i1","region":"north","route":"r-1","service":"s","workspace":"gym","revision":3,"deadline_ms":2500,"objective_ms":100,"attempts":[],"end":"overloaded","status":503,"took_ms":6,"retry_after_ms":20}
{"event":"request","at_ms":3400,"id":"a6","instance":"i1","region":"north","route":"r-1","service":"s","workspace":"gym","revision":3,"deadline_ms":2500,"objective_ms":100,"attempts":[{"target":"t1","region":"north","reason":"first","load":0,"start_ms":0,"took_ms":50,"is_new":false,"end":"lost"}],"end":"target_lost","status":502,"took_ms":51}
"#;

fn report(text: &str, args: &[&str]) -> Output {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("i1.log");
    fs::write(&file, text).unwrap();
    Command::new(proof::process::program_path("godwitgauge"))
        .current_dir(folder.path())
        .args(["report", "i1.log"])
        .args(args)
        .output()
        .unwrap()
}

#[test]
fn report_sums_up_requests() {
    let output = report(LINES, &[]);
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8(output.stdout).unwrap());
}

#[test]
fn report_writes_a_plot() {
    let folder = tempfile::tempdir().unwrap();
    let plot = folder.path().join("plot.svg");
    let output = report(LINES, &["--plot", plot.to_str().unwrap()]);
    assert!(output.status.success());
    let svg = fs::read_to_string(plot).unwrap();
    assert!(svg.starts_with("<svg"));
    assert!(svg.contains("in time"));
}

/// Each bad line is named, and the others are reported all the same.
#[rstest]
#[case::no_json("{not json\n", "i1.log:1: key must be a string")]
#[case::cut_line(r#"{"event":"request","at_ms":11"#, "i1.log:1: EOF while parsing")]
#[case::unknown_end(
    r#"{"event":"request","at_ms":1,"route":"","service":"","attempts":[],"end":"vanished","took_ms":0}"#,
    "i1.log:1: unknown end of a request: vanished"
)]
#[case::missing_field(r#"{"event":"request"}"#, "i1.log:1: missing field `at_ms`")]
fn report_names_bad_lines(#[case] bad: &str, #[case] expected: &str) {
    let output = report(&format!("{}\n{LINES}", bad.trim_end()), &[]);
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(9), "{errors}");
    assert!(errors.contains(expected), "{errors}");
    assert!(String::from_utf8(output.stdout).unwrap().contains("r-1"));
}

#[test]
fn report_bytes_that_are_no_text_are_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("i1.log");
    let mut bytes = vec![0xff, 0xfe, b'\n'];
    bytes.extend_from_slice(LINES.as_bytes());
    fs::write(&file, bytes).unwrap();
    let output = Command::new(proof::process::program_path("godwitgauge"))
        .arg("report")
        .arg(&file)
        .output()
        .unwrap();
    assert!(output.status.success());
}

#[test]
fn report_without_requests_is_said_so() {
    let output = report("", &[]);
    assert_eq!(output.status.code(), Some(8));
}
