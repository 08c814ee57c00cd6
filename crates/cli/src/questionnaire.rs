//! The questionnaire, asked interactively line by line.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, Write},
    net::SocketAddr,
    str::FromStr,
};

use base::RouteKind;
use survey::{Answers, DomainAnswer, RouteAnswer, ServiceAnswer, WorkspaceAnswer};

/// Writes each question to `out` and reads its answer as a line from `input`.
///
/// Repeats a question whose answer can't be parsed. Does not ask for the limits on callers.
///
/// # Errors
///
/// [`io::Error`] if the input ends before the last answer or the output can't be written.
pub fn ask<R, W>(input: &mut R, out: &mut W) -> io::Result<Answers>
where
    R: BufRead,
    W: Write,
{
    let mut prompter = Prompter { input, out };
    let deployment = prompter.ask_text("Name of the deployment")?;
    let domains = prompter.ask_domains()?;
    let region_delay_ms = prompter.ask_value("One-way delay between regions in ms")?;
    let client_delay_ms =
        prompter.ask_value("One-way delay between callers and their region in ms")?;
    let region_mbit_per_s = prompter.ask_value("Rate between two regions in Mbit/s")?;
    let shift_cap_per_min =
        prompter.ask_value("Largest share of traffic to move in one minute (0 to 1)")?;
    let services = prompter.ask_services(&domains)?;
    let workspaces = prompter.ask_workspaces()?;
    let routes = prompter.ask_routes()?;
    Ok(Answers {
        deployment,
        domains,
        region_delay_ms,
        client_delay_ms,
        region_mbit_per_s,
        shift_cap_per_min,
        services,
        workspaces,
        routes,
        limits: None,
    })
}

/// Asks questions on an output and reads the answers from an input.
struct Prompter<'a, R, W> {
    input: &'a mut R,
    out: &'a mut W,
}

