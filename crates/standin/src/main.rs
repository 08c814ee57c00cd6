//! Runs a stand-in as a process of its own.

use std::{net::SocketAddr, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::{Result, eyre};
use platform::Store;
use standin::{
    listen::listen,
    platform_server::PlatformServer,
    target::{TargetOptions, TargetServer},
};

fn command() -> Command {
    let addr = Arg::new("listen")
        .long("listen")
        .value_name("ADDR")
        .default_value("127.0.0.1:0")
        .value_parser(value_parser!(SocketAddr));
    Command::new("godwitgauge-standin")
        .about("Stands in for the platform or a target in tests")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Serves a table, objects and a list")
                .arg(&addr),
        )
        .subcommand(
            Command::new("target")
                .about("Serves echoes with a number of slots")
                .arg(&addr)
                .arg(Arg::new("name").long("name").default_value("target"))
                .arg(number("slots", "8"))
                .arg(number("work-ms", "0"))
                .arg(number("cold-ms", "0"))
                .arg(number("cold-extra-ms", "0")),
        )
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u32))
}

#[tokio::main]
async fn main() -> Result<()> {
    let matches = command().get_matches();
    let (name, args) = matches.subcommand().ok_or_else(|| eyre!("no subcommand"))?;
    let router = match name {
        "platform" => PlatformServer::spawn(Store::default()).into_router(),
        _ => TargetServer::spawn(target_options(args)).to_router(),
    };
    let addr = *args
        .get_one::<SocketAddr>("listen")
        .ok_or_else(|| eyre!("no address"))?;
    let (addr, task) = listen(addr, router).await?;
    println!("{}", serde_json::json!({ "event": "ready", "addr": addr }));
    task.await?;
    Ok(())
}

fn target_options(args: &ArgMatches) -> TargetOptions {
    let number = |name: &str| args.get_one::<u32>(name).copied().unwrap_or_default();
    let millis = |name: &str| Duration::from_millis(u64::from(number(name)));
    TargetOptions {
        name: args.get_one::<String>("name").cloned().unwrap_or_default(),
        slots: number("slots"),
        work: millis("work-ms"),
        cold_for: millis("cold-ms"),
        cold_extra: millis("cold-extra-ms"),
    }
}
