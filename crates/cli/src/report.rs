//! Reports where callers' time goes, from the log lines of the instances.

mod plot;
mod record;
mod starts;
mod tally;

use std::{
    io::{self, BufRead, Write},
    path::{Path, PathBuf},
};

use clap::ArgMatches;
use serde::Deserialize;

use crate::{error::CliError, log_files};
use record::RequestRecord;
use starts::Starts;
use tally::{Cause, Tally};

/// Maximum number of unreadable lines that are named.
const MAX_NAMED_LINES: usize = 20;

/// Identifies the kind of event that a log line describes.
#[derive(Debug, Deserialize)]
struct EventKind {
    #[serde(default)]
    event: Option<String>,
    #[serde(default)]
    instance: Option<String>,
    #[serde(default)]
    timestamp: Option<String>,
}

/// Prints the report on all requests in the log files that `args` hold, and writes its plot.
///
/// Lines that can't be read are named on standard error, and the rest is still reported.
///
/// # Errors
///
/// [`CliError::File`] if a file can't be read or written, [`CliError::UnreadableLines`] if a line is
/// no JSON, is cut off or lacks a field, [`CliError::InvalidRequest`] if there is no request at all.
pub fn run(args: &ArgMatches) -> Result<(), CliError> {
    let mut log = RequestLog::default();
    log_files::read_each(args, |name, input| log.read(name, input))?;
    for fault in log.faults.iter().take(MAX_NAMED_LINES) {
        eprintln!("{fault}");
    }
    if log.records.is_empty() {
        let reason = "no log line of a request: give the files of instances that write them";
        return Err(CliError::InvalidRequest(reason.to_owned()));
    }
    let tally = Tally::new(&log.records);
    let mut out = io::stdout().lock();
    for line in render(&tally) {
        let _ = writeln!(out, "{line}");
    }
    if let Some(path) = args.get_one::<PathBuf>("plot") {
        write_plot(path, &tally)?;
    }
    match log.faults.len() {
        0 => Ok(()),
        count => Err(CliError::UnreadableLines(count)),
    }
}

/// Collects the requests' log lines, and the lines that can't be read.
#[derive(Debug, Default)]
struct RequestLog {
    records: Vec<RequestRecord>,
    starts: Starts,
    faults: Vec<String>,
}

impl RequestLog {
    fn read<R>(&mut self, source: &str, input: R) -> io::Result<()>
    where
        R: BufRead,
    {
        for (idx, line) in input.split(b'\n').enumerate() {
            let line = line?;
            let text = String::from_utf8_lossy(&line);
            // A log collector may have added a prefix; other programs' lines have no object.
            let Some(start) = text.find('{') else {
                continue;
            };
            if let Err(reason) = self.read_line(&text[start..]) {
                self.faults.push(format!("{source}:{}: {reason}", idx + 1));
            }
        }
        Ok(())
    }

    fn read_line(&mut self, text: &str) -> Result<(), String> {
        let kind: EventKind = serde_json::from_str(text).map_err(|err| err.to_string())?;
        match (kind.event.as_deref(), kind.instance, kind.timestamp) {
            (Some("start"), Some(instance), Some(timestamp)) => {
                self.starts.begin(&instance, &timestamp);
                return Ok(());
            }
            (Some("request"), ..) => {}
            _ => return Ok(()),
        }
        let mut record: RequestRecord =
            serde_json::from_str(text).map_err(|err| err.to_string())?;
        if !tally::is_known_end(&record.end) {
            return Err(format!("unknown end of a request: {}", record.end));
        }
        self.starts.place(&mut record);
        self.records.push(record);
        Ok(())
    }
}

fn render(tally: &Tally) -> Vec<String> {
    let mut lines = vec![format!(
        "{:<24} {:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "route", "region", "requests", "in time", "late", "refused", "failed", "local"
    )];
    for ((route, region), row) in &tally.rows {
        lines.push(format!(
            "{route:<24} {region:<12} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
            row.requests,
            percent(row.in_time, row.requests),
            percent(row.late, row.requests),
            percent(row.refused, row.requests),
            percent(row.failed, row.requests),
            percent(row.local_runs, row.runs),
        ));
    }
    lines.push(String::new());
    lines.push("late requests by what took longest".to_owned());
    let late: u64 = tally.late_by_cause.values().sum();
    for cause in Cause::ALL {
        let count = tally.late_by_cause.get(&cause).copied().unwrap_or(0);
        lines.push(format!(
            "  {:<14} {count:>8} {:>8}",
            cause.to_string(),
            percent(count, late)
        ));
    }
    lines.push(String::new());
    lines.push("runs by why the target was chosen".to_owned());
    let runs: u64 = tally.runs_by_reason.values().sum();
    for (reason, count) in &tally.runs_by_reason {
        lines.push(format!(
            "  {reason:<14} {count:>8} {:>8}",
            percent(*count, runs)
        ));
    }
    lines.push(String::new());
    lines.push("requests by end".to_owned());
    for (end, count) in &tally.requests_by_end {
        lines.push(format!("  {end:<18} {count:>8}"));
    }
    lines
}

fn percent(count: u64, total: u64) -> String {
    if total == 0 {
        return "-".to_owned();
    }
    format!("{:.1}%", 100.0 * count as f64 / total as f64)
}

fn write_plot(path: &Path, tally: &Tally) -> Result<(), CliError> {
    let name = path.display().to_string();
    let svg = plot::seconds_as_svg(&tally.seconds).map_err(|reason| CliError::File {
        file: name.clone(),
        reason,
    })?;
    std::fs::write(path, svg).map_err(CliError::for_file(&name))
}
