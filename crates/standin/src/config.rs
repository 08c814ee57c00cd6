//! Parts of configurations for tests of one crate, which need no survey.

use std::net::{Ipv4Addr, SocketAddr};

use base::{Config, Domain, Registration, Service, Target};

/// Address of targets that no test connects to.
const UNUSED_ADDR: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);

/// Returns a configuration with these failure domains, each with the region that it is in.
///
/// # Examples
///
/// ```
/// use base::Service;
/// use standin::config::{config, registration, service, target};
///
/// let mut config = config([("d", "r")]);
/// let target = target("d", Some(registration(4, 1)));
/// let service = Service {
///     targets: [("t".into(), target)].into(),
///     ..service(4, 1_000)
/// };
/// config.services.insert("s".into(), service);
/// ```
pub fn config<'a, D>(domains: D) -> Config
where
    D: IntoIterator<Item = (&'a str, &'a str)>,
{
    let domains = domains.into_iter().map(|(name, region)| {
        let region = region.into();
        (name.into(), Domain { region })
    });
    Config {
        domains: domains.collect(),
        ..Config::default()
    }
}

/// Returns a service without targets, of which each would run `slots` requests concurrently.
pub fn service(slots: u32, deadline_ms: u32) -> Service {
    Service {
        slots,
        connections: 100,
        deadline_ms,
        open_routes: Vec::new(),
        targets: Default::default(),
        cold: None,
    }
}

/// Returns a target in a failure domain, at an address that no test connects to.
pub fn target(domain: &str, registered: Option<Registration>) -> Target {
    Target {
        domain: domain.into(),
        addr: UNUSED_ADDR,
        registered,
    }
}

/// Returns the registration of a target that is warm and does not leave.
pub fn registration(slots: u32, incarnation: u64) -> Registration {
    Registration {
        slots,
        is_leaving: false,
        cold_ms: 0,
        incarnation,
    }
}
