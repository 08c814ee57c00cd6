//! The `godwitgauged` program, which runs an instance or checks its settings.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use daemon::{
    dev, logs,
    node::{self, Node},
    options::{self, NodeOptions},
};
use eyre::{Result, WrapErr, eyre};
use record::Sink;
use settings::{load_daemon_settings, parse_daemon_settings};
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .help("Settings in JSON with comments")
        .value_parser(value_parser!(PathBuf));
    let dev = Arg::new("dev")
        .long("dev")
        .help("Serve one process with an in-memory platform and two echo targets")
        .action(ArgAction::SetTrue);
    let log = Arg::new("log")
        .long("log")
        .value_name("FILTER")
        .help("What to log besides requests, for example `info` or `info,span=off`")
        .default_value("info");
    Command::new("godwitgauged")
        .about("Steers traffic across regions")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("run")
                .about("Run an instance")
                .arg(config.clone())
                .arg(dev)
                .arg(log)
                .group(ArgGroup::new("mode").args(["config", "dev"]).required(true)),
        )
        .subcommand(
            Command::new("check")
                .about("Check a settings file and name each fault")
                .arg(config.required(true)),
        )
}

fn main() -> Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("check", args)) => check(args),
        Some((_, args)) => run(args),
        None => Err(eyre!("no subcommand")),
    }
}

fn check(args: &ArgMatches) -> Result<()> {
    let file = config_file(args)?;
    let text = read_settings(file)?;
    match parse_daemon_settings(file, &text) {
        Ok(_) => {
            println!("{}: ok", file.display());
            Ok(())
        }
        Err(findings) => {
            eprintln!("{findings}");
            std::process::exit(2);
        }
    }
}

fn run(args: &ArgMatches) -> Result<()> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?
        .block_on(async {
            let filter = args.get_one::<String>("log").map_or("", String::as_str);
            let sink = logs::start_stdout(filter).map_err(|err| eyre!("--log: {err}"))?;
            let served = serve(args, &sink).await;
            sink.flush().await;
            served
        })
}

async fn serve(args: &ArgMatches, sink: &Sink) -> Result<()> {
    let mut node = if args.get_flag("dev") {
        dev::start(false, Some(sink.clone())).await?
    } else {
        let file = config_file(args)?;
        let variable = |name: &str| std::env::var(name).ok();
        let parsed = load_daemon_settings(file, &read_settings(file)?, variable)
            .map_err(|findings| eyre!("{findings}"))?;
        options::log_unknown(&parsed.unknown);
        let options = NodeOptions {
            sink: Some(sink.clone()),
            ..NodeOptions::default()
        };
        let platform = platform::http::connect(parsed.value.platform);
        node::start(&parsed.value, platform, options).await?
    };
    write_event(sink, "listening", &node);
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    let ready = node.ready();
    tokio::pin!(ready);
    let mut is_ready = false;
    loop {
        tokio::select! {
            () = &mut ready, if !is_ready => {
                is_ready = true;
                write_event(sink, "ready", &node);
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some(()) = node.leave_requests.recv() => break,
        }
    }
    node.stop().await;
    Ok(())
}

/// Writes an event with the listeners' addresses, for the process that started this one.
fn write_event(sink: &Sink, event: &str, node: &Node) {
    sink.write_json(&serde_json::json!({
        "event": event,
        "entry": node.entry,
        "operator": node.operator,
        "peer": node.peer,
    }));
}

fn config_file(args: &ArgMatches) -> Result<&Path> {
    args.get_one::<PathBuf>("config")
        .map(PathBuf::as_path)
        .ok_or_else(|| eyre!("--config is required"))
}

fn read_settings(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("{}", file.display()))
}
