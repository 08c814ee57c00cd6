//! The story of one request, from the log lines of all instances.

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    path::PathBuf,
};

use clap::ArgMatches;
use serde_json::Value;

use crate::fault::CliFault;

/// Fields that name what a belief is about; of each such thing only the last belief is kept.
const SUBJECTS: [&str; 4] = ["workspace", "service", "table", "version"];
/// Configurations whose coming into force is kept for each instance.
const CONFIGS_KEPT: usize = 2;

/// Prints the story of the request that `args` name.
///
/// # Errors
///
/// [`CliFault::File`] where a file can't be read, [`CliFault::Refused`] where no line tells of the
/// request.
pub fn run(args: &ArgMatches) -> Result<(), CliFault> {
    let id = args.get_one::<String>("id").map_or("", String::as_str);
    let files: Vec<&PathBuf> = args.get_many("files").into_iter().flatten().collect();
    let mut story = Story::new(id);
    if files.is_empty() {
        story.read(io::stdin().lock()).map_err(fault("stdin"))?;
    }
    for path in files {
        let name = path.display().to_string();
        let file = File::open(path).map_err(fault(&name))?;
        story.source = name.clone();
        story.read(BufReader::new(file)).map_err(fault(&name))?;
    }
    if story.told.is_empty() {
        let reason = format!(
            "no line tells of {id}: it came to no instance whose lines are here, or its line was left out in a burst (see lines_left_out)"
        );
        return Err(CliFault::Refused(reason));
    }
    let mut out = io::stdout().lock();
    for line in &story.told {
        let _ = writeln!(out, "{line}");
    }
    Ok(())
}

fn fault(file: &str) -> impl Fn(io::Error) -> CliFault + use<> {
    let file = file.to_owned();
    move |err| CliFault::File {
        file: file.clone(),
        reason: err.to_string(),
    }
}

/// Collects what lines tell of one request.
#[derive(Debug)]
struct Story<'a> {
    id: &'a str,
    source: String,
    beliefs: BTreeMap<String, Vec<Belief>>,
    told: Vec<String>,
}

impl<'a> Story<'a> {
    fn new(id: &'a str) -> Self {
        Self {
            id,
            source: "stdin".to_owned(),
            beliefs: BTreeMap::new(),
            told: Vec::new(),
        }
    }

    fn read<R>(&mut self, lines: R) -> io::Result<()>
    where
        R: BufRead,
    {
        for line in lines.lines() {
            let line = line?;
            // Whatever a collector has put before the line is passed over.
            let start = line.find('{').unwrap_or(line.len());
            if let Ok(value) = serde_json::from_str::<Value>(&line[start..]) {
                self.take(&value);
            }
        }
        Ok(())
    }

    fn take(&mut self, line: &Value) {
        match line["event"].as_str() {
            Some("request") if line["id"] == self.id => self.tell(line),
            Some("request") | None => {}
            Some(event) => {
                let beliefs = self.beliefs.entry(self.source.clone()).or_default();
                keep(beliefs, Belief::new(event, line));
            }
        }
    }

    fn tell(&mut self, line: &Value) {
        let text = |name: &str| line[name].as_str().unwrap_or("?").to_owned();
        let number = |name: &str| line[name].as_u64().unwrap_or(0);
        self.told
            .push(format!("request {} at {}:", self.id, text("instance")));
        if text("service").is_empty() {
            self.told
                .push("  it was refused before a route or a workspace was found".to_owned());
        } else {
            self.told.push(format!(
                "  route {}, service {}, workspace {}, by revision {} of the configuration; its caller waits {} ms",
                text("route"),
                text("service"),
                text("workspace"),
                number("revision"),
                number("deadline_ms")
            ));
        }
        for attempt in line["attempts"].as_array().into_iter().flatten() {
            self.told.push(format!("  {}", told_attempt(attempt)));
        }
        let retry = line["retry_after_ms"]
            .as_u64()
            .map_or_else(String::new, |ms| format!(", come back after {ms} ms"));
        self.told.push(format!(
            "  after {} ms: {}, status {}{retry}",
            number("took_ms"),
            text("end"),
            number("status")
        ));
        self.told.push(format!("  {}", meaning(&text("end"))));
        let names = [text("workspace"), text("service")];
        let beliefs = self.beliefs.get(&self.source).into_iter().flatten();
        for belief in beliefs.filter(|belief| belief.concerns(&names)) {
            self.told
                .push(format!("  before that here: {}", belief.text));
        }
    }
}

