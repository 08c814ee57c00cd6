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

fn plot(text: &str) -> String {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("plot.svg");
    let output = report(text, &["--plot", file.to_str().unwrap()]);
    assert!(output.status.success());
    fs::read_to_string(file).unwrap()
}

/// Returns the numbers in an attribute of an element.
fn numbers_of(element: &str, attribute: &str) -> Vec<f64> {
    let (_, rest) = element.split_once(&format!(" {attribute}=\"")).unwrap();
    let value = rest.split('"').next().unwrap();
    let numbers = value.split([',', ' ']).filter(|number| !number.is_empty());
    numbers.map(|number| number.parse().unwrap()).collect()
}

/// Returns where the plot's line of requests in time has its points, in pixels from the left.
fn points_x(svg: &str) -> Vec<f64> {
    let in_time = svg
        .split('<')
        .find(|element| element.starts_with("polyline") && element.contains("stroke=\"#008000\""));
    let points = numbers_of(in_time.unwrap(), "points");
    points.into_iter().step_by(2).collect()
}

const START: &str = r#"{"timestamp":"2026-05-01T10:00:00.5Z","event":"start","instance":"i1"}"#;
const RESTART: &str = r#"{"timestamp":"2026-05-01T10:00:40.5Z","event":"start","instance":"i1"}"#;
const OTHER_START: &str =
    r#"{"timestamp":"2026-05-01T10:00:40.5Z","event":"start","instance":"i2"}"#;

/// Each process counts its time from its own start; what came before and after a restart, or from
/// another instance that started later, was drawn over each other.
#[rstest]
#[case::restart(&format!("{START}\n{LINES}{RESTART}\n{LINES}"), 42.0)]
#[case::restart_without_its_line(&format!("{LINES}{LINES}"), 5.0)]
#[case::another_instance(
    &format!("{START}\n{LINES}{OTHER_START}\n{}", LINES.replace("\"i1\"", "\"i2\"")),
    42.0
)]
fn report_plot_draws_processes_where_they_ran(#[case] text: &str, #[case] length_s: f64) {
    let svg = plot(text);
    let points = points_x(&svg);
    // The requests of a process arrive in its seconds 1, 2 and 3.
    assert_eq!(points.len(), 6, "{points:?}");
    let length = points[5] - points[0];
    let second_at = (points[3] - points[0]) * length_s / length;
    let wanted = length_s - 2.0;
    assert!(
        (second_at - wanted).abs() < 0.2,
        "{points:?}: {second_at} s, {wanted} wanted"
    );
}

/// The legend hid the right end of the plot, where the latest seconds are.
#[test]
fn report_plot_names_its_lines_beside_it() {
    let svg = plot(LINES);
    let right_end = points_x(&svg).into_iter().fold(0.0, f64::max);
    for name in ["in time", "late", "refused", "failed"] {
        let (before, _) = svg.split_once(&format!("\n{name}\n")).unwrap();
        let text = &before[before.rfind("<text").unwrap()..];
        let x = numbers_of(text, "x")[0];
        assert!(x > right_end, "{name} at {x}, the plot ends at {right_end}");
    }
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
