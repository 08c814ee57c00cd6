//! The definition of the command line.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, Command, value_parser};

/// Arguments that may precede the name of each command.
const GLOBAL_ARGS: [&str; 4] = ["output", "platform", "operator", "by"];

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a file can't be read or written
  2  wrong usage
  3  the answers have faults
  4  conflict: another operator's change came first; nothing was written
  5  the platform can't be reached
  6  written, but not in force everywhere in time
  7  the instance can't be reached
  8  the request makes no sense for the present configuration
  9  some log lines could not be read; the others were reported";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("godwitgauge")
        .about("Operates a godwitgauge deployment")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(GLOBAL_ARGS.map(global_arg))
        .subcommand(init())
        .subcommand(plan())
        .subcommand(apply())
        .subcommand(key())
        .subcommand(drain())
        .subcommand(status())
        .subcommand(history())
        .subcommand(revert())
        .subcommand(explain())
        .subcommand(why())
        .subcommand(report())
        .subcommand(completions())
        .subcommand(man())
}

/// Returns the definition of an argument that is the same before and after a command's name.
fn global_arg(name: &'static str) -> Arg {
    let arg = Arg::new(name).long(name).global(true);
    match name {
        "output" => arg
            .value_name("FORM")
            .help("How to print results")
            .value_parser(["text", "json"])
            .default_value("text"),
        "platform" => arg
            .value_name("ADDR")
            .help("Address of the platform's service")
            .value_parser(value_parser!(SocketAddr))
            .default_value("127.0.0.1:8480"),
        "operator" => arg
            .value_name("ADDR")
            .help("Address of any instance's listener for operators")
            .value_parser(value_parser!(SocketAddr))
            .default_value("127.0.0.1:8471"),
        _ => arg
            .value_name("NAME")
            .help("Who makes the change, for the history")
            .default_value("operator"),
    }
}

/// Returns the command without those of the global arguments in its help that it does not use.
///
/// They are still accepted, so that they can be given once for several commands.
fn uses_only(command: Command, used: &[&str]) -> Command {
    let unused = GLOBAL_ARGS.into_iter().filter(|name| !used.contains(name));
    command.args(unused.map(|name| global_arg(name).hide(true)))
}

fn status() -> Command {
    let command = Command::new("status").about("Show instances, targets and red flags");
    uses_only(command, &["output", "operator"])
}

fn history() -> Command {
    let command = Command::new("history").about("List the configuration's versions");
    uses_only(command, &["output", "platform"])
}

fn man() -> Command {
    uses_only(Command::new("man").about("Print the manual page"), &[])
}

fn why() -> Command {
    let command = Command::new("why")
        .about("Explain one request from the log lines of instances")
        .arg(
            Arg::new("id")
                .required(true)
                .value_name("ID")
                .help("Name of the request, as its log lines have it"),
        )
        .arg(log_files_arg());
    uses_only(command, &[])
}

fn report() -> Command {
    let command = Command::new("report")
        .about("Show where callers' time goes, from the log lines of instances")
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .help("Where to write a plot over time, as SVG")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(log_files_arg());
    uses_only(command, &[])
}

fn init() -> Command {
    let command = Command::new("init")
        .about("Answer the questionnaire")
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("FILE")
                .help("Take the answers from a file in JSON with comments instead of asking")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .value_name("FILE")
                .help("Where to write the answers")
                .default_value("answers.json")
                .value_parser(value_parser!(PathBuf)),
        );
    uses_only(command, &[])
}

fn plan() -> Command {
    let command = Command::new("plan")
        .about("Show what an apply would change")
        .arg(answers_arg());
    uses_only(command, &["output", "platform"])
}

fn apply() -> Command {
    Command::new("apply")
        .about("Generate the configuration from answers and put it in force")
        .arg(answers_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .help("Fail with a conflict where this is not the latest version")
                .value_parser(value_parser!(u64)),
        )
        .arg(wait_arg())
}

fn key() -> Command {
    let id = Arg::new("id")
        .required(true)
        .value_name("ID")
        .help("Public name of the key");
    Command::new("key")
        .about("Issue, withdraw and list keys")
        .subcommand_required(true)
        .subcommand(
            Command::new("issue")
                .about("Issue a key and print it once")
                .arg(id.clone())
                .arg(
                    Arg::new("workspace")
                        .long("workspace")
                        .required(true)
                        .value_name("NAME")
                        .help("Workspace that the key is for"),
                )
                .arg(wait_arg()),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraw a key")
                .arg(id)
                .arg(wait_arg()),
        )
        .subcommand(uses_only(
            Command::new("list").about("List the keys' public names"),
            &["output", "platform"],
        ))
}

fn drain() -> Command {
    Command::new("drain")
        .about("Take something out of service, or put it back")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(["target", "instance", "domain", "region"])
                .help("What to drain"),
        )
        .arg(Arg::new("name").required(true).help("Its name"))
        .arg(
            Arg::new("undo")
                .long("undo")
                .action(ArgAction::SetTrue)
                .help("Put it back into service"),
        )
        .arg(wait_arg())
}

fn revert() -> Command {
    Command::new("revert")
        .about("Write a new version with the content of an old one")
        .arg(
            Arg::new("version")
                .required(true)
                .value_parser(value_parser!(u64))
                .help("Version whose content to use"),
        )
        .arg(
            Arg::new("with-keys")
                .long("with-keys")
                .action(ArgAction::SetTrue)
                .help("Bring back the old version's keys too, also ones withdrawn since"),
        )
        .arg(wait_arg())
}

fn explain() -> Command {
    let required_name_arg = |name: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .required(true)
            .value_name("NAME")
            .help(help)
    };
    let command = Command::new("explain")
        .about("Tell why a request would be served or refused")
        .arg(required_name_arg("workspace", "Workspace of the request"))
        .arg(required_name_arg("service", "Service of the request"))
        .arg(
            Arg::new("origin")
                .long("origin")
                .value_name("DOMAIN")
                .help("Failure domain that the caller is nearest to"),
        );
    uses_only(command, &["output", "operator"])
}

fn completions() -> Command {
    let command = Command::new("completions")
        .about("Print shell completions")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell)),
        );
    uses_only(command, &[])
}

fn log_files_arg() -> Arg {
    Arg::new("files")
        .num_args(0..)
        .value_name("FILE")
        .help("Files of log lines; standard input where there is none")
        .value_parser(value_parser!(PathBuf))
}

fn answers_arg() -> Arg {
    Arg::new("answers")
        .required(true)
        .value_name("FILE")
        .help("Answers in JSON with comments")
        .value_parser(value_parser!(PathBuf))
}

fn wait_arg() -> Arg {
    Arg::new("wait")
        .long("wait")
        .value_name("SECONDS")
        .help("How long to wait until the version is in force; 0 does not wait")
        .default_value("15")
        .value_parser(value_parser!(u64))
}
