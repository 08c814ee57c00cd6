//! The questionnaire, asked line by line.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, Write},
    net::SocketAddr,
    str::FromStr,
};

use survey::{Answers, DomainAnswer, ServiceAnswer, WorkspaceAnswer};

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
    Ok(Answers {
        deployment,
        domains,
        region_delay_ms,
        client_delay_ms,
        region_mbit_per_s,
        shift_cap_per_min,
        services,
        workspaces,
        routes: BTreeMap::new(),
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
            let service = ServiceAnswer {
                slots: self.value("  Slots of each target")?,
                connections: self.value("  Connections of each target")?,
                deadline_ms: self.value("  Deadline in ms")?,
                open_routes: self
                    .text("  Path prefixes open to all (empty for none)")?
                    .split_whitespace()
                    .map(str::to_owned)
                    .collect(),
                targets: self.targets(domains)?,
                is_registering: false,
                cold_ms: 0,
                cold_per_s: 0.0,
            };
            services.insert(name, service);
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
                priority: 0,
                homes: Vec::new(),
            };
            workspaces.insert(name, workspace);
        }
    }
}
