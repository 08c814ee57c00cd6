//! Runs the command that an operator gave; each group of commands has a file.

mod answers;
mod context;
mod drains;
mod history;
mod inspect;
mod keys;

use std::io;

use clap::ArgMatches;

use crate::{command::command, error::CliError, report, why};
use context::CommandContext;

/// Runs the command that `matches` describe.
///
/// # Errors
///
/// [`CliError`], which gives the exit code of the process.
pub async fn run(matches: &ArgMatches) -> Result<(), CliError> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    let context = CommandContext::new(args);
    match name {
        "init" => answers::init(args),
        "plan" => context.plan().await,
        "apply" => context.apply().await,
        "key" => context.key().await,
        "drain" => context.drain().await,
        "status" => context.status().await,
        "history" => context.history().await,
        "revert" => context.revert().await,
        "explain" => context.explain().await,
        "why" => why::run(args),
        "report" => report::run(args),
        "completions" => completions(args),
        _ => man(),
    }
}

fn completions(args: &ArgMatches) -> Result<(), CliError> {
    if let Some(shell) = args.get_one::<clap_complete::Shell>("shell") {
        clap_complete::generate(*shell, &mut command(), "godwitgauge", &mut io::stdout());
    }
    Ok(())
}

fn man() -> Result<(), CliError> {
    clap_mangen::Man::new(command())
        .render(&mut io::stdout())
        .map_err(|err| CliError::File {
            file: "standard output".to_owned(),
            reason: err.to_string(),
        })
}
