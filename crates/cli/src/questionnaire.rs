//! The questionnaire, asked line by line.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, Write},
    net::SocketAddr,
    str::FromStr,
};

use base::RouteKind;
use survey::{Answers, DomainAnswer, RouteAnswer, ServiceAnswer, WorkspaceAnswer};

/// Asks all questions on `out` and reads the answers from `input`.
///
/// A question whose answer can't be read is asked again.
///
/// # Errors
///
/// [`io::Error`] where the input ends too early or the output can't be written.
pub fn ask<R, W>(input: &mut R, out: &mut W) -> io::Result<Answers>
where
    R: BufRead,
    W: Write,
{
    let mut form = Form { input, out };
    let deployment = form.text("Name of the deployment")?;
    let domains = form.domains()?;
    let region_delay_ms = form.value("One-way delay between regions in ms")?;
    let client_delay_ms = form.value("One-way delay between callers and their region in ms")?;
    let region_mbit_per_s = form.value("Rate between two regions in Mbit/s")?;
    let shift_cap_per_min =
        form.value("Largest share of traffic to move in one minute (0 to 1)")?;
    let services = form.services(&domains)?;
    let workspaces = form.workspaces()?;
    let routes = form.routes()?;
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

struct Form<'a, R, W> {
    input: &'a mut R,
    out: &'a mut W,
}

impl<R, W> Form<'_, R, W>
where
    R: BufRead,
    W: Write,
{
    fn text(&mut self, question: &str) -> io::Result<String> {
        write!(self.out, "{question}: ")?;
        self.out.flush()?;
        let mut line = String::new();
        if self.input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim().to_owned())
    }

    fn value<T>(&mut self, question: &str) -> io::Result<T>
    where
        T: FromStr,
        T::Err: std::fmt::Display,
    {
        loop {
            match self.text(question)?.parse() {
                Ok(value) => return Ok(value),
                Err(err) => writeln!(self.out, "  {err}; please answer again")?,
            }
        }
    }

    fn domains(&mut self) -> io::Result<Vec<DomainAnswer>> {
        let mut domains = Vec::new();
        loop {
            let line = self.text("Failure domain and its region (empty to go on)")?;
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

    fn services(
        &mut self,
        domains: &[DomainAnswer],
    ) -> io::Result<BTreeMap<String, ServiceAnswer>> {
        let mut services = BTreeMap::new();
        loop {
            let name = self.text("Service (empty to go on)")?;
            if name.is_empty() {
                return Ok(services);
            }
            let mut service = ServiceAnswer {
                slots: self.value("  Slots of each target")?,
                connections: self.value("  Connections of each target")?,
                deadline_ms: self.value("  Deadline in ms")?,
                open_routes: self.words("  Path prefixes open to all (empty for none)")?,
                targets: self.targets(domains)?,
                is_registering: false,
                cold_ms: 0,
                cold_per_s: 0.0,
            };
            if service.targets.is_empty() {
                self.registering(&mut service)?;
            }
            services.insert(name, service);
        }
    }

    /// Asks what is to be known of targets that register themselves.
    fn registering(&mut self, service: &mut ServiceAnswer) -> io::Result<()> {
        service.is_registering = self.yes("  Do its targets register themselves (yes or no)")?;
        if service.is_registering {
            service.cold_ms =
                self.value("  Time for which a new one is cold in ms (0 for none)")?;
        }
        if service.cold_ms > 0 {
            service.cold_per_s = self.value("  Requests per second that a cold one bears")?;
        }
        Ok(())
    }

    fn words(&mut self, question: &str) -> io::Result<Vec<String>> {
        let line = self.text(question)?;
        Ok(line.split_whitespace().map(str::to_owned).collect())
    }

    fn yes(&mut self, question: &str) -> io::Result<bool> {
        loop {
            match self.text(question)?.as_str() {
                "yes" => return Ok(true),
                "no" => return Ok(false),
                _ => writeln!(self.out, "  yes or no; please answer again")?,
            }
        }
    }

    fn targets(
        &mut self,
        domains: &[DomainAnswer],
    ) -> io::Result<BTreeMap<String, Vec<SocketAddr>>> {
        let mut targets = BTreeMap::new();
        for domain in domains {
            let addrs = self.addrs(&format!("  Targets in {} (addr:port ...)", domain.name))?;
            if !addrs.is_empty() {
                targets.insert(domain.name.clone(), addrs);
            }
        }
        Ok(targets)
    }

    fn addrs(&mut self, question: &str) -> io::Result<Vec<SocketAddr>> {
        loop {
            let line = self.text(question)?;
            match line.split_whitespace().map(str::parse).collect() {
                Ok(addrs) => return Ok(addrs),
                Err(err) => {
                    let err: std::net::AddrParseError = err;
                    writeln!(self.out, "  {err}; please answer again")?;
                }
            }
        }
    }

    fn workspaces(&mut self) -> io::Result<BTreeMap<String, WorkspaceAnswer>> {
        let mut workspaces = BTreeMap::new();
        loop {
            let name = self.text("Workspace (empty to end)")?;
            if name.is_empty() {
                return Ok(workspaces);
            }
            let workspace = WorkspaceAnswer {
                rate: self.value("  Requests per second over all instances")?,
                burst: self.value("  Requests at once over all instances")?,
                weight: self.value("  Weight among workspaces")?,
                priority: self.value("  Rank (0 is the most urgent)")?,
                homes: self.words("  Regions in which its requests may run (empty for all)")?,
            };
            workspaces.insert(name, workspace);
        }
    }

    fn routes(&mut self) -> io::Result<BTreeMap<String, RouteAnswer>> {
        let mut routes = BTreeMap::new();
        loop {
            let name = self.text("Route by host and path (empty to end)")?;
            if name.is_empty() {
                return Ok(routes);
            }
            let route = RouteAnswer {
                host: self.text("  Host")?,
                prefix: self.text("  Beginning of the path")?,
                kind: if self.yes("  May its requests run more than once (yes or no)")? {
                    RouteKind::Idempotent
                } else {
                    RouteKind::Once
                },
                services: self.weights()?,
                timeout_ms: self.value("  Longest time in ms")?,
                objective_ms: self.value("  Latency objective in ms")?,
                attempts: self.value("  Most targets that a request is sent to")?,
                priority: self.value("  Rank (0 is the most urgent)")?,
                is_open: self.yes("  Is it open to all (yes or no)")?,
                is_sticky: self.yes("  Are objects kept on the same target (yes or no)")?,
                homes: self.words("  Regions in which its requests may run (empty for all)")?,
            };
            routes.insert(name, route);
        }
    }

    fn weights(&mut self) -> io::Result<BTreeMap<String, u32>> {
        loop {
            let words = self.words("  Services, each with its weight (name=weight ...)")?;
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