fn told_attempt(attempt: &Value) -> String {
    let number = |name: &str| attempt[name].as_u64().unwrap_or(0);
    let connection = if attempt["is_new"] == true {
        "a new connection"
    } else {
        "a kept connection"
    };
    format!(
        "at {} ms to {} ({}, {} requests thought there) over {connection}: {} after {} ms",
        number("start_ms"),
        attempt["target"].as_str().unwrap_or("?"),
        attempt["reason"].as_str().unwrap_or("?"),
        number("load"),
        attempt["end"].as_str().unwrap_or("?"),
        number("took_ms")
    )
}

/// Holds what an instance came to believe.
#[derive(Debug)]
struct Belief {
    event: String,
    /// Field that names what it is about, and the name.
    subject: Option<(&'static str, String)>,
    text: String,
}

impl Belief {
    fn new(event: &str, line: &Value) -> Self {
        let fields = line.as_object().into_iter().flatten();
        let shown: Vec<String> = fields
            .filter(|(name, _)| !matches!(name.as_str(), "event" | "level" | "timestamp"))
            .map(|(name, value)| format!("{name} {value}"))
            .collect();
        let subject = SUBJECTS.into_iter().find_map(|field| {
            let name = line.get(field)?;
            let name = name
                .as_str()
                .map_or_else(|| name.to_string(), str::to_owned);
            Some((field, name))
        });
        Self {
            event: event.to_owned(),
            subject,
            text: format!("{event} {}", shown.join(", ")),
        }
    }

    /// Returns whether it may have to do with a request of this workspace and service.
    fn concerns(&self, names: &[String; 2]) -> bool {
        match &self.subject {
            Some(("workspace" | "service", name)) => names.contains(name),
            _ => true,
        }
    }
}

/// Adds a belief in place of an earlier one about the same thing.
fn keep(beliefs: &mut Vec<Belief>, belief: Belief) {
    beliefs.retain(|old| old.event != belief.event || old.subject != belief.subject);
    let is_config = |one: &Belief| one.event == "config_in_force";
    let configs = beliefs.iter().filter(|one| is_config(one)).count();
    if is_config(&belief)
        && configs >= CONFIGS_KEPT
        && let Some(first) = beliefs.iter().position(is_config)
    {
        beliefs.remove(first);
    }
    beliefs.push(belief);
}

/// Tells what an end means and where to look next.
fn meaning(end: &str) -> &'static str {
    match end {
        "ok" => "the target answered; a status of 500 and more is the target's own",
        "rate_limited" => {
            "the workspace's rate was used up here and nothing could be borrowed: compare `rate` lines with its requests on all instances"
        }
        "overloaded" => {
            "no target had a free slot or a queue short enough for the objective: compare loads of other requests for the service"
        }
        "target_refused" => {
            "every target that was tried was full: see told loads, and the budget for sending again"
        }
        "no_target" => {
            "no target of the service takes work: see `config_in_force` lines for targets and drained domains"
        }
        "target_lost" => {
            "the connection was lost after the request had been sent: it may have run; look at the target"
        }
        "target_timeout" => {
            "the target did not answer in time: it may have run; look at the target and its queue"
        }
        "unknown_key" | "missing_key" => {
            "the key is not in the revision that decided: compare it with the operator's document"
        }
        "unknown_service" => "no route of the revision matches host and path",
        "isolated" | "not_ready" => {
            "the instance could not tell whether it knew the latest configuration: see `store` lines"
        }
        "leaving" => "the instance was about to stop: see its `leaving` line",
        "caller_left" => "the caller closed its connection first",
        _ => "see docs/ERRORS.md",
    }
}
