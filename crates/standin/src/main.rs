//! Runs a stand-in as a separate process and prints its address once it listens.

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
                .arg(u32_arg("slots", "8"))
                .arg(u32_arg("work-ms", "0"))
                .arg(u32_arg("cold-ms", "0"))
                .arg(u32_arg("cold-extra-ms", "0")),
        )
}

fn u32_arg(name: &'static str, default: &'static str) -> Arg {
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
    let u32_value = |name: &str| args.get_one::<u32>(name).copied().unwrap_or_default();
    let millis_value = |name: &str| Duration::from_millis(u64::from(u32_value(name)));
    TargetOptions {
        name: args.get_one::<String>("name").cloned().unwrap_or_default(),
        slots: u32_value("slots"),
        processing_time: millis_value("work-ms"),
        cold_duration: millis_value("cold-ms"),
        cold_extra_time: millis_value("cold-extra-ms"),
    }
}
