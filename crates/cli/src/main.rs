//! The operators' program.

use std::process::ExitCode;

use cli::{command::command, run::run};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = command().get_matches();
    match run(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("godwitgauge: {fault}");
            ExitCode::from(fault.exit_code())
        }
    }
}
