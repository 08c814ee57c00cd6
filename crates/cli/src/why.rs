//! Reports how one request was handled, from the log lines of the instances.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, Write},
};

use clap::ArgMatches;
use serde_json::Value;

use crate::{error::CliError, log_files};

/// Fields that name the subject of a state event; only the last event of each kind and subject is
/// kept.
const SUBJECT_FIELDS: [&str; 4] = ["workspace", "service", "table", "version"];
/// Number of configuration activations that are kept for each log file.
const MAX_CONFIG_EVENTS: usize = 2;

/// Prints the report on the request whose id `args` hold.
///
/// # Errors
///
/// [`CliError::File`] if a file can't be read, [`CliError::InvalidRequest`] if there is no log line
/// of the request.
pub fn run(args: &ArgMatches) -> Result<(), CliError> {
    let id = args.get_one::<String>("id").map_or("", String::as_str);
    let mut report = RequestReport::new(id);
    log_files::read_each(args, |name, input| {
        name.clone_into(&mut report.source);
        report.read(input)
    })?;
    if report.lines.is_empty() {
        let reason = format!(
            "no log line of request {id}: it reached no instance whose log lines are given, or its line was left out in a burst (see lines_left_out)"
        );
        return Err(CliError::InvalidRequest(reason));
    }
    let mut out = io::stdout().lock();
    for line in &report.lines {
        let _ = writeln!(out, "{line}");
    }
    Ok(())
}

/// Collects the report on one request from log lines.
#[derive(Debug)]
struct RequestReport<'a> {
    request_id: &'a str,
    /// File that is being read.
    source: String,
    /// Earlier state events by source.
    state_events: BTreeMap<String, Vec<StateEvent>>,
    /// Lines of the report.
    lines: Vec<String>,
}

impl<'a> RequestReport<'a> {
    fn new(request_id: &'a str) -> Self {
        Self {
            request_id,
            source: "stdin".to_owned(),
            state_events: BTreeMap::new(),
            lines: Vec::new(),
        }
    }

    fn read<R>(&mut self, input: R) -> io::Result<()>
    where
        R: BufRead,
    {
        for line in input.lines() {
            let line = line?;
            // Skips any prefix that a log collector has added.
            let start = line.find('{').unwrap_or(line.len());
            if let Ok(value) = serde_json::from_str::<Value>(&line[start..]) {
                self.process_line(&value);
            }
        }
        Ok(())
    }

    fn process_line(&mut self, line: &Value) {
        match line["event"].as_str() {
            Some("request") if line["id"] == self.request_id => self.describe_request(line),
            Some("request") | None => {}
            Some(event) => {
                let state_events = self.state_events.entry(self.source.clone()).or_default();
                record_state_event(state_events, StateEvent::new(event, line));
            }
        }
    }