impl<R, W> Prompter<'_, R, W>
where
    R: BufRead,
    W: Write,
{
    fn ask_text(&mut self, question: &str) -> io::Result<String> {
        write!(self.out, "{question}: ")?;
        self.out.flush()?;
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim().to_owned())
    }

    fn ask_value<T>(&mut self, question: &str) -> io::Result<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        loop {
            match self.ask_text(question)?.parse() {
                Ok(value) => return Ok(value),
                Err(err) => writeln!(self.out, "  {err}; please answer again")?,
            }
        }
    }

    fn ask_domains(&mut self) -> io::Result<Vec<DomainAnswer>> {
        let mut domains = Vec::new();
        loop {
            let line = self.ask_text("Failure domain and its region (empty to go on)")?;
            let mut words = line.split_whitespace();
            match (words.next(), words.next()) {
                (None, _) => return Ok(domains),
                (Some(name), Some(region)) => domains.push(DomainAnswer {
                    name: name.to_owned(),
                    region: region.to_owned(),
                }),
                (Some(_), None) => writeln!(self.out, "  please give the region, too")?,
            }
        }
    }

    fn ask_services(
        &mut self,
        domains: &[DomainAnswer],
    ) -> io::Result<BTreeMap<String, ServiceAnswer>> {
        let mut services = BTreeMap::new();
        loop {
            let name = self.ask_text("Service (empty to go on)")?;
            if name.is_empty() {
                return Ok(services);
            }
            let mut service = ServiceAnswer {
                slots: self.ask_value("  Slots of each target")?,
                connections: self.ask_value("  Connections of each target")?,
                deadline_ms: self.ask_value("  Deadline in ms")?,
                open_routes: self.ask_words("  Path prefixes open to all (empty for none)")?,
                targets: self.ask_targets(domains)?,
                is_registering: false,
                cold_ms: 0,
                cold_per_s: 0.0,
            };
            if service.targets.is_empty() {
                self.ask_registration(&mut service)?;
            }
            services.insert(name, service);
        }
    }

    /// Asks whether the targets register themselves and, if so, for their cold start.
    fn ask_registration(&mut self, service: &mut ServiceAnswer) -> io::Result<()> {
        service.is_registering =
            self.ask_yes_no("  Do its targets register themselves (yes or no)")?;
        if service.is_registering {
            service.cold_ms =
                self.ask_value("  Time for which a new one is cold in ms (0 for none)")?;
        }
        if service.cold_ms > 0 {
            service.cold_per_s =
                self.ask_value("  Requests per second that a cold target can serve")?;
        }
        Ok(())
    }

    fn ask_words(&mut self, question: &str) -> io::Result<Vec<String>> {
        let line = self.ask_text(question)?;
        Ok(line.split_whitespace().map(str::to_owned).collect())
    }

    fn ask_yes_no(&mut self, question: &str) -> io::Result<bool> {
        loop {
            match self.ask_text(question)?.as_str() {
                "yes" => return Ok(true),
                "no" => return Ok(false),
                _ => writeln!(self.out, "  yes or no; please answer again")?,
            }
        }
    }

    fn ask_targets(
        &mut self,
        domains: &[DomainAnswer],
    ) -> io::Result<BTreeMap<String, Vec<SocketAddr>>> {
        let mut targets = BTreeMap::new();
        for domain in domains {
            let addrs = self.ask_addrs(&format!("  Targets in {} (addr:port ...)", domain.name))?;
            if !addrs.is_empty() {
                targets.insert(domain.name.clone(), addrs);
            }
        }
        Ok(targets)
    }

    fn ask_addrs(&mut self, question: &str) -> io::Result<Vec<SocketAddr>> {
        loop {
            let line = self.ask_text(question)?;
            match line.split_whitespace().map(str::parse).collect() {
                Ok(addrs) => return Ok(addrs),
                Err(err) => {
                    let err: std::net::AddrParseError = err;
                    writeln!(self.out, "  {err}; please answer again")?;
                }
            }
        }
    }

    fn ask_workspaces(&mut self) -> io::Result<BTreeMap<String, WorkspaceAnswer>> {
        let mut workspaces = BTreeMap::new();
        loop {
            let name = self.ask_text("Workspace (empty to end)")?;
            if name.is_empty() {
                return Ok(workspaces);
            }
            let workspace = WorkspaceAnswer {
                rate: self.ask_value("  Requests per second over all instances")?,
                burst: self.ask_value("  Requests at once over all instances")?,
                weight: self.ask_value("  Weight among workspaces")?,
                priority: self.ask_value("  Priority (0 is the most urgent)")?,
                homes: self.ask_words("  Regions in which its requests may run (empty for all)")?,
            };
            workspaces.insert(name, workspace);
        }
    }

    fn ask_routes(&mut self) -> io::Result<BTreeMap<String, RouteAnswer>> {
        let mut routes = BTreeMap::new();
        loop {
            let name = self.ask_text("Route by host and path (empty to end)")?;
            if name.is_empty() {
                return Ok(routes);
            }
            let route = RouteAnswer {
                host: self.ask_text("  Host")?,
                prefix: self.ask_text("  Beginning of the path")?,
                kind: if self.ask_yes_no("  May its requests run more than once (yes or no)")? {
                    RouteKind::Idempotent
                } else {
                    RouteKind::Once
                },
                services: self.ask_weights()?,
                timeout_ms: self.ask_value("  Timeout in ms")?,
                objective_ms: self.ask_value("  Latency objective in ms")?,
                attempts: self.ask_value("  Most targets that a request is sent to")?,
                priority: self.ask_value("  Priority (0 is the most urgent)")?,
                is_open: self.ask_yes_no("  Is it open to all (yes or no)")?,
                is_sticky: self.ask_yes_no("  Are objects kept on the same target (yes or no)")?,
                homes: self.ask_words("  Regions in which its requests may run (empty for all)")?,
            };
            routes.insert(name, route);
        }
    }

    fn ask_weights(&mut self) -> io::Result<BTreeMap<String, u32>> {
        loop {
            let words = self.ask_words("  Services, each with its weight (name=weight ...)")?;
            let pairs = words.iter().map(|word| {
                let (name, weight) = word.split_once('=')?;
                Some((name.to_owned(), weight.parse().ok()?))
            });
            match pairs.collect::<Option<BTreeMap<String, u32>>>() {
                Some(weights) if !weights.is_empty() => return Ok(weights),
                _ => writeln!(self.out, "  name=weight is needed; please answer again")?,
            }
        }
    }
}
