//! The `godwitgauged` program, which runs an instance or checks its settings.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use daemon::{
    dev, logs,
    node::{self, Node},
    options::{self, NodeOptions},
};
use eyre::{Result, WrapErr, eyre};
use settings::{DaemonSettings, load_daemon_settings, parse_daemon_settings};
use tokio::signal::unix::{SignalKind, signal};

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
        .help("What to log, for example `info` or `info,span=off`")
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
    if let Some(filter) = args.get_one::<String>("log") {
        logs::start(filter).map_err(|err| eyre!("--log: {err}"))?;
    }
    let cfg = if args.get_flag("dev") {
        None
    } else {
        let file = config_file(args)?;
        let variable = |name: &str| std::env::var(name).ok();
        let parsed = load_daemon_settings(file, &read_settings(file)?, variable)
            .map_err(|findings| eyre!("{findings}"))?;
        options::log_unknown(&parsed.unknown);
        Some(parsed.value)
    };
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")?
        .block_on(serve(cfg))
}

async fn serve(cfg: Option<DaemonSettings>) -> Result<()> {
    let mut node = match &cfg {
        None => dev::start(false).await?,
        Some(cfg) => {
            let platform = platform::http::connect(cfg.platform);
            node::start(cfg, platform, NodeOptions::default()).await?
        }
    };
    print_event("listening", &node);
    let mut terminate = signal(SignalKind::terminate()).wrap_err("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("SIGINT")?;
    let ready = node.ready();
    tokio::pin!(ready);
    let mut is_ready = false;
    loop {
        tokio::select! {
            () = &mut ready, if !is_ready => {
                is_ready = true;
                print_event("ready", &node);
            }
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some(()) = node.leave_requests.recv() => break,
        }
    }
    node.stop().await;
    Ok(())
}

/// Prints an event as one JSON line on standard output, for the process that started this one.
fn print_event(event: &str, node: &Node) {
    let line = serde_json::json!({
        "event": event,
        "entry": node.entry,
        "operator": node.operator,
        "peer": node.peer,
    });
    println!("{line}");
}

fn config_file(args: &ArgMatches) -> Result<&Path> {
    args.get_one::<PathBuf>("config")
        .map(PathBuf::as_path)
        .ok_or_else(|| eyre!("--config is required"))
}

fn read_settings(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).wrap_err_with(|| format!("{}", file.display()))
}
