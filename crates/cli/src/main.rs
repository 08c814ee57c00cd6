//! Parses the command line, runs the command and maps its error to an exit code.

use std::process::ExitCode;

use cli::{command::command, run::run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("godwitgauge: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}
