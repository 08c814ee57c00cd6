//! Output and exit codes of the command line: help, errors and wrong usage.

#[test]
fn command_sessions() {
    trycmd::TestCases::new()
        .register_bin("godwitgauge", proof::process::program_path("godwitgauge"))
        .case("tests/sessions/*.trycmd");
}
