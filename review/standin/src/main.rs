//! Runs one case of the review: `review-standin CASE FOLDER`.
//!
//! Writes `record.txt` into the folder. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod http;
mod json;
mod link;
mod node;
mod record;
mod server;
mod store;
mod world;

use std::{path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-standin CASE FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let outcome = match case.as_str() {
        "evacuated-restart" => cases::evacuated_restart(&folder, has_trouble),
        "silent-connections" => cases::silent_connections(&folder, has_trouble),
        "deadly-request" => cases::deadly_request(&folder, has_trouble),
        "large-bodies" => cases::large_bodies(&folder, has_trouble),
        "relayed-answer" => cases::relayed_answer(&folder, has_trouble),
        _ => None,
    };
    exit(match outcome {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