    fn describe_request(&mut self, line: &Value) {
        let text = |name: &str| line[name].as_str().unwrap_or("?").to_owned();
        let number = |name: &str| line[name].as_u64().unwrap_or(0);
        self.lines.push(format!(
            "request {} at {}:",
            self.request_id,
            text("instance")
        ));
        if text("service").is_empty() {
            self.lines
                .push("  it was refused before a route or a workspace was found".to_owned());
        } else {
            self.lines.push(format!(
                "  route {}, service {}, workspace {}, by revision {} of the configuration; its caller waits {} ms",
                text("route"),
                text("service"),
                text("workspace"),
                number("revision"),
                number("deadline_ms")
            ));
        }
        if let Some(age) = line["config_age_ms"].as_u64() {
            self.lines.push(format!(
                "  revision {} had last been known to be the latest {age} ms before",
                number("revision")
            ));
        }
        if let Some(age) = line["rows_age_ms"].as_u64() {
            let by = match line["confirmed_by"].as_str() {
                None | Some("platform") => "an own read".to_owned(),
                Some(instance) => format!("instance {instance}"),
            };
            self.lines.push(format!(
                "  its routes and keys, {}, had last been known to be the latest {age} ms before, by {by}",
                describe_version(line)
            ));
        } else if line["version"].is_u64() {
            self.lines
                .push(format!("  that revision is {}", describe_version(line)));
        }
        if let Some(left) = line["unwritten_ms"].as_u64() {
            self.lines.push(format!(
                "  they are from a copy of the store (era {}) and might lack changes for {left} ms more, unless a configuration was written before",
                number("era")
            ));
        }
        if let Some(homes) = line["homes"].as_str() {
            self.lines
                .push(format!("  by that revision it might run in {homes} only"));
        }
        for attempt in line["attempts"].as_array().into_iter().flatten() {
            self.lines.push(format!("  {}", describe_attempt(attempt)));
        }
        for candidate in line["candidates"].as_array().into_iter().flatten() {
            self.lines
                .push(format!("  {}", describe_candidate(candidate)));
        }
        let retry = line["retry_after_ms"]
            .as_u64()
            .map_or_else(String::new, |ms| format!(", come back after {ms} ms"));
        self.lines.push(format!(
            "  after {} ms: {}, status {}{retry}",
            number("took_ms"),
            text("end"),
            number("status")
        ));
        self.lines
            .push(format!("  {}", explain_outcome(&text("end"))));
        let names = [text("workspace"), text("service")];
        let state_events = self.state_events.get(&self.source).into_iter().flatten();
        for state_event in state_events.filter(|state_event| state_event.may_concern(&names)) {
            self.lines
                .push(format!("  earlier on this instance: {}", state_event.text));
        }
    }
}

/// Names the operators' version of the configuration that decided.
fn describe_version(line: &Value) -> String {
    match line["version"].as_u64() {
        Some(version) => format!("version {version} of the operators"),
        None => "of a version that wasn't told".to_owned(),
    }
}

fn describe_candidate(candidate: &Value) -> String {
    let number = |name: &str| candidate[name].as_u64().unwrap_or(0);
    format!(
        "{} had no room: {} of {} requests of this instance in flight, estimated load {} requests, a wait of {} ms",
        candidate["target"].as_str().unwrap_or(""),
        number("in_flight"),
        number("limit"),
        number("load"),
        number("wait_ms")
    )
}

fn describe_attempt(attempt: &Value) -> String {
    let number = |name: &str| attempt[name].as_u64().unwrap_or(0);
    let connection = if attempt["is_new"] == true {
        "a new connection"
    } else {
        "a kept connection"
    };
    let limit = attempt["told_limit"]
        .as_f64()
        .map_or_else(String::new, |per_s| {
            format!("; the target takes {per_s} requests a second")
        });
    let rest = attempt["told_rest_ms"]
        .as_u64()
        .map_or_else(String::new, |ms| {
            format!("; the target wants nothing from this instance for {ms} ms")
        });
    let revision = attempt["revision"]
        .as_u64()
        .map_or_else(String::new, |revision| format!(" by revision {revision}"));
    let bound = match attempt["homes"].as_str() {
        Some(homes) => format!(
            "; sent to region {}, bound to {homes}{revision}",
            attempt["region"].as_str().unwrap_or("?")
        ),
        None if revision.is_empty() => String::new(),
        None => format!("; sent{revision}"),
    };
    let sent = attempt["sent_revision"]
        .as_u64()
        .map_or_else(String::new, |revision| {
            format!(
                "; given to the connection at {} ms, by then by revision {revision}",
                number("sent_ms")
            )
        });
    let cause = attempt["connect_error"]
        .as_str()
        .map_or_else(String::new, |cause| format!(" ({cause})"));
    format!(
        "at {} ms to {} ({}, estimated load {} requests) over {connection}: {}{cause} after {} ms{limit}{rest}{bound}{sent}",
        number("start_ms"),
        attempt["target"].as_str().unwrap_or("?"),
        attempt["reason"].as_str().unwrap_or("?"),
        number("load"),
        attempt["end"].as_str().unwrap_or("?"),
        number("took_ms")
    )
}

