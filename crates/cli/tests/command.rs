//! What the command line shows: help, faults and generated configurations.

#[test]
fn command_sessions() {
    trycmd::TestCases::new()
        .register_bin("godwitgauge", proof::process::program_path("godwitgauge"))
        .case("tests/sessions/*.trycmd");
}