/// Describes a change of an instance's state that may explain what became of later requests.
#[derive(Debug)]
struct StateEvent {
    event: String,
    /// Field that names the subject of the event, and its value.
    subject: Option<(&'static str, String)>,
    text: String,
}

impl StateEvent {
    fn new(event: &str, line: &Value) -> Self {
        let fields = line.as_object().into_iter().flatten();
        let fields = fields
            .filter(|(name, _)| !matches!(name.as_str(), "event" | "level" | "timestamp"))
            .map(|(name, value)| format!(" {name} {value}"));
        let text = event.to_owned() + &fields.collect::<Vec<_>>().join(",");
        let subject = SUBJECT_FIELDS.into_iter().find_map(|field| {
            let name = line.get(field)?;
            let name = name
                .as_str()
                .map_or_else(|| name.to_string(), str::to_owned);
            Some((field, name))
        });
        Self {
            event: event.to_owned(),
            subject,
            text,
        }
    }

    /// Returns whether the event may concern a request of this workspace and service.
    fn may_concern(&self, names: &[String; 2]) -> bool {
        match &self.subject {
            Some(("workspace" | "service", name)) => names.contains(name),
            _ => true,
        }
    }
}

/// Adds a state event and removes an earlier one of the same kind and subject, and the oldest
/// configuration activation if there are too many.
fn record_state_event(state_events: &mut Vec<StateEvent>, new_event: StateEvent) {
    state_events.retain(|old| old.event != new_event.event || old.subject != new_event.subject);
    let is_config = |state_event: &StateEvent| state_event.event == "config_in_force";
    let configs = state_events.iter().filter(|old| is_config(old)).count();
    if is_config(&new_event)
        && configs >= MAX_CONFIG_EVENTS
        && let Some(first) = state_events.iter().position(is_config)
    {
        state_events.remove(first);
    }
    state_events.push(new_event);
}

/// Returns the meaning of a request's outcome and where to look next.
fn explain_outcome(outcome: &str) -> &'static str {
    match outcome {
        "ok" => "the target answered; a status of 500 and more is the target's own",
        "rate_limited" => {
            "the workspace's rate was used up here and nothing could be borrowed: compare `rate` lines with its requests on all instances"
        }
        "overloaded" => {
            "no target had a free slot or a queue short enough for the objective: compare loads of other requests for the service"
        }
        "target_refused" => {
            "every target that was tried was full: see `told_load` in its log line, and the retry budget"
        }
        "no_target" => {
            "no target of the service takes work: see `config_in_force` lines for targets and drained domains"
        }
        "target_lost" => {
            "the connection was lost after the request had been sent, or what came was no valid answer: it may have run; look at the target"
        }
        "target_timeout" => {
            "the target did not answer in time: it may have run; look at the target and its queue"
        }
        "expired" => {
            "the deadline passed before it was sent: look at `connect_error`, `relay` and the start of its attempts"
        }
        "unknown_key" | "missing_key" => {
            "the key is not in the revision that decided: compare it with the operator's document"
        }
        "unknown_service" => "no route of the revision matches host and path",
        "isolated" | "not_ready" => {
            "the instance could not tell whether it knew the latest configuration: see `store`, `standstill`, `store_era` and `table_era` lines"
        }
        "outdated" => {
            "the instance knew of a later configuration that it couldn't get in time: see `config_behind` lines"
        }
        "claim_unavailable" => {
            "the action's row couldn't be read or written, or isn't to be trusted between `claims_uncertain` and `claims_certain` of the same era"
        }
        "leaving" => "the instance was about to stop: see its `leaving` line",
        "caller_left" => "the caller closed its connection first",
        _ => "see docs/ERRORS.md",
    }
}
